package host

import (
	"net/netip"
	"slices"
	"sync"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/io/process"
)

// directory knows the nodes with control replicas: those of the settings or, with seeds, those that the version in force
// names and the seeds.
type directory struct {
	settings *process.Settings

	mu    sync.Mutex
	seeds []netip.AddrPort
	list  []process.Replica
}

func newDirectory(s *process.Settings) *directory {
	d := &directory{settings: s, seeds: s.Seeds.Peers, list: s.Replicas}
	if d.seeded() {
		d.list = d.withSeeds(nil)
	}
	return d
}

// seeded reports whether the replicas are found through seeds.
func (d *directory) seeded() bool { return len(d.settings.Replicas) == 0 }

// update takes the replicas that a version names.
func (d *directory) update(t *config.Table) {
	if !d.seeded() {
		return
	}
	var list []process.Replica
	for _, n := range t.Nodes() {
		if n.Replica != "" {
			list = append(list, process.Replica{Name: n.Name, Address: n.Address})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = d.withSeeds(list)
}

// add takes up a leader that an upstream names before this node holds a version that does.
func (d *directory) add(name string) {
	address, ok := d.address(name)
	if !ok || !d.seeded() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.ContainsFunc(d.list, func(r process.Replica) bool { return r.Name == name }) {
		d.list = append(slices.Clone(d.list), process.Replica{Name: name, Address: address})
	}
}

// reseed replaces the seeds after a change of the settings.
func (d *directory) reseed(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
	d.list = d.withSeeds(d.list)
}

// withSeeds appends the seeds that a list lacks; they are asked last.
func (d *directory) withSeeds(list []process.Replica) []process.Replica {
	list = slices.Clone(list)
	for _, a := range d.seeds {
		r := process.Replica{Name: a.Addr().String(), Address: a}
		if !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// replicas returns the known replicas.
func (d *directory) replicas() []process.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// address maps a replica identity or name to its peer listener.
func (d *directory) address(id string) (netip.AddrPort, bool) {
	name := agreement.Name(id)
	if d.seeded() {
		ip, err := netip.ParseAddr(name)
		return netip.AddrPortFrom(ip, d.settings.Listen.Peer.Port()), err == nil
	}
	for _, r := range d.settings.Replicas {
		if r.Name == name {
			return r.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// founders returns the names of the first members of the group; none when this process must not take part in founding.
func (d *directory) founders() []string {
	if d.seeded() && !d.settings.Seeds.Found {
		return nil
	}
	var names []string
	for _, r := range d.replicas() {
		names = append(names, r.Name)
	}
	return names
}
