// Package agreement implements the consensus protocol of the replicated log as a pure state machine: it takes time, random
// numbers and messages as values, and returns what to persist, send and apply as Effects.
//
// The protocol follows Raft (Ongaro, "Consensus: Bridging Theory and Practice"): terms, pre-vote, check-quorum, read
// index, learners, single-step membership changes, and joint changes that replace one voter.
//
// # Founding
//
// A member is an identity, NAME/INCARNATION; the incarnation is stored on the replica's disk. The first member set binds
// each name of the settings to one incarnation:
//
//   - An empty replica does not vote. It waits for the founding snapshot, or until a leader sends it entries or a snapshot.
//   - The replica with the smallest initial name is the founder. It asks every other initial name for a promise.
//   - An empty replica makes its promise durable (as its vote in term 0) and then answers with its identity. It may
//     promise again to a later incarnation of the founder, which cancels the earlier promise. A replica that is not
//     empty refuses.
//   - With promises from all names, the founder fixes the member set as the snapshot at index 1, term 1. Another
//     replica adopts that set only from the founder that holds its promise, and only if its own identity is in it.
//
// A replica that lost its disk has a new identity, so it is in no member set, does not vote, and can return only as a
// learner. A founder that lost its disk cannot found a second group while any initial member still has its disk, because
// that member refuses. With two of three disks lost, the remaining replica has no majority and the group stays out of
// service. Only the loss of every disk at once looks like a new group; the nodes' version floors then reveal it. A group
// with a single initial name has no other member that could refuse.
package agreement
