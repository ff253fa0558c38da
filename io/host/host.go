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
	"golang.org/x/time/rate"

	"godwitspindle/core/admission"
	"godwitspindle/core/notice"
	"godwitspindle/core/relay"
	"godwitspindle/core/retry"
	"godwitspindle/core/routing"
	"godwitspindle/core/shutdown"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
	"godwitspindle/io/disk"
	"godwitspindle/io/hop"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

// Host is one running process of the mesh: a node, with a control replica if the settings ask for one.
type Host struct {
	settings    *process.Settings
	log         logr.Logger
	metrics     *process.Metrics
	incarnation uint64

	clients   *peer.Clients
	holder    *peer.Holder
	feed      *peer.Feed
	tracker   *relay.Tracker
	directory *directory
	upstream  *upstream
	proposer  *peer.Proposer
	sender    *peer.Sender
	control   *control // nil without a control replica
	marker    *marker
	// departures keeps the processes of local endpoints that have left for good.
	departures *departures
	floors     *peer.SharedRead

	// The next two fields are nil until startFollower sets them; replicas and other nodes may call this process before that.
	follower atomic.Pointer[peer.Follower]
	announce atomic.Pointer[announcer]

	picker   *routing.Picker
	budgets  *retry.Budgets
	stop     *stopRecord
	splits   *splitCounter
	rollouts *rollouts
	notices  *notice.Table
	nested   *nestedCalls
	// invalidLimits bounds the log lines about limits that are not valid.
	invalidLimits rate.Sometimes
	hops          *hop.Client
	backend       *backend.Backend
	callers       *caller.Handler
	localCallers  *caller.Handler
	quotas        *quotas

	peers   *process.Server
	servers map[string]*process.Server // listeners by name, such as "peer"
	bound   map[string]netip.AddrPort  // addresses of the listeners by name
	tls     *process.TLS

	shutdown    *shutdown.Stop // rule of a planned stop
	drainOnce   sync.Once
	drainError  error // result of Drain, set by drainOnce
	leaveReport sync.WaitGroup

	// reportedVersion is the version last reported upstream as in force on every node below this one.
	reportedVersion atomic.Uint64
	dial            Dial
	// The fields up to adopted are set by options, except link.
	wrapCallers      func(h *Host, callers, local http.Handler) http.Handler
	callerOptions    []caller.Option
	backendOptions   []backend.Option
	admissionOptions []admission.Option
	link             *admission.Link // link of the host; nil if its rate is unknown
	routingOptions   []routing.Option
	extraListeners   []extraListener
	adopted          adoption
	started          time.Time
	// redirected is used only on replicas.
	redirected redirects

	customerLabels customerLabels
	revocation     time.Duration // age of a confirmation from which on no key is accepted, see WithRevocation; 0 for never

	mu     sync.Mutex
	locals map[string]*localEndpoint
}

// New starts a process with validated settings. Run drains it when its context ends; Close stops it at once.
func New(s *process.Settings, log logr.Logger, opts ...Option) (*Host, error) {
	h := &Host{
		settings:    s,
		log:         log.WithValues("node", s.Name),
		metrics:     process.NewMetrics(),
		incarnation: rand.Uint64() | 1,
		tracker:     relay.NewTracker(s.Name, pollInterval(s)),
		directory:   newDirectory(s),
		locals:      map[string]*localEndpoint{},
		splits:      newSplitCounter(),
		notices:     notice.NewTable(),
		wrapCallers: func(_ *Host, callers, _ http.Handler) http.Handler { return callers },
		bound:       map[string]netip.AddrPort{},
		servers:     map[string]*process.Server{},
		started:     time.Now(),

		invalidLimits: rate.Sometimes{Interval: invalidLimitLogInterval},
	}
	for _, o := range opts {
		o(h)
	}
	if err := h.loadTLS(); err != nil {
		return nil, err
	}
	if s.Link > 0 {
		h.link = admission.NewLink(s.Link)
		h.admissionOptions = append(h.admissionOptions, admission.WithLink(h.link))
	}
	h.shutdown = shutdown.New(shutdown.WithNotice(h.noticeTime()), shutdown.WithGrace(s.Grace))
	h.stop = newStopRecord(h.log, h.metrics.StopRequests)
	h.upstream = newUpstream(s, h.directory)
	h.budgets = h.newBudgets()
	h.quotas = h.hostQuotas()
	h.nested = newNestedCalls(h.reportsPace, h.metrics, h.log.WithName("nested"))
	h.rollouts = h.newRollouts()
	if h.dial == nil && s.Timing.AckTimeout > 0 {
		h.dial = process.Dial(s.Timing.AckTimeout)
	}
	// Each step uses parts that earlier steps created.
	steps := []func() error{
		h.startTransport,
		h.startHolder,
		h.startControl,
		h.startFeed,
		h.startCalls,
		h.startPeers,
		h.startFollower,
		h.startListeners,
		h.startQuotas,
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

// loadTLS reads the TLS files, if the settings name any. It runs before any part is started, since Close needs the parts of
// startTransport.
func (h *Host) loadTLS() error {
	if !h.settings.TLS.Enabled() {
		return nil
	}
	t, err := process.NewTLS(h.settings.TLS, process.WithTLSLogger(h.log))
	if err != nil {
		return fmt.Errorf("load the TLS files: %w", err)
	}
	h.tls = t
	return nil
}

func (h *Host) startTransport() error {
	clientOptions := []peer.ClientsOption{peer.WithClientKey(h.settings.Key), peer.WithClientObserve(h.countControl), peer.WithClientDial(h.dial)}
	hopOptions := []hop.Option{
		hop.WithKey(h.settings.Key), hop.WithDial(h.dial), hop.WithMismatch(h.metrics.CrossedAnswers.Inc),
		hop.WithStop(h.shutdown.Decide),
	}
	if h.tls != nil {
		clientOptions = append(clientOptions, peer.WithClientDialTLS(h.tls.Dial))
		hopOptions = append(hopOptions, hop.WithDialTLS(h.tls.Dial))
	}
	if d := h.settings.Timing.Dial; d > 0 {
		hopOptions = append(hopOptions, hop.WithDialTimeout(d))
	}
	h.clients = peer.NewClients(clientOptions...)
	h.hops = hop.New(hopOptions...)
	h.proposer = peer.NewProposer(h.clients, h.upstream.replicas, h.log.WithName("proposer"), peer.WithAnnounceBackoff(h.settings.Timing.Backoff))
	h.marker = newMarker(h.proposer.Propose)
	h.departures = newDepartures(h.proposer.Propose, h.log.WithName("departures"))
	return nil
}

func (h *Host) startHolder() error {
	options := []peer.HolderOption{peer.WithVersionChanged(h.versionChanged)}
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
		routing.WithOwnLoad(h.ownLoad),
		routing.WithLeaving(func(endpoint string, incarnation uint64) bool {
			return h.notices.Leaving(notice.Process{Endpoint: endpoint, Incarnation: incarnation})
		}),
	}, h.routingOptions...)...)
	holder, err := peer.NewHolder(options...)
	h.holder = holder
	return err
}

