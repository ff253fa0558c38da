package peer

import (
	"context"
	"errors"
	"net/netip"
	"testing"
)

type testRefusal struct{}

func (testRefusal) Error() string { return "not the leader" }

// Guards against an error that holds only the failure at the last address.
func TestAllFailuresAreReported(t *testing.T) {
	addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	_, err := FirstAnswer(addresses, func(a netip.AddrPort) (int, error) {
		if a == addresses[0] {
			return 0, testRefusal{}
		}
		return 0, context.DeadlineExceeded
	})
	if _, ok := errors.AsType[testRefusal](err); !ok || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want both failures", err)
	}
}
