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
	// compactReplay bounds how long a restarted replica applies entries before it can answer; it stays below an election timeout.
	compactReplay = 200 * time.Millisecond
	inboxLimit    = 1024                   // events waiting for the loop
	roundLimit    = 512                    // events taken in one round, which share one sync
	waitingLimit  = 8192                   // proposals without a result
	fullPause     = 250 * time.Millisecond // between attempts to go on after a full disk
)

type settings struct {
	folder, name        string
	names               []string
	disk                []disk.Option
	election, heartbeat time.Duration
	now, wall           func() time.Time
	random              func(d time.Duration) time.Duration
	send                func(m agreement.Message)
	apply               func(index uint64, c *wire.Command) *wire.Result
	marshal             func() ([]byte, error)
	restore             func(data []byte) error
	version             func() uint64
	applied             func(version uint64)
	clock               func(name string) (time.Time, bool)
	stateTime           func() time.Time
	paused              func(err error)
	entries, bytes      int
	replay              time.Duration
}

func defaults() settings {
	return settings{
		election: time.Second, heartbeat: 100 * time.Millisecond,
		now:       time.Now,
		wall:      time.Now,
		random:    func(d time.Duration) time.Duration { return rand.N(d) },
		applied:   func(uint64) {},
		clock:     func(string) (time.Time, bool) { return time.Time{}, false },
		stateTime: func() time.Time { return time.Time{} },
		paused:    func(error) {},
		entries:   compactEntries, bytes: compactBytes, replay: compactReplay,
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

// Option sets up a Replica.
type Option func(s *settings)

// WithFolder sets the data folder.
func WithFolder(folder string) Option { return func(s *settings) { s.folder = folder } }

// WithName sets the replica's name.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithNames sets the names of the initial voters, the same on each of them; they count only until founding.
func WithNames(names ...string) Option { return func(s *settings) { s.names = names } }

// WithDisk passes options to the data folder, for fault injection.
func WithDisk(opts ...disk.Option) Option { return func(s *settings) { s.disk = opts } }

// WithElection sets the election timeout and the heartbeat interval.
func WithElection(election, heartbeat time.Duration) Option {
	return func(s *settings) { s.election, s.heartbeat = election, heartbeat }
}

// WithClock replaces the clock; it must be monotonic.
func WithClock(now func() time.Time) Option { return func(s *settings) { s.now = now } }

// WithWall replaces the clock whose time goes into commands.
func WithWall(wall func() time.Time) Option { return func(s *settings) { s.wall = wall } }

// WithSend sets how messages leave: it is called from the loop, must not block, and may lose messages. To is an
// identity NAME/INCARNATION or, for agreement.Ask, a name; agreement.Name gives the name in both cases.
func WithSend(f func(m agreement.Message)) Option { return func(s *settings) { s.send = f } }

// WithApply sets the state machine; it is called from the loop in log order.
func WithApply(f func(index uint64, c *wire.Command) *wire.Result) Option {
	return func(s *settings) { s.apply = f }
}

// WithMarshal sets how the state machine is written for a snapshot; it is called from the loop.
func WithMarshal(f func() ([]byte, error)) Option { return func(s *settings) { s.marshal = f } }

// WithRestore sets how the state machine is replaced by a snapshot; it is called from New and from the loop.
func WithRestore(f func(data []byte) error) Option { return func(s *settings) { s.restore = f } }

// WithVersion sets the source of the state machine's version; without it the version is the last applied index.
func WithVersion(f func() uint64) Option { return func(s *settings) { s.version = f } }

// WithApplied sets a function that is called from the loop after a round applied entries or a snapshot.
func WithApplied(f func(version uint64)) Option { return func(s *settings) { s.applied = f } }

// WithClocks sets the source of what the clocks of other replicas show now, by name; false when not known.
func WithClocks(f func(name string) (time.Time, bool)) Option {
	return func(s *settings) { s.clock = f }
}

// WithStateTime sets the source of the state machine's time after a restore.
func WithStateTime(f func() time.Time) Option { return func(s *settings) { s.stateTime = f } }

// WithPaused sets a function that is called with the failure when the replica pauses since its disk is full, and with nil when
// it goes on.
func WithPaused(f func(err error)) Option { return func(s *settings) { s.paused = f } }

// WithReplay sets after how much time spent on applying entries a snapshot replaces the log.
func WithReplay(d time.Duration) Option { return func(s *settings) { s.replay = d } }

// WithCompaction sets after how many applied entries or bytes of them a snapshot replaces the log.
func WithCompaction(entries, bytes int) Option {
	return func(s *settings) { s.entries, s.bytes = entries, bytes }
}
