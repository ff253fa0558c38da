package agreement

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"
)

const (
	quietInterval  = 250 * time.Millisecond // time between two checks of a quiet group
	recoveryLimit  = 15 * time.Second       // time in which a group that lost two disks and its power has a leader
	progressPeriod = time.Second            // a quiet group commits within it
	settlingPeriod = 2 * time.Second        // time after a step in which a leader may not know about a lost learner yet
	hastySlack     = 300 * time.Millisecond // by which a silence may be overestimated: heartbeats and their transit
	soundPeriod    = 500 * time.Millisecond // a voter without a fault for this long is not replaced; as long as the longest listening time
)

// faultRecord is what the checks remember of the faults, and of the quiet time since.
type faultRecord struct {
	until     time.Time            // end of the last fault
	whole     time.Time            // end of the last fault of the whole group
	checked   time.Time            // value of until at the last loss of two disks
	commit    uint64               // highest commit index at the time at
	at        time.Time            // start of the period in which the quiet group must commit
	lost      map[string]time.Time // end of the time in which a replica counts as lost, by identity
	newestHit map[string]time.Time // end of the last fault, by identity
	silent    map[string]time.Time // start of the last fault, by identity, if a sound leader saw it; zero if not
}

// checkLeader checks that a new leader holds the newest committed entry, and traces changes of the leader. It skips a leader that
// learns of its election after a leader of a later term has committed.
func (g *group) checkLeader(p *process) {
	r := p.replica
	if r.role != Leader || g.present == p.id && g.presentTerm == r.state.Term || g.leader() != p.id {
		return
	}
	if g.present != p.id {
		g.previous = g.present
	}
	g.present, g.presentTerm = p.id, r.state.Term
	g.logf("%s leads in term %d", p.id, r.state.Term)
	newest := g.committed[len(g.committed)-1]
	if newest.Term >= r.state.Term {
		return
	}
	if t, ok := r.log.term(newest.Index); r.log.last() < newest.Index || ok && t != newest.Term {
		g.t.Fatalf("election: %s leads in term %d without the committed entry %d of term %d", p.id, r.state.Term, newest.Index, newest.Term)
	}
}

// checkAppended checks that a member set that a leader appends bears no fewer losses than the set before it, with the same
// replicas running. It skips a set whose new voter was hit by a step just now, which the leader cannot know yet.
func (g *group) checkAppended(p *process, e Effects) {
	r := p.replica
	for _, n := range e.Entries {
		if n.Kind != MembersChange || r.role != Leader || n.Term != r.state.Term {
			continue
		}
		i := slices.IndexFunc(r.memberSets, func(m membersAt) bool { return m.index == n.Index })
		if i < 1 {
			continue
		}
		from, to := r.memberSets[i-1].members, r.memberSets[i].members
		if !slices.Equal(from.Voters, to.Voters) {
			g.beginArmed()
		}
		g.logf("%s appends %+v at %d in term %d", p.id, to, n.Index, n.Term)
		g.checkNeeded(p.id, from, to)
		if slices.ContainsFunc(to.Voters, func(id string) bool { return !from.IsVoter(id) && g.now.Sub(g.faults.newestHit[id]) < settlingPeriod }) {
			continue
		}
		if before, after := g.losses(from), g.losses(to); after < before {
			g.t.Fatalf("losses: %s appends a member set that bears %d instead of %d: %+v after %+v, running %v", p.id, after, before, to, from, g.running())
		}
	}
}

// checkNeeded checks that a leader without a fault of its own replaces no voter that runs, is announced and has had no fault lately,
// and none whose fault began a moment ago.
func (g *group) checkNeeded(leader string, from, to Members) {
	if !g.isSound(leader) {
		return
	}
	limit := Target{CatchUp: g.catchUp}
	for _, id := range difference(from.Voters, to.Voters) {
		if g.isSound(id) {
			g.t.Fatalf("needless: %s replaces %s, which has had no fault for %s: %+v after %+v", leader, id, soundPeriod, to, from)
		}
		began, announced := g.faults.silent[id], g.announced[Name(id)] == id
		least := limit.silence() - g.election/reportedSilence - hastySlack
		if silence := g.now.Sub(began); announced && !began.IsZero() && g.now.Sub(g.faults.whole) > limit.silence() && silence < least {
			g.t.Fatalf("hasty: %s replaces %s, which is silent for %s, want %s: %+v after %+v", leader, id, silence, least, to, from)
		}
	}
}

// noteSilence notes when a replica falls silent, if a sound leader is there to notice.
func (g *group) noteSilence(id string) {
	if g.now.Sub(g.faults.newestHit[id]) < soundPeriod {
		return
	}
	g.faults.silent[id] = time.Time{}
	if l := g.leader(); l != "" && (l == id || g.isSound(l)) {
		g.faults.silent[id] = g.now
	}
}

// isSound reports whether a replica runs, is announced and has had no fault of its own or of the whole group for soundPeriod.
func (g *group) isSound(id string) bool {
	p := g.processes[id]
	return p != nil && g.announced[Name(id)] == id && g.slotOf(id) != nil && g.now.Sub(g.faults.newestHit[id]) >= soundPeriod &&
		g.now.Sub(g.faults.whole) >= soundPeriod
}

