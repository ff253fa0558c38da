package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"godwitspindle/core/wire"
)

// Reasons for the steps of a rollout, as logged and shown to operators.
const (
	ReasonOrdered    = "ordered"
	ReasonRate       = "share adapted to the rate of requests"
	ReasonStep       = "no fault found so far"
	ReasonCounts     = "bad answers counted"
	ReasonCompleted  = "all requests moved and no fault found"
	ReasonFailing    = "failures"
	ReasonSlow       = "slow answers"
	ReasonStopped    = "nodes that stopped sending to it after failures"
	ReasonRemoved    = "the service has left the configuration"
	ReasonDoubt      = "likely bad at the last step"
	ReasonOver       = "the duration has passed"
	ReasonNoEndpoint = "no endpoint of the new release"
	ReasonCapacity   = "the endpoints of the new release have too few slots for all requests"
	ReasonMissed     = "the endpoints of the new release are not usable"
	ReasonUnheard    = "too few nodes report answers"
)

// Shares while the new release is judged, in parts of 10,000.
const (
	firstShare    = 200  // until the rate of requests is known
	minJudgeShare = 100  // a lower share gives too few answers to judge
	maxJudgeShare = 2500 // a service with few requests also keeps most of them on the old release
)

const (
	// judgePart is the part of the exposure that is used while the new release is judged. The rest is for the ramp.
	judgePart      = 0.25
	judgeStart     = 1500 * time.Millisecond // time after the order from which the rate of requests is known
	judgeInterval  = 2 * time.Second         // minimum time between two changes of the share while the new release is judged
	judgeTolerance = 1.3                     // the share is changed only by more than this factor

	// rampEnd is the part of the duration at which a rollout completes. The rest is for the loss of a leader.
	rampEnd = 0.9
	// movedEnd is the part of the duration up to which a rollout waits for the last answers of the old release, whose endpoints stop at
	// once when it completes. movedTime is the age up to which the report of a node counts for that: others are cut off or gone.
	movedEnd  = 0.96
	movedTime = 1500 * time.Millisecond
	// giveUpPart is the part of the duration at which a rollout whose share must not be raised is rolled back.
	giveUpPart = 0.95

	// minStepTime is the minimum time of a step: a new version reaches the nodes and their first reports return in about 150 ms.
	minStepTime = 200 * time.Millisecond
	// reactionTime is the time from a decision until no node sends to the new release any more.
	reactionTime = 100 * time.Millisecond
	// orderDelay is the time until all nodes know of an order. Until then the new endpoints get requests like all others.
	orderDelay = 50 * time.Millisecond
	// collectTime is the time for which a new leader collects reports before it raises a share: three reports of each node in the ramp,
	// unless there are many nodes.
	collectTime = 600 * time.Millisecond
	// recoveryTime is the time for which a new leader does not roll back a release because its share must not be raised: nodes may not have
	// reported yet.
	recoveryTime = 2 * time.Second
	// countsInterval is the minimum time between two steps that only keep counts in the agreed state.
	countsInterval = time.Second
	countsGrowth   = 5 // bad answers since the last step from which on they are kept by a step

	usableSlots     = 0.7 // part of the new endpoints' slots that all requests may occupy; the rest is for their variation
	comparableSlots = 0.8 // part of the old release's slots that is enough without an estimate
	maxMissedShare  = 0.5 // part of the assigned requests that may lack a usable endpoint when the share is raised
	minHeardShare   = 0.5 // part of the nodes that must have reported within heardTime before the share is raised
	maxStoppedShare = 0.3 // part of the reporting nodes above which the release is bad if they have stopped sending to it
	minStopped      = 2
	heardTime       = 5 * time.Second
)

// rampStep is a step of the ramp: a share and for how long it lasts, as a part of the duration.
type rampStep struct {
	share  uint32
	length float64
}

// ramp lasts 15% of the duration. It takes 0.072 of the requests of the duration, and so stays within the exposure of a tenth together
// with the time before it: a release that turns bad in the last step is rolled back within the bound too.
var ramp = []rampStep{{1000, 0.05}, {3000, 0.033}, {6000, 0.033}, {Whole, 0.0375}}

// maxRampFactor is the maximum factor by which the ramp is longer than in the table. The exposure allows it for services with few requests,
// for which the slack is large; their steps then give more answers to judge.
const maxRampFactor = 4

// inRamp reports whether a share is one of a step of the ramp.
func inRamp(share uint32) bool {
	return slices.ContainsFunc(ramp, func(r rampStep) bool { return r.share == share })
}

// Policy decides the steps of rollouts. It has no state of its own and is safe for concurrent use.
type Policy struct {
	share    float64       // part of all requests that a bad release may get
	slack    float64       // requests that it may get in addition
	rollback time.Duration // time after which the last request must have been sent to a bad release
}

// Option replaces a default of New.
type Option func(*Policy)

// WithExposure sets the part of all requests, and the number of requests in addition, that a bad release may get; the default is 0.1
// and 50.
func WithExposure(share, slack float64) Option {
	return func(p *Policy) { p.share, p.slack = share, slack }
}

