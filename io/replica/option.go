package replica

import (
	"math/rand/v2"
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
)

const (
	compactEntries = 20_000
	compactBytes   = 16 << 20
	// compactApplyTime bounds how long a restarted replica applies entries before it can answer; it is below an election timeout.
	compactApplyTime = 200 * time.Millisecond
	inboxLimit       = 1024                   // queued events; more block callers and drop messages
	roundLimit       = 512                    // events handled in one round, which share one sync
	waitingLimit     = 8192                   // proposals without a result; more are rejected
	diskFullRetry    = 250 * time.Millisecond // between checks whether a full disk has space again
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
	applied              func(version uint64)
	peerClock            func(name string) (time.Time, bool)
	stateTime            func() time.Time
	paused               func(err error)
	maxEntries, maxBytes int
	maxApplyTime         time.Duration
}

func defaults() settings {
	return settings{
		election: time.Second, heartbeat: 100 * time.Millisecond,
		now:        time.Now,
		wallClock:  time.Now,
		random:     func(d time.Duration) time.Duration { return rand.N(d) },
		applied:    func(uint64) {},
		peerClock:  func(string) (time.Time, bool) { return time.Time{}, false },
		stateTime:  func() time.Time { return time.Time{} },
		paused:     func(error) {},
		maxEntries: compactEntries, maxBytes: compactBytes, maxApplyTime: compactApplyTime,
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

// Option configures a Replica.
type Option func(s *settings)

// WithFolder sets the data folder.
func WithFolder(folder string) Option { return func(s *settings) { s.folder = folder } }

// WithName sets the replica's name, the first part of its identity.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithNames sets the names of the initial voters, the same on each of them; they are used only to found the member set.
func WithNames(names ...string) Option { return func(s *settings) { s.names = names } }

// WithDisk passes options to the log in the data folder, for fault injection.
func WithDisk(opts ...disk.Option) Option { return func(s *settings) { s.disk = opts } }

// WithElection sets the election timeout and the heartbeat interval.
func WithElection(election, heartbeat time.Duration) Option {
	return func(s *settings) { s.election, s.heartbeat = election, heartbeat }
}

// WithClock sets the clock for timers, which must be monotonic.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.now = now } }

// WithWallClock sets the clock that stamps commands.
func WithWallClock(wallClock func() time.Time) Option {
	return func(s *settings) { s.wallClock = wallClock }
}

// WithSend sets the function that sends a message; it is called from the loop, must not block, and may lose messages. To is
// an identity NAME/INCARNATION or, for agreement.Ask, a name; agreement.Name returns the name in both cases.
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
func WithApplied(f func(version uint64)) Option { return func(s *settings) { s.applied = f } }

// WithClocks sets the function that returns the current time on another replica's clock, by name; false when not known.
func WithClocks(f func(name string) (time.Time, bool)) Option {
	return func(s *settings) { s.peerClock = f }
}

// WithStateTime sets the function that returns the state machine's time; it is called after a restore.
func WithStateTime(f func() time.Time) Option { return func(s *settings) { s.stateTime = f } }

// WithPaused sets the function called with the failure when the replica pauses because its disk is full, and with nil when it
// resumes.
func WithPaused(f func(err error)) Option { return func(s *settings) { s.paused = f } }

// WithReplay sets the time spent applying entries after which a snapshot replaces the log.
func WithReplay(d time.Duration) Option { return func(s *settings) { s.maxApplyTime = d } }

// WithCompaction sets the number of applied entries, or of their bytes, after which a snapshot replaces the log.
func WithCompaction(maxEntries, maxBytes int) Option {
	return func(s *settings) { s.maxEntries, s.maxBytes = maxEntries, maxBytes }
}
