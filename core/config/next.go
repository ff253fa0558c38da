package config

import (
	"maps"
	"slices"
	"strings"

	"godwitspindle/core/wire"
)

// NextTable builds the table of a snapshot as NewTable does, given the table of another snapshot. Routes that stand in both are
// taken over, since a burst of versions on a small host would otherwise rebuild thousands of them for each.
func NextTable(held *Table, before, s *Snapshot) (*Table, error) {
	b := newBuilder(s)
	b.readAll(s)
	for name := range held.services {
		if b.services[name] == nil {
			return NewTable(s) // routes that did not change may have lost their service
		}
	}
	b.routes = held.routes
	gone, come := changedRoutes(before, s)
	if len(gone)+len(come) > 0 {
		b.routes = maps.Clone(held.routes)
	}
	own := map[string]bool{} // hosts whose paths are no longer shared
	paths := func(host string) map[string][]*Route {
		if !own[host] {
			own[host] = true
			b.routes[host] = maps.Clone(b.routes[host])
		}
		return b.routes[host]
	}
	for _, m := range gone {
		drop(paths(m.GetHost()), m)
	}
	for _, m := range come {
		if paths(m.GetHost()) == nil {
			b.routes[m.GetHost()] = map[string][]*Route{}
		}
		b.route(m)
		slices.SortFunc(b.routes[m.GetHost()][m.GetPath()], func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	}
	for host := range own {
		if len(b.routes[host]) == 0 {
			delete(b.routes, host)
		}
	}
	b.linkEndpoints(s)
	return b.result()
}

// drop removes a route from the paths of its host, which are not shared; the list of its path may be.
func drop(paths map[string][]*Route, m *wire.Route) {
	list := slices.DeleteFunc(slices.Clone(paths[m.GetPath()]), func(r *Route) bool { return r.Name == m.GetName() })
	if len(list) == 0 {
		delete(paths, m.GetPath())
		return
	}
	paths[m.GetPath()] = list
}

// changedRoutes returns the routes that only one of two snapshots holds. Snapshots share the records that did not change.
func changedRoutes(before, after *Snapshot) (gone, come []*wire.Route) {
	take := func(list []*wire.Route, r *record) []*wire.Route {
		if m, ok := r.message.(*wire.Route); ok {
			return append(list, m)
		}
		return list
	}
	old, current := before.ofKind(kindRoute), after.ofKind(kindRoute)
	for len(old) > 0 && len(current) > 0 {
		switch o, c := old[0], current[0]; {
		case o == c:
			old, current = old[1:], current[1:]
		case o.Key < c.Key:
			gone, old = take(gone, o), old[1:]
		case o.Key > c.Key:
			come, current = take(come, c), current[1:]
		default:
			gone, come = take(gone, o), take(come, c)
			old, current = old[1:], current[1:]
		}
	}
	for _, o := range old {
		gone = take(gone, o)
	}
	for _, c := range current {
		come = take(come, c)
	}
	return gone, come
}
