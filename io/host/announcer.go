package host

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
	"godwitspindle/io/rpc"
)

const (
	announceTimeout = 5 * time.Second
	announceSettle  = 2 * time.Second // time between two checks, enough for the last announcement to appear in a version
)

// announcerParts are the parts of the process that the announcer uses.
type announcerParts struct {
	current  func() *rpc.AnnounceRequest // the current announcement; nil if there is none yet
	agreed   func() *config.Snapshot     // the version in force
	send     func(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error)
	departed func(list []*wire.Departure) // called with the announced endpoints whose process has left for good
	log      logr.Logger
}

// announcer announces the node and its endpoints whenever a check finds that the agreed set differs from them.
type announcer struct {
	announcerParts
	wake chan struct{}
	stop context.CancelFunc
	wait sync.WaitGroup
}

func newAnnouncer(p announcerParts) *announcer {
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{announcerParts: p, wake: make(chan struct{}, 1), stop: stop}
	a.wait.Go(func() { a.run(ctx) })
	return a
}

// notify starts a check at once, or after an announcement that is being sent.
func (a *announcer) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *announcer) close() {
	a.stop()
	a.wait.Wait()
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceSettle)
	defer ticker.Stop()
	for {
		r := a.current()
		if r != nil && differs(a.agreed(), r) {
			a.announce(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-ticker.C:
		}
	}
}

func (a *announcer) announce(ctx context.Context, r *rpc.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := a.send(ctx, r)
	if err != nil && ctx.Err() == nil {
		a.log.Info("announcement failed, it is sent again at the next check", "error", err.Error())
	}
	a.departed(resp.GetDeparted())
}

// differs reports whether the agreed set lacks an announced entry or lists an endpoint of the node that is not announced. An
// announced endpoint whose service is not in the agreed set is ignored.
func differs(s *config.Snapshot, r *rpc.AnnounceRequest) bool {
	if !contains(s, r.GetNode()) {
		return true
	}
	announced := map[string]bool{}
	for _, e := range r.GetEndpoints() {
		announced[config.KeyOf(e)] = true
		_, known := s.Get("service/" + e.GetService())
		if known && !contains(s, e) {
			return true
		}
	}
	_, endpoints := s.Members()
	for _, e := range endpoints {
		if e.GetNode() == r.GetNode().GetName() && !announced[config.KeyOf(e)] {
			return true
		}
	}
	return false
}

// contains reports whether a snapshot has the entry with exactly this value.
func contains(s *config.Snapshot, m proto.Message) bool {
	e, ok := s.Get(config.KeyOf(m))
	if !ok {
		return false
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return err == nil && string(value) == string(e.Value)
}
