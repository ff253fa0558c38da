package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"godwitspindle/core/wire"
)

// Codes of problems, which stay the same between releases; docs/OPERATIONS.md says what to do about each.
const (
	CodeConflict         = "conflict"     // another change was accepted after the base version
	CodeInvalid          = "invalid"      // the content has faults
	CodeIDReused         = "reused"       // an earlier, different change has the same id
	CodeExpired          = "expired"      // the base version is older than the retained history
	CodeMissing          = "missing"      // the version is not in the retained history
	CodeMalformed        = "malformed"    // the request has the wrong form
	CodeOversize         = "oversize"     // the request body is too long
	CodeUnauthorized     = "unauthorized" // the shared key is absent or wrong
	CodeForbidden        = "forbidden"    // a web page sent the request, or the Host header is a foreign name
	CodeUnavailable      = "unavailable"  // no leader or no majority is reachable, or no answer came in time
	CodeTimeout          = "timeout"      // the version was not in force on all nodes before the timeout
	CodeNoReplica        = "noreplica"    // no replica has this name
	CodeSilent           = "silent"       // the named replica's node did not answer
	CodeForeign          = "foreign"      // the named replica holds the log of another group
	CodeBehind           = "behind"       // the learner has not caught up
	CodeUnsafeMembership = "members"      // the membership change is refused, since it is not safe now
	CodeRolloutRunning   = "running"      // another rollout of the service is running
	CodeNoRollout        = "norollout"    // the service had no rollout
	CodeNoPath           = "nopath"       // the path or method does not exist
	CodeInternal         = "failed"       // the node or the command failed for another reason
)

// Outcomes of a change for which the server has no answer.
const (
	NotRun  = "notrun"  // the change is proven not to be accepted
	Unknown = "unknown" // the change may be accepted; resend it with the same id
)

// Fault is one invalid field of a register or rules file.
type Fault struct {
	Field    string `json:"field"`
	Expected string `json:"expected"`
}

// Problem is the RFC 9457 body with which a node reports a failure, and the error that Client returns for a final one.
type Problem struct {
	Title   string    `json:"title"`
	Status  int       `json:"status,omitempty"`
	Code    string    `json:"code"`
	Detail  string    `json:"detail,omitempty"`
	Next    string    `json:"next,omitempty"`    // what the operator should do
	Outcome string    `json:"outcome,omitempty"` // outcome of the change: notrun or unknown
	Winner  *Accepted `json:"winner,omitempty"`  // for a conflict, the change that was accepted first
	Fields  []string  `json:"fields,omitempty"`  // for a conflict, fields that both changes modify or, if there are none, that Winner does
	Faults  []Fault   `json:"faults,omitempty"`
}

// Error returns the title, the detail and the fields in conflict in one line; Next and Faults are left out.
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

// UnavailableError reports that no leader or no majority of the replicas could be reached.
type UnavailableError struct {
	Outcome string // NotRun or Unknown
	Leader  string // name of the last known leader; empty when none is known
	Err     error
}

// Error returns the outcome, the known leader and the cause.
func (e *UnavailableError) Error() string {
	leader := "no leader known"
	if e.Leader != "" {
		leader = "known leader " + e.Leader
	}
	return fmt.Sprintf("control replicas not available (outcome %s, %s): %v", e.Outcome, leader, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// MissingError reports a version whose content is not in the retained history.
type MissingError struct{ Version uint64 }

// Error says which version is not retained.
func (e *MissingError) Error() string { return fmt.Sprintf("version %d is not retained", e.Version) }

func malformedProblem(detail string) *Problem {
	return &Problem{Title: "request not understood", Status: http.StatusBadRequest, Code: CodeMalformed, Detail: detail, Next: "correct the request"}
}

func missingProblem(detail string) *Problem {
	return &Problem{
		Title: "version not retained", Status: http.StatusNotFound, Code: CodeMissing, Detail: detail,
		Next: "choose a version that history lists",
	}
}

func conflictProblem(c *wire.Conflict) *Problem {
	winner := NewAccepted(c.GetWinner())
	return &Problem{
		Title: "another change was accepted first", Status: http.StatusConflict, Code: CodeConflict, Outcome: NotRun,
		Detail: fmt.Sprintf("version %d by %s: %s", winner.Version, winner.Author, winner.Reason),
		Next:   "read the winner's change, plan again on the current version, and apply with a new id",
		Winner: &winner, Fields: c.GetFields(),
	}
}

func refusalProblem(r *wire.Refusal) *Problem {
	p := &Problem{Status: http.StatusUnprocessableEntity, Code: r.GetCode(), Outcome: NotRun, Faults: newFaults(r.GetFaults())}
	switch r.GetCode() {
	case CodeIDReused:
		p.Title, p.Status, p.Next = "the id was used for another change", http.StatusConflict, "apply with a new id"
	case CodeExpired:
		p.Title, p.Status = "the base is older than the retained history", http.StatusConflict
		// The history may no longer hold the id either, so a late resend looks like a new change.
		p.Outcome = Unknown
		p.Next = "look for the id in history; if it is not there, plan again on the current version, and apply with a new id"
	case CodeMissing:
		p.Title, p.Status, p.Next = "version not retained", http.StatusNotFound, "choose a version that history lists"
	default:
		p.Title, p.Next = "the content has faults", "correct every fault and apply again"
	}
	return p
}

// WaitingProblem returns the answer of a replica that is not a member and therefore holds no history.
func WaitingProblem(name string) *Problem {
	return &Problem{
		Title: "this replica is not a member", Status: http.StatusServiceUnavailable, Code: CodeUnavailable, Outcome: NotRun,
		Detail: name + " waits with an empty data folder",
		Next:   "run replica add " + name + " --wait, or pass --at with the operator listener of another replica",
	}
}

// MemberProblem returns the answer to a refused membership change.
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
	case CodeUnsafeMembership:
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
