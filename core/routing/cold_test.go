package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/config"
	"godwitspindle/core/routing"
)

// simulation runs two nodes against endpoints with admission gates, on a simulated clock.
type simulation struct {
	pickers     []*routing.Picker
	gates       map[string]*admission.Gate // by key of the endpoint
	completions map[time.Duration][]func() // functions that end calls, by time since the start in steps of 1 ms
	serviceTime time.Duration
	counts      map[string]int // completed calls by name of the endpoint
	refused     int            // calls without an endpoint or refused by a gate
}

func (m *simulation) send(now time.Time, elapsed time.Duration, n int, s *config.Service) {
	p := m.pickers[n%len(m.pickers)]
	c, err := p.Decide(routing.Call{Service: s, Now: now})
	if err != nil {
		m.refused++
		return
	}
	key, call := c.Endpoint.Key(), fmt.Sprint(n)
	g := m.gates[key]
	p.Start(key, now)
	d := g.Decide(now, admission.Request{Call: call, Priority: 5, Deadline: now.Add(time.Second)})
	if d.Action != admission.Admit { // at this rate no call needs to queue
		m.refused++
		p.Done(key, routing.Observation{NotRun: true})
		return
	}
	end := elapsed + m.serviceTime
	m.completions[end] = append(m.completions[end], func() {
		m.counts[c.Endpoint.Name]++
		g.Done(now.Add(m.serviceTime), call, m.serviceTime, true)
		p.Done(key, routing.Observation{Took: m.serviceTime})
	})
}

// Load pattern: a new endpoint joins while calls arrive steadily. Guards against a cold endpoint that gets a full share at once
// or none, and against calls that queue or are refused while slots are free: 600 calls per second of 20 ms need 12 of 36 slots.
// The clock is simulated, so that the result does not depend on the load of the machine.
func TestColdEndpointShare(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		m := &simulation{gates: map[string]*admission.Gate{}, completions: map[time.Duration][]func(){}, serviceTime: 20 * time.Millisecond, counts: map[string]int{}}
		for range 2 {
			m.pickers = append(m.pickers, routing.New(routing.WithRandom(random.IntN)))
		}
		warm, grown := &config.Service{Name: "counter"}, &config.Service{Name: "counter"}
		for i := range 3 {
			e := config.Endpoint{Service: "counter", Name: fmt.Sprint("e", i), Slots: 12, Incarnation: 1}
			m.gates[e.Key()] = admission.New(admission.WithSlots(12))
			grown.Endpoints = append(grown.Endpoints, e)
		}
		warm.Endpoints = grown.Endpoints[:2]
		begin := time.Unix(1_700_000_000, 0)
		n := 0
		for elapsed := time.Duration(0); elapsed < 1500*time.Millisecond; elapsed += time.Millisecond {
			for _, end := range m.completions[elapsed] {
				end()
			}
			delete(m.completions, elapsed)
			service := warm
			if elapsed >= 500*time.Millisecond {
				service = grown
			}
			if elapsed == 500*time.Millisecond {
				clear(m.counts)
			}
			for ; time.Duration(n)*time.Second/600 <= elapsed; n++ {
				m.send(begin.Add(elapsed), elapsed, n, service)
			}
		}
		served := m.counts["e0"] + m.counts["e1"] + m.counts["e2"]
		share := float64(m.counts["e2"]) / float64(max(served, 1))
		if share == 0 || share > 0.25 || m.refused > 0 {
			t.Errorf("seed %d: got a share of %.2f for the cold endpoint with %d refused, want above 0, at most 0.25 and none", seed, share, m.refused)
		}
	}
}
