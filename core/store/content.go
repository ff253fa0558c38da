package store

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

// content is the configuration that operators set in one version. It is immutable; versions share registers and rule sets.
type content struct {
	register *wire.Register
	sets     []*wire.RuleSet // sorted by name
	bounds   *wire.Bounds    // limits on requests of callers; nil for none
	// The customers with their keys, in a message without other fields, which is one part of the history; nil for none.
	customers *wire.Content
	entries   map[string]proto.Message // snapshot entries by key; nil in the history
}

// newContent returns the content of the given parts with its entries. It takes the customers' entries from base if base has the same
// customers, since hashing all keys takes milliseconds at the limits; base may be nil.
func newContent(parts content, base *content) *content {
	c := &parts
	c.entries = make(map[string]proto.Message)
	put := func(m proto.Message) { c.entries[config.KeyOf(m)] = m }
	for _, m := range c.customers.GetCustomers() {
		if base != nil && base.customers == c.customers && base.entries != nil {
			put(base.entries[config.KeyOf(m)])
			continue
		}
		put(config.HashedCustomer(m))
	}
	for _, s := range c.register.GetServices() {
		put(s)
	}
	for _, d := range c.register.GetDomains() {
		put(d)
	}
	if c.bounds != nil {
		put(c.bounds)
	}
	for _, s := range c.sets {
		for _, r := range s.GetRoutes() {
			put(r)
		}
		for _, l := range s.GetLimits() {
			put(l)
		}
		for _, d := range s.GetDrains() {
			put(d)
		}
	}
	return c
}

// withoutEntries returns a copy for the history without the entries, which would take about 50 KB per version at the design size.
func (c *content) withoutEntries() *content {
	n := *c
	n.entries = nil
	return &n
}

// withEntries returns the content with its entries, which it rebuilds if they are missing.
func (c *content) withEntries() *content {
	if c.entries != nil {
		return c
	}
	return newContent(*c, nil)
}

func (c *content) wire() *wire.Content {
	return &wire.Content{Register: c.register, Sets: c.sets, Bounds: c.bounds, Customers: c.customers.GetCustomers()}
}

// parts returns the register, the bounds, the customers and the rule sets, which versions may share.
func (c *content) parts() []proto.Message {
	list := []proto.Message{c.register}
	if c.bounds != nil {
		list = append(list, c.bounds)
	}
	if c.customers != nil {
		list = append(list, c.customers)
	}
	for _, r := range c.sets {
		list = append(list, r)
	}
	return list
}

// withRules returns the content with one rule set added or replaced, or removed if r is empty.
func (c *content) withRules(r *wire.RuleSet) *content {
	sets := slices.Clone(c.sets)
	at, found := slices.BinarySearchFunc(sets, r.GetSet(), func(s *wire.RuleSet, name string) int {
		return strings.Compare(s.GetSet(), name)
	})
	empty := len(r.GetRoutes())+len(r.GetLimits())+len(r.GetDrains()) == 0
	switch {
	case found && empty:
		sets = slices.Delete(sets, at, at+1)
	case found:
		sets[at] = r
	case !empty:
		sets = slices.Insert(sets, at, r)
	}
	n := *c
	n.sets = sets
	return newContent(n, c)
}

// servicePrefix begins the keys of services in entries.
const servicePrefix = "service/"

func (c *content) hasService(name string) bool { return c.entries[servicePrefix+name] != nil }

// withRegister returns the content with another register.
func (c *content) withRegister(r *wire.Register) *content {
	n := *c
	n.register = r
	return newContent(n, c)
}

// withCustomers returns the content with the given customers, without entries. It keeps the message of the base if both have the same
// customers, so that versions share them.
func (c *content) withCustomers(list []*wire.Customer, base *content) content {
	n := *c
	n.entries = nil
	switch {
	case len(list) == 0:
		n.customers = nil
	case base != nil && sameCustomers(list, base.customers.GetCustomers()):
		n.customers = base.customers
	default:
		n.customers = &wire.Content{Customers: list}
	}
	return n
}

func sameCustomers(a, b []*wire.Customer) bool {
	return slices.EqualFunc(a, b, func(a, b *wire.Customer) bool { return a == b || proto.Equal(a, b) })
}

// normalizeSet returns the rule set with the set's name in every rule, since operators' tools may leave that name out. Routes
// that already have the name are not copied, so that versions share most of their routes.
func normalizeSet(r *wire.RuleSet) *wire.RuleSet {
	n := &wire.RuleSet{Set: r.GetSet()}
	for _, m := range r.GetRoutes() {
		if m.GetSet() != n.Set {
			m = proto.CloneOf(m)
			m.Set = n.Set
		}
		n.Routes = append(n.Routes, m)
	}
	for _, m := range r.GetLimits() {
		m = proto.CloneOf(m)
		m.Set = n.Set
		n.Limits = append(n.Limits, m)
	}
	for _, m := range r.GetDrains() {
		m = proto.CloneOf(m)
		m.Set = n.Set
		n.Drains = append(n.Drains, m)
	}
	return n
}

func decodeFingerprint(name string) []byte {
	data, err := hex.DecodeString(name)
	if err != nil {
		return nil
	}
	return data
}

func suspectKeys(fingerprints []string) []string {
	keys := make([]string, 0, len(fingerprints))
	for _, f := range fingerprints {
		keys = append(keys, config.KeyOf(&wire.Suspect{Fingerprint: []byte(f)}))
	}
	return keys
}

// changedKeys returns the keys whose entries differ between two contents, and the keys of the endpoints of added and removed
// services.
func changedKeys(before, after *content, m *members) []string {
	var keys []string
	for k, v := range after.entries {
		if old := before.entries[k]; old != v && (old == nil || !proto.Equal(old, v)) {
			keys = append(keys, k)
		}
	}
	for k := range before.entries {
		if after.entries[k] == nil {
			keys = append(keys, k)
		}
	}
	toggled := make(map[string]bool)
	for _, k := range keys {
		if strings.HasPrefix(k, servicePrefix) && (before.entries[k] == nil || after.entries[k] == nil) {
			toggled[strings.TrimPrefix(k, servicePrefix)] = true
		}
	}
	if len(toggled) > 0 {
		for k, e := range m.endpoints {
			if toggled[e.GetService()] {
				keys = append(keys, "endpoint/"+k)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// VersionError reports that the history has no content for a version.
type VersionError struct{ Version uint64 }

// Error names the version whose content is missing.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d: its content is not in the history", e.Version)
}

// Content returns the register, rule sets and bounds that resulted from the change with the given version. It fails with
// *VersionError if the history has no such change or no longer has its content.
func (s *Store) Content(version uint64) (*wire.Content, error) {
	for _, r := range s.history {
		if r.accepted.GetVersion() == version && r.content != nil {
			return r.content.wire(), nil
		}
	}
	return nil, &VersionError{Version: version}
}
