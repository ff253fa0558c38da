package demo

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"godwitspindle/io/operator"
	"godwitspindle/io/standin"
)

// Flags of the soak: by hand, go test ./io/demo -run TestSoak -soak.seeds 50 -soak.length 20s -timeout 1h.
var (
	soakSeeds  = flag.Int("soak.seeds", 1, "number of seeds")
	soakFirst  = flag.Uint64("soak.first", 1, "first seed; 0 for fresh ones")
	soakLength = flag.Duration("soak.length", 6*time.Second, "time with faults for each seed")
)

// soakFailed are seeds that failed once, with the cause; each soak plays them first.
var soakFailed = []struct {
	seed  uint64
	cause string
}{}

const (
	soakReplicas = 3
	soakNodes    = 6 // processes; the first are replicas
	soakCallers  = 8
	soakHeal     = 30 * time.Second // until everything works again after the last fault
	soakTimeout  = 4 * time.Second  // of one attempt of a caller
	soakHistory  = 1000             // changes
	soakLost     = 9                // one in so many answers is lost by its backend server
)

// soak is a mesh of real processes whose links lead through proxies, with what callers and operators were told.
type soak struct {
	*testing.T
	random *rand.Rand
	binary string
	nodes  []*program
	peers  map[[2]int]*proxy // links between processes
	doors  []*proxy          // links from callers
	rig    *rig

	control [soakNodes]sync.Mutex // of each process, with running
	running [soakNodes]bool

	mu     sync.Mutex
	acked  map[string]uint64 // versions of acknowledged changes by id
	newest atomic.Uint64     // highest acknowledged version
	keys   map[string]*told
}

// told is what the caller of a keyed request was told.
type told struct {
	idempotent              bool
	whole, refused, unknown int
}

// TestSoak checks the promises to callers and operators while processes are killed, paused, stopped and restarted and links are
// delayed, reset, silenced or cut one way, by a seed. Guards R1, R4, R5, R6 and R9, and the return to service afterwards.
// Clocks and disks misbehave in core/agreement, io/disk and on the users' bench; a process has no seam for them from outside.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	binary := filepath.Join(t.TempDir(), "godwitspindle")
	if out, err := exec.Command("go", "build", "-o", binary, "godwitspindle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	var seeds []uint64
	for _, f := range soakFailed {
		seeds = append(seeds, f.seed)
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		if *soakFirst == 0 {
			seed = rand.Uint64() >> 32
		}
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed, binary).play(*soakLength) })
	}
}

func newSoak(t *testing.T, seed uint64, binary string) *soak {
	t.Helper()
	s := &soak{
		T: t, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, peers: map[[2]int]*proxy{},
		acked: map[string]uint64{}, keys: map[string]*told{}, rig: &rig{T: t, Mesh: &Mesh{}},
	}
	s.configure(t.TempDir())
	var operators []netip.AddrPort
	for i, p := range s.nodes {
		s.start(i)
		t.Cleanup(func() { s.end(i, syscall.SIGKILL) })
		b, err := standin.New(standin.WithNode(netip.MustParseAddrPort(p.listen["backend"])), standin.WithEndpoint("counter", fmt.Sprint("n", i)),
			standin.WithLatency(10*time.Millisecond), standin.WithRestart(300*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = b.Close() })
		s.rig.Backends = append(s.rig.Backends, b)
		operators = append(operators, netip.MustParseAddrPort(p.listen["operator"]))
	}
	s.rig.ops = operator.NewClient(operator.WithAddresses(operators[:soakReplicas]...))
	t.Cleanup(s.rig.ops.Close)
	awaitNodes(s.rig, soakNodes)
	s.rig.apply(operator.Change{ID: "register", Register: json.RawMessage(testRegister)})
	s.rig.apply(operator.Change{ID: "rules", Rules: json.RawMessage(testRules)})
	for _, p := range s.doors {
		awaitWhole(t, p.address())
	}
	return s
}

