package replica

import (
	"math/rand/v2"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

const (
	compactEntries = 20_000   // default number of applied entries after which a snapshot is taken
	compactBytes   = 16 << 20 // default number of bytes in applied entries after which a snapshot is taken
	// compactApplyTime is the default time spent applying entries after which a snapshot is taken. It bounds how long a restarted
	// replica applies entries before it can answer, and is below an election timeout.
	compactApplyTime = 200 * time.Millisecond
	inboxLimit       = 1024                   // maximum number of queued events; beyond it callers block and messages are dropped
	roundLimit       = 512                    // maximum number of queued events handled in one round, which share one sync
	waitingLimit     = 8192                   // maximum number of proposals without a result; more are rejected
	compactRetry     = 5 * time.Second        // time after which a snapshot that found no room on the disk is tried again
	diskFullRetry    = 250 * time.Millisecond // time between two checks whether a full disk has space again
)

type settings struct {
	folder, name         string
	names                []string
	disk                 []disk.Option
	election, heartbeat  time.Duration
	now, wallClock       func() time.Time
	random               func(d time.Duration) time.Duration
	send                 func(m agreement.Message)
	apply                func(index uint64, c *wire.Command) *wire.Result
	marshal              func() ([]byte, error)
	restore              func(data []byte) error
	version              func() uint64
	onApplied            func(version uint64)
	peerClock            func(name string) (time.Time, bool)
	stateTime            func() time.Time
	onPaused             func(err error)
	onSkipped            func(index uint64, entries int)
	onSnapshotFailed     func(err error)
	maxEntries, maxBytes int
	maxApplyTime         time.Duration
}

func defaults() settings {
	return settings{
		election: time.Second, heartbeat: 100 * time.Millisecond,
		now:       time.Now,
		wallClock: time.Now,
		random:    func(d time.Duration) time.Duration { return rand.N(d) },
		onApplied: func(uint64) {},
		peerClock: func(string) (time.Time, bool) { return time.Time{}, false },
		stateTime: func() time.Time { return time.Time{} },
		onPaused:  func(error) {},
		onSkipped: func(uint64, int) {},

		onSnapshotFailed: func(error) {},
		maxEntries:       compactEntries, maxBytes: compactBytes, maxApplyTime: compactApplyTime,
	}
}

func (s *settings) check() error {
	for n, missing := range map[string]bool{
		"WithFolder": s.folder == "", "WithName": s.name == "", "WithSend": s.send == nil,
		"WithApply": s.apply == nil, "WithMarshal": s.marshal == nil, "WithRestore": s.restore == nil,
	} {
		if missing {
			return &OptionError{Option: n}
		}
	}
	return nil
}

// Option is a setting for New, which fails with *OptionError if a required one is missing.
type Option func(s *settings)

// WithFolder sets the data folder.
func WithFolder(folder string) Option { return func(s *settings) { s.folder = folder } }

// WithName sets the replica's name, the first part of its identity.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithFounders sets the names of the initial voters, the same on each of them; they are used only to found the member set.
func WithFounders(names ...string) Option { return func(s *settings) { s.names = names } }

// WithDisk passes options to the log in the data folder, for fault injection.
func WithDisk(opts ...disk.Option) Option { return func(s *settings) { s.disk = opts } }

// WithElection sets the election timeout and the heartbeat interval, which must be shorter; the defaults are 1 s and 100 ms.
func WithElection(election, heartbeat time.Duration) Option {
	return func(s *settings) { s.election, s.heartbeat = election, heartbeat }
}

// WithClock sets the clock for timers, which must be monotonic.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.now = now } }

// WithWallClock sets the clock from which commands get their time; see Replica.Propose.
func WithWallClock(wallClock func() time.Time) Option {
	return func(s *settings) { s.wallClock = wallClock }
}

// WithSend sets the function that sends a message; it is called from the loop, must not block, and may lose messages. To is
// an identity NAME/INCARNATION or, for agreement.PromiseRequest, a name; agreement.Name returns the name in both cases.
func WithSend(f func(m agreement.Message)) Option { return func(s *settings) { s.send = f } }

// WithApply sets the function that applies a command to the state machine; it is called from the loop in log order.
func WithApply(f func(index uint64, c *wire.Command) *wire.Result) Option {
	return func(s *settings) { s.apply = f }
}

// WithMarshal sets the function that encodes the state machine for a snapshot; it is called from the loop.
func WithMarshal(f func() ([]byte, error)) Option { return func(s *settings) { s.marshal = f } }

// WithRestore sets the function that replaces the state machine by a snapshot; it is called from New and from the loop.
func WithRestore(f func(data []byte) error) Option { return func(s *settings) { s.restore = f } }

// WithVersion sets the function that returns the state machine's version; the default is the last applied index.
func WithVersion(f func() uint64) Option { return func(s *settings) { s.version = f } }

// WithApplied sets the function called from the loop, with the version, after it applied entries or a snapshot.
func WithApplied(f func(version uint64)) Option { return func(s *settings) { s.onApplied = f } }

// WithPeerClock sets the function that returns the current time on the named replica's clock, or false if that is not known.
func WithPeerClock(f func(name string) (time.Time, bool)) Option {
	return func(s *settings) { s.peerClock = f }
}

// WithStateTime sets the function that returns the state machine's time; it is called from New and from the loop after a restore.
func WithStateTime(f func() time.Time) Option { return func(s *settings) { s.stateTime = f } }

// WithPaused sets the function called with the failure when the replica pauses because its disk is full, and with nil when it
// resumes or is closed.
func WithPaused(f func(err error)) Option { return func(s *settings) { s.onPaused = f } }

// WithSnapshotFailed sets the function called from the loop when a snapshot finds no room on the disk; the replica goes on with its log
// and tries again.
func WithSnapshotFailed(f func(err error)) Option {
	return func(s *settings) { s.onSnapshotFailed = f }
}

// WithSkipped sets the function called from the loop, with the log index, when entries of a membership command could not be decoded and
// are left out.
func WithSkipped(f func(index uint64, entries int)) Option {
	return func(s *settings) { s.onSkipped = f }
}

// WithMaxApplyTime sets the time spent applying entries after which a snapshot replaces them in the log.
func WithMaxApplyTime(d time.Duration) Option { return func(s *settings) { s.maxApplyTime = d } }

// WithCompaction sets the limits on applied entries and on their bytes; at either limit a snapshot replaces them in the log.
func WithCompaction(maxEntries, maxBytes int) Option {
	return func(s *settings) { s.maxEntries, s.maxBytes = maxEntries, maxBytes }
}
