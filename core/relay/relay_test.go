package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/wire"
)

const poll = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

func thirtyNodes() []Node {
	var out []Node
	for i := range 30 {
		out = append(out, Node{Name: fmt.Sprintf("n%02d", i), Domain: string(rune('a' + i%3)), Replica: i < 3})
	}
	return out
}

func nodeNames(list []Node) string {
	var out []string
	for _, n := range list {
		out = append(out, n.Name)
	}
	return strings.Join(out, " ")
}

// Guards against nodes that select different relays, relays that change without a cause, and an order of upstreams in which every
// node polls a replica first.
func TestChoice(t *testing.T) {
	all := thirtyNodes()
	relays := Relays(all, "a", nil)
	alive := func(n string) bool { return n != relays[0].Name }
	next := Relays(all, "a", alive)
	if len(relays) != 2 || relays[0].Replica || relays[1].Replica || len(next) != 2 || next[0] != relays[1] {
		t.Fatalf("relays: got %s and without the first %s; want two that are not replicas, the second becoming the first", nodeNames(relays), nodeNames(next))
	}
	mixed := slices.Clone(all)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	if got := nodeNames(Relays(mixed, "a", nil)); got != nodeNames(relays) {
		t.Errorf("relays in another order of nodes: got %s, want %s", got, nodeNames(relays))
	}
	if got := Relays(all[:3], "a", nil); len(got) != 1 || got[0].Name != "n00" {
		t.Errorf("domain with only a replica: got %s, want n00", nodeNames(got))
	}
	tests := []struct {
		name string
		self Node
		want []string // name or kind of each upstream
	}{
		{"relay", relays[0], []string{"n02", "n00", "n01", "far", "far", "far", "far", "near"}},
		{"node", all[slices.IndexFunc(all, func(n Node) bool { return n.Domain == "a" && !n.Replica && n != relays[0] && n != relays[1] })], []string{"near", "near", "far", "far", "far", "far", "replica", "replica", "replica"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			got := Upstreams(c.self, all, "n02", nil)
			if len(got) != len(c.want) {
				t.Fatalf("parents: got %s, want %v", nodeNames(got), c.want)
			}
			for i, n := range got {
				kind := "far"
				if n.Replica {
					kind = "replica"
				} else if n.Domain == "a" {
					kind = "near"
				}
				if kind != c.want[i] && n.Name != c.want[i] {
					t.Errorf("parent %d: got %s (%s), want %s", i, n.Name, kind, c.want[i])
				}
			}
		})
	}
}

// Guards against reconnect storms: waits without jitter or cap, too many concurrent transfers, equal retry times.
func TestPace(t *testing.T) {
	b := Backoff{Random: func(n int64) int64 { return n - 1 }}
	var got []time.Duration
	for range 9 {
		got = append(got, b.Next(0))
	}
	if got[0] != 100*time.Millisecond || got[1] != 200*time.Millisecond || got[8] != 10*time.Second {
		t.Errorf("largest waits: got %v, want 100 ms, 200 ms, ... 10 s", got)
	}
	b.Reset()
	b.Random = func(int64) int64 { return 0 }
	if w := b.Next(time.Second); w != time.Second {
		t.Errorf("wait asked for by the server: got %v, want 1s", w)
	}
	k := NewBudget(2)
	started, last := 0, time.Duration(0)
	for i := range 50 {
		after, ok := k.Take(start)
		if ok {
			started++
			continue
		}
		if after <= last || after > 10*time.Second {
			t.Fatalf("client %d: got retry after %v, want more than %v and at most 10 s", i, after, last)
		}
		last = after
	}
	if started != 2 {
		t.Errorf("concurrent transfers: got %d, want 2", started)
	}
	k.Done(time.Second)
	if _, ok := k.Take(start); !ok {
		t.Error("transfer after one ended: got a refusal, want it started")
	}
}

// reportCase is a test case for a report by relay r, which holds version 7.
type reportCase struct {
	name     string
	setup    func(k *Tracker)
	elapsed  time.Duration // time of the report after start
	lowest   uint64
	count    uint32
	laggards string // NODE:VERSION:REASON of each, separated by spaces
	alive    string // names, separated by spaces
}

// recordTwoPolls records polls of x and y, which hold versions 7 and 5.
func recordTwoPolls(k *Tracker) {
	k.RecordPoll(start, "x", 7, nil)
	k.RecordPoll(start, "y", 5, nil)
}

func (c reportCase) check(t *testing.T) {
	k := NewTracker("r", poll)
	c.setup(k)
	r := k.Report(start.Add(c.elapsed), 7)
	var behind []string
	for _, l := range r.GetLaggards() {
		behind = append(behind, fmt.Sprintf("%s:%d:%s", l.GetNode(), l.GetVersion(), strings.TrimPrefix(l.GetReason().String(), "REASON_")))
	}
	got := reportCase{lowest: r.GetLowest(), count: r.GetCount(), laggards: strings.Join(behind, " "), alive: strings.Join(r.GetAlive(), " ")}
	if got.lowest != c.lowest || got.count != c.count || got.laggards != c.laggards || got.alive != c.alive {
		t.Errorf("report: got lowest %d, count %d, laggards %q, alive %q; want %d, %d, %q, %q", got.lowest, got.count, got.laggards, got.alive, c.lowest, c.count, c.laggards, c.alive)
	}
}