// WithRollback sets the time after which no request is sent to a bad release any more; the default is 5 s. A rollout that lost its
// leader may end by as much later than its duration.
func WithRollback(d time.Duration) Option { return func(p *Policy) { p.rollback = d } }

// New returns a Policy.
func New(opts ...Option) *Policy {
	p := &Policy{share: 0.1, slack: 50, rollback: 5 * time.Second}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Rollback returns the time after which no request is sent to a bad release any more.
func (p *Policy) Rollback() time.Duration { return p.rollback }

// Capacity describes the endpoints of a service during a rollout.
type Capacity struct {
	New      int // endpoints of the new release
	NewSlots int
	OldSlots int // slots of all other endpoints
	Nodes    int // nodes of the mesh, all of which report
}

// situation holds the inputs of one decision.
type situation struct {
	now       time.Time
	rollout   *wire.Rollout
	tally     *Tally
	capacity  Capacity
	duration  time.Duration
	elapsed   time.Duration
	sinceStep time.Duration // time since the last step
	old       Counts        // counts of all routes since the order
	fresh     Counts
	rate      float64 // requests per second in the last seconds
	missed    uint64  // requests in recentPeriod that found no usable endpoint of the new release
	latest    uint64  // answers of the new release in the same time
	fault     string  // why the release is bad; empty if it is not
	doubt     string  // why it may be bad, so that the share is not raised; empty if nothing suggests it
}

// Decide returns the next step of a rollout, or nil if it stays as it is.
func (p *Policy) Decide(now time.Time, r *wire.Rollout, t *Tally, c Capacity) *wire.RolloutAdvance {
	if !Running(r) {
		return nil
	}
	s := newSituation(now, r, t, c)
	hold := s.hold()
	if reason := p.rollbackReason(s, hold); reason != "" {
		return s.advance(wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 0, reason)
	}
	if hold == "" {
		if a := p.raise(s); a != nil {
			return a
		}
	}
	if a := p.adapt(s); a != nil {
		return a
	}
	if s.fresh.Failures >= r.GetBad()+countsGrowth && s.sinceStep >= countsInterval {
		return s.advance(wire.RolloutState_ROLLOUT_STATE_RUNNING, r.GetShare(), ReasonCounts)
	}
	return nil
}

// rollbackReason returns why the rollout must be rolled back now, or an empty text; hold is why the share must not be raised.
func (p *Policy) rollbackReason(s *situation, hold string) string {
	if s.fault != "" {
		return s.fault
	}
	over := s.elapsed >= s.duration+p.rollback
	// With all requests moved, waiting for more evidence would cost too much exposure.
	failed := s.doubt != "" && s.rollout.GetShare() == Whole && s.elapsed >= part(s.duration, rampEnd)
	recovered := s.now.Sub(s.tally.began) >= recoveryTime
	if !over && !failed && (hold == "" || !recovered || s.elapsed < part(s.duration, giveUpPart)) {
		return ""
	}
	reason := ReasonOver
	if failed {
		reason = ReasonDoubt
	}
	if hold != "" {
		reason += ": " + hold
	}
	return reason
}

func newSituation(now time.Time, r *wire.Rollout, t *Tally, c Capacity) *situation {
	s := &situation{
		now: now, rollout: r, tally: t, capacity: c,
		duration:  time.Duration(r.GetDuration()) * time.Millisecond,
		elapsed:   max(now.Sub(time.UnixMilli(r.GetAccepted())), 0),
		sinceStep: max(now.Sub(time.UnixMilli(r.GetSince())), 0),
	}
	latest, missed := t.recentCounts(now, recentPeriod)
	s.old, s.fresh = sides(t.total)
	old, fresh := sides(latest)
	s.missed, s.latest = missed, fresh.Sum()
	counted := min(recentPeriod, max(now.Sub(t.began), binLength))
	s.rate = float64(old.Sum()+fresh.Sum()) / counted.Seconds()
	if now.Sub(t.began) < recentPeriod && s.elapsed > 0 { // the first reports to a new leader do not count as recent
		s.rate = max(s.rate, float64(s.total())/s.elapsed.Seconds())
	}
	kept := Counts{Failures: r.GetBad(), Answers: grown(r.GetSent(), r.GetBad())}
	s.fault = t.evidence(now, kept, rollbackThreshold)
	s.doubt = s.fault
	if s.doubt == "" {
		s.doubt = t.evidence(now, kept, holdThreshold)
	}
	if n := t.stoppedNodes(); s.fault == "" && n >= minStopped && float64(n) > maxStoppedShare*float64(len(t.nodes)) {
		s.fault = fmt.Sprintf("%s: %d of %d nodes", ReasonStopped, n, len(t.nodes))
	}
	return s
}

// advance returns a step with the counts up to now.
func (s *situation) advance(state wire.RolloutState, share uint32, reason string) *wire.RolloutAdvance {
	return &wire.RolloutAdvance{
		Service: s.rollout.GetService(),
		Order:   s.rollout.GetOrder(),
		Step:    s.rollout.GetStep(),
		Share:   share,
		State:   state,
		Sent:    s.sent(),
		Bad:     max(s.fresh.Failures, s.rollout.GetBad()),
		Total:   s.total(),
		Reason:  reason,
	}
}

// sent and total return the requests to the new release and to all endpoints so far. Counts of nodes that have ended are lost to a new
// leader, so the kept ones are a lower bound.
func (s *situation) sent() uint64 { return max(s.fresh.Sum(), s.rollout.GetSent()) }

func (s *situation) total() uint64 { return max(s.old.Sum()+s.fresh.Sum(), s.rollout.GetTotal()) }

// hold returns why the share must not be raised, or an empty text.
func (s *situation) hold() string {
	switch {
	case s.doubt != "":
		return s.doubt
	case s.capacity.New == 0:
		return ReasonNoEndpoint
	case !s.enoughSlots():
		return ReasonCapacity
	case s.missed > 0 && float64(s.missed) > maxMissedShare*float64(s.missed+s.latest):
		return ReasonMissed
	case float64(s.tally.heard(s.now, heardTime)) < minHeardShare*float64(s.capacity.Nodes):
		return ReasonUnheard
	}
	return ""
}

// enoughSlots reports whether the new endpoints can take all requests: they have about as many slots as the old ones, or enough for
// the requests that run at once, by the times of the old release's answers (Little's law).
func (s *situation) enoughSlots() bool {
	slots := float64(s.capacity.NewSlots)
	if slots >= comparableSlots*float64(s.capacity.OldSlots) {
		return true
	}
	if s.old.Answers == 0 {
		return false
	}
	return s.rate*s.old.mean().Seconds() <= usableSlots*slots
}

// mean returns an upper estimate of the mean time of the answers.
func (c *Counts) mean() time.Duration {
	var sum float64
	for i, n := range c.Times {
		sum += float64(n) * math.Exp2(float64(i)/doubling)
	}
	return time.Duration(sum / float64(max(c.Answers, 1)) * float64(time.Millisecond))
}

// raise returns the next step of the ramp if it is due.
func (p *Policy) raise(s *situation) *wire.RolloutAdvance {
	if s.sinceStep < minStepTime || s.now.Sub(s.tally.began) < collectTime {
		return nil
	}
	next := 0
	for next < len(ramp) && ramp[next].share <= s.rollout.GetShare() {
		next++
	}
	if next == len(ramp) {
		moved := s.tally.moved(s.now, movedTime, s.rollout.GetStep())
		if s.elapsed < part(s.duration, rampEnd) || !moved && s.elapsed < part(s.duration, movedEnd) {
			return nil
		}
		return s.advance(wire.RolloutState_ROLLOUT_STATE_COMPLETED, Whole, ReasonCompleted)
	}
	if s.elapsed < p.start(s, next) {
		return nil
	}
	return s.advance(wire.RolloutState_ROLLOUT_STATE_RUNNING, ramp[next].share, ReasonStep)
}

// start returns the time after the order at which a step of the ramp begins. The ramp ends at a fixed time and is as long as the exposure
// that is left allows: longer with few requests, shorter when the demand is above its mean.
func (p *Policy) start(s *situation, step int) time.Duration {
	end := part(s.duration, rampEnd)
	var length, whole float64 // seconds, and seconds of all requests
	for _, r := range ramp[step:] {
		length += r.length * s.duration.Seconds()
		whole += r.length * s.duration.Seconds() * float64(r.share) / Whole
	}
	rest := max(s.duration-s.elapsed, 0).Seconds()
	left := p.share*(float64(s.total())+s.rate*rest) + p.slack - float64(s.sent()) - s.rate*(reactionTime+orderDelay).Seconds()
	factor := float64(maxRampFactor)
	if needed := whole * s.rate; needed > 0 {
		factor = min(max(left/needed, 0), maxRampFactor)
	}
	least := time.Duration(len(ramp)-step) * minStepTime
	return end - max(time.Duration(factor*length*float64(time.Second)), least)
}

// adapt returns a step to the share at which judging uses its part of the exposure, once the rate of requests is known. Services with
// few requests get a larger share, so that there are answers to judge.
func (p *Policy) adapt(s *situation) *wire.RolloutAdvance {
	share := s.rollout.GetShare()
	if inRamp(share) || s.elapsed < judgeStart || s.sinceStep < judgeInterval && share != firstShare {
		return nil
	}
	rest := (p.start(s, 0) - s.elapsed).Seconds()
	if rest < judgeInterval.Seconds() || s.rate == 0 || s.now.Sub(s.tally.began) < judgeStart {
		return nil
	}
	left := judgePart*(p.share*s.rate*s.duration.Seconds()+p.slack) - float64(s.sent())
	want := min(max(left/(s.rate*rest)*Whole, minJudgeShare), maxJudgeShare)
	if ratio := want / float64(max(share, 1)); ratio < judgeTolerance && ratio > 1/judgeTolerance {
		return nil
	}
	if inRamp(uint32(want)) {
		want--
	}
	return s.advance(wire.RolloutState_ROLLOUT_STATE_RUNNING, uint32(want), ReasonRate)
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
