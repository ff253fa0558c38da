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
	startTimeout = 20 * time.Second // maximum time for all nodes to start, and for one change to be in force
	callTimeout  = 5 * time.Second
	lookups      = 200 // number of fare lookups
	purchases    = 20  // number of passes bought
)

// SahyadriHosts returns the hosts of the Sahyadri deployment: 12 endpoints of three services and three of an internal one, in
// three failure domains with one control replica each.
func SahyadriHosts() []HostSpec {
	domains := []struct{ name, region string }{{"lower", "munnar"}, {"upper", "munnar"}, {"kochi", "kochi"}}
	counts := []struct {
		service string
		n       int
	}{{"archive", 5}, {"ledger", 4}, {"counter", 3}, {"checks", 3}}
	var specs []HostSpec
	for _, c := range counts {
		for i := range c.n {
			d := domains[i%len(domains)]
			specs = append(specs, HostSpec{
				Name:    fmt.Sprintf("%s%d", c.service, i+1),
				Region:  d.region,
				Domain:  d.name,
				Service: c.service,
				Replica: c.service == "counter",
			})
		}
	}
	return specs
}

// demoRun is one demonstration; its methods are the steps.
type demoRun struct {
	out  io.Writer
	mesh *Mesh
	ops  *operator.Client
	http *http.Client
}

// UnexpectedAnswerError reports an answer that the demo did not expect.
type UnexpectedAnswerError struct {
	What string // request or purchase
	Got  string // description of the answer
}

// Error names the request and the answer.
func (e *UnexpectedAnswerError) Error() string { return e.What + ": unexpected " + e.Got }

// Run starts a mesh, applies a configuration, sends calls and changes a rule, and reports each step on stdout. With keep the mesh
// continues to run until SIGINT or SIGTERM. Errors of the nodes are logged to stderr.
func Run(ctx context.Context, keep bool, stdout, stderr io.Writer) error {
	ctx, stop := process.Signals(ctx)
	defer stop()
	log := process.NewLogger(stderr, slog.LevelError)
	folder, err := os.MkdirTemp("", "godwitspindle-demo-")
	if err != nil {
		return fmt.Errorf("create the temporary data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	mesh, err := New(folder, SahyadriHosts(), log)
	if err != nil {
		return err
	}
	defer func() { _ = mesh.Close() }()
	s := &demoRun{out: stdout, mesh: mesh, ops: mesh.OperatorClient(), http: &http.Client{Timeout: callTimeout}}
	defer s.ops.Close()
	defer s.http.CloseIdleConnections()
	for _, step := range []func(context.Context) error{s.start, s.configure, s.lookUpFares, s.buyPasses, s.changeRules} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.printf("all steps passed\n")
	if keep {
		s.printAddresses()
		<-ctx.Done()
	}
	return nil
}

func (s *demoRun) printf(format string, args ...any) { _, _ = fmt.Fprintf(s.out, format, args...) }

func (s *demoRun) start(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	nodes := len(s.mesh.Hosts)
	if err := s.mesh.Await(ctx, func(h *host.Host) bool { return h.Serving() && len(h.View().Table.Nodes()) == nodes }); err != nil {
		return fmt.Errorf("wait for %d nodes: %w", nodes, err)
	}
	elapsed := time.Since(began).Round(time.Millisecond)
	s.printf("started    %d nodes in 3 failure domains, 3 of them control replicas, in %s\n", nodes, elapsed)
	return nil
}

func (s *demoRun) configure(ctx context.Context) error {
	if err := s.apply(ctx, "register", operator.Change{Reason: "first import of the asset register", Register: examples.SahyadriRegister}); err != nil {
		return err
	}
	return s.apply(ctx, "rules", operator.Change{Reason: "first rules", Rules: examples.SahyadriRules})
}

// apply proposes a change based on the newest version and waits until it is in force on every node.
func (s *demoRun) apply(ctx context.Context, what string, c operator.Change) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	h, err := s.ops.History(ctx, 1)
	if err != nil {
		return fmt.Errorf("read the newest version: %w", err)
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
	err = s.ops.Wait(ctx, a.Version, startTimeout, func(p operator.Progress) { last = p })
	if err != nil {
		return fmt.Errorf("wait for version %d: %w", a.Version, err)
	}
	s.printf("applied    %s: in force on %d of %d nodes, version %d, %s\n", what, last.Current, last.Nodes, a.Version, last.Elapsed)
	return nil
}

func (s *demoRun) lookUpFares(ctx context.Context) error {
	began := time.Now()
	for i := range lookups {
		h := s.mesh.Hosts[i%len(s.mesh.Hosts)]
		if err := s.call(ctx, h, http.MethodGet, "/fares", "", fmt.Sprintf("fare %d", i), http.StatusOK); err != nil {
			return err
		}
	}
	average := (time.Since(began) / lookups).Round(time.Microsecond)
	s.printf("called     %d fare lookups through %d nodes, each with the answer to its own request, %s a call\n", lookups, len(s.mesh.Hosts), average)
	return nil
}

// buyPasses sends each purchase through two nodes with the same idempotency key and checks that it ran once.
func (s *demoRun) buyPasses(ctx context.Context) error {
	for i := range purchases {
		key := fmt.Sprintf("pass-%d", i)
		for j := range 2 {
			h := s.mesh.Hosts[(i+j*5)%len(s.mesh.Hosts)]
			if err := s.call(ctx, h, http.MethodPost, "/passes", key, key, http.StatusOK); err != nil {
				return err
			}
		}
		if runs := s.runs(quoteKey(key)); runs != 1 {
			return &UnexpectedAnswerError{What: "purchase " + key, Got: fmt.Sprintf("%d runs", runs)}
		}
	}
	s.printf("bought     %d passes, each sent twice through different nodes, each run once\n", purchases)
	return nil
}

// quoteKey formats a key as the structured string that the IETF draft of Idempotency-Key requires.
func quoteKey(key string) string { return `"` + key + `"` }

func (s *demoRun) runs(key string) int {
	n := 0
	for _, b := range s.mesh.Backends {
		n += b.Runs(key)
	}
	return n
}

// call sends one request and checks the status of the answer and, for 200, that it belongs to the request.
func (s *demoRun) call(ctx context.Context, h *host.Host, method, path, key, body string, want int) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.Listen().Caller.String()+path, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the request: %w", err)
	}
	r.Header.Set(standin.HeaderID, body)
	if key != "" {
		r.Header.Set("Idempotency-Key", quoteKey(key))
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
		return &UnexpectedAnswerError{What: method + " " + path, Got: fmt.Sprintf("status %d: %s", p.StatusCode, answer)}
	}
	if want == http.StatusOK && (p.Header.Get(standin.HeaderID) != body || p.Header.Get(standin.HeaderSum) != standin.Sum([]byte(body))) {
		return &UnexpectedAnswerError{What: method + " " + path, Got: "answer of another request"}
	}
	return nil
}

// changeRules changes the path of a route and checks that every node serves the new path and refuses the old one.
func (s *demoRun) changeRules(ctx context.Context) error {
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
	s.printf("checked    the changed rule on each of %d nodes\n", len(s.mesh.Hosts))
	return nil
}

func (s *demoRun) printAddresses() {
	for i, h := range s.mesh.Hosts {
		l := h.Listen()
		s.printf("%-10s caller %s  metrics %s", s.mesh.specs[i].Name, l.Caller, l.Metrics)
		if l.Operator.IsValid() {
			s.printf("  operator %s", l.Operator)
		}
		s.printf("\n")
	}
	s.printf("running until interrupted\n")
}
