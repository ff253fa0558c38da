package routing_test

import (
	"fmt"
	"testing"
	"time"
)

// Load pattern: endpoints of different speed, slow spells of 600 ms in 15% of the time, half of the endpoints with room for half of their
// slots only, demand in waves of plus and minus 55% with another phase in each failure domain, at half of to three times the capacity.
// Guards against slots that stay free while calls wait or are late elsewhere, against fast endpoints that get no more than slow ones,
// and against calls that leave their failure domain without need.
func TestUnevenEndpoints(t *testing.T) {
	type pattern struct {
		speeds    []float64
		halfSlots bool
	}
	tests := []struct {
		load                 float64
		seeds                uint64
		gain                 float64 // minimum of the goodput above that without reports
		minGoodput, maxP99   float64
		maxSpread, maxAbroad float64
	}{
		{0.5, 2, 0, 0.95, 1.6, 1.75, 0.03},
		{0.8, 2, 0.01, 0.94, 1.7, 1.35, 0.11},
		{1, 2, 0.02, 0.91, 1.8, 1.2, 0.18},
		{2, 1, -0.01, 0.91, 2.3, 1.1, 0.07},
		{3, 1, -0.01, 0.91, 2.3, 1.1, 0.05},
	}
	patterns := []pattern{{[]float64{0.5, 1, 1, 1.5}, false}, {[]float64{0.6, 1, 1.6}, false}, {[]float64{0.7, 0.7, 1.6}, false}, {[]float64{0.6, 1, 1.6}, true}}
	if testing.Short() {
		patterns, tests = patterns[1:2], tests[2:4]
	}
	for _, p := range patterns {
		for _, c := range tests {
			t.Run(fmt.Sprint(p.speeds, " half ", p.halfSlots, " load ", c.load), func(t *testing.T) {
				t.Parallel()
				before := simulate(c.seeds, p.speeds, p.halfSlots, false, c.load, func(*fleet) {})
				got := simulate(c.seeds, p.speeds, p.halfSlots, true, c.load, func(*fleet) {})
				t.Logf("before: %s", before)
				t.Logf("now:    %s", got)
				if got.goodput < before.goodput+c.gain || got.goodput < c.minGoodput {
					t.Errorf("goodput: got %.3f, want at least %.3f and %.3f more than %.3f", got.goodput, c.minGoodput, c.gain, before.goodput)
				}
				if !p.halfSlots && got.limit < 0.9 || p.halfSlots && got.limit > before.limit {
					t.Errorf("limits: got %.2f of what the endpoints handle, before %.2f, want 0.9 at least and no more than before", got.limit, before.limit)
				}
				if got.p99 > c.maxP99 || got.spread > c.maxSpread || got.abroad > c.maxAbroad {
					t.Errorf("got %s, want at most p99 %.2f s, spread %.2f, other domain %.3f", got, c.maxP99, c.maxSpread, c.maxAbroad)
				}
			})
		}
	}
}

// Load pattern: all endpoints refuse half of the requests that they get, whatever their load, for 8 s. Guards against refusals that are
// taken for a lack of capacity, so that the mesh refuses what would be served, and against calls that then leave their failure domain.
func TestRefusingEndpoints(t *testing.T) {
	refuse := func(f *fleet) {
		f.rejects = func(at time.Duration) bool {
			return at > 10*time.Second && at < 18*time.Second && f.random.IntN(2) == 0
		}
	}
	before := simulate(2, []float64{1}, false, false, 0.8, refuse)
	got := simulate(2, []float64{1}, false, true, 0.8, refuse)
	t.Logf("before: %s", before)
	t.Logf("now:    %s", got)
	if got.goodput < before.goodput-0.01 || got.abroad > before.abroad+0.05 {
		t.Errorf("got %s, want about %s", got, before)
	}
}

// Load pattern: the callers of one failure domain ask for 1.4 times what it can serve, those of the others for 0.7 times. Guards against
// calls that leave the domain in bursts: all nodes learn that another domain has room at about the same time.
func TestSpillIsSteady(t *testing.T) {
	// About 144 calls arrive in a window and 33 leave. All the variance of arrivals falls on those that leave, so that a steady spill
	// has a variance of 144/33 = 4.4 times its mean, and slow spells and long calls add to it.
	const maxDispersion = 7
	for seed := range uint64(3) {
		f := newFleet(seed, fleetHosts, []float64{1}, false, true)
		f.demand = func(domain int, _ time.Duration) float64 {
			if domain == 0 {
				return 1.4
			}
			return 0.7
		}
		f.run(1)
		var sum, squares, n float64
		for at := fleetWarmup; at < fleetLength; at += fleetWindow {
			sum, squares, n = sum+f.windows[at], squares+f.windows[at]*f.windows[at], n+1
		}
		mean := sum / n
		dispersion := (squares/n - mean*mean) / mean
		r := f.result(1)
		t.Logf("seed %d: %.1f calls a window leave, variance over mean %.1f; %s", seed, mean, dispersion, r)
		if dispersion > maxDispersion || mean == 0 || r.goodput < 0.93 {
			t.Errorf("seed %d: got a variance of %.1f times the mean %.1f and goodput %.3f, want at most %v, some and 0.93", seed, dispersion, mean, r.goodput, maxDispersion)
		}
	}
}