// configure writes the settings; each process reaches each replica through a proxy of its own.
func (s *soak) configure(folder string) {
	listeners := []string{"caller", "local", "backend", "peer", "operator", "metrics"}
	addresses, err := freeAddresses(soakNodes * len(listeners))
	if err != nil {
		s.Fatal(err)
	}
	for i := range soakNodes {
		p := &program{file: filepath.Join(folder, fmt.Sprintf("n%d.json", i)), listen: map[string]string{}}
		for j, k := range listeners {
			p.listen[k] = addresses[i*len(listeners)+j].String()
		}
		s.nodes = append(s.nodes, p)
		s.doors = append(s.doors, newProxy(s.T, p.listen["caller"]))
	}
	for i, p := range s.nodes {
		var replicas []map[string]string
		for j := range soakReplicas {
			address := s.nodes[j].listen["peer"]
			if i != j {
				s.peers[[2]int{i, j}] = newProxy(s.T, address)
				address = s.peers[[2]int{i, j}].address()
			}
			replicas = append(replicas, map[string]string{"name": fmt.Sprint("n", j), "address": address})
		}
		settings := map[string]any{
			"name": fmt.Sprint("n", i), "region": "munnar", "domain": []string{"lower", "upper", "kochi"}[i%3], "replicas": replicas, "listen": p.listen,
		}
		if i < soakReplicas {
			data := filepath.Join(folder, fmt.Sprint("n", i))
			settings["data"] = data
			if err := os.Mkdir(data, 0o700); err != nil {
				s.Fatal(err)
			}
		}
		data, err := json.Marshal(settings)
		if err != nil {
			s.Fatal(err)
		}
		if err := os.WriteFile(p.file, data, 0o600); err != nil {
			s.Fatal(err)
		}
	}
}

func (s *soak) start(i int) {
	s.control[i].Lock()
	defer s.control[i].Unlock()
	if !s.running[i] {
		s.nodes[i].start(s.T, s.binary)
		s.running[i] = true
	}
}

// end ends a process and waits for it; a paused one goes on first.
func (s *soak) end(i int, sig syscall.Signal) {
	s.control[i].Lock()
	defer s.control[i].Unlock()
	if s.running[i] {
		_ = s.nodes[i].command.Process.Signal(sig)
		_ = s.nodes[i].command.Process.Signal(syscall.SIGCONT)
		_ = s.nodes[i].command.Wait()
		s.running[i] = false
	}
}

func (s *soak) signal(i int, sig syscall.Signal) {
	s.control[i].Lock()
	defer s.control[i].Unlock()
	if s.running[i] {
		_ = s.nodes[i].command.Process.Signal(sig)
	}
}

// process returns the id of a process, or 0 while it does not run.
func (s *soak) process(i int) int {
	s.control[i].Lock()
	defer s.control[i].Unlock()
	if !s.running[i] {
		return 0
	}
	return s.nodes[i].command.Process.Pid
}

// play runs callers, operators and watchers beside the faults, heals everything and checks what was promised.
func (s *soak) play(length time.Duration) {
	ctx, stop := context.WithCancel(context.Background())
	var work, faults sync.WaitGroup
	for i := range soakCallers {
		work.Go(func() { s.call(ctx, i) })
	}
	work.Go(func() { s.operate(ctx) })
	work.Go(func() { s.read(ctx) })
	for i := range soakNodes {
		work.Go(func() { s.watch(ctx, i) })
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		f, lasts := s.draw()
		faults.Go(func() { f(lasts) })
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
	}
	faults.Wait()
	s.heal()
	stop()
	work.Wait()
	s.check()
}

