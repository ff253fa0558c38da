package config

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Apply returns the snapshot after a delta, or an error and no change: *StaleError, *GapError, *InvalidError or
// *DigestError. A repeated delta to the held version returns the held snapshot. A whole delta to the held version with
// another digest replaces it, so that a node with damaged content can recover.
func (s *Snapshot) Apply(d *wire.Delta) (*Snapshot, error) {
	want := DigestOf(d.GetDigest())
	if d.GetVersion() < s.version {
		return nil, &StaleError{Held: s.version, Offered: d.GetVersion()}
	}
	if !d.GetWhole() && d.GetBase() > s.version {
		return nil, &GapError{Held: s.version, Base: d.GetBase()}
	}
	if d.GetVersion() == s.version && want == s.digest {
		return s, nil
	}
	edits, err := edits(d)
	if err != nil {
		return nil, err
	}
	base := s
	if d.GetWhole() {
		base = NewSnapshot()
	}
	n := base.merge(d.GetVersion(), edits)
	if d.GetWhole() {
		// A whole delta carries no removals, so deltas from older versions cannot be built on it.
		n.horizon = n.version
		n.removed = nil
	}
	if n.digest != want {
		return nil, &DigestError{Version: n.version, Got: n.digest, Want: want}
	}
	return n, nil
}

// edits checks a delta and turns it into edits.
func edits(d *wire.Delta) ([]edit, error) {
	var f faults
	list := make([]edit, 0, len(d.GetEntries())+len(d.GetRemoved()))
	seen := make(map[string]bool, len(d.GetEntries())+len(d.GetRemoved()))
	check := func(key string, version uint64) {
		if version == 0 || version > d.GetVersion() {
			f.add(key, "a version from 1 to %d", d.GetVersion())
		}
		if seen[key] {
			f.add(key, "one record for each key")
		}
		seen[key] = true
	}
	if d.GetWhole() && len(d.GetRemoved()) > 0 {
		f.add("removed", "no removals in a whole delta")
	}
	for _, t := range d.GetRemoved() {
		check(t.GetKey(), t.GetVersion())
		list = append(list, edit{key: t.GetKey(), version: t.GetVersion()})
	}
	for _, e := range d.GetEntries() {
		check(e.GetKey(), e.GetVersion())
		r := newRecord(Entry{Key: e.GetKey(), Version: e.GetVersion(), Value: e.GetValue()})
		if r.message == nil {
			f.add(e.GetKey(), "a known kind with a value of the same name")
		}
		list = append(list, edit{key: r.Key, version: r.Version, put: r})
	}
	return list, f.err()
}

// Marshal returns the snapshot with its tombstones, so that a restored replica can go on serving deltas.
func (s *Snapshot) Marshal() ([]byte, error) {
	d := s.Whole()
	d.Base = s.horizon
	for _, t := range s.removed {
		d.Removed = append(d.Removed, &wire.Tombstone{Key: t.key, Version: t.version})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(d)
}

// Unmarshal returns the snapshot that Marshal wrote; *InvalidError or *DigestError.
func Unmarshal(data []byte) (*Snapshot, error) {
	var d wire.Delta
	if err := proto.Unmarshal(data, &d); err != nil {
		return nil, &InvalidError{Faults: []Fault{{Field: "snapshot", Expected: "a marshalled snapshot: " + err.Error()}}}
	}
	removed := d.GetRemoved()
	d.Removed = nil
	list, err := edits(&d)
	if err != nil {
		return nil, err
	}
	n := NewSnapshot().merge(d.GetVersion(), list)
	n.horizon = d.GetBase()
	for _, t := range removed {
		n.removed = append(n.removed, tombstone{key: t.GetKey(), version: t.GetVersion()})
	}
	if want := DigestOf(d.GetDigest()); n.digest != want {
		return nil, &DigestError{Version: n.version, Got: n.digest, Want: want}
	}
	if !slices.IsSortedFunc(n.removed, func(a, b tombstone) int {
		if a.version != b.version {
			return compare(a.version, b.version)
		}
		return strings.Compare(a.key, b.key)
	}) {
		return nil, &InvalidError{Faults: []Fault{{Field: "removed", Expected: "tombstones in order"}}}
	}
	return n, nil
}
