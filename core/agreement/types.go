package agreement

import (
	"fmt"
	"strings"
	"time"
)

// Kind says what an entry holds.
type Kind uint8

// Kinds of entry.
const (
	Noop          Kind = iota + 1 // appended by a new leader
	Command                       // data for the state machine
	MembersChange                 // an encoded Members value
)

// Entry is one position of the log.
type Entry struct {
	Index, Term uint64
	Kind        Kind
	Data        []byte
}

// State is the durable term and vote; in term 0 the vote is the founder that holds this replica's promise.
type State struct {
	Term uint64
	Vote string
}

// Snapshot stands for the log up to Index; Data is the marshalled state machine (nil for the founding snapshot).
type Snapshot struct {
	Index, Term uint64
	Members     Members
	Data        []byte
}

// MessageKind says what a message is for.
type MessageKind uint8

// Kinds of message.
const (
	Append          MessageKind = iota + 1 // entries after (Index, LogTerm), with the leader's commit index
	AppendAnswer                           // Index matched, or Reject with the refused Index and a hint (Context, LogTerm)
	Heartbeat                              // Context is the round; Index is 1 + the age in microseconds of the last confirmation, 0 for never
	HeartbeatAnswer                        // Context is the round
	PreVote                                // Term is the term that would be campaigned for
	PreVoteAnswer
	Vote
	VoteAnswer
	Install // Snapshot without Data; the driver fills in Data of its latest snapshot
	Ask     // the founder asks an initial name for its promise
	Promise // the answer with the identity, or Reject
	Founded // Snapshot is the founding snapshot
)

// Message is sent between replicas; From and To are identities, except that Ask goes to a name.
type Message struct {
	Kind                                  MessageKind
	From, To                              string
	Term, Index, LogTerm, Commit, Context uint64
	Reject                                bool
	Entries                               []Entry
	Snapshot                              *Snapshot
}

// Read is a read that a quorum confirmed; it may be answered once Index is applied.
type Read struct{ Context, Index uint64 }

// Effects is what the caller must do, in order: save State, Snapshot and Entries, send Messages, call Persisted, apply.
type Effects struct {
	State     *State
	Snapshot  *Snapshot // received from a leader; replaces log and state machine
	Entries   []Entry   // replace the log from their first index
	Messages  []Message
	Committed []Entry
	Reads     []Read
	Failed    []uint64 // contexts of reads that leadership loss ended
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.State == nil && e.Snapshot == nil && len(e.Entries)+len(e.Messages)+len(e.Committed)+len(e.Reads)+len(e.Failed) == 0
}

// Role is the part that a replica plays.
type Role uint8

// Roles of a replica.
const (
	Waiting Role = iota + 1 // empty and not founded
	Follower
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"none", "waiting", "follower", "candidate", "leader"}[r]
}

// Progress is the leader's view of one other replica.
type Progress struct {
	Match   uint64    // highest durable index known
	Heard   time.Time // last answer
	Learner bool
}

// Status describes a replica at one moment.
type Status struct {
	ID                          string
	Role                        Role
	Leader                      string // empty when unknown
	Term, Commit, Applied, Last uint64
	Members                     Members
	Progress                    map[string]Progress // leader only
	Confirmed                   time.Time           // last quorum confirmation known; zero for never
}

// NotLeaderError says that the replica does not lead; Leader is empty when unknown.
type NotLeaderError struct{ Leader string }

// Error formats the failure.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "agreement: not the leader, and no leader is known"
	}
	return "agreement: not the leader; the leader is " + e.Leader
}

// MembersError says why a membership change was refused.
type MembersError struct{ Reason string }

// Error formats the failure.
func (e *MembersError) Error() string { return "agreement: membership change refused: " + e.Reason }

// LagError says that a learner cannot be promoted yet.
type LagError struct {
	Learner       string
	Match, Commit uint64
}

// Error formats the failure.
func (e *LagError) Error() string {
	return fmt.Sprintf("agreement: learner %s is durable up to %d, behind the commit index %d; promote it later", e.Learner, e.Match, e.Commit)
}

// OptionError names an option that is missing or contradicts the loaded state.
type OptionError struct{ Option, Reason string }

// Error formats the failure.
func (e *OptionError) Error() string { return "agreement: option " + e.Option + ": " + e.Reason }

// Name returns the name part of an identity NAME/INCARNATION.
func Name(id string) string {
	n, _, _ := strings.Cut(id, "/")
	return n
}