// draw returns the next fault of the seed and how long it lasts; it ends by itself.
func (s *soak) draw() (run func(lasts time.Duration), lasts time.Duration) {
	i, j := s.random.IntN(soakNodes), s.random.IntN(soakReplicas)
	lasts = time.Duration(200+s.random.IntN(2000)) * time.Millisecond
	f := []fault{
		{delay: 50 * time.Millisecond},
		{forward: true},
		{back: true},
		{forward: true, back: true},
		{reset: true},
	}[s.random.IntN(5)]
	switch s.random.IntN(8) {
	case 0:
		return func(d time.Duration) { s.end(i, syscall.SIGKILL); time.Sleep(d); s.start(i) }, lasts
	case 1:
		return func(time.Duration) { s.end(i, syscall.SIGTERM); s.start(i) }, lasts
	case 2:
		return func(d time.Duration) { s.signal(i, syscall.SIGSTOP); time.Sleep(d); s.signal(i, syscall.SIGCONT) }, lasts
	case 3:
		return func(time.Duration) { s.rig.Backends[i].Crash() }, 0
	case 4:
		return func(d time.Duration) { s.doors[i].set(f); time.Sleep(d); s.doors[i].set(fault{}) }, lasts
	case 5: // a replica is cut off from all others, in the ways that the fault says
		return func(d time.Duration) { s.isolate(j, f); time.Sleep(d); s.isolate(j, fault{}) }, lasts
	case 6: // all replicas at once
		return func(d time.Duration) {
			for k := range soakReplicas {
				s.end(k, syscall.SIGKILL)
			}
			time.Sleep(d / 4)
			for k := range soakReplicas {
				s.start(k)
			}
		}, lasts
	}
	return func(d time.Duration) {
		if p := s.peers[[2]int{i, j}]; p != nil {
			p.set(f)
			time.Sleep(d)
			p.set(fault{})
		}
	}, lasts
}

func (s *soak) isolate(j int, f fault) {
	for k, p := range s.peers {
		if k[0] == j || k[1] == j {
			p.set(f)
		}
	}
}

// lostAnswers makes backend servers lose the answers of some requests that they have run.
type lostAnswers struct {
	next  *http.Transport
	count int
}

// RoundTrip sends a request; only one goroutine uses it.
func (l *lostAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.count++; l.count%soakLost == 0 {
		r.Header.Set(standin.HeaderFault, standin.FaultReset)
	}
	return l.next.RoundTrip(r)
}

// CloseIdleConnections closes the connections that are kept.
func (l *lostAnswers) CloseIdleConnections() { l.next.CloseIdleConnections() }

