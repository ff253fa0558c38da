package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"godwitspindle/core/wire"
)

// Stable codes of problems; docs/OPERATIONS.md says what to do about each.
const (
	CodeConflict     = "conflict"     // another change was accepted above the base
	CodeInvalid      = "invalid"      // the content has faults
	CodeReused       = "reused"       // the id was used for another change
	CodeExpired      = "expired"      // the base is older than the retained history
	CodeMissing      = "missing"      // the version is not retained
	CodeMalformed    = "malformed"    // the request itself is wrong
	CodeOversize     = "oversize"     // the request is too long
	CodeUnauthorized = "unauthorized" // the key is absent or wrong
	CodeForbidden    = "forbidden"    // sent by a web page or under a foreign host name
	CodeUnavailable  = "unavailable"  // no leader or no majority is reachable
	CodeTimeout      = "timeout"      // the version was not in force in time
	CodeNoReplica    = "noreplica"    // no replica has the name
	CodeSilent       = "silent"       // the named replica's node did not answer
	CodeForeign      = "foreign"      // the named replica holds the log of another group
	CodeBehind       = "behind"       // the learner has not caught up
	CodeMembers      = "members"      // the change would put the group at risk
	CodeNoPath       = "nopath"       // the path or method does not exist
	CodeInternal     = "failed"       // the node failed to answer
)

// Outcomes of a change that the server could not answer for.
const (
	NotRun  = "notrun"  // proven not accepted
	Unknown = "unknown" // may or may not be accepted; resend with the same id
)

// Fault is one fault of a register or rules file.
type Fault struct {
	Field    string `json:"field"`
	Expected string `json:"expected"`
}

// Problem is an RFC 9457 problem body and the error that a client returns for it.
type Problem struct {
	Title   string    `json:"title"`
	Status  int       `json:"status,omitempty"`
	Code    string    `json:"code"`
	Detail  string    `json:"detail,omitempty"`
	Next    string    `json:"next,omitempty"`    // what to do
	Outcome string    `json:"outcome,omitempty"` // of a change: notrun or unknown
	Winner  *Accepted `json:"winner,omitempty"`  // the change that was accepted first
	Fields  []string  `json:"fields,omitempty"`  // what both changes touch
	Faults  []Fault   `json:"faults,omitempty"`
}

// Error formats the problem for people.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if len(p.Fields) > 0 {
		text += " (" + strings.Join(p.Fields, ", ") + ")"
	}
	return text
}

func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// UnavailableError says that no leader or majority could be reached.
type UnavailableError struct {
	Outcome string // NotRun or Unknown
	Leader  string // where it is known to be; empty for unknown
	Err     error
}

// Error formats the failure for logs.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("source not available (%s, leader %q): %v", e.Outcome, e.Leader, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// MissingError says that a version is not retained.
type MissingError struct{ Version uint64 }

// Error names the version.
func (e *MissingError) Error() string { return fmt.Sprintf("version %d is not retained", e.Version) }

func malformed(detail string) *Problem {
	return &Problem{Title: "request not understood", Status: http.StatusBadRequest, Code: CodeMalformed, Detail: detail, Next: "correct the request"}
}

func missing(detail string) *Problem {
	return &Problem{
		Title: "version not retained", Status: http.StatusNotFound, Code: CodeMissing, Detail: detail,
		Next: "choose a version that history lists",
	}
}

func conflict(c *wire.Conflict) *Problem {
	winner := NewAccepted(c.GetWinner())
	return &Problem{
		Title: "another change was accepted first", Status: http.StatusConflict, Code: CodeConflict, Outcome: NotRun,
		Detail: fmt.Sprintf("version %d by %s: %s", winner.Version, winner.Author, winner.Reason),
		Next:   "read the winner's change, plan again on the current version, and apply with a new id",
		Winner: &winner, Fields: c.GetFields(),
	}
}

func refusal(r *wire.Refusal) *Problem {
	p := &Problem{Status: http.StatusUnprocessableEntity, Code: r.GetCode(), Outcome: NotRun, Faults: newFaults(r.GetFaults())}
	switch r.GetCode() {
	case CodeReused:
		p.Title, p.Status, p.Next = "the id was used for another change", http.StatusConflict, "apply with a new id"
	case CodeExpired:
		p.Title, p.Status = "the base is older than the retained history", http.StatusConflict
		// The id may have been forgotten too, so a late resend cannot be told from a new change.
		p.Outcome = Unknown
		p.Next = "look for the id in history; if it is not there, plan again on the current version, and apply with a new id"
	case CodeMissing:
		p.Title, p.Status, p.Next = "version not retained", http.StatusNotFound, "choose a version that history lists"
	default:
		p.Title, p.Next = "the content has faults", "correct every fault and apply again"
	}
	return p
}

// WaitingProblem returns the problem of a replica that is not a member, and so holds no history.
func WaitingProblem(name string) *Problem {
	return &Problem{
		Title: "this replica is not a member", Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Outcome: NotRun,
		Detail: name + " waits with an empty data folder",
		Next:   "run replica add " + name + " --wait, or pass --at with the operator listener of another replica",
	}
}

// MemberProblem returns the problem for a refused change of the member set.
func MemberProblem(code, detail string) *Problem {
	p := &Problem{Status: http.StatusConflict, Code: code, Detail: detail, Outcome: NotRun}
	switch code {
	case CodeNoReplica:
		p.Title, p.Status, p.Next = "no such replica", http.StatusNotFound, "choose a name that replica list shows; a new host takes the name of the one that it replaces"
	case CodeSilent:
		p.Title, p.Status = "the replica did not answer", http.StatusBadGateway
		p.Next = "start its node with an empty data folder, check its address in the setting replicas of every node, and repeat"
	case CodeForeign:
		p.Title, p.Next = "the replica is not an empty one of this mesh", "check its settings; if it was removed earlier, stop the node, move its data folder away, start it and repeat"
	case CodeBehind:
		p.Title, p.Next = "the learner has not caught up", "wait and promote again, or use replica add NAME --wait"
	case CodeMembers:
		p.Title, p.Next = "the change of replicas is refused", "see replica list: a majority of the voters that remain must be reachable, and changes go one at a time"
	default:
		p.Title, p.Status, p.Next = "request not understood", http.StatusBadRequest, "correct the request"
	}
	return p
}

func newFaults(faults []*wire.Fault) []Fault {
	var list []Fault
	for _, f := range faults {
		list = append(list, Fault{Field: f.GetField(), Expected: f.GetExpected()})
	}
	return list
}
