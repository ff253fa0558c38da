package agreement

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	scheduleTick     = 25 * time.Millisecond
	planInterval     = 100 * time.Millisecond // as package host
	readInterval     = 200 * time.Millisecond
	announcementTerm = 10 * time.Second // time after the end of a process for which it stays announced: the lease of a node
	scheduleVoters   = 2*testLosses + 1
)

// event is something that happens at a simulated time; events of the same time happen in the order in which they were scheduled.
type event struct {
	at     time.Time
	number int
	do     func()
}

// agenda is a heap of events.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].number < a[j].number
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }

// Pop removes the last event for package heap.
func (a *agenda) Pop() any {
	e := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return e
}

// process is one run of a replica. Inputs wait while it is frozen or, if its group blocks on writes, while it writes.
type process struct {
	id      string
	replica *Replica
	ended   bool
	frozen  int      // freezes in progress
	slow    int      // slow-disk steps in progress
	writing *Effects // effects that are being saved; nil for none
	written bool     // the save in writing is done, but not carried out yet
	waiting []func()
}

// failure is what a play panics with when a check fails.
type failure string

// failing turns a failed check into a panic, so that a play can be repeated with fewer steps.
type failing struct{ rapid.TB }

// Fatalf panics with a failure.
func (failing) Fatalf(format string, a ...any) { panic(failure(fmt.Sprintf(format, a...))) }

// group is a cluster with timed messages, timed writes and the faults of a schedule.
type group struct {
	*cluster
	settings
	origin    time.Time // time of the first step
	agenda    agenda
	events    int
	processes map[string]*process // running ones, by identity
	announced map[string]string   // announced identity, by name
	slots     []*slot
	cuts      []*cut
	// The newest leader with its term, and the leader before it.
	present, previous string
	presentTerm       uint64
	names             int // hosts started so far
	context           uint64
	armed             []step
	faults            faultRecord
	trace             []string
}

// newGroup founds a group with the plain cluster, restarts it with the settings and waits until it has a leader.
func newGroup(t rapid.TB, p settings) *group {
	c := newCluster(failing{t}, scheduleVoters, p.seed)
	c.run(4 * time.Second)
	c.network, c.options = nil, []Option{WithElectionTimeout(p.election)}
	g := &group{cluster: c, settings: p, processes: map[string]*process{}, announced: map[string]string{}, names: scheduleVoters, context: 1}
	for _, id := range c.ids() {
		g.slots = append(g.slots, &slot{id: id})
		g.announced[Name(id)] = id
		g.startProcess(id)
	}
	g.every(p.storm, g.proposeCommand)
	g.every(planInterval, g.planChange)
	g.every(readInterval, g.startRead)
	g.runUntil(g.now.Add(4 * time.Second))
	if p.longLog {
		g.proposeLongLog()
	}
	g.origin = g.now
	return g
}

func (g *group) logf(format string, a ...any) {
	if !g.origin.IsZero() {
		g.trace = append(g.trace, fmt.Sprintf("%7.3f s  %s", g.now.Sub(g.origin).Seconds(), fmt.Sprintf(format, a...)))
	}
}

func (g *group) after(d time.Duration, do func()) {
	g.events++
	heap.Push(&g.agenda, event{at: g.now.Add(d), number: g.events, do: do})
}

func (g *group) every(d time.Duration, do func()) {
	g.after(d, func() {
		do()
		g.every(d, do)
	})
}

func (g *group) runUntil(end time.Time) {
	for len(g.agenda) > 0 && !g.agenda[0].at.After(end) {
		e := heap.Pop(&g.agenda).(event)
		g.now = e.at
		e.do()
	}
	g.now = end
}

// upTo returns a random time below d.
func (g *group) upTo(d time.Duration) time.Duration { return time.Duration(g.random.Int63n(int64(d))) }

// startProcess starts a replica from its store; it is announced a little later, as through the agreed state.
func (g *group) startProcess(id string) {
	s := g.stores[id]
	r, err := New(append([]Option{WithID(id), WithLog(s.state, s.snapshot, slices.Clone(s.entries)), WithRandom(g.upTo)}, g.options...)...)
	if err != nil {
		g.t.Fatalf("New(%s): %v", id, err)
	}
	p := &process{id: id, replica: r}
	g.members[id], g.processes[id] = r, p
	g.after(50*time.Millisecond+g.upTo(250*time.Millisecond), func() {
		if !p.ended {
			g.announced[Name(id)] = id
		}
	})
	g.after(g.upTo(scheduleTick), func() { g.tickProcess(p) })
}

func (g *group) tickProcess(p *process) {
	if p.ended {
		return
	}
	g.input(p, func() { p.replica.Tick(g.now) })
	g.after(scheduleTick, func() { g.tickProcess(p) })
}

// endProcess kills a process. The write in progress may have reached the disk, although nobody was told.
func (g *group) endProcess(id string) {
	p := g.processes[id]
	if p == nil {
		return
	}
	if p.writing != nil && g.random.Intn(2) == 0 {
		g.stores[id].save(*p.writing)
	}
	p.ended = true
	delete(g.processes, id)
	delete(g.members, id)
	g.after(announcementTerm, func() {
		if g.processes[id] == nil {
			g.withdraw(id)
		}
	})
}

// withdraw ends the announcement of an identity.
func (g *group) withdraw(id string) {
	if g.announced[Name(id)] == id {
		delete(g.announced, Name(id))
	}
}

