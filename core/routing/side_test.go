package routing_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"godwitspindle/core/config"
	"godwitspindle/core/routing"
	"godwitspindle/core/wire"
)

func rolling(olds, news int, endpoints ...config.Endpoint) *config.Service {
	s := &config.Service{Name: "s", Rollout: &wire.Rollout{Service: "s", Release: "v2"}, Endpoints: endpoints}
	for i := range olds {
		s.Endpoints = append(s.Endpoints, config.Endpoint{Service: "s", Name: fmt.Sprint("old", i), Release: "v1", Slots: 4})
	}
	for i := range news {
		s.Endpoints = append(s.Endpoints, config.Endpoint{Service: "s", Name: fmt.Sprint("new", i), Release: "v2", Slots: 4})
	}
	return s
}

// Guards against a call that leaves its side of a rollout, and against endpoints that no side uses, such as those without a release.
func TestSides(t *testing.T) {
	s := rolling(2, 2, config.Endpoint{Service: "s", Name: "unstated", Slots: 4})
	p, now := routing.New(), time.Unix(1000, 0)
	for side, want := range map[routing.Side]int{routing.AnyRelease: 5, routing.OldReleases: 3, routing.NewRelease: 2} {
		used := map[string]bool{}
		for range 500 {
			c, err := p.Decide(routing.Call{Service: s, Side: side, Now: now})
			if err != nil {
				t.Fatal(err)
			}
			if isNew := c.Endpoint.Release == "v2"; side != routing.AnyRelease && isNew != (side == routing.NewRelease) {
				t.Fatalf("side %d: got endpoint %s", side, c.Endpoint.Key())
			}
			used[c.Endpoint.Name] = true
		}
		if len(used) != want {
			t.Errorf("side %d: got endpoints %v, want %d", side, used, want)
		}
	}
}

// Guards against a side without endpoints that falls back to the other one, and against tried endpoints that are used again.
func TestEmptySide(t *testing.T) {
	p, now := routing.New(), time.Unix(1000, 0)
	var none *routing.NoEndpointError
	if c, err := p.Decide(routing.Call{Service: rolling(2, 0), Side: routing.NewRelease, Now: now}); !errors.As(err, &none) {
		t.Errorf("got %v, %v without new endpoints, want no endpoint", c, err)
	}
	if c, err := p.Decide(routing.Call{Service: rolling(0, 2), Side: routing.OldReleases, Now: now}); !errors.As(err, &none) {
		t.Errorf("got %v, %v without old endpoints, want no endpoint", c, err)
	}
	if c, err := p.Decide(routing.Call{Service: rolling(1, 2), Side: routing.OldReleases, Tried: []string{"s/old0"}, Now: now}); !errors.As(err, &none) {
		t.Errorf("got %v, %v after the only old endpoint, want no endpoint", c, err)
	}
}

// Guards against more than a third of a side that is ejected because the other side has many endpoints.
func TestEjectionsBySide(t *testing.T) {
	s := rolling(12, 3)
	p, now := routing.New(), time.Unix(1000, 0)
	if _, err := p.Decide(routing.Call{Service: s, Side: routing.NewRelease, Now: now}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		for range 10 {
			p.Start(fmt.Sprint("s/new", i), now)
			p.Done(fmt.Sprint("s/new", i), routing.Observation{Failed: true})
		}
	}
	usable := map[string]bool{}
	for range 300 {
		c, err := p.Decide(routing.Call{Service: s, Side: routing.NewRelease, Now: now})
		if err != nil {
			t.Fatal(err)
		}
		usable[c.Endpoint.Name] = true
	}
	if len(usable) != 2 {
		t.Errorf("got usable endpoints %v after all failed, want 2 of 3", usable)
	}
}
