package demo

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// seededMesh is a group of replicas that find each other through seeds.
type seededMesh struct {
	*testing.T
	folder string
	port   uint16 // of all peer listeners
	hosts  map[string]*host.Host
	mu     sync.Mutex
	lines  []string // log lines of all hosts
}

// startSeeded starts three replicas that found a group which bears one loss.
func startSeeded(t *testing.T) *seededMesh {
	m := &seededMesh{T: t, folder: t.TempDir(), hosts: map[string]*host.Host{}}
	free, err := freeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	m.port = free[0].Port()
	t.Cleanup(func() {
		for _, h := range m.hosts {
			_ = h.Close()
		}
	})
	for i := range 3 {
		m.start(i+1, true)
	}
	return m
}

func seededAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 77, byte(i)}) }

// start starts replica i; founds is whether it is one of the founders.
func (m *seededMesh) start(i int, founds bool) {
	m.Helper()
	s := process.Default()
	s.Name, s.Region, s.Domain = seededAddress(i).String(), "munnar", "d"+strconv.Itoa(i)
	s.Data = m.folder + "/" + s.Name
	s.Listen = process.Listen{Peer: netip.AddrPortFrom(seededAddress(i), m.port), Operator: loopback(0), Metrics: loopback(0)}
	s.Seeds = process.Seeds{Found: founds, Replica: true, Losses: 1, CatchUp: 3 * time.Second}
	for j := range 3 {
		s.Seeds.Peers = append(s.Seeds.Peers, netip.AddrPortFrom(seededAddress(j+1), m.port))
	}
	h, err := host.New(s, m.logger())
	if err != nil {
		m.Fatal(err)
	}
	m.hosts[s.Name] = h
}

func (m *seededMesh) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lines = append(m.lines, line)
	}, funcr.Options{})
}

// logged returns how many lines have all the parts.
func (m *seededMesh) logged(parts ...string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, l := range m.lines {
		found := true
		for _, p := range parts {
			found = found && strings.Contains(l, p)
		}
		if found {
			n++
		}
	}
	return n
}

// health returns what the leader tells of the group, or an empty value without a leader.
func (m *seededMesh) health() operator.Health {
	var addresses []netip.AddrPort
	for _, h := range m.hosts {
		addresses = append(addresses, h.Listen().Operator)
	}
	c := operator.NewClient(operator.WithAddresses(addresses...))
	defer c.Close()
	ctx, stop := context.WithTimeout(m.Context(), answeredWithin)
	defer stop()
	st, err := c.Status(ctx)
	if err != nil || st.Health == nil {
		return operator.Health{}
	}
	return *st.Health
}

// Guards against a group found through seeds whose status, metrics and log do not tell that its next loss stops it, or what a spare
// replica waits for, when the leader's host is lost.
func TestHealthWithSeeds(t *testing.T) {
	takeMeshSlot(t)
	m := startSeeded(t)
	eventually(t, 20*time.Second, "three voters", func() bool { return m.health().Answering == 3 })
	lost := ""
	for name, h := range m.hosts {
		if h.Leads() {
			lost = name
		}
	}
	if err := m.hosts[lost].Close(); err != nil {
		t.Fatal(err)
	}
	delete(m.hosts, lost)
	eventually(t, 10*time.Second, "the lost leader in the status of the next one", func() bool {
		h := m.health()
		return h.Answering == 2 && h.Losses == 0 && h.Promised == 1 && len(h.Unheard) == 1 && strings.HasPrefix(h.Unheard[0].Identity, lost+"/")
	})
	eventually(t, 5*time.Second, "a line about the lost leader", func() bool {
		return m.logged(`"msg"="voters"`, `"unheard"="`+lost+`/`, `"losses"=0 "promised"=1`) == 1
	})
	m.start(4, false)
	eventually(t, 10*time.Second, "the replacement of the lost leader", func() bool {
		h := m.health()
		return h.Answering == 3 && h.Losses == 1 && len(h.Waits) == 0
	})
	m.start(5, false)
	eventually(t, 10*time.Second, "a spare replica that waits", func() bool {
		h := m.health()
		return h.Losses == 1 && len(h.Waits) == 1 && h.Waits[0].Cause == "no voter is silent for long enough"
	})
	eventually(t, 5*time.Second, "a line about the spare replica", func() bool {
		return m.logged(`"msg"="learner waits"`, seededAddress(5).String(), "no voter is silent for long enough") == 1
	})
}