// Guards against counting a node twice or not at all when it moves, fails or is behind, and against names sent too often.
func TestTracker(t *testing.T) {
	stale := &wire.Laggard{Node: "x", Version: 3, Reason: wire.Reason_REASON_REFUSED, Heard: 10}
	tests := []reportCase{
		{"alone", func(*Tracker) {}, 0, 7, 1, "", "r"},
		{"leaves", recordTwoPolls, 0, 5, 3, "y:5:STALE", "r x y"},
		{"relay below", func(k *Tracker) {
			k.RecordPoll(start, "s", 7, &wire.Report{Lowest: 3, Count: 4, Laggards: []*wire.Laggard{stale}, Alive: []string{"s", "x", "z"}})
		}, 0, 3, 5, "x:3:REFUSED", "r s x z"},
		{"removed with the nodes it named", func(k *Tracker) {
			k.RecordPoll(start, "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s", "y"}})
			k.RemoveChild(start, "s", PollOrder{})
		}, 0, 7, 1, "", "r"},
		{"reports out of order", func(k *Tracker) {
			k.RecordOrderedPoll(start, "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s"}}, PollOrder{1, 9})
			k.RecordOrderedPoll(start, "s", 6, &wire.Report{Lowest: 5, Count: 1, Alive: []string{"y"}}, PollOrder{1, 8})
		}, 0, 7, 3, "", "r s y"},
		{"silent for two polls", recordTwoPolls, 2 * poll, 5, 3, "y:5:UNREACHABLE x:7:UNREACHABLE", "r x y"},
		{"silent for a lease", recordTwoPolls, 3 * poll, 7, 1, "", "r"},
		{"refusing node is listed once", func(k *Tracker) {
			k.RecordPoll(start, "x", 3, &wire.Report{Lowest: 3, Count: 1, Laggards: []*wire.Laggard{stale}})
		}, 0, 3, 2, "x:3:REFUSED", "r x"},
		{"names within half a poll", func(k *Tracker) { recordTwoPolls(k); k.Report(start, 7) }, poll/2 - 1, 5, 3, "y:5:STALE", ""},
		{"names of nodes heard again", func(k *Tracker) { recordTwoPolls(k); k.Report(start, 7); k.RecordPoll(start.Add(1), "x", 7, nil) }, poll / 2, 5, 3, "y:5:STALE", "r x"},
		{"names of a lost report", func(k *Tracker) { recordTwoPolls(k); k.Report(start, 7); k.ResendNames(start) }, 1, 5, 3, "y:5:STALE", "r x y"},
		{"names of two lost reports", func(k *Tracker) {
			recordTwoPolls(k)
			k.Report(start, 7)
			k.RecordPoll(start, "z", 7, nil)
			k.Report(start, 7)
			k.ResendNames(start)
		}, 1, 5, 4, "y:5:STALE", "r x y z"},
		{"name of a silent node is not resent", func(k *Tracker) {
			recordTwoPolls(k)
			k.Report(start, 7)
			k.RecordPoll(start.Add(2*poll), "x", 7, nil)
			k.ResendNames(start.Add(2 * poll))
		}, 2 * poll, 5, 3, "y:5:UNREACHABLE", "r x"},
		{"removed", func(k *Tracker) { recordTwoPolls(k); k.RemoveChild(start, "y", PollOrder{}) }, 0, 7, 2, "", "r x"},
	}
	for _, c := range tests {
		t.Run(c.name, c.check)
	}
}

