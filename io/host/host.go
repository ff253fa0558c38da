package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/admission"
	"godwitspindle/core/relay"
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/disk"
	"godwitspindle/io/hop"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// Host is one running process.
type Host struct {
	settings    *process.Settings
	log         logr.Logger
	metrics     *process.Metrics
	incarnation uint64

	clients  *peer.Clients
	holder   *peer.Holder
	feed     *peer.Feed
	tracker  *relay.Tracker
	known    *directory
	upstream *upstream
	proposer *peer.Proposer
	courier  *peer.Courier
	control  *control // nil without a control replica
	marker   *marker
	floors   *peer.Rounds

	// Set while replicas and nodes below already call; nil until then.
	follower atomic.Pointer[peer.Follower]
	announce atomic.Pointer[announcer]

	picker  *routing.Picker
	budgets *retry.Budgets
	turns   *turns
	hops    *hop.Client
	backend *backend.Backend
	callers *caller.Handler
	locally *caller.Handler

	peers   *process.Server
	servers map[string]*process.Server // by listener
	bound   map[string]netip.AddrPort  // by listener
	tls     *process.TLS
	leaving atomic.Bool
	// reported is the version for which the nodes below were last reported complete.
	reported atomic.Uint64
	dial     Dial
	// What adapters to other interfaces add.
	wrap      func(h *Host, callers, local http.Handler) http.Handler
	identify  []caller.Option
	toBackend []backend.Option
	toGate    []admission.Option
	link      *admission.Link // of the host; nil when its rate is not known
	toPicker  []routing.Option
	extra     []extra
	adopted   adoption
	started   time.Time
	// redirected is used on replicas only.
	redirected redirects

	mu     sync.Mutex
	locals map[string]*local
}

// adoption is what WithAdopted sets.
type adoption struct {
	address netip.AddrPort
	window  time.Duration
	once    sync.Once
}

// adopt takes up the node's endpoints of the first version that it serves.
func (h *Host) adopt(v peer.View) {
	if h.adopted.window == 0 || !h.holder.Serving() {
		return
	}
	h.adopted.once.Do(func() {
		_, endpoints := v.Snapshot.Members()
		for _, e := range endpoints {
			if e.GetNode() != h.settings.Name {
				continue
			}
			h.backend.Adopt(backend.Announcement{
				Service: e.GetService(), Endpoint: e.GetName(), Address: h.adopted.address, Slots: int(e.GetSlots()),
				Connections: int(e.GetConnections()), Incarnation: e.GetIncarnation(),
			}, h.adopted.window)
		}
		h.changed()
	})
}

// New starts a process with checked settings; Run waits for its end and Close ends it at once.
func New(s *process.Settings, log logr.Logger, opts ...Option) (*Host, error) {
	h := &Host{
		settings:    s,
		log:         log.WithValues("node", s.Name),
		metrics:     process.NewMetrics(),
		incarnation: rand.Uint64() | 1,
		tracker:     relay.NewTracker(s.Name, pollOf(s)),
		known:       newDirectory(s),
		locals:      map[string]*local{},
		turns:       newTurns(),
		wrap:        func(_ *Host, callers, _ http.Handler) http.Handler { return callers },
		bound:       map[string]netip.AddrPort{},
		servers:     map[string]*process.Server{},
		started:     time.Now(),
	}
	for _, o := range opts {
		o(h)
	}
	if s.Link > 0 {
		h.link = admission.NewLink(s.Link)
		h.toGate = append(h.toGate, admission.WithLink(h.link))
	}
	h.upstream = newUpstream(s, h.known)
	h.budgets = h.newBudgets()
	if h.dial == nil && s.Timing.Silence > 0 {
		h.dial = process.Dial(s.Timing.Silence)
	}
	// Each step uses the parts that the steps before it made.
	steps := []func() error{
		h.startTransport,
		h.startHolder,
		h.startControl,
		h.startFeed,
		h.startCalls,
		h.startPeers,
		h.startFollower,
		h.startListeners,
	}
	for _, start := range steps {
		if err := start(); err != nil {
			_ = h.Close()
			return nil, err
		}
	}
	h.log.Info("started", "peer", h.peers.Address().String(), "replica", s.IsReplica())
	return h, nil
}

func (h *Host) startTransport() error {
	clientOptions := []peer.ClientsOption{peer.WithClientKey(h.settings.Key), peer.WithClientObserve(h.countControl), peer.WithClientDial(h.dial)}
	hopOptions := []hop.Option{hop.WithKey(h.settings.Key), hop.WithDial(h.dial), hop.WithCrossed(h.metrics.Crossed.Inc)}
	if h.settings.TLS.Enabled() {
		t, err := process.NewTLS(h.settings.TLS, process.WithTLSLogger(h.log))
		if err != nil {
			return err
		}
		h.tls = t
		clientOptions = append(clientOptions, peer.WithClientDialTLS(t.Dial))
		hopOptions = append(hopOptions, hop.WithDialTLS(t.Dial))
	}
	if d := h.settings.Timing.Dial; d > 0 {
		hopOptions = append(hopOptions, hop.WithDialTimeout(d))
	}
	h.clients = peer.NewClients(clientOptions...)
	h.hops = hop.New(hopOptions...)
	h.proposer = peer.NewProposer(h.clients, h.upstream.replicas, h.log.WithName("proposer"), peer.WithAnnounceBackoff(h.settings.Timing.Backoff))
	h.marker = newMarker(h.proposer.Propose)
	return nil
}

