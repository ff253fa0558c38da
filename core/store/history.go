package store

import (
	"strings"

	"google.golang.org/protobuf/proto"
)

// appendHistory appends a change and enforces the limits on the number of changes and the bytes of their contents.
func (s *Store) appendHistory(r *record) {
	s.history = append(s.history, r)
	if excess := len(s.history) - MaxHistory; excess > 0 {
		s.evictedVersion = s.history[excess-1].accepted.GetVersion()
		s.history = append([]*record(nil), s.history[excess:]...)
	}
	switch b := r.content; {
	case r.accepted.GetPart() == "content":
		for _, p := range b.parts() {
			s.contentBytes += proto.Size(p)
		}
	case r.accepted.GetPart() == partNameCustomers && b.customers != nil:
		s.contentBytes += proto.Size(b.customers)
	case strings.HasPrefix(r.accepted.GetPart(), "register"):
		s.contentBytes += proto.Size(b.register)
	case strings.HasPrefix(r.accepted.GetPart(), "rules/"):
		for _, p := range b.sets {
			if "rules/"+p.GetSet() == r.accepted.GetPart() {
				s.contentBytes += proto.Size(p)
			}
		}
	}
	// contentBytes is never below the exact size, so replicas whose estimates differ still evict the same contents.
	if s.contentBytes > MaxContentBytes {
		s.trimContents()
	}
}

// trimContents evicts the oldest contents until the rest fits MaxContentBytes; the newest content always stays.
func (s *Store) trimContents() {
	seen := make(map[proto.Message]bool)
	size := 0
	for i := len(s.history) - 1; i >= 0 && s.history[i].content != nil; i-- {
		s.contentBytes = size
		for _, m := range s.history[i].content.parts() {
			if !seen[m] {
				seen[m] = true
				size += proto.Size(m)
			}
		}
		if size > MaxContentBytes && i < len(s.history)-1 {
			s.dropContents(i)
			return
		}
		s.contentBytes = size
	}
}

// dropContents evicts the contents of the changes up to and including the index last.
func (s *Store) dropContents(last int) {
	for _, r := range s.history[:last+1] {
		r.content = nil
	}
}

// expireIDs removes the ids older than IDRetention and the oldest ones above MaxIDs; the newest MinIDs stay.
func (s *Store) expireIDs() {
	cut := 0
	before := s.time - IDRetention.Milliseconds()
	for len(s.idOrder)-cut > MinIDs && (s.idOrder[cut].accepted.GetTime() < before || len(s.idOrder)-cut > MaxIDs) {
		delete(s.ids, s.idOrder[cut].id)
		cut++
	}
	s.idOrder = s.idOrder[cut:]
}
