package operator

import (
	"time"

	"godwitspindle/core/wire"
)

// Content is the answer of GET /v1/show; register and sets, but not customers, have the format of the files that operators apply.
type Content struct {
	Version  uint64    `json:"version"`
	Register Register  `json:"register"`
	Sets     []RuleSet `json:"sets"`

	Customers []Customer `json:"customers,omitempty"`
}

// Customer is one customer without its keys, which are never shown.
type Customer struct {
	Name     string  `json:"name"`
	Keys     int     `json:"keys"` // number of keys
	Priority *uint32 `json:"priority,omitempty"`
	Rate     float64 `json:"rate,omitempty"`
	Burst    float64 `json:"burst,omitempty"`
}

// Register is the content of a register file.
type Register struct {
	Services []Service `json:"services"`
	Domains  []Domain  `json:"domains"`
}

// Service is one service of a register file.
type Service struct {
	Name        string `json:"name"`
	Internal    bool   `json:"internal"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

// Domain is one failure domain of a register file.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// RuleSet is the content of a rules file.
type RuleSet struct {
	Set    string  `json:"set"`
	Routes []Route `json:"routes"`
	Limits []Limit `json:"limits"`
	Drains []Drain `json:"drains"`
}

// Route is one route of a rules file.
type Route struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Host       string   `json:"host"`
	Path       string   `json:"path"`
	Methods    []string `json:"methods"`
	Idempotent bool     `json:"idempotent"`
	Late       bool     `json:"late"`
	Priority   uint32   `json:"priority"`
	Deadline   Duration `json:"deadline"`
	Retries    uint32   `json:"retries"`
	Public     bool     `json:"public,omitempty"`
}

// Limit is one limit of a rules file.
type Limit struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Slots       uint32 `json:"slots,omitempty"`
	Connections uint32 `json:"connections,omitempty"`
}

// Drain is one drain of a rules file.
type Drain struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Endpoint string `json:"endpoint"`
}

// NewContent returns the JSON form of a version's content.
func NewContent(version uint64, c *wire.Content) Content {
	v := Content{Version: version, Register: Register{Services: []Service{}, Domains: []Domain{}}, Sets: []RuleSet{}}
	for _, s := range c.GetRegister().GetServices() {
		v.Register.Services = append(v.Register.Services, Service{Name: s.GetName(), Internal: s.GetInternal(), Slots: s.GetSlots(), Connections: s.GetConnections()})
	}
	for _, d := range c.GetRegister().GetDomains() {
		v.Register.Domains = append(v.Register.Domains, Domain{Name: d.GetName(), Region: d.GetRegion()})
	}
	for _, s := range c.GetSets() {
		v.Sets = append(v.Sets, newRuleSet(s))
	}
	for _, m := range c.GetCustomers() {
		v.Customers = append(v.Customers, Customer{
			Name: m.GetName(), Keys: len(m.GetKeys()), Priority: m.Priority, Rate: m.GetRate(), Burst: m.GetBurst(),
		})
	}
	return v
}

func newRuleSet(s *wire.RuleSet) RuleSet {
	v := RuleSet{Set: s.GetSet(), Routes: []Route{}, Limits: []Limit{}, Drains: []Drain{}}
	for _, r := range s.GetRoutes() {
		v.Routes = append(v.Routes, Route{
			Name: r.GetName(), Service: r.GetService(), Host: r.GetHost(), Path: r.GetPath(),
			Methods: append([]string{}, r.GetMethods()...), Idempotent: r.GetIdempotent(), Late: r.GetLate(),
			Priority: r.GetPriority(), Deadline: Duration(time.Duration(r.GetDeadline()) * time.Millisecond), Retries: r.GetRetries(), Public: r.GetPublic(),
		})
	}
	for _, l := range s.GetLimits() {
		v.Limits = append(v.Limits, Limit{Name: l.GetName(), Service: l.GetService(), Slots: l.GetSlots(), Connections: l.GetConnections()})
	}
	for _, d := range s.GetDrains() {
		v.Drains = append(v.Drains, Drain{Name: d.GetName(), Service: d.GetService(), Domain: d.GetDomain(), Endpoint: d.GetEndpoint()})
	}
	return v
}
