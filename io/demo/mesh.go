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
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/io/disk"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
	"godwitspindle/io/standin"
)

// HostSpec describes one host of the mesh: a node and, if Service is set, a backend server.
type HostSpec struct {
	Name    string
	Region  string
	Domain  string // failure domain
	Service string // service of the backend server; empty for none
	Replica bool   // whether the node is a control replica
}

// Mesh runs the nodes and backend servers of a list of hosts.
type Mesh struct {
	Hosts      []*host.Host      // nodes in the order of the specs; nil while a node is stopped
	Backends   []*standin.Server // backend servers in the order of the specs; nil for hosts without one
	specs      []HostSpec
	settings   []*process.Settings
	dataFolder string
	log        logr.Logger
	partition  partition
	mu         sync.RWMutex // guards Hosts, which Start, Stop and Drain change
}

// Option changes a default of New: the profile process.Fast, a latency of 1 ms, 12 slots and no TLS.
type Option func(*meshOptions)

type meshOptions struct {
	profile        process.Profile
	latency        time.Duration
	slots          int
	tls            func(name string) process.TLSFiles
	backendOptions func(i int) []standin.Option
}

// WithProfile sets the distribution profile of all nodes.
func WithProfile(p process.Profile) Option { return func(o *meshOptions) { o.profile = p } }

// WithLatency sets the time that each request runs on the backend servers.
func WithLatency(t time.Duration) Option { return func(o *meshOptions) { o.latency = t } }

// WithSlots sets the slots of each backend server.
func WithSlots(n int) Option { return func(o *meshOptions) { o.slots = n } }

// WithTLS sets the TLS files of each node by its name; the peer and operator listeners then require mutual TLS.
func WithTLS(files func(name string) process.TLSFiles) Option {
	return func(o *meshOptions) { o.tls = files }
}

// WithBackendOptions adds options to the backend server of each host, given its index in the specs.
func WithBackendOptions(f func(i int) []standin.Option) Option {
	return func(o *meshOptions) { o.backendOptions = f }
}

// New starts a node on each host and then the backend servers; replicas keep their data in subfolders of folder.
func New(folder string, specs []HostSpec, log logr.Logger, opts ...Option) (*Mesh, error) {
	o := meshOptions{profile: process.Fast, latency: time.Millisecond, slots: 12, backendOptions: func(int) []standin.Option { return nil }}
	for _, f := range opts {
		f(&o)
	}
	m := &Mesh{specs: specs, dataFolder: folder, log: log, Hosts: make([]*host.Host, len(specs)), Backends: make([]*standin.Server, len(specs))}
	if err := m.buildSettings(o); err != nil {
		return nil, err
	}
	errs := make([]error, len(specs))
	var wait sync.WaitGroup
	for i := range specs {
		wait.Go(func() { errs[i] = m.Start(i) })
	}
	wait.Wait()
	for i := range specs {
		if errs[i] == nil && specs[i].Service != "" {
			errs[i] = m.startBackend(i, o)
		}
	}
	if err := errors.Join(errs...); err != nil {
		_ = m.Close()
		return nil, err
	}
	return m, nil
}

// buildSettings fills in the settings of all nodes and creates the replicas' data folders.
func (m *Mesh) buildSettings(o meshOptions) error {
	addresses, err := freeAddresses(3 * len(m.specs))
	if err != nil {
		return err
	}
	var replicas []process.Replica
	for i, p := range m.specs {
		if p.Replica {
			replicas = append(replicas, process.Replica{Name: p.Name, Address: addresses[3*i]})
		}
	}
	for i, p := range m.specs {
		s := process.Default()
		s.Name, s.Region, s.Domain, s.Replicas, s.Profile = p.Name, p.Region, p.Domain, replicas, o.profile
		if o.tls != nil {
			s.TLS = o.tls(p.Name)
		}
		s.Log.Sample = 0
		anyPort := loopback(0) // with a port that the system selects
		s.Listen = process.Listen{
			Peer: addresses[3*i], Caller: addresses[3*i+1], Backend: addresses[3*i+2], Local: anyPort, Operator: anyPort, Metrics: anyPort,
		}
		if p.Replica {
			s.Data = filepath.Join(m.dataFolder, p.Name)
			if err := os.MkdirAll(s.Data, 0o700); err != nil {
				return fmt.Errorf("create the data folder: %w", err)
			}
		}
		m.settings = append(m.settings, s)
	}
	return nil
}

