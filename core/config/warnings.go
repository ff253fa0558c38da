package config

import (
	"fmt"
	"strings"

	"godwitspindle/core/wire"
)

// Warning names an entry that is valid but cannot have the effect that its author likely expects.
type Warning struct {
	Key  string // entry, with its field where there is one
	Text string
}

// Warnings returns the entries of a valid configuration that can never match or have an effect, or that contradict another entry. Unless
// whole is set, the content may lack parts of the configuration, and entries that only a missing part could use get no warning.
func Warnings(c *wire.Content, whole bool) []Warning {
	w := &warnings{}
	services := make(map[string]*wire.Service)
	for _, s := range c.GetRegister().GetServices() {
		services[s.GetName()] = s
	}
	rules := new(wire.RuleSet) // those of all sets, since they apply together
	for _, s := range c.GetSets() {
		rules.Routes = append(rules.Routes, s.GetRoutes()...)
		rules.Limits = append(rules.Limits, s.GetLimits()...)
		rules.Drains = append(rules.Drains, s.GetDrains()...)
	}
	drained, reached := drainedServices(rules.GetDrains()), make(map[string]bool)
	for _, r := range rules.GetRoutes() {
		w.route(r, len(c.GetCustomers()) > 0, whole)
		w.targets(r, services, drained, reached)
	}
	w.limits(rules.GetLimits())
	w.drains(rules.GetDrains())
	for _, s := range c.GetRegister().GetServices() {
		if whole && !reached[s.GetName()] {
			w.add(KeyOf(s), "no route leads to the service")
		}
	}
	w.customers(c, rules.GetRoutes(), whole)
	return w.list
}

type warnings struct{ list []Warning }

func (w *warnings) add(key, text string, args ...any) {
	if len(w.list) < maxFaults {
		w.list = append(w.list, Warning{Key: key, Text: fmt.Sprintf(text, args...)})
	}
}

func (w *warnings) route(r *wire.Route, hasCustomers, whole bool) {
	key := KeyOf(r)
	if strings.Contains(strings.ReplaceAll(r.GetPath(), "%2F", ""), "%") {
		w.add(key+".path", "never matches an escaped character but %%2F, since requests are matched by their decoded path")
	}
	if r.GetLatency() > r.GetDeadline() {
		w.add(key+".latency", "above the deadline, so it is never missed by an answer in time")
	}
	if r.GetAttempts() == 1 && r.GetRetries() > 0 {
		w.add(key+".retries", "never used, since the route allows one attempt")
	}
	if r.GetPublic() && whole && !hasCustomers {
		w.add(key+".public", "without effect, since no route needs a key while there are no customers")
	}
}

// targets checks the services of a route and marks those that it leads to.
func (w *warnings) targets(r *wire.Route, services map[string]*wire.Service, drained, reached map[string]bool) {
	names := []string{r.GetService()}
	if len(r.GetSplits()) > 0 {
		names = names[:0]
	}
	for i, s := range r.GetSplits() {
		if s.GetWeight() == 0 {
			w.add(fmt.Sprintf("%s.splits[%d]", KeyOf(r), i), "gets no request, since its weight is 0")
			continue
		}
		names = append(names, s.GetService())
	}
	for _, name := range names {
		reached[name] = true
		if drained[name] {
			w.add(KeyOf(r), "leads to service %s, which a drain takes out of use everywhere", name)
		}
		if r.GetPublic() && services[name].GetInternal() {
			w.add(KeyOf(r)+".public", "without effect for callers, since service %s is internal", name)
		}
	}
}

// drainedServices returns the services of which a drain takes all endpoints out of use.
func drainedServices(drains []*wire.Drain) map[string]bool {
	list := make(map[string]bool)
	for _, d := range drains {
		if d.GetDomain() == "" && d.GetEndpoint() == "" {
			list[d.GetService()] = true
		}
	}
	return list
}

// limits checks limits, of which the lowest of each kind applies to a service.
func (w *warnings) limits(list []*wire.Limit) {
	lowest := func(service string, value func(*wire.Limit) uint32) *wire.Limit {
		var best *wire.Limit
		for _, l := range list {
			if l.GetService() == service && value(l) > 0 && (best == nil || value(l) < value(best)) {
				best = l
			}
		}
		return best
	}
	check := func(l *wire.Limit, field string, value func(*wire.Limit) uint32) {
		if value(l) == 0 {
			return
		}
		if other := lowest(l.GetService(), value); other != l {
			w.add(KeyOf(l)+"."+field, "%d never applies, since limit %s of the same service is %d", value(l), other.GetName(), value(other))
		}
	}
	for _, l := range list {
		check(l, "slots", (*wire.Limit).GetSlots)
		check(l, "connections", (*wire.Limit).GetConnections)
	}
}

// drains checks for drains whose endpoints another drain takes out of use as well.
func (w *warnings) drains(list []*wire.Drain) {
	covers := func(a, b string) bool { return a == "" || a == b }
	for i, d := range list {
		for j, o := range list {
			all := covers(o.GetService(), d.GetService()) && covers(o.GetDomain(), d.GetDomain()) && covers(o.GetEndpoint(), d.GetEndpoint())
			same := o.GetService() == d.GetService() && o.GetDomain() == d.GetDomain() && o.GetEndpoint() == d.GetEndpoint()
			if i != j && all && (!same || j < i) {
				w.add(KeyOf(d), "without effect beside drain %s, which covers its endpoints", o.GetName())
				break
			}
		}
	}
}

func (w *warnings) customers(c *wire.Content, routes []*wire.Route, whole bool) {
	for i, m := range c.GetCustomers() {
		if m.GetBurst() > 0 && m.GetRate() == 0 {
			w.add(fmt.Sprintf("customers[%d].burst", i), "without effect, since the customer has no rate")
		}
	}
	if !whole || len(c.GetCustomers()) == 0 {
		return
	}
	for _, r := range routes {
		if !r.GetPublic() {
			return
		}
	}
	w.add("customers", "no route needs a key, since all are public")
}
