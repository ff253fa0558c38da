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

// content is the operators' part of one version. It is immutable; versions share registers and rule sets.
type content struct {
	register *wire.Register
	sets     []*wire.RuleSet // by name
	bounds   *wire.Bounds    // on what callers send; nil for none
	entries  map[string]proto.Message
}

func newContent(register *wire.Register, sets []*wire.RuleSet, bounds *wire.Bounds) *content {
	c := &content{register: register, sets: sets, bounds: bounds, entries: make(map[string]proto.Message)}
	put := func(m proto.Message) { c.entries[config.KeyOf(m)] = m }
	for _, s := range register.GetServices() {
		put(s)
	}
	for _, d := range register.GetDomains() {
		put(d)
	}
	if bounds != nil {
		put(bounds)
	}
	for _, s := range sets {
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

// bare returns the content without its entries, which would take about 50 KB for each kept version of the design size.
func (c *content) bare() *content {
	return &content{register: c.register, sets: c.sets, bounds: c.bounds}
}

// full returns the content with its entries.
func (c *content) full() *content {
	if c.entries != nil {
		return c
	}
	return newContent(c.register, c.sets, c.bounds)
}

func (c *content) wire() *wire.Content {
	return &wire.Content{Register: c.register, Sets: c.sets, Bounds: c.bounds}
}

// parts returns the register, the rule sets and the bounds, which versions share.
func (c *content) parts() []proto.Message {
	list := []proto.Message{c.register}
	if c.bounds != nil {
		list = append(list, c.bounds)
	}
	for _, r := range c.sets {
		list = append(list, r)
	}
	return list
}

// withRules returns content with one set replaced; an empty set is removed.
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
	return newContent(c.register, sets, c.bounds)
}

// normal returns a rule set whose rules all name it; operators' tools may leave that out. Rules that do are shared with the
// given set, so that versions share most of their routes.
func normal(r *wire.RuleSet) *wire.RuleSet {
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

func fingerprint(name string) []byte {
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

// changedKeys returns the keys whose entries differ between two contents, and the endpoints of services that came or went.
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
	moved := make(map[string]bool)
	for _, k := range keys {
		if strings.HasPrefix(k, "service/") && (before.entries[k] == nil || after.entries[k] == nil) {
			moved[strings.TrimPrefix(k, "service/")] = true
		}
	}
	if len(moved) > 0 {
		for k, e := range m.endpoints {
			if moved[e.GetService()] {
				keys = append(keys, "endpoint/"+k)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// VersionError reports that no content is kept for a version.
type VersionError struct{ Version uint64 }

// Error formats the failure.
func (e *VersionError) Error() string {
	return fmt.Sprintf("no content is kept for version %d", e.Version)
}

// Content returns the register and rule sets as of the change with a version; *VersionError when there is none.
func (s *Store) Content(version uint64) (*wire.Content, error) {
	for _, r := range s.history {
		if r.accepted.GetVersion() == version && r.content != nil {
			return r.content.wire(), nil
		}
	}
	return nil, &VersionError{Version: version}
}
