package rollout

import "time"

const (
	binLength    = 250 * time.Millisecond
	binCount     = 24              // bins kept, for the recent counts
	maxRoutes    = 256             // routes counted separately; all others are counted together
	recentPeriod = 4 * time.Second // counts up to this age show a release that turns bad later
	stepPeriod   = time.Second     // counts up to this age show the effect of the last step
	coldTime     = 4 * time.Second // a little more than the slow start of an endpoint
	resumeAge    = time.Second     // a leader that takes over a rollout of this age has missed counts
)

// Tally adds up the reports of all nodes on one rollout; it is not safe for concurrent use. Since reports carry sums, a new leader has
// all counts of the live nodes after one report of each.
type Tally struct {
	began time.Time
	// resumed is set if the rollout began before this tally. The first report of a node then covers the time before too, and does not
	// count as recent.
	resumed bool
	nodes   map[string]*nodeReport
	total   map[Key]*Counts
	warm    map[Key]*Counts // reported since the new endpoints are warm
	first   time.Time       // time of the first answer of the new release; zero before it
	bins    [binCount]bin
	// missed is the number of requests that found no usable endpoint of the new release.
	missed uint64
}

type nodeReport struct {
	incarnation uint64
	at          time.Time
	missed      uint64
	stopped     bool
	step        uint32
	pending     uint32
	counts      map[Key]Counts
}

type bin struct {
	start  int64 // number of the bin since the Unix epoch
	counts map[Key]*Counts
	missed uint64
}

// NewTally returns an empty Tally of a leader that begins to count now, for a rollout that was accepted at the given time.
func NewTally(now, accepted time.Time) *Tally {
	t := &Tally{
		began: now, resumed: now.Sub(accepted) > resumeAge,
		nodes: map[string]*nodeReport{}, total: map[Key]*Counts{}, warm: map[Key]*Counts{},
	}
	if t.resumed {
		t.first = accepted
	}
	return t
}

// isWarm reports whether the new endpoints were past their slow start at a time.
func (t *Tally) isWarm(at time.Time) bool { return !t.first.IsZero() && at.Sub(t.first) >= coldTime }

// Add adds what a node counted since its last report.
func (t *Tally) Add(now time.Time, r Report) {
	n := t.nodes[r.Node]
	old := n == nil && t.resumed
	if n == nil || n.incarnation != r.Incarnation {
		n = &nodeReport{incarnation: r.Incarnation, counts: map[Key]Counts{}}
		t.nodes[r.Node] = n
	}
	b := t.bin(now)
	n.stopped, n.at, n.step, n.pending = r.Stopped, now, r.Step, r.Pending
	missed := grown(r.Missed, n.missed)
	n.missed = max(n.missed, r.Missed)
	t.missed += missed
	if !old {
		b.missed += missed
	}
	for k, c := range r.Counts {
		last := n.counts[k]
		d := c.since(&last)
		n.counts[k] = c
		t.add(t.total, k, &d)
		if k.New && d.Sum() > 0 && t.first.IsZero() {
			t.first = now
		}
		if !old && t.isWarm(now) {
			t.add(t.warm, k, &d)
		}
		if !old {
			t.add(b.counts, k, &d)
		}
	}
}

// heard returns the number of nodes that reported in the last period.
func (t *Tally) heard(now time.Time, period time.Duration) int {
	n := 0
	for _, r := range t.nodes {
		if now.Sub(r.at) <= period {
			n++
		}
	}
	return n
}

func (t *Tally) add(m map[Key]*Counts, k Key, d *Counts) {
	if d.Sum() == 0 {
		return
	}
	c := m[k]
	if c == nil && len(m) >= 2*maxRoutes {
		k.Route = ""
		c = m[k]
	}
	if c == nil {
		c = new(Counts)
		m[k] = c
	}
	c.add(d)
}

// bin returns the bin of the present, and empties it first if it holds older counts.
func (t *Tally) bin(now time.Time) *bin {
	number := now.UnixNano() / int64(binLength)
	b := &t.bins[number%binCount]
	if b.start != number || b.counts == nil {
		*b = bin{start: number, counts: map[Key]*Counts{}}
	}
	return b
}

// recentCounts returns the counts that were reported in the last period, by key.
func (t *Tally) recentCounts(now time.Time, period time.Duration) (counts map[Key]*Counts, missed uint64) {
	oldest := now.Add(-period).UnixNano() / int64(binLength)
	counts = map[Key]*Counts{}
	for i := range t.bins {
		b := &t.bins[i]
		if b.start <= oldest {
			continue
		}
		missed += b.missed
		for k, c := range b.counts {
			t.add(counts, k, c)
		}
	}
	return counts, missed
}

// moved reports whether all nodes that reported in the last period know a step, and none waits for an answer of the old release.
func (t *Tally) moved(now time.Time, period time.Duration, step uint32) bool {
	for _, r := range t.nodes {
		if now.Sub(r.at) <= period && (r.step < step || r.pending > 0) {
			return false
		}
	}
	return true
}

// stoppedNodes returns the number of nodes that send nothing more to the new release.
func (t *Tally) stoppedNodes() int {
	n := 0
	for _, r := range t.nodes {
		if r.stopped {
			n++
		}
	}
	return n
}

// sides returns the sums over all routes for the old and for the new release.
func sides(counts map[Key]*Counts) (old, fresh Counts) {
	for k, c := range counts {
		if k.New {
			fresh.add(c)
			continue
		}
		old.add(c)
	}
	return old, fresh
}
