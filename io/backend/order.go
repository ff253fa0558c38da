package backend

import (
	"math"
	"time"
)

// order is the place of an announcement among those for one address.
type order struct {
	incarnation uint64
	sequence    uint64
}

// retire remembers that a process left, so that its late announcements are ignored. The oldest memory is not needed: at the
// bound any one is dropped. The mutex is held.
func (b *Backend) retire(key string, a Announcement) {
	if len(b.gone) >= maxEndpoints {
		for k := range b.gone {
			delete(b.gone, k)
			break
		}
	}
	b.gone[key] = order{incarnation: a.Incarnation, sequence: math.MaxUint64}
}

// outdated reports whether an announcement was overtaken: by a later one of the same process, by the leave of that process,
// or by a process that started later at the same address. Only announcements with a sequence can be told; the mutex is held.
func (b *Backend) outdated(key string, a Announcement) bool {
	if a.Sequence == 0 {
		return false
	}
	if o, left := b.gone[key]; left && a.Incarnation <= o.incarnation && a.Sequence <= o.sequence {
		return true
	}
	for k, e := range b.endpoints {
		if k == key && !e.leaving && a.Incarnation == e.ann.Incarnation && a.Sequence <= e.ann.Sequence {
			return true
		}
		if e.ann.Address == a.Address && a.Incarnation < e.ann.Incarnation {
			return true
		}
	}
	return false
}

// Leave refuses new work for an endpoint, whether or not it was announced, and remembers that the process has left. It
// reports false for a leave that was overtaken by a later process.
func (b *Backend) Leave(a Announcement) bool {
	key := a.Key()
	b.mu.Lock()
	if e := b.endpoints[key]; e != nil && a.Incarnation != 0 && a.Incarnation < e.ann.Incarnation {
		b.mu.Unlock()
		return false
	}
	if b.endpoints[key] == nil {
		b.retire(key, a) // the announcement may still be on its way
	}
	b.mu.Unlock()
	b.leave(key, "announced")
	return true
}

// Adopt takes up an endpoint that this node had before a restart, until its backend server announces itself or the window
// ends. The agreed set still names it, so calls arrive before its next announcement.
func (b *Backend) Adopt(a Announcement, window time.Duration) {
	key, now := a.Key(), b.now()
	b.mu.Lock()
	_, known := b.endpoints[key]
	_, left := b.gone[key]
	if known || left || b.draining || b.taken(a) || len(b.endpoints) >= maxEndpoints {
		b.mu.Unlock()
		return
	}
	b.endpoints[key] = &endpoint{
		key: key, ann: a, pool: b.newPool(a), running: map[*run]struct{}{}, renewed: now.Add(window - missedRenews*b.renew),
	}
	b.mu.Unlock()
	b.log.Info("endpoint adopted", "endpoint", key, "address", a.Address.String(), "incarnation", a.Incarnation, "window", window.String())
	b.announced(a)
}

// taken reports whether a later process has announced itself at the address; the mutex is held.
func (b *Backend) taken(a Announcement) bool {
	for _, e := range b.endpoints {
		if e.ann.Address == a.Address && e.ann.Incarnation >= a.Incarnation {
			return true
		}
	}
	return false
}

// superseded returns the endpoints at the address of an announcement that an earlier process announced under another name.
func (b *Backend) superseded(a Announcement) []string {
	var keys []string
	for k, e := range b.endpoints {
		if k != a.Key() && !e.leaving && a.Sequence > 0 && e.ann.Address == a.Address {
			keys = append(keys, k)
		}
	}
	return keys
}
