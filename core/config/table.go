package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitspindle/core/wire"
)

// Node is a proxy process of the fleet.
type Node struct {
	Name        string
	Address     netip.AddrPort // peer listener
	Domain      string         // failure domain
	Region      string
	Incarnation uint64
	Replica     string // identity of its control replica; empty without one
	Link        uint64 // rate of the host's link, bytes per second; 0 when not known
}

// Table is the immutable routing view of a snapshot.
type Table struct {
	version  uint64
	routes   map[string]map[string][]*Route // host, path
	services map[string]*Service
	sorted   []*Service
	nodes    []Node
	byName   map[string]int
	suspects map[string]*wire.Suspect
	bounds   *Bounds
}

// CallerBounds is the name of the bounds on what callers send.
const CallerBounds = "callers"

// builder holds what is only needed while a table is built.
type builder struct {
	*Table
	faults
	limits  map[string][]*wire.Limit // by service
	ordered []*wire.Limit            // by name, so that faults have a fixed order
	drains  []*wire.Drain
	counts  map[string]int // endpoints by service, to size their slices
}

// NewTable checks a snapshot as a whole and builds its table; *InvalidError lists what does not fit together.
//
// Entries are decoded once when they enter a snapshot, so a build only links them: its cost is one pass over the entries.
func NewTable(s *Snapshot) (*Table, error) {
	b := newBuilder(s)
	b.routes = make(map[string]map[string][]*Route)
	b.readAll(s)
	for _, r := range s.ofKind(kindRoute) {
		if m, ok := r.message.(*wire.Route); ok {
			b.route(m)
		}
	}
	b.linkEndpoints(s)
	return b.result()
}

func newBuilder(s *Snapshot) *builder {
	nodes := s.count(kindNode)
	return &builder{limits: make(map[string][]*wire.Limit), counts: make(map[string]int), Table: &Table{
		version:  s.version,
		services: make(map[string]*Service),
		nodes:    make([]Node, 0, nodes),
		byName:   make(map[string]int, nodes),
		suspects: make(map[string]*wire.Suspect),
	}}
}

// readAll reads nodes, services and rules, to which endpoints and routes are linked.
func (b *builder) readAll(s *Snapshot) {
	for _, r := range s.records {
		b.read(r)
	}
	b.checkRules()
}

func (b *builder) linkEndpoints(s *Snapshot) {
	for _, r := range s.ofKind(kindEndpoint) {
		if m, ok := r.message.(*wire.Endpoint); ok {
			b.endpoint(m)
		}
	}
}

func (b *builder) result() (*Table, error) {
	if err := b.err(); err != nil {
		return nil, err
	}
	return b.Table, nil
}

func (b *builder) read(r *record) {
	switch m := r.message.(type) {
	case nil:
		b.add(r.Key, "a known kind with a value of the same name")
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
		b.sorted = append(b.sorted, s)
	case *wire.Node:
		address, err := netip.ParseAddrPort(m.GetAddress())
		if err != nil {
			b.add(r.Key+".address", "an IP address and port")
		}
		b.byName[m.GetName()] = len(b.nodes)
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
		b.counts[m.GetService()]++
	case *wire.Limit:
		b.limits[m.GetService()] = append(b.limits[m.GetService()], m)
		b.ordered = append(b.ordered, m)
	case *wire.Drain:
		b.drains = append(b.drains, m)
	case *wire.Bounds:
		if m.GetName() == CallerBounds {
			b.bounds = boundsOf(m)
		}
	case *wire.Suspect:
		b.suspects[string(m.GetFingerprint())] = m
	}
}

func (b *builder) checkRules() {
	for _, l := range b.ordered {
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
		Header:  int(m.GetHeader()),
		Body:    int64(m.GetBody()),
		Reading: time.Duration(m.GetReading()) * time.Millisecond,
		Idle:    time.Duration(m.GetIdle()) * time.Millisecond,
	}
}

// splits reads the shares of a route and reports whether all its services exist.
func (b *builder) splits(m *wire.Route) ([]Split, bool) {
	var list []Split
	whole := true
	for _, s := range m.GetSplits() {
		if b.services[s.GetService()] == nil {
			b.add(KeyOf(m)+".splits", "services of the snapshot, not %q", s.GetService())
			whole = false
		}
		list = append(list, Split{Service: s.GetService(), Weight: int(s.GetWeight())})
	}
	return list, whole
}

func (b *builder) route(m *wire.Route) {
	splits, whole := b.splits(m)
	if len(splits) == 0 && b.services[m.GetService()] == nil {
		b.add(KeyOf(m)+".service", "a service of the snapshot, not %q", m.GetService())
		return
	}
	if !whole {
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
	})
}

