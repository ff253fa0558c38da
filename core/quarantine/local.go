package quarantine

import (
	"maps"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

// Decision says what to do with a call.
type Decision uint8

// Decisions on a call.
const (
	Run         Decision = iota + 1 // may run
	Wait                            // another suspect runs on this endpoint; wait for it or refuse as not run
	Quarantined                     // refuse as not run
)

// String names the decision for logs.
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

// View looks up the agreed suspect of a fingerprint, as config.Table.Suspect does.
type View func(fingerprint []byte) (*wire.Suspect, bool)

// maxLocal bounds the marks that a node applies before they are agreed.
const maxLocal = 256

// own is a mark of this node, in force at once and until the agreed view has one that is newer.
type own struct {
	suspect *wire.Suspect // nil after a clearing
	seen    int64         // Until of the agreed mark that a clearing refers to, Unix milliseconds
	until   int64         // Unix milliseconds
}

// Local is the part of one endpoint's node: it knows which calls run. It is not safe for concurrent use.
type Local struct {
	endpoint string // SERVICE/NAME
	view     View
	running  map[string]string // call to fingerprint
	own      map[string]own
}

// NewLocal returns the part of the endpoint SERVICE/NAME with an empty view.
func NewLocal(endpoint string) *Local {
	return &Local{
		endpoint: endpoint,
		view:     func([]byte) (*wire.Suspect, bool) { return nil, false },
		running:  make(map[string]string),
		own:      make(map[string]own),
	}
}

// Update sets the agreed view, which must not change afterwards. Own marks end when the view has taken them in, so that an
// agreed clearing holds here too.
func (l *Local) Update(view View) {
	l.view = view
	for f, o := range l.own {
		s, ok := view([]byte(f))
		if o.suspect == nil && s.GetUntil() == o.seen {
			continue
		}
		if o.suspect != nil && (!ok || o.suspect.GetQuarantined() && !s.GetQuarantined()) {
			continue
		}
		delete(l.own, f)
	}
}

// Running returns the number of running calls.
func (l *Local) Running() int { return len(l.running) }

// Start decides on a call and takes it as running when the decision is Run.
func (l *Local) Start(call string, fingerprint []byte, now time.Time) Decision {
	s := l.suspect(string(fingerprint), now)
	if s.GetQuarantined() {
		return Quarantined
	}
	if s != nil && len(l.suspects(now)) > 0 {
		return Wait
	}
	l.running[call] = string(fingerprint)
	return Run
}

// Done takes a call that completed without a crash and returns the marks to propose: a suspect is cleared.
func (l *Local) Done(call string, now time.Time) []*wire.Mark {
	fingerprint, ok := l.running[call]
	if !ok {
		return nil
	}
	delete(l.running, call)
	s := l.suspect(fingerprint, now)
	if s == nil || s.GetQuarantined() {
		return nil
	}
	l.keep(fingerprint, own{seen: s.GetUntil(), until: s.GetUntil()}, now)
	return []*wire.Mark{l.mark(wire.MarkKind_MARK_KIND_CLEARED, fingerprint, 0)}
}

// Drop forgets a call that ended without completing, such as a canceled one; it proves nothing about the request.
func (l *Local) Drop(call string) { delete(l.running, call) }

// Crash takes the crash of the backend server's process with the given incarnation and returns the marks to propose. Ran are
// the fingerprints that the dead process ran, without which all running calls count; their calls are forgotten, while calls
// that run on the next process stay. The only suspect that ran is confirmed; of several each is marked again; without a
// suspect every request that ran is marked.
func (l *Local) Crash(incarnation uint64, now time.Time, ran ...[]byte) []*wire.Mark {
	dead := l.forget(ran)
	blamed := l.among(dead, now)
	kind := wire.MarkKind_MARK_KIND_CRASHED
	if len(blamed) == 1 {
		kind = wire.MarkKind_MARK_KIND_CONFIRMED
	}
	if len(blamed) == 0 {
		blamed = dead
	}
	marks := make([]*wire.Mark, 0, len(blamed))
	for _, f := range blamed {
		s := l.suspect(f, now)
		until := now.Add(Retention).UnixMilli()
		l.keep(f, own{until: until, suspect: &wire.Suspect{
			Fingerprint: []byte(f),
			Crashes:     s.GetCrashes() + 1,
			Quarantined: s.GetQuarantined() || kind == wire.MarkKind_MARK_KIND_CONFIRMED,
			Until:       until,
		}}, now)
		marks = append(marks, l.mark(kind, f, incarnation))
	}
	return marks
}

// forget ends the calls of a dead process and returns their different fingerprints in order.
func (l *Local) forget(ran [][]byte) []string {
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

func (l *Local) mark(kind wire.MarkKind, fingerprint string, incarnation uint64) *wire.Mark {
	return &wire.Mark{Kind: kind, Fingerprint: []byte(fingerprint), Endpoint: l.endpoint, Incarnation: incarnation}
}

// suspects returns the different fingerprints of running suspects in order, quarantined ones that began earlier included.
func (l *Local) suspects(now time.Time) []string {
	found := l.among(slices.Collect(maps.Values(l.running)), now)
	slices.Sort(found)
	return slices.Compact(found)
}

// among returns the fingerprints that are suspects, in the order given.
func (l *Local) among(fingerprints []string, now time.Time) []string {
	var found []string
	for _, f := range fingerprints {
		if l.suspect(f, now) != nil {
			found = append(found, f)
		}
	}
	return found
}

// suspect joins the agreed view with this node's own marks: the stricter mark counts, and an own clearing holds until the
// agreed mark changes.
func (l *Local) suspect(fingerprint string, now time.Time) *wire.Suspect {
	agreed, ok := l.view([]byte(fingerprint))
	if !ok || agreed.GetUntil() <= now.UnixMilli() {
		agreed = nil
	}
	o, ok := l.own[fingerprint]
	if !ok || o.until <= now.UnixMilli() {
		return agreed
	}
	if o.suspect == nil {
		if agreed.GetUntil() == o.seen {
			return nil
		}
		return agreed
	}
	if agreed == nil || o.suspect.GetQuarantined() || !agreed.GetQuarantined() && agreed.GetUntil() < o.until {
		return o.suspect
	}
	return agreed
}

// keep stores an own mark; when the bound is reached the one that ends first goes.
func (l *Local) keep(fingerprint string, o own, now time.Time) {
	first := ""
	for f, held := range l.own {
		if held.until <= now.UnixMilli() {
			delete(l.own, f)
			continue
		}
		if first == "" || held.until < l.own[first].until || held.until == l.own[first].until && f < first {
			first = f
		}
	}
	if _, held := l.own[fingerprint]; !held && len(l.own) >= maxLocal {
		delete(l.own, first)
	}
	l.own[fingerprint] = o
}
