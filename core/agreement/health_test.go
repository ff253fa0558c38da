package agreement

import (
	"slices"
	"testing"
	"time"
)

// Guards against a voter that the leader has never heard, or not for long, and that on-call staff cannot see.
func TestHealth(t *testing.T) {
	tests := []struct {
		name            string
		members         []string
		unheard         []string
		answering, lose int
		silent          []string
	}{
		{"complete", []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, nil, 5, 2, nil},
		{"one silent", []string{"a/1", "b/1!", "c/1", "d/1", "e/1"}, nil, 4, 1, []string{"b/1"}},
		{"one silent, one unheard", []string{"a/1", "b/1!", "c/1", "d/1", "e/1"}, []string{"c/1"}, 3, 0, []string{"b/1"}},
		{"no majority", []string{"a/1", "b/1!", "c/1!"}, nil, 1, 0, []string{"b/1", "c/1"}},
		{"learners do not count", []string{"a/1", "b/1", "c/1", "d/1+"}, nil, 3, 1, nil},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := planStatus(c.members...)
			for _, id := range c.unheard {
				s.Progress[id] = Progress{}
			}
			h := s.Health(planStart, 2*time.Second)
			if h.Answering != c.answering || h.Losses != c.lose || !slices.Equal(h.Silent, c.silent) || !slices.Equal(h.Unheard, c.unheard) {
				t.Errorf("got %+v, want %d answering, %d losses, silent %v, unheard %v", h, c.answering, c.lose, c.silent, c.unheard)
			}
		})
	}
}
