package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/wire"
)

var update = flag.Bool("update", false, "rewrite golden files")

type faultsError struct{}

func (faultsError) Error() string { return "two faults" }

// newFakeServer returns a server whose propose function picks its result by the reason of the change.
func newFakeServer(opts ...Option) *Server {
	winner := &wire.Accepted{Version: 41, Id: "w", Author: "mira", Reason: "more slots", Time: 1_700_000_000_000, Part: "register"}
	missing := Hearing{Node: "a", Voters: 3, Heard: 1, Missing: []Silence{{Identity: "b/1", Heard: Duration(12 * time.Second)}, {Identity: "c/1", Heard: Duration(3100 * time.Millisecond)}}}
	propose := func(_ context.Context, c *wire.Change) (*wire.Result, error) {
		refuse := func(code string) (*wire.Result, error) {
			return &wire.Result{Body: &wire.Result_Refusal{Refusal: &wire.Refusal{Code: code, Faults: []*wire.Fault{{Field: "routes[0].service", Expected: "a service of the register"}}}}}, nil
		}
		switch c.GetReason() {
		case "conflict":
			return &wire.Result{Body: &wire.Result_Conflict{Conflict: &wire.Conflict{Winner: winner, Fields: []string{"service/counter.slots"}}}}, nil
		case CodeInvalid, CodeIDReused, CodeExpired, CodeMissing:
			return refuse(c.GetReason())
		case NotRun, Unknown:
			return nil, &UnavailableError{Outcome: c.GetReason(), Leader: "b"}
		case "nomajority":
			return nil, &UnavailableError{Outcome: Unknown, Err: &NoMajorityError{Hearing: missing, Err: context.DeadlineExceeded}}
		case "noleader", "leader does not confirm":
			h := missing
			h.Heard, h.Majority, h.Missing = 2, true, h.Missing[:1]
			leader := map[string]string{"leader does not confirm": "b"}[c.GetReason()]
			return nil, &UnavailableError{Outcome: Unknown, Leader: leader, Err: &UnconfirmedError{Leader: leader, Hearing: h, Err: context.DeadlineExceeded}}
		case "slow":
			return nil, fmt.Errorf("propose: %w", context.DeadlineExceeded)
		case "broken":
			return nil, faultsError{}
		}
		return &wire.Result{Body: &wire.Result_Accepted{Accepted: &wire.Accepted{Version: 42, Id: c.GetId(), Author: c.GetAuthor(), Part: "rules/main"}}}, nil
	}
	base := []Option{
		WithPropose(propose), WithPlan(propose),
		WithHistory(func(_ context.Context, _ int) ([]*wire.Accepted, error) { return []*wire.Accepted{winner}, nil }),
		WithContent(func(_ context.Context, version uint64) (uint64, *wire.Content, error) {
			if version > 42 {
				return 0, nil, &MissingError{Version: version}
			}
			return 42, &wire.Content{Sets: []*wire.RuleSet{{Set: "main", Routes: []*wire.Route{{Name: "buy", Deadline: 2000, Public: true}}}}, Customers: []*wire.Customer{
				{Name: "acme", Keys: []string{"sk-1", "sk-2"}, Priority: proto.Uint32(0), Rate: 12.5, Burst: 30}, {Name: "plain", Keys: []string{"sk-3"}},
			}}, nil
		}),
		WithLocalContent(func(context.Context, uint64) (uint64, *wire.Content, error) { return 41, &wire.Content{}, nil }),
		WithReplicas(func(_ context.Context, action, name string) (*Replicas, error) {
			if action == ActionRemove {
				return nil, MemberProblem(name, "why")
			}
			return &Replicas{Leader: action}, nil
		}),
		WithStatus(func(context.Context) (*Status, error) { return &Status{Version: 42, Age: -1}, nil }),
		WithWait(func(ctx context.Context, version uint64, report func(Progress)) error {
			report(Progress{Version: version, Nodes: 12, Current: 11, Elapsed: Duration(300 * time.Millisecond)})
			if version > 42 {
				<-ctx.Done()
				return ctx.Err()
			}
			report(Progress{Version: version, Nodes: 12, Current: 12, Done: true})
			return nil
		}),
		WithParsers(
			func([]byte) (*wire.Register, error) { return &wire.Register{}, nil },
			func(data []byte) (*wire.RuleSet, error) {
				if bytes.Contains(data, []byte("bad")) {
					return nil, faultsError{}
				}
				return &wire.RuleSet{}, nil
			},
			func(error) []*wire.Fault {
				return []*wire.Fault{{Field: "set", Expected: "a name"}, {Field: "routes[1].deadline", Expected: "1ms to 5m"}}
			}),
	}
	base = append(base, WithCustomersParser(func(data []byte) (*wire.Customers, error) {
		if bytes.Contains(data, []byte(`"sk-1","sk-1"`)) {
			return nil, faultsError{}
		}
		return &wire.Customers{}, nil
	}))
	return New(append(base, opts...)...)
}

