package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a listener that a shortage of descriptors closes in a planned stop while connections wait in its backlog: the close
// resets them, although their requests were sent in time and a descriptor becomes free shortly after.
func TestBacklogSurvivesShortage(t *testing.T) {
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	var others []net.Conn
	for range 8 {
		others = append(others, dial(t, s))
	}
	time.Sleep(50 * time.Millisecond) // so that the server has accepted them
	client, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(client) }()
	restore := takeDescriptors(t)
	defer restore()
	a := s.Address()
	if err := syscall.Connect(client, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	if _, err := syscall.Write(client, []byte(getRequests("/a"))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(ctx, time.Now().Add(1900*time.Millisecond)) }()
	time.Sleep(100 * time.Millisecond)
	restore()
	for _, c := range others {
		_ = c.Close()
	}
	_ = syscall.SetsockoptTimeval(client, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 3})
	b := make([]byte, 1000)
	n, err := syscall.Read(client, b)
	if got := string(b[:max(n, 0)]); !strings.HasSuffix(got, "answer") {
		t.Errorf("got %q and %v, want the answer", got, err)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: got %v, want none", err)
	}
}

// takeDescriptors limits the descriptors of the process to those in use, until the function that it returns is called.
func takeDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	limit := before
	limit.Cur = uint64(f.Fd()) // the lowest free one
	_ = f.Close()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	return func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before) }
}
