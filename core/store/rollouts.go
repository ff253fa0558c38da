package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"godwitspindle/core/config"
	"godwitspindle/core/rollout"
	"godwitspindle/core/wire"
)

// Rollout returns the newest rollout of a service, or nil if it had none; callers must not modify the message.
func (s *Store) Rollout(service string) *wire.Rollout { return s.rollouts[service] }

// RunningRollouts returns the running rollouts, sorted by service; callers must not modify the messages.
func (s *Store) RunningRollouts() []*wire.Rollout {
	var list []*wire.Rollout
	for _, r := range s.rollouts {
		if rollout.Running(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *wire.Rollout) int { return strings.Compare(a.GetService(), b.GetService()) })
	return list
}

// applyOrder starts a rollout. The same order again has the result of the first; another one while a rollout runs is refused with
// RolloutRunning.
func (s *Store) applyOrder(index uint64, o *wire.RolloutOrder, dirty *[]string) *wire.Result {
	faults := rollout.Check(o)
	if !s.content.hasService(o.GetService()) {
		faults = append(faults, &wire.Fault{Field: "service", Expected: "a service of the configuration"})
	}
	if len(faults) > 0 {
		return refusal(Invalid, faults...)
	}
	current := s.rollouts[o.GetService()]
	switch rollout.Judge(s.Time(), current, o) {
	case rollout.Repeated:
		return rolloutResult(current)
	case rollout.Conflict:
		return refusal(RolloutRunning, &wire.Fault{Field: "service", Expected: fmt.Sprintf(
			"a service without a running rollout; one to release %q is running", current.GetRelease())})
	}
	r := rollout.Start(index, s.Time(), o)
	*dirty = append(*dirty, s.dropRollouts(o.GetService())...)
	s.setRollout(r, dirty)
	return rolloutResult(r)
}

// applyAdvance applies a step of a leader; a step that is not the next one does nothing.
func (s *Store) applyAdvance(a *wire.RolloutAdvance, dirty *[]string) *wire.Result {
	current := s.rollouts[a.GetService()]
	if current == nil {
		return nil
	}
	if next, ok := rollout.Apply(s.Time(), current, a); ok {
		s.setRollout(next, dirty)
	}
	return rolloutResult(s.rollouts[a.GetService()])
}

func (s *Store) setRollout(r *wire.Rollout, dirty *[]string) {
	s.rollouts[r.GetService()] = r
	*dirty = append(*dirty, config.KeyOf(r))
}

// abandonRollouts rolls back the running rollouts of services that have left the configuration.
func (s *Store) abandonRollouts() []string {
	var dirty []string
	for _, name := range slices.Sorted(maps.Keys(s.rollouts)) {
		if s.content.hasService(name) {
			continue
		}
		if next, ok := rollout.Abandon(s.Time(), s.rollouts[name]); ok {
			s.setRollout(next, &dirty)
		}
	}
	return dirty
}

// dropRollouts makes room for a rollout of a service: at the limit, it drops the oldest rollout of a service that has left the
// configuration, or else the oldest one that has ended.
func (s *Store) dropRollouts(service string) []string {
	if s.rollouts[service] != nil || len(s.rollouts) < MaxRollouts {
		return nil
	}
	var oldest *wire.Rollout
	var oldestLeft bool
	for _, r := range s.rollouts {
		left := !s.content.hasService(r.GetService())
		if rollout.Running(r) || oldestLeft && !left {
			continue
		}
		if oldest == nil || left && !oldestLeft || r.GetOrder() < oldest.GetOrder() {
			oldest, oldestLeft = r, left
		}
	}
	if oldest == nil {
		return nil // all kept rollouts are running; the state then exceeds the limit
	}
	delete(s.rollouts, oldest.GetService())
	return []string{config.KeyOf(oldest)}
}

func rolloutResult(r *wire.Rollout) *wire.Result {
	return &wire.Result{Body: &wire.Result_Rollout{Rollout: r}}
}
