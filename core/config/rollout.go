package config

import "godwitspindle/core/wire"

// Rollouts returns the newest rollout of each service that had one, by service; callers must not modify the messages.
func (s *Snapshot) Rollouts() map[string]*wire.Rollout {
	m := make(map[string]*wire.Rollout)
	for _, r := range s.ofKind(kindRollout) {
		if o, ok := r.message.(*wire.Rollout); ok {
			m[o.GetService()] = o
		}
	}
	return m
}

// addRollouts adds the rollouts to their services. One of a service that has left the configuration is kept in the snapshot, but
// concerns no request.
func (b *builder) addRollouts() {
	for _, r := range b.rollouts {
		if s := b.services[r.GetService()]; s != nil {
			s.Rollout = r
		}
	}
}

// Running returns the services whose requests are shared between two releases.
func (t *RoutingTable) Running() []*Service {
	var list []*Service
	for _, s := range t.sortedServices {
		if s.Rollout.GetState() == wire.RolloutState_ROLLOUT_STATE_RUNNING {
			list = append(list, s)
		}
	}
	return list
}
