package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// reloadInterval is the shortest time between two looks at the files, so that handshakes do not each cost three stats.
const reloadInterval = time.Second

// TLSError reports TLS files that cannot be used.
type TLSError struct {
	File string
	Err  error
}

// Error names the file.
func (e *TLSError) Error() string { return fmt.Sprintf("tls: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// PEMError reports a CA file without a certificate.
type PEMError struct{}

// Error says what is missing.
func (*PEMError) Error() string { return "expected at least one PEM certificate" }

type stamp [3]struct {
	changed time.Time
	size    int64
}

// TLS holds the certificate and CA of mutual TLS and follows changes of their files.
type TLS struct {
	files Files
	log   logr.Logger
	now   func() time.Time

	mu          sync.Mutex
	checked     time.Time
	stamp       stamp
	certificate tls.Certificate
	pool        *x509.CertPool
}

// TLSOption changes one property of TLS.
type TLSOption func(*TLS)

// WithTLSLogger sets the logger for reloads.
func WithTLSLogger(l logr.Logger) TLSOption { return func(t *TLS) { t.log = l } }

// WithTLSClock replaces the clock that spaces looks at the files.
func WithTLSClock(now func() time.Time) TLSOption { return func(t *TLS) { t.now = now } }

// NewTLS loads the files; a *TLSError names the one that cannot be used.
func NewTLS(files Files, opts ...TLSOption) (*TLS, error) {
	t := &TLS{files: files, log: logr.Discard(), now: time.Now}
	for _, o := range opts {
		o(t)
	}
	t.checked = t.now()
	t.stamp = t.look()
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// Server returns a configuration that demands a client certificate of the CA.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := t.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				// A resumed session would skip the check against a CA that has changed since.
				SessionTicketsDisabled: true,
			}, nil
		},
		// Never used: net/http asks for a certificate source before it serves.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := t.current()
			return &certificate, nil
		},
	}
}

// Client returns a configuration with the current certificate and CA; it does not follow later changes, Dial does.
func (t *TLS) Client() *tls.Config {
	certificate, pool := t.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}
}

// Dial opens a mutual TLS connection with the current files; it fits http.Transport.DialTLSContext, which speaks HTTP/2 only
// when the transport's Protocols or ForceAttemptHTTP2 say so.
func (t *TLS) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: 5 * time.Second}, Config: t.Client()}
	return d.DialContext(ctx, network, address)
}

// current returns the certificate and CA after a look at the files, at most one in reloadInterval.
func (t *TLS) current() (tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Sub(t.checked) < reloadInterval {
		return t.certificate, t.pool
	}
	t.checked = now
	seen := t.look()
	if seen == t.stamp {
		return t.certificate, t.pool
	}
	t.stamp = seen
	if err := t.load(); err != nil {
		t.log.Error(err, "TLS files not usable, the earlier ones stay in use")
		return t.certificate, t.pool
	}
	t.log.Info("TLS files reloaded", "cert", t.files.Cert)
	return t.certificate, t.pool
}

func (t *TLS) look() stamp {
	var s stamp
	for i, f := range []string{t.files.Cert, t.files.Key, t.files.CA} {
		info, err := os.Stat(f)
		if err != nil {
			continue
		}
		s[i].changed = info.ModTime()
		s[i].size = info.Size()
	}
	return s
}

// load replaces certificate and CA together, or neither.
func (t *TLS) load() error {
	certificate, err := tls.LoadX509KeyPair(t.files.Cert, t.files.Key)
	if err != nil {
		return &TLSError{File: t.files.Cert, Err: err}
	}
	data, err := os.ReadFile(t.files.CA)
	if err != nil {
		return &TLSError{File: t.files.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return &TLSError{File: t.files.CA, Err: &PEMError{}}
	}
	t.certificate, t.pool = certificate, pool
	return nil
}
