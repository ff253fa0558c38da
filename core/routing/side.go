package routing

import "godwitspindle/core/config"

// Side limits a call to endpoints of some releases, for the rollout of its service.
type Side uint8

// Sides of a rollout. Endpoints that state no release are old.
const (
	AnyRelease  Side = iota
	OldReleases      // all releases but the one that the service's rollout moves to
	NewRelease       // the release that the service's rollout moves to
)

// sides lists all sides.
var sides = [...]Side{AnyRelease, OldReleases, NewRelease}

// viewKey identifies the view of a service for one side.
type viewKey struct {
	service string
	side    Side
}

// includes reports whether an endpoint of the service belongs to the side.
func (s Side) includes(service *config.Service, e *config.Endpoint) bool {
	return s == AnyRelease || (e.Release == service.Rollout.GetRelease()) == (s == NewRelease)
}
