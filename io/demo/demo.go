package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"time"

	"godwitspindle/examples"
	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
	"godwitspindle/io/standin"
)

const (
	startTime = 20 * time.Second // for the start of all nodes, and for one change
	callTime  = 5 * time.Second
	lookups   = 200
	purchases = 20
)

// Places returns the hosts of the Sahyadri deployment: 12 endpoints and an internal service in three failure domains, with one
// replica in each.
func Places() []Place {
	domains := []struct{ name, region string }{{"lower", "munnar"}, {"upper", "munnar"}, {"kochi", "kochi"}}
	counts := []struct {
		service string
		n       int
	}{{"archive", 5}, {"ledger", 4}, {"counter", 3}, {"checks", 3}}
	var places []Place
	for _, c := range counts {
		for i := range c.n {
			d := domains[i%len(domains)]
			places = append(places, Place{
				Name:    fmt.Sprintf("%s%d", c.service, i+1),
				Region:  d.region,
				Domain:  d.name,
				Service: c.service,
				Replica: c.service == "counter",
			})
		}
	}
	return places
}

// show is one run of the demo.
type show struct {
	out  io.Writer
	mesh *Mesh
	ops  *operator.Client
	http *http.Client
}

// AnswerError reports an answer that the demo did not expect.
type AnswerError struct {
	What string
	Got  string
}

// Error says what was asked and what came.
func (e *AnswerError) Error() string { return e.What + ": unexpected " + e.Got }

