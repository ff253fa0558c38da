package host

import (
	"net/http"
	"net/netip"
	"strings"

	"godwitspindle/io/caller"
	"godwitspindle/io/hop"
	"godwitspindle/io/operator"
	"godwitspindle/io/peer"
	"godwitspindle/io/platform"
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
	s, err := h.listen("listen.peer", h.settings.Listen.Peer, calls, platform.Limits{Body: peerBytes, Connections: peerConns},
		platform.WithServer(hop.HTTPServer(calls)), platform.WithH2C(), platform.WithTLS(h.serverTLS()))
	h.peers = s
	return err
}

// startListeners opens all other listeners.
func (h *Host) startListeners() error {
	l := h.settings.Listen
	calls := platform.Limits{Body: -1, Connections: callerConns} // the handler bounds bodies by itself
	list := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		limits  platform.Limits
		base    *http.Server
	}{
		{"listen.caller", l.Caller, h.callers, calls, caller.HTTPServer(h.callers)},
		{"listen.local", l.Local, h.locally, calls, caller.HTTPServer(h.locally)},
		{"listen.backend", l.Backend, h.backend.Handler(), platform.DefaultLimits(), nil},
		{"listen.metrics", l.Metrics, h.scraped(), platform.DefaultLimits(), nil},
	}
	for _, e := range list {
		if _, err := h.listen(e.name, e.address, e.handler, e.limits, platform.WithServer(e.base)); err != nil {
			return err
		}
	}
	if h.control == nil {
		return nil
	}
	_, err := h.listen("listen.operator", l.Operator, h.operators(), operator.Limits(), platform.WithTLS(h.serverTLS()))
	return err
}

func (h *Host) listen(name string, address netip.AddrPort, handler http.Handler, limits platform.Limits, more ...platform.ServerOption) (*platform.Server, error) {
	_, label, _ := strings.Cut(name, ".")
	options := append([]platform.ServerOption{
		platform.WithName(name),
		platform.WithLimits(limits),
		platform.WithLogger(h.log.WithName(label)),
		platform.WithRefused(h.metrics.RefusedOpens.WithLabelValues(label).Inc),
	}, more...)
	s, err := platform.NewServer(address, handler, options...)
	if err != nil {
		return nil, err
	}
	h.servers[label] = s
	h.bound[label] = s.Address()
	return s, nil
}
