package quarantine

import (
	"maps"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

// Decision says whether a call may run.
type Decision uint8

// The possible decisions.
const (
	Run         Decision = iota + 1 // the call may run
	Wait                            // another suspect runs on this endpoint: wait until it ends, or refuse the call as notrun
	Quarantined                     // refuse the call as notrun
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

// View looks up a fingerprint among the replicated suspects, as config.Table.Suspect does.
type View func(fingerprint []byte) (*wire.Suspect, bool)

// maxLocalMarks bounds the marks that a node applies before they are replicated.
const maxLocalMarks = 256

// localMark is a mark made by this node. It applies at once, until the replicated view includes it or a newer one.
type localMark struct {
	suspect      *wire.Suspect // nil if the mark clears the suspect
	clearedUntil int64         // Until of the replicated suspect that this mark clears, in Unix milliseconds
	until        int64         // expiry, in Unix milliseconds
}

// EndpointState tracks the running calls and the unreplicated marks of one endpoint. It is not safe for concurrent use.
type EndpointState struct {
	endpoint string // SERVICE/NAME
	view     View
	running  map[string]string    // fingerprint by call id
	marks    map[string]localMark // by fingerprint
}

// NewLocal returns a Local for the endpoint SERVICE/NAME with an empty view.
func NewLocal(endpoint string) *EndpointState {
	return &EndpointState{
		endpoint: endpoint,
		view:     func([]byte) (*wire.Suspect, bool) { return nil, false },
		running:  make(map[string]string),
		marks:    make(map[string]localMark),
	}
}

// Update sets the replicated view, which must not change afterwards. It drops local marks that the view includes, so that a
// replicated clear also takes effect here.
func (l *EndpointState) Update(view View) {
	l.view = view
	for f, o := range l.marks {
		s, ok := view([]byte(f))
		if o.suspect == nil && s.GetUntil() == o.clearedUntil {
			continue
		}
		if o.suspect != nil && (!ok || o.suspect.GetQuarantined() && !s.GetQuarantined()) {
			continue
		}
		delete(l.marks, f)
	}
}

// Running returns the number of running calls.
func (l *EndpointState) Running() int { return len(l.running) }

// Start decides on a call and, if the decision is Run, tracks it as running.
func (l *EndpointState) Start(call string, fingerprint []byte, now time.Time) Decision {
	s := l.suspect(string(fingerprint), now)
	if s.GetQuarantined() {
		return Quarantined
	}
	if s != nil && len(l.runningSuspects(now)) > 0 {
		return Wait
	}
	l.running[call] = string(fingerprint)
	return Run
}

// Done removes a call that completed without a crash. If its request is a suspect and not quarantined, it clears the suspect
// and returns the mark to propose.
func (l *EndpointState) Done(call string, now time.Time) []*wire.Mark {
	fingerprint, ok := l.running[call]
	if !ok {
		return nil
	}
	delete(l.running, call)
	s := l.suspect(fingerprint, now)
	if s == nil || s.GetQuarantined() {
		return nil
	}
	l.store(fingerprint, localMark{clearedUntil: s.GetUntil(), until: s.GetUntil()}, now)
	return []*wire.Mark{l.mark(wire.MarkKind_MARK_KIND_CLEARED, fingerprint, 0)}
}

// Drop removes a call that ended without completing, such as a canceled one; it proves nothing about the request.
func (l *EndpointState) Drop(call string) { delete(l.running, call) }

// Crash records the crash of the backend server process with the given incarnation and returns the marks to propose. ran lists
// the fingerprints that the process ran; if it is empty, all running calls count. Their calls are removed; calls that run on
// the next process stay. If exactly one suspect ran, it is confirmed; if several did, each is marked again; if none did, every
// request that ran is marked.
func (l *EndpointState) Crash(incarnation uint64, now time.Time, ran ...[]byte) []*wire.Mark {
	dead := l.removeCalls(ran)
	marked := l.filterSuspects(dead, now)
	kind := wire.MarkKind_MARK_KIND_CRASHED
	if len(marked) == 1 {
		kind = wire.MarkKind_MARK_KIND_CONFIRMED
	}
	if len(marked) == 0 {
		marked = dead
	}
	marks := make([]*wire.Mark, 0, len(marked))
	for _, f := range marked {
		s := l.suspect(f, now)
		until := now.Add(Retention).UnixMilli()
		l.store(f, localMark{until: until, suspect: &wire.Suspect{
			Fingerprint: []byte(f),
			Crashes:     s.GetCrashes() + 1,
			Quarantined: s.GetQuarantined() || kind == wire.MarkKind_MARK_KIND_CONFIRMED,
			Until:       until,
		}}, now)
		marks = append(marks, l.mark(kind, f, incarnation))
	}
	return marks
}

// removeCalls removes the calls of a dead process and returns their distinct fingerprints, sorted.
func (l *EndpointState) removeCalls(ran [][]byte) []string {
	var dead []string
	for _, f := range ran {
		dead = append(dead, string(f))
	}
	if len(ran) == 0 {
		dead = slices.Collect(maps.Values(l.running))
	}
	slices.Sort(dead)
	dead = slices.Compact(dead)
	maps.DeleteFunc(l.running, func(_, f string) bool {
		_, found := slices.BinarySearch(dead, f)
		return found
	})
	return dead
}

func (l *EndpointState) mark(kind wire.MarkKind, fingerprint string, incarnation uint64) *wire.Mark {
	return &wire.Mark{Kind: kind, Fingerprint: []byte(fingerprint), Endpoint: l.endpoint, Incarnation: incarnation}
}

// runningSuspects returns the distinct fingerprints of running suspects, sorted, including quarantined ones that started
// before their quarantine.
func (l *EndpointState) runningSuspects(now time.Time) []string {
	found := l.filterSuspects(slices.Collect(maps.Values(l.running)), now)
	slices.Sort(found)
	return slices.Compact(found)
}

// filterSuspects returns the fingerprints that are suspects, in the given order.
func (l *EndpointState) filterSuspects(fingerprints []string, now time.Time) []string {
	var found []string
	for _, f := range fingerprints {
		if l.suspect(f, now) != nil {
			found = append(found, f)
		}
	}
	return found
}

// suspect merges the replicated view with the local marks: the stricter mark wins, and a local clear applies until the
// replicated suspect changes.
func (l *EndpointState) suspect(fingerprint string, now time.Time) *wire.Suspect {
	replicated, ok := l.view([]byte(fingerprint))
	if !ok || replicated.GetUntil() <= now.UnixMilli() {
		replicated = nil
	}
	o, ok := l.marks[fingerprint]
	if !ok || o.until <= now.UnixMilli() {
		return replicated
	}
	if o.suspect == nil {
		if replicated.GetUntil() == o.clearedUntil {
			return nil
		}
		return replicated
	}
	if replicated == nil || o.suspect.GetQuarantined() || !replicated.GetQuarantined() && replicated.GetUntil() < o.until {
		return o.suspect
	}
	return replicated
}

// store keeps a local mark; at the bound, it evicts the mark that expires first.
func (l *EndpointState) store(fingerprint string, o localMark, now time.Time) {
	first := ""
	for f, held := range l.marks {
		if held.until <= now.UnixMilli() {
			delete(l.marks, f)
			continue
		}
		if first == "" || held.until < l.marks[first].until || held.until == l.marks[first].until && f < first {
			first = f
		}
	}
	if _, held := l.marks[fingerprint]; !held && len(l.marks) >= maxLocalMarks {
		delete(l.marks, first)
	}
	l.marks[fingerprint] = o
}
