package host

import (
	"net/http"
	"net/netip"
	"strings"

	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/operator"
	"godwitspindle/io/peer"
	"godwitspindle/io/process"
)

const (
	callBytes   = 16 << 20  // request body
	peerBytes   = 256 << 20 // a log snapshot, with up to 128 MiB of claims
	callerConns = 4096
	peerConns   = 8192 // every node may connect to a replica when relays are lost
)

// startPeers opens the peer listener, which carries both the inner protocol and inner calls.
func (h *Host) startPeers() error {
	path, handler := peer.NewHandler(h.peerServer())
	mux := http.NewServeMux()
	mux.Handle(path, peer.Authorize(h.settings.Key, handler))
	calls := hop.NewServer(hop.WithServerKey(h.settings.Key), hop.WithDo(h.inner), hop.WithNext(mux), hop.WithMaxBody(callBytes))
	s, err := h.listen("listen.peer", h.settings.Listen.Peer, calls, process.Limits{Body: peerBytes, Connections: peerConns},
		process.WithServer(hop.HTTPServer(calls)), process.WithH2C(), process.WithTLS(h.serverTLS()))
	h.peers = s
	return err
}

// startListeners opens all other listeners.
func (h *Host) startListeners() error {
	l := h.settings.Listen
	calls := process.Limits{Body: -1, Connections: callerConns} // the handler bounds bodies by itself
	list := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		limits  process.Limits
		base    *http.Server
	}{
		{"listen.caller", l.Caller, h.wrap(h, h.callers, h.locally), calls, caller.HTTPServer(h.callers)},
		{"listen.local", l.Local, h.locally, calls, caller.HTTPServer(h.locally)},
		{"listen.backend", l.Backend, h.backend.Handler(), process.DefaultLimits(), nil},
		{"listen.metrics", l.Metrics, h.scraped(), process.DefaultLimits(), nil},
	}
	for _, e := range list {
		if !e.address.IsValid() {
			continue
		}
		options := []process.ServerOption{process.WithServer(e.base)}
		if e.name == "listen.caller" {
			options = append(options, process.WithAhead(h.ahead))
		}
		if _, err := h.listen(e.name, e.address, e.handler, e.limits, options...); err != nil {
			return err
		}
	}
	for _, e := range h.extra {
		if _, err := h.listen(e.name, e.address, e.handler(h), process.DefaultLimits()); err != nil {
			return err
		}
	}
	if h.control == nil || !l.Operator.IsValid() {
		return nil
	}
	_, err := h.listen("listen.operator", l.Operator, h.operators(), operator.Limits(), process.WithTLS(h.serverTLS()))
	return err
}

func (h *Host) listen(name string, address netip.AddrPort, handler http.Handler, limits process.Limits, more ...process.ServerOption) (*process.Server, error) {
	_, label, _ := strings.Cut(name, ".")
	options := append([]process.ServerOption{
		process.WithName(name),
		process.WithLimits(limits),
		process.WithLogger(h.log.WithName(label)),
		process.WithRefused(h.metrics.RefusedOpens.WithLabelValues(label).Inc),
	}, more...)
	s, err := process.NewServer(address, handler, options...)
	if err != nil {
		return nil, err
	}
	h.servers[label] = s
	h.bound[label] = s.Address()
	return s, nil
}
