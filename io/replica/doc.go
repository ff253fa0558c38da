// Package replica drives one control replica: it feeds messages and proposals to the agreement protocol, saves its
// effects with one sync for each round of its loop, sends messages and applies committed commands.
//
// The rule by which an initial member set is founded, and why a replica that lost its disk cannot vote under its old
// identity, is described in package agreement.
package replica
