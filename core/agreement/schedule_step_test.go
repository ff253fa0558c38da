package agreement

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// stepKind is a kind of fault.
type stepKind int

// Kinds of faults; the ones up to slowDisk hit one replica, which then counts as lost.
const (
	replaceHost stepKind = iota // the replica and its disk are gone; a new name starts with an empty disk
	loseDisk                    // the same name starts with an empty disk
	restartOne
	cutOff
	freeze
	slowDisk
	electionSeries // each leader is cut off or killed
	splitGroup
	restartAll
	stepKinds
)

// String names the fault.
func (k stepKind) String() string {
	return [...]string{"replace the host of", "lose the disk of", "restart", "cut off", "freeze", "slow the disk of", "elections from", "split", "restart all"}[k]
}

// target says which replica a step hits, by its role when the step begins.
type target int

const (
	hitLeader target = iota
	hitFormer        // the leader before the present one
	hitFollower
	hitNewest // the successor that started last
	targets
)

// String names the replica.
func (t target) String() string {
	return [...]string{"the leader", "the former leader", "a follower", "the newest"}[t]
}

// step is one fault of a schedule.
type step struct {
	at     time.Duration // since the group has a leader
	kind   stepKind
	target target
	length time.Duration // duration of the fault; for a lost disk, the time until the successor starts; below 0: the host goes later
	choice int64         // seeds what else the step draws, so that it stays the same when other steps are dropped
	// onChange lets the step wait from its time on until a leader changes the voters, because a change lasts for milliseconds and
	// steps at random times hardly ever meet it.
	onChange bool
	leaves   bool // the host that is replaced leaves the mesh before it goes
}

// String returns the step as the report shows it.
func (s step) String() string {
	when := ""
	if s.onChange {
		when = ", at the next change of the voters"
	}
	if s.leaves {
		when += ", leaving first"
	}
	return fmt.Sprintf("at %.3f s%s: %s %s for %.3f s (%d)", s.at.Seconds(), when, s.kind, s.target, s.length.Seconds(), s.choice)
}

// drawStep draws a fault for the given time.
func drawStep(random *rand.Rand, at time.Duration) step {
	s := step{at: at, kind: stepKind(random.Intn(int(stepKinds))), target: target(random.Intn(int(targets))), choice: random.Int63n(1000)}
	s.onChange = random.Intn(3) == 0
	if !s.onChange && random.Intn(4) == 0 {
		s.kind = replaceHost // the other steps are of most interest beside one
	}
	shortest, longest := 300*time.Millisecond, 3*time.Second
	switch s.kind {
	case replaceHost:
		shortest, longest = -2*time.Second, 1500*time.Millisecond
	case loseDisk:
		shortest, longest = 0, 1500*time.Millisecond
	case cutOff, splitGroup:
		longest = 4 * time.Second
	}
	s.leaves = s.kind == replaceHost && random.Intn(2) == 0
	s.length = shortest + time.Duration(random.Int63n(int64(longest-shortest)))
	return s
}

// drawReplacement draws the planned replacement of a host that leaves, and one or two faults at the moment at which its voter is
// replaced: only there do both the outgoing and the new voter run while the change is joint.
func drawReplacement(random *rand.Rand, at time.Duration) []step {
	leave := step{at: at, kind: replaceHost, target: target(random.Intn(int(targets))), length: -2 * time.Second, choice: random.Int63n(1000), leaves: true}
	steps := []step{leave}
	for range 1 + random.Intn(2) {
		s := drawStep(random, at)
		s.onChange, s.leaves = true, false
		if random.Intn(2) == 0 {
			s.kind, s.length = splitGroup, 500*time.Millisecond+time.Duration(random.Int63n(int64(3500*time.Millisecond)))
		}
		steps = append(steps, s)
	}
	return steps
}

// slot is one of the places of the group; its replica is replaced when its host or disk is lost.
type slot struct {
	id      string
	started time.Time // start of its last successor
}

// cut blocks messages between the given names and all others.
type cut struct {
	names   []string
	in, out bool
}

func (g *group) isCut(from, to string) bool {
	return slices.ContainsFunc(g.cuts, func(c *cut) bool {
		inFrom, inTo := slices.Contains(c.names, from), slices.Contains(c.names, to)
		return inFrom != inTo && (inFrom && c.out || inTo && c.in)
	})
}

func (g *group) addCut(d time.Duration, c *cut) {
	g.cuts = append(g.cuts, c)
	g.after(d, func() { g.cuts = slices.DeleteFunc(g.cuts, func(o *cut) bool { return o == c }) })
}

