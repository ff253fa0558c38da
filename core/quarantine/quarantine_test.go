package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitspindle/core/wire"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const (
	crashed   = wire.MarkKind_MARK_KIND_CRASHED
	confirmed = wire.MarkKind_MARK_KIND_CONFIRMED
	cleared   = wire.MarkKind_MARK_KIND_CLEARED
)

func report(kind wire.MarkKind, fingerprint string, incarnation uint64) *wire.Mark {
	return &wire.Mark{Kind: kind, Fingerprint: []byte(fingerprint), Endpoint: "s/e", Incarnation: incarnation}
}

// Guards against marks that count twice, quarantine without confirmation, and cleared suspects that return.
func TestMarks(t *testing.T) {
	for name, c := range map[string]struct {
		marks []*wire.Mark
		want  string // number of crashes and whether the request is quarantined, or none
	}{
		"crash":           {[]*wire.Mark{report(crashed, "f", 1)}, "1 false"},
		"resent":          {[]*wire.Mark{report(crashed, "f", 1), report(crashed, "f", 1)}, "1 false"},
		"two crashes":     {[]*wire.Mark{report(crashed, "f", 1), report(crashed, "f", 2)}, "2 false"},
		"confirmed":       {[]*wire.Mark{report(crashed, "f", 1), report(confirmed, "f", 2)}, "2 true"},
		"lost first mark": {[]*wire.Mark{report(confirmed, "f", 2)}, "1 true"},
		"cleared":         {[]*wire.Mark{report(crashed, "f", 1), report(cleared, "f", 0)}, "none"},
		"resent late":     {[]*wire.Mark{report(crashed, "f", 1), report(cleared, "f", 0), report(crashed, "f", 1)}, "none"},
		"crash again":     {[]*wire.Mark{report(crashed, "f", 1), report(cleared, "f", 0), report(crashed, "f", 2)}, "1 false"},
		"clear confirmed": {[]*wire.Mark{report(confirmed, "f", 1), report(cleared, "f", 0)}, "1 true"},
		"malformed":       {[]*wire.Mark{report(crashed, "", 1), report(0, "f", 1), nil}, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			table.Apply(epoch, c.marks)
			got := "none"
			if s, ok := table.Suspect([]byte("f")); ok {
				got = fmt.Sprint(s.GetCrashes(), s.GetQuarantined())
			}
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			table.Apply(epoch.Add(Retention), nil)
			if table.Len() != 0 {
				t.Errorf("got %d marks after the retention, want 0", table.Len())
			}
		})
	}
}

// Guards against unbounded state, and against a flood of suspects that evicts quarantined requests.
func TestBound(t *testing.T) {
	table := New()
	table.Apply(epoch, []*wire.Mark{report(confirmed, "bad", 1)})
	for i := range 3 * MaxCount {
		table.Apply(epoch, []*wire.Mark{report(crashed, fmt.Sprint("f", i), 1)})
	}
	if s, ok := table.Suspect([]byte("bad")); !ok || !s.GetQuarantined() || table.Len() != MaxCount {
		t.Errorf("got suspect %v and %d marks, want it quarantined and %d marks", s, table.Len(), MaxCount)
	}
}

// Guards against a restore that changes the state.
func TestRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(), epoch
		restored := New()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Minute, 11 * time.Minute}).Draw(t, "pause"))
			kind := rapid.SampledFrom([]wire.MarkKind{crashed, confirmed, cleared}).Draw(t, "kind")
			m := report(kind, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "print"), rapid.Uint64Range(1, 5).Draw(t, "incarnation"))
			got, want := restored.Apply(now, []*wire.Mark{m}), table.Apply(now, []*wire.Mark{m})
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("changes after a restore: got %q, want %q", got, want)
			}
			data, err := table.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
			if again, _ := restored.Marshal(); !bytes.Equal(again, data) {
				t.Fatal("marshaled state differs after a restore")
			}
		}
	})
}

// Guards against more crashes than intended: a request that always crashes its backend server may crash one process per endpoint
// before the mark reaches the node of that endpoint, and one more to be confirmed. Other marked requests are cleared on
// completion.
func TestLocal(t *testing.T) {
	table := New()
	nodes := []*EndpointState{NewEndpointState("s/0"), NewEndpointState("s/1"), NewEndpointState("s/2")}
	replicate := func(marks []*wire.Mark) {
		table.Apply(epoch, marks)
		for _, n := range nodes {
			n.Update(table.Suspect)
		}
	}
	expect := func(n *EndpointState, call, fingerprint string, want Decision) {
		t.Helper()
		if got := n.Start(call, []byte(fingerprint), epoch); got != want {
			t.Errorf("%s: got %v, want %v", call, got, want)
		}
	}
	expect(nodes[0], "1", "bad", Run)
	expect(nodes[0], "2", "good", Run)
	marks := nodes[0].Crash(1, epoch)
	if len(marks) != 2 || marks[0].GetKind() != crashed || nodes[0].Running() != 0 {
		t.Fatalf("got %v, want both requests marked and none running", marks)
	}
	expect(nodes[0], "3", "good", Run) // the local mark applies before it is replicated
	expect(nodes[0], "4", "bad", Wait)
	replicate(marks)
	replicate(nodes[0].Done("3", epoch))
	if _, suspect := table.Suspect([]byte("good")); suspect {
		t.Error("request is still a suspect after it completed, want it cleared")
	}
	expect(nodes[1], "5", "bad", Run)
	expect(nodes[1], "6", "other", Run)
	expect(nodes[1], "7", "bad", Wait) // one suspect at a time, including the same request
	marks = nodes[1].Crash(2, epoch)
	if len(marks) != 1 || marks[0].GetKind() != confirmed || string(marks[0].GetFingerprint()) != "bad" {
		t.Fatalf("got %v, want only the suspect confirmed", marks)
	}
	expect(nodes[1], "8", "bad", Quarantined)
	replicate(marks)
	for i, n := range nodes {
		expect(n, fmt.Sprint("node ", i), "bad", Quarantined)
		if got := n.Start("later", []byte("bad"), epoch.Add(Retention)); got != Run {
			t.Errorf("got %v after the retention, want run", got)
		}
		n.Drop("later")
	}
}

// Guards against marking a request that reached the next process before the crash of the previous one was detected.
func TestCrashLeavesNextProcess(t *testing.T) {
	l := NewEndpointState("s/e")
	l.Start("1", []byte("bad"), epoch)
	l.Start("2", []byte("next"), epoch)
	marks := l.Crash(1, epoch, []byte("bad"))
	if len(marks) != 1 || string(marks[0].GetFingerprint()) != "bad" || l.Running() != 1 {
		t.Errorf("got %v and %d running, want only bad marked and next running", marks, l.Running())
	}
}
