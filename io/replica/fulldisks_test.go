package replica

import (
	"errors"
	"fmt"
	"math/rand"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"godwitspindle/core/agreement"
)

const (
	dayStep      = 5 * time.Millisecond
	dayElection  = 600 * time.Millisecond // as on the platform
	dayHeartbeat = 100 * time.Millisecond
	dayVoters    = 5
	dayCatchUp   = 6 * time.Second
	changePeriod = 250 * time.Millisecond
	ackLimit     = 4 * time.Second
	quietTime    = 12 * time.Second // time after the last fault in which changes are proposed
	answerLimit  = time.Second      // time after which the operator sends a change again, to the next replica
	restartPause = 500 * time.Millisecond
	smallDisk    = 1 << 20 // bytes; a disk that has room for the log and a probe, but not for a snapshot
)

// day is a group of replicas in simulated time. Each replica runs the code of its loop on real files, whose disk may be full.
type day struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Time
	origin  time.Time
	sites   []*daySite
	flights []flight
	changes []*dayChange
	names   []string
	agreed  []string // ids in the order in which the first replica applied them
	quietAt time.Time
	always  bool // each change must be acknowledged in time, not only those after the last fault
	spare   bool
	votes   map[string]string // recipient of each granted vote, by voter and term
	leaders map[uint64]string // by term
	trace   []string
	failed  string

	loss float64 // share of lost messages

	compactEntries int
	padding        int   // bytes that each snapshot holds besides the state
	capacity       int64 // bytes that each folder may hold; 0 for no limit
	segment        int64
}

// flight is a message on its way.
type flight struct {
	at time.Time
	m  agreement.Message
}

// dayChange is a change of the operator.
type dayChange struct {
	id       string
	proposed time.Time
	sent     time.Time
	target   int
	answer   chan reply
	acked    bool
}

func (d *day) logf(format string, a ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%7.3f s  %s", d.now.Sub(d.origin).Seconds(), fmt.Sprintf(format, a...)))
}

func (d *day) fail(format string, a ...any) {
	if d.failed == "" {
		d.failed = fmt.Sprintf(format, a...)
		d.logf("%s", d.failed)
	}
}

// newDay draws the settings of a day; begin starts its processes.
func newDay(t testing.TB, seed int64) *day {
	random := rand.New(rand.NewSource(seed))
	d := &day{
		t: t, random: random, now: time.Unix(1_000_000, 0), compactEntries: []int{8, 30, 1000}[random.Intn(3)],
		segment: []int64{300, 2000, 1 << 20}[random.Intn(3)], spare: random.Intn(2) == 0,
	}
	d.origin = d.now
	d.votes, d.leaders = map[string]string{}, map[uint64]string{}
	d.loss = []float64{0, 0, 0.02}[random.Intn(3)]
	if random.Intn(4) == 0 {
		d.padding, d.capacity = smallDisk, smallDisk
	}
	return d
}

func (d *day) begin() {
	for i := range dayVoters {
		d.names = append(d.names, string(rune('a'+i)))
	}
	hosts := slices.Clone(d.names)
	if d.spare {
		hosts = append(hosts, "f")
	}
	for _, n := range hosts {
		d.sites = append(d.sites, &daySite{day: d, name: n, folder: filepath.Join(d.t.TempDir(), n)})
	}
	if d.random.Intn(4) == 0 {
		d.sites[d.random.Intn(len(d.sites))].fill(d.upTo(2 * time.Second)) // its first start fails
	}
	for _, s := range d.sites {
		s.start()
	}
}

// end closes the folders of all sites.
func (d *day) end() {
	for _, s := range d.sites {
		if s.replica != nil {
			_ = s.replica.log.Close()
		}
	}
}

// checkVote checks that a replica grants one vote in a term, also if its disk was full between two requests.
func (d *day) checkVote(m agreement.Message) {
	if m.Kind != agreement.VoteAnswer || m.Reject {
		return
	}
	key := fmt.Sprint(m.From, " in term ", m.Term)
	if to := d.votes[key]; to != "" && to != m.To {
		d.fail("%s votes for %s and for %s", key, to, m.To)
	}
	d.votes[key] = m.To
}

// checkLeader checks that a term has one leader.
func (d *day) checkLeader(st agreement.Status) {
	if st.Role != agreement.Leader {
		return
	}
	if l := d.leaders[st.Term]; l != "" && l != st.ID {
		d.fail("term %d has two leaders, %s and %s", st.Term, l, st.ID)
	}
	d.leaders[st.Term] = st.ID
}

func (d *day) leader() *daySite {
	var found *daySite
	for _, s := range d.sites {
		if s.replica == nil || s.cause != nil {
			continue
		}
		st := s.replica.Status()
		if st.Role == agreement.Leader && (found == nil || st.Term > found.replica.Status().Term) {
			found = s
		}
	}
	return found
}