// Times of a start that waits for a process to execute its program.
const (
	maxForkTime = time.Second
	forkPause   = 5 * time.Millisecond
)

// Start starts the node of host i, which must not be running. A restarted node keeps its peer, caller and backend addresses.
func (m *Mesh) Start(i int) error {
	h, err := m.newHost(i)
	for began := time.Now(); isHeldByFork(err) && time.Since(began) < maxForkTime; {
		time.Sleep(forkPause)
		h, err = m.newHost(i)
	}
	if err != nil {
		return fmt.Errorf("start node %s: %w", m.specs[i].Name, err)
	}
	m.swapHost(i, h)
	m.partition.addHost(i, h.Listen().Peer)
	return nil
}

func (m *Mesh) newHost(i int) (*host.Host, error) {
	return host.New(m.settings[i], m.log, host.WithDial(m.partition.dialer(i)))
}

// isHeldByFork reports whether a node may not have started because a process that this one is starting holds a copy of a listener or of the
// lock of a data folder. It does so until it executes its program, also if the node that had them has closed them.
func isHeldByFork(err error) bool {
	var locked *disk.LockedError
	return errors.Is(err, syscall.EADDRINUSE) || errors.As(err, &locked)
}

// Partition silently separates the nodes of the given hosts from all others: data is dropped in both directions and no connection
// is refused. Nodes on the same side reach each other. Without hosts the partition heals.
func (m *Mesh) Partition(hosts ...int) { m.partition.isolate(hosts) }

// Stop ends the node of host i at once, as a crash of its process would.
func (m *Mesh) Stop(i int) error {
	return m.swapHost(i, nil).Close()
}

// swapHost replaces the node of host i by h, nil for none, and returns the former node.
func (m *Mesh) swapHost(i int, h *host.Host) *host.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.Hosts[i]
	m.Hosts[i] = h
	return old
}

// Running returns the nodes in the order of the specs, with nil for a stopped one.
func (m *Mesh) Running() []*host.Host {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.Hosts)
}

// Drain stops the node of host i gracefully and waits for calls in flight.
func (m *Mesh) Drain(i int) error {
	return m.swapHost(i, nil).Drain()
}

func (m *Mesh) startBackend(i int, o meshOptions) error {
	b, err := standin.New(append([]standin.Option{
		standin.WithNode(m.Hosts[i].Listen().Backend),
		standin.WithEndpoint(m.specs[i].Service, m.specs[i].Name),
		standin.WithSlots(o.slots, 130),
		standin.WithLatency(o.latency),
	}, o.backendOptions(i)...)...)
	if err != nil {
		return fmt.Errorf("start the backend server at %s: %w", m.specs[i].Name, err)
	}
	m.Backends[i] = b
	return nil
}

// OperatorClient returns a client of the operator listeners of all running nodes; opts set how it connects.
func (m *Mesh) OperatorClient(opts ...operator.ClientOption) *operator.Client {
	var list []netip.AddrPort
	for _, h := range m.Running() {
		if h != nil && h.Listen().Operator.IsValid() {
			list = append(list, h.Listen().Operator)
		}
	}
	return operator.NewClient(append(opts, operator.WithAddresses(list...))...)
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

// Close stops all nodes and backend servers at once.
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

// Ports are below the default range of Linux for outgoing connections, so that a node finds its ports free when it restarts.
const (
	lowestPort = 20_000
	portCount  = 12_000
)

// nextPort counts the ports tried so far; it is shared, so that meshes that start at the same time get different ports.
var nextPort = newCounter(rand.Uint32N(portCount))

func newCounter(start uint32) *atomic.Uint32 {
	c := &atomic.Uint32{}
	c.Store(start)
	return c
}

// freeAddresses returns n different loopback addresses that are free and were not recently returned in this process.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	var last error
	for i := 0; i < portCount && len(found) < n; i++ {
		a := loopback(uint16(lowestPort + nextPort.Add(1)%portCount))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			last = err
			continue
		}
		_ = l.Close()
		found = append(found, a)
	}
	if len(found) < n {
		return nil, fmt.Errorf("find free loopback ports: %w", last)
	}
	return found, nil
}
