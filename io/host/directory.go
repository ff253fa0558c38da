package host

import (
	"net/netip"
	"slices"
	"sync"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/io/process"
)

// directory lists the nodes with control replicas: those in the settings or, if the settings name none, those in the version
// in force and the seeds.
type directory struct {
	settings *process.Settings

	mu    sync.Mutex
	seeds []netip.AddrPort
	known []process.Replica
}

func newDirectory(s *process.Settings) *directory {
	d := &directory{settings: s, seeds: s.Seeds.Peers, known: s.Replicas}
	if d.seeded() {
		d.known = d.withSeeds(nil)
	}
	return d
}

// seeded reports whether replicas are found through seeds, because the settings list none.
func (d *directory) seeded() bool { return len(d.settings.Replicas) == 0 }

// update sets the known replicas to those in a version plus the seeds. Replicas from the settings stay.
func (d *directory) update(t *config.RoutingTable) {
	if !d.seeded() {
		return
	}
	var known []process.Replica
	for _, n := range t.Nodes() {
		if n.Replica != "" {
			known = append(known, process.Replica{Name: n.Name, Address: n.Address})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = d.withSeeds(known)
}

// addLeader adds a leader that an upstream names, if replicas are found through seeds. The version of a node that has just
// started does not list the leader yet.
func (d *directory) addLeader(name string) {
	address, ok := d.address(name)
	if !ok || !d.seeded() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.ContainsFunc(d.known, func(r process.Replica) bool { return r.Name == name }) {
		d.known = append(slices.Clone(d.known), process.Replica{Name: name, Address: address})
	}
}

// reseed replaces the seeds after a change of the settings.
func (d *directory) reseed(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
	d.known = d.withSeeds(d.known)
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
	return d.known
}

// address returns the peer address of a replica, given its identity or name. If replicas are found through seeds, the name is
// the IP address, and all peer listeners have the same port.
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

// founders returns the names of the initial members of the replica group, or none if this process must not found the group.
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
