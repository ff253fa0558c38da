package lease

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

const (
	period = 15 * time.Second
	poll   = 5 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// newLeader returns a table that leads since start, with the node relay and n nodes. Each of the n nodes has one endpoint, and
// each service has size endpoints.
func newLeader(n, size int) *Table {
	t := New(WithLease(period))
	nodes := []*wire.Node{{Name: "relay", Incarnation: 1}}
	var endpoints []*wire.Endpoint
	for i := range n {
		name := fmt.Sprintf("n%03d", i)
		nodes = append(nodes, &wire.Node{Name: name, Incarnation: 1})
		endpoints = append(endpoints, &wire.Endpoint{Service: fmt.Sprintf("s%02d", i/size), Name: name, Node: name, Incarnation: 1})
	}
	t.Reset(start, nodes, endpoints)
	return t
}

// reportAlive makes the relay name all nodes but the silent ones at each poll between two times, which count from start.
func reportAlive(t *Table, from, to time.Duration, silent ...string) {
	var alive []string
	for k := range t.nodes {
		if !slices.Contains(silent, k) {
			alive = append(alive, k)
		}
	}
	for at := from; at <= to; at += poll {
		t.Renew(start.Add(at), "relay", alive)
	}
}

// expireAndApply expires leases at a time after start, applies the resulting command and returns the nodes of expired endpoints.
func expireAndApply(t *Table, at time.Duration) (out []string) {
	for _, e := range t.Expire(start.Add(at)) {
		if e.Endpoint != "" {
			out = append(out, e.Node)
		}
	}
	if m := t.Next(start.Add(at)); m != nil {
		t.Applied(start.Add(at), m)
	}
	return out
}

func nodeNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("n%03d", i))
	}
	return out
}

// Guards against mass expiry; each case fails without the rule that its name states.
func TestExpiryGuard(t *testing.T) {
	const p = period
	again := func(k *Table) {
		k.Reset(start.Add(p), []*wire.Node{{Name: "n000"}}, []*wire.Endpoint{{Service: "s00", Name: "n000", Node: "n000"}})
	}
	early := func(k *Table) { k.nodes["n000"].lastHeard = start.Add(-time.Hour) }
	missed := func(k *Table) { reportAlive(k, poll, poll, "n000") }
	namedByOther := func(k *Table) {
		k.Renew(start.Add(poll), "gone", []string{"n000"}) // a report of a relay that has left by now
		reportAlive(k, poll, 2*p, "n000")
	}
	keptRelay := func(k *Table) { k.addEndpoint(&wire.Endpoint{Service: "only", Name: "relay", Node: "relay"}) }
	var steps []time.Duration
	for i := range 20 {
		steps = append(steps, time.Duration(i+1)*p)
	}
	tests := []struct {
		name                string
		nodes, size, silent int
		heard               time.Duration // time until which the relay reports all but the silent nodes
		setup               func(k *Table)
		expire              []time.Duration
		want                int // number of expired endpoints
	}{
		{"a silent node expires", 10, 10, 1, p, nil, []time.Duration{p}, 1},
		{"no expiry before a whole lease", 10, 10, 1, p, nil, []time.Duration{p - 1}, 0},
		{"new leadership gives a full period", 10, 10, 1, p, again, []time.Duration{2*p - 1}, 0},
		{"silence before the leadership does not count", 10, 10, 1, poll, early, []time.Duration{p - 1}, 0},
		{"silence of a relay is not silence of its nodes", 20, 20, 0, poll, nil, []time.Duration{poll + p, poll + 2*p - 1}, 0},
		{"nodes of a relay that left expire a lease later", 20, 20, 0, poll, nil, []time.Duration{poll + p, poll + 2*p}, 2},
		{"nodes of a lost relay with the only endpoint of a service expire a lease later", 20, 20, 0, poll, keptRelay, []time.Duration{poll + p, poll + 2*p - 1}, 0},
		{"and they do expire", 20, 20, 0, poll, keptRelay, []time.Duration{poll + p, poll + 2*p}, 2},
		{"node named last by a relay that is not agreed", 10, 10, 0, 0, namedByOther, []time.Duration{poll + p}, 1},
		{"relay reported too briefly after the node", 10, 10, 0, 0, missed, []time.Duration{p}, 0},
		{"at most a tenth in one lease", 100, 100, 40, 2 * p, nil, []time.Duration{p, 2*p - 1}, 10},
		{"another tenth in the next lease", 100, 100, 40, 2 * p, nil, []time.Duration{p, 2 * p}, 10 + 9},
		{"at least one", 4, 4, 2, p, nil, []time.Duration{p}, 1},
		{"half of a service stays, also step by step", 8, 8, 8, 20 * p, nil, steps, 4},
		{"other services still lose endpoints", 40, 2, 6, p, nil, []time.Duration{p}, 3},
		{"the only endpoint of a service stays", 1, 1, 1, p, nil, []time.Duration{p}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			k := newLeader(c.nodes, c.size)
			reportAlive(k, 0, c.heard, nodeNames(c.silent)...)
			if c.setup != nil {
				c.setup(k)
			}
			var got []string
			for _, at := range c.expire {
				got = append(got, expireAndApply(k, at)...)
			}
			if len(got) != c.want {
				t.Errorf("expired endpoints: got %d %v, want %d", len(got), got, c.want)
			}
		})
	}
}