func (b *builder) endpoint(m *wire.Endpoint) {
	service := b.services[m.GetService()]
	at, ok := b.byName[m.GetNode()]
	if service == nil {
		b.add(KeyOf(m)+".service", "a service of the snapshot, not %q", m.GetService())
	}
	if !ok {
		b.add(KeyOf(m)+".node", "a node of the snapshot, not %q", m.GetNode())
	}
	if service == nil || !ok {
		return
	}
	n := &b.nodes[at]
	for _, d := range b.drains {
		if drained(d, m, n.Domain) {
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
		Slots:       choose(int(m.GetSlots()), service.Slots),
		Connections: choose(int(m.GetConnections()), service.Connections),
		Incarnation: m.GetIncarnation(),
	}
	for _, l := range b.limits[m.GetService()] {
		e.Slots = lower(e.Slots, int(l.GetSlots()))
		e.Connections = lower(e.Connections, int(l.GetConnections()))
	}
	if service.Endpoints == nil {
		service.Endpoints = make([]Endpoint, 0, b.counts[service.Name])
	}
	service.Endpoints = append(service.Endpoints, e)
}

func drained(d *wire.Drain, m *wire.Endpoint, domain string) bool {
	if d.GetService() != "" && d.GetService() != m.GetService() {
		return false
	}
	if d.GetDomain() != "" && d.GetDomain() != domain {
		return false
	}
	return d.GetEndpoint() == "" || d.GetEndpoint() == m.GetName()
}

func choose(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func lower(value, limit int) int {
	if limit == 0 {
		return value
	}
	return min(value, limit)
}

// Version returns the version of the snapshot that the table was built from.
func (t *Table) Version() uint64 { return t.version }

// Configured reports whether an operator has described anything; before that, nobody knows which requests have a route.
func (t *Table) Configured() bool { return len(t.routes)+len(t.services) > 0 }

// Bounds returns the limits on what callers send, when there are any.
func (t *Table) Bounds() (Bounds, bool) {
	if t.bounds == nil {
		return Bounds{}, false
	}
	return *t.bounds, true
}

// Match returns the route of a request: an exact host goes before any host, then the longest path prefix at a segment
// border whose route takes the method. A prefix that ends in a slash matches only what follows the slash. The host may
// carry a port and is compared without regard to case.
func (t *Table) Match(host, path, method string) (*Route, bool) {
	if host != "" {
		if r := match(t.routes[hostname(host)], path, method); r != nil {
			return r, true
		}
	}
	r := match(t.routes[""], path, method)
	return r, r != nil
}

func match(paths map[string][]*Route, path, method string) *Route {
	for len(paths) > 0 {
		for _, r := range paths[path] {
			if takes(r, method) {
				return r
			}
		}
		if path == "" || path == "/" {
			return nil
		}
		path = shorter(path)
	}
	return nil
}

// shorter returns the next shorter prefix of a path: "/a/b", "/a/", "/a", "/".
func shorter(path string) string {
	at := strings.LastIndexByte(path, '/')
	if at > 0 && at == len(path)-1 {
		return path[:at]
	}
	if at < 0 {
		return "/"
	}
	return path[:at+1]
}

func takes(r *Route, method string) bool {
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return len(r.Methods) == 0
}

// hostname returns the host of a Host header in lower case without its port.
func hostname(host string) string {
	end := strings.LastIndexByte(host, ':')
	if end > strings.LastIndexByte(host, ']') {
		host = host[:end]
	}
	return strings.ToLower(host)
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name; the slice must not be modified.
func (t *Table) Services() []*Service { return t.sorted }

// Nodes returns all nodes by name; the slice must not be modified.
func (t *Table) Nodes() []Node { return t.nodes }

// Node returns a node by name.
func (t *Table) Node(name string) (Node, bool) {
	i, ok := t.byName[name]
	if !ok {
		return Node{}, false
	}
	return t.nodes[i], true
}

// Quarantined returns the number of request fingerprints in quarantine at now.
func (t *Table) Quarantined(now time.Time) int {
	n := 0
	for _, s := range t.suspects {
		if s.GetQuarantined() && s.GetUntil() > now.UnixMilli() {
			n++
		}
	}
	return n
}

// Suspect returns the agreed mark of a request fingerprint; the message must not be modified.
func (t *Table) Suspect(fingerprint []byte) (*wire.Suspect, bool) {
	s, ok := t.suspects[string(fingerprint)]
	return s, ok
}