func (h *Host) startHolder() error {
	options := []peer.HolderOption{peer.WithSwapped(h.swapped)}
	if h.settings.Data != "" {
		floor, err := disk.LoadFloor(h.settings.Data)
		if err != nil {
			return fmt.Errorf("load the floor: %w", err)
		}
		options = append(options, peer.WithSavedFloor(floor, func(v uint64) error { return disk.SaveFloor(h.settings.Data, v) }))
	}
	h.picker = routing.New(append([]routing.Option{
		routing.WithRandom(rand.IntN),
		routing.WithDomain(h.settings.Domain),
		routing.WithRegion(h.settings.Region),
		routing.WithNode(h.settings.Name),
	}, h.toPicker...)...)
	holder, err := peer.NewHolder(options...)
	h.holder = holder
	return err
}

func (h *Host) startControl() error {
	if !h.settings.IsReplica() {
		return nil
	}
	h.courier = peer.NewCourier(h.clients, h.known.address, h.log.WithName("courier"))
	c, err := newControl(h.settings, controlParts{
		clients:       h.clients,
		courier:       h.courier,
		holder:        h.holder,
		tracker:       h.tracker,
		known:         h.known,
		metrics:       h.metrics,
		leaderChanged: h.leaderChanged,
		log:           h.log.WithName("control"),
	})
	if err != nil {
		return fmt.Errorf("start the control replica: %w", err)
	}
	h.control = c
	return nil
}

// leaderChanged makes the follower choose its upstream again, since a replica reports only to the leader.
func (h *Host) leaderChanged() {
	if f := h.follower.Load(); f != nil {
		f.Repoll()
	}
}

func (h *Host) startCalls() error {
	h.backend = newBackend(h)
	log := h.log.WithName("caller")
	sampled := process.NewSampled(log, h.settings.Log.Sample)
	options := func(local bool) []caller.Option {
		return append([]caller.Option{
			caller.WithLocal(local),
			caller.WithMaxBody(callBytes),
			caller.WithMatch(h.match),
			caller.WithPick(h.pick),
			caller.WithObserve(h.picker.Start, h.observe),
			caller.WithFinished(h.finished),
			caller.WithSend(h.send),
			caller.WithDecide(h.decide),
			caller.WithClaim(h.claim, h.finish, h.release),
			caller.WithLog(log, sampled.Next),
			caller.WithLeaving(h.leaving.Load),
		}, h.identify...)
	}
	h.callers = caller.New(options(false)...)
	h.locally = caller.New(options(true)...)
	return nil
}

// swapped follows a new version in force; it must not wait.
func (h *Host) swapped(v peer.View) {
	h.metrics.Version.Set(float64(v.Snapshot.Version()))
	h.upstream.update(v)
	h.picker.Retain(func(key string) bool {
		_, ok := v.Table.Endpoint(key)
		return ok
	})
	go h.resize()
	h.changed()
	if h.follower.Load() != nil {
		h.acknowledged(v.Snapshot.Version()) // nodes below may have taken the version from elsewhere first
	}
	time.AfterFunc(lateReport, h.reportLate)
}

// changed makes the announcer compare what is agreed with what is announced.
func (h *Host) changed() {
	if a := h.announce.Load(); a != nil {
		a.notify()
	}
}

func (h *Host) countControl(method string, sent, received int) {
	h.metrics.ControlBytes.WithLabelValues(method, "sent").Add(float64(sent))
	h.metrics.ControlBytes.WithLabelValues(method, "received").Add(float64(received))
}

// Metrics returns the collectors of the process.
func (h *Host) Metrics() *process.Metrics { return h.metrics }

// Listen returns the bound addresses of all listeners; one that is not open is the zero value.
func (h *Host) Listen() process.Listen {
	return process.Listen{
		Caller:   h.bound["caller"],
		Local:    h.bound["local"],
		Backend:  h.bound["backend"],
		Peer:     h.bound["peer"],
		Operator: h.bound["operator"],
		Metrics:  h.bound["metrics"],
	}
}

// View returns the version in force.
func (h *Host) View() peer.View { return h.holder.View() }

// Serving reports whether the node has proved its floor and takes calls.
func (h *Host) Serving() bool { return h.holder.Serving() }

// Leads reports whether the control replica of this process leads.
func (h *Host) Leads() bool { return h.control != nil && h.control.leaderName() == h.settings.Name }

// Run waits until ctx ends and then stops gracefully: no call in flight is cut within the setting grace. It
// returns early with the error of a control replica that stopped.
func (h *Host) Run(ctx context.Context) error {
	var failed <-chan struct{}
	if h.control != nil {
		failed = h.control.replica.Done()
	}
	select {
	case <-ctx.Done():
		return h.Drain()
	case <-failed:
		err := h.control.replica.Err()
		return errors.Join(fmt.Errorf("the control replica stopped: %w", err), h.Drain())
	}
}

// Close ends the process at once; calls in flight are cut.
func (h *Host) Close() error {
	var errs []error
	if a := h.announce.Load(); a != nil {
		a.close()
	}
	if f := h.follower.Load(); f != nil {
		f.Close()
	}
	for _, s := range h.servers {
		errs = append(errs, s.Close())
	}
	if h.backend != nil {
		errs = append(errs, h.backend.Close())
	}
	if h.control != nil {
		errs = append(errs, h.control.close())
	}
	if h.courier != nil {
		h.courier.Close()
	}
	h.marker.close()
	h.proposer.Close()
	errs = append(errs, h.hops.Close())
	h.clients.Close()
	return errors.Join(errs...)
}
