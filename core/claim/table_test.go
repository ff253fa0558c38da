package claim

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"godwitspindle/core/wire"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const (
	acquire = wire.ClaimKind_CLAIM_KIND_ACQUIRE
	finish  = wire.ClaimKind_CLAIM_KIND_FINISH
	release = wire.ClaimKind_CLAIM_KIND_RELEASE
)

func command(kind wire.ClaimKind, owner, fingerprint string, deadline time.Time) *wire.Claim {
	return &wire.Claim{
		Kind: kind, Route: "buy", Key: "k", Owner: owner, Fingerprint: []byte(fingerprint), Deadline: deadline.UnixMilli(),
		Answer: &wire.Answer{Status: 201, Body: []byte(owner)},
	}
}

// Guards against a wrong result at any step of a claim, above all a grant to a second owner.
func TestLife(t *testing.T) {
	type step struct {
		after       time.Duration // time after epoch
		kind        wire.ClaimKind
		owner       string
		fingerprint string
		want        string // state of the result, without its prefix
	}
	for name, steps := range map[string][]step{
		"resend of acquire":      {{0, acquire, "a", "p", "GRANTED"}, {1, acquire, "a", "p", "GRANTED"}, {2, acquire, "b", "p", "RUNNING"}},
		"other fingerprint":      {{0, acquire, "a", "p", "GRANTED"}, {0, acquire, "b", "q", "MISMATCH"}, {0, finish, "a", "p", "DONE"}, {0, acquire, "b", "q", "MISMATCH"}},
		"done":                   {{0, acquire, "a", "p", "GRANTED"}, {0, finish, "a", "p", "DONE"}, {0, finish, "a", "p", "DONE"}, {0, acquire, "b", "p", "DONE"}, {0, acquire, "a", "p", "DONE"}, {0, release, "a", "p", "REFUSED"}},
		"deadline":               {{0, acquire, "a", "p", "GRANTED"}, {6 * time.Minute, acquire, "b", "p", "UNKNOWN"}, {6 * time.Minute, acquire, "a", "p", "UNKNOWN"}, {7 * time.Minute, finish, "a", "p", "DONE"}, {8 * time.Minute, acquire, "b", "p", "DONE"}},
		"other owner":            {{0, acquire, "a", "p", "GRANTED"}, {0, finish, "b", "p", "REFUSED"}, {0, release, "b", "p", "REFUSED"}, {0, acquire, "c", "p", "RUNNING"}},
		"release":                {{0, acquire, "a", "p", "GRANTED"}, {0, release, "a", "p", "RELEASED"}, {0, release, "a", "p", "RELEASED"}, {0, acquire, "a", "p", "REFUSED"}, {0, finish, "a", "p", "REFUSED"}, {0, acquire, "b", "q", "GRANTED"}},
		"release before acquire": {{0, release, "a", "p", "RELEASED"}, {0, acquire, "a", "p", "REFUSED"}, {0, acquire, "b", "p", "GRANTED"}},
		"release expires":        {{0, acquire, "a", "p", "GRANTED"}, {0, release, "a", "p", "RELEASED"}, {11 * time.Minute, acquire, "a", "p", "REFUSED"}},
		"deadline has passed":    {{6 * time.Minute, acquire, "a", "p", "REFUSED"}},
		"retention":              {{0, acquire, "a", "p", "GRANTED"}, {0, finish, "a", "p", "DONE"}, {24 * time.Hour, acquire, "b", "p", "DONE"}, {24*time.Hour + 1e6, finish, "a", "p", "REFUSED"}},
		"missing or oversized":   {{0, acquire, "", "p", "REFUSED"}, {0, acquire, "a", string(make([]byte, MaxTextBytes+1)), "REFUSED"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for i, s := range steps {
				r := table.Apply(epoch.Add(s.after), command(s.kind, s.owner, s.fingerprint, epoch.Add(5*time.Minute)))
				if got, want := r.GetState().String(), "CLAIM_STATE_"+s.want; got != want {
					t.Errorf("step %d: got %s, want %s", i, got, want)
				}
				if s.want == "DONE" && string(r.GetAnswer().GetBody()) != "a" {
					t.Errorf("step %d: got answer %v, want that of a", i, r.GetAnswer())
				}
			}
		})
	}
}

