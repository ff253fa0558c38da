package replica

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

// daySite is one host with its disk.
type daySite struct {
	day      *day
	name     string
	folder   string
	id       string
	replica  *Replica // nil while the process is down
	startAt  time.Time
	tickAt   time.Time
	cause    error // the replica is paused; nil if it runs
	retryAt  time.Time
	fullTill time.Time
	refused  map[disk.Operation]bool // operations that a full disk refuses, besides writes
	ids      []string                // applied changes
	applied  uint64
	pauses   int
}

// isFull reports whether a write of n bytes finds no room.
func (s *daySite) isFull(n int) bool {
	if s.day.now.Before(s.fullTill) && !s.refused[syncs] && !s.refused[segments] && (!s.refused[half] || s.day.random.Intn(2) == 0) {
		return true
	}
	if s.day.capacity == 0 {
		return false
	}
	files, _ := filepath.Glob(filepath.Join(s.folder, "*"))
	for _, f := range files {
		if i, err := os.Stat(f); err == nil {
			n += int(i.Size())
		}
	}
	return int64(n) > s.day.capacity
}

func (s *daySite) options() []Option {
	d := s.day
	return []Option{
		WithFolder(s.folder), WithName(s.name), WithFounders(d.names...), WithElection(dayElection, dayHeartbeat),
		WithClock(func() time.Time { return d.now }), WithWallClock(func() time.Time { return d.now }),
		func(o *settings) {
			o.random = func(l time.Duration) time.Duration { return time.Duration(d.random.Int63n(int64(l))) }
		},
		WithSend(func(m agreement.Message) {
			d.checkVote(m)
			if d.random.Float64() < d.loss {
				return
			}
			d.flights = append(d.flights, flight{at: d.now.Add(time.Duration(1+d.random.Intn(10)) * time.Millisecond), m: m})
		}),
		WithApply(func(index uint64, c *wire.Command) *wire.Result { return s.apply(index, c) }),
		WithMarshal(func() ([]byte, error) {
			return json.Marshal(map[string]any{"index": s.applied, "ids": s.ids, "padding": strings.Repeat("x", d.padding)})
		}),
		WithRestore(func(data []byte) error {
			var state struct {
				Index uint64
				IDs   []string
			}
			err := json.Unmarshal(data, &state)
			s.applied, s.ids = state.Index, state.IDs
			return err
		}),
		WithVersion(func() uint64 { return s.applied }),
		WithCompaction(d.compactEntries, 1<<20), WithMaxApplyTime(time.Hour),
		WithDisk(disk.WithSegmentSize(d.segment), disk.WithSync(func(*os.File) error {
			if s.refused[syncs] && d.now.Before(s.fullTill) {
				return syscall.EIO
			}
			return nil
		}),
			disk.WithWrite(func(f *os.File, b []byte) (int, error) {
				if s.isFull(len(b)) {
					n, _ := f.Write(b[:d.random.Intn(len(b))])
					return n, syscall.ENOSPC
				}
				return f.Write(b)
			}),
			disk.WithFault(func(o disk.Operation, path string) error {
				segment := o == disk.Create && strings.HasPrefix(filepath.Base(path), "log-")
				if (s.refused[o] || s.refused[segments] && segment) && d.now.Before(s.fullTill) {
					return syscall.ENOSPC
				}
				return nil
			})),
	}
}

// apply ignores a command that it has applied and a change with the id of an accepted one, as the store does.
func (s *daySite) apply(index uint64, c *wire.Command) *wire.Result {
	id := c.GetChange().GetId()
	if index <= s.applied {
		return &wire.Result{Version: s.applied}
	}
	s.applied = index
	if id == "" || slices.Contains(s.ids, id) {
		return &wire.Result{Version: index}
	}
	s.ids = append(s.ids, id)
	n := len(s.ids)
	if n > len(s.day.agreed) {
		s.day.agreed = append(s.day.agreed, id)
	}
	if s.day.agreed[n-1] != id {
		s.day.fail("%s applies change %s in place of %s", s.name, id, s.day.agreed[n-1])
	}
	return &wire.Result{Version: index}
}

