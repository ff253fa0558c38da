// Package rollout decides how a service's requests move to endpoints of another release: the share that the new release gets at
// each moment, and whether it is completed or rolled back. It also holds the rules by which the replicas apply orders and steps.
package rollout
