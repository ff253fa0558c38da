package replica

import (
	"errors"
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"godwitspindle/io/disk"
)

// Flags of the search, for instance go test ./io/replica -run TestFullDisksInTurn -fulldisks.seeds 500 -fulldisks.all -timeout 1h.
var (
	fullDisksSeeds = flag.Int("fulldisks.seeds", 12, "number of seeds")
	fullDisksFirst = flag.Int64("fulldisks.first", 1, "first seed")
	fullDisksAll   = flag.Bool("fulldisks.all", false, "go on after a seed that fails")
)

// drawRefused draws what a full disk refuses besides writes.
func (d *day) drawRefused() []disk.Operation {
	return [][]disk.Operation{nil, nil, {disk.Create}, {disk.Create, disk.Rename, disk.Remove, disk.Truncate}, {syncs}, {half}, {segments}}[d.random.Intn(7)]
}

// pick returns the leader's site in most cases, or a random one.
func (d *day) pick() *daySite {
	if l := d.leader(); l != nil && d.random.Intn(4) > 0 {
		return l
	}
	return d.sites[d.random.Intn(len(d.sites))]
}

func (d *day) upTo(l time.Duration) time.Duration {
	return time.Duration(1+d.random.Int63n(int64(l/dayStep))) * dayStep
}

// fillInTurn lets the disk of every site be full once, one after the other.
func (d *day) fillInTurn() {
	longest := []time.Duration{300 * time.Millisecond, 3 * time.Second, 15 * time.Second}[d.random.Intn(3)]
	gap := []time.Duration{dayStep, 500 * time.Millisecond, 4 * time.Second}[d.random.Intn(3)]
	d.always = d.random.Intn(2) == 0
	filled := map[*daySite]bool{}
	for len(filled) < len(d.sites) && d.failed == "" {
		s := d.pick()
		for filled[s] {
			s = d.sites[d.random.Intn(len(d.sites))]
		}
		filled[s] = true
		length := 100*time.Millisecond + d.upTo(longest)
		s.fill(length, d.drawRefused()...)
		if !d.always && d.random.Intn(4) == 0 {
			d.runFor(d.upTo(length))
			s.kill(d.upTo(2 * time.Second))
		}
		d.runFor(s.fullTill.Sub(d.now) + gap)
	}
}

// fillAtRandom lets disks be full at the same time, also all of them.
func (d *day) fillAtRandom() {
	for range 4 + d.random.Intn(10) {
		s := d.pick()
		s.fill(100*time.Millisecond+d.upTo(5*time.Second), d.drawRefused()...)
		if d.random.Intn(5) == 0 {
			d.sites[d.random.Intn(len(d.sites))].kill(d.upTo(3 * time.Second))
		}
		if d.random.Intn(5) == 0 {
			d.flood()
		}
		d.runFor(d.upTo(2 * time.Second))
	}
}

// flood makes the log longer than what a snapshot leaves in it, so that a site that was down needs a snapshot.
func (d *day) flood() {
	for range 3 {
		l := d.leader()
		if l == nil {
			return
		}
		for range 500 {
			l.submit("", make(chan reply, 1))
		}
		d.runFor(50 * time.Millisecond)
	}
}

// playDay plays a seed and returns the failed check, empty for none, and what happened.
func playDay(t testing.TB, seed int64) (failed string, trace []string) {
	d := newDay(t, seed)
	d.begin()
	defer d.end()
	d.runFor(5 * time.Second)
	if d.random.Intn(2) == 0 {
		d.fillInTurn()
	} else {
		d.fillAtRandom()
	}
	d.settle()
	return d.failed, d.trace
}

// Guards against a group that refuses changes, or leaves them unanswered, after the disks of its replicas were full one after the other
// or together, and all have room again; against a lost or doubled change, and against a replica that ends or stays paused.
func TestFullDisksInTurn(t *testing.T) {
	for seed := *fullDisksFirst; seed < *fullDisksFirst+int64(*fullDisksSeeds); seed++ {
		failed, trace := playDay(t, seed)
		if failed == "" {
			continue
		}
		if *fullDisksAll {
			t.Errorf("seed %d: %s", seed, failed)
			continue
		}
		t.Fatalf("seed %d: %s\n%s", seed, failed, strings.Join(trace, "\n"))
	}
}

// Guards against a group that accepts no change while its disks have room for the log but not for a snapshot: each replica paused for
// the snapshot, resumed, and paused for the same snapshot again.
func TestNoRoomForSnapshot(t *testing.T) {
	d := newDay(t, 1)
	d.compactEntries, d.padding, d.capacity, d.always = 8, smallDisk, smallDisk, true
	d.begin()
	defer d.end()
	d.runFor(20 * time.Second)
	for _, s := range d.sites {
		if s.pauses > 0 || s.replica.snapshot.Index > 1 {
			t.Errorf("%s: got %d pauses and a snapshot at %d, want none of both", s.name, s.pauses, s.replica.snapshot.Index)
		}
	}
	d.capacity = 0
	d.runFor(compactRetry + time.Second)
	for _, s := range d.sites {
		if s.replica.snapshot.Index <= 1 {
			t.Errorf("%s: got no snapshot within %s of room for it", s.name, compactRetry)
		}
	}
	if d.failed != "" {
		t.Errorf("%s\n%s", d.failed, strings.Join(d.trace, "\n"))
	}
}