// Run shows a mesh from its start to a changed rule, and ends; with keep it stays until SIGINT or SIGTERM. Errors of the nodes
// are logged to stderr.
func Run(ctx context.Context, keep bool, stdout, stderr io.Writer) error {
	ctx, stop := process.Signals(ctx)
	defer stop()
	log := process.NewLogger(stderr, slog.LevelError)
	folder, err := os.MkdirTemp("", "godwitspindle-demo-")
	if err != nil {
		return fmt.Errorf("make the data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	mesh, err := New(folder, Places(), log)
	if err != nil {
		return err
	}
	defer func() { _ = mesh.Close() }()
	s := &show{out: stdout, mesh: mesh, ops: mesh.Operators(), http: &http.Client{Timeout: callTime}}
	defer s.ops.Close()
	defer s.http.CloseIdleConnections()
	for _, step := range []func(context.Context) error{s.start, s.configure, s.lookup, s.buy, s.change} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.say("all steps passed\n")
	if keep {
		s.addresses()
		<-ctx.Done()
	}
	return nil
}

func (s *show) say(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

func (s *show) start(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	nodes := len(s.mesh.Hosts)
	if err := s.mesh.Await(ctx, func(h *host.Host) bool { return h.Serving() && len(h.View().Table.Nodes()) == nodes }); err != nil {
		return fmt.Errorf("wait for %d nodes: %w", nodes, err)
	}
	took := time.Since(began).Round(time.Millisecond)
	s.say("started    %d nodes in 3 failure domains, 3 of them control replicas, in %s\n", nodes, took)
	return nil
}

func (s *show) configure(ctx context.Context) error {
	if err := s.apply(ctx, "register", operator.Change{Reason: "first import of the asset register", Register: examples.SahyadriRegister}); err != nil {
		return err
	}
	return s.apply(ctx, "rules", operator.Change{Reason: "first rules", Rules: examples.SahyadriRules})
}

// apply proposes a change on top of the newest one and waits until it is in force on every node.
func (s *show) apply(ctx context.Context, what string, c operator.Change) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	h, err := s.ops.History(ctx, 1)
	if err != nil {
		return fmt.Errorf("read the base: %w", err)
	}
	if n := len(h.Changes); n > 0 {
		c.Base = h.Changes[n-1].Version
	}
	c.ID, c.Author = fmt.Sprintf("demo-%s-%d", what, c.Base), "demo"
	a, err := s.ops.Apply(ctx, c)
	if err != nil {
		return fmt.Errorf("apply %s: %w", what, err)
	}
	var last operator.Progress
	err = s.ops.Wait(ctx, a.Version, startTime, func(p operator.Progress) { last = p })
	if err != nil {
		return fmt.Errorf("wait for version %d: %w", a.Version, err)
	}
	s.say("applied    %s: in force on %d of %d nodes, version %d, %s\n", what, last.Current, last.Nodes, a.Version, last.Elapsed)
	return nil
}

func (s *show) lookup(ctx context.Context) error {
	began := time.Now()
	for i := range lookups {
		h := s.mesh.Hosts[i%len(s.mesh.Hosts)]
		if err := s.call(ctx, h, http.MethodGet, "/fares", "", fmt.Sprintf("fare %d", i), http.StatusOK); err != nil {
			return err
		}
	}
	each := (time.Since(began) / lookups).Round(time.Microsecond)
	s.say("called     %d fare lookups through %d nodes, each with its own whole answer, %s a call\n", lookups, len(s.mesh.Hosts), each)
	return nil
}

// buy sends each purchase twice, through two nodes, and checks that it ran once.
func (s *show) buy(ctx context.Context) error {
	for i := range purchases {
		key := fmt.Sprintf("pass-%d", i)
		for j := range 2 {
			h := s.mesh.Hosts[(i+j*5)%len(s.mesh.Hosts)]
			if err := s.call(ctx, h, http.MethodPost, "/passes", key, key, http.StatusOK); err != nil {
				return err
			}
		}
		if runs := s.runs(quoted(key)); runs != 1 {
			return &AnswerError{What: "purchase " + key, Got: fmt.Sprintf("%d runs", runs)}
		}
	}
	s.say("bought     %d passes, each sent twice through different nodes, each run once\n", purchases)
	return nil
}

// quoted writes a key as the structured string that the IETF draft of Idempotency-Key asks for.
func quoted(key string) string { return `"` + key + `"` }

func (s *show) runs(key string) int {
	n := 0
	for _, b := range s.mesh.Backends {
		n += b.Runs(key)
	}
	return n
}

// call sends one request and checks that the answer is whole and belongs to it.
func (s *show) call(ctx context.Context, h *host.Host, method, path, key, body string, want int) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.Listen().Caller.String()+path, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("make a request: %w", err)
	}
	r.Header.Set(standin.HeaderID, body)
	if key != "" {
		r.Header.Set("Idempotency-Key", quoted(key))
	}
	p, err := s.http.Do(r)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = p.Body.Close() }()
	answer, err := io.ReadAll(p.Body)
	if err != nil {
		return fmt.Errorf("read the answer of %s %s: %w", method, path, err)
	}
	if p.StatusCode != want {
		return &AnswerError{What: method + " " + path, Got: fmt.Sprintf("status %d: %s", p.StatusCode, answer)}
	}
	if want == http.StatusOK && (p.Header.Get(standin.HeaderID) != body || p.Header.Get(standin.HeaderSum) != standin.Sum([]byte(body))) {
		return &AnswerError{What: method + " " + path, Got: "answer of another request"}
	}
	return nil
}

// change renames a path by a rule and checks that every node follows it.
func (s *show) change(ctx context.Context) error {
	rules := bytes.ReplaceAll(examples.SahyadriRules, []byte(`"/fares"`), []byte(`"/tariffs"`))
	if err := s.apply(ctx, "changed rule", operator.Change{Reason: "fares move to /tariffs", Rules: json.RawMessage(rules)}); err != nil {
		return err
	}
	for _, h := range s.mesh.Hosts {
		if err := s.call(ctx, h, http.MethodGet, "/tariffs", "", "tariff", http.StatusOK); err != nil {
			return err
		}
		if err := s.call(ctx, h, http.MethodGet, "/fares", "", "fare", http.StatusNotFound); err != nil {
			return err
		}
	}
	s.say("checked    the changed rule on each of %d nodes\n", len(s.mesh.Hosts))
	return nil
}

func (s *show) addresses() {
	for i, h := range s.mesh.Hosts {
		l := h.Listen()
		s.say("%-10s caller %s  metrics %s", s.mesh.places[i].Name, l.Caller, l.Metrics)
		if l.Operator.IsValid() {
			s.say("  operator %s", l.Operator)
		}
		s.say("\n")
	}
	s.say("running until interrupted\n")
}
