// Package agreement is the replicated log's consensus protocol as a pure state machine: time, random numbers and
// messages come in as values, and what to persist, send and apply goes out as Effects.
//
// The protocol follows Raft (Ongaro, "Consensus: Bridging Theory and Practice"): terms, pre-vote, check-quorum, read
// index, learners and single-step membership changes.
//
// # Founding
//
// Members are identities, NAME/INCARNATION, and the incarnation lives on the replica's disk. The first member set binds
// each name of the settings to one incarnation:
//
//   - An empty replica does not vote. It waits until it is founded, or until a leader sends it entries or a snapshot.
//   - The replica with the smallest initial name is the founder. It asks every other initial name for a promise.
//   - An empty replica makes its promise durable (as its vote in term 0) and then answers with its identity. It may
//     promise again to a later incarnation of the founder, and then no longer follows the earlier one. A replica that
//     is not empty refuses.
//   - With promises from all names, the founder fixes the member set as the snapshot at index 1, term 1. Another
//     replica adopts that set only from the founder that holds its promise, and only if its own identity is in it.
//
// A replica that lost its disk has a new identity, so it is in no member set, does not vote, and can return only as a
// learner. A lost founder cannot found a second time while any initial member still has its disk, because that
// member refuses. With two of three disks lost, the remaining replica has no majority and the group stays out of
// service. Only the loss of every disk at once looks like a new group; the floors of the nodes then expose it. A group
// with a single initial name has no other member that could refuse.
package agreement
