// Package host assembles one process from its settings and connects the decisions of core to the adapters of io.
//
// Host holds the parts: the holder of the version in force with its follower and feed; the path of a call (caller, hop and
// backend, with admission control and quarantine for each local endpoint); and the listeners. On a replica, control adds the
// replicated store and the duties of the leader: it commits membership commands, expires leases and measures convergence.
package host
