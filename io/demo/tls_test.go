package demo

import (
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
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"godwitspindle/io/host"
	"godwitspindle/io/operator"
	"godwitspindle/io/process"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	c, _ = x509.ParseCertificate(der)
	return &authority{key: key, certificate: c}
}

func (a *authority) issue(t *testing.T, f process.TLSFiles, serial int64) {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, _ := x509.MarshalPKCS8PrivateKey(key)
	for file, b := range map[string]*pem.Block{
		f.CA: {Type: "CERTIFICATE", Bytes: a.certificate.Raw}, f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// get sends one call and returns its status, or 0 without a complete answer.
func get(t *testing.T, address netip.AddrPort) int {
	t.Helper()
	p, err := http.Get("http://" + address.String() + "/")
	if err != nil {
		return 0
	}
	defer func() { _ = p.Body.Close() }()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return 0
	}
	return p.StatusCode
}

// Guards against a node that accepts peers without a certificate, and against one that must restart to use renewed files: once
// all files are replaced by those of another authority, both ends of a new connection must use them.
func TestMutualTLS(t *testing.T) {
	folder := t.TempDir()
	files := func(name string) process.TLSFiles {
		p := filepath.Join(folder, name)
		return process.TLSFiles{Cert: p + ".cert", Key: p + ".key", CA: p + ".ca"}
	}
	names := []string{"entry", "desk", "operator"}
	replaceFiles := func(serial int64) {
		a := newAuthority(t)
		for i, n := range names {
			a.issue(t, files(n), serial+int64(i))
		}
	}
	replaceFiles(10)
	own, err := process.NewTLS(files("operator"))
	if err != nil {
		t.Fatal(err)
	}
	m := startTwoNodes(t, []operator.ClientOption{operator.WithDial(own.Dial)}, WithTLS(files))
	entry := m.Hosts[0].Listen()
	if got := get(t, entry.Caller); got != http.StatusOK {
		t.Fatalf("call over mutual TLS: got status %d, want 200", got)
	}
	anonymous := own.Client()
	anonymous.Certificates = nil
	for name, address := range map[string]netip.AddrPort{"peer": entry.Peer, "operator": entry.Operator} {
		c, err := tls.Dial("tcp", address.String(), anonymous)
		if err == nil {
			_, err = c.Read(make([]byte, 1)) // TLS 1.3 reports the missing certificate on the first read
		}
		if err == nil || !strings.Contains(err.Error(), "certificate required") {
			t.Errorf("client without a certificate on the %s listener: got %v, want certificate required", name, err)
		}
	}
	replaceFiles(20)
	time.Sleep(1100 * time.Millisecond) // longer than the interval at which nodes check the files
	if err := m.Stop(1); err != nil {
		t.Fatal(err)
	}
	if err := m.Start(1); err != nil {
		t.Fatal(err)
	}
	c, err := own.Dial(t.Context(), "tcp", entry.Peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got := c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(); got != 20 {
		t.Errorf("peer listener: got certificate %d, want the renewed one, 20", got)
	}
	// The restarted node trusts the new authority only, so a call succeeds only if the entry node dials with its renewed files.
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	err = m.Await(ctx, func(*host.Host) bool { return get(t, entry.Caller) == http.StatusOK })
	if err != nil {
		t.Errorf("calls after all files were replaced: %v", err)
	}
}
