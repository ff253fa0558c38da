package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/platform"
	"godwitspindle/io/standin"
)

// Place is one host of the mesh: a node and, if Service is set, a backend server beside it.
type Place struct {
	Name    string
	Region  string
	Domain  string // failure domain
	Service string
	Replica bool
}

// Mesh is a running mesh.
type Mesh struct {
	Hosts    []*host.Host // in the order of the places; nil while a node is stopped
	Backends []*standin.Server
	places   []Place
	settings []*platform.Settings
	folder   string
	log      logr.Logger
	cuts     cuts
	mu       sync.RWMutex // guards Hosts and the addresses in settings against Start, Stop and Drain
}

// Option configures a Mesh.
type Option func(*meshOptions)

type meshOptions struct {
	profile platform.Profile
	latency time.Duration
	slots   int
}

// WithProfile sets the distribution profile of all nodes.
func WithProfile(p platform.Profile) Option { return func(o *meshOptions) { o.profile = p } }

// WithLatency sets how long the backend servers take for a request.
func WithLatency(t time.Duration) Option { return func(o *meshOptions) { o.latency = t } }

// WithSlots sets the slots of each backend server.
func WithSlots(n int) Option { return func(o *meshOptions) { o.slots = n } }

// New starts nodes and backend servers; data folders are made below folder.
func New(folder string, places []Place, log logr.Logger, opts ...Option) (*Mesh, error) {
	o := meshOptions{profile: platform.Fast, latency: time.Millisecond, slots: 12}
	for _, f := range opts {
		f(&o)
	}
	m := &Mesh{places: places, folder: folder, log: log, Hosts: make([]*host.Host, len(places)), Backends: make([]*standin.Server, len(places))}
	if err := m.plan(o.profile); err != nil {
		return nil, err
	}
	errs := make([]error, len(places))
	var wait sync.WaitGroup
	for i := range places {
		wait.Go(func() { errs[i] = m.Start(i) })
	}
	wait.Wait()
	for i := range places {
		if errs[i] == nil && places[i].Service != "" {
			errs[i] = m.serve(i, o)
		}
	}
	if err := errors.Join(errs...); err != nil {
		_ = m.Close()
		return nil, err
	}
	return m, nil
}

// plan makes the settings of all nodes.
func (m *Mesh) plan(profile platform.Profile) error {
	var replicas []platform.Replica
	// Each place has a loopback address of its own, so that no other listener or connection takes the ports of a stopped node.
	network := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(254)), byte(rand.N(255)), 0})
	addresses := make([]netip.Addr, len(m.places))
	for i, p := range m.places {
		network = network.Next()
		addresses[i] = network
		if !p.Replica {
			continue
		}
		a, err := freeAddress(network)
		if err != nil {
			return err
		}
		replicas = append(replicas, platform.Replica{Name: p.Name, Address: a})
	}
	for i, p := range m.places {
		s := platform.Default()
		s.Name, s.Region, s.Domain, s.Replicas, s.Profile = p.Name, p.Region, p.Domain, replicas, profile
		s.Log.Sample = 0
		any := netip.AddrPortFrom(addresses[i], 0)
		s.Listen = platform.Listen{Caller: any, Local: any, Backend: any, Peer: any, Operator: any, Metrics: any}
		for _, r := range replicas {
			if r.Name == p.Name {
				s.Listen.Peer = r.Address
				s.Data = filepath.Join(m.folder, p.Name)
			}
		}
		if s.Data != "" {
			if err := os.MkdirAll(s.Data, 0o700); err != nil {
				return fmt.Errorf("make the data folder: %w", err)
			}
		}
		m.settings = append(m.settings, s)
	}
	return nil
}

// Start starts the node at the given place, which must not run; its peer address stays the same if it is a replica.
func (m *Mesh) Start(i int) error {
	h, err := host.New(m.settings[i], m.log, host.WithDial(m.cuts.dialer(i)))
	if err != nil {
		return fmt.Errorf("start %s: %w", m.places[i].Name, err)
	}
	m.put(i, h)
	m.cuts.place(i, h.Listen().Peer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings[i].Listen = h.Listen()
	if !m.places[i].Replica {
		m.settings[i].Listen.Operator = netip.AddrPortFrom(h.Listen().Peer.Addr(), 0)
	}
	return nil
}

// Cut separates the nodes at the given places silently from all others: messages vanish in both directions and nothing is
// refused. Nodes on the same side reach each other. Without places the partition heals.
func (m *Mesh) Cut(places ...int) { m.cuts.set(places) }

// Stop ends the node at the given place at once, as a crash of its process would.
func (m *Mesh) Stop(i int) error {
	return m.put(i, nil).Close()
}

// put replaces the node at a place and returns the former one.
func (m *Mesh) put(i int, h *host.Host) *host.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.Hosts[i]
	m.Hosts[i] = h
	return old
}

// Running returns the nodes in the order of the places; nil stands for a stopped one.
func (m *Mesh) Running() []*host.Host {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.Hosts)
}

// Drain stops the node at the given place gracefully.
func (m *Mesh) Drain(i int) error {
	return m.put(i, nil).Drain()
}

func (m *Mesh) serve(i int, o meshOptions) error {
	b, err := standin.New(
		standin.WithNode(m.Hosts[i].Listen().Backend),
		standin.WithEndpoint(m.places[i].Service, m.places[i].Name),
		standin.WithSlots(o.slots, 130),
		standin.WithLatency(o.latency),
	)
	if err != nil {
		return fmt.Errorf("start the backend server at %s: %w", m.places[i].Name, err)
	}
	m.Backends[i] = b
	return nil
}

// Operators returns a client of the operators' listeners.
func (m *Mesh) Operators() *operator.Client {
	var list []netip.AddrPort
	for _, h := range m.Running() {
		if h != nil && h.Listen().Operator.IsValid() {
			list = append(list, h.Listen().Operator)
		}
	}
	return operator.NewClient(operator.WithAddresses(list...))
}

// Await polls until ready reports true for every running node or ctx ends.
func (m *Mesh) Await(ctx context.Context, ready func(h *host.Host) bool) error {
	for {
		all := true
		for _, h := range m.Running() {
			all = all && (h == nil || ready(h))
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Close ends all nodes and backend servers.
func (m *Mesh) Close() error {
	var errs []error
	for _, b := range m.Backends {
		if b != nil {
			errs = append(errs, b.Close())
		}
	}
	var wait sync.WaitGroup
	for _, h := range m.Running() {
		if h != nil {
			wait.Go(func() { _ = h.Close() })
		}
	}
	wait.Wait()
	return errors.Join(errs...)
}

// freeAddress finds a port that is free now. The address should be used by one node only, else another listener
// could take the port before the node opens it.
func freeAddress(a netip.Addr) (netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, 0)))
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