// start starts the process, and again later if the disk has no room for it.
func (s *daySite) start() {
	s.ids, s.applied, s.cause = nil, 0, nil
	r, err := open(s.options()...)
	if err != nil {
		if !endsByItself(err) {
			s.day.fail("%s does not start: %v", s.name, err)
		}
		s.startAt = s.day.now.Add(restartPause)
		return
	}
	r.startWork = func(work func() error) { r.diskDone <- work() }
	s.replica, s.id, s.startAt = r, r.ID(), time.Time{}
	s.tickAt = s.day.now.Add(time.Duration(s.day.random.Intn(25)) * time.Millisecond)
}

// kill ends the process and starts it again after a while.
func (s *daySite) kill(d time.Duration) {
	if s.replica == nil {
		return
	}
	s.day.logf("%s is killed for %s", s.name, d)
	_ = s.replica.log.Close()
	s.replica.suspend(syscall.EPIPE)
	s.replica, s.startAt = nil, s.day.now.Add(d)
}

// What a faulty disk refuses instead of all writes: syncs, one half of the writes, or new segments.
const (
	syncs    disk.Operation = "syncs only"
	half     disk.Operation = "half of the writes only"
	segments disk.Operation = "new segments only"
)

// endsByItself reports whether a start may fail with an error, because the disk is faulty for the moment.
func endsByItself(err error) bool { return isFull(err) || errors.As(err, new(*disk.SyncError)) }

// failed ends the process of a replica that has stopped, which only a failed sync may do, and starts it again.
func (s *daySite) failed(err error) {
	if !errors.As(err, new(*disk.SyncError)) {
		s.day.fail("%s ends by itself: %v", s.name, err)
		return
	}
	s.day.logf("%s ends: %v", s.name, err)
	s.kill(restartPause)
}

// run plays one step of the site, with the code of the replica's loop.
func (s *daySite) run() {
	r, now := s.replica, s.day.now
	switch {
	case r == nil && !now.Before(s.startAt):
		s.start()
	case r == nil:
	case s.cause != nil:
		for len(r.inbox) > 0 {
			rejectWhilePaused(<-r.inbox, s.cause)
		}
		if now.Before(s.retryAt) {
			return
		}
		s.retryAt = now.Add(diskFullRetry)
		err := r.reopen()
		if err == nil {
			s.cause = nil
			s.day.logf("%s resumes", s.name)
			return
		}
		if !isFull(err) {
			s.failed(err)
		}
	default:
		due := !now.Before(s.tickAt)
		if due {
			s.tickAt = now.Add(dayHeartbeat / ticksPerHeartbeat)
			r.protocol.Tick(now)
		}
		if !due && len(r.inbox) == 0 {
			return
		}
		err := r.runRound(nil)
		for err == nil && r.onDisk != nil {
			err = r.endDiskWork(<-r.diskDone)
		}
		if err == nil {
			s.day.checkLeader(r.Status())
			return
		}
		if !isFull(err) {
			s.failed(err)
			return
		}
		s.pauses++
		s.day.logf("%s pauses, %s in term %d: %v", s.name, r.Status().Role, r.Status().Term, err)
		s.cause, s.retryAt = err, now.Add(diskFullRetry)
		r.suspend(err)
	}
}

// fill lets the disk of a site be full for some time.
func (s *daySite) fill(d time.Duration, refused ...disk.Operation) {
	s.fullTill, s.refused = s.day.now.Add(d), map[disk.Operation]bool{}
	for _, o := range refused {
		s.refused[o] = true
	}
	s.day.logf("the disk of %s is full for %s, refuses %v too", s.name, d, refused)
	if s.fullTill.After(s.day.quietAt) {
		s.day.quietAt = s.fullTill
	}
}

// submit passes a change to the loop of the site's replica, unless its queue is full.
func (s *daySite) submit(id string, answer chan reply) {
	c := &wire.Command{Time: s.day.now.UnixMilli(), Body: &wire.Command_Change{Change: &wire.Change{Id: id}}}
	data, err := proto.Marshal(c)
	if err != nil {
		s.day.t.Fatal(err)
	}
	select {
	case s.replica.inbox <- event{data: data, answer: answer}:
	default:
	}
}

// count returns how often a change is in the state of the site.
func (s *daySite) count(id string) int {
	n := 0
	for _, o := range s.ids {
		if o == id {
			n++
		}
	}
	return n
}