// losses returns how many more running voters may be lost while each set of voters has a majority; below 0, one has none. It counts
// for itself, so that a fault of Members cannot hide here.
func (g *group) losses(m Members) int {
	least := len(m.Voters)
	for _, voters := range [][]string{m.Voters, m.Outgoing} {
		running := 0
		for _, id := range voters {
			if g.processes[id] != nil {
				running++
			}
		}
		if len(voters) > 0 {
			least = min(least, running-len(voters)/2-1)
		}
	}
	return least
}

// extendFaults notes that a fault lasts for d from now on.
func (g *group) extendFaults(d time.Duration) {
	if end := g.now.Add(d); end.After(g.faults.until) {
		g.faults.until = end
	}
}

// checkQuiet checks the group once no fault has been in progress for the time catchUp.
func (g *group) checkQuiet() {
	since := g.now.Sub(g.faults.until)
	if since < g.catchUp {
		g.faults.at = g.now
		g.faults.commit = g.highestCommit
		return
	}
	m := g.newestMembers()
	running := slices.DeleteFunc(m.IDs(), func(id string) bool { return g.processes[id] == nil || !m.IsVoter(id) })
	if got := g.losses(m); got < testLosses {
		g.t.Fatalf("quiet: got %d losses that the group bears, want %d; members %+v, running %v, %s", got, testLosses, m, g.running(), g.describe())
	}
	if g.now.Sub(g.faults.at) >= progressPeriod {
		if g.highestCommit == g.faults.commit {
			g.t.Fatalf("quiet: got no commit within %s; leader %q, %s", progressPeriod, g.leader(), g.describe())
		}
		g.faults.at, g.faults.commit = g.now, g.highestCommit
	}
	if g.wipe && !g.faults.checked.Equal(g.faults.until) {
		g.faults.checked = g.faults.until
		i := g.random.Intn(len(running))
		j := (i + 1 + g.random.Intn(len(running)-1)) % len(running)
		g.checkWithout(running[i], running[j])
	}
}

// checkBudget checks, also while faults of single replicas go on, that the group bears the losses that it must bear, less those that
// count now: a further loss may come at any time.
func (g *group) checkBudget() {
	if g.now.Sub(g.faults.whole) < g.catchUp {
		return
	}
	m := g.newestMembers()
	if got, want := g.losses(m), testLosses-g.lostNow(""); got < want {
		g.t.Fatalf("late: got %d losses that the group bears, want %d; members %+v, running %v, lost %v, %s", got, want, m, g.running(), g.faults.lost, g.describe())
	}
}

// newestMembers returns the member set of the running replica with the newest log.
func (g *group) newestMembers() Members {
	var newest *Replica
	for _, id := range g.running() {
		r := g.members[id]
		if newest == nil || r.log.lastTerm() > newest.log.lastTerm() || r.log.lastTerm() == newest.log.lastTerm() && r.log.last() > newest.log.last() {
			newest = r
		}
	}
	return newest.members()
}

// describe returns the state of each replica, for the message of a failed check.
func (g *group) describe() string {
	text := ""
	for _, id := range g.running() {
		s := g.members[id].Status()
		text += fmt.Sprintf("[%s %s term %d commit %d last %d] ", id, s.Role, s.Term, s.Commit, s.Last)
	}
	if l := g.leader(); l != "" {
		s := g.members[l].Status()
		for _, id := range s.Members.Learners {
			text += fmt.Sprintf("learner waits: %+v ", s.LearnerWait(g.now, Target{CatchUp: g.catchUp}, id))
		}
	}
	return text
}

// checkWithout checks, on a copy of the group that restarts from its disks without those of two voters, that a leader is elected
// that holds all committed entries and confirms a read.
func (g *group) checkWithout(lost ...string) {
	c := g.copyWithout(lost)
	before := c.highestCommit
	for end := c.now.Add(recoveryLimit); c.now.Before(end); {
		c.maintain(500 * time.Millisecond)
		l := c.leader()
		if l == "" {
			continue
		}
		read := uint64(len(c.reads))
		c.read(l, read)
		c.run(200 * time.Millisecond)
		if c.confirmedReads[read] && c.members[l] != nil && c.members[l].Status().Commit >= before {
			return
		}
	}
	g.t.Fatalf("quiet: no leader that confirms a read within %s after the loss of the disks of %v; members %+v", recoveryLimit, lost, g.newestMembers())
}

// copyWithout returns a plain cluster that starts from the disks of the group; the given replicas start with empty ones.
func (g *group) copyWithout(lost []string) *cluster {
	c := &cluster{
		t: g.t, now: g.now, random: rand.New(rand.NewSource(g.seed)), members: map[string]*Replica{}, stores: map[string]*store{},
		blocked: map[[2]string]bool{}, committed: slices.Clone(g.committed), leaders: maps.Clone(g.leaders), reads: map[uint64]uint64{},
		confirmedReads: map[uint64]bool{}, highestCommit: g.highestCommit, options: g.options,
	}
	for _, id := range g.running() {
		if slices.Contains(lost, id) {
			c.stores[id+"w"] = &store{}
			continue
		}
		s := *g.stores[id]
		s.entries = slices.Clone(s.entries)
		c.stores[id] = &s
	}
	for _, id := range c.ids() {
		c.start(id)
	}
	return c
}
