package agreement

import (
	"slices"
	"testing"
	"time"
)

// Guards against entries that wait for the leader's own disk before the followers get them, and against a leader that its followers take
// for lost while it saves.
func TestSentWhileSaving(t *testing.T) {
	r := newLoaded(t)
	elect(t, r)
	_ = r.Effects() // the vote is saved
	propose := func() {
		if _, _, err := r.Propose(at(time.Second), Command, [][]byte{nil}); err != nil {
			t.Fatalf("Propose: got %v, want none", err)
		}
	}
	propose()
	acknowledge(r, "b/1", 2) // ends the probe, so that entries follow one another
	if e := r.Effects(); !e.Saves() {
		t.Fatal("effects after a proposal: got nothing to save, want the entry")
	}
	r.Tick(at(1500 * time.Millisecond))
	propose()
	var got []MessageKind
	for _, m := range r.Urgent() {
		if m.To == "b/1" {
			got = append(got, m.Kind)
		}
	}
	for _, want := range []MessageKind{Heartbeat, Append} {
		if !slices.Contains(got, want) {
			t.Errorf("messages to a follower during a save: got kinds %v, want %d among them", got, want)
		}
	}
	acknowledge(r, "b/1", 4)
	if got := r.Status().Commit; got != 1 {
		t.Errorf("commit before the leader has saved: got %d, want 1", got)
	}
}

// Guards against a message that states a term or vote which a loss of power would undo.
func TestNothingSentInUnsavedTerm(t *testing.T) {
	r := newLoaded(t)
	r.Step(at(0), Message{Kind: Heartbeat, From: "b/1", To: "a/1", Term: 7, Context: 1})
	if got := r.Urgent(); len(got) > 0 {
		t.Errorf("messages before the term is saved: got %+v, want none", got)
	}
	e := r.Effects()
	if e.State == nil || len(e.Messages) != 1 {
		t.Fatalf("effects: got %+v, want the term to be saved and an answer after it", e)
	}
	r.Step(at(0), Message{Kind: Heartbeat, From: "b/1", To: "a/1", Term: 7, Context: 2})
	if got := r.Urgent(); len(got) > 0 {
		t.Errorf("messages while the term is being saved: got %+v, want none", got)
	}
	if e := r.Effects(); len(e.Messages) != 1 {
		t.Errorf("messages once the term is saved: got %+v, want the answer", e.Messages)
	}
}

// Guards against a vote that is thrown away because it comes while its candidate already asks for the next pre-vote: with disks that
// are slower than the campaigns no vote would ever count.
func TestLateVoteCounts(t *testing.T) {
	r := newLoaded(t)
	now := time.Second * 10
	r.Tick(at(0))
	r.Tick(at(now)) // asks for pre-votes
	term := r.Status().Term + 1
	r.Step(at(now), Message{Kind: PreVoteAnswer, From: "b/1", To: "a/1", Term: term})
	_ = r.Effects()
	_ = r.Effects() // the vote is saved
	r.Tick(at(2 * now))
	if got := r.Effects().Messages; len(got) == 0 || got[0].Kind != PreVote {
		t.Fatalf("messages of a candidate without votes: got %+v, want those of the next pre-vote", got)
	}
	r.Step(at(2*now), Message{Kind: VoteAnswer, From: "b/1", To: "a/1", Term: term})
	if got := r.Status(); got.Role != Leader || got.Term != term {
		t.Errorf("after the late vote: got %s in term %d, want leader in term %d", got.Role, got.Term, term)
	}
}

// Guards against a voter that, while its vote for one candidate is still being saved, lets another one begin a campaign for the next term,
// which deposes the leader that its vote elects.
func TestNoNextCampaignWhileVoteIsOnTheWay(t *testing.T) {
	const save, hung = 500 * time.Millisecond, time.Minute // longer than a heartbeat interval
	for _, tt := range []struct {
		name        string
		save, asked time.Duration // after the vote is given
		want        bool
	}{
		{"while the vote is being saved", save, save / 2, false},
		{"right after it", save, save + save/2, false},
		{"once the election must be over", save, 4 * save, true},
		{"after a disk hung", hung, hung + electionSaves*defaultElectionTimeout, true},
		{"while a fast disk saves the vote", time.Millisecond, time.Millisecond / 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoaded(t)
			r.Step(at(0), Message{Kind: Vote, From: "b/1", To: "a/1", Term: 3, Index: 1, LogTerm: 1})
			if e := r.Effects(); !e.Saves() {
				t.Fatal("effects of a vote: got nothing to save")
			}
			preVote := func() {
				r.Step(at(tt.asked), Message{Kind: PreVote, From: "c/1", To: "a/1", Term: 4, Index: 1, LogTerm: 1})
			}
			if tt.asked < tt.save {
				preVote()
			}
			r.Step(at(tt.save), Message{Kind: Promise, From: "b/1", To: "a/1"}) // has no effect but sets the clock
			messages := r.Effects().Messages
			if tt.asked >= tt.save {
				preVote()
				messages = r.Effects().Messages
			}
			if len(messages) != 1 || messages[0].Kind != PreVoteAnswer || messages[0].Reject == tt.want {
				t.Errorf("answer to the pre-vote: got %+v, want one that grants: %t", messages, tt.want)
			}
		})
	}
}

// Guards against campaigns that follow each other faster than votes are saved: the time of the save must not count, and after a slow one
// the campaigns of several candidates must be spread over more than the usual wait.
func TestCampaignAfterSlowSave(t *testing.T) {
	const save = 800 * time.Millisecond
	longest := func(d time.Duration) time.Duration { return d }
	for _, tt := range []struct {
		name   string
		random func(time.Duration) time.Duration
		want   time.Duration // time of the next campaign, after the vote
	}{
		{"shortest wait", func(time.Duration) time.Duration { return 0 }, defaultElectionTimeout + save},
		{"longest wait", longest, 2*defaultElectionTimeout + save},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoaded(t)
			r.random, r.leaderSeen = tt.random, true
			r.Step(at(0), Message{Kind: Vote, From: "b/1", To: "a/1", Term: 3, Index: 1, LogTerm: 1})
			_ = r.Effects()
			r.Step(at(save), Message{Kind: Promise, From: "b/1", To: "a/1"}) // has no effect but sets the clock
			_ = r.Effects()
			if got, want := r.campaignAt, at(tt.want); !got.Equal(want) {
				t.Errorf("next campaign: got %s after the vote, want %s", got.Sub(at(0)), tt.want)
			}
			r.resetCampaignTimer()
			want := at(save + tt.random(2*defaultElectionTimeout)/2 + defaultElectionTimeout + tt.random(campaignSaves*save))
			if got := r.campaignAt; !got.Equal(want) {
				t.Errorf("campaign after that: got %s after the vote, want %s", got.Sub(at(0)), want.Sub(at(0)))
			}
		})
	}
}
