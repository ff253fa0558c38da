package backend

import "time"

// isStale reports whether an announcement arrives after a later one of the same process, after that process left, or after a
// process that started later at the same address. An announcement without a sequence counts as stale only if its process has left for
// good. The caller holds the mutex.
func (b *Backend) isStale(key string, a Announcement) bool {
	o, left := b.departed.of(key)
	if a.Sequence == 0 {
		return left && o.final && a.Incarnation != 0 && a.Incarnation == o.incarnation
	}
	if left && a.Incarnation <= o.incarnation {
		return true
	}
	for k, e := range b.endpoints {
		if k == key && !e.leaving && a.Incarnation == e.announcement.Incarnation && a.Sequence <= e.announcement.Sequence {
			return true
		}
		if e.announcement.Address == a.Address && a.Incarnation < e.announcement.Incarnation {
			return true
		}
	}
	return false
}

// Adopt restores an endpoint that this node had before a restart, until its backend server announces it or the window ends.
// The replicated set still holds the endpoint, so calls arrive before its next announcement. Adopt has no effect while the node
// is draining, at the limit of endpoints, or if the endpoint is present, has left or has lost its address to a later process.
func (b *Backend) Adopt(a Announcement, window time.Duration) {
	key, now := a.Key(), b.now()
	b.mu.Lock()
	_, known := b.endpoints[key]
	_, left := b.departed.of(key)
	if known || left || b.draining || b.addressTaken(a) || len(b.endpoints) >= maxEndpoints {
		b.mu.Unlock()
		return
	}
	b.endpoints[key] = &endpoint{
		key: key, announcement: a, pool: b.newPool(a), running: map[*runningCall]struct{}{}, renewed: now.Add(window - maxMissedRenewals*b.renewInterval),
	}
	b.mu.Unlock()
	b.log.Info("endpoint restored after a restart, until its next announcement", "endpoint", key, "address", a.Address.String(),
		"incarnation", a.Incarnation, "window", window.String())
	b.onAnnounced(a)
}

// addressTaken reports whether the same or a later process has announced itself at the address. The caller holds the mutex.
func (b *Backend) addressTaken(a Announcement) bool {
	for _, e := range b.endpoints {
		if e.announcement.Address == a.Address && e.announcement.Incarnation >= a.Incarnation {
			return true
		}
	}
	return false
}

// superseded returns the keys of other endpoints at the announcement's address, which an earlier process announced; none for an
// announcement without a sequence. The caller holds the mutex.
func (b *Backend) superseded(a Announcement) []string {
	var keys []string
	for k, e := range b.endpoints {
		if k != a.Key() && !e.leaving && a.Sequence > 0 && e.announcement.Address == a.Address {
			keys = append(keys, k)
		}
	}
	return keys
}
