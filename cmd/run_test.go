package cmd

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/rollout"
	"godwitspindle/core/wire"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

var update = flag.Bool("update", false, "rewrite golden files")

type badFile struct{}

func (badFile) Error() string { return "bad" }

// newProgram returns a program that accepts every file except those that contain "bad".
func newProgram() *Program {
	check := func(data []byte) error {
		if bytes.Contains(data, []byte("bad")) {
			return badFile{}
		}
		return nil
	}
	return &Program{
		Node:           func(context.Context, *process.Settings, logr.Logger) error { return nil },
		ParseRegister:  func(data []byte) (*wire.Register, error) { return &wire.Register{}, check(data) },
		ParseRules:     func(data []byte) (*wire.RuleSet, error) { return &wire.RuleSet{}, check(data) },
		Checks:         fakeChecks(check),
		ParseCustomers: func(data []byte) (*wire.Customers, error) { return &wire.Customers{}, check(data) },
		Faults: func(error) []*wire.Fault {
			return []*wire.Fault{{Field: "routes[0].deadline", Expected: `a time from "1ms" to "5m"`}, {Field: "routes[1].service", Expected: "a name"}}
		},
	}
}

func startRollout(_ context.Context, o *wire.RolloutOrder) (*wire.Result, error) {
	switch o.GetService() {
	case "archive":
		return &wire.Result{Body: &wire.Result_Rollout{Rollout: rollout.Start(7, time.UnixMilli(1_700_000_000_000), o)}}, nil
	case "counter":
		return &wire.Result{Body: &wire.Result_Refusal{Refusal: &wire.Refusal{Code: operator.CodeRolloutRunning}}}, nil
	}
	faults := []*wire.Fault{{Field: "service", Expected: "a service of the configuration"}}
	return &wire.Result{Body: &wire.Result_Refusal{Refusal: &wire.Refusal{Code: operator.CodeInvalid, Faults: faults}}}, nil
}

// rolloutTests are commands of TestCommands with their exit codes.
var rolloutTests = []struct {
	args string
	want int
}{
	{"rollout", ExitUsage},
	{"rollout start archive --at AT", ExitUsage},
	{"rollout start archive --release v2 --duration 12s --at AT", ExitDone},
	{"rollout start counter --release v2 --at AT", ExitConflict},
	{"rollout start other --release v2 --at AT", ExitUsage},
	{"rollout status archive --at AT", ExitDone},
	{"rollout status archive --at AT --json", ExitDone},
	{"rollout status counter --at AT", ExitUsage},
}