// Guards against a claim with two owners, a second grant to a released attempt, a grant after an outcome, and a restore that
// changes the state, under any order of commands, resends, expiries and restores.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, restored := New(), New()
		now, holder, since := epoch, "", epoch
		finished := false
		released := make(map[string]bool)
		deadlines := make(map[string]time.Time)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, time.Minute, 11 * time.Minute, 25 * time.Hour})
			now = now.Add(pause.Draw(t, "pause"))
			if now.Sub(since) > Retention {
				holder, finished = "", false
			}
			owner := fmt.Sprint("o", rapid.IntRange(0, 9).Draw(t, "owner"))
			if deadlines[owner].IsZero() {
				// An owner is the token of one attempt, which has one deadline.
				deadlines[owner] = now.Add(rapid.SampledFrom([]time.Duration{-1e9, time.Second, time.Minute, 9 * time.Minute}).Draw(t, "deadline"))
			}
			kind := rapid.SampledFrom([]wire.ClaimKind{acquire, acquire, finish, release}).Draw(t, "kind")
			c := command(kind, owner, "p", deadlines[owner])
			got := table.Apply(now, c)
			if other := restored.Apply(now, c); !proto.Equal(got, other) {
				t.Fatalf("got %v, restored table answers %v", got, other)
			}
			switch got.GetState() {
			case wire.ClaimState_CLAIM_STATE_GRANTED:
				if released[owner] || finished || holder != "" && holder != owner {
					t.Fatalf("%s was granted; holder %q, finished %v, released %v", owner, holder, finished, released)
				}
				if holder == "" {
					holder, since = owner, now
				}
			case wire.ClaimState_CLAIM_STATE_RELEASED:
				released[owner] = true
				if holder == owner {
					holder = ""
				}
			case wire.ClaimState_CLAIM_STATE_DONE:
				finished = true
			}
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				restored = restore(t, table)
			}
		}
	})
}

func restore(t *rapid.T, table *Table) *Table {
	data, err := table.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := n.Marshal()
	if err != nil || !bytes.Equal(again, data) || n.Bytes() != table.Bytes() || n.Len() != table.Len() {
		t.Fatalf("got %d bytes, size %d, %v after restore, want %d, %d", len(again), n.Bytes(), err, len(data), table.Bytes())
	}
	return n
}

// Guards against unbounded state and against a full table that drops claims before their retention has passed.
func TestBounds(t *testing.T) {
	for name, bound := range map[string]struct{ count, bytes int }{"count": {10, MaxBytes}, "bytes": {MaxClaims, 6000}} {
		t.Run(name, func(t *testing.T) {
			table := New(WithBounds(bound.count, bound.bytes))
			granted := 0
			for i := range 50 {
				c := command(acquire, "a", "p", epoch.Add(time.Minute))
				c.Key = fmt.Sprint(i)
				if table.Apply(epoch, c).GetState() == wire.ClaimState_CLAIM_STATE_GRANTED {
					granted++
				}
				c.Kind = finish
				c.Answer.Body = make([]byte, MaxAnswerBytes)
				if got := table.Apply(epoch, c).GetAnswer(); got != nil {
					t.Errorf("got an answer above the limit, want none")
				}
			}
			if granted < 10 || granted != table.Len() {
				t.Errorf("got %d claims granted and %d kept, want at least 10 granted and all of them kept", granted, table.Len())
			}
			if table.Len() > bound.count || table.Bytes() > bound.bytes {
				t.Errorf("got %d claims of %d bytes, want at most %v", table.Len(), table.Bytes(), bound)
			}
			table.Expire(epoch.Add(Retention + time.Second))
			if table.Len() != 0 || table.Bytes() != 0 {
				t.Errorf("got %d claims of %d bytes after the retention, want none", table.Len(), table.Bytes())
			}
		})
	}
}

// Guards against an unbounded number of recorded releases for one key, and against a grant whose release cannot be recorded.
func TestManyReleases(t *testing.T) {
	table := New()
	for i := range 3 * maxReleasedAttempts {
		c := command(acquire, fmt.Sprint(i), "p", epoch.Add(time.Minute))
		want := wire.ClaimState_CLAIM_STATE_GRANTED
		if i >= maxReleasedAttempts {
			want = wire.ClaimState_CLAIM_STATE_REFUSED
		}
		if got := table.Apply(epoch, c).GetState(); got != want {
			t.Errorf("acquire %d: got %v, want %v", i, got, want)
		}
		c.Kind = release
		table.Apply(epoch, c)
	}
	c := command(acquire, "later", "p", epoch.Add(3*time.Minute))
	if got := table.Apply(epoch.Add(2*time.Minute), c).GetState(); got != wire.ClaimState_CLAIM_STATE_GRANTED {
		t.Errorf("got %v after the deadlines of the released attempts, want granted", got)
	}
}

func BenchmarkApply(b *testing.B) {
	table := New()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now := epoch.Add(time.Duration(i) * time.Second)
		c := command(acquire, "a", "p", now.Add(time.Minute))
		c.Key = fmt.Sprint(i)
		table.Apply(now, c)
		c.Kind = finish
		table.Apply(now, c)
	}
}
