package hop

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Guards against a process that outlasts the end of its stop because it waits for a dial to a host that does not answer, such as that of
// the last withdrawal.
func TestCloseEndsDials(t *testing.T) {
	c := New(WithDialTimeout(5*time.Second), WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Withdraw(ctx, netip.MustParseAddrPort("127.0.0.1:1"), []Withdrawn{{Endpoint: "s/e", Call: "a"}})
	if err == nil {
		t.Error("got a withdrawal without a connection")
	}
	_, err = c.Call(ctx, netip.MustParseAddrPort("127.0.0.1:1"), Meta{Call: "a", Service: "s", Endpoint: "e", Remaining: time.Second}, &http.Request{})
	if err == nil {
		t.Error("got an answer without a connection")
	}
	begin := time.Now()
	_ = c.Close()
	if took := time.Since(begin); took > time.Second {
		t.Errorf("close: got an end after %v, want one at once", took)
	}
}