func startServer(t *testing.T, leader string) string {
	t.Helper()
	propose := func(_ context.Context, c *wire.Change) (*wire.Result, error) {
		if c.GetBase() != 40 {
			winner := &wire.Accepted{Version: 40, Author: "mira", Reason: "more slots", Time: 1_700_000_000_000}
			return &wire.Result{Body: &wire.Result_Conflict{Conflict: &wire.Conflict{Winner: winner, Fields: []string{"service/counter.slots"}}}}, nil
		}
		a := &wire.Accepted{Version: 41, Id: c.GetId(), Author: c.GetAuthor(), Reason: c.GetReason(), Time: 1_700_000_000_000, Part: "rules/main", Differences: []*wire.Difference{
			{Key: "route/buy", After: "POST /passes to counter"},
			{Key: "route/old", Before: "GET /old to archive"},
			{Key: "route/fare", Field: "deadline", Before: "2s", After: "1s"},
			{Key: "route/fare", Field: "host", After: "fares"},
		}}
		return &wire.Result{Body: &wire.Result_Accepted{Accepted: a}}, nil
	}
	behind := []operator.LaggingNode{{Node: "n7", Version: 39, Reason: "unreachable", Heard: operator.Duration(12 * time.Second)}}
	s := httptest.NewServer(operator.New(
		operator.WithPropose(propose), operator.WithPlan(propose),
		operator.WithStatus(func(context.Context) (*operator.Status, error) {
			health := &operator.Health{Voters: 2, Answering: 2, Promised: 1, Waits: []operator.LearnerWait{{Learner: "c/1", Cause: "the learner does not answer", Behind: 120}}}
			var hearing *operator.Hearing
			if leader == "" {
				health, hearing = nil, &operator.Hearing{Node: "n1", Voters: 2, Heard: 1, Missing: []operator.Silence{{Identity: "b/1", Heard: silence}}}
			}
			return &operator.Status{
				Node: "n1", Version: 40, Nodes: 12, Current: 11, Spread: -1, Age: operator.Duration(310 * time.Millisecond), Leader: leader,
				Replicas: []operator.Member{{Name: "a", Role: "leader"}, {Name: "b", Role: "voter"}, {Name: "c", Role: "learner", Behind: 120, Heard: operator.Duration(12 * time.Second)}},
				Health:   health, Hearing: hearing,
				Behind: behind, Services: []operator.ServiceCapacity{{Name: "archive", Endpoints: 5, Slots: 60}, {Name: "counter", Endpoints: 3, Slots: 36}},
			}, nil
		}),
		operator.WithReplicas(func(_ context.Context, action, name string) (*operator.Replicas, error) {
			switch {
			case action == operator.ActionPromote:
				return nil, operator.MemberProblem(operator.CodeBehind, name+" holds the log up to 80 of 200: 120 entries behind")
			case name == "nobody":
				return nil, operator.MemberProblem(operator.CodeNoReplica, name+" is neither in the setting replicas nor a member")
			}
			return &operator.Replicas{Leader: "a", Replicas: []operator.Member{
				{Name: "a", Role: "leader", Identity: "a/1"},
				{Name: "b", Role: "voter", Identity: "b/1", Behind: -1, Heard: -1},
				{Name: "b", Role: "waiting", Identity: "b/2", Behind: -1, Heard: -1},
			}, Health: &operator.Health{Voters: 2, Answering: 1, Promised: 1, Unheard: []operator.Silence{{Identity: "b/1", Heard: silence}}}}, nil
		}),
		operator.WithRollouts(startRollout, func(_ context.Context, service string) (*wire.Rollout, error) {
			if service != "archive" {
				return nil, nil
			}
			return &wire.Rollout{
				Service: "archive", Release: "v2", Duration: 12_000, Accepted: 1_700_000_000_000, Order: 7, Step: 2, Share: 1000,
				State: wire.RolloutState_ROLLOUT_STATE_RUNNING, Sent: 40, Bad: 1, Total: 900, Reason: "no fault found so far",
			}, nil
		}),
		operator.WithHistory(func(ctx context.Context, _ int) ([]*wire.Accepted, error) {
			r, err := propose(ctx, &wire.Change{Base: 40, Author: "jo", Reason: "faster fares"})
			return []*wire.Accepted{r.GetAccepted()}, err
		}),
		operator.WithContent(func(context.Context, uint64) (uint64, *wire.Content, error) {
			return 40, &wire.Content{Sets: []*wire.RuleSet{{Set: "main"}}}, nil
		}),
		operator.WithWait(func(ctx context.Context, version uint64, report func(operator.Progress)) error {
			for range 2 {
				report(operator.Progress{Version: version, Nodes: 12, Current: 11, Elapsed: operator.Duration(300 * time.Millisecond), Behind: behind})
			}
			if version > 41 {
				<-ctx.Done()
				return ctx.Err()
			}
			report(operator.Progress{Version: version, Nodes: 12, Current: 12, Elapsed: operator.Duration(420 * time.Millisecond), Done: true})
			return nil
		}),
		operator.WithParsers(func([]byte) (*wire.Register, error) { return &wire.Register{}, nil }, func([]byte) (*wire.RuleSet, error) { return &wire.RuleSet{}, nil }, nil),
		operator.WithCustomersParser(func([]byte) (*wire.Customers, error) { return &wire.Customers{}, nil }),
	))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against changed output, exit codes that differ from the documented ones, and unknown flags that are ignored.
func TestCommands(t *testing.T) {
	folder := t.TempDir()
	write := func(name, data string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good, bad := write("good.json", "{}"), write("bad.json", `{"bad":1}`)
	settings := write("settings.json", `{"name":"a","region":"munnar","domain":"lower","listen":{"caller":"127.0.0.1:80"},"replicas":[{"name":"r","address":"10.0.0.9:7003"}]}`)
	at, noLeader := startServer(t, "a"), startServer(t, "")
	tests := []struct {
		args string
		want int
	}{
		{"--help", ExitDone},
		{"apply --help", ExitDone},
		{"", ExitUsage},
		{"frobnicate", ExitUsage},
		{"status --frob", ExitUsage},
		{"status extra", ExitUsage},
		{"status --at host:1", ExitUsage},
		{"node", ExitUsage},
		{"node " + settings, ExitDone},
		{"node " + bad, ExitUsage},
		{"demo", ExitFailed},
		{"check", ExitUsage},
		{"check " + settings, ExitDone},
		{"check " + bad + " --register " + bad + " --rules missing.json", ExitUsage},
		{"plan --at AT --rules " + good, ExitDone},
		{"plan --at AT --json --rules " + good, ExitDone},
		{"plan --at AT --rules " + bad, ExitUsage},
		{"apply --at AT --rules " + good + " --register " + good, ExitUsage},
		{"apply --at AT --rules " + good, ExitUsage},
		{"apply --at AT --rules " + good + " --reason r --author jo --id i --wait", ExitDone},
		{"apply --at AT --rules " + good + " --reason r --author jo --base 39", ExitConflict},
		{"revert 12 --at AT --reason r --author jo --id i", ExitDone},
		{"status --at AT", ExitDone},
		{"status --at AT --json", ExitDone},
		{"history --at AT", ExitDone},
		{"show --at AT --rules main", ExitDone},
		{"show --at AT --rules other", ExitUsage},
		{"wait 41 --at AT", ExitDone},
		{"wait 42 --at AT --timeout 50ms", ExitTimeout},
		{"status --at 127.0.0.1:1", ExitUnreachable},
		{"apply --at AT --rules " + good + " --reason r --author jo --base 39 --json", ExitConflict},
		{"plan --at AT --json --rules " + bad, ExitUsage},
		{"replica", ExitUsage},
		{"replica add", ExitUsage},
		{"replica list --at AT", ExitDone},
		{"replica add a --at AT", ExitDone},
		{"replica add a --at AT --wait --timeout 100ms", ExitTimeout},
		{"replica promote c --at AT --json", ExitFailed},
		{"replica remove nobody --at AT", ExitUsage},
		{"status --at LOST", ExitUnreachable},
	}
	var out strings.Builder
	for _, tt := range append(tests, rolloutTests...) {
		var stdout, stderr bytes.Buffer
		args := strings.NewReplacer("LOST", noLeader, "AT", at).Replace(tt.args)
		got := newProgram().Run(t.Context(), strings.Fields(args), &stdout, &stderr)
		if got != tt.want {
			t.Errorf("%s: got exit code %d, want %d: %s", tt.args, got, tt.want, stderr.String())
		}
		fmt.Fprintf(&out, "$ godwitspindle %s\n%s%s", tt.args, stdout.String(), stderr.String())
	}
	text := strings.NewReplacer(folder+"/", "", at, "AT").Replace(out.String())
	if *update {
		_ = os.WriteFile("testdata/commands.txt", []byte(text), 0o600)
	}
	want, err := os.ReadFile("testdata/commands.txt")
	if err != nil || text != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", text, want)
	}
}
