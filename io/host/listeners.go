package host

import (
	"net/http"
	"net/netip"
	"strings"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/config"
	"godwitspindle/io/hop"
	"godwitspindle/io/operator"
	"godwitspindle/io/peer"
	"godwitspindle/io/platform"
)

const (
	callBytes      = 16 << 20 // request body
	peerBytes      = 64 << 20 // a log snapshot
	callerConns    = 4096
	peerConns      = 8192 // every node may connect to a replica when relays are lost
	peerStreams    = 1000
	headerTime     = 5 * time.Second
	callerIdleTime = 60 * time.Second
)

// startPeers opens the peer listener, which carries both the inner protocol and inner calls.
func (h *Host) startPeers() error {
	path, handler := peer.NewHandler(h.peerServer())
	mux := http.NewServeMux()
	mux.Handle(path, peer.Authorize(h.settings.Key, handler))
	calls := hop.NewServer(hop.WithServerKey(h.settings.Key), hop.WithDo(h.backend.Do), hop.WithNext(mux), hop.WithMaxBody(callBytes))
	s, err := h.listen("listen.peer", h.settings.Listen.Peer, calls, platform.Limits{
		Header: 64 << 10, Body: peerBytes, Connections: peerConns, Streams: peerStreams, HeaderTime: headerTime, IdleTime: 3 * time.Minute,
	}, platform.WithH2C(), platform.WithTLS(h.serverTLS()))
	h.peers = s
	return err
}

// startListeners opens all other listeners.
func (h *Host) startListeners() error {
	l := h.settings.Listen
	calls := platform.Limits{Header: 64 << 10, Body: callBytes, Connections: callerConns, Streams: 250, HeaderTime: headerTime, IdleTime: callerIdleTime}
	list := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		limits  platform.Limits
	}{
		{"listen.caller", l.Caller, h.callers, calls},
		{"listen.local", l.Local, h.locally, calls},
		{"listen.backend", l.Backend, h.backend.Handler(), platform.DefaultLimits()},
		{"listen.metrics", l.Metrics, h.metrics.Handler(), platform.DefaultLimits()},
	}
	for _, e := range list {
		if _, err := h.listen(e.name, e.address, e.handler, e.limits); err != nil {
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
	h.servers = append(h.servers, s)
	h.bound[label] = s.Address()
	return s, nil
}

// replicaNames lists voters and learners without incarnations.
func replicaNames(ids []string) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, agreement.Name(id))
	}
	return names
}

// usages lists the capacity of the services in force.
func usages(t *config.Table) []operator.Usage {
	var list []operator.Usage
	for _, s := range t.Services() {
		u := operator.Usage{Name: s.Name, Endpoints: len(s.Endpoints)}
		for _, e := range s.Endpoints {
			u.Slots += e.Slots
		}
		list = append(list, u)
	}
	return list
}
