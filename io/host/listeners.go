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
	callBytes   = 16 << 20  // largest body of a call's request
	peerBytes   = 256 << 20 // largest body at the peer listener: a log snapshot, which holds up to 128 MiB of claims
	callerConns = 4096      // connections to each of the listeners caller and local
	peerConns   = 8192      // connections to the peer listener; all nodes may connect to one replica when relays fail
)

// startPeers opens the peer listener for the protocol between nodes and for calls forwarded by other nodes.
func (h *Host) startPeers() error {
	path, handler := peer.NewHandler(h.peerServer())
	mux := http.NewServeMux()
	mux.Handle(path, peer.Authorize(h.settings.Key, handler))
	calls := hop.NewServer(hop.WithServerKey(h.settings.Key), hop.WithDo(h.serveRemote), hop.WithNext(mux), hop.WithMaxBody(callBytes),
		hop.WithWithdraw(h.serveWithdrawal))
	s, err := h.listen("listen.peer", h.settings.Listen.Peer, calls, process.Limits{Body: peerBytes, Connections: peerConns},
		process.WithServer(hop.HTTPServer(calls)), process.WithH2C(), process.WithTLS(h.serverTLS()),
		process.WithShutdown(func(int) {}, h.cutRequests))
	h.peers = s
	return err
}

// startListeners opens all other listeners that have an address; the one for operators only on a replica.
func (h *Host) startListeners() error {
	l := h.settings.Listen
	calls := process.Limits{Body: -1, Connections: callerConns} // the handler limits bodies itself
	list := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		limits  process.Limits
		base    *http.Server
	}{
		{"listen.caller", l.Caller, h.wrapCallers(h, h.callers, h.localCallers), calls, caller.HTTPServer(h.callers)},
		{"listen.local", l.Local, h.localCallers, calls, caller.HTTPServer(h.localCallers)},
		{"listen.backend", l.Backend, h.backend.Handler(), process.DefaultLimits(), nil},
		{"listen.metrics", l.Metrics, h.metricsHandler(), process.DefaultLimits(), nil},
	}
	for _, e := range list {
		if !e.address.IsValid() {
			continue
		}
		options := []process.ServerOption{process.WithServer(e.base)}
		if e.name == "listen.local" {
			options = append(options, process.WithShutdown(func(int) {}, h.cutRequests))
		}
		if e.name == "listen.caller" {
			options = append(options, process.WithPipelining(h.mayRunEarly), process.WithShutdown(h.callersClosed, h.cutRequests))
		}
		if _, err := h.listen(e.name, e.address, e.handler, e.limits, options...); err != nil {
			return err
		}
	}
	for _, e := range h.extraListeners {
		if _, err := h.listen(e.name, e.address, e.handler(h), process.DefaultLimits()); err != nil {
			return err
		}
	}
	if h.control == nil || !l.Operator.IsValid() {
		return nil
	}
	_, err := h.listen("listen.operator", l.Operator, h.operatorServer(), operator.Limits(), process.WithTLS(h.serverTLS()))
	return err
}

func (h *Host) listen(name string, address netip.AddrPort, handler http.Handler, limits process.Limits, more ...process.ServerOption) (*process.Server, error) {
	options := append([]process.ServerOption{
		process.WithName(name),
		process.WithLimits(limits),
		process.WithLogger(h.log.WithName(label(name))),
		process.WithRefused(h.metrics.RefusedConnections.WithLabelValues(label(name)).Inc),
	}, more...)
	s, err := process.NewServer(address, handler, options...)
	if err != nil {
		return nil, err
	}
	h.servers[label(name)] = s
	h.bound[label(name)] = s.Address()
	return s, nil
}

// label returns the last part of the name of a listener, such as "peer" for "listen.peer".
func label(name string) string {
	_, l, _ := strings.Cut(name, ".")
	return l
}
