package config

import (
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// MaxFile is the largest size of an operator's file, and of a stored register or rule set, in bytes.
const MaxFile = 1 << 20

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func joinNames(names []string) string { return strings.Join(names, ", ") }

// ParseRegister parses a register file and validates it as far as possible without the rules; *InvalidError lists the
// faults.
func ParseRegister(data []byte) (*wire.Register, error) {
	var f faults
	o := parseFile(&f, data)
	if o == nil {
		return nil, f.err()
	}
	r := new(wire.Register)
	o.reportUnknown("services", "domains")
	o.eachObject("services", func(o *object) {
		o.reportUnknown("name", "internal", "slots", "connections")
		r.Services = append(r.Services, &wire.Service{
			Name:        o.text("name"),
			Internal:    o.boolean("internal"),
			Slots:       o.count("slots"),
			Connections: o.count("connections"),
		})
	})
	o.eachObject("domains", func(o *object) {
		o.reportUnknown("name", "region")
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

// ParseRules parses a rules file and validates it as far as possible without the register; *InvalidError lists the
// faults.
func ParseRules(data []byte) (*wire.RuleSet, error) {
	var f faults
	o := parseFile(&f, data)
	if o == nil {
		return nil, f.err()
	}
	o.reportUnknown("set", "routes", "limits", "drains")
	r := &wire.RuleSet{Set: o.text("set")}
	o.eachObject("routes", func(o *object) { r.Routes = append(r.Routes, readRoute(o, r.Set)) })
	o.eachObject("limits", func(o *object) {
		o.reportUnknown("name", "service", "slots", "connections")
		r.Limits = append(r.Limits, &wire.Limit{
			Name:        o.text("name"),
			Service:     o.text("service"),
			Slots:       o.count("slots"),
			Connections: o.count("connections"),
			Set:         r.Set,
		})
	})
	o.eachObject("drains", func(o *object) {
		o.reportUnknown("name", "service", "domain", "endpoint")
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

// ParseCustomers parses a customers file and validates it; *InvalidError lists the faults and never quotes a key.
func ParseCustomers(data []byte) (*wire.Customers, error) {
	var f faults
	o := parseFile(&f, data)
	if o == nil {
		return nil, f.err()
	}
	list := new(wire.Customers)
	o.reportUnknown("customers")
	o.eachObject("customers", func(o *object) {
		o.reportUnknown("name", "keys", "priority", "rate", "burst")
		c := &wire.Customer{Name: o.text("name"), Keys: o.textList("keys"), Rate: o.number("rate"), Burst: o.number("burst")}
		if _, stated := o.fields["priority"]; stated {
			c.Priority = proto.Uint32(o.count("priority"))
		}
		list.Customers = append(list.Customers, c)
	})
	if len(f.list) == 0 {
		checkCustomers(&f, list.GetCustomers())
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return list, nil
}

func parseFile(f *faults, data []byte) *object {
	if len(data) > MaxFile {
		f.add("file", "at most %d bytes, not %d", MaxFile, len(data))
		return nil
	}
	return parseObject(f, data)
}

func readRoute(o *object, set string) *wire.Route {
	o.reportUnknown("name", "service", "host", "path", "methods", "idempotent", "late", "priority", "deadline", "retries", "public")
	return &wire.Route{
		Name:       o.text("name"),
		Service:    o.text("service"),
		Host:       strings.ToLower(o.text("host")),
		Path:       o.text("path"),
		Methods:    o.textList("methods"),
		Idempotent: o.boolean("idempotent"),
		Late:       o.boolean("late"),
		Priority:   o.count("priority"),
		Deadline:   o.duration("deadline"),
		Retries:    o.count("retries"),
		Public:     o.boolean("public"),
		Set:        set,
	}
}