// await plays the day until a condition holds; it fails the day after the limit.
func (d *day) await(what string, limit time.Duration, ok func() bool) {
	for end := d.now.Add(limit); !ok() && d.failed == ""; d.step() {
		if d.now.After(end) {
			d.fail("%s: not within %s; %s", what, limit, d.describe())
		}
	}
}

// answerTo plays the day until a request is answered.
func (d *day) answerTo(what string, answer chan reply) reply {
	d.await(what, time.Second, func() bool { return len(answer) > 0 })
	if len(answer) == 0 {
		return reply{}
	}
	return <-answer
}

// Guards against a change that hangs, or is reported as rejected although it may be accepted, when the leader's disk fills; against a
// request that hangs while the replica is paused; and against a change that is accepted twice when it is sent again.
func TestRequestsOnFullDisk(t *testing.T) {
	d := newDay(t, 1)
	d.compactEntries, d.padding, d.capacity, d.spare, d.loss = 1000, 0, 0, false, 0
	d.begin()
	defer d.end()
	d.runFor(2 * time.Second)
	full := d.leader()
	full.fill(3 * time.Second)
	inFlight, read := make(chan reply, 1), make(chan reply, 1)
	full.submit("first", inFlight)
	full.replica.inbox <- event{read: true, answer: read}
	if got := d.answerTo("the change in flight", inFlight).err; !errors.As(got, new(*UnknownOutcomeError)) {
		t.Errorf("change in flight: got %v, want *UnknownOutcomeError", got)
	}
	if got := d.answerTo("the read in flight", read).err; !errors.As(got, new(*BusyError)) {
		t.Errorf("read in flight: got %v, want *BusyError", got)
	}
	paused := make(chan reply, 1)
	full.submit("second", paused)
	if got := d.answerTo("a change to a paused replica", paused).err; !errors.As(got, new(*BusyError)) {
		t.Errorf("change to a paused replica: got %v, want *BusyError", got)
	}
	d.await("another leader", 3*time.Second, func() bool { l := d.leader(); return l != nil && l != full })
	for range 2 {
		again := make(chan reply, 1)
		d.leader().submit("first", again)
		if got := d.answerTo("the change sent again", again).err; got != nil {
			t.Errorf("change sent again: got %v, want it accepted", got)
		}
	}
	d.runFor(4 * time.Second)
	for _, s := range d.sites {
		if s.cause != nil || s.count("first") != 1 || s.count("second") != 0 {
			t.Errorf("%s: got paused %v, the change %d times and the rejected one %d times, want running, 1 and 0", s.name, s.cause, s.count("first"), s.count("second"))
		}
	}
	if d.failed != "" {
		t.Errorf("%s\n%s", d.failed, strings.Join(d.trace, "\n"))
	}
}

// Guards against a replica that stays behind, or ends, when its disk is full while a snapshot is installed, on several tries.
func TestFullDiskDuringInstall(t *testing.T) {
	d := newDay(t, 1)
	d.compactEntries, d.padding, d.capacity, d.spare, d.loss = 30, 0, 0, false, 0
	d.begin()
	defer d.end()
	d.runFor(2 * time.Second)
	behind := d.sites[0]
	if behind == d.leader() {
		behind = d.sites[1]
	}
	behind.kill(1900 * time.Millisecond)
	d.flood()
	d.runFor(1700 * time.Millisecond)
	d.always = true
	behind.fill(600 * time.Millisecond)
	d.runFor(900 * time.Millisecond)
	behind.fill(600*time.Millisecond, segments) // the snapshot is saved, the segment that follows it is not
	d.runFor(3 * time.Second)
	behind.fill(600 * time.Millisecond) // the folder is opened once more
	d.runFor(900 * time.Millisecond)
	d.settle()
	if !slices.ContainsFunc(d.trace, func(l string) bool {
		return strings.Contains(l, behind.name+" pauses") && strings.Contains(l, "/snap-")
	}) {
		t.Errorf("got no pause of %s while it installs a snapshot:\n%s", behind.name, strings.Join(d.trace, "\n"))
	}
	if got, want := len(behind.ids), len(d.agreed); got != want {
		t.Errorf("%s: got %d changes, want %d", behind.name, got, want)
	}
	if d.failed != "" {
		t.Errorf("%s\n%s", d.failed, strings.Join(d.trace, "\n"))
	}
}

// Guards against a group without a leader while the disk of one replica takes terms and votes but no new segment: it paused, resumed,
// campaigned before all others, won, and paused again.
func TestFaultyDiskWinsNoElections(t *testing.T) {
	d := newDay(t, 1)
	d.compactEntries, d.padding, d.capacity, d.segment, d.spare, d.loss, d.always = 1000, 0, 0, 300, false, 0, true
	d.begin()
	defer d.end()
	d.runFor(5 * time.Second)
	faulty := d.leader()
	faulty.fill(20*time.Second, segments)
	d.runFor(20 * time.Second)
	won := 0
	for _, l := range d.leaders {
		if l == faulty.id {
			won++
		}
	}
	if d.failed != "" || faulty.pauses < 3 || len(d.leaders) > 4 {
		t.Errorf("got %d pauses, %d terms with a leader, %d of them led by the faulty replica, want at least 3 pauses and at most 4 terms; %s",
			faulty.pauses, len(d.leaders), won, d.failed)
	}
}
