package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the binary that the build of the deploy file makes.
const program = "target/godwitspindle"

// Bounds of the settings; they are those of the small sites.
const (
	beatInterval = 1500 * time.Millisecond
	contact      = 3 * time.Second
	drainBound   = 2 * time.Second
	zones        = "z1,z2,z3"
)

// ports are the same on all machines.
type ports struct{ inbound, outbound, ready, admin, app, inner int }

// world is one small deployment.
type world struct {
	trouble bool
	began   time.Time
	folder  string
	net     string // first three bytes of all addresses
	ports   ports
	cores   []*machine
	sides   []*machine
	seeds   []string

	mu     sync.Mutex
	file   *os.File
	cancel func()
}

// machine is one host with its process.
type machine struct {
	w       *world
	name    string
	ip      string
	zone    string
	service string // service of the endpoint beside it; empty on a core machine
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
	starts  int
}

func newWorld(record string, trouble bool) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	folder, err := os.MkdirTemp("", "bed-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, began: time.Now(), folder: folder, file: file}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	w.cancel = cancel
	go func() {
		<-ctx.Done()
		w.close()
		os.Exit(notPlayed)
	}()
	w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	if err := w.findPorts(); err != nil {
		return nil, err
	}
	w.note("trouble: %v; addresses %s.x, ports %+v", trouble, w.net, w.ports)
	return w, nil
}

// findPorts finds ports that are free on the addresses of the deployment.
func (w *world) findPorts() error {
	var list []int
	for len(list) < 6 {
		l, err := net.Listen("tcp", w.net+".1:0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	w.ports = ports{inbound: list[0], outbound: list[1], ready: list[2], admin: list[3], app: list[4], inner: list[5]}
	return nil
}

// note writes one line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.file, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(w.began).Seconds()) }

// addMachines makes the machines; services holds one service for each sidecar.
func (w *world) addMachines(cores int, services ...string) {
	names := strings.Split(zones, ",")
	add := func(list *[]*machine, class, service string, i int) {
		n := len(w.cores) + len(w.sides) + 10
		*list = append(*list, &machine{
			w: w, name: fmt.Sprintf("%s-%d", class, i+1), ip: fmt.Sprintf("%s.%d", w.net, n), zone: names[i%len(names)], service: service,
		})
	}
	for i := range cores {
		add(&w.cores, "core", "", i)
	}
	for i, s := range services {
		add(&w.sides, "sidecar", s, i)
	}
	for _, m := range w.cores[:3] {
		w.seeds = append(w.seeds, fmt.Sprintf("%q", m.address(w.ports.admin)))
	}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of the machine's process.
func (m *machine) settings() string {
	w, b := m.w, &strings.Builder{}
	p := func(format string, args ...any) { fmt.Fprintf(b, format+"\n", args...) }
	class, serves, data := "sidecar", "sidecar", ""
	if m.service == "" {
		class, serves, data = "core", "control_plane", filepath.Join(w.folder, m.name)
	}
	p("[self]\nnodeId = %q\nrole = %q\ninstanceClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"r\"", m.name, class, class, serves, m.ip, m.zone)
	p("includeInTolerance = %v\nbootstrap = %v", m.service == "", m.starts == 0)
	if data != "" {
		p("dataDir = %q", data)
	} else {
		p("localApp = %q\nservice = %q", m.address(w.ports.app), m.service)
	}
	p("[self.limits]\ncpuShare = 0.48\ncpus = 1\nmemoryMb = 284\nmaxFds = 4100\nbandwidthMbps = 1000.0\ndiskMb = 256")
	p("[network]\ninternalPorts = [%d,%d]\nseeds = [%s]", w.ports.inner, w.ports.inner, strings.Join(w.seeds, ","))
	p("[network.listenAddrs]\nadmin = %q", m.address(w.ports.admin))
	if m.service != "" {
		p("inbound = %q\noutbound = %q\nready = %q", m.address(w.ports.inbound), m.address(w.ports.outbound), m.address(w.ports.ready))
	}
	p("[network.zones]\nz1 = \"r\"\nz2 = \"r\"\nz3 = \"r\"\n[provider]\ndiscovery = \"static\"\nentry = \"static\"\nheartbeat = \"%dms\"", beatInterval.Milliseconds())
	p("[guarantees]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\"]")
	p("[guarantees.faultTolerance]\nmachines = %d\nzones = 0\nregions = 0", (len(w.cores)-1)/2)
	p("[guarantees.bounds]\nseedLag = \"3s\"\nreuseAfter = \"2s\"\ncontact = \"3000ms\"\nack = \"4000ms\"\ncatchUp = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"")
	p("lossSlack = \"200ms\"\nconfigApply = \"2000ms\"\nrollbackSlack = \"250ms\"\nmaxStretch = \"5000ms\"\nretryBudgetRatio = 0.2")
	p("budgetWindow = \"10s\"\nretryBudgetSlack = 62\nrecovery = \"15s\"")
	return b.String()
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := filepath.Join(m.w.folder, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "platform")
	cmd.Env = append(os.Environ(), "GODWITSPINDLE_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	ended := make(chan struct{})
	m.cmd, m.ended, m.started = cmd, ended, time.Now()
	m.starts++
	m.w.note("%s: process %d started", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		m.w.note("%s: process %d ended: %v", m.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return
	default:
	}
	m.w.note("%s: signal %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// restart kills the machine's process and starts it again after a pause.
func (m *machine) restart(pause time.Duration) error {
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(pause)
	return m.start()
}

// startAll starts all processes.
func (w *world) startAll() error {
	for _, m := range append(append([]*machine{}, w.cores...), w.sides...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all sidecars answer their readiness question with 200.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range w.sides {
		for !m.ready() {
			if time.Now().After(end) {
				return errors.New(m.name + " is not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all sidecars are ready")
	return nil
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.address(m.w.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, m := range append(append([]*machine{}, w.cores...), w.sides...) {
		if m.cmd == nil {
			continue
		}
		m.mu.Lock()
		_ = m.cmd.Process.Kill()
		ended := m.ended
		m.mu.Unlock()
		<-ended
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.folder, keep)
	}
	_ = os.RemoveAll(w.folder)
	_ = w.file.Sync()
}
