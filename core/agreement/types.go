package agreement

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a log entry.
type Kind uint8

// Kinds of log entries.
const (
	Noop          Kind = iota + 1 // an empty entry that a new leader appends
	Command                       // data for the state machine
	MembersChange                 // an encoded Members value
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Kind        Kind
	Data        []byte
}

// HardState is the durable term and vote; in term 0, Vote is the founder to which this replica gave its promise.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the log up to and including Index; Data is the marshalled state machine, nil for the founding snapshot.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// MessageKind is the kind of a message.
type MessageKind uint8

// Kinds of messages.
const (
	Append MessageKind = iota + 1 // Entries follow the entry at Index, whose term is LogTerm; Commit is the commit index
	// AppendAnswer states that the log matches up to Index. With Reject, the log does not match at Index, and Context and LogTerm are
	// the result of conflictHint; or the message was of a term before Term.
	AppendAnswer
	Heartbeat        // Context is the round; Index is 1 + the last confirmation's age in µs, 0 for none
	HeartbeatAnswer  // Context is the round of the heartbeat that it answers; both it and Term are 0 in a mere sign of life
	PreVote          // Term is the term of the vote that would follow
	PreVoteAnswer    // Term is that of the pre-vote if granted; with Reject, the voter's current term
	Vote             // Index and LogTerm are those of the candidate's last entry
	VoteAnswer       // grants the vote unless Reject is set
	InstallSnapshot  // Snapshot has no Data; the caller adds the Data of its latest snapshot
	PromiseRequest   // the founder asks the replica of an initial name for its promise
	Promise          // answers PromiseRequest; From is the identity that promises, unless Reject is set
	FoundingSnapshot // Snapshot holds the first member set, at index 1
)

// Message is sent between replicas; From and To are identities, but a PromiseRequest has a name in To.
type Message struct {
	Kind                                  MessageKind
	From, To                              string
	Term, Index, LogTerm, Commit, Context uint64
	Reject                                bool
	Entries                               []Entry
	Snapshot                              *Snapshot
	Silences                              []Silence // in a Heartbeat: members that the leader has not heard for a while
}

// Read is a linearizable read that a quorum confirmed; it may be answered once Index is applied.
type Read struct{ Context, Index uint64 }

// Effects is what the caller must do, in this order: save State, Snapshot and Entries; send Messages; call Persisted for the last
// of Entries; apply Committed; answer Reads and FailedReads.
type Effects struct {
	State       *HardState // nil when unchanged
	Snapshot    *Snapshot  // sent by a leader or made at the founding; replaces the log and the state machine
	Entries     []Entry    // overwrite the saved log from their first index on
	Messages    []Message
	Committed   []Entry  // to apply to the state machine
	Reads       []Read   // confirmed by a quorum
	FailedReads []uint64 // contexts of reads that ended because the replica lost leadership
}

// Empty reports whether all fields are empty, so that the caller has nothing to do.
func (e *Effects) Empty() bool {
	return e.State == nil && e.Snapshot == nil && len(e.Entries)+len(e.Messages)+len(e.Committed)+len(e.Reads)+len(e.FailedReads) == 0
}

// Saves reports whether the effects hold anything to be saved.
func (e *Effects) Saves() bool { return e.State != nil || e.Snapshot != nil || len(e.Entries) > 0 }

// Role is the protocol role of a replica.
type Role uint8

// Roles of a replica.
const (
	Waiting Role = iota + 1 // has an empty log and no member set, and waits for the founding or a leader
	Follower
	Candidate
	Leader
)

// String returns the role in lower case, and "none" for 0.
func (r Role) String() string {
	return [...]string{"none", "waiting", "follower", "candidate", "leader"}[r]
}

// Progress is the leader's view of one other replica.
type Progress struct {
	Match     uint64    // highest log index known to be durable on that replica
	LastHeard time.Time // time of its last answer, which may be its vote for this leader; zero for none
	Learner   bool
	CaughtUp  bool // it has what was committed about an election timeout ago
}

// Status is a replica's state at one moment.
type Status struct {
	ID                          string
	Role                        Role
	Leader                      string // empty when unknown
	Term, Commit, Applied, Last uint64 // Applied: highest index returned in Effects; Last: last index in the log
	Members                     Members
	Progress                    map[string]Progress // by identity, without this replica; nil unless it leads
	ConfirmedAt                 time.Time           // start of the last heartbeat round known to be answered by a quorum; zero for none
	LeaderSince                 time.Time           // start of the leadership; zero unless it leads
	// Heard tells when each other member was last known to be alive, also by a former leader or another replica; the start of this
	// process if nothing is known. On a leader it holds former members too.
	Heard map[string]time.Time
}

// NotLeaderError reports that this replica does not lead and cannot serve the call; Leader is empty when unknown.
type NotLeaderError struct{ Leader string }

// Error names the leader if one is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "agreement: not the leader, and no leader is known"
	}
	return "agreement: not the leader; the leader is " + e.Leader
}

// MembersError reports why a membership change was refused.
type MembersError struct{ Reason string }

// Error states the reason for the refusal.
func (e *MembersError) Error() string { return "agreement: membership change refused: " + e.Reason }

// LagError reports that a learner lacks entries committed about an election timeout ago and cannot be promoted yet.
type LagError struct {
	Learner       string
	Match, Commit uint64
}

// Error states how far the learner lags behind.
func (e *LagError) Error() string {
	return fmt.Sprintf("agreement: learner %s is durable up to %d, behind the commit index %d; promote it later", e.Learner, e.Match, e.Commit)
}

// OptionError reports an option that is missing, invalid or in contradiction to the loaded state.
type OptionError struct{ Option, Reason string }

// Error names the option and states what is wrong with it.
func (e *OptionError) Error() string { return "agreement: option " + e.Option + ": " + e.Reason }

// Name returns the name part of an identity NAME/INCARNATION.
func Name(id string) string {
	n, _, _ := strings.Cut(id, "/")
	return n
}
