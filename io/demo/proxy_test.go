package demo

import (
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to the bytes of its connections.
type fault struct {
	delay   time.Duration // before each chunk
	forward bool          // chunks towards the server are held back
	back    bool          // chunks towards the client are held back
	reset   bool          // connections are reset, new ones as well
}

// proxy carries connections of one link between two processes, with faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault fault
	conns map[*net.TCPConn]struct{}
	wait  sync.WaitGroup
}

const (
	heldCheck  = 5 * time.Millisecond // how often a held chunk looks for the end of the fault
	proxyChunk = 16 << 10             // bytes
)

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	p.wait.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.set(fault{reset: true})
		p.wait.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the fault of the link.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if !f.reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) current() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wait.Go(func() { p.carry(c.(*net.TCPConn)) })
	}
}

func (p *proxy) carry(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	s, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := s.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	p.mu.Lock()
	refused := p.fault.reset
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, client)
		delete(p.conns, server)
	}()
	if refused {
		_ = client.SetLinger(0)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.pump(server, client, func(f fault) bool { return f.forward }) })
	both.Go(func() { p.pump(client, server, func(f fault) bool { return f.back }) })
	both.Wait()
}

// pump copies one way; the end of either connection ends both.
func (p *proxy) pump(to, from *net.TCPConn, held func(f fault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, proxyChunk)
	for {
		n, err := from.Read(b)
		f := p.current()
		for ; held(f) && !f.reset; f = p.current() {
			time.Sleep(heldCheck)
		}
		time.Sleep(f.delay)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
