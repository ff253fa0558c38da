package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"godwitspindle/io/rpc"
	"godwitspindle/io/rpc/rpcconnect"
	"godwitspindle/io/standin"
)

// hostMemory is the memory of the smallest host on which a node must go on, less what a node uses otherwise.
const hostMemory = (184 - 40) << 20

// serveH2C serves cleartext HTTP/2 on a free port.
func serveH2C(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: p, MaxHeaderBytes: 1 << 20}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// serveRaw answers each connection with a text again and again until it is closed.
func serveRaw(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = n.Close() }()
				data := bytes.Repeat([]byte(text), 64<<10/len(text))
				for err == nil {
					_, err = n.Write(data)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// writeEndless writes a text until the client is gone.
func writeEndless(w http.ResponseWriter, text string) {
	data := bytes.Repeat([]byte(text), 64<<10/len(text))
	for {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// Guards against responses without end from a control host, or from whatever has its address by now, that are kept until the process of
// the node that asked runs out of memory. Several calls run at once, as a node asks for versions, quotas and proposals at the same time;
// a poll and a report may bring a snapshot.
func TestAnswersWithoutEnd(t *testing.T) {
	const calls, polls = 4, 2
	proto := func(f http.HandlerFunc) netip.AddrPort {
		return serveH2C(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			f(w, r)
		}))
	}
	for _, c := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"odd bytes", serveRaw(t, "\x00\x01\xff")},
		{"HTTP/1.1", serveRaw(t, "HTTP/1.1 200 OK\r\nX: y\r\n")},
		{"empty frames", serveRaw(t, "\x00\x00\x00\x04\x00\x00\x00\x00\x00")},
		{"continuations", serveRaw(t, "\x00\x00\x05\x09\x00\x00\x00\x00\x01\x40\x01x\x01y")},
		{"interim responses", proto(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X", strings.Repeat("y", 10<<10))
			for r.Context().Err() == nil {
				w.WriteHeader(http.StatusEarlyHints)
			}
		})},
		{"many fields", proto(func(w http.ResponseWriter, _ *http.Request) {
			for i := range 4000 {
				w.Header().Add("X", strings.Repeat("y", 1000+i%10))
			}
			writeEndless(w, "\x0a\x00")
		})},
		{"a message", proto(func(w http.ResponseWriter, _ *http.Request) { writeEndless(w, "\x0a\x00") })},
		{"a field", proto(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "\x12\xff\xff\xff\xff\x07")
			writeEndless(w, "x")
		})},
		{"an error", serveH2C(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"code":"unavailable","message":"`)
			writeEndless(w, "x")
		}))},
	} {
		t.Run(c.name, func(t *testing.T) {
			clients := NewClients()
			defer clients.Close()
			growth := standin.WatchHeap()
			var wait sync.WaitGroup
			for i := range calls + polls {
				wait.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					if i >= calls {
						ctx = withPoll(ctx)
					}
					if _, err := clients.At(c.address).Sync(ctx, connect.NewRequest(&rpc.SyncRequest{})); err == nil {
						t.Error("got an answer, want an error")
					}
				})
			}
			wait.Wait()
			got := growth()
			t.Logf("memory: %d MB more", got>>20)
			if got > hostMemory {
				t.Errorf("memory: got %d MB more, want at most %d MB", got>>20, hostMemory>>20)
			}
		})
	}
}

// Guards against a packed delta that expands without end.
func TestPackedDeltaWithoutEnd(t *testing.T) {
	var packed bytes.Buffer
	encoder, err := zstd.NewWriter(&packed)
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		_, _ = encoder.Write(make([]byte, 1<<20))
	}
	if err := encoder.Close(); err != nil {
		t.Fatal(err)
	}
	holder, _ := NewHolder()
	follower, err := NewFollower(holder, NewClients())
	if err != nil {
		t.Fatal(err)
	}
	follower.Close()
	growth := standin.WatchHeap()
	if _, err := Unpack(follower.decoder, &rpc.SyncResponse{Packed: packed.Bytes()}); err == nil {
		t.Error("got a delta, want an error")
	}
	if got := growth(); got > hostMemory {
		t.Errorf("memory: got %d MB more for %d packed bytes, want at most %d MB", got>>20, packed.Len(), hostMemory>>20)
	}
}

// Guards against requests without end that a node keeps although it takes only short ones: a node without a replica is called for versions
// and reports.
func TestRequestsWithoutEnd(t *testing.T) {
	_, handler := NewHandler(&Server{OnSync: func(context.Context, *rpc.SyncRequest, uint64) *rpc.SyncResponse { return &rpc.SyncResponse{} }})
	address := serveH2C(t, handler)
	clients := NewClients()
	defer clients.Close()
	growth := standin.WatchHeap()
	var wait sync.WaitGroup
	for _, procedure := range []string{
		rpcconnect.MeshSyncProcedure, rpcconnect.MeshDeliverProcedure, rpcconnect.MeshProposeProcedure, rpcconnect.MeshAnnounceProcedure,
	} {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			body := io.MultiReader(strings.NewReader("\x0a\xff\xff\xff\xff\x07"), &repeated{ctx: ctx})
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+procedure, body)
			if err != nil {
				t.Error(err)
				return
			}
			r.Header.Set("Content-Type", "application/proto")
			p, err := clients.transport.RoundTrip(r)
			if err == nil {
				defer func() { _ = p.Body.Close() }()
			}
			if err == nil && p.StatusCode == http.StatusOK || ctx.Err() != nil {
				t.Errorf("%s: got %v, %v, want it refused before its deadline", procedure, p, err)
			}
		})
	}
	wait.Wait()
	if got := growth(); got > hostMemory/2 {
		t.Errorf("memory: got %d MB more, want at most %d MB", got>>20, hostMemory/2>>20)
	}
	short, err := clients.At(address).Sync(t.Context(), connect.NewRequest(&rpc.SyncRequest{Node: strings.Repeat("n", 1<<20)}))
	if err != nil || proto.Size(short.Msg) != 0 {
		t.Errorf("a request of 1 MiB: got %v, %v, want it served", short, err)
	}
}

// repeated is a body without end.
type repeated struct{ ctx context.Context }

// Read fills p until the context ends.
func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), r.ctx.Err()
}
