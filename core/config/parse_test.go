package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Guards against faults in operators' files that are accepted, reported for the wrong field, or hidden by an earlier fault.
func TestParseFaults(t *testing.T) {
	route := func(fields string) string {
		return `{"set":"main","routes":[{"name":"buy","service":"counter","path":"/p","deadline":"1s",` + fields + `}]}`
	}
	for name, c := range map[string]struct {
		register bool
		data     string
		want     []string // field of each fault, in order
	}{
		"not JSON":          {data: `{`, want: []string{"file"}},
		"not an object":     {data: `[]`, want: []string{"file"}},
		"trailing":          {data: `{"set":"main"}{}`, want: []string{"file"}},
		"oversize":          {data: `{"set":"` + strings.Repeat("a", MaxFile) + `"}`, want: []string{"file"}},
		"repeated":          {data: `{"set":"main","set":"b"}`, want: []string{"set"}},
		"case":              {data: `{"Set":"main"}`, want: []string{"Set"}},
		"all at once":       {data: route(`"colour":1,"late":"x","retries":-1`), want: []string{"routes[0].colour", "routes[0].late", "routes[0].retries"}},
		"deadline number":   {data: route(`"deadline":5`), want: []string{"routes[0].deadline", "routes[0].deadline"}},
		"deadline fraction": {data: `{"set":"main","routes":[{"name":"a","service":"b","path":"/","deadline":"1ns"}]}`, want: []string{"routes[0].deadline"}},
		"deadline range":    {data: `{"set":"main","routes":[{"name":"a","service":"b","path":"/","deadline":"6m"}]}`, want: []string{"rules/main/route/a.deadline"}},
		"ranges":            {data: route(`"priority":10,"retries":4,"idempotent":true`), want: []string{"rules/main/route/buy.priority", "rules/main/route/buy.retries"}},
		"public number":     {data: route(`"public":1`), want: []string{"routes[0].public"}},
		"unsafe retries":    {data: route(`"retries":1`), want: []string{"rules/main/route/buy.retries"}},
		"host":              {data: route(`"host":"a:80"`), want: []string{"rules/main/route/buy.host"}},
		"path":              {data: `{"set":"main","routes":[{"name":"a","service":"b","path":"/x/../y","deadline":"1s"}]}`, want: []string{"rules/main/route/a.path"}},
		"overlap": {
			data: `{"set":"main","routes":[{"name":"a","service":"s","path":"/","deadline":"1s","methods":["GET"]},{"name":"b","service":"s","path":"/","deadline":"1s"}]}`,
			want: []string{"rules/main/route/b"},
		},
		"empty drain":   {data: `{"set":"main","drains":[{"name":"d"}]}`, want: []string{"rules/main/drain/d"}},
		"names":         {register: true, data: `{"domains":[{"name":"A","region":"r"},{"name":"b","region":""}]}`, want: []string{"domain/A.name", "domain/b.region"}},
		"service twice": {register: true, data: `{"services":[{"name":"a","slots":1,"connections":1},{"name":"a","slots":1,"connections":1}]}`, want: []string{"service/a.name"}},
		"no slots":      {register: true, data: `{"services":[{"name":"a"}]}`, want: []string{"service/a.slots", "service/a.connections"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseRules([]byte(c.data))
			if c.register {
				_, err = ParseRegister([]byte(c.data))
			}
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want *InvalidError", err)
			}
			var got []string
			for _, f := range invalid.Faults {
				got = append(got, f.Field)
			}
			if strings.Join(got, " ") != strings.Join(c.want, " ") {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against faults in a customers file that are accepted or reported for the wrong field, and against a fault that quotes a key.
func TestParseCustomers(t *testing.T) {
	tests := []struct {
		name, data string
		want       string // fields of the faults, or the customers
	}{
		{"valid", `{"customers":[{"name":"a","keys":["sk-2","sk-1"],"priority":0,"rate":2.5,"burst":9},{"name":"b","keys":["sk-3"]}]}`, "a 2 0 2.5 9, b 1 - 0 0"},
		{"none", `{"customers":[]}`, ""},
		{"example", string(read(t, "bureau-customers.json")), "court-interpreters 2 8 45 90, print-house 1 - 120 240, archive-readers 1 3 0 0"},
		{"keys as a text", `{"customers":[{"name":"a","keys":"sk-1"}]}`, "customers[0].keys"},
		{"key as a number", `{"customers":[{"name":"a","keys":[4711]}]}`, "customers[0].keys"},
		{"key of two", `{"customers":[{"name":"a","keys":["sk-1"]},{"name":"b","keys":["sk-1"]}]}`, "customers[1].keys[0]"},
		{"rate as a text", `{"customers":[{"name":"a","keys":["sk-1"],"rate":"sk-1"}]}`, "customers[0].rate"},
		{"rate out of range", `{"customers":[{"name":"a","keys":["sk-1"],"rate":1e999}]}`, "customers[0].rate"},
		{"negative burst", `{"customers":[{"name":"a","keys":["sk-1"],"burst":-1}]}`, "customers[0].burst"},
		{"priority", `{"customers":[{"name":"a","keys":["sk-1"],"priority":10}]}`, "customers[0].priority"},
		{"unknown field", `{"customers":[{"name":"a","keys":["sk-1"],"key":"sk-2"}]}`, "customers[0].key"},
		{"cut short", `{"customers":[{"name":"a","keys":["sk-1"`, "file"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			list, err := ParseCustomers([]byte(c.data))
			var parts []string
			for _, m := range list.GetCustomers() {
				priority := "-"
				if m.Priority != nil {
					priority = fmt.Sprint(m.GetPriority())
				}
				parts = append(parts, fmt.Sprintf("%s %d %s %v %v", m.GetName(), len(m.GetKeys()), priority, m.GetRate(), m.GetBurst()))
			}
			got := strings.Join(parts, ", ")
			if e := new(InvalidError); errors.As(err, &e) {
				got = e.Faults[0].Field
			}
			if got != c.want {
				t.Errorf("got %q (%v), want %q", got, err, c.want)
			}
			if err != nil && strings.Contains(err.Error(), "sk-") {
				t.Errorf("error: got %v, want one without a key", err)
			}
		})
	}
}

// Guards against panics and against registers that ParseRegister accepts and Validate refuses.
func FuzzParseRegister(f *testing.F) {
	f.Add(read(f, "sahyadri-register.json"))
	f.Add(read(f, "karrakatta-register.json"))
	f.Add([]byte(`{"services":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseRegister(data)
		if err != nil {
			return
		}
		if err := Validate(&wire.Content{Register: r}); err != nil {
			t.Errorf("got %v after parsing, want nil", err)
		}
	})
}

// Guards against panics and against accepted routes whose entries do not decode.
func FuzzParseRules(f *testing.F) {
	f.Add(read(f, "sahyadri-rules.json"))
	f.Add(read(f, "karrakatta-rules.json"))
	f.Add([]byte(`{"set":"a","drains":[{"name":"d","endpoint":"e"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseRules(data)
		if err != nil {
			return
		}
		for _, r := range r.GetRoutes() {
			value, err := proto.Marshal(r)
			if err != nil || decode(KeyOf(r), value) == nil {
				t.Errorf("got %v for %v, want a value that decodes", err, r)
			}
		}
	})
}
