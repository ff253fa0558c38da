package caller

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// inFlightShards is the number of lists that hold the requests in flight; several lists keep handlers from waiting for one mutex.
const inFlightShards = 32

// Progress is the state of a request in flight.
type Progress struct {
	Call     string
	Route    string         // empty until the route is known
	Endpoint string         // endpoint of the last attempt; empty before the first
	Host     string         // host of that endpoint
	Address  netip.AddrPort // address of the node on that host
	Began    time.Time
	Body     time.Time // time at which the body was complete in memory; zero before
	Sent     time.Time // start of the last attempt; zero before the first
	Deadline time.Time // zero until it is known
	Attempts int
	Answered bool // the answer to the caller has begun
}

// Reasons for which a request was still in flight when it was cut.
const (
	CutBody    = "body"    // its body was not complete
	CutUnsent  = "unsent"  // no attempt was sent: it waited for a claim or an endpoint
	CutRunning = "running" // it was sent and had no answer
	CutAnswer  = "answer"  // a part of its answer was passed on
)

// Reason returns which part of the request was not done.
func (p *Progress) Reason() string {
	switch {
	case p.Answered:
		return CutAnswer
	case !p.Sent.IsZero():
		return CutRunning
	case !p.Body.IsZero():
		return CutUnsent
	}
	return CutBody
}

// InFlight holds the requests in flight. Its zero value is an empty set.
type InFlight struct {
	shards [inFlightShards]shard
}

// shard is one list of requests, with padding so that two mutexes do not share a cache line.
type shard struct {
	mu   sync.Mutex
	head *Request
	_    [48]byte
}

// Request is a request in an InFlight set.
type Request struct {
	shard          *shard
	previous, next *Request // guarded by the shard's mutex

	mu       sync.Mutex
	progress Progress
	cut      bool
	ended    bool
}

// Add adds a request to the set until Remove.
func (f *InFlight) Add(r *Request, p Progress) {
	r.progress = p
	s := &f.shards[rand.IntN(inFlightShards)]
	r.shard = s
	s.mu.Lock()
	defer s.mu.Unlock()
	r.next = s.head
	if s.head != nil {
		s.head.previous = r
	}
	s.head = r
}

// Remove removes the request from its set.
func (r *Request) Remove() {
	s := r.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		s.head = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
}

// Update changes the state of the request.
func (r *Request) Update(change func(p *Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.progress)
}

// Progress returns the state of the request.
func (r *Request) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress
}

// end marks the request as ended, so that a later Cut leaves it out, and reports whether an earlier Cut has returned it.
func (r *Request) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return r.cut
}

// markCut marks the request as cut and returns its state; false if it has ended.
func (r *Request) markCut() (Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = !r.ended
	return r.progress, r.cut
}

// Len returns the number of requests in flight.
func (f *InFlight) Len() int {
	n := 0
	f.visit(func(*Request) { n++ })
	return n
}

// Visit calls visit with the state of each request in flight; visit must not block.
func (f *InFlight) Visit(visit func(p Progress)) {
	f.visit(func(r *Request) { visit(r.Progress()) })
}

// Cut marks all requests in flight as cut and returns them, the earliest first.
func (f *InFlight) Cut() []Progress {
	var all []Progress
	f.visit(func(r *Request) {
		if p, ok := r.markCut(); ok {
			all = append(all, p)
		}
	})
	slices.SortFunc(all, func(a, b Progress) int { return a.Began.Compare(b.Began) })
	return all
}

func (f *InFlight) visit(v func(r *Request)) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for r := s.head; r != nil; r = r.next {
			v(r)
		}
		s.mu.Unlock()
	}
}
