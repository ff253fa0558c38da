package demo

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is a fault that a proxy injects into the connections of its link.
type linkFault struct {
	delay        time.Duration // delay before each chunk
	holdToServer bool          // delays chunks to the server until the fault ends
	holdToClient bool          // delays chunks to the client until the fault ends
	reset        bool          // resets open and new connections
}

// proxy forwards the TCP connections of one link between two processes and injects faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[*net.TCPConn]struct{}
	wait  sync.WaitGroup
}

const (
	holdPollInterval = 5 * time.Millisecond // interval at which a delayed chunk checks whether the fault has ended
	proxyChunk       = 16 << 10             // maximum size of a chunk in bytes
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
		p.set(linkFault{reset: true})
		p.wait.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the fault of the link; a reset closes all open connections.
func (p *proxy) set(f linkFault) {
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

func (p *proxy) current() linkFault {
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
		p.wait.Go(func() { p.handle(c.(*net.TCPConn)) })
	}
}

func (p *proxy) handle(client *net.TCPConn) {
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
	both.Go(func() { p.copyChunks(server, client, func(f linkFault) bool { return f.holdToServer }) })
	both.Go(func() { p.copyChunks(client, server, func(f linkFault) bool { return f.holdToClient }) })
	both.Wait()
}

// copyChunks copies in one direction; the end of either connection closes both.
func (p *proxy) copyChunks(to, from *net.TCPConn, hold func(f linkFault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, proxyChunk)
	for {
		n, err := from.Read(b)
		f := p.current()
		for ; hold(f) && !f.reset; f = p.current() {
			time.Sleep(holdPollInterval)
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
