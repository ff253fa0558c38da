package store

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/claim"
	"godwitspindle/core/config"
	"godwitspindle/core/quarantine"
	"godwitspindle/core/wire"
)

// Bounds of the state. All replicas must use the same.
const (
	MaxHistory  = 1000           // accepted changes
	MaxContent  = 8 << 20        // bytes of distinct registers and rule sets kept for revert
	IDRetention = 24 * time.Hour // of change ids by state time; the newest MinIDs are kept longer
	MinIDs      = 1000
	MaxIDs      = 4096   // forgetting an id early is safe: its base is below a known change, so a resend is a conflict
	MaxNodes    = 21_000 // ten times the design size
	MaxMembers  = 42_000 // endpoints
	MaxRetired  = 4096   // names whose former incarnations are remembered
)

// Codes of refusal.
const (
	Invalid  = "invalid"
	Reused   = "reused"
	Expired  = "expired"
	Missing  = "missing"
	Mismatch = "mismatch" // an edit does not lead to the content that it stands for; the whole content has to be sent
)

// Store is the agreed state; it is not safe for concurrent use, but the snapshots that it returns are.
type Store struct {
	index      uint64 // of the last command
	time       int64  // highest leader time seen, Unix milliseconds
	snapshot   *config.Snapshot
	content    *content
	history    []*record // oldest first
	kept       int       // at least the bytes of content in the history
	forgotten  uint64    // version of the newest change that left the history
	ids        map[string]*answered
	order      []*answered // oldest first
	members    *members
	claims     *claim.Table
	quarantine *quarantine.Table
}

// Option changes a store that is being made.
type Option func(*Store)

// WithClaims sets the table of claims, for other bounds.
func WithClaims(t *claim.Table) Option { return func(s *Store) { s.claims = t } }

// New returns an empty store.
func New(opts ...Option) *Store {
	s := &Store{
		snapshot:   config.NewSnapshot(),
		content:    &content{register: &wire.Register{}},
		ids:        make(map[string]*answered),
		members:    newMembers(),
		claims:     claim.New(),
		quarantine: quarantine.New(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Snapshot returns the configuration after the last command.
func (s *Store) Snapshot() *config.Snapshot { return s.snapshot }

// Index returns the log index of the last command.
func (s *Store) Index() uint64 { return s.index }

// Time returns the state time, the highest leader time seen.
func (s *Store) Time() time.Time { return time.UnixMilli(s.time) }

// Apply carries out the command at a log index and returns its answer; a refusal is an answer too. A command at or below
// the last index has been applied already and changes nothing.
func (s *Store) Apply(index uint64, c *wire.Command) *wire.Result {
	if index <= s.index {
		return s.result()
	}
	s.index = index
	s.time = max(s.time, c.GetTime())
	now := s.Time()
	s.claims.Expire(now)
	s.expireIDs()
	dirty := suspectKeys(s.quarantine.Expire(now))
	var answer *wire.Result
	switch b := c.GetBody().(type) {
	case *wire.Command_Change:
		answer = s.change(index, b.Change, &dirty)
	case *wire.Command_Membership:
		dirty = append(dirty, s.members.apply(b.Membership)...)
	case *wire.Command_Claims:
		answer = &wire.Result{Body: &wire.Result_Claims{Claims: s.applyClaims(now, b.Claims)}}
	case *wire.Command_Marks:
		dirty = append(dirty, suspectKeys(s.quarantine.Apply(now, b.Marks.GetMarks()))...)
	}
	s.sync(index, dirty, answer.GetAccepted() != nil && answer.GetAccepted().GetVersion() == index)
	if answer == nil {
		return s.result()
	}
	answer.Version = s.snapshot.Version()
	return answer
}

func (s *Store) result() *wire.Result { return &wire.Result{Version: s.snapshot.Version()} }

func (s *Store) applyClaims(now time.Time, c *wire.Claims) *wire.ClaimResults {
	list := &wire.ClaimResults{Results: make([]*wire.ClaimResult, 0, len(c.GetClaims()))}
	for _, c := range c.GetClaims() {
		list.Results = append(list.Results, s.claims.Apply(now, c))
	}
	return list
}

// sync makes the entries of dirty keys what they should be. A new version is made when an entry changed or when forced.
func (s *Store) sync(version uint64, dirty []string, forced bool) {
	var puts []config.Entry
	var removes []string
	for _, k := range dirty {
		held, ok := s.snapshot.Get(k)
		m := s.wanted(k)
		if m == nil {
			if ok {
				removes = append(removes, k)
			}
			continue
		}
		value := encode(m)
		if !ok || string(held.Value) != string(value) {
			puts = append(puts, config.Entry{Key: k, Value: value})
		}
	}
	if forced || len(puts)+len(removes) > 0 {
		s.snapshot = s.snapshot.With(version, puts, removes)
	}
}

// wanted returns the message that a key should have in the snapshot, or nil.
func (s *Store) wanted(key string) proto.Message {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "node":
		if n := s.members.nodes[name]; n != nil {
			return n
		}
		return nil
	case "endpoint":
		e := s.members.endpoints[name]
		if e == nil || s.content.entries["service/"+e.GetService()] == nil || s.members.nodes[e.GetNode()] == nil {
			return nil
		}
		return e
	case "suspect":
		if q, ok := s.quarantine.Suspect(fingerprint(name)); ok {
			return q
		}
		return nil
	}
	return s.content.entries[key]
}

// encode marshals a message of this module; that fails only for invalid UTF-8, which validation keeps out of names, and
// then the entry is empty and the table check refuses it everywhere alike.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}
