package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
)

// Limits for one read. Silence is known 3 s after the last message.
const (
	refusedWithin  = 500 * time.Millisecond // once the silence of the missing voters is known
	answeredWithin = 3 * time.Second        // with a majority; an election takes 1 to 2 s
	silenceKnown   = 4 * time.Second
)

// takeMeshSlot makes a test run beside others, but not beside more meshes than a small machine bears.
func takeMeshSlot(t *testing.T) {
	t.Parallel()
	meshSlots <- struct{}{}
	t.Cleanup(func() { <-meshSlots })
}

// cutOff isolates the leader and more replicas, so that count are lost, and returns the index of a replica that is left.
func cutOff(t *testing.T, m *Mesh, count int) int {
	t.Helper()
	leader := 0
	eventually(t, 20*time.Second, "a leader", func() bool {
		for i, h := range m.Hosts {
			if h.Leads() {
				leader = i
			}
		}
		return leader > 0
	})
	lost, left := []int{leader}, 0
	for i := 1; i < len(m.Hosts); i++ {
		switch {
		case i == leader:
		case len(lost) < count:
			lost = append(lost, i)
		default:
			left = i
		}
	}
	m.Partition(lost...)
	return left
}

// operatorGet asks the operator listener of host i once and returns the answer.
func operatorGet(t *testing.T, m *Mesh, i int, path string) (int, string) {
	t.Helper()
	answer, err := http.Get("http://" + m.Hosts[i].Listen().Operator.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

// Guards against a read that fails while a majority runs, against a refused read that takes seconds or does not name the missing
// voters, against a status that hides the losses, and against reads that stay refused after a majority is back.
func TestReadsWithLostVoters(t *testing.T) {
	tests := []struct {
		voters, lost int
		bearable     int // further losses that status shows; -1 without a majority
	}{
		{5, 1, 1},
		{5, 2, 0},
		{3, 1, 0},
		{5, 3, -1},
		{3, 2, -1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.lost, " of ", tt.voters), func(t *testing.T) {
			takeMeshSlot(t)
			m := startReplicaMesh(t, tt.voters)
			applyRegister(t, m, 1)
			index := cutOff(t, m, tt.lost)
			left := m.Hosts[index]
			read := func() (time.Duration, error) {
				began := time.Now()
				_, _, err := left.CurrentContent(t.Context())
				return time.Since(began), err
			}
			took, err := read()
			t.Logf("first read after the loss: %s, %v", took, err)
			if tt.bearable >= 0 && (err != nil || took > answeredWithin) {
				t.Errorf("first read: got %v after %s, want an answer within %s", err, took, answeredWithin)
			}
			time.Sleep(silenceKnown)
			for range 3 {
				took, err = read()
				t.Logf("read: %s, %v", took, err)
				missing, refused := errors.AsType[*operator.NoMajorityError](err)
				switch {
				case tt.bearable >= 0 && (err != nil || took > refusedWithin):
					t.Errorf("read: got %v after %s, want an answer within %s", err, took, refusedWithin)
				case tt.bearable < 0 && (!refused || took > refusedWithin || len(missing.Hearing.Missing) != tt.lost):
					t.Errorf("read: got %v after %s, want a refusal within %s that names %d voters", err, took, refusedWithin, tt.lost)
				}
			}
			checkStatus(t, m, index, tt.lost, tt.bearable)
			m.Partition()
			took, err = read()
			for began := time.Now(); err != nil && time.Since(began) < 10*time.Second; {
				_, err = read()
				took = time.Since(began)
			}
			t.Logf("healed: answered after %s", took)
			if err != nil {
				t.Errorf("after the return of all voters: got %v, want an answer within 10 s", err)
			}
		})
	}
}

// checkStatus checks what the operator listener of host i tells of the lost voters.
func checkStatus(t *testing.T, m *Mesh, i, lost, bearable int) {
	t.Helper()
	c := operator.NewClient(operator.WithAddresses(m.Hosts[i].Listen().Operator))
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), answeredWithin)
	defer stop()
	began := time.Now()
	st, err := c.Status(ctx)
	if err != nil || time.Since(began) > refusedWithin {
		t.Fatalf("status: got %v after %s, want an answer within %s", err, time.Since(began), refusedWithin)
	}
	code, body := operatorGet(t, m, i, "/v1/history")
	if bearable >= 0 {
		if st.Health == nil || st.Health.Losses != bearable || len(st.Health.Silent)+len(st.Health.Unheard) != lost || code != http.StatusOK {
			t.Errorf("got health %+v, history %d, want %d losses, %d voters that do not answer, history 200", st.Health, code, bearable, lost)
		}
		return
	}
	if st.Hearing == nil || st.Hearing.Majority || len(st.Hearing.Missing) != lost {
		t.Errorf("status: got hearing %+v, want no majority and %d missing voters", st.Hearing, lost)
	}
	for _, s := range st.Hearing.Missing {
		if code != http.StatusServiceUnavailable || !strings.Contains(body, s.Identity+" not heard for ") {
			t.Errorf("history: got %d %s, want 503 and %s with the time since it was heard", code, body, s.Identity)
		}
	}
}

// Guards against reads that stay refused after a majority is back, and against a refused change that does not name the missing
// voters.
func TestReadsAnswerOnceAMajorityIsBack(t *testing.T) {
	takeMeshSlot(t)
	m := startReplicaMesh(t, 3)
	applyRegister(t, m, 1)
	left := m.Hosts[3]
	if err := errors.Join(m.Stop(1), m.Stop(2)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(silenceKnown)
	began := time.Now()
	_, _, err := left.CurrentContent(t.Context())
	if _, ok := errors.AsType[*operator.NoMajorityError](err); !ok || time.Since(began) > refusedWithin {
		t.Errorf("read without a majority: got %v after %s, want a refusal within %s", err, time.Since(began), refusedWithin)
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	_, err = left.Change(ctx, &wire.Change{Id: "lost", Author: "jo", Reason: "test"})
	missing, ok := errors.AsType[*operator.NoMajorityError](err)
	if !ok || len(missing.Hearing.Missing) != 2 {
		t.Errorf("change without a majority: got %v, want a refusal that names two voters", err)
	}
	began = time.Now()
	if err := m.Start(1); err != nil {
		t.Fatal(err)
	}
	for err != nil && time.Since(began) < 10*time.Second {
		_, _, err = left.CurrentContent(t.Context())
	}
	t.Logf("answered %s after the start of the second voter", time.Since(began))
	if err != nil || time.Since(began) > 2*answeredWithin {
		t.Errorf("read after the return of a majority: got %v after %s, want an answer within %s", err, time.Since(began), 2*answeredWithin)
	}
}
