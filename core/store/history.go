package store

import (
	"strings"

	"google.golang.org/protobuf/proto"
)

// keep appends a change and bounds the number of changes and the bytes of their content.
func (s *Store) keep(r *record) {
	s.history = append(s.history, r)
	if over := len(s.history) - MaxHistory; over > 0 {
		s.forgotten = s.history[over-1].accepted.GetVersion()
		s.history = append([]*record(nil), s.history[over:]...)
	}
	switch b := r.content; {
	case r.accepted.GetPart() == "content":
		for _, p := range b.parts() {
			s.kept += proto.Size(p)
		}
	case strings.HasPrefix(r.accepted.GetPart(), "register"):
		s.kept += proto.Size(b.register)
	case strings.HasPrefix(r.accepted.GetPart(), "rules/"):
		for _, p := range b.sets {
			if "rules/"+p.GetSet() == r.accepted.GetPart() {
				s.kept += proto.Size(p)
			}
		}
	}
	// kept never falls short of the exact size, so replicas whose estimates differ still drop the same contents.
	if s.kept > MaxContent {
		s.trim()
	}
}

// trim drops the oldest contents above the bound; the newest is always kept.
func (s *Store) trim() {
	seen := make(map[proto.Message]bool)
	size := 0
	for i := len(s.history) - 1; i >= 0 && s.history[i].content != nil; i-- {
		s.kept = size
		for _, m := range s.history[i].content.parts() {
			if !seen[m] {
				seen[m] = true
				size += proto.Size(m)
			}
		}
		if size > MaxContent && i < len(s.history)-1 {
			s.drop(i)
			return
		}
		s.kept = size
	}
}

// drop drops the contents of the changes up to a place in the history.
func (s *Store) drop(last int) {
	for _, r := range s.history[:last+1] {
		r.content = nil
	}
}

func (s *Store) expireIDs() {
	cut := 0
	before := s.time - IDRetention.Milliseconds()
	for len(s.order)-cut > MinIDs && (s.order[cut].accepted.GetTime() < before || len(s.order)-cut > MaxIDs) {
		delete(s.ids, s.order[cut].id)
		cut++
	}
	s.order = s.order[cut:]
}
