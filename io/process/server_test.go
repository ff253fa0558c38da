package process

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func serve(t *testing.T, opts ...ServerOption) *Server {
	t.Helper()
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
		_, _ = io.WriteString(w, r.Proto)
	})
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), echo, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against clients that occupy connections or memory: slow ones, long requests and too many connections.
func TestLimits(t *testing.T) {
	l := DefaultLimits()
	l.Body, l.Header, l.Connections = 100, 1024, 2
	l.HeaderTime, l.ReadTime = 200*time.Millisecond, 400*time.Millisecond
	tests := []struct{ name, send, want string }{
		{"slow header", "GET / HTTP/1.1\r\nHost: a", ""},
		{"slow body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", "413"},
		{"declared body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "oversize"},
		{"chunked body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + strings.Repeat("x", 128) + "\r\n0\r\n\r\n", "413"},
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", "431"},
		{"fine", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "200"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := exchange(t, serve(t, WithLimits(l)), tt.send)
			if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want it to contain %q", got, tt.want)
			}
		})
	}
}

func exchange(t *testing.T, s *Server, send string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, send)
	got, _ := io.ReadAll(c)
	return string(got)
}

// Guards against a read timeout that ends a long poll or a long call whose request was read in time.
func TestLongAnswer(t *testing.T) {
	l := DefaultLimits()
	l.HeaderTime, l.ReadTime = 50*time.Millisecond, 100*time.Millisecond
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(300 * time.Millisecond):
		}
	})
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), slow, WithLimits(l), WithH2C())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for _, h2 := range []bool{false, true} {
		p := new(http.Protocols)
		p.SetHTTP1(!h2)
		p.SetUnencryptedHTTP2(h2)
		client := &http.Client{Transport: &http.Transport{Protocols: p}}
		for _, body := range []string{"", "x"} {
			r, err := client.Post("http://"+s.Address().String(), "text/plain", strings.NewReader(body))
			if err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("body %q, HTTP/2 %v: got %v %v, want 200", body, h2, r, err)
			}
		}
	}
}

// Guards against serving connections above the limit, and against closed ones that still count.
func TestConnections(t *testing.T) {
	var refused atomic.Int32
	l := DefaultLimits()
	l.Connections = 1
	s := serve(t, WithLimits(l), WithRefused(func() { refused.Add(1) }))
	first, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	const request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	if got := exchange(t, s, request); got != "" || refused.Load() != 1 {
		t.Errorf("got %q and %d refused, want nothing and 1", got, refused.Load())
	}
	_ = first.Close()
	for s.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := exchange(t, s, request); !strings.Contains(got, "200") {
		t.Errorf("got %q, want 200 once the first is closed", got)
	}
}

// Guards against a planned stop that cuts a request in flight.
func TestShutdown(t *testing.T) {
	entered := make(chan struct{})
	s, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}), WithH2C())
	if err != nil {
		t.Fatal(err)
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: p}}
	go func() {
		<-entered
		_ = s.Shutdown(context.Background(), time.Time{})
	}()
	r, err := client.Get("http://" + s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(r.Body)
	if string(got) != "whole" || r.Proto != "HTTP/2.0" {
		t.Errorf("got %q over %s, want the whole answer over HTTP/2.0", got, r.Proto)
	}
}

// Guards against clients without a certificate, replaced certificates that need a restart, and broken ones that end service.
func TestTLS(t *testing.T) {
	folder := t.TempDir()
	f := TLSFiles{Cert: filepath.Join(folder, "cert"), Key: filepath.Join(folder, "key"), CA: filepath.Join(folder, "ca")}
	issue(t, f, 1)
	var log bytes.Buffer
	clock := time.Now()
	m, err := NewTLS(f, WithTLSLogger(NewLogger(&log, 0)), WithTLSClock(func() time.Time { return clock }))
	if err != nil {
		t.Fatal(err)
	}
	s := serve(t, WithTLS(m.Server()))
	serial := func() int64 {
		c, err := m.Dial(t.Context(), "tcp", s.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	stranger := m.Client()
	stranger.Certificates = nil
	c, err := tls.Dial("tcp", s.Address().String(), stranger)
	if err == nil {
		_, err = c.Read(make([]byte, 1)) // TLS 1.3 reports the missing certificate on the first read
	}
	if err == nil || !strings.Contains(err.Error(), "certificate required") {
		t.Errorf("got %v, want certificate required", err)
	}
	steps := []struct {
		name   string
		change func()
		wait   time.Duration
		want   int64
	}{
		{"first", func() {}, 0, 1},
		{"within a second", func() { issue(t, f, 22) }, reloadInterval / 2, 1},
		{"replaced", func() {}, reloadInterval, 22},
		{"broken", func() { _ = os.WriteFile(f.Cert, []byte("x"), 0o600) }, reloadInterval, 22},
		{"repaired", func() { issue(t, f, 333) }, reloadInterval, 333},
	}
	for _, st := range steps {
		st.change()
		clock = clock.Add(st.wait)
		if got := serial(); got != st.want {
			t.Errorf("%s: got certificate %d, want %d", st.name, got, st.want)
		}
	}
	if !strings.Contains(log.String(), "not usable") {
		t.Errorf("got log %s, want the broken file in it", log.String())
	}
}

// issue writes a self-signed certificate for 127.0.0.1 that is its own authority.
func issue(t *testing.T, f TLSFiles, serial int64) {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, _ := x509.MarshalPKCS8PrivateKey(key)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for file, data := range map[string][]byte{f.Cert: certificate, f.CA: certificate, f.Key: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a listener that loses the limits of the configured server it starts from.
func TestBase(t *testing.T) {
	base := &http.Server{
		MaxHeaderBytes: 7, ReadTimeout: time.Second, WriteTimeout: 2 * time.Second, IdleTimeout: 3 * time.Second,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 5, WriteByteTimeout: 4 * time.Second, SendPingTimeout: 6 * time.Second},
	}
	s := newHTTPServer(serverOptions{base: base, handler: http.NotFoundHandler(), limits: Limits{Body: 9, IdleTime: time.Minute}})
	got := []any{s.MaxHeaderBytes, s.ReadTimeout, s.WriteTimeout, s.IdleTimeout, *s.HTTP2}
	want := []any{7, time.Second, 2 * time.Second, time.Minute, http.HTTP2Config{MaxConcurrentStreams: 5, WriteByteTimeout: 4 * time.Second, SendPingTimeout: 6 * time.Second}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	w := httptest.NewRecorder()
	s.Handler.ServeHTTP(w, httptest.NewRequest("POST", "/", strings.NewReader("0123456789")))
	if w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("body over the limit: got status %d, want 413", w.Code)
	}
}
