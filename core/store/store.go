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

// Limits of the state. They must be equal on all replicas, or the states of replicas diverge.
const (
	MaxHistory      = 1000           // accepted changes in the history
	MaxContentBytes = 8 << 20        // bytes of distinct registers, rule sets, bounds and customers kept for reverts
	IDRetention     = 24 * time.Hour // state time for which ids of accepted changes are kept, within MinIDs and MaxIDs
	MinIDs          = 1000           // number of newest ids that are kept whatever their age
	MaxIDs          = 4096           // most ids kept; dropping one early is safe: a resend with it conflicts with a later change
	MaxNodes        = 21_000         // nodes; ten times the design size
	MaxEndpoints    = 42_000         // endpoints, including those of unknown services
	MaxRollouts     = 4096           // rollouts kept, those of services that have left the configuration included
	MaxRetiredKeys  = 8192           // nodes and endpoints whose former incarnations are kept; several releases of all endpoints of the design size
)

// Codes with which a change is refused.
const (
	Invalid        = "invalid"  // a field of the change or the resulting configuration is invalid
	Reused         = "reused"   // an accepted change with other content has the id
	Expired        = "expired"  // changes after the base are no longer in the history
	Missing        = "missing"  // the content to revert to is not in the history
	RolloutRunning = "running"  // another rollout of the service is running
	Mismatch       = "mismatch" // the edit does not produce the content of its digest; the client must send the whole content
)

// Store is the replicated state; it is not safe for concurrent use, but the snapshots that it returns are.
type Store struct {
	index          uint64 // log index of the last applied command
	time           int64  // state time: highest leader time seen, Unix milliseconds
	snapshot       *config.Snapshot
	content        *content               // configuration set by operators, after the newest accepted change
	history        []*record              // accepted changes, oldest first
	contentBytes   int                    // upper bound of the bytes of the contents in the history
	evictedVersion uint64                 // version of the newest change evicted from the history
	ids            map[string]*acceptedID // by id of the change
	idOrder        []*acceptedID          // the values of ids, oldest first
	members        *members
	rollouts       map[string]*wire.Rollout // newest rollout by service, including services that have left the configuration
	claims         *claim.Table
	quarantine     *quarantine.Table
}

// Option is an argument of New that replaces a default of the Store.
type Option func(*Store)

// WithClaims sets the claim table, for instance one with other limits than the default.
func WithClaims(t *claim.Table) Option { return func(s *Store) { s.claims = t } }

// New returns an empty Store with the given options.
func New(opts ...Option) *Store {
	s := &Store{
		snapshot:   config.NewSnapshot(),
		content:    &content{register: &wire.Register{}},
		ids:        make(map[string]*acceptedID),
		members:    newMembers(),
		rollouts:   make(map[string]*wire.Rollout),
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

// Index returns the log index of the last applied command.
func (s *Store) Index() uint64 { return s.index }

// Time returns the state time: the highest leader time among the applied commands, equal on all replicas.
func (s *Store) Time() time.Time { return time.UnixMilli(s.time) }

// Apply applies the command at a log index and returns its result, which may be a refusal. A command at or below the last
// index was applied before and changes nothing.
func (s *Store) Apply(index uint64, c *wire.Command) *wire.Result {
	if index <= s.index {
		return s.versionResult()
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
		answer = s.applyChange(index, b.Change, &dirty)
	case *wire.Command_Membership:
		dirty = append(dirty, s.members.apply(b.Membership)...)
	case *wire.Command_Claims:
		answer = &wire.Result{Body: &wire.Result_Claims{Claims: s.applyClaims(now, b.Claims)}}
	case *wire.Command_Marks:
		dirty = append(dirty, suspectKeys(s.quarantine.Apply(now, b.Marks.GetMarks()))...)
	case *wire.Command_Order:
		answer = s.applyOrder(index, b.Order, &dirty)
	case *wire.Command_Advance:
		answer = s.applyAdvance(b.Advance, &dirty)
	}
	s.updateSnapshot(index, dirty, answer.GetAccepted() != nil && answer.GetAccepted().GetVersion() == index)
	if answer == nil {
		return s.versionResult()
	}
	answer.Version = s.snapshot.Version()
	return answer
}

func (s *Store) versionResult() *wire.Result { return &wire.Result{Version: s.snapshot.Version()} }

func (s *Store) applyClaims(now time.Time, c *wire.Claims) *wire.ClaimResults {
	list := &wire.ClaimResults{Results: make([]*wire.ClaimResult, 0, len(c.GetClaims()))}
	for _, c := range c.GetClaims() {
		list.Results = append(list.Results, s.claims.Apply(now, c))
	}
	return list
}

// updateSnapshot updates the entries of the dirty keys in the snapshot. It makes a new version when an entry changes or when
// forced is set.
func (s *Store) updateSnapshot(version uint64, dirty []string, forced bool) {
	var puts []config.Entry
	var removes []string
	for _, k := range dirty {
		current, ok := s.snapshot.Get(k)
		m := s.desiredEntry(k)
		if m == nil {
			if ok {
				removes = append(removes, k)
			}
			continue
		}
		value := encode(m)
		if !ok || string(current.Value) != string(value) {
			puts = append(puts, config.Entry{Key: k, Value: value})
		}
	}
	if forced || len(puts)+len(removes) > 0 {
		s.snapshot = s.snapshot.With(version, puts, removes)
	}
}

// desiredEntry returns the message that belongs under a key in the snapshot, or nil if the key must be absent.
func (s *Store) desiredEntry(key string) proto.Message {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "node":
		if n := s.members.nodes[name]; n != nil {
			return n
		}
		return nil
	case "endpoint":
		e := s.members.endpoints[name]
		if e == nil || !s.content.hasService(e.GetService()) || s.members.nodes[e.GetNode()] == nil {
			return nil
		}
		return e
	case "rollout":
		if r := s.rollouts[name]; r != nil {
			return r
		}
		return nil
	case "suspect":
		if q, ok := s.quarantine.Suspect(decodeFingerprint(name)); ok {
			return q
		}
		return nil
	}
	return s.content.entries[key]
}

// encode marshals a message deterministically. It fails only on invalid UTF-8, which validation keeps out of names; the entry
// is then empty, and the check of the table refuses it on every replica alike.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}
