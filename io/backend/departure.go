package backend

import "slices"

// departure is a process that left.
type departure struct {
	incarnation uint64
	final       bool // no announcement of the process takes the leave back
}

// departureOf returns the departure of an announced process. It is final if its announcements can be told from those of a later
// process, and late ones from new ones.
func departureOf(a Announcement, reason string) departure {
	return departure{incarnation: a.Incarnation, final: a.Incarnation != 0 && (a.Sequence > 0 || reason == reasonStated)}
}

// departures holds the process that last left of each endpoint. It forgets the oldest ones above maxEndpoints.
type departures struct {
	processes map[string]departure // by endpoint key
	order     []string             // keys, the one that left first in front
}

// of returns the process of an endpoint that left.
func (d *departures) of(key string) (departure, bool) {
	p, ok := d.processes[key]
	return p, ok
}

func (d *departures) remove(key string) {
	if _, ok := d.processes[key]; !ok {
		return
	}
	delete(d.processes, key)
	d.order = slices.DeleteFunc(d.order, func(k string) bool { return k == key })
}

// add records a process that left. One without an incarnation does not replace one that has one, since late announcements are compared
// with it.
func (d *departures) add(key string, p departure) {
	o, ok := d.of(key)
	if ok && p.incarnation == 0 {
		return
	}
	if ok && o.incarnation == p.incarnation {
		p.final = p.final || o.final
	}
	d.remove(key)
	if len(d.order) >= maxEndpoints {
		d.remove(d.order[0])
	}
	d.processes[key] = p
	d.order = append(d.order, key)
}

// Leave marks an endpoint as leaving and records that its process left, even if the endpoint was not announced. A process with an
// incarnation leaves for good. Leave returns false, without effect, if a has an incarnation and a process that started later has
// announced the endpoint.
func (b *Backend) Leave(a Announcement) bool {
	key := a.Key()
	b.mu.Lock()
	e := b.endpoints[key]
	if e != nil && a.Incarnation != 0 && a.Incarnation < e.announcement.Incarnation {
		b.mu.Unlock()
		return false
	}
	list := []departure{{incarnation: a.Incarnation, final: a.Incarnation != 0}}
	switch {
	case e != nil && a.Incarnation == 0:
		list = []departure{departureOf(e.announcement, reasonAnnounced)}
	case e != nil && a.Incarnation > e.announcement.Incarnation: // the announcement of the process that leaves has not arrived
		list = []departure{departureOf(e.announcement, reasonReplaced), list[0]}
	}
	began := b.beginLeave(key, e, list...)
	b.mu.Unlock()
	b.reportLeave(key, reasonAnnounced, began, list...)
	return true
}

// Depart makes an endpoint leave whose process is known to have left for good, unless another process has it.
func (b *Backend) Depart(key string, incarnation uint64) {
	b.leaveIf(key, reasonAgreed, func(e *endpoint) bool { return e.announcement.Incarnation == incarnation })
}

// leave marks an endpoint as leaving, so that it gets no new calls; calls in flight continue. It returns false if the endpoint
// is unknown or already leaving.
func (b *Backend) leave(key, reason string) bool {
	return b.leaveIf(key, reason, func(*endpoint) bool { return true })
}

// leaveIf is leave for an endpoint whose current process fits.
func (b *Backend) leaveIf(key, reason string, fits func(e *endpoint) bool) bool {
	b.mu.Lock()
	e := b.endpoints[key]
	if e == nil || !fits(e) {
		b.mu.Unlock()
		return false
	}
	var list []departure
	if reason != reasonNotRenewed {
		list = append(list, departureOf(e.announcement, reason))
	}
	began := b.beginLeave(key, e, list...)
	b.mu.Unlock()
	b.reportLeave(key, reason, began, list...)
	return began
}

// beginLeave records the departures of an endpoint, also if its lease has expired before, so that a late announcement does not restore
// it. It marks the endpoint, which is nil if it was not announced, as leaving, and returns false if there was nothing to mark. The
// caller holds the mutex.
func (b *Backend) beginLeave(key string, e *endpoint, list ...departure) bool {
	for _, d := range list {
		b.departed.add(key, d)
	}
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	e.pool.sweep(b.now(), true)
	return true
}

// reportLeave tells the host what beginLeave has recorded. The caller does not hold the mutex.
func (b *Backend) reportLeave(key, reason string, began bool, list ...departure) {
	for _, d := range list {
		if d.final {
			b.onDeparted(key, d.incarnation)
		}
	}
	if !began {
		return
	}
	b.log.Info("endpoint left", "endpoint", key, "reason", reason)
	b.onLeft(key, reason)
}
