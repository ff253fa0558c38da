package host

import (
	"net/netip"
	"sync"
	"time"

	"godwitspindle/io/backend"
	"godwitspindle/io/peer"
)

// adoption holds the values set by WithAdopted.
type adoption struct {
	address netip.AddrPort
	window  time.Duration
	once    sync.Once
}

// adopt registers the endpoints that the first served version lists for this node. Without WithAdopted, and before a version
// is served, it does nothing.
func (h *Host) adopt(v peer.View) {
	if h.adopted.window == 0 || !h.holder.Serving() {
		return
	}
	h.adopted.once.Do(func() {
		_, endpoints := v.Snapshot.Members()
		for _, e := range endpoints {
			if e.GetNode() != h.settings.Name || e.GetSlots() == 0 || e.GetConnections() == 0 {
				continue // an endpoint without slots or connections would take calls that it never runs
			}
			h.backend.Adopt(backend.Announcement{
				Service: e.GetService(), Endpoint: e.GetName(), Address: h.adopted.address, Slots: int(e.GetSlots()),
				Connections: int(e.GetConnections()), Incarnation: e.GetIncarnation(), Release: e.GetRelease(),
			}, h.adopted.window)
		}
		h.notifyAnnouncer()
	})
}
