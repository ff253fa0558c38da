package peer

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a replica that keeps its reports for itself: after a poll of the leader that failed it polled another replica,
// which takes no reports from it, for up to ten seconds although it heard the leader's heartbeats.
func TestFailedLeaderIsTriedSoon(t *testing.T) {
	leader, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	tests := []struct {
		name  string
		alive bool
		ago   time.Duration // since the failure
		first netip.AddrPort
		most  time.Duration // longest poll of the other one
	}{
		{"leader is heard", true, 100 * time.Millisecond, other, refusedPause},
		{"leader is heard, a while later", true, time.Second, leader, time.Minute},
		{"leader is not heard", false, time.Second, other, failedPause},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := &Follower{
				poll:    time.Minute,
				parents: func() []netip.AddrPort { return []netip.AddrPort{leader, other} },
				leads:   func(p netip.AddrPort) bool { return c.alive && p == leader },
				failed:  map[netip.AddrPort]failure{leader: {at: time.Now().Add(-c.ago), pause: failedPause}},
			}
			if got := f.ordered()[0]; got != c.first {
				t.Errorf("first upstream: got %s, want %s", got, c.first)
			}
			if got := f.pollWait(other); got > c.most {
				t.Errorf("poll of the other one: got %s, want at most %s", got, c.most)
			}
		})
	}
}
