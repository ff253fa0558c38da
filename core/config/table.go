package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitspindle/core/wire"
)

// Node is a proxy process of the mesh.
type Node struct {
	Name        string
	Address     netip.AddrPort // address of the peer listener
	Domain      string         // failure domain
	Region      string
	Incarnation uint64
	Replica     string // identity of the control replica in its process; empty for none
	Link        uint64 // rate of the host's link, in bytes per second; 0 if unknown
}

// RoutingTable is the immutable routing view of a snapshot.
type RoutingTable struct {
	version        uint64
	routes         map[string]map[string][]*Route // routes by host (empty for any) and by path prefix
	services       map[string]*Service            // by name
	sortedServices []*Service                     // sorted by name
	nodes          []Node                         // sorted by name
	nodeIndexes    map[string]int                 // index in nodes, by name
	suspects       map[string]*wire.Suspect       // by fingerprint
	bounds         *Bounds                        // limits on callers' requests; nil if none are configured
	customers      map[string]*Customer           // by name
	keys           map[keyDigest]*Customer        // by digest of an API key
}

// CallerBounds is the name of the bounds entry that applies to callers' requests.
const CallerBounds = "callers"

// builder is a table under construction, with the state that only the construction needs.
type builder struct {
	*RoutingTable
	faults
	serviceLimits  map[string][]*wire.Limit // limits by name of the service
	sortedLimits   []*wire.Limit            // limits sorted by name, so that faults are reported in a fixed order
	drains         []*wire.Drain
	rollouts       []*wire.Rollout
	endpointCounts map[string]int // number of endpoints by service, to size its slice

	sharesCustomers bool // the customers are those of another table, and none are added
}

// NewTable validates the references between entries and builds the table of a snapshot; *InvalidError lists the
// faults. Nodes and endpoints that cannot be used are no faults: the table leaves them out.
//
// Entries are decoded when they enter a snapshot, so a build only links their messages in one pass over them.
func NewTable(s *Snapshot) (*RoutingTable, error) {
	b := newBuilder(s)
	b.routes = make(map[string]map[string][]*Route)
	b.readRecords(s)
	for _, r := range s.ofKind(kindRoute) {
		if m, ok := r.message.(*wire.Route); ok {
			b.addRoute(m)
		}
	}
	b.addEndpoints(s)
	return b.result()
}

func newBuilder(s *Snapshot) *builder {
	nodes := s.count(kindNode)
	return &builder{serviceLimits: make(map[string][]*wire.Limit), endpointCounts: make(map[string]int), RoutingTable: &RoutingTable{
		version:     s.version,
		services:    make(map[string]*Service),
		nodes:       make([]Node, 0, nodes),
		nodeIndexes: make(map[string]int, nodes),
		suspects:    make(map[string]*wire.Suspect),
	}}
}

// readRecords reads all records except routes and endpoints, and checks the services of limits and drains. Routes and endpoints
// refer to other records and are added later.
func (b *builder) readRecords(s *Snapshot) {
	for _, r := range s.records {
		b.readRecord(r)
	}
	b.checkRules()
	b.addRollouts()
}

func (b *builder) addEndpoints(s *Snapshot) {
	for _, r := range s.ofKind(kindEndpoint) {
		if m, ok := r.message.(*wire.Endpoint); ok {
			b.addEndpoint(m)
		}
	}
}

func (b *builder) result() (*RoutingTable, error) {
	if err := b.err(); err != nil {
		return nil, err
	}
	return b.RoutingTable, nil
}

