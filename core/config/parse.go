package config

import (
	"maps"
	"slices"
	"strings"

	"godwitspindle/core/wire"
)

// MaxFile is the largest accepted file of an operator, and the largest stored register or rule set, in bytes.
const MaxFile = 1 << 20

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func list(names []string) string { return strings.Join(names, ", ") }

// ParseRegister reads a register file and checks what can be checked without the rules; *InvalidError lists all faults.
func ParseRegister(data []byte) (*wire.Register, error) {
	var f faults
	o := open(&f, data)
	if o == nil {
		return nil, f.err()
	}
	r := new(wire.Register)
	o.known("services", "domains")
	o.objects("services", func(o *object) {
		o.known("name", "internal", "slots", "connections")
		r.Services = append(r.Services, &wire.Service{
			Name:        o.text("name"),
			Internal:    o.flag("internal"),
			Slots:       o.count("slots"),
			Connections: o.count("connections"),
		})
	})
	o.objects("domains", func(o *object) {
		o.known("name", "region")
		r.Domains = append(r.Domains, &wire.Domain{Name: o.text("name"), Region: o.text("region")})
	})
	if len(f.list) == 0 {
		checkRegister(&f, r)
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return r, nil
}

// ParseRules reads a rules file and checks what can be checked without the register; *InvalidError lists all faults.
func ParseRules(data []byte) (*wire.RuleSet, error) {
	var f faults
	o := open(&f, data)
	if o == nil {
		return nil, f.err()
	}
	o.known("set", "routes", "limits", "drains")
	r := &wire.RuleSet{Set: o.text("set")}
	o.objects("routes", func(o *object) { r.Routes = append(r.Routes, route(o, r.Set)) })
	o.objects("limits", func(o *object) {
		o.known("name", "service", "slots", "connections")
		r.Limits = append(r.Limits, &wire.Limit{
			Name:        o.text("name"),
			Service:     o.text("service"),
			Slots:       o.count("slots"),
			Connections: o.count("connections"),
			Set:         r.Set,
		})
	})
	o.objects("drains", func(o *object) {
		o.known("name", "service", "domain", "endpoint")
		r.Drains = append(r.Drains, &wire.Drain{
			Name:     o.text("name"),
			Service:  o.text("service"),
			Domain:   o.text("domain"),
			Endpoint: o.text("endpoint"),
			Set:      r.Set,
		})
	})
	if len(f.list) == 0 {
		checkRules(&f, []*wire.RuleSet{r})
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return r, nil
}

func open(f *faults, data []byte) *object {
	if len(data) > MaxFile {
		f.add("file", "at most %d bytes, not %d", MaxFile, len(data))
		return nil
	}
	return parse(f, data)
}

func route(o *object, set string) *wire.Route {
	o.known("name", "service", "host", "path", "methods", "idempotent", "late", "priority", "deadline", "retries")
	return &wire.Route{
		Name:       o.text("name"),
		Service:    o.text("service"),
		Host:       strings.ToLower(o.text("host")),
		Path:       o.text("path"),
		Methods:    o.texts("methods"),
		Idempotent: o.flag("idempotent"),
		Late:       o.flag("late"),
		Priority:   o.count("priority"),
		Deadline:   o.duration("deadline"),
		Retries:    o.count("retries"),
		Set:        set,
	}
}
