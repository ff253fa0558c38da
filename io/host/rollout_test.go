package host

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/outcome"
	"godwitspindle/core/rollout"
	"godwitspindle/core/routing"
	"godwitspindle/core/wire"
	"godwitspindle/io/caller"
	"godwitspindle/io/process"
	"godwitspindle/io/rpc"
)

// rolloutHarness is the rollout part of one node, with a leader and a clock of its own.
type rolloutHarness struct {
	*rollouts
	clock   time.Time
	agreed  *config.RoutingTable
	picker  *routing.Picker
	reports []*rpc.OutcomesRequest
	answer  func(*rpc.OutcomesRequest) (*rpc.OutcomesResponse, error)
}

// rollingTable returns the table of version v with a rollout of the service "s", two endpoints of v1 and news of v2.
func rollingTable(t *testing.T, v uint64, r *wire.Rollout, olds, news int) *config.RoutingTable {
	t.Helper()
	messages := []proto.Message{&wire.Service{Name: "s"}, &wire.Node{Name: "n", Address: "127.0.0.1:1"}}
	if r != nil {
		messages = append(messages, r)
	}
	for i := range olds {
		messages = append(messages, &wire.Endpoint{Service: "s", Name: fmt.Sprint("old", i), Node: "n", Slots: 4, Connections: 4, Release: "v1"})
	}
	for i := range news {
		messages = append(messages, &wire.Endpoint{Service: "s", Name: fmt.Sprint("new", i), Node: "n", Slots: 4, Connections: 4, Release: "v2"})
	}
	var puts []config.Entry
	for _, m := range messages {
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		puts = append(puts, config.Entry{Key: config.KeyOf(m), Value: value})
	}
	table, err := config.NewTable(config.NewSnapshot().With(v, puts, nil))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func rolloutAt(step, share uint32, state wire.RolloutState) *wire.Rollout {
	return &wire.Rollout{Service: "s", Release: "v2", Duration: 12_000, Order: 7, Step: step, Share: share, State: state}
}

const (
	stateRunning    = wire.RolloutState_ROLLOUT_STATE_RUNNING
	stateCompleted  = wire.RolloutState_ROLLOUT_STATE_COMPLETED
	stateRolledBack = wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK
)

func newRolloutHarness(t *testing.T, table *config.RoutingTable) *rolloutHarness {
	t.Helper()
	b := &rolloutHarness{clock: time.Unix(1000, 0), agreed: table, picker: routing.New()}
	b.answer = func(*rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) { return &rpc.OutcomesResponse{}, nil }
	b.rollouts = newRollouts(rolloutParts{
		table: func() *config.RoutingTable { return b.agreed },
		report: func(_ context.Context, q *rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) {
			b.reports = append(b.reports, q)
			return b.answer(q)
		},
		now: func() time.Time { return b.clock }, node: "n", identity: 3, rollback: 5 * time.Second,
		metrics: process.NewMetrics(), log: logr.Discard(),
	})
	b.update(b.clock)
	return b
}

// choose sends n requests and returns how many went to which release; "" stands for no endpoint.
func (b *rolloutHarness) choose(n int) map[string]int {
	got := map[string]int{}
	s, _ := b.agreed.Service("s")
	for range n {
		c, err := b.decide(routing.Call{Service: s, Now: b.clock}, b.picker.Decide)
		if err != nil {
			got[""]++
			continue
		}
		got[c.Endpoint.Release]++
	}
	return got
}

func (b *rolloutHarness) tick(d time.Duration) {
	b.clock = b.clock.Add(d)
	b.update(b.clock)
	if q := b.due(b.clock); q != nil {
		b.send(context.Background(), q)
	}
}

// Guards against shares that differ from the agreed one, requests that leave their side, and releases that are used without a rollout in
// another way than before.
func TestRolloutShares(t *testing.T) {
	for name, c := range map[string]struct {
		rollout    *wire.Rollout
		olds, news int
		want       map[string]int // of 1,000 requests; -1 for some
	}{
		"no rollout":                   {nil, 2, 2, map[string]int{"v1": -1, "v2": -1}},
		"small share":                  {rolloutAt(0, 200, stateRunning), 2, 2, map[string]int{"v1": 980, "v2": 20}},
		"most":                         {rolloutAt(3, 6000, stateRunning), 2, 2, map[string]int{"v1": 400, "v2": 600}},
		"all":                          {rolloutAt(4, 10_000, stateRunning), 2, 2, map[string]int{"v2": 1000}},
		"no new endpoint":              {rolloutAt(4, 10_000, stateRunning), 2, 0, map[string]int{"v1": 1000}},
		"no old endpoint":              {rolloutAt(1, 1000, stateRunning), 0, 2, map[string]int{"v2": 100, "": 900}},
		"completed":                    {rolloutAt(5, 10_000, stateCompleted), 2, 2, map[string]int{"v2": 1000}},
		"completed and replaced since": {rolloutAt(5, 10_000, stateCompleted), 2, 0, map[string]int{"v1": 1000}},
		"rolled back":                  {rolloutAt(5, 0, stateRolledBack), 2, 2, map[string]int{"v1": 1000}},
		"rolled back, no old endpoint": {rolloutAt(5, 0, stateRolledBack), 0, 2, map[string]int{"": 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRolloutHarness(t, rollingTable(t, 1, c.rollout, c.olds, c.news))
			got := b.choose(1000)
			for release, want := range c.want {
				if want < 0 && got[release] > 0 {
					continue
				}
				if math.Abs(float64(got[release]-want)) > 3 {
					t.Errorf("got %v, want %v", got, c.want)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a node that goes on sending to the new release while it cannot reach a leader, and does not resume with one.
func TestRolloutLeaderSilent(t *testing.T) {
	b := newRolloutHarness(t, rollingTable(t, 1, rolloutAt(1, 1000, stateRunning), 2, 2))
	working := b.answer
	b.answer = func(*rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) { return nil, errors.New("no leader") }
	for range 38 {
		b.tick(100 * time.Millisecond)
	}
	if got := b.choose(1000)["v2"]; got == 0 {
		t.Error("got no request to the new release after 3.8 s without a leader, want the last share to stay")
	}
	for range 5 {
		b.tick(100 * time.Millisecond)
	}
	if got := b.choose(1000)["v2"]; got != 0 {
		t.Errorf("got %d requests to the new release after 4.3 s without a leader, want none", got)
	}
	b.answer = working
	b.tick(200 * time.Millisecond)
	if got := b.choose(1000)["v2"]; got == 0 {
		t.Error("got no request to the new release once a leader answers, want the share")
	}
}

func (b *rolloutHarness) result(release, route string, status int, f *outcome.Failure) {
	b.observe("s/e", caller.Observation{Release: release, Route: route, Status: status, Failure: f, Took: 20 * time.Millisecond, At: b.clock})
}

// Guards against a node that sees the new release fail and goes on sending to it, or does not report that at once.
func TestRolloutCut(t *testing.T) {
	b := newRolloutHarness(t, rollingTable(t, 1, rolloutAt(1, 5000, stateRunning), 2, 2))
	for range 50 {
		b.result("v1", "r", 200, nil)
	}
	b.tick(time.Second)
	b.reports = nil
	for range 3 {
		b.result("v2", "r", 500, nil)
	}
	b.tick(100 * time.Millisecond)
	if got := b.choose(100)["v2"]; got != 0 {
		t.Errorf("got %d requests to the failing release, want none", got)
	}
	if len(b.reports) != 1 || !b.reports[0].GetServices()[0].GetCut() {
		t.Errorf("got reports %v, want one at once that says that the node stopped", b.reports)
	}
}

// Guards against counts that are lost with a report, counted twice or under the wrong release, and results that say nothing about the
// release, such as a refusal of a full endpoint.
func TestRolloutReports(t *testing.T) {
	b := newRolloutHarness(t, rollingTable(t, 1, rolloutAt(1, 1000, stateRunning), 2, 2))
	working := b.answer
	b.result("v1", "r", 200, nil)
	b.result("v2", "r", 200, nil)
	b.result("v2", "r", 404, nil)
	b.result("v2", "r", 500, nil)
	b.result("v2", "r", 0, &outcome.Failure{Code: outcome.Reset, Kind: outcome.Unknown})
	b.result("v2", "r", 0, &outcome.Failure{Code: outcome.Canceled, Kind: outcome.Unknown})
	b.result("v2", "r", 0, &outcome.Failure{Code: outcome.Busy, Kind: outcome.NotRun})
	b.result("v1", "r", 0, &outcome.Failure{Code: outcome.Busy, Kind: outcome.NotRun})
	b.result("", "r", 200, nil)
	d := newRolloutLeader(rollout.New())
	sums := func() (old, fresh rollout.Counts, missed uint64) {
		for _, q := range b.reports {
			for _, o := range q.GetServices() {
				d.add(b.clock, rolloutAt(1, 1000, stateRunning), q, o)
				missed = o.GetMissed()
			}
		}
		for _, q := range b.reports[len(b.reports)-1].GetServices()[0].GetRoutes() {
			c := rollout.Counts{Answers: q.GetAnswers(), Failures: q.GetFailures()}
			if q.GetNew() {
				fresh = c
			} else {
				old = c
			}
		}
		return old, fresh, missed
	}
	b.answer = func(*rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) { return nil, errors.New("lost") }
	b.tick(time.Second)
	b.answer = working
	b.tick(time.Second)
	old, fresh, missed := sums()
	if old.Answers != 2 || old.Failures != 0 || fresh.Answers != 3 || fresh.Failures != 2 || missed != 1 {
		t.Errorf("got old %d+%d, new %d+%d, missed %d, want 2+0, 3+2, 1", old.Answers, old.Failures, fresh.Answers, fresh.Failures, missed)
	}
	b.reports = nil
	b.tick(2 * time.Second)
	if n := len(b.reports[0].GetServices()[0].GetRoutes()); n != 0 {
		t.Errorf("got %d routes in a report without news, want none", n)
	}
}

// Guards against a node that waits for the next version although the leader's answer has the verdict, and against one that goes back to
// an earlier state.
func TestRolloutVerdictInAnswer(t *testing.T) {
	b := newRolloutHarness(t, rollingTable(t, 1, rolloutAt(1, 10_000, stateRunning), 2, 2))
	b.answer = func(*rpc.OutcomesRequest) (*rpc.OutcomesResponse, error) {
		return &rpc.OutcomesResponse{Rollouts: []*wire.Rollout{rolloutAt(2, 0, stateRolledBack)}}, nil
	}
	b.tick(time.Second)
	if got := b.choose(100)["v2"]; got != 0 {
		t.Errorf("got %d requests to the new release after the verdict, want none", got)
	}
	b.agreed = rollingTable(t, 2, rolloutAt(1, 10_000, stateRunning), 2, 2)
	b.tick(time.Second)
	if got := b.choose(100)["v2"]; got != 0 {
		t.Errorf("got %d requests to the new release with an older version, want none", got)
	}
	b.agreed = rollingTable(t, 3, rolloutAt(2, 0, stateRolledBack), 2, 2)
	b.tick(time.Second)
	if len(b.services) != 0 {
		t.Errorf("got %d rollouts kept after the end, want none", len(b.services))
	}
}

// Guards against a completion while requests wait for answers of the old endpoints, which then stop at once.
func TestRolloutPending(t *testing.T) {
	b := newRolloutHarness(t, rollingTable(t, 1, rolloutAt(4, 10_000, stateRunning), 2, 2))
	b.begin("s/old0")
	b.begin("s/new0")
	b.tick(time.Second)
	b.observe("s/old0", caller.Observation{Release: "v1", Status: 200})
	b.observe("s/old1", caller.Observation{Release: "v1", Status: 200}) // began before the rollout
	b.tick(2 * time.Second)
	for i, want := range []uint32{1, 0} {
		if o := b.reports[i].GetServices()[0]; o.GetPending() != want || o.GetStep() != 4 {
			t.Errorf("got %d pending at step %d in report %d, want %d at step 4", o.GetPending(), o.GetStep(), i, want)
		}
	}
}

// Guards against counts of an earlier rollout that decide on the next one, and tallies that stay for ever.
func TestRolloutLeaderForgets(t *testing.T) {
	d := newRolloutLeader(rollout.New())
	now := time.UnixMilli(1_700_000_000_000)
	first, second := rolloutAt(0, 200, stateRunning), rolloutAt(0, 200, stateRunning)
	first.Accepted, second.Accepted, second.Order = now.UnixMilli(), now.UnixMilli(), 9
	q := &rpc.OutcomesRequest{Node: "n", Incarnation: 1}
	bad := &rpc.ServiceOutcomes{Service: "s", Order: 7, Routes: []*rpc.RouteOutcomes{{Route: "r", New: true, Failures: 20}}}
	table := rollingTable(t, 1, first, 2, 2)
	d.add(now, second, q, bad)
	if steps := d.decide(now, []*wire.Rollout{second}, table); len(steps) != 0 {
		t.Errorf("got steps %v by counts of an earlier rollout, want none", steps)
	}
	d.add(now, first, q, bad)
	if steps := d.decide(now, []*wire.Rollout{first}, table); len(steps) != 1 || steps[0].GetState() != stateRolledBack {
		t.Errorf("got steps %v of a failing release, want a rollback", steps)
	}
	d.decide(now, nil, table)
	if len(d.tallies) != 0 {
		t.Errorf("got %d tallies without a rollout, want none", len(d.tallies))
	}
}

// BenchmarkRolloutReport measures the bytes of a node's report on a service with 10 routes, all of which changed, and of one without
// news, and the time that a rollout adds to the choice of an endpoint.
func BenchmarkRolloutReport(b *testing.B) {
	s := &serviceRollout{newest: rolloutAt(1, 200, stateRunning), counts: map[rollout.Key]rollout.Counts{}, acked: map[rollout.Key]uint64{}}
	table, _ := config.NewTable(config.NewSnapshot())
	full := &rpc.OutcomesRequest{Node: "node-123", Incarnation: math.MaxUint64 / 3}
	idle := proto.CloneOf(full)
	idle.Services = append(idle.Services, s.report("service", table))
	for i := range 10 {
		for _, fresh := range []bool{false, true} {
			var c rollout.Counts
			for n := range 200 {
				c.Record(time.Duration(5+n%60)*time.Millisecond, n%100 == 0)
			}
			s.counts[rollout.Key{Route: fmt.Sprint("route-", i), New: fresh}] = c
		}
	}
	full.Services = append(full.Services, s.report("service", table))
	answer := &rpc.OutcomesResponse{Leader: "node-1", Rollouts: []*wire.Rollout{rolloutAt(1, 200, stateRunning)}}
	for b.Loop() {
		_ = s.report("service", table)
	}
	b.ReportMetric(float64(proto.Size(full)), "B/report")
	b.ReportMetric(float64(proto.Size(idle)), "B/idle")
	b.ReportMetric(float64(proto.Size(answer)), "B/answer")
}