func (b *builder) readRecord(r *record) {
	switch m := r.message.(type) {
	case nil:
		if isMember(r.Key) {
			return
		}
		b.add(r.Key, "an entry of a known kind whose value decodes and names the same key")
	case *wire.Service:
		s := &Service{
			Name:        m.GetName(),
			Internal:    m.GetInternal(),
			Slots:       int(m.GetSlots()),
			Connections: int(m.GetConnections()),
			Probe:       m.GetProbe(),
			Protocol:    m.GetProtocol(),
			TLS:         m.GetTls(),
		}
		b.services[s.Name] = s
		b.sortedServices = append(b.sortedServices, s)
	case *wire.Node:
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			return // excluded by ValidNode
		}
		b.nodeIndexes[m.GetName()] = len(b.nodes)
		b.nodes = append(b.nodes, Node{
			Name:        m.GetName(),
			Address:     address,
			Domain:      m.GetDomain(),
			Region:      m.GetRegion(),
			Incarnation: m.GetIncarnation(),
			Replica:     m.GetReplica(),
			Link:        m.GetLink(),
		})
	case *wire.Endpoint:
		b.endpointCounts[m.GetService()]++
	case *wire.Limit:
		b.serviceLimits[m.GetService()] = append(b.serviceLimits[m.GetService()], m)
		b.sortedLimits = append(b.sortedLimits, m)
	case *wire.Drain:
		b.drains = append(b.drains, m)
	case *wire.Bounds:
		if m.GetName() == CallerBounds {
			b.bounds = boundsOf(m)
		}
	case *wire.Customer:
		b.addCustomer(m)
	case *wire.Rollout:
		b.rollouts = append(b.rollouts, m)
	case *wire.Suspect:
		b.suspects[string(m.GetFingerprint())] = m
	}
}

func (b *builder) checkRules() {
	for _, l := range b.sortedLimits {
		if b.services[l.GetService()] == nil {
			b.add(KeyOf(l)+".service", "a service of the snapshot, not %q", l.GetService())
		}
	}
	for _, d := range b.drains {
		if d.GetService() != "" && b.services[d.GetService()] == nil {
			b.add(KeyOf(d)+".service", "a service of the snapshot, not %q", d.GetService())
		}
	}
}

func boundsOf(m *wire.Bounds) *Bounds {
	return &Bounds{
		Header:        int(m.GetHeader()),
		Body:          int64(m.GetBody()),
		HeaderTimeout: time.Duration(m.GetReading()) * time.Millisecond,
		IdleTimeout:   time.Duration(m.GetIdle()) * time.Millisecond,
	}
}

// readSplits returns the splits of a route, and whether the services of all of them exist.
func (b *builder) readSplits(m *wire.Route) ([]Split, bool) {
	var list []Split
	known := true
	for _, s := range m.GetSplits() {
		if b.services[s.GetService()] == nil {
			b.add(KeyOf(m)+".splits", "services of the snapshot, not %q", s.GetService())
			known = false
		}
		list = append(list, Split{Service: s.GetService(), Weight: int(s.GetWeight())})
	}
	return list, known
}

func (b *builder) addRoute(m *wire.Route) {
	splits, known := b.readSplits(m)
	if len(splits) == 0 && b.services[m.GetService()] == nil {
		b.add(KeyOf(m)+".service", "a service of the snapshot, not %q", m.GetService())
		return
	}
	if !known {
		return
	}
	paths := b.routes[m.GetHost()]
	if paths == nil {
		paths = make(map[string][]*Route)
		b.routes[m.GetHost()] = paths
	}
	paths[m.GetPath()] = append(slices.Clip(paths[m.GetPath()]), &Route{
		Name:       m.GetName(),
		Service:    m.GetService(),
		Host:       m.GetHost(),
		Path:       m.GetPath(),
		Methods:    m.GetMethods(),
		Idempotent: m.GetIdempotent(),
		Late:       m.GetLate(),
		Priority:   int(m.GetPriority()),
		Deadline:   time.Duration(m.GetDeadline()) * time.Millisecond,
		Retries:    int(m.GetRetries()),
		Set:        m.GetSet(),
		Splits:     splits,
		Latency:    time.Duration(m.GetLatency()) * time.Millisecond,
		Attempts:   int(m.GetAttempts()),
		Public:     m.GetPublic(),
	})
}

// addEndpoint adds an endpoint to its service. It leaves out an endpoint whose service or node the snapshot lacks or cannot use: no route
// leads to such an endpoint, and all other entries hold.
func (b *builder) addEndpoint(m *wire.Endpoint) {
	service := b.services[m.GetService()]
	index, ok := b.nodeIndexes[m.GetNode()]
	if service == nil || !ok {
		return
	}
	n := &b.nodes[index]
	for _, d := range b.drains {
		if drainApplies(d, m, n.Domain) {
			return
		}
	}
	e := Endpoint{
		Service:     m.GetService(),
		Name:        m.GetName(),
		Node:        m.GetNode(),
		Address:     n.Address,
		Domain:      n.Domain,
		Region:      n.Region,
		Slots:       orDefault(int(m.GetSlots()), service.Slots),
		Connections: orDefault(int(m.GetConnections()), service.Connections),
		Incarnation: m.GetIncarnation(),
		Release:     m.GetRelease(),
	}
	for _, l := range b.serviceLimits[m.GetService()] {
		e.Slots = applyLimit(e.Slots, int(l.GetSlots()))
		e.Connections = applyLimit(e.Connections, int(l.GetConnections()))
	}
	if service.Endpoints == nil {
		service.Endpoints = make([]Endpoint, 0, b.endpointCounts[service.Name])
	}
	service.Endpoints = append(service.Endpoints, e)
}

