// Package peer implements the protocol between nodes over connect-go on HTTP/2: agreement messages, configuration sync,
// floor reads, proposals, announcements, status and changes of the member set.
//
// Holder stores the configuration version in force, Follower updates it from the upstreams by long polls, and Feed serves it
// to other nodes. The floor is the lowest version that a node may serve, so that it never goes back to an older one.
package peer
