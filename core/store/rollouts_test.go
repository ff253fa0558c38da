package store

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/config"
	"godwitspindle/core/wire"
)

func orderCommand(service, release string, duration int64) *wire.Command {
	return &wire.Command{Time: start, Body: &wire.Command_Order{Order: &wire.RolloutOrder{Service: service, Release: release, Duration: duration}}}
}

func advanceCommand(r *wire.Rollout, share uint32, state wire.RolloutState) *wire.Command {
	return &wire.Command{Time: start + 1000, Body: &wire.Command_Advance{Advance: &wire.RolloutAdvance{
		Service: r.GetService(), Order: r.GetOrder(), Step: r.GetStep(), Share: share, State: state,
	}}}
}

func describeRollout(r *wire.Rollout) string {
	if r == nil {
		return "none"
	}
	return fmt.Sprintf("%s to %s step %d share %d %s", r.GetService(), r.GetRelease(), r.GetStep(), r.GetShare(), r.GetState())
}

const (
	running   = wire.RolloutState_ROLLOUT_STATE_RUNNING
	completed = wire.RolloutState_ROLLOUT_STATE_COMPLETED
)

// TestOrderRollout covers orders that are malformed, repeated, at once with another one, or late, and their answers after a restore.
func TestOrderRollout(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("a", "b"))))
	steps := []struct {
		name    string
		command *wire.Command
		want    string
	}{
		{"unknown service", orderCommand("c", "v2", 1000), "invalid service"},
		{"malformed", orderCommand("a", "", 0), "invalid release duration"},
		{"first", orderCommand("a", "v2", 12_000), "a to v2 step 0 share 200 ROLLOUT_STATE_RUNNING"},
		{"repeated", orderCommand("a", "v2", 12_000), "a to v2 step 0 share 200 ROLLOUT_STATE_RUNNING"},
		{"at once with another", orderCommand("a", "v3", 12_000), "running service"},
		{"other service", orderCommand("b", "v3", 12_000), "b to v3 step 0 share 200 ROLLOUT_STATE_RUNNING"},
	}
	for i, c := range steps {
		r := restoredCopy(t, s).Apply(uint64(i+2), c.command)
		if other := s.Apply(uint64(i+2), c.command); !proto.Equal(r, other) {
			t.Errorf("%s: got %v, after a restore %v", c.name, other, r)
		}
		got := describe(r)
		if o := r.GetRollout(); o != nil {
			got = describeRollout(o)
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	if got, want := s.Rollout("a").GetOrder(), uint64(4); got != want {
		t.Errorf("got the rollout ordered at index %d after a repetition, want %d", got, want)
	}
}

// TestAdvanceRollout covers the step reached and its counts, which survive a restore, and steps of a deposed leader, which do nothing.
func TestAdvanceRollout(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("a"))))
	first := s.Apply(2, orderCommand("a", "v2", 12_000)).GetRollout()
	s.Apply(3, advanceCommand(first, 1000, running))
	reached := s.Rollout("a")
	if got, want := describeRollout(reached), "a to v2 step 1 share 1000 ROLLOUT_STATE_RUNNING"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	s = restoredCopy(t, s)
	version := s.Snapshot().Version()
	s.Apply(4, advanceCommand(first, 10_000, completed))
	if got := s.Rollout("a"); !proto.Equal(got, reached) || s.Snapshot().Version() != version {
		t.Errorf("got %v at version %d after a deposed leader's step, want %v at %d", got, s.Snapshot().Version(), reached, version)
	}
	s.Apply(5, advanceCommand(&wire.Rollout{Service: "b"}, 10_000, completed))
	s.Apply(6, advanceCommand(reached, 10_000, completed))
	table, err := config.NewTable(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	service, _ := table.Service("a")
	if got, want := describeRollout(service.Rollout), "a to v2 step 2 share 10000 ROLLOUT_STATE_COMPLETED"; got != want {
		t.Errorf("got %q in the table, want %q", got, want)
	}
}

// TestServiceRemoved covers a service that leaves the configuration in a rollout and returns: the unjudged release gets no requests.
func TestServiceRemoved(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("a", "b"))))
	s.Apply(2, orderCommand("a", "v2", 12_000))
	s.Apply(3, changeCommand(change("2", 2, register("b"))))
	if _, err := config.NewTable(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	s = restoredCopy(t, s)
	s.Apply(4, changeCommand(change("3", 3, register("a", "b"))))
	want := "a to v2 step 1 share 0 ROLLOUT_STATE_ROLLED_BACK"
	if got := describeRollout(s.Rollout("a")); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	table, err := config.NewTable(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if service, _ := table.Service("a"); describeRollout(service.Rollout) != want {
		t.Errorf("got %q in the table, want %q", describeRollout(service.Rollout), want)
	}
}

// TestChangesDuringRollout covers a storm of configurations: it does not disturb a rollout, and steps do not refuse changes.
func TestChangesDuringRollout(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("a", "b"))))
	s.Apply(2, orderCommand("a", "v2", 12_000))
	index := uint64(3)
	for i := range 50 {
		base := s.Snapshot().Version()
		s.Apply(index, advanceCommand(s.Rollout("a"), uint32(i), running))
		r := s.Apply(index+1, changeCommand(change(fmt.Sprint("rules", i), base, rules("x", "b", int64(i+1)))))
		if r.GetAccepted() == nil {
			t.Fatalf("got %q for change %d, want it accepted", describe(r), i)
		}
		index += 2
	}
	if got, want := describeRollout(s.Rollout("a")), "a to v2 step 50 share 49 ROLLOUT_STATE_RUNNING"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestRolloutBound covers services that come and go, each with a rollout: the state stays bounded and a running rollout is kept.
func TestRolloutBound(t *testing.T) {
	s := New()
	s.Apply(1, changeCommand(change("1", 0, register("kept"))))
	s.Apply(2, orderCommand("kept", "v2", 12_000))
	for i := range MaxRollouts + 10 {
		r := &wire.Rollout{Service: fmt.Sprint("gone", i), Order: uint64(i + 1), State: completed}
		var dirty []string
		dirty = append(dirty, s.dropRollouts(r.GetService())...)
		s.setRollout(r, &dirty)
	}
	if got := len(s.rollouts); got > MaxRollouts {
		t.Errorf("got %d rollouts, want %d at most", got, MaxRollouts)
	}
	if s.Rollout("kept") == nil || s.Rollout("gone0") != nil {
		t.Errorf("got the running rollout %v and the oldest ended one %v, want only the first kept", s.Rollout("kept"), s.Rollout("gone0"))
	}
}
