package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"godwitspindle/examples"
	"godwitspindle/io/operator"
	"godwitspindle/io/standin"
)

// nodeProcess is a node that runs as its own process; its backend server runs in the test process.
type nodeProcess struct {
	file    string
	listen  map[string]string
	command *exec.Cmd
}

func (p *nodeProcess) start(t *testing.T, binary string) {
	t.Helper()
	p.command = exec.Command(binary, "node", p.file)
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
}

// writeSettings writes the settings files and creates the data folders of three replicas.
func writeSettings(t *testing.T, folder string) []*nodeProcess {
	t.Helper()
	list := make([]*nodeProcess, 3)
	listeners := []string{"caller", "local", "backend", "peer", "operator", "metrics"}
	addresses, err := freeAddresses(len(list) * len(listeners))
	if err != nil {
		t.Fatal(err)
	}
	var replicas []map[string]string
	for i := range list {
		list[i] = &nodeProcess{file: filepath.Join(folder, fmt.Sprintf("n%d.json", i)), listen: map[string]string{}}
		for j, k := range listeners {
			list[i].listen[k] = addresses[i*len(listeners)+j].String()
		}
		replicas = append(replicas, map[string]string{"name": fmt.Sprint("n", i), "address": list[i].listen["peer"]})
	}
	for i, p := range list {
		data, _ := json.Marshal(map[string]any{
			"name": fmt.Sprint("n", i), "region": "munnar", "domain": []string{"lower", "upper", "kochi"}[i],
			"data": filepath.Join(folder, fmt.Sprint("n", i)), "replicas": replicas, "listen": p.listen,
		})
		if err := os.WriteFile(p.file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Mkdir(filepath.Join(folder, fmt.Sprint("n", i)), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return list
}

// startProcesses starts three nodes with a backend server each.
func startProcesses(t *testing.T, folder, binary string) ([]*nodeProcess, *watchedMesh) {
	t.Helper()
	nodes := writeSettings(t, folder)
	r := &watchedMesh{T: t, Mesh: &Mesh{}}
	var operators []netip.AddrPort
	for i, p := range nodes {
		p.start(t, binary)
		t.Cleanup(func() {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		})
		b, err := standin.New(standin.WithNode(netip.MustParseAddrPort(p.listen["backend"])), standin.WithEndpoint("counter", fmt.Sprint("n", i)), standin.WithLatency(10*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = b.Close() })
		r.Backends = append(r.Backends, b)
		operators = append(operators, netip.MustParseAddrPort(p.listen["operator"]))
	}
	r.ops = operator.NewClient(operator.WithAddresses(operators...))
	t.Cleanup(r.ops.Close)
	return nodes, r
}

// Guards against errors of real processes: a restarted node must get the newest version after a kill, and a node that gets SIGTERM
// under load must fail no call and exit with status 0.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	t.Parallel()
	folder := t.TempDir()
	binary := filepath.Join(folder, "godwitspindle")
	if out, err := exec.Command("go", "build", "-o", binary, "godwitspindle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	nodes, r := startProcesses(t, folder, binary)
	awaitNodes(r, 3)
	r.apply(operator.Change{ID: "register", Register: examples.SahyadriRegister})
	r.apply(operator.Change{ID: "rules", Rules: examples.SahyadriRules})
	if err := nodes[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = nodes[0].command.Wait()
	r.apply(priorityChange(1))
	nodes[0].start(t, binary)
	began := time.Now()
	awaitCompleteAnswer(t, nodes[0].listen["caller"])
	if err := r.ops.Wait(context.Background(), r.version, 10*time.Second, func(operator.Progress) {}); err != nil {
		t.Errorf("change made while a node was down: got %v, want in force", err)
	}
	t.Logf("the killed node served the newest version %s after its restart", time.Since(began))
	l := r.startLoad(6, func() []string {
		return []string{nodes[0].listen["caller"], nodes[1].listen["caller"], nodes[2].listen["caller"]}
	})
	time.Sleep(500 * time.Millisecond)
	if err := nodes[1].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	if err := nodes[1].command.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: got %v, want status 0", err)
	}
	t.Logf("stopped in %s", time.Since(began))
	time.Sleep(300 * time.Millisecond)
	r.stopLoad(l)
}

// awaitNodes waits until an operator listener reports n nodes.
func awaitNodes(r *watchedMesh, n int) {
	r.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		s, err := r.ops.Status(context.Background())
		if err == nil && s.Nodes == n {
			return
		}
	}
	r.Fatalf("nodes in the status: got another number, want %d within 10s", n)
}

// awaitCompleteAnswer waits until a call to the caller listener gets a complete answer.
func awaitCompleteAnswer(t *testing.T, address string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if send(http.DefaultClient, address, http.MethodGet, "/fares", "").complete {
			return
		}
	}
	t.Fatalf("calls at %s: got no complete answer, want one within 10s", address)
}