// Guards against an answer whose code, status, outcome or advice changes, and against requests without authorization.
func TestAnswers(t *testing.T) {
	const key = "0123456789abcdef"
	change := func(reason string) string {
		return `{"id":"i","base":40,"author":"jo","reason":"` + reason + `","rules":{}}`
	}
	tests := []struct{ name, method, path, body, header, value string }{
		{"no key", "GET", "/v1/status", "", "Authorization", ""},
		{"wrong key", "GET", "/v1/status", "", "Authorization", "Bearer 0123456789abcdeg"},
		{"key as password", "GET", "/v1/status", "", "Authorization", "Basic " + key},
		{"unknown path without key", "GET", "/v2", "", "Authorization", ""},
		{"web page", "POST", "/v1/changes", change("x"), "Origin", "http://evil.example"},
		{"foreign host name", "GET", "/v1/status", "", "Host", "evil.example"},
		{"unknown path", "GET", "/v2", "", "", ""},
		{"wrong method", "GET", "/v1/changes", "", "", ""},
		{"form", "POST", "/v1/changes", change("x"), "Content-Type", "text/plain"},
		{"unknown field", "POST", "/v1/changes", `{"bse":1}`, "", ""},
		{"no id", "POST", "/v1/changes", `{"rules":{}}`, "", ""},
		{"two bodies", "POST", "/v1/changes", `{"rules":{},"revert":3}`, "", ""},
		{"control characters", "POST", "/v1/changes", change(`\u001b[2J`), "", ""},
		{"two values", "POST", "/v1/changes", change("x") + "{}", "", ""},
		{"replica change with two values", "POST", "/v1/replicas", `{"action":"remove","name":"a"}{}`, "", ""},
		{"oversize", "POST", "/v1/changes", `{"reason":"` + strings.Repeat("x", maxBodyBytes) + `"}`, "", ""},
		{"faults of a file", "POST", "/v1/plan", `{"rules":{"bad":1}}`, "", ""},
		{"faults of customers", "POST", "/v1/plan", `{"customers":{"customers":[{"name":"acme","keys":["sk-1","sk-1"]}]}}`, "", ""},
		{"rules and customers", "POST", "/v1/plan", `{"rules":{},"customers":{}}`, "", ""},
		{"customers", "POST", "/v1/plan", `{"customers":{"customers":[{"name":"acme","keys":["sk-1"]}]}}`, "", ""},
		{"conflict", "POST", "/v1/changes", change("conflict"), "", ""},
		{"invalid", "POST", "/v1/changes", change("invalid"), "", ""},
		{"reused", "POST", "/v1/changes", change("reused"), "", ""},
		{"expired", "POST", "/v1/changes", change("expired"), "", ""},
		{"missing", "POST", "/v1/changes", change("missing"), "", ""},
		{"not run", "POST", "/v1/changes", change("notrun"), "", ""},
		{"unknown", "POST", "/v1/changes", change("unknown"), "", ""},
		{"no majority", "POST", "/v1/changes", change("nomajority"), "", ""},
		{"no leader", "POST", "/v1/changes", change("noleader"), "", ""},
		{"leader does not confirm", "POST", "/v1/changes", change("leader does not confirm"), "", ""},
		{"too slow", "POST", "/v1/changes", change("slow"), "", ""},
		{"broken", "POST", "/v1/changes", change("broken"), "", ""},
		{"accepted", "POST", "/v1/changes", change("fine"), "", ""},
		{"history", "GET", "/v1/history", "", "", ""},
		{"history limit", "GET", "/v1/history?limit=1001", "", "", ""},
		{"show", "GET", "/v1/show", "", "", ""},
		{"show missing", "GET", "/v1/show?version=43", "", "", ""},
		{"show stale", "GET", "/v1/show?stale=true", "", "", ""},
		{"replicas", "GET", "/v1/replicas", "", "", ""},
		{"replica add", "POST", "/v1/replicas", `{"action":"add","name":"a"}`, "", ""},
		{"replica behind", "POST", "/v1/replicas", `{"action":"remove","name":"behind"}`, "", ""},
		{"replica members", "POST", "/v1/replicas", `{"action":"remove","name":"members"}`, "", ""},
		{"replica silent", "POST", "/v1/replicas", `{"action":"remove","name":"silent"}`, "", ""},
		{"replica foreign", "POST", "/v1/replicas", `{"action":"remove","name":"foreign"}`, "", ""},
		{"replica unknown", "POST", "/v1/replicas", `{"action":"remove","name":"noreplica"}`, "", ""},
		{"replica action", "POST", "/v1/replicas", `{"action":"list","name":"a"}`, "", ""},
		{"replica name", "POST", "/v1/replicas", `{"action":"add"}`, "", ""},
		{"wait", "GET", "/v1/wait?version=42", "", "", ""},
		{"wait timeout", "GET", "/v1/wait?version=43&timeout=1ms", "", "", ""},
		{"wait without unit", "GET", "/v1/wait?version=43&timeout=1", "", "", ""},
	}
	var out strings.Builder
	for _, tt := range tests {
		r := httptest.NewRequest(tt.method, "http://127.0.0.1:7004"+tt.path, strings.NewReader(tt.body))
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Content-Type", "application/json")
		if tt.header == "Host" {
			r.Host = tt.value
		}
		if tt.header != "" {
			r.Header.Set(tt.header, tt.value)
		}
		w := httptest.NewRecorder()
		newFakeServer(WithKey(key)).ServeHTTP(w, r)
		fmt.Fprintf(&out, "# %s\n%d %s\n%s", tt.name, w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	if *update {
		_ = os.WriteFile("testdata/answers.txt", []byte(out.String()), 0o600)
	}
	want, err := os.ReadFile("testdata/answers.txt")
	if err != nil || out.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", out.String(), want)
	}
}

// Guards against a resend with another id, a lost answer reported as not run, and an operation that fails at a dead address.
func TestResend(t *testing.T) {
	dead := func() netip.AddrPort {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		defer func() { _ = l.Close() }()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}()
	type step string // what one attempt gets: "lose" for no answer, a reason that newFakeServer knows, or "ok"
	tests := []struct {
		name    string
		steps   []step
		timeout time.Duration
		want    string
	}{
		{"answer lost", []step{"lose", "ok"}, 5 * time.Second, "version 42"},
		{"no leader, then accepted", []step{NotRun, Unknown, "broken", "ok"}, 5 * time.Second, "version 42"},
		{"conflict is final", []step{"conflict"}, 5 * time.Second, "conflict"},
		{"never a leader", []step{NotRun}, 300 * time.Millisecond, NotRun},
		{"lost once, then no leader", []step{"lose", NotRun}, 300 * time.Millisecond, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var attempts atomic.Int32
			inner := newFakeServer()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				st := tt.steps[min(int(attempts.Add(1)), len(tt.steps))-1]
				data, _ := io.ReadAll(r.Body)
				var c Change
				if json.Unmarshal(data, &c) != nil || c.ID != "same" {
					t.Errorf("got body %s, want the id of the first attempt", data)
				}
				if st == "lose" {
					panic(http.ErrAbortHandler)
				}
				r.Body = io.NopCloser(strings.NewReader(strings.Replace(string(data), "why", string(st), 1)))
				inner.ServeHTTP(w, r)
			}))
			defer s.Close()
			c := NewClient(WithAddresses(dead, netip.MustParseAddrPort(s.Listener.Addr().String())), WithTimeout(tt.timeout))
			defer c.Close()
			a, err := c.Apply(t.Context(), Change{ID: "same", Author: "jo", Reason: "why", Rules: json.RawMessage(`{}`)})
			got := ""
			if p, ok := errors.AsType[*Problem](err); ok {
				got = p.Code
			}
			if u, ok := errors.AsType[*UnreachableError](err); ok {
				got = u.Outcome
			}
			if err == nil {
				got = fmt.Sprintf("version %d", a.Version)
			}
			if got != tt.want {
				t.Errorf("got %s (%v), want %s", got, err, tt.want)
			}
		})
	}
	start := time.Now()
	_, err := NewClient(WithAddresses(dead)).Status(t.Context())
	if _, ok := errors.AsType[*UnreachableError](err); !ok || time.Since(start) > 3*time.Second {
		t.Errorf("status of a dead address: got %v after %s, want *UnreachableError within 3 s", err, time.Since(start))
	}
}
