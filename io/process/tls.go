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

// reloadInterval is the shortest time between checks of the files, so that not every handshake stats three files.
const reloadInterval = time.Second

// TLSError reports a TLS file that cannot be used. File names the certificate even if the key is the cause.
type TLSError struct {
	File string
	Err  error
}

// Error names the file.
func (e *TLSError) Error() string { return fmt.Sprintf("tls: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// PEMError reports a CA file that contains no certificate.
type PEMError struct{}

// Error states that a certificate is missing.
func (*PEMError) Error() string { return "expected at least one PEM certificate" }

type fileStamps [3]struct {
	changed time.Time
	size    int64
}

// TLS holds the certificate and the CA for mutual TLS and reloads them when their files change.
type TLS struct {
	files TLSFiles
	log   logr.Logger
	now   func() time.Time

	mu          sync.Mutex
	checked     time.Time
	stamp       fileStamps
	certificate tls.Certificate
	pool        *x509.CertPool
}

// TLSOption changes a default of NewTLS.
type TLSOption func(*TLS)

// WithTLSLogger sets the logger for reloads.
func WithTLSLogger(l logr.Logger) TLSOption { return func(t *TLS) { t.log = l } }

// WithTLSClock replaces the clock that spaces the checks of the files.
func WithTLSClock(now func() time.Time) TLSOption { return func(t *TLS) { t.now = now } }

// NewTLS loads the files. On failure, a *TLSError names the file.
func NewTLS(files TLSFiles, opts ...TLSOption) (*TLS, error) {
	t := &TLS{files: files, log: logr.Discard(), now: time.Now}
	for _, o := range opts {
		o(t)
	}
	t.checked = t.now()
	t.stamp = t.statFiles()
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// Server returns a configuration that requires a client certificate issued by the CA and follows changes of the files.
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
				// A resumed session would not be checked against a CA that was replaced in the meantime.
				SessionTicketsDisabled: true,
			}, nil
		},
		// Never called, but net/http requires a certificate source.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := t.current()
			return &certificate, nil
		},
	}
}

// Client returns a configuration with the current certificate and CA. It does not follow later changes; use Dial for that.
func (t *TLS) Client() *tls.Config {
	certificate, pool := t.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}
}

// Dial opens a mutual TLS connection with the current files. It fits http.Transport.DialTLSContext, where HTTP/2 also needs
// Protocols or ForceAttemptHTTP2.
func (t *TLS) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: 5 * time.Second}, Config: t.Client()}
	return d.DialContext(ctx, network, address)
}

// current returns the certificate and the CA. It checks the files first, at most once per reloadInterval.
func (t *TLS) current() (tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Sub(t.checked) < reloadInterval {
		return t.certificate, t.pool
	}
	t.checked = now
	seen := t.statFiles()
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

func (t *TLS) statFiles() fileStamps {
	var s fileStamps
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

// load replaces the certificate and the CA together, or neither if one cannot be used.
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
