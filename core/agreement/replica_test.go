package agreement

import (
	"errors"
	"slices"
	"testing"
	"time"
)

var threeVoters = Members{Voters: []string{"a/1", "b/1", "c/1"}}

// newLoaded returns a/1 of three voters in term 2, with the given entries after the founding snapshot.
func newLoaded(t *testing.T, entries ...Entry) *Replica {
	t.Helper()
	r, err := New(WithID("a/1"), WithLog(HardState{Term: 2}, Snapshot{Index: 1, Term: 1, Members: threeVoters}, entries),
		WithRandom(func(time.Duration) time.Duration { return 0 }))
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	r.Tick(at(0))
	return r
}

func at(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }

// elect makes the replica of newLoaded the leader of term 3; the first entry of that term is not persisted yet.
func elect(t *testing.T, r *Replica) {
	t.Helper()
	r.Tick(at(time.Second))
	r.Step(at(time.Second), Message{Kind: PreVoteAnswer, From: "b/1", To: "a/1", Term: 3})
	r.Step(at(time.Second), Message{Kind: VoteAnswer, From: "b/1", To: "a/1", Term: 3})
	if s := r.Status(); s.Role != Leader || s.Term != 3 {
		t.Fatalf("election: got %v in term %d, want the leader of term 3", s.Role, s.Term)
	}
	_ = r.Effects()
}

func acknowledge(r *Replica, from string, index uint64) {
	r.Step(at(time.Second), Message{Kind: AppendAnswer, From: from, To: "a/1", Term: 3, Index: index})
}

// Guards against the loss of a committed entry: an entry of an earlier term can be overwritten even if a majority has it, so
// it is committed only together with a later entry of the leader's own term.
func TestOldTermIsNotCommittedByCounting(t *testing.T) {
	r := newLoaded(t, Entry{Index: 2, Term: 2, Kind: Command})
	elect(t, r)
	acknowledge(r, "b/1", 2)
	acknowledge(r, "c/1", 2)
	if got := r.Status().Commit; got != 1 {
		t.Errorf("commit with an old term's entry on all: got %d, want 1", got)
	}
	acknowledge(r, "b/1", 3)
	acknowledge(r, "c/1", 3)
	if got := r.Status().Commit; got != 3 {
		t.Errorf("commit with the own term's entry on a majority: got %d, want 3", got)
	}
}

// Guards against a leader that counts its own copy of an entry before it is synced: a crash would lose that copy.
func TestLeaderCountsItselfOncePersisted(t *testing.T) {
	r := newLoaded(t)
	elect(t, r)
	acknowledge(r, "b/1", 2)
	if got := r.Status().Commit; got != 1 {
		t.Errorf("commit before Persisted: got %d, want 1", got)
	}
	r.Persisted(2, 3)
	if got := r.Status().Commit; got != 2 {
		t.Errorf("commit after Persisted: got %d, want 2", got)
	}
}

// Guards against two member sets whose majorities do not overlap: a new leader may not know an uncommitted change of an
// earlier term, so it refuses changes until it has committed an entry in its own term.
func TestMembersWaitForFirstCommit(t *testing.T) {
	r := newLoaded(t)
	elect(t, r)
	change := [][]byte{EncodeMembers(threeVoters.With("d/1", true))}
	var refused *MembersError
	if _, _, err := r.Propose(at(time.Second), MembersChange, change); !errors.As(err, &refused) {
		t.Errorf("change before the first commit: got %v, want *MembersError", err)
	}
	acknowledge(r, "b/1", 2)
	r.Persisted(2, 3)
	if _, _, err := r.Propose(at(time.Second), MembersChange, change); err != nil {
		t.Errorf("change after the first commit: got %v", err)
	}
}

// Guards against a member set that stays in force after its entry was overwritten.
func TestTruncationRestoresMembers(t *testing.T) {
	r := newLoaded(t, Entry{Index: 2, Term: 2, Kind: MembersChange, Data: EncodeMembers(threeVoters.Without("c/1"))})
	if got := r.Status().Members.Voters; len(got) != 2 {
		t.Fatalf("voters with the uncommitted change: got %v, want two", got)
	}
	r.Step(at(0), Message{
		Kind: Append, From: "b/1", To: "a/1", Term: 3, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 3, Kind: Noop}},
	})
	if got := r.Status().Members.Voters; !slices.Equal(got, threeVoters.Voters) {
		t.Errorf("voters after the entry was replaced: got %v, want %v", got, threeVoters.Voters)
	}
}

// Guards against a replica that returns from a partition with a higher term and deposes a live leader: replicas that hear
// the leader give it no vote and keep their term.
func TestVotesRespectLiveLeader(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		want    uint64 // term of the replica after the vote
		answers int
	}{
		{"leader heard just now", 100 * time.Millisecond, 3, 0},
		{"leader silent for an election timeout", time.Second, 9, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoaded(t)
			r.Step(at(0), Message{Kind: Heartbeat, From: "b/1", To: "a/1", Term: 3})
			_ = r.Effects()
			r.Step(at(tt.silence), Message{Kind: Vote, From: "c/1", To: "a/1", Term: 9, Index: 1, LogTerm: 1})
			if got := r.Status().Term; got != tt.want {
				t.Errorf("term: got %d, want %d", got, tt.want)
			}
			if got := len(r.Effects().Messages); got != tt.answers {
				t.Errorf("answers: got %d, want %d", got, tt.answers)
			}
		})
	}
}

// Guards against a replica that votes before it has a member set: after the loss of its disk, its vote could elect a candidate
// that lacks a committed entry.
func TestEmptyReplicaDoesNotVote(t *testing.T) {
	for _, k := range []MessageKind{PreVote, Vote} {
		r, err := New(WithID("c/2"), WithFounders("a", "b", "c"), WithRandom(func(time.Duration) time.Duration { return 0 }))
		if err != nil {
			t.Fatalf("New: %v", err)
		}
		r.Step(at(0), Message{Kind: k, From: "b/1", To: "c/2", Term: 9, Index: 5, LogTerm: 8})
		if e := r.Effects(); len(e.Messages) > 0 || e.State != nil {
			t.Errorf("message kind %v to an empty replica: got answers %v, state %v, want none", k, e.Messages, e.State)
		}
	}
}
