package config

import (
	"maps"
	"slices"
	"strings"

	"godwitspindle/core/wire"
)

// NextTable returns the same table and faults for s as NewTable. Unless a service was removed, it reuses the unchanged routes and
// customers of previous, which is the table of old, so that a burst of versions on a small host does not rebuild thousands of routes
// and keys each time.
func NextTable(previous *RoutingTable, old, s *Snapshot) (*RoutingTable, error) {
	b := newBuilder(s)
	if slices.Equal(old.ofKind(kindCustomer), s.ofKind(kindCustomer)) {
		b.sharesCustomers, b.customers, b.keys = true, previous.customers, previous.keys
	}
	b.readRecords(s)
	for name := range previous.services {
		if b.services[name] == nil {
			return NewTable(s) // unchanged routes may refer to the removed service
		}
	}
	b.routes = previous.routes
	removed, added := changedRoutes(old, s)
	if len(removed)+len(added) > 0 {
		b.routes = maps.Clone(previous.routes)
	}
	cloned := map[string]bool{} // hosts whose paths are cloned from the previous table
	clonedPaths := func(host string) map[string][]*Route {
		if !cloned[host] {
			cloned[host] = true
			b.routes[host] = maps.Clone(b.routes[host])
		}
		return b.routes[host]
	}
	for _, m := range removed {
		removeRoute(clonedPaths(m.GetHost()), m)
	}
	for _, m := range added {
		if clonedPaths(m.GetHost()) == nil {
			b.routes[m.GetHost()] = map[string][]*Route{}
		}
		b.addRoute(m)
		slices.SortFunc(b.routes[m.GetHost()][m.GetPath()], func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	}
	for host := range cloned {
		if len(b.routes[host]) == 0 {
			delete(b.routes, host)
		}
	}
	b.addEndpoints(s)
	return b.result()
}

// removeRoute removes a route from the paths of its host. The map must not be shared with another table, but its lists may be.
func removeRoute(paths map[string][]*Route, m *wire.Route) {
	list := slices.DeleteFunc(slices.Clone(paths[m.GetPath()]), func(r *Route) bool { return r.Name == m.GetName() })
	if len(list) == 0 {
		delete(paths, m.GetPath())
		return
	}
	paths[m.GetPath()] = list
}

// changedRoutes returns the routes to remove and to add between two snapshots; a changed route is in both lists. It compares
// record pointers, since snapshots share unchanged records.
func changedRoutes(old, current *Snapshot) (removed, added []*wire.Route) {
	appendRoute := func(list []*wire.Route, r *record) []*wire.Route {
		if m, ok := r.message.(*wire.Route); ok {
			return append(list, m)
		}
		return list
	}
	oldRecords, newRecords := old.ofKind(kindRoute), current.ofKind(kindRoute)
	for len(oldRecords) > 0 && len(newRecords) > 0 {
		switch o, c := oldRecords[0], newRecords[0]; {
		case o == c:
			oldRecords, newRecords = oldRecords[1:], newRecords[1:]
		case o.Key < c.Key:
			removed, oldRecords = appendRoute(removed, o), oldRecords[1:]
		case o.Key > c.Key:
			added, newRecords = appendRoute(added, c), newRecords[1:]
		default:
			removed, added = appendRoute(removed, o), appendRoute(added, c)
			oldRecords, newRecords = oldRecords[1:], newRecords[1:]
		}
	}
	for _, o := range oldRecords {
		removed = appendRoute(removed, o)
	}
	for _, c := range newRecords {
		added = appendRoute(added, c)
	}
	return removed, added
}
