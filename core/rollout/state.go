package rollout

import (
	"fmt"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

// Whole is a share of all requests; shares are in parts of 10,000.
const Whole = 10_000

// Limits of an order.
const (
	MaxRelease  = 128 // bytes of the name of a release
	MaxDuration = 24 * time.Hour
)

// RepeatTime is the state time after an order's acceptance for which the same order is a repetition, also if its rollout has
// ended. Operators repeat an order for up to 4 s, and the first one may have waited for a leader before its acceptance.
const RepeatTime = 10 * time.Second

// Running reports whether the rollout shares requests between the releases.
func Running(r *wire.Rollout) bool { return r.GetState() == wire.RolloutState_ROLLOUT_STATE_RUNNING }

// Check returns the faults of an order, without those that depend on the configuration.
func Check(o *wire.RolloutOrder) []*wire.Fault {
	var faults []*wire.Fault
	if r := o.GetRelease(); r == "" || len(r) > MaxRelease || !utf8.ValidString(r) {
		faults = append(faults, &wire.Fault{Field: "release", Expected: fmt.Sprintf("the name of a release, 1 to %d bytes", MaxRelease)})
	}
	if d := o.GetDuration(); d <= 0 || d > MaxDuration.Milliseconds() {
		faults = append(faults, &wire.Fault{Field: "duration", Expected: "a time above 0 and up to " + MaxDuration.String()})
	}
	return faults
}

// Verdict says how an order relates to the newest rollout of its service.
type Verdict uint8

// Verdicts on an order.
const (
	Fresh    Verdict = iota + 1 // it starts a rollout
	Repeated                    // it was accepted before
	Conflict                    // a different rollout of the service runs
)

// Judge returns the verdict on a valid order at a state time; current is nil if the service had no rollout.
func Judge(now time.Time, current *wire.Rollout, o *wire.RolloutOrder) Verdict {
	same := current.GetRelease() == o.GetRelease() && current.GetDuration() == o.GetDuration()
	switch {
	case current == nil:
		return Fresh
	case Running(current) && same:
		return Repeated
	case Running(current):
		return Conflict
	case same && now.Sub(time.UnixMilli(current.GetAccepted())) <= RepeatTime:
		return Repeated
	case current.GetState() == wire.RolloutState_ROLLOUT_STATE_COMPLETED && current.GetRelease() == o.GetRelease():
		return Repeated // all requests go to this release already
	}
	return Fresh
}

// Start returns the state of a rollout that a valid order starts at the given log index and state time.
func Start(index uint64, now time.Time, o *wire.RolloutOrder) *wire.Rollout {
	return &wire.Rollout{
		Service:  o.GetService(),
		Release:  o.GetRelease(),
		Duration: o.GetDuration(),
		Accepted: now.UnixMilli(),
		Order:    index,
		Since:    now.UnixMilli(),
		Share:    firstShare,
		State:    wire.RolloutState_ROLLOUT_STATE_RUNNING,
		Reason:   ReasonOrdered,
	}
}

// Apply returns the state after a step at a state time. It returns false if the step is not the next one of this rollout, for instance
// because the leader that decided it was deposed, or if it is invalid.
func Apply(now time.Time, current *wire.Rollout, a *wire.RolloutAdvance) (*wire.Rollout, bool) {
	if !Running(current) || a.GetOrder() != current.GetOrder() || a.GetStep() != current.GetStep() || a.GetShare() > Whole {
		return current, false
	}
	n := proto.CloneOf(current)
	switch a.GetState() {
	case wire.RolloutState_ROLLOUT_STATE_RUNNING:
		n.Share = a.GetShare()
	case wire.RolloutState_ROLLOUT_STATE_COMPLETED:
		n.Share = Whole
	case wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		n.Share = 0
	default:
		return current, false
	}
	n.State = a.GetState()
	n.Step++
	n.Since = now.UnixMilli()
	n.Sent = max(n.GetSent(), a.GetSent())
	n.Bad = max(n.GetBad(), a.GetBad())
	n.Total = max(n.GetTotal(), a.GetTotal())
	n.Reason = a.GetReason()
	return n, true
}

// Abandon returns the state after the service has left the configuration: a running rollout is rolled back, so that the new release
// gets no unjudged requests if the service returns.
func Abandon(now time.Time, current *wire.Rollout) (*wire.Rollout, bool) {
	return Apply(now, current, &wire.RolloutAdvance{
		Service: current.GetService(), Order: current.GetOrder(), Step: current.GetStep(),
		State: wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK, Reason: ReasonRemoved,
	})
}