func formatCommand(m *wire.Membership) string {
	var out []string
	for _, n := range m.GetJoins() {
		out = append(out, "+"+n.GetName())
	}
	for _, e := range m.GetEndpoints() {
		out = append(out, "+"+endpointKey(e))
	}
	for _, k := range m.GetLeaves() {
		out = append(out, "-"+k)
	}
	for _, k := range m.GetRemoved() {
		out = append(out, "-"+k)
	}
	return strings.Join(out, " ")
}

// Guards against announcements that are lost, proposed twice, applied out of order, or delayed by the expiry guard.
func TestAnnounce(t *testing.T) {
	node := func(name string, i uint64) *wire.Node { return &wire.Node{Name: name, Incarnation: i} }
	own := func(name string, incarnation uint64) []*wire.Endpoint {
		return []*wire.Endpoint{{Service: "s00", Name: name, Node: name, Incarnation: incarnation}}
	}
	tests := []struct {
		name string
		run  func(k *Table)
		want string
	}{
		{"unchanged state", func(k *Table) { k.Announce(start, node("n000", 1), own("n000", 1), false) }, ""},
		{"join", func(k *Table) { k.Announce(start, node("new", 1), own("new", 1), false) }, "+new +s00/new"},
		{"join twice", func(k *Table) {
			k.Announce(start, node("new", 1), own("new", 1), false)
			k.Announce(start, node("new", 1), own("new", 1), false)
		}, "+new +s00/new"},
		{"restart", func(k *Table) { k.Announce(start, node("n000", 2), own("n000", 2), false) }, "+n000 +s00/n000"},
		{"endpoint leaves", func(k *Table) { k.Announce(start, node("n000", 1), nil, false) }, "-s00/n000"},
		{"endpoint leaves and is back within the window", func(k *Table) {
			k.Announce(start, node("n000", 1), nil, false)
			k.Announce(start, node("n000", 1), own("n000", 1), false)
		}, ""},
		{"expiry guard does not apply to leaves", func(k *Table) {
			for _, n := range nodeNames(4) {
				k.Announce(start, node(n, 1), nil, true)
			}
		}, "-n000 -n001 -n002 -n003"},
		{"leave of an older incarnation", func(k *Table) { k.Announce(start, node("n000", 9), nil, true) }, ""},
		{"join that was overtaken by its leave", func(k *Table) {
			k.Announce(start, node("n000", 1), nil, true)
			k.Announce(start, node("n000", 1), own("n000", 1), false)
		}, "-n000"},
		{"join and leave within the window", func(k *Table) {
			k.Announce(start, node("new", 1), own("new", 1), false)
			k.Announce(start, node("new", 1), nil, true)
		}, "-new"},
		{"failed command is proposed again, newer announcement wins", func(k *Table) {
			k.Announce(start, node("n000", 1), nil, true)
			k.Announce(start, node("new", 1), own("new", 1), false)
			m := k.Next(start)
			k.Announce(start, node("new", 1), nil, true)
			k.Failed(m)
			k.lastCommand = time.Time{}
		}, "-new -n000"},
		{"announced again while its expiry is in flight", func(k *Table) {
			reportAlive(k, 0, period, "n000")
			k.Expire(start.Add(period))
			k.Next(start)
			k.Announce(start, node("n000", 1), own("n000", 1), false)
			k.lastCommand = time.Time{}
		}, "+n000 +s00/n000"},
		{"endpoint back while its removal is in flight", func(k *Table) {
			k.Announce(start, node("n000", 1), nil, false)
			k.Next(start)
			k.Announce(start, node("n000", 1), own("n000", 1), false)
			k.lastCommand = time.Time{}
		}, "+n000 +s00/n000"},
		{"endpoint leaves while its join is in flight", func(k *Table) {
			k.Announce(start, node("new", 1), own("new", 1), false)
			k.Next(start)
			k.Announce(start, node("new", 1), nil, false)
			k.lastCommand = time.Time{}
		}, "+new -s00/new"},
		{"new incarnation leaves while its join is in flight", func(k *Table) {
			k.Announce(start, node("n000", 2), own("n000", 2), false)
			k.Next(start)
			k.Announce(start, node("n000", 2), nil, true)
			k.lastCommand = time.Time{}
		}, "-n000"},
		{"not leading", func(k *Table) { k.Stop(); k.Announce(start, node("new", 1), own("new", 1), false) }, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			k := newLeader(4, 4)
			c.run(k)
			if got := formatCommand(k.Next(start.Add(period))); got != c.want {
				t.Errorf("command: got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against more than one command per window, and against a single leave that waits for a window.
func TestWindow(t *testing.T) {
	k := newLeader(40, 40)
	commands, leaves := 0, 0
	for i, n := range nodeNames(40) {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		k.Announce(now, &wire.Node{Name: n, Incarnation: 1}, nil, true)
		m := k.Next(now)
		if m == nil {
			continue
		}
		commands++
		leaves += len(m.GetLeaves())
		if i == 0 && len(m.GetLeaves()) != 1 {
			t.Errorf("first leave: got %v, want it sent at once", m)
		}
	}
	if commands != 4 || leaves != 31 {
		t.Errorf("in 390 ms: got %d commands with %d leaves, want 4 with 31", commands, leaves)
	}
	if m := k.Next(start.Add(time.Second)); len(m.GetLeaves()) != 9 {
		t.Errorf("rest: got %d leaves, want 9", len(m.GetLeaves()))
	}
	if !k.MustAnnounce("gone", 1) || k.MustAnnounce("n000", 1) || !k.MustAnnounce("n000", 2) {
		t.Error("MustAnnounce: got a wrong result, want true only for an unknown node or incarnation")
	}
}

func BenchmarkTable(b *testing.B) {
	b.Run("storm of 2100 announcements", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			k := newLeader(0, 1)
			for _, n := range nodeNames(2100) {
				k.Announce(start, &wire.Node{Name: n, Incarnation: 1}, []*wire.Endpoint{{Service: "s", Name: n, Node: n}}, false)
			}
			b.ReportMetric(float64(proto.Size(k.Next(start))), "bytes")
		}
	})
	b.Run("expire, a third of 2100 silent", func(b *testing.B) {
		k := newLeader(2100, 10)
		reportAlive(k, 0, period, nodeNames(700)...)
		b.ReportAllocs()
		for b.Loop() {
			k.Expire(start.Add(period))
		}
	})
}

// Guards against an endpoint that counts as one of its service although the agreed state ignores it, because its process has left for good.
func TestEndedEndpoint(t *testing.T) {
	ended := map[uint64]bool{}
	k := New(WithEnded(func(e *wire.Endpoint) bool { return ended[e.GetIncarnation()] }))
	k.Reset(start, nil, nil)
	n := &wire.Node{Name: "n", Incarnation: 1}
	e := func(incarnation uint64) *wire.Endpoint {
		return &wire.Endpoint{Service: "s", Name: "e", Node: "n", Incarnation: incarnation}
	}
	k.Announce(start, n, []*wire.Endpoint{e(1)}, false)
	join := k.Next(start)
	ended[1] = true
	k.Applied(start, &wire.Membership{Departed: []*wire.Departure{{Service: "s", Name: "e", Incarnation: 1}}})
	k.Applied(start, join) // was in flight
	if got := len(k.endpoints); got != 0 {
		t.Errorf("endpoints after a join that a departure overtook: got %d, want 0", got)
	}
	if k.Announce(start, n, []*wire.Endpoint{e(1)}, false) {
		t.Error("late announcement: got it staged, want it ignored")
	}
	k.Announce(start, n, []*wire.Endpoint{e(2)}, false)
	k.Applied(start, k.Next(start.Add(time.Second)))
	k.Applied(start, &wire.Membership{Departed: []*wire.Departure{{Service: "s", Name: "e", Incarnation: 1}}})
	if got := k.endpoints["s/e"].GetIncarnation(); got != 2 {
		t.Errorf("after a departure that is sent again: got incarnation %d, want 2", got)
	}
	ended[2] = true
	k.Applied(start, &wire.Membership{Departed: []*wire.Departure{{Service: "s", Name: "e", Last: true}}})
	if got := len(k.endpoints); got != 0 {
		t.Errorf("endpoints after a departure that does not name its process: got %d, want 0", got)
	}
}