func (g *group) slotOf(id string) *slot {
	i := slices.IndexFunc(g.slots, func(s *slot) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	return g.slots[i]
}

// find returns the running slot that a step hits, or nil.
func (g *group) find(t target, random *rand.Rand) *slot {
	running := slices.DeleteFunc(slices.Clone(g.slots), func(s *slot) bool { return g.processes[s.id] == nil })
	if len(running) == 0 {
		return nil
	}
	switch t {
	case hitLeader:
		return g.slotOf(g.leader())
	case hitFormer:
		if s := g.slotOf(g.previous); slices.Contains(running, s) {
			return s
		}
	case hitNewest:
		return slices.MaxFunc(running, func(a, b *slot) int { return a.started.Compare(b.started) })
	}
	return running[random.Intn(len(running))]
}

// lostNow returns the number of replicas, other than the given one, that count as lost now.
func (g *group) lostNow(except string) int {
	n := 0
	for id, until := range g.faults.lost {
		if id != except && g.now.Before(until) {
			n++
		}
	}
	return n
}

// mayLose reports whether no more than the losses that the group must bear are lost at once with this replica.
func (g *group) mayLose(id string) bool { return g.lostNow(id) < testLosses }

// lose notes that a replica is lost for d. It then counts as lost for the time catchUp, which begins after the last fault of the whole
// group, since nothing can be replaced during such a fault.
func (g *group) lose(id string, d time.Duration) {
	g.noteSilence(id)
	end := g.now.Add(d)
	g.faults.newestHit[id] = later(g.faults.newestHit[id], end)
	g.faults.lost[id] = later(g.faults.lost[id], later(end, g.faults.whole).Add(g.catchUp))
	g.extendFaults(d)
}

// holdLosses begins a fault of the whole group. What is lost now stays lost until the group has had the time catchUp after it.
func (g *group) holdLosses(d time.Duration) {
	end := g.now.Add(d)
	g.faults.whole = later(g.faults.whole, end)
	for id, until := range g.faults.lost {
		if g.now.Before(until) {
			g.faults.lost[id] = later(until, end.Add(g.catchUp))
		}
	}
	g.extendFaults(d)
}

// begin carries out a step now, or lets it wait for the next change of the voters.
func (g *group) begin(s step) {
	if s.onChange {
		g.armed = append(g.armed, s)
		return
	}
	g.perform(s)
}

// beginArmed carries out the steps that wait for a change of the voters, within the time that its change takes.
func (g *group) beginArmed() {
	for _, s := range g.armed {
		delay := []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond}[s.choice%3]
		g.after(time.Duration(s.choice)*delay/1000, func() { g.perform(s) })
	}
	g.armed = nil
}

// perform carries out a step unless its replica does not run or too many would be lost at once.
func (g *group) perform(s step) {
	random := rand.New(rand.NewSource(s.choice))
	switch s.kind {
	case electionSeries:
		g.endLeaders(2+random.Intn(4), random)
	case splitGroup:
		g.logf("%s", s)
		g.split(s.length, random)
	case restartAll:
		g.logf("%s", s)
		g.restartAll(s.length)
	default:
		sl := g.find(s.target, random)
		if sl == nil || !g.mayLose(sl.id) {
			return
		}
		g.logf("%s: %s", s, sl.id)
		g.hit(sl, s, random)
	}
}

// hit carries out a step on one slot.
func (g *group) hit(sl *slot, s step, random *rand.Rand) {
	d := s.length
	switch s.kind {
	case replaceHost:
		g.names++
		g.replace(sl, fmt.Sprintf("h%02d/1", g.names), d, s.leaves)
	case loseDisk:
		g.names++
		g.replace(sl, fmt.Sprintf("%s/%d", Name(sl.id), g.names), d, false)
	case restartOne:
		g.lose(sl.id, d)
		g.restart(sl.id, d)
	case cutOff:
		g.lose(sl.id, d)
		in, out := random.Intn(3) > 0, random.Intn(3) > 0
		g.addCut(d, &cut{names: []string{Name(sl.id)}, in: in || !out, out: out || !in})
	case freeze:
		g.lose(sl.id, d)
		g.impair(sl.id, d, func(p *process, by int) { p.frozen += by })
	case slowDisk:
		g.lose(sl.id, d)
		g.impair(sl.id, d, func(p *process, by int) { p.slow += by })
	}
}

// impair changes a process by 1 and, after d, by -1.
func (g *group) impair(id string, d time.Duration, change func(p *process, by int)) {
	p := g.processes[id]
	change(p, 1)
	g.after(d, func() {
		change(p, -1)
		g.resume(p)
	})
}

// replace removes a slot's replica with its disk and starts the successor after d; with a d below 0, the successor starts now and the
// replica goes later. A host that leaves is no longer announced from halfway on, while its replica still runs.
func (g *group) replace(sl *slot, successor string, d time.Duration, leaves bool) {
	old := sl.id
	g.lose(old, max(d, -d))
	if leaves {
		g.after(max(0, -d)/2, func() { g.withdraw(old) })
	}
	g.after(max(0, -d), func() {
		g.endProcess(old)
		delete(g.stores, old)
	})
	g.after(max(0, d), func() {
		g.logf("%s starts for %s", successor, old)
		g.stores[successor] = &store{}
		sl.id, sl.started = successor, g.now
		g.startProcess(successor)
	})
}

// restart kills a replica and starts it again from its disk after d.
func (g *group) restart(id string, d time.Duration) {
	g.endProcess(id)
	g.after(d, func() {
		if g.stores[id] != nil && g.processes[id] == nil {
			g.startProcess(id)
		}
	})
}

// restartAll kills all replicas and starts them within half a second after d.
func (g *group) restartAll(d time.Duration) {
	const spread = 500 * time.Millisecond
	g.holdLosses(d + spread)
	for _, id := range g.running() {
		g.restart(id, d+g.upTo(spread))
	}
}

// split cuts the group in two halves.
func (g *group) split(d time.Duration, random *rand.Rand) {
	g.holdLosses(d)
	names := g.running()
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:len(names)/2]
	for i := range names {
		names[i] = Name(names[i])
	}
	g.addCut(d, &cut{names: names, in: true, out: true})
}

// endLeaders cuts off or kills one leader after the other.
func (g *group) endLeaders(n int, random *rand.Rand) {
	next := 300*time.Millisecond + time.Duration(random.Int63n(int64(1200*time.Millisecond)))
	g.extendFaults(next)
	if sl := g.slotOf(g.leader()); sl != nil && g.mayLose(sl.id) {
		kind := []stepKind{restartOne, cutOff}[random.Intn(2)]
		g.logf("%s %s, one of a series", kind, sl.id)
		g.hit(sl, step{kind: kind, length: next}, random)
	}
	if n > 1 {
		g.after(next, func() { g.endLeaders(n-1, random) })
	}
}
