// Package peer speaks the inner protocol between nodes: agreement messages, configuration sync, floor reads, proposals,
// announcements, status and changes of the member set, over connect-go on HTTP/2.
//
// Holder keeps the version in force, Follower brings it up to date from the upstreams, and Feed passes it on to other nodes.
package peer