func (h *Host) startControl() error {
	if !h.settings.IsReplica() {
		return nil
	}
	h.sender = peer.NewSender(h.clients, h.directory.address, h.log.WithName("courier"))
	c, err := newControl(h.settings, controlParts{
		clients:       h.clients,
		sender:        h.sender,
		holder:        h.holder,
		tracker:       h.tracker,
		directory:     h.directory,
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

// leaderChanged makes the follower choose its upstream again, because a replica reports only to the leader.
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
			caller.WithLocalCalls(local),
			caller.WithMaxBody(callBytes),
			caller.WithMatch(h.match),
			caller.WithPick(h.pick),
			caller.WithObserve(h.attemptStarted, h.observe),
			caller.WithFinished(h.countCall),
			caller.WithSend(h.send),
			caller.WithDecide(h.decide),
			caller.WithClaim(h.claim, h.finish, h.release),
			caller.WithLog(log, sampled.Next),
			caller.WithDraining(h.stopping),
			caller.WithStop(h.shutdown.Decide),
			caller.WithInFlight(&h.stop.callers),
			caller.WithQuota(h.quotas.take),
		}, h.callerOptions...)
	}
	h.callers = caller.New(options(false)...)
	h.localCallers = caller.New(options(true)...)
	return nil
}

// versionChanged updates the parts that depend on the version in force. The holder calls it, so it must not block.
func (h *Host) versionChanged(v peer.View) {
	h.metrics.Version.Set(float64(v.Snapshot.Version()))
	h.upstream.update(v)
	h.quotas.update(v.Table)
	h.picker.Retain(func(key string) bool {
		_, ok := v.Table.Endpoint(key)
		return ok
	})
	go h.resize()
	h.rollouts.versionChanged()
	h.notifyAnnouncer()
	if h.follower.Load() != nil {
		h.reportComplete(v.Snapshot.Version()) // nodes below may already hold the version from another upstream
	}
	time.AfterFunc(lateReportDelay, h.reportIncomplete)
}

// notifyAnnouncer makes the announcer compare the agreed endpoints with the local ones now.
func (h *Host) notifyAnnouncer() {
	if a := h.announce.Load(); a != nil {
		a.notify()
	}
}

func (h *Host) countControl(method string, sent, received int) {
	h.metrics.ControlBytes.WithLabelValues(method, "sent").Add(float64(sent))
	h.metrics.ControlBytes.WithLabelValues(method, "received").Add(float64(received))
}

// Metrics returns the metrics collectors of the process.
func (h *Host) Metrics() *process.Metrics { return h.metrics }

// Listen returns the bound address of each listener, or the zero value for one that is not open.
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

// Serving reports whether the node has proved its floor and has a version in force that is not below it.
func (h *Host) Serving() bool { return h.holder.Serving() }

// Leads reports whether the control replica of this process is the leader.
func (h *Host) Leads() bool { return h.control != nil && h.control.leaderName() == h.settings.Name }

// Run waits until ctx ends, then drains: calls in flight get the grace period of the settings to finish. If the control replica
// stops, Run drains early and returns the replica's error.
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

// Close stops the process at once and cuts calls in flight.
func (h *Host) Close() error {
	var errs []error
	h.quotas.close()
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
	h.rollouts.close()
	if h.control != nil {
		errs = append(errs, h.control.close())
	}
	if h.sender != nil {
		h.sender.Close()
	}
	h.marker.close()
	h.departures.close()
	h.proposer.Close()
	errs = append(errs, h.hops.Close())
	h.clients.Close()
	return errors.Join(errs...)
}
