// Package replica runs one control replica: it passes messages and proposals to the agreement protocol, saves the protocol's
// effects with one sync for each round of its loop, sends messages and applies committed commands.
//
// Package agreement describes how the initial member set is founded, and why a replica that lost its disk cannot vote under
// its old identity.
package replica
