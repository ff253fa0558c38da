package host

import (
	"net/netip"
	"slices"
	"sync"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/io/process"
)

// directory lists the nodes with control replicas: those in the settings or, if the settings name seeds, those in the version
// in force and the seeds.
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

// seeded reports whether replicas are found through seeds.
func (d *directory) seeded() bool { return len(d.settings.Replicas) == 0 }

// update replaces the list by the replicas of a version and the seeds.
func (d *directory) update(t *config.RoutingTable) {
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

// addLeader adds a leader that an upstream names. A node that has just started needs it, because its version does not list the
// leader yet.
func (d *directory) addLeader(name string) {
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

// withSeeds appends the seeds that are not in the list, so that they are asked last.
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

// address returns the peer address of a replica, given its identity or name.
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

// founders returns the names of the initial members of the replica group, or none if this process must not found it.
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
