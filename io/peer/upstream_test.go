package peer

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a replica whose reports do not reach the leader: after a failed poll of the leader, it polled another replica,
// which accepts no reports from it, for up to 10 s although it received the leader's heartbeats.
func TestFailedLeaderIsTriedSoon(t *testing.T) {
	leader, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	tests := []struct {
		name  string
		alive bool
		ago   time.Duration // time since the failure of the leader
		first netip.AddrPort
		most  time.Duration // longest poll of the other upstream
	}{
		{"leader is heard", true, 100 * time.Millisecond, other, refusedPause},
		{"leader is heard, 1 s later", true, time.Second, leader, time.Minute},
		{"leader is not heard", false, time.Second, other, failedPause},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := &Follower{
				pollInterval: time.Minute,
				upstreams:    func() []netip.AddrPort { return []netip.AddrPort{leader, other} },
				isLeader:     func(p netip.AddrPort) bool { return c.alive && p == leader },
				failures:     map[netip.AddrPort]failure{leader: {at: time.Now().Add(-c.ago), pause: failedPause}},
			}
			if got := f.byPreference()[0]; got != c.first {
				t.Errorf("first upstream: got %s, want %s", got, c.first)
			}
			if got := f.pollWait(other); got > c.most {
				t.Errorf("poll of the other one: got %s, want at most %s", got, c.most)
			}
		})
	}
}
