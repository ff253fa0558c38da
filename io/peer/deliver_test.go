package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/agreement"
)

// thinConn writes at most the given number of bytes per second on average since its first write. A late wakeup does not lower the
// rate of the following writes.
type thinConn struct {
	net.Conn
	rate    int
	began   time.Time
	written int
}

func (c *thinConn) Write(b []byte) (int, error) {
	if c.began.IsZero() {
		c.began = time.Now()
	}
	c.written += len(b)
	time.Sleep(time.Until(c.began.Add(time.Duration(c.written) * time.Second / time.Duration(c.rate))))
	return c.Conn.Write(b)
}

// Guards against a learner that never gets the state over a link on which a whole snapshot takes longer than other messages may: each
// delivery is given up and begins again, so the learner never replaces a lost voter.
func TestSnapshotOverThinLink(t *testing.T) {
	const rate = 600 << 10 // bytes per second
	arrived := make(chan int, 8)
	path, handler := NewHandler(&Server{OnDeliver: func(m agreement.Message) {
		if m.Snapshot != nil {
			arrived <- len(m.Snapshot.Data)
		}
	}})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = &http.Protocols{}
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	defer s.Close()
	at := netip.MustParseAddrPort(s.Listener.Addr().String())
	clients := NewClients(WithClientDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &thinConn{Conn: c, rate: rate}, err
	}))
	defer clients.Close()
	sender := NewSender(clients, func(string) (netip.AddrPort, bool) { return at, true }, logr.Discard())
	defer sender.Close()
	data := make([]byte, 2<<20) // takes 3.4 s, more than deliverTimeout; small, since packing it must not take most of that
	random := rand.New(rand.NewPCG(1, 1))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	sender.Send(agreement.Message{
		Kind: agreement.InstallSnapshot, From: "a/1", To: "b/1", Term: 1, Snapshot: &agreement.Snapshot{Index: 7, Term: 1, Data: data},
	})
	select {
	case got := <-arrived:
		if got != len(data) {
			t.Errorf("got %d bytes, want %d", got, len(data))
		}
	case <-time.After(20 * time.Second):
		t.Fatal("got no snapshot within 20 s, want it after about 3.4 s")
	}
}
