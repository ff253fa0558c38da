package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/notice"
	"godwitspindle/core/wire"
)

const (
	departTimeout = 5 * time.Second // time for one proposal of departures
	departPause   = time.Second     // time after a proposal that failed, unless another process leaves meanwhile
	// maxDepartures limits the processes whose departure is kept once it is agreed, so that a repeated leave is not proposed again.
	maxDepartures = 1024
)

// departures makes it part of the agreed state that processes of local endpoints have left for good. Otherwise a late announcement could
// bring such a process back once this node or the leader has restarted. A process without incarnation stands for the one that the agreed
// state listed last: a leave need not name its process, and a node that has just started may not know it.
type departures struct {
	propose func(ctx context.Context, c *wire.Command) (*wire.Result, error)
	log     logr.Logger
	wake    chan struct{}
	stop    context.CancelFunc
	wait    sync.WaitGroup

	mu      sync.Mutex
	pending []notice.Process // not known to be agreed
	agreed  []notice.Process // oldest first
}

func newDepartures(propose func(ctx context.Context, c *wire.Command) (*wire.Result, error), log logr.Logger) *departures {
	ctx, stop := context.WithCancel(context.Background())
	d := &departures{propose: propose, log: log, wake: make(chan struct{}, 1), stop: stop}
	d.wait.Go(func() { d.run(ctx) })
	return d
}

func (d *departures) close() {
	d.stop()
	d.wait.Wait()
}

// add records that a process has left for good. It has no effect if the departure is agreed; one that is pending is proposed at once.
func (d *departures) add(p notice.Process) {
	d.mu.Lock()
	known := slices.Contains(d.agreed, p)
	if !known && !slices.Contains(d.pending, p) {
		d.pending = append(d.pending, p)
	}
	d.mu.Unlock()
	if known {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// addLast records that the last process of an endpoint has left, unless a departure of the endpoint names its process.
func (d *departures) addLast(endpoint string) {
	if pending, agreed := d.of(endpoint); !pending && !agreed {
		d.add(notice.Process{Endpoint: endpoint})
	}
}

// announced forgets a departure that does not name its process, since a process of the endpoint is known now. A repeated leave names it.
func (d *departures) announced(endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unnamed := func(p notice.Process) bool { return p == notice.Process{Endpoint: endpoint} }
	d.pending = slices.DeleteFunc(d.pending, unnamed)
	d.agreed = slices.DeleteFunc(d.agreed, unnamed)
}

// confirm records that departures are agreed, except for those without incarnation that were forgotten meanwhile.
func (d *departures) confirm(list ...notice.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range list {
		if p.Incarnation != 0 || slices.Contains(d.pending, p) {
			d.agreed = append(d.agreed, p)
		}
	}
	d.pending = slices.DeleteFunc(d.pending, func(p notice.Process) bool { return slices.Contains(list, p) })
	d.agreed = d.agreed[max(len(d.agreed)-maxDepartures, 0):]
}

// of reports whether an endpoint has departures that are not known to be agreed, and whether it has agreed ones.
func (d *departures) of(endpoint string) (pending, agreed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	has := func(p notice.Process) bool { return p.Endpoint == endpoint }
	return slices.ContainsFunc(d.pending, has), slices.ContainsFunc(d.agreed, has)
}

func (d *departures) run(ctx context.Context) {
	var retry <-chan time.Time // nil unless the last proposal failed
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-retry:
		}
		retry = nil
		if !d.commit(ctx) {
			retry = time.After(departPause)
		}
	}
}

// commit proposes the pending departures and reports whether they are agreed.
func (d *departures) commit(ctx context.Context) bool {
	d.mu.Lock()
	list := slices.Clone(d.pending)
	d.mu.Unlock()
	if len(list) == 0 {
		return true
	}
	m := &wire.Membership{}
	for _, p := range list {
		m.Departed = append(m.Departed, encodeDeparture(p))
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	result, err := d.propose(ctx, &wire.Command{Body: &wire.Command_Membership{Membership: m}})
	if err != nil {
		d.log.Info("departures not agreed yet, they are proposed again", "processes", len(list), "error", err.Error())
		return false
	}
	d.confirm(list...)
	for _, p := range list {
		d.log.Info("departure agreed", "endpoint", p.Endpoint, "incarnation", p.Incarnation, "version", result.GetVersion())
	}
	return true
}

func encodeDeparture(p notice.Process) *wire.Departure {
	service, name, _ := strings.Cut(p.Endpoint, "/")
	return &wire.Departure{Service: service, Name: name, Incarnation: p.Incarnation, Last: p.Incarnation == 0}
}

func decodeDeparture(d *wire.Departure) notice.Process {
	return notice.Process{Endpoint: d.GetService() + "/" + d.GetName(), Incarnation: d.GetIncarnation()}
}

// endpointDeparted handles a process of a local endpoint that has left for good.
func (h *Host) endpointDeparted(endpoint string, incarnation uint64) {
	h.departures.add(notice.Process{Endpoint: endpoint, Incarnation: incarnation})
}

// leaderKnowsDepartures handles the announced endpoints whose process has left for good, as the leader knows: late announcements of them
// arrived after a restart of this node.
func (h *Host) leaderKnowsDepartures(list []*wire.Departure) {
	for _, d := range list {
		p := decodeDeparture(d)
		h.log.Info("endpoint not used, its process has left before", "endpoint", p.Endpoint, "incarnation", p.Incarnation)
		h.departures.confirm(p)
		h.backend.Depart(p.Endpoint, p.Incarnation)
	}
}
