package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"godwitspindle/core/admission"
	"godwitspindle/core/routing"
	"godwitspindle/io/backend"
	"godwitspindle/io/caller"
)

// Dial opens a connection to another node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes one part of a Host before New starts it.
type Option func(*Host)

// WithDial replaces the function that opens connections to other nodes, for example to simulate network partitions in tests.
func WithDial(d Dial) Option { return func(h *Host) { h.dial = d } }

// WithCallers replaces the handler of the listener for callers. The new handler receives the two default ones and may pass
// requests on to them: one for callers, one for calls from local backend servers.
func WithCallers(wrap func(h *Host, callers, local http.Handler) http.Handler) Option {
	return func(h *Host) { h.wrapCallers = wrap }
}

// WithIdentify sets the function that generates call ids, which must be unique.
func WithIdentify(f func(r *http.Request) string) Option {
	return func(h *Host) { h.callerOptions = append(h.callerOptions, caller.WithIdentify(f)) }
}

// WithBufferedAnswers makes the node read answers of up to n bytes to their end before it passes any of them on to a caller.
func WithBufferedAnswers(n int64) Option {
	return func(h *Host) { h.callerOptions = append(h.callerOptions, caller.WithBufferedAnswers(n)) }
}

// WithNested sets the function that reports whether a request states by its id that it is made for another request; see
// caller.WithNested.
func WithNested(f func(r *http.Request) bool) Option {
	return func(h *Host) { h.callerOptions = append(h.callerOptions, caller.WithNested(f)) }
}

// WithRevocation makes the node accept no API key once the last confirmation by a majority is older than the limit, since keys may
// have been withdrawn meanwhile. By default a node that is cut off goes on with the keys that it holds.
func WithRevocation(limit time.Duration) Option { return func(h *Host) { h.revocation = limit } }

// WithBackend adds options for the connection to local backend servers.
func WithBackend(opts ...backend.Option) Option {
	return func(h *Host) { h.backendOptions = append(h.backendOptions, opts...) }
}

// WithAdmission adds options for the admission gate of each local endpoint.
func WithAdmission(opts ...admission.Option) Option {
	return func(h *Host) { h.admissionOptions = append(h.admissionOptions, opts...) }
}

// WithRouting adds options for the choice of endpoints.
func WithRouting(opts ...routing.Option) Option {
	return func(h *Host) { h.routingOptions = append(h.routingOptions, opts...) }
}

// WithAdopted makes a restarted node serve the endpoints that the agreed set lists for it, at the given address, before their
// backend server announces itself; the announcement must come within the window. Each call must name the process that may run it.
func WithAdopted(address netip.AddrPort, window time.Duration) Option {
	return func(h *Host) { h.adopted.address, h.adopted.window = address, window }
}

// WithListener opens another listener. Its handler is created once all other parts of the process exist.
func WithListener(name string, address netip.AddrPort, handler func(h *Host) http.Handler) Option {
	return func(h *Host) {
		h.extraListeners = append(h.extraListeners, extraListener{name: name, address: address, handler: handler})
	}
}

// extraListener is a listener added by WithListener.
type extraListener struct {
	name    string
	address netip.AddrPort
	handler func(h *Host) http.Handler
}
