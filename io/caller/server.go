package caller

import (
	"net/http"
	"time"
)

// Limits of the listeners for callers and for backend servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // replaced by the request's deadline before a body is read
	writeTimeout      = 30 * time.Second // replaced by the request's deadline plus writeMargin once the route is known
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10 // less than on the peer listener, where requests also carry metadata
	// writeMargin is how long after the deadline a caller may still read its answer or a failure.
	writeMargin = time.Second
)

// HTTPServer returns an http.Server for the handler, with limits on header size, reads, writes and idle time.
func HTTPServer(h *Handler) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            readHeaderTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // the handler answers OPTIONS *, which matches no route
	}
}