func (g *group) isBlocked(p *process) bool { return p.frozen > 0 || p.writing != nil && g.blockingDisk }

// input passes an input to a process, now or once it runs again.
func (g *group) input(p *process, f func()) {
	switch {
	case p.ended:
	case g.isBlocked(p):
		p.waiting = append(p.waiting, f)
	default:
		f()
		g.drain(p)
	}
}

// resume carries out a finished write and then all inputs that have waited.
func (g *group) resume(p *process) {
	if p.ended || p.frozen > 0 {
		return
	}
	if p.written {
		e := *p.writing
		p.writing, p.written = nil, false
		g.carryOut(p, e)
		g.drain(p)
	}
	for len(p.waiting) > 0 && !g.isBlocked(p) {
		f := p.waiting[0]
		p.waiting = p.waiting[1:]
		f()
	}
	g.drain(p)
}

// drain sends what is urgent and takes effects until there are none or some must be saved first.
func (g *group) drain(p *process) {
	for !p.ended {
		for _, m := range p.replica.Urgent() {
			g.send(m)
		}
		if p.writing != nil {
			return
		}
		e := p.replica.Effects()
		if e.Empty() {
			g.compact(p)
			return
		}
		g.checkAppended(p, e)
		if !e.Saves() {
			g.carryOut(p, e)
			continue
		}
		p.writing = &e
		g.after(g.writeTime(p), func() {
			p.written = true
			g.resume(p)
		})
	}
}

func (g *group) writeTime(p *process) time.Duration {
	if p.slow > 0 {
		return 50*time.Millisecond + g.upTo(750*time.Millisecond)
	}
	return 200*time.Microsecond + g.upTo(g.write)
}

// carryOut does what Effects documents, in its order.
func (g *group) carryOut(p *process, e Effects) {
	g.stores[p.id].save(e)
	for _, m := range e.Messages {
		g.send(m)
	}
	if n := len(e.Entries); n > 0 {
		p.replica.Persisted(e.Entries[n-1].Index, e.Entries[n-1].Term)
	}
	g.checkInvariants(p.id, p.replica, e)
	g.checkLeader(p)
}

// compact replaces the applied log by a snapshot once it is long enough.
func (g *group) compact(p *process) {
	s := g.stores[p.id]
	n, ok := p.replica.SnapshotAt(p.replica.Status().Applied)
	if g.compactAfter == 0 || !ok || n.Index < s.snapshot.Index+g.compactAfter {
		return
	}
	s.entries = slices.Clone(s.entries[n.Index-s.snapshot.Index:])
	n.Data = []byte("state")
	s.snapshot = n
	p.replica.Compact(n.Index)
}

// send sends a message, which may be lost, delayed beyond later ones, or duplicated.
func (g *group) send(m Message) {
	if m.Kind == InstallSnapshot {
		s := g.stores[m.From].snapshot
		if m.Snapshot.Index != s.Index {
			return
		}
		m.Snapshot = &s
	}
	if g.random.Float64() < g.duplicate {
		g.after(g.transitTime(), func() { g.deliverTo(m) })
	}
	if g.random.Float64() >= g.loss {
		g.after(g.transitTime(), func() { g.deliverTo(m) })
	}
}

func (g *group) transitTime() time.Duration {
	d := 300*time.Microsecond + g.upTo(g.settings.transit)
	if g.random.Float64() < g.delay {
		d += g.upTo(100 * time.Millisecond)
	}
	return d
}

func (g *group) deliverTo(m Message) {
	p := g.processes[m.To]
	if p == nil || g.isCut(Name(m.From), Name(m.To)) {
		return
	}
	g.input(p, func() { p.replica.Step(g.now, m) })
}

// onLeaders passes an input to each running process that leads, deposed leaders included.
func (g *group) onLeaders(f func(p *process)) {
	for _, id := range g.running() {
		if p := g.processes[id]; p.replica.role == Leader {
			g.input(p, func() { f(p) })
		}
	}
}

func (g *group) proposeCommand() {
	g.onLeaders(func(p *process) {
		_, _, _ = p.replica.Propose(g.now, Command, [][]byte{fmt.Append(nil, g.events)})
	})
}

func (g *group) proposeLongLog() {
	batch := make([][]byte, 2*trailingEntries)
	g.onLeaders(func(p *process) { _, _, _ = p.replica.Propose(g.now, Command, batch) })
	g.runUntil(g.now.Add(2 * time.Second))
}

func (g *group) startRead() {
	started := g.highestCommit
	g.onLeaders(func(p *process) {
		g.context++
		g.reads[g.context] = started
		_ = p.replica.Read(g.now, g.context)
	})
}

// planChange proposes the planned change that is due, as package host does on the leader.
func (g *group) planChange() {
	g.onLeaders(func(p *process) {
		st := p.replica.Status()
		change, ok := NextChange(g.now, st, Target{Announced: g.announcements(), Voters: scheduleVoters, CatchUp: g.catchUp})
		if !ok {
			return
		}
		_, _, err := p.replica.Propose(g.now, MembersChange, [][]byte{EncodeMembers(change.Apply(st.Members))})
		if err == nil {
			g.logf("%s plans %+v", p.id, change)
		}
	})
}

func (g *group) announcements() []string {
	var ids []string
	for _, id := range g.announced {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
