package caller

import (
	"net/http"
	"time"
)

// Bounds of the listeners for callers and for backend servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // replaced by the route's deadline once the route is known
	writeTimeout      = 30 * time.Second // as readTimeout
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 32 << 10 // below the peer listener's bound, which also holds the metadata
	// writeMargin is the time after the deadline in which a caller must have taken its answer or a failure.
	writeMargin = time.Second
)

// HTTPServer returns an http.Server for the handler with bounds on header size and times.
func HTTPServer(h *Handler) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            readHeaderTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // OPTIONS * has no route, as any other path without one
	}
}
