package config

import (
	"strings"
	"testing"

	"godwitspindle/core/wire"
)

// Guards against entries without effect that an operator is not told of, and against warnings about entries that have one.
func TestWarnings(t *testing.T) {
	route := func(change func(r *wire.Route)) *wire.Content {
		r := &wire.Route{Name: "r", Service: "s", Path: "/", Deadline: 1000, Latency: 500}
		change(r)
		return &wire.Content{
			Register: &wire.Register{Services: []*wire.Service{{Name: "s", Slots: 10, Connections: 20}}},
			Sets:     []*wire.RuleSet{{Set: "main", Routes: []*wire.Route{r}}},
		}
	}
	rules := func(limits []*wire.Limit, drains ...*wire.Drain) *wire.Content {
		c := route(func(*wire.Route) {})
		c.Sets[0].Limits, c.Sets[0].Drains = limits, drains
		return c
	}
	withCustomers := func(c *wire.Content, list ...*wire.Customer) *wire.Content {
		c.Customers = list
		return c
	}
	public := func(r *wire.Route) { r.Public = true }
	tests := []struct {
		name    string
		content *wire.Content
		partial bool
		want    string // keys of the warnings
	}{
		{"nothing odd", route(func(*wire.Route) {}), false, ""},
		{"nothing", &wire.Content{}, false, ""},
		{"escaped path", route(func(r *wire.Route) { r.Path = "/a%20b/" }), false, "route/r.path"},
		{"escaped slash", route(func(r *wire.Route) { r.Path = "/a%2Fb/" }), false, ""},
		{"objective above the deadline", route(func(r *wire.Route) { r.Latency = 2000 }), false, "route/r.latency"},
		{"retries without attempts", route(func(r *wire.Route) { r.Idempotent, r.Attempts, r.Retries = true, 1, 2 }), false, "route/r.retries"},
		{"weight 0", route(func(r *wire.Route) {
			r.Service, r.Splits = "", []*wire.Split{{Service: "s"}, {Service: "s", Weight: 1}}
		}), false, "route/r.splits[0]"},
		{"no route to a service", route(func(r *wire.Route) { r.Service = "other" }), false, "service/s"},
		{"no route to a service in a part", route(func(r *wire.Route) { r.Service = "other" }), true, ""},
		{"drained service", rules(nil, &wire.Drain{Name: "d", Service: "s"}), false, "route/r"},
		{"drained in one domain", rules(nil, &wire.Drain{Name: "d", Service: "s", Domain: "lower"}), false, ""},
		{"drain within another", rules(nil, &wire.Drain{Name: "a", Domain: "lower"}, &wire.Drain{Name: "b", Service: "s", Domain: "lower"}), false, "drain/b"},
		{"equal drains", rules(nil, &wire.Drain{Name: "a", Domain: "lower"}, &wire.Drain{Name: "b", Domain: "lower"}), false, "drain/b"},
		{"limit above the default of the register", rules([]*wire.Limit{{Name: "l", Service: "s", Slots: 11, Connections: 5}}), false, ""},
		{"two limits", rules([]*wire.Limit{{Name: "a", Service: "s", Slots: 8}, {Name: "b", Service: "s", Slots: 4, Connections: 4}}), false, "limit/a.slots"},
		{"public without customers", route(public), false, "route/r.public"},
		{"public without customers in a part", route(public), true, ""},
		{"all routes public", withCustomers(route(public), customer("a", "k")), false, "customers"},
		{"burst without rate", withCustomers(route(func(*wire.Route) {}), &wire.Customer{Name: "a", Keys: []string{"k"}, Burst: 3}), false, "customers[0].burst"},
		{"quota", withCustomers(route(func(*wire.Route) {}), &wire.Customer{Name: "a", Keys: []string{"k"}, Rate: 2, Burst: 3}), false, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var keys []string
			for _, w := range Warnings(c.content, !c.partial) {
				keys = append(keys, w.Key)
			}
			if got := strings.Join(keys, " "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against warnings about the examples, which operators begin with.
func TestNoWarningsAboutExamples(t *testing.T) {
	for _, name := range []string{"sahyadri", "karrakatta"} {
		register, err := ParseRegister(read(t, name+"-register.json"))
		if err != nil {
			t.Fatal(err)
		}
		rules, err := ParseRules(read(t, name+"-rules.json"))
		if err != nil {
			t.Fatal(err)
		}
		if got := Warnings(&wire.Content{Register: register, Sets: []*wire.RuleSet{rules}}, true); len(got) > 0 {
			t.Errorf("%s: got %v, want none", name, got)
		}
	}
}