// call sends keyed purchases and lookups through the nodes in turn until ctx ends, over connections that it keeps.
func (s *soak) call(ctx context.Context, n int) {
	c := &http.Client{Transport: &lostAnswers{next: &http.Transport{MaxIdleConnsPerHost: 2}}, Timeout: soakTimeout}
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		if i%2 == 0 {
			s.ask(c, n+i, http.MethodGet, "/fares", fmt.Sprintf("f%d-%d", n, i), 1)
		} else {
			s.ask(c, n+i, http.MethodPost, "/passes", fmt.Sprintf("k%d-%d", n, i), 1+i%3) // some callers never send a request again
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends one request until it gets a whole answer or its tries are used, and notes what the caller was told.
func (s *soak) ask(c *http.Client, door int, method, path, key string, tries int) {
	w := &told{idempotent: method == http.MethodGet}
	for try := range tries {
		a := send(c, s.doors[(door+try)%soakNodes].address(), method, path, key)
		if a.err == nil && a.status == http.StatusOK && !a.whole {
			s.Errorf("%s: got a success that is not the whole answer to its request: %+v", key, a)
		}
		switch {
		case a.whole && a.status == http.StatusOK:
			w.whole++
		case a.err == nil && a.outcome == operator.NotRun:
			w.refused++
		default:
			w.unknown++
		}
		if w.whole > 0 {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key] = w
}

// operate makes one change after the other; one without a clear answer is sent again unchanged.
func (s *soak) operate(ctx context.Context) {
	base := s.rig.version
	for n := 1; ctx.Err() == nil; n++ {
		rules := strings.Replace(testRules, `"priority":2`, fmt.Sprintf(`"priority":%d`, 1+n%5), 1)
		c := operator.Change{ID: fmt.Sprint("edit-", n), Rules: json.RawMessage(rules), Base: base, Author: "soak", Reason: "soak"}
		for {
			a, err := s.apply(c)
			if err == nil {
				s.mu.Lock()
				s.acked[c.ID] = a.Version
				s.mu.Unlock()
				s.newest.Store(max(s.newest.Load(), a.Version))
				base = a.Version
				break
			}
			var p *operator.Problem
			if errors.As(err, &p) && p.Status >= 400 && p.Status < 500 {
				s.Errorf("change %s on version %d: got %v, want an acknowledgement", c.ID, base, err)
				return
			}
			if ctx.Err() != nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *soak) apply(c operator.Change) (*operator.Accepted, error) {
	ctx, cancel := context.WithTimeout(context.Background(), soakTimeout)
	defer cancel()
	return s.rig.ops.Apply(ctx, c)
}

// read checks that a configuration that is shown as current is not older than what was acknowledged before the question.
func (s *soak) read(ctx context.Context) {
	for ctx.Err() == nil {
		newest := s.newest.Load()
		asked, cancel := context.WithTimeout(ctx, soakTimeout)
		c, err := s.rig.ops.Show(asked, 0, false)
		cancel()
		if err == nil && c.Version < newest {
			s.Errorf("shown as current: got version %d, want at least %d", c.Version, newest)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// watch checks that a process never goes back to an older version.
func (s *soak) watch(ctx context.Context, i int) {
	c := &http.Client{Timeout: time.Second}
	held, process := 0.0, 0
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		now := s.process(i)
		v, ok := gauge(c, s.nodes[i].listen["metrics"], "godwitspindle_snapshot_version")
		if !ok || now == 0 || s.process(i) != now {
			continue
		}
		if process == now && v < held {
			s.Errorf("n%d went back: got version %v, want at least %v", i, v, held)
		}
		held, process = v, now
	}
}

func gauge(c *http.Client, address, name string) (float64, bool) {
	p, err := c.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = p.Body.Close() }()
	text, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			return v, err == nil
		}
	}
	return 0, false
}

// heal ends all faults and waits until every node serves again and the newest change is in force.
func (s *soak) heal() {
	for _, p := range s.peers {
		p.set(fault{})
	}
	for i, p := range s.doors {
		p.set(fault{})
		s.signal(i, syscall.SIGCONT)
		s.start(i)
	}
	began := time.Now()
	for i, p := range s.doors {
		c := &http.Client{Timeout: soakTimeout}
		for !send(c, p.address(), http.MethodGet, "/fares", "").whole {
			if time.Since(began) > soakHeal {
				s.Errorf("n%d: got no whole answer, want one within %s of the last fault", i, soakHeal)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err := s.rig.ops.Wait(context.Background(), s.newest.Load(), soakHeal, func(operator.Progress) {}); err != nil {
		s.Errorf("version %d after the last fault: got %v, want it in force", s.newest.Load(), err)
	}
	s.Logf("all nodes serve %s after the last fault", time.Since(began))
}

// check compares what callers and operators were told with what ran and what is kept.
func (s *soak) check() {
	runs := func(key string) int {
		n := 0
		for _, b := range s.rig.Backends {
			n += b.Runs(quoted(key))
		}
		return n
	}
	whole, refused, unknown := 0, 0, 0
	for key, w := range s.keys {
		n := runs(key)
		switch {
		case n > 1 && !w.idempotent:
			s.Errorf("%s: got %d runs, want at most 1 (%+v)", key, n, *w)
		case w.whole > 0 && n == 0:
			s.Errorf("%s: got a whole answer and no run", key)
		case w.whole == 0 && w.unknown == 0 && n != 0:
			s.Errorf("%s: got only refusals as not run and %d runs, want none", key, n)
		}
		whole, refused, unknown = whole+w.whole, refused+w.refused, unknown+w.unknown
	}
	h, err := s.rig.ops.History(context.Background(), soakHistory)
	if err != nil {
		s.Fatal(err)
	}
	kept := map[string]uint64{}
	for _, c := range h.Changes {
		kept[c.ID] = c.Version
	}
	for id, v := range s.acked {
		if kept[id] != v {
			s.Errorf("change %s, acknowledged as version %d: got version %d in the history", id, v, kept[id])
		}
	}
	if whole == 0 || len(s.acked) == 0 {
		s.Errorf("got %d whole answers and %d changes, want some", whole, len(s.acked))
	}
	s.Logf("%d whole answers, %d refused, %d unknown, %d changes", whole, refused, unknown, len(s.acked))
}
