package peer

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Behaviour of a replica in TestQuestion: a letter for each call of it, the last one for all further calls.
const (
	leads    = 'l' // answers with the version
	refuses  = 'r' // answers at once that it does not lead
	silent   = 's' // gives no answer until the call is cancelled
	known    = 'k' // silent, and known to be down
	slowLead = 'L' // answers with the version after 60 ms
)

// Guards against a read that asks hosts that are down before a leader that runs, does not ask all that run, or is given up while a
// leader may still be elected.
func TestQuestion(t *testing.T) {
	const second = 1000 * time.Millisecond
	tests := []struct {
		name        string
		replicas    []string
		leaderFirst bool
		hopeful     time.Duration // for how long replicas are asked again
		want        string        // version, or part of the error
		most        time.Duration
		calls       int32 // of the last replica; -1 if that does not matter
	}{
		{"leader answers", []string{"l", "r", "r"}, true, 0, "version", second / 10, -1},
		{"others are spared", []string{"L", "r", "r"}, true, 0, "version", second / 2, 0},
		{"leader behind two dead hosts", []string{"s", "s", "l"}, false, 0, "version", second / 2, 1},
		{"known leader is dead", []string{"s", "r", "l"}, true, 0, "version", second / 2, 1},
		{"known leader is dead and known to be", []string{"k", "r", "l"}, true, 0, "version", second / 2, 1},
		{"all refuse", []string{"r", "r", "r"}, false, 0, "not the leader; not the leader; not the leader", second / 10, 1},
		{"two known to be down", []string{"k", "k", "r"}, false, 0, "the host is silent", second / 2, 1},
		{"known to be down, but answers", []string{"k", "k", "L"}, false, 0, "version", second / 2, 1},
		{"elected meanwhile", []string{"s", "r", "rrl"}, false, 10 * second, "version", second, 3},
		{"no longer hopeful", []string{"k", "k", "r"}, false, 250 * time.Millisecond, "not the leader", second, -1},
		{"slow leader is not asked twice", []string{"r", "r", "L"}, false, 10 * second, "version", second, 1},
		{"until the time is over", []string{"s", "s", "r"}, false, 10 * second, "deadline exceeded", 3 * second, -1},
		{"nobody to ask", nil, false, 0, (&NoUpstreamError{}).Error(), second / 10, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var addresses []netip.AddrPort
			calls := make([]atomic.Int32, len(tt.replicas))
			for i := range tt.replicas {
				addresses = append(addresses, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)))
			}
			began := time.Now()
			q := Question[string]{
				LeaderFirst: tt.leaderFirst,
				Lost:        func(a netip.AddrPort) bool { return tt.replicas[a.Port()] == string(known) },
				Again:       func() bool { return time.Since(began) < tt.hopeful },
				Ask: func(ctx context.Context, a netip.AddrPort) (string, error) {
					steps := tt.replicas[a.Port()]
					switch steps[min(int(calls[a.Port()].Add(1)), len(steps))-1] {
					case leads:
						return "version", nil
					case refuses:
						return "", testRefusal{}
					case slowLead:
						time.Sleep(60 * time.Millisecond)
						return "version", nil
					}
					<-ctx.Done()
					return "", ctx.Err()
				},
			}
			ctx, stop := context.WithTimeout(t.Context(), 2*second)
			defer stop()
			got, err := q.Put(ctx, func() []netip.AddrPort { return addresses })
			if err != nil {
				got = err.Error()
			}
			if !strings.Contains(got, tt.want) || time.Since(began) > tt.most {
				t.Errorf("got %q after %s, want %q within %s", got, time.Since(began), tt.want, tt.most)
			}
			if len(calls) == 0 {
				return
			}
			if n := calls[len(calls)-1].Load(); tt.calls >= 0 && n != tt.calls {
				t.Errorf("calls of the last replica: got %d, want %d", n, tt.calls)
			}
		})
	}
}

// Guards against a read that goes on asking the replicas that were known at its start, although the leader elected meanwhile is not
// among them.
func TestQuestionAsksNewLeader(t *testing.T) {
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), port) }
	began := time.Now()
	addresses := func() []netip.AddrPort {
		if time.Since(began) < askInterval {
			return []netip.AddrPort{address(1), address(2)}
		}
		return []netip.AddrPort{address(3), address(1), address(2)}
	}
	q := Question[string]{
		Again: func() bool { return true },
		Ask: func(_ context.Context, a netip.AddrPort) (string, error) {
			if a == address(3) {
				return "version", nil
			}
			return "", testRefusal{}
		},
	}
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	if got, err := q.Put(ctx, addresses); got != "version" {
		t.Errorf("got %q (%v), want the answer of the new leader", got, err)
	}
}
