// Package peer speaks the inner protocol between nodes: agreement messages, configuration sync, floor reads,
// proposals and announcements, over connect-go on HTTP/2.
package peer
