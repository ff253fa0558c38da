package quarantine

import (
	"maps"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

// Decision says whether a call may run.
type Decision uint8

// Decisions on a call.
const (
	Run         Decision = iota + 1 // the call may run
	Wait                            // a suspect, while a suspect runs here: wait until that one ends, or refuse the call as notrun
	Quarantined                     // the request is quarantined: refuse the call as notrun
)

// String returns the name of the decision for logs.
func (d Decision) String() string {
	switch d {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case Quarantined:
		return "quarantined"
	}
	return "none"
}

// View looks up a fingerprint among the replicated suspects, as Table.Suspect does.
type View func(fingerprint []byte) (*wire.Suspect, bool)

// maxLocalMarks is the maximum number of marks that a node keeps for one endpoint until they are replicated.
const maxLocalMarks = 256

// localMark is a mark made by this node. It applies at once, until it expires or the replicated view includes it or a
// newer one.
type localMark struct {
	suspect       *wire.Suspect // nil if the mark clears the suspect
	clearedExpiry int64         // expiry of the suspect that this mark clears, in Unix milliseconds; the mark does not clear a later one
	expiry        int64         // expiry of this mark, in Unix milliseconds
}

// EndpointState tracks the running calls and the unreplicated marks of one endpoint. It is not safe for concurrent use.
type EndpointState struct {
	endpoint string // SERVICE/NAME
	view     View
	running  map[string]string    // fingerprint by call id
	marks    map[string]localMark // by fingerprint
}

// NewEndpointState returns the state of the endpoint SERVICE/NAME, with an empty view.
func NewEndpointState(endpoint string) *EndpointState {
	return &EndpointState{
		endpoint: endpoint,
		view:     func([]byte) (*wire.Suspect, bool) { return nil, false },
		running:  make(map[string]string),
		marks:    make(map[string]localMark),
	}
}

// Update sets the replicated view, which must not change afterwards. It drops a local clear once the replicated suspect
// changes, and a local crash once the view has the suspect, as quarantined if the crash quarantined it. A later replicated clear
// thus takes effect here.
func (e *EndpointState) Update(view View) {
	e.view = view
	for f, o := range e.marks {
		s, ok := view([]byte(f))
		if o.suspect == nil && s.GetUntil() == o.clearedExpiry {
			continue
		}
		if o.suspect != nil && (!ok || o.suspect.GetQuarantined() && !s.GetQuarantined()) {
			continue
		}
		delete(e.marks, f)
	}
}

// Running returns the number of running calls.
func (e *EndpointState) Running() int { return len(e.running) }

// Start decides whether a call may run and, if so, tracks it as running.
func (e *EndpointState) Start(call string, fingerprint []byte, now time.Time) Decision {
	s := e.suspect(string(fingerprint), now)
	if s.GetQuarantined() {
		return Quarantined
	}
	if s != nil && len(e.runningSuspects(now)) > 0 {
		return Wait
	}
	e.running[call] = string(fingerprint)
	return Run
}

// Done removes a call that completed without a crash. If the request is a suspect and not quarantined, Done clears
// the suspect here and returns the mark to propose; else it returns nil.
func (e *EndpointState) Done(call string, now time.Time) []*wire.Mark {
	fingerprint, ok := e.running[call]
	if !ok {
		return nil
	}
	delete(e.running, call)
	s := e.suspect(fingerprint, now)
	if s == nil || s.GetQuarantined() {
		return nil
	}
	e.store(fingerprint, localMark{clearedExpiry: s.GetUntil(), expiry: s.GetUntil()}, now)
	return []*wire.Mark{e.mark(wire.MarkKind_MARK_KIND_CLEARED, fingerprint, 0)}
}

// Drop removes a call that ended without completing, such as a canceled one; this proves nothing about the request.
func (e *EndpointState) Drop(call string) { delete(e.running, call) }

// Crash records the crash of the backend server process with the given incarnation and returns the marks to propose. The
// fingerprints are those of the requests that the process ran; without any, they are those of all running calls. Calls with these
// fingerprints are removed; others, which run on the next process, stay. If exactly one suspect ran, it is confirmed; if several
// did, each is marked again; if none did, every request that ran is marked.
func (e *EndpointState) Crash(incarnation uint64, now time.Time, fingerprints ...[]byte) []*wire.Mark {
	dead := e.removeCalls(fingerprints)
	marked := e.filterSuspects(dead, now)
	kind := wire.MarkKind_MARK_KIND_CRASHED
	if len(marked) == 1 {
		kind = wire.MarkKind_MARK_KIND_CONFIRMED
	}
	if len(marked) == 0 {
		marked = dead
	}
	marks := make([]*wire.Mark, 0, len(marked))
	for _, f := range marked {
		s := e.suspect(f, now)
		expiry := now.Add(Retention).UnixMilli()
		e.store(f, localMark{expiry: expiry, suspect: &wire.Suspect{
			Fingerprint: []byte(f),
			Crashes:     s.GetCrashes() + 1,
			Quarantined: s.GetQuarantined() || kind == wire.MarkKind_MARK_KIND_CONFIRMED,
			Until:       expiry,
		}}, now)
		marks = append(marks, e.mark(kind, f, incarnation))
	}
	return marks
}

// removeCalls removes the calls with the given fingerprints, or all calls if there are none given, and returns the distinct
// fingerprints, sorted.
func (e *EndpointState) removeCalls(fingerprints [][]byte) []string {
	var dead []string
	for _, f := range fingerprints {
		dead = append(dead, string(f))
	}
	if len(fingerprints) == 0 {
		dead = slices.Collect(maps.Values(e.running))
	}
	slices.Sort(dead)
	dead = slices.Compact(dead)
	maps.DeleteFunc(e.running, func(_, f string) bool {
		_, found := slices.BinarySearch(dead, f)
		return found
	})
	return dead
}

func (e *EndpointState) mark(kind wire.MarkKind, fingerprint string, incarnation uint64) *wire.Mark {
	return &wire.Mark{Kind: kind, Fingerprint: []byte(fingerprint), Endpoint: e.endpoint, Incarnation: incarnation}
}

// runningSuspects returns the distinct fingerprints of running suspects, sorted, including quarantined ones that started
// before their quarantine.
func (e *EndpointState) runningSuspects(now time.Time) []string {
	found := e.filterSuspects(slices.Collect(maps.Values(e.running)), now)
	slices.Sort(found)
	return slices.Compact(found)
}

// filterSuspects returns the fingerprints that are suspects, in the given order.
func (e *EndpointState) filterSuspects(fingerprints []string, now time.Time) []string {
	var found []string
	for _, f := range fingerprints {
		if e.suspect(f, now) != nil {
			found = append(found, f)
		}
	}
	return found
}

// suspect merges the replicated view with the local marks: a quarantine wins, otherwise the suspect that expires later. A local
// clear applies until the replicated suspect changes.
func (e *EndpointState) suspect(fingerprint string, now time.Time) *wire.Suspect {
	replicated, ok := e.view([]byte(fingerprint))
	if !ok || replicated.GetUntil() <= now.UnixMilli() {
		replicated = nil
	}
	o, ok := e.marks[fingerprint]
	if !ok || o.expiry <= now.UnixMilli() {
		return replicated
	}
	if o.suspect == nil {
		if replicated.GetUntil() == o.clearedExpiry {
			return nil
		}
		return replicated
	}
	if replicated == nil || o.suspect.GetQuarantined() || !replicated.GetQuarantined() && replicated.GetUntil() < o.expiry {
		return o.suspect
	}
	return replicated
}

// store sets a local mark and removes expired ones. At maxLocalMarks, a mark with a new fingerprint evicts the mark that
// expires first.
func (e *EndpointState) store(fingerprint string, o localMark, now time.Time) {
	first := ""
	for f, existing := range e.marks {
		if existing.expiry <= now.UnixMilli() {
			delete(e.marks, f)
			continue
		}
		if first == "" || existing.expiry < e.marks[first].expiry || existing.expiry == e.marks[first].expiry && f < first {
			first = f
		}
	}
	if _, existing := e.marks[fingerprint]; !existing && len(e.marks) >= maxLocalMarks {
		delete(e.marks, first)
	}
	e.marks[fingerprint] = o
}
