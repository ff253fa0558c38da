package operator

import (
	"encoding/json"
	"fmt"
	"time"

	"godwitspindle/core/wire"
)

// Duration is written to JSON with its unit, such as "300ms"; a negative duration is written as "never".
type Duration time.Duration

// never is the JSON form of a negative Duration.
const never = "never"

// String returns the text that JSON holds.
func (d Duration) String() string {
	if d < 0 {
		return never
	}
	return time.Duration(d).String()
}

// MarshalJSON writes the duration as text with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads text with a unit, or "never".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("expected a time with its unit, such as \"300ms\": %w", err)
	}
	if text == never {
		*d = -1
		return nil
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("expected a time with its unit, such as \"300ms\": %w", err)
	}
	*d = Duration(value)
	return nil
}

// Change is the body of POST /v1/changes and /v1/plan; exactly one of Register, Rules, Customers and Revert is set.
type Change struct {
	ID       string          `json:"id,omitempty"`
	Base     uint64          `json:"base"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	Register json.RawMessage `json:"register,omitempty"`
	Rules    json.RawMessage `json:"rules,omitempty"`
	Revert   uint64          `json:"revert,omitempty"` // version of the change whose content is restored, but for its customers

	Customers json.RawMessage `json:"customers,omitempty"`
}

// Difference is one changed field, or with an empty Field one entry that was added or removed.
type Difference struct {
	Key    string `json:"key"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Accepted is an accepted change or, in the answer to a plan, one that would be accepted; a new one has version 0 there.
type Accepted struct {
	Version     uint64       `json:"version"`
	ID          string       `json:"id,omitempty"`
	Author      string       `json:"author"`
	Reason      string       `json:"reason"`
	Time        time.Time    `json:"time,omitzero"`
	Part        string       `json:"part"`
	Differences []Difference `json:"differences"`
}

// History is the answer of GET /v1/history, with the newest change last.
type History struct {
	Changes []Accepted `json:"changes"`
}

// LaggingNode is a node on which a version is not known to be in force.
type LaggingNode struct {
	Node    string   `json:"node"`
	Version uint64   `json:"version"`
	Reason  string   `json:"reason"` // why the node counts as lagging: refused, unreachable, stale or unproven
	Heard   Duration `json:"heard"`  // time since the last message from the node; never if there was none
}

// Member is one control replica.
type Member struct {
	Name string `json:"name"`
	Role string `json:"role"` // leader, voter, learner, or leaving for a voter that is being replaced; waiting for a replica that is not a member
	// Identity is the replica's name with the incarnation of its data folder.
	Identity string   `json:"identity,omitempty"`
	Behind   int64    `json:"behind"` // committed log entries not known to be on the replica's disk; negative if unknown
	Heard    Duration `json:"heard"`  // time since the replica's last message to the leader; zero for the leader, never if none
}

// Replicas is the answer of GET and POST /v1/replicas.
type Replicas struct {
	Leader   string   `json:"leader"`
	Replicas []Member `json:"replicas"`
	Health   *Health  `json:"health,omitempty"`
}

// Actions of POST /v1/replicas.
const (
	ActionAdd     = "add"     // add a replica with an empty data folder as a learner, replacing its earlier identity
	ActionPromote = "promote" // turn a learner that has caught up into a voter
	ActionRemove  = "remove"  // remove a replica from the members
)

// ReplicaAction is the body of POST /v1/replicas.
type ReplicaAction struct {
	Action string `json:"action"`
	Name   string `json:"name"`
}

// ServiceCapacity is the capacity of one service.
type ServiceCapacity struct {
	Name      string `json:"name"`
	Endpoints int    `json:"endpoints"`
	Slots     int    `json:"slots"` // total slots of all endpoints
}

// Status is the answer of GET /v1/status.
type Status struct {
	Node     string            `json:"node"`    // node that answers
	Version  uint64            `json:"version"` // newest version that this node knows of
	Nodes    int               `json:"nodes"`
	Current  int               `json:"current"`          // nodes on which Version is in force; 0 without a leader
	Spread   Duration          `json:"spread"`           // time from acceptance until Version was in force on every node; never if it is not yet
	Age      Duration          `json:"age"`              // time since the last confirmation by a majority
	Leader   string            `json:"leader,omitempty"` // empty if none is known
	Replicas []Member          `json:"replicas"`
	Health   *Health           `json:"health,omitempty"`  // absent without a leader
	Hearing  *Hearing          `json:"hearing,omitempty"` // what Node hears; only without a leader
	Behind   []LaggingNode     `json:"behind"`
	Services []ServiceCapacity `json:"services"`
	Rollouts []Rollout         `json:"rollouts,omitempty"` // running ones, as Node knows them
}

// Progress is one line of the answer of GET /v1/wait.
type Progress struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
	Current int    `json:"current"`
	// Elapsed is the time from acceptance until the version was in force on every node; until then, the time since the wait began.
	Elapsed Duration      `json:"elapsed"`
	Done    bool          `json:"done"` // whether the version is in force on every node
	Behind  []LaggingNode `json:"behind,omitempty"`
	Problem *Problem      `json:"problem,omitempty"` // set in the last line if that has not Done set: why the wait ended
}

// NewAccepted returns the JSON form of an accepted change.
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
