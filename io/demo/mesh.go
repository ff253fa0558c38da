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
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
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
	settings []*process.Settings
	folder   string
	log      logr.Logger
	cuts     cuts
	mu       sync.RWMutex // guards Hosts and the addresses in settings against Start, Stop and Drain
}

// Option configures a Mesh.
type Option func(*meshOptions)

type meshOptions struct {
	profile process.Profile
	latency time.Duration
	slots   int
	tls     func(name string) process.Files
	standin func(i int) []standin.Option
}

// WithProfile sets the distribution profile of all nodes.
func WithProfile(p process.Profile) Option { return func(o *meshOptions) { o.profile = p } }

// WithLatency sets how long the backend servers take for a request.
func WithLatency(t time.Duration) Option { return func(o *meshOptions) { o.latency = t } }

// WithSlots sets the slots of each backend server.
func WithSlots(n int) Option { return func(o *meshOptions) { o.slots = n } }

// WithTLS sets the TLS files of each node by its name; peer and operator listeners then demand mutual TLS.
func WithTLS(files func(name string) process.Files) Option {
	return func(o *meshOptions) { o.tls = files }
}

// WithStandin adds options to the backend server at each place.
func WithStandin(f func(i int) []standin.Option) Option {
	return func(o *meshOptions) { o.standin = f }
}

// New starts nodes and backend servers; data folders are made below folder.
func New(folder string, places []Place, log logr.Logger, opts ...Option) (*Mesh, error) {
	o := meshOptions{profile: process.Fast, latency: time.Millisecond, slots: 12, standin: func(int) []standin.Option { return nil }}
	for _, f := range opts {
		f(&o)
	}
	m := &Mesh{places: places, folder: folder, log: log, Hosts: make([]*host.Host, len(places)), Backends: make([]*standin.Server, len(places))}
	if err := m.plan(o); err != nil {
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
func (m *Mesh) plan(o meshOptions) error {
	addresses, err := freeAddresses(3 * len(m.places))
	if err != nil {
		return err
	}
	var replicas []process.Replica
	for i, p := range m.places {
		if p.Replica {
			replicas = append(replicas, process.Replica{Name: p.Name, Address: addresses[3*i]})
		}
	}
	for i, p := range m.places {
		s := process.Default()
		s.Name, s.Region, s.Domain, s.Replicas, s.Profile = p.Name, p.Region, p.Domain, replicas, o.profile
		if o.tls != nil {
			s.TLS = o.tls(p.Name)
		}
		s.Log.Sample = 0
		free := loopback(0) // a port that the system chooses
		s.Listen = process.Listen{
			Peer: addresses[3*i], Caller: addresses[3*i+1], Backend: addresses[3*i+2], Local: free, Operator: free, Metrics: free,
		}
		if p.Replica {
			s.Data = filepath.Join(m.folder, p.Name)
			if err := os.MkdirAll(s.Data, 0o700); err != nil {
				return fmt.Errorf("make the data folder: %w", err)
			}
		}
		m.settings = append(m.settings, s)
	}
	return nil
}

// Start starts the node at the given place, which must not run; its addresses for peers, callers and the backend server stay the same.
func (m *Mesh) Start(i int) error {
	h, err := host.New(m.settings[i], m.log, host.WithDial(m.cuts.dialer(i)))
	if err != nil {
		return fmt.Errorf("start %s: %w", m.places[i].Name, err)
	}
	m.put(i, h)
	m.cuts.place(i, h.Listen().Peer)
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
	b, err := standin.New(append([]standin.Option{
		standin.WithNode(m.Hosts[i].Listen().Backend),
		standin.WithEndpoint(m.places[i].Service, m.places[i].Name),
		standin.WithSlots(o.slots, 130),
		standin.WithLatency(o.latency),
	}, o.standin(i)...)...)
	if err != nil {
		return fmt.Errorf("start the backend server at %s: %w", m.places[i].Name, err)
	}
	m.Backends[i] = b
	return nil
}

// Operators returns a client of the operators' listeners; more sets how it connects.
func (m *Mesh) Operators(more ...operator.ClientOption) *operator.Client {
	var list []netip.AddrPort
	for _, h := range m.Running() {
		if h != nil && h.Listen().Operator.IsValid() {
			list = append(list, h.Listen().Operator)
		}
	}
	return operator.NewClient(append(more, operator.WithAddresses(list...))...)
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

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// Ports lie below the range from which Linux takes ports for connections by default, so that a node finds its ports free when
// it starts again.
const (
	lowestPort = 20_000
	ports      = 12_000
)

// nextPort counts the ports that were handed out, so that meshes which start at once never share one.
var nextPort = newCursor(rand.Uint32N(ports))

func newCursor(at uint32) *atomic.Uint32 {
	c := &atomic.Uint32{}
	c.Store(at)
	return c
}

// freeAddresses finds different ports that are free now and that no other mesh of this process was given lately.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	var last error
	for i := 0; i < ports && len(found) < n; i++ {
		a := loopback(uint16(lowestPort + nextPort.Add(1)%ports))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			last = err
			continue
		}
		_ = l.Close()
		found = append(found, a)
	}
	if len(found) < n {
		return nil, fmt.Errorf("find free ports: %w", last)
	}
	return found, nil
}
