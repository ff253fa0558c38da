package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var planStart = time.Unix(1_700_000_000, 0)

// planStatus returns the status of a/1 as the leader of the given members. Each word is an identity with optional suffixes:
// "+" for a learner, "!" for a silent member, "?" for a lagging one.
func planStatus(words ...string) Status {
	s := Status{ID: "a/1", Role: Leader, Commit: 10, Progress: map[string]Progress{}, Heard: map[string]time.Time{}}
	for _, w := range words {
		id := w
		p := Progress{Match: 10, LastHeard: planStart, CaughtUp: true}
		for len(id) > 0 {
			switch id[len(id)-1] {
			case '+':
				p.Learner = true
			case '!':
				p.LastHeard = planStart.Add(-5 * time.Second)
			case '?':
				p.Match, p.CaughtUp = 3, false
			default:
				goto named
			}
			id = id[:len(id)-1]
		}
	named:
		if p.Learner {
			s.Members = s.Members.With(id, true)
		} else {
			s.Members = s.Members.With(id, false)
		}
		if id != s.ID {
			s.Progress[id], s.Heard[id] = p, p.LastHeard
		}
	}
	return s
}

// Guards against a group that stays too small after a host was replaced or lost its disk, against a group that shrinks because
// voters are silent, and against promotion of a learner that has not caught up.
func TestPlan(t *testing.T) {
	tests := []struct {
		name      string
		members   []string
		announced []string // besides the voters
		left      []string // voters that are not announced
		want      PlannedChange
	}{
		{"complete", []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, nil, nil, PlannedChange{}},
		{"new replica joins", []string{"a/1", "b/1", "c/1"}, []string{"d/1"}, nil, PlannedChange{Add: "d/1"}},
		{"lost disk: new identity joins", []string{"a/1", "b/1", "c/1"}, []string{"b/2"}, []string{"b/1"}, PlannedChange{Add: "b/2"}},
		{
			"lost disk: new identity replaces the old one",
			[]string{"a/1", "b/1", "b/2+", "c/1", "d/1", "e/1"},
			[]string{"b/2"},
			[]string{"b/1"},
			PlannedChange{Promote: "b/2", Remove: "b/1"},
		},
		{"caught-up learner becomes a voter", []string{"a/1", "b/1", "c/1", "d/1+"}, nil, nil, PlannedChange{Promote: "d/1"}},
		{"lagging learner does not", []string{"a/1", "b/1", "c/1", "d/1+?"}, nil, nil, PlannedChange{}},
		{"silent learner does not", []string{"a/1", "b/1", "c/1", "d/1+!"}, nil, nil, PlannedChange{}},
		{"silent voters stay", []string{"a/1", "b/1!", "c/1!", "d/1", "e/1"}, nil, nil, PlannedChange{}},
		{"voters that left stay", []string{"a/1", "b/1", "c/1", "d/1", "e/1"}, nil, []string{"b/1", "c/1"}, PlannedChange{}},
		{
			"learner replaces a silent voter",
			[]string{"a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+"},
			nil, nil,
			PlannedChange{Promote: "f/1", Remove: "b/1"},
		},
		{
			"learner replaces a voter that left",
			[]string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1+"},
			nil,
			[]string{"c/1"},
			PlannedChange{Promote: "f/1", Remove: "c/1"},
		},
		{
			"a list of announced replicas without the leader is not complete",
			[]string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1+"},
			[]string{"f/1"},
			[]string{"a/1", "b/1", "c/1", "d/1", "e/1"},
			PlannedChange{},
		},
		{"lagging learner does not replace one", []string{"a/1", "b/1!", "c/1", "d/1", "e/1", "f/1+?"}, nil, nil, PlannedChange{}},
		{"live voters are not replaced", []string{"a/1", "b/1", "c/1", "d/1", "e/1", "f/1+"}, nil, nil, PlannedChange{}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			st := planStatus(c.members...)
			announced := slices.Concat(difference(st.Members.Voters, c.left), c.announced)
			got, ok := NextChange(planStart, st, Target{Announced: announced, Voters: 5, CatchUp: DefaultCatchUp})
			got.Reason = ""
			if got != c.want || ok != (c.want != PlannedChange{}) {
				t.Errorf("got %+v (%v), want %+v", got, ok, c.want)
			}
		})
	}
}

// Guards against planned changes that never end or that keep a voter whose disk is lost. One or two random disks or hosts are lost
// at a time, and the planned changes are carried out after each loss.
func TestPlanConverges(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		words := []string{"a/1", "b/1", "c/1", "d/1", "e/1"}
		live := slices.Clone(words) // identities of running replicas
		for round := range 3 {
			for range 1 + random.IntN(2) {
				i := 1 + random.IntN(len(live)-1) // the leader survives
				name := Name(live[i])
				if random.IntN(2) == 0 {
					name = fmt.Sprintf("h%d%d", round, i) // the host is replaced
				}
				live[i] = fmt.Sprintf("%s/%d", name, 100*round+i+2)
			}
			members := planStatus(words...).Members
			for range 50 {
				s := Status{
					ID: "a/1", Role: Leader, Commit: 10, Members: members, Progress: map[string]Progress{}, Heard: map[string]time.Time{},
				}
				for _, id := range slices.Concat(members.Voters, members.Learners) {
					p := Progress{Match: 10, LastHeard: planStart, CaughtUp: true}
					if !slices.Contains(live, id) {
						p.LastHeard = planStart.Add(-time.Minute)
					}
					s.Progress[id], s.Heard[id] = p, p.LastHeard
				}
				change, ok := NextChange(planStart, s, Target{Announced: live, Voters: 5, CatchUp: DefaultCatchUp})
				if !ok {
					break
				}
				members = change.Apply(members).settled()
			}
			slices.Sort(live)
			if !slices.Equal(members.Voters, live) {
				t.Fatalf("seed %d, round %d: got voters %v, want %v", seed, round, members.Voters, live)
			}
			words = members.Voters
		}
	}
}