// Guards against counting a node twice, or as behind at its former upstream, when the messages of its move arrive out of order.
func TestTrackerMoves(t *testing.T) {
	tests := []reportCase{
		{"moved below a relay", func(k *Tracker) {
			recordTwoPolls(k)
			k.RemoveChild(start, "y", PollOrder{})
			k.RecordPoll(start.Add(1), "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s", "y"}})
		}, 0, 7, 4, "", "r s x y"},
		{"named by a report older than its poll here", func(k *Tracker) {
			k.RecordPoll(start, "y", 5, nil)
			k.RecordPoll(start.Add(1), "s", 7, &wire.Report{Lowest: 7, Count: 1, Alive: []string{"s", "y"}})
		}, 0, 5, 3, "y:5:STALE", "r s y"},
		{"notice of its move is lost", func(k *Tracker) {
			k.RecordPoll(start, "y", 5, nil)
			k.RecordPoll(start.Add(2*poll), "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s", "y"}})
		}, 2 * poll, 7, 3, "", "r s y"},
		{"late notice of a node that another child named", func(k *Tracker) {
			k.RecordPoll(start, "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s", "y"}})
			k.RemoveChild(start, "y", PollOrder{})
		}, 0, 7, 3, "", "r s y"},
		{"restarted child numbers its polls anew", func(k *Tracker) {
			k.RecordOrderedPoll(start, "s", 7, nil, PollOrder{1, 9})
			k.RecordOrderedPoll(start, "s", 5, nil, PollOrder{2, 1})
		}, 0, 5, 2, "s:5:STALE", "r s"},
		{"poll arrives after the later notice of its move", func(k *Tracker) {
			recordTwoPolls(k)
			k.RecordOrderedPoll(start, "y", 5, nil, PollOrder{1, 7})
			k.RemoveChild(start, "y", PollOrder{1, 9})
			k.RecordOrderedPoll(start.Add(1), "y", 5, nil, PollOrder{1, 8})
		}, 0, 7, 2, "", "r x"},
		{"named by its new upstream before the notice of its move", func(k *Tracker) {
			k.RecordOrderedPoll(start, "y", 5, nil, PollOrder{1, 7})
			k.RecordPoll(start, "s", 7, &wire.Report{Lowest: 7, Count: 2, Alive: []string{"s", "y"}})
			k.RemoveChild(start, "y", PollOrder{1, 8})
		}, 0, 7, 3, "", "r s y"},
		{"came back before the notice of its move", func(k *Tracker) {
			recordTwoPolls(k)
			k.RecordOrderedPoll(start, "y", 5, nil, PollOrder{1, 10})
			k.RemoveChild(start, "y", PollOrder{1, 9})
		}, 0, 5, 3, "y:5:STALE", "r x y"},
		{"restarted after its move", func(k *Tracker) {
			recordTwoPolls(k)
			k.RemoveChild(start, "y", PollOrder{1, 9})
			k.RecordOrderedPoll(start.Add(1), "y", 6, nil, PollOrder{2, 1})
		}, 0, 6, 3, "y:6:STALE", "r x y"},
	}
	for _, c := range tests {
		t.Run(c.name, c.check)
	}
}

// Guards against "in force on N of N" while a node is behind, silent or refusing, or missing from a full list of laggards.
func TestForce(t *testing.T) {
	lag := func(node string, v uint64, r wire.Reason) *wire.Laggard {
		return &wire.Laggard{Node: node, Version: v, Reason: r}
	}
	var full []*wire.Laggard
	for i := range MaxLaggards {
		full = append(full, lag(fmt.Sprint("q", i), 1, wire.Reason_REASON_STALE))
	}
	report := func(lowest uint64, l ...*wire.Laggard) *wire.Report {
		return &wire.Report{Lowest: lowest, Count: 3, Laggards: l, Alive: []string{"s", "x", "y"}}
	}
	tests := []struct {
		name  string
		held  uint64 // version that relay s holds
		r     *wire.Report
		at    time.Duration
		count int // on how many of r, s, x and y the version is in force
	}{
		{"all", 7, report(7), 0, 4},
		{"relay behind", 6, report(6), 0, 1},
		{"one stale", 7, report(5, lag("x", 5, wire.Reason_REASON_STALE)), 0, 3},
		{"one refused", 7, report(5, lag("x", 5, wire.Reason_REASON_REFUSED)), 0, 3},
		{"unreachable below the relay", 7, report(7, lag("x", 7, wire.Reason_REASON_UNREACHABLE)), 0, 3},
		{"full list of laggards", 7, report(1, full...), 0, 2},
		{"relay silent for two polls", 7, report(7), 2 * poll, 1},
		{"relay ahead, laggard has the version", 9, report(7, lag("x", 7, wire.Reason_REASON_STALE), lag("y", 7, wire.Reason_REASON_STALE)), 0, 4},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			k := NewTracker("r", poll)
			k.RecordPoll(start, "s", c.held, c.r)
			got, behind := k.InForce(start.Add(c.at), 7, 7, []string{"r", "s", "x", "y"})
			if got != c.count || len(behind) != 4-c.count {
				t.Errorf("in force: got %d (behind %v), want %d", got, behind, c.count)
			}
		})
	}
	k := NewTracker("r", poll)
	if got, behind := k.InForce(start, 7, 7, []string{"r", "never"}); got != 1 || behind[0].GetNode() != "never" {
		t.Errorf("node never heard: got %d in force, want 1", got)
	}
}

func BenchmarkTracker(b *testing.B) {
	k := NewTracker("r", poll)
	list := make([]string, 175)
	for i := range list {
		list[i] = fmt.Sprint("node", i)
		k.RecordPoll(start, list[i], 7, nil)
	}
	b.Run("heard", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k.RecordPoll(start, "node1", 7, nil)
		}
	})
	b.Run("report of 175", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k.Report(start, 7)
		}
	})
}