// step advances the day by dayStep.
func (d *day) step() {
	d.now = d.now.Add(dayStep)
	var later []flight
	due := d.flights
	d.flights = nil
	for _, f := range due {
		if f.at.After(d.now) {
			later = append(later, f)
			continue
		}
		for _, s := range d.sites {
			if s.replica != nil && (f.m.To == s.id || f.m.To == s.name) {
				s.replica.Step(f.m)
			}
		}
	}
	d.flights = append(later, d.flights...)
	for _, s := range d.sites {
		s.run()
	}
	if d.now.Sub(d.origin)%(100*time.Millisecond) == 0 {
		d.planChange()
	}
	if d.now.Sub(d.origin)%changePeriod == 0 && d.now.Sub(d.origin) > 3*time.Second {
		d.changes = append(d.changes, &dayChange{id: fmt.Sprint("c", len(d.changes)), proposed: d.now, target: d.random.Intn(len(d.sites))})
	}
	for _, c := range d.changes {
		if !c.acked {
			d.send(c)
		}
	}
}

// send reads the answer to a change and sends it again, to another replica, after a failure or without an answer.
func (d *day) send(c *dayChange) {
	if c.answer != nil {
		select {
		case a := <-c.answer:
			if a.err == nil {
				c.acked = true
				return
			}
			var e *agreement.NotLeaderError
			if c.target++; errors.As(a.err, &e) && e.Leader != "" {
				c.target = slices.IndexFunc(d.sites, func(s *daySite) bool { return s.id == e.Leader })
			}
			c.answer, c.sent = nil, d.now.Add(50*time.Millisecond-answerLimit)
		default:
		}
	}
	if late := d.now.Sub(c.proposed); late > ackLimit && (d.always || !c.proposed.Before(d.quietAt)) && d.failed == "" {
		d.fail("change %s, proposed at %.3f s, is not acknowledged within %s; last fault ended at %.3f s; %s", c.id,
			c.proposed.Sub(d.origin).Seconds(), ackLimit, d.quietAt.Sub(d.origin).Seconds(), d.describe())
	}
	if d.now.Sub(c.sent) < answerLimit {
		return
	}
	if c.answer != nil {
		c.target++
	}
	s := d.sites[max(c.target, 0)%len(d.sites)]
	if s.replica == nil {
		c.target++
		return
	}
	c.sent, c.answer = d.now, make(chan reply, 1)
	s.submit(c.id, c.answer)
}

// planChange proposes the planned change of the member set that is due, as package host does.
func (d *day) planChange() {
	l := d.leader()
	if l == nil {
		return
	}
	var announced []string
	for _, s := range d.sites {
		if s.id != "" {
			announced = append(announced, s.id)
		}
	}
	st := l.replica.Status()
	p, ok := agreement.NextChange(d.now, st, agreement.Target{Announced: announced, Voters: dayVoters, CatchUp: dayCatchUp})
	if !ok {
		return
	}
	d.logf("%s plans %+v", l.name, p)
	select {
	case l.replica.inbox <- event{change: p.Apply, answer: make(chan reply, 1)}:
	default:
	}
}

func (d *day) describe() string {
	text := ""
	for _, s := range d.sites {
		if s.replica == nil {
			text += fmt.Sprintf("[%s down] ", s.name)
			continue
		}
		st := s.replica.Status()
		text += fmt.Sprintf("[%s %s term %d commit %d last %d paused %v] ", s.name, st.Role, st.Term, st.Commit, st.Last, s.cause != nil)
	}
	return text
}

func (d *day) runFor(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end) && d.failed == ""; {
		d.step()
	}
}

// settle plays the quiet time after the last fault and then checks that no acknowledged change is lost, that no replica is paused and
// that the group bears the losses that it must bear.
func (d *day) settle() {
	d.runFor(d.quietAt.Sub(d.now))
	d.runFor(quietTime)
	for _, c := range d.changes {
		if c.acked && !slices.Contains(d.agreed, c.id) {
			d.fail("change %s was acknowledged and is lost", c.id)
		}
	}
	for _, s := range d.sites {
		if s.cause != nil {
			d.fail("%s is still paused: %v", s.name, s.cause)
		}
	}
	l := d.leader()
	if l == nil {
		d.fail("no leader; %s", d.describe())
		return
	}
	st := l.replica.Status()
	if h := st.Health(d.now, dayElection); h.Losses != dayVoters/2 || st.Members.Joint() {
		d.fail("the group bears %d losses, want %d; members %+v", h.Losses, dayVoters/2, st.Members)
	}
}
