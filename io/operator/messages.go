package operator

import (
	"encoding/json"
	"fmt"
	"time"

	"godwitspindle/core/wire"
)

// Duration is a time with its unit in JSON, such as "300ms"; a negative one is "never".
type Duration time.Duration

// never is the JSON form of a negative Duration.
const never = "never"

// String formats the duration as JSON shows it.
func (d Duration) String() string {
	if d < 0 {
		return never
	}
	return time.Duration(d).String()
}

// MarshalJSON writes a time with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a time with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("time with its unit: %w", err)
	}
	if text == never {
		*d = -1
		return nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("time with its unit: %w", err)
	}
	*d = Duration(value)
	return nil
}

// Change is an edit sent to POST /v1/changes or /v1/plan; exactly one of Register, Rules and Revert is set.
type Change struct {
	ID       string          `json:"id,omitempty"`
	Base     uint64          `json:"base"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	Register json.RawMessage `json:"register,omitempty"`
	Rules    json.RawMessage `json:"rules,omitempty"`
	Revert   uint64          `json:"revert,omitempty"` // version whose content is restored
}

// Difference is one changed field; Field is empty when a whole entry was added or removed.
type Difference struct {
	Key    string `json:"key"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Accepted is a change that was accepted, or for a plan would be.
type Accepted struct {
	Version     uint64       `json:"version"`
	ID          string       `json:"id,omitempty"`
	Author      string       `json:"author"`
	Reason      string       `json:"reason"`
	Time        time.Time    `json:"time,omitzero"`
	Part        string       `json:"part"`
	Differences []Difference `json:"differences"`
}

// History is the answer of GET /v1/history, newest last.
type History struct {
	Changes []Accepted `json:"changes"`
}

// Behind is a node that does not hold the version in force.
type Behind struct {
	Node    string   `json:"node"`
	Version uint64   `json:"version"`
	Reason  string   `json:"reason"` // refused, unreachable, stale or unproven
	Heard   Duration `json:"heard"`  // since the node was last heard
}

// Member is one control replica.
type Member struct {
	Name string `json:"name"`
	Role string `json:"role"` // leader, voter, learner, or waiting: not a member
	// Identity is the name with the incarnation of the data folder.
	Identity string   `json:"identity,omitempty"`
	Behind   int64    `json:"behind"` // committed entries not known to be on its disk; negative when not known
	Heard    Duration `json:"heard"`  // since the leader heard it; zero for the leader itself
}

// Replicas is the answer of GET and POST /v1/replicas.
type Replicas struct {
	Leader   string   `json:"leader"`
	Replicas []Member `json:"replicas"`
}

// Actions of POST /v1/replicas.
const (
	ActionAdd     = "add"     // join a replica with an empty data folder as a learner, in place of its earlier identity
	ActionPromote = "promote" // make a learner that has caught up a voter
	ActionRemove  = "remove"  // remove a replica from the member set
)

// Action is the body of POST /v1/replicas.
type Action struct {
	Action string `json:"action"`
	Name   string `json:"name"`
}

// Usage is the capacity of one service.
type Usage struct {
	Name      string `json:"name"`
	Endpoints int    `json:"endpoints"`
	Slots     int    `json:"slots"` // of all endpoints
}

// Status is the answer of GET /v1/status.
type Status struct {
	Node     string   `json:"node"`    // that answers
	Version  uint64   `json:"version"` // newest that the answering node knows of
	Nodes    int      `json:"nodes"`
	Current  int      `json:"current"`          // nodes that hold Version
	Spread   Duration `json:"spread"`           // from acceptance to in force everywhere; never when not yet
	Age      Duration `json:"age"`              // since the last confirmation by a majority
	Leader   string   `json:"leader,omitempty"` // empty when none is known
	Replicas []Member `json:"replicas"`
	Behind   []Behind `json:"behind"`
	Services []Usage  `json:"services"`
}

// Progress is one line of the answer of GET /v1/wait.
type Progress struct {
	Version uint64   `json:"version"`
	Nodes   int      `json:"nodes"`
	Current int      `json:"current"`
	Elapsed Duration `json:"elapsed"` // since the version was accepted
	Done    bool     `json:"done"`    // in force on every node
	Behind  []Behind `json:"behind,omitempty"`
	Problem *Problem `json:"problem,omitempty"` // ends the answer without Done
}

// NewAccepted converts an accepted change for JSON.
func NewAccepted(a *wire.Accepted) Accepted {
	v := Accepted{
		Version: a.GetVersion(), ID: a.GetId(), Author: a.GetAuthor(), Reason: a.GetReason(), Part: a.GetPart(),
		Differences: []Difference{},
	}
	if a.GetTime() != 0 {
		v.Time = time.UnixMilli(a.GetTime()).UTC()
	}
	for _, d := range a.GetDifferences() {
		v.Differences = append(v.Differences, Difference{Key: d.GetKey(), Field: d.GetField(), Before: d.GetBefore(), After: d.GetAfter()})
	}
	return v
}
