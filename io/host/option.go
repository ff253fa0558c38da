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

// Option configures a Host.
type Option func(*Host)

// WithDial replaces the function that opens connections to other nodes, for tests of partitions.
func WithDial(d Dial) Option { return func(h *Host) { h.dial = d } }

// WithCallers replaces the handler of the listener for callers by one that passes on to the mesh's own two: that for callers
// and that for calls of backend servers beside the node.
func WithCallers(wrap func(h *Host, callers, local http.Handler) http.Handler) Option {
	return func(h *Host) { h.wrap = wrap }
}

// WithIdentify sets the source of call ids, which must not repeat.
func WithIdentify(f func(r *http.Request) string) Option {
	return func(h *Host) { h.identify = append(h.identify, caller.WithIdentify(f)) }
}

// WithBackend adds options for the side of the backend servers.
func WithBackend(opts ...backend.Option) Option {
	return func(h *Host) { h.toBackend = append(h.toBackend, opts...) }
}

// WithAdmission adds options for the admission of each endpoint beside the node.
func WithAdmission(opts ...admission.Option) Option {
	return func(h *Host) { h.toGate = append(h.toGate, opts...) }
}

// WithRouting adds options for the choice of endpoints.
func WithRouting(opts ...routing.Option) Option {
	return func(h *Host) { h.toPicker = append(h.toPicker, opts...) }
}

// WithAdopted makes the node take up its endpoints at an address after a restart, before their backend server announces
// itself: those that the agreed set still names as its own, for a window. Each call must name the process that may run it.
func WithAdopted(address netip.AddrPort, window time.Duration) Option {
	return func(h *Host) { h.adopted.address, h.adopted.window = address, window }
}

// WithListener opens one more listener; its handler is made when the process is complete.
func WithListener(name string, address netip.AddrPort, handler func(h *Host) http.Handler) Option {
	return func(h *Host) { h.extra = append(h.extra, extra{name: name, address: address, handler: handler}) }
}

// extra is a listener of an adapter.
type extra struct {
	name    string
	address netip.AddrPort
	handler func(h *Host) http.Handler
}
