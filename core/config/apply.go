package config

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Apply returns the snapshot that results from a delta, or s itself if the delta leads to the version and digest of s; s stays
// unchanged. Apply fails with *StaleError, *GapError, *InvalidError or *DigestError. A full delta replaces all content, even at
// the version of s if the digests differ, so that a node with damaged content can recover.
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
	edits, err := editsOf(d)
	if err != nil {
		return nil, err
	}
	base := s
	if d.GetWhole() {
		base = NewSnapshot()
	}
	n := base.merge(d.GetVersion(), edits)
	if d.GetWhole() {
		// A full delta carries no tombstones, so the result cannot serve deltas from older versions.
		n.horizon = n.version
		n.tombstones = nil
	}
	if n.digest != want {
		return nil, &DigestError{Version: n.version, Got: n.digest, Want: want}
	}
	return n, nil
}

// editsOf validates a delta and returns its entries and tombstones as edits.
func editsOf(d *wire.Delta) ([]edit, error) {
	var f faults
	list := make([]edit, 0, len(d.GetEntries())+len(d.GetRemoved()))
	seen := make(map[string]bool, len(d.GetEntries())+len(d.GetRemoved()))
	check := func(key string, version uint64) {
		if version == 0 || version > d.GetVersion() {
			f.add(key, "a version from 1 to %d", d.GetVersion())
		}
		if seen[key] {
			f.add(key, "one record per key, not several")
		}
		seen[key] = true
	}
	if d.GetWhole() && len(d.GetRemoved()) > 0 {
		f.add("removed", "no tombstones in a whole delta")
	}
	for _, t := range d.GetRemoved() {
		check(t.GetKey(), t.GetVersion())
		list = append(list, edit{key: t.GetKey(), version: t.GetVersion()})
	}
	for _, e := range d.GetEntries() {
		check(e.GetKey(), e.GetVersion())
		r := newRecord(Entry{Key: e.GetKey(), Version: e.GetVersion(), Value: e.GetValue()})
		if r.message == nil && !isMember(r.Key) {
			f.add(e.GetKey(), "an entry of a known kind whose value decodes and names the same key")
		}
		list = append(list, edit{key: r.Key, version: r.Version, put: r})
	}
	return list, f.err()
}

// Marshal encodes the snapshot with its tombstones, so that a replica that restores the snapshot can serve deltas.
func (s *Snapshot) Marshal() ([]byte, error) {
	d := s.FullDelta()
	d.Base = s.horizon
	for _, t := range s.tombstones {
		d.Removed = append(d.Removed, &wire.Tombstone{Key: t.key, Version: t.version})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(d)
}

// Unmarshal decodes a snapshot written by Marshal; it fails with *InvalidError or *DigestError.
func Unmarshal(data []byte) (*Snapshot, error) {
	var d wire.Delta
	if err := proto.Unmarshal(data, &d); err != nil {
		return nil, &InvalidError{Faults: []Fault{{Field: "snapshot", Expected: "a marshalled snapshot: " + err.Error()}}}
	}
	removed := d.GetRemoved()
	d.Removed = nil
	list, err := editsOf(&d)
	if err != nil {
		return nil, err
	}
	n := NewSnapshot().merge(d.GetVersion(), list)
	n.horizon = d.GetBase()
	for _, t := range removed {
		n.tombstones = append(n.tombstones, tombstone{key: t.GetKey(), version: t.GetVersion()})
	}
	if want := DigestOf(d.GetDigest()); n.digest != want {
		return nil, &DigestError{Version: n.version, Got: n.digest, Want: want}
	}
	if !slices.IsSortedFunc(n.tombstones, func(a, b tombstone) int {
		if a.version != b.version {
			return compareVersions(a.version, b.version)
		}
		return strings.Compare(a.key, b.key)
	}) {
		return nil, &InvalidError{Faults: []Fault{{Field: "removed", Expected: "tombstones sorted by version and key"}}}
	}
	return n, nil
}
