package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// client plays the requests of one process of a node, without a Local.
type client struct {
	c           *Coordinator
	name        string
	incarnation uint64
	number      uint64
	seen        uint64
}

func (k *client) ask(now time.Time, a Ask) Grant {
	k.number++
	a.Customer = "a"
	r := Request{Node: k.name, Incarnation: k.incarnation, Number: k.number, Seen: k.seen, Asks: []Ask{a}}
	p := k.c.Decide(now, Standing{Leads: true, Term: 1, Nodes: 2}, r)
	k.seen = p.Number
	return p.Grants[0]
}

func want(n int) Ask { return Ask{Waiting: n, Need: n, Want: n} }

// Guards against tokens of a lost response that stay counted as held, and against a rate that is not reserved for a node whose responses
// are lost although its requests arrive.
func TestLostResponses(t *testing.T) {
	limit := Limit{100, 100}
	c := NewCoordinator(func(string) (Limit, bool) { return limit, true })
	now := time.Unix(1000, 0)
	a, b := &client{c: c, name: "a", incarnation: 1}, &client{c: c, name: "b", incarnation: 1}
	a.ask(now, want(1))                 // begins the term
	now = now.Add(promiseLife + second) // other nodes may have had promises of the term before
	if got := a.ask(now, want(80)).Tokens; got != 80 {
		t.Fatalf("first grant: got %d tokens, want 80", got)
	}
	a.seen-- // the response is lost
	if got := a.ask(now, want(100)).Tokens; got != 100 {
		t.Errorf("after the lost response: got %d tokens, want all 100", got)
	}

	steady := Ask{Waiting: 1, Need: 1, Want: 1, Rate: 60}
	for range 4 { // the second response acknowledges the promise in the first
		now = now.Add(DefaultInterval)
		a.ask(now, steady)
	}
	lost := a.seen
	spent := 0
	for range 4 {
		now = now.Add(DefaultInterval)
		a.seen = lost - 1
		a.ask(now, Ask{Rate: 60})
		spent += b.ask(now, want(100)).Tokens
	}
	// Without the reserved rate, the other node gets the full bucket and 50 tokens at each of the later requests.
	if most := 200; spent > most {
		t.Errorf("other node: got %d tokens while 60 per second may be spent without them, want at most %d", spent, most)
	}
}

// Guards against tokens of a process that has ended which stay counted as held, and against a rate that stays reserved for it.
func TestRestartedNode(t *testing.T) {
	limit := Limit{100, 10}
	c := NewCoordinator(func(string) (Limit, bool) { return limit, true })
	now := time.Unix(1000, 0)
	a, b := &client{c: c, name: "a", incarnation: 1}, &client{c: c, name: "b", incarnation: 1}
	b.ask(now, want(1))
	for range 8 {
		now = now.Add(DefaultInterval)
		a.ask(now, Ask{Waiting: 10, Need: 10, Want: 10, Rate: 90, Held: 30})
	}
	a = &client{c: c, name: "a", incarnation: 2}
	a.ask(now, Ask{})
	got := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		got += b.ask(now, want(10)).Tokens
	}
	if least := 190; got < least {
		t.Errorf("other node: got %d tokens in 2 s after the restart, want at least %d", got, least)
	}
}

// Guards against tokens at a node that callers have left, which other nodes lack.
func TestUnusedTokensReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{100, 50}
	l := NewLocal("n", 1)
	l.Take(now, "a", limit)
	l.Ask(now, "r")
	l.Answer(now, "r", Response{Term: 1, Number: 1, Grants: []Grant{{Customer: "a", Tokens: 41}}})
	returned := 0
	for i := range 8 {
		now = now.Add(DefaultInterval)
		r := l.Ask(now, "r")
		for _, a := range r.Asks {
			returned += a.Returned
		}
		p := Response{Term: 1, Number: uint64(i + 2)}
		for _, a := range r.Asks {
			p.Grants = append(p.Grants, Grant{Customer: a.Customer})
		}
		l.Answer(now, "r", p)
	}
	if returned != 40 {
		t.Errorf("returned: got %d tokens, want the 40 that were not spent", returned)
	}
}

// Guards against sums over the nodes of a customer that drift from their parts.
func TestSumsOverNodes(t *testing.T) {
	s := newSim(t, 21, map[string]Limit{"a": {100, 50}, "b": {20, 5}})
	s.demand("a", spread(300, 65))
	s.demand("b", moving(40, 5*second))
	s.at(4*second, func() {
		for _, n := range s.nodes[:20] {
			s.startNode(n)
		}
	})
	s.run(10 * second)
	c := s.replicas[0].coordinator
	for name, b := range c.buckets {
		held, rates, promised := 0, 0.0, 0.0
		for node, o := range b.shares {
			if c.nodes[node].shares[name] != o {
				t.Errorf("%s: share of %s: got another one at the node, want the same", name, node)
			}
			held, rates, promised = held+o.held, rates+o.rate, promised+o.reserved()
		}
		got, want := fmt.Sprintf("%d %.3f %.3f", b.held, math.Abs(b.rates), math.Abs(b.promised)), fmt.Sprintf("%d %.3f %.3f", held, rates, promised)
		if got != want {
			t.Errorf("%s: sums of tokens, rates and promises: got %s, want %s", name, got, want)
		}
	}
}
