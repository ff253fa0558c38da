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

// addRollouts adds the rollouts to their services. The snapshot also keeps rollouts of services that have left the configuration; these
// have no effect.
func (b *builder) addRollouts() {
	for _, r := range b.rollouts {
		if s := b.services[r.GetService()]; s != nil {
			s.Rollout = r
		}
	}
}

// ServicesInRollout returns the services with a running rollout, sorted by name.
func (t *RoutingTable) ServicesInRollout() []*Service {
	var list []*Service
	for _, s := range t.sortedServices {
		if s.Rollout.GetState() == wire.RolloutState_ROLLOUT_STATE_RUNNING {
			list = append(list, s)
		}
	}
	return list
}
