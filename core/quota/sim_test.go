package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simNodes   = 65
	simDelay   = 2 * time.Millisecond // one way, about
	simTimeout = 300 * time.Millisecond
)

// event is a step of the simulation.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim plays nodes, replicas and callers with a simulated clock.
type sim struct {
	t        *testing.T
	begin    time.Time
	now      time.Time
	queue    events
	order    int
	random   *rand.Rand
	limits   map[string]Limit
	replicas []*simReplica
	nodes    []*simNode
	linked   func(n, r int) bool // whether a node reaches a replica
	lost     func(n int) bool    // whether answers to a node are lost
	latency  time.Duration       // of a message, about
	slowest  time.Duration       // longest wait of a request for its verdict
	runs     map[string][]time.Time
	refusals map[string][]time.Time
	returns  []time.Duration // Retry-After of each refusal
	asks     int
	late     float64 // part of the requests that are late when they arrive
	arrived  map[string][]time.Time
}

// simReplica is a control replica.
type simReplica struct {
	name        string
	coordinator *Coordinator
	leads       bool
	term        uint64
	leader      string
	confirmed   time.Time // zero while the majority confirms continuously
	dead        bool
	frozen      bool
	delayed     []func() // requests that arrived while it was frozen
}

// simNode is a node with its loop.
type simNode struct {
	index       int
	incarnation uint64
	local       *Local
	leader      int // replica that it asks
	flight      int
	timer       int
	waiting     []pending // in order of arrival, so that a seed always plays the same
}

// pending is a request that waits for its verdict.
type pending struct {
	waiter  *Waiter
	decided func(Verdict)
}

func newSim(t *testing.T, seed uint64, limits map[string]Limit) *sim {
	begin := time.Unix(1000, 0)
	s := &sim{
		t: t, begin: begin, now: begin, random: rand.New(rand.NewPCG(seed, 1)), limits: limits,
		latency: simDelay, linked: func(int, int) bool { return true }, lost: func(int) bool { return false }, runs: map[string][]time.Time{}, refusals: map[string][]time.Time{}, arrived: map[string][]time.Time{},
	}
	for i := range 3 {
		r := &simReplica{name: fmt.Sprint("r", i), leader: "r0", term: 1}
		r.coordinator = NewCoordinator(func(c string) (Limit, bool) {
			l, ok := s.limits[c]
			return l, ok
		})
		s.replicas = append(s.replicas, r)
	}
	s.replicas[0].leads = true
	for i := range simNodes {
		n := &simNode{index: i}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

func (s *sim) at(d time.Duration, f func()) { s.after(s.begin.Add(d).Sub(s.now), f) }

func (s *sim) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(d), order: s.order, run: f})
}