func drainApplies(d *wire.Drain, m *wire.Endpoint, domain string) bool {
	if d.GetService() != "" && d.GetService() != m.GetService() {
		return false
	}
	if d.GetDomain() != "" && d.GetDomain() != domain {
		return false
	}
	return d.GetEndpoint() == "" || d.GetEndpoint() == m.GetName()
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func applyLimit(value, limit int) int {
	if limit == 0 {
		return value
	}
	return min(value, limit)
}

// Version returns the version of the snapshot that the table was built from.
func (t *RoutingTable) Version() uint64 { return t.version }

// Configured reports whether the table has any route or service; without one, it is unknown which requests have a route.
func (t *RoutingTable) Configured() bool { return len(t.routes)+len(t.services) > 0 }

// Bounds returns the limits on callers' requests; it returns false if none are configured.
func (t *RoutingTable) Bounds() (Bounds, bool) {
	if t.bounds == nil {
		return Bounds{}, false
	}
	return *t.bounds, true
}

// Match returns the route of a request, or false if it has none. Routes with the request's host precede routes for any host. Among
// routes of equal host, the longest path prefix wins whose route allows the method. Prefixes match whole segments, and one that
// ends in a slash does not match the path without the slash. The host may include a port and is case-insensitive.
func (t *RoutingTable) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if r := matchPath(t.routes[hostname(host)], path, method); r != nil {
			return r, true
		}
	}
	r := matchPath(t.routes[""], path, method)
	return r, r != nil
}

func matchPath(paths map[string][]*Route, path, method string) *Route {
	for len(paths) > 0 {
		for _, r := range paths[path] {
			if allowsMethod(r, method) {
				return r
			}
		}
		if path == "" || path == "/" {
			return nil
		}
		path = shorterPrefix(path)
	}
	return nil
}

// shorterPrefix returns the next shorter prefix of a path; repeated calls on "/a/b" return "/a/", "/a" and "/".
func shorterPrefix(path string) string {
	slash := strings.LastIndexByte(path, '/')
	if slash > 0 && slash == len(path)-1 {
		return path[:slash]
	}
	if slash < 0 {
		return "/"
	}
	return path[:slash+1]
}

func allowsMethod(r *Route, method string) bool {
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return len(r.Methods) == 0
}

// hostname returns the value of a Host header in lower case, without the port if it has one.
func hostname(host string) string {
	end := strings.LastIndexByte(host, ':')
	if end > strings.LastIndexByte(host, ']') {
		host = host[:end]
	}
	return strings.ToLower(host)
}

// Service returns the service with a name; callers must not modify it.
func (t *RoutingTable) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services sorted by name; callers must not modify the slice.
func (t *RoutingTable) Services() []*Service { return t.sortedServices }

// Nodes returns all nodes sorted by name; callers must not modify the slice.
func (t *RoutingTable) Nodes() []Node { return t.nodes }

// Node returns the node with a name, or false if the snapshot has none.
func (t *RoutingTable) Node(name string) (Node, bool) {
	i, ok := t.nodeIndexes[name]
	if !ok {
		return Node{}, false
	}
	return t.nodes[i], true
}

// Quarantined returns the number of request fingerprints that are in quarantine at the given time.
func (t *RoutingTable) Quarantined(now time.Time) int {
	n := 0
	for _, s := range t.suspects {
		if s.GetQuarantined() && s.GetUntil() > now.UnixMilli() {
			n++
		}
	}
	return n
}

// Suspect returns the suspect entry of a request fingerprint, as agreed by the replicas; callers must not modify the message.
func (t *RoutingTable) Suspect(fingerprint []byte) (*wire.Suspect, bool) {
	s, ok := t.suspects[string(fingerprint)]
	return s, ok
}
