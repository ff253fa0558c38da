// Package host assembles one process from its settings and joins the decisions of core to the adapters of io.
//
// Host holds the parts: the holder of the version in force with its follower and feed, the path of calls (caller, hop,
// backend, with admission and quarantine for each endpoint beside the node), and the listeners. On a replica, control adds the
// agreed store and the duties of the leader: membership commands, lease expiry and the measurement of convergence.
package host