func (s *sim) run(length time.Duration) {
	end := s.begin.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// startNode starts a new process of a node, without tokens.
func (s *sim) startNode(n *simNode) {
	n.incarnation++
	n.flight++
	n.waiting = nil
	n.local = NewLocal(fmt.Sprint("n", n.index), n.incarnation, WithNodes(func() int { return simNodes }), WithRandom(s.random.Float64))
	n.local.Greet()
	s.schedule(n)
}

func (s *sim) delay() time.Duration {
	return s.latency + time.Duration(s.random.ExpFloat64()*float64(time.Millisecond))
}

// schedule plans the next request of a node to the coordinator.
func (s *sim) schedule(n *simNode) {
	at, ok := n.local.Due()
	if !ok {
		return
	}
	n.timer++
	timer, local := n.timer, n.local
	s.after(max(at.Sub(s.now), 0), func() {
		if n.timer == timer && n.local == local {
			s.ask(n)
		}
	})
}

func (s *sim) ask(n *simNode) {
	local, r := n.local, s.replicas[n.leader]
	request := local.Ask(s.now, r.name)
	s.asks++
	n.flight++
	flight := n.flight
	answered := func(p Response) {
		if n.flight != flight || n.local != local {
			return // the node has given up on this request
		}
		n.flight++
		ok := local.Answer(s.now, r.name, p)
		if !ok {
			n.leader = s.next(n, p)
		}
		s.settle(n)
	}
	s.after(s.delay(), func() { s.handle(n, r, request, answered) })
	s.after(simTimeout, func() {
		if n.flight != flight || n.local != local {
			return
		}
		n.flight++
		local.Failed(s.now)
		n.leader = (n.leader + 1) % len(s.replicas)
		s.schedule(n)
	})
}

// next returns the replica to ask after one that does not lead.
func (s *sim) next(n *simNode, p Response) int {
	i := slices.IndexFunc(s.replicas, func(r *simReplica) bool { return r.name == p.Leader })
	if i < 0 || i == n.leader {
		return (n.leader + 1) % len(s.replicas)
	}
	return i
}

// handle runs a request at a replica, once that is awake.
func (s *sim) handle(n *simNode, r *simReplica, q Request, answered func(Response)) {
	index := slices.Index(s.replicas, r)
	if r.dead || !s.linked(n.index, index) {
		return
	}
	if r.frozen {
		r.delayed = append(r.delayed, func() { s.handle(n, r, q, answered) })
		return
	}
	confirmed := 60 * time.Millisecond
	if !r.confirmed.IsZero() {
		confirmed = s.now.Sub(r.confirmed)
	}
	p := r.coordinator.Decide(s.now, Standing{Leads: r.leads, Term: r.term, Leader: r.leader, Confirmed: confirmed, Nodes: simNodes}, q)
	s.after(s.delay(), func() {
		if s.linked(n.index, index) && !s.lost(n.index) {
			answered(p)
		}
	})
}

// elect makes a replica the leader of the next term. The nodes learn it from their polls.
func (s *sim) elect(index int) {
	for i, r := range s.replicas {
		if r.dead || r.frozen {
			continue
		}
		if r.leads && i != index && !r.confirmed.IsZero() {
			continue // it is cut off and still believes to lead
		}
		r.leads, r.leader = i == index, s.replicas[index].name
		r.term++
	}
	r := s.replicas[index]
	r.confirmed = time.Time{}
	for _, n := range s.nodes {
		s.after(time.Duration(s.random.Float64()*float64(500*time.Millisecond)), func() {
			if s.linked(n.index, index) && n.leader != index {
				n.leader = index
				n.local.Greet()
				s.schedule(n)
			}
		})
	}
}

// request plays one request of a customer at a node; unused, if not nil, says whether it is refused later without running.
func (s *sim) request(n *simNode, customer string, unused func() bool) {
	began, local := s.now, n.local
	s.arrived[customer] = append(s.arrived[customer], s.now)
	s.play(n, customer, func(v Verdict) {
		s.slowest = max(s.slowest, s.now.Sub(began))
		switch {
		case !v.Granted:
			s.refusals[customer] = append(s.refusals[customer], s.now)
			s.returns = append(s.returns, v.RetryAfter)
		case unused != nil && unused():
			admitted := s.now
			s.after(5*time.Millisecond, func() {
				local.GiveBack(s.now, admitted, customer, v)
				s.settle(n)
			})
		default:
			s.runs[customer] = append(s.runs[customer], s.now)
		}
	})
}

// play asks a node for a token and passes the verdict on.
func (s *sim) play(n *simNode, customer string, decided func(Verdict)) {
	local := n.local
	take := local.Take
	if s.late > 0 && s.random.Float64() < s.late {
		take = local.TakeLate
	}
	v, w := take(s.now, customer, s.limits[customer])
	if w == nil {
		decided(v)
		s.schedule(n)
		return
	}
	n.waiting = append(n.waiting, pending{w, decided})
	s.schedule(n)
	s.after(MaxWait, func() {
		i := slices.IndexFunc(n.waiting, func(p pending) bool { return p.waiter == w })
		if i >= 0 {
			n.waiting = slices.Delete(n.waiting, i, i+1)
			decided(local.Leave(s.now, w))
		}
	})
}

// settle passes verdicts on to requests that waited.
func (s *sim) settle(n *simNode) {
	var rest []pending
	for _, p := range n.waiting {
		select {
		case v := <-p.waiter.Decided:
			p.decided(v)
		default:
			rest = append(rest, p)
		}
	}
	n.waiting = rest
	s.schedule(n)
}

// demand sends requests of a customer at random to nodes: perSecond gives the rate of a node, a function of time.
func (s *sim) demand(customer string, perSecond func(node int, at time.Duration) float64) {
	for _, n := range s.nodes {
		s.arrivals(n, customer, nil, func(at time.Duration) float64 { return perSecond(n.index, at) })
	}
}

func (s *sim) arrivals(n *simNode, customer string, unused func() bool, perSecond func(at time.Duration) float64) {
	const idle = 20 * time.Millisecond
	var next func()
	next = func() {
		rate := perSecond(s.now.Sub(s.begin))
		if rate <= 0 {
			s.after(idle, next)
			return
		}
		gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if gap > time.Second { // the rate may change meanwhile
			s.after(time.Second, next)
			return
		}
		s.after(gap, func() {
			s.request(n, customer, unused)
			next()
		})
	}
	s.after(time.Duration(s.random.Float64()*float64(100*time.Millisecond)), next)
}

// checkBound checks each sliding window of 5 s that begins at or after from.
func (s *sim) checkBound(customer string, l Limit, from time.Duration) {
	s.t.Helper()
	b := DefaultBounds()
	most := (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
	runs := s.runs[customer]
	slices.SortFunc(runs, time.Time.Compare)
	first, worst := 0, 0
	var when time.Duration
	for last, at := range runs {
		for at.Sub(runs[first]) >= b.Window || runs[first].Before(s.begin.Add(from)) && first < last {
			first++
		}
		if n := last - first + 1; n > worst {
			worst, when = n, runs[first].Sub(s.begin)
		}
	}
	if float64(worst) > most {
		s.t.Errorf("%s: got %d requests within 5 s from %v, want at most %.0f", customer, worst, when, most)
	}
	s.t.Logf("%s: %d requests in the worst window of at most %.0f", customer, worst, most)
}

// checkUsed checks that at least a share of the quota was used between two times: of what one bucket at a single place, empty at first,
// would have admitted, less the two tokens that even the smallest bucket may hold at the end. With demand far above the quota that is
// the rate times the length.
func (s *sim) checkUsed(customer string, l Limit, from, to time.Duration, least float64) {
	s.t.Helper()
	n := count(s.runs[customer], s.begin.Add(from), s.begin.Add(to))
	got := float64(n) / (l.Rate * (to - from).Seconds())
	if arrived, refused := s.ideal(customer, l, from, to); float64(n) < least*float64(arrived-refused)-minDepth {
		s.t.Errorf("%s: got %.3f of the quota used from %v to %v, want at least %.3f", customer, got, from, to, least)
	}
	s.t.Logf("%s: %.3f of the quota used from %v to %v, %d requests to coordinators", customer, got, from, to, s.asks)
}

// ideal returns how many requests arrived between two times, and how many of them one bucket at a single place would refuse.
func (s *sim) ideal(customer string, l Limit, from, to time.Duration) (arrived, refused int) {
	depth := DefaultBounds().depth(l)
	level, at := 0.0, s.begin.Add(from)
	for _, now := range s.arrived[customer] {
		if now.Before(at) || now.Sub(s.begin) >= to {
			continue
		}
		arrived++
		level = min(level+l.Rate*now.Sub(at).Seconds(), depth)
		at = now
		if level < 1 {
			refused++
			continue
		}
		level--
	}
	return arrived, refused
}
