package operator

// Health is the leader's view of the losses that the group of replicas bears, and of what blocks the next change of its members.
type Health struct {
	Voters    int           `json:"voters"`
	Answering int           `json:"answering"`         // voters that answer, the leader included
	Losses    int           `json:"losses"`            // answering voters that may be lost while a majority of the voters answers
	Promised  int           `json:"promised"`          // losses that the settings promise
	Silent    []Silence     `json:"silent,omitempty"`  // voters that no longer answer
	Unheard   []Silence     `json:"unheard,omitempty"` // voters that have not answered the present leader
	Waits     []LearnerWait `json:"waits,omitempty"`
	Leaving   []string      `json:"leaving,omitempty"` // identities of the voters that a replacement in progress removes
	Joining   []string      `json:"joining,omitempty"` // identities of the voters that a replacement in progress adds
}

// Silence is a replica that does not answer.
type Silence struct {
	Identity string   `json:"identity"`
	Heard    Duration `json:"heard"` // time since its last message; never if there was none
}

// LearnerWait is a learner that is not a voter yet.
type LearnerWait struct {
	Learner string `json:"learner"` // identity
	Cause   string `json:"cause"`
	Behind  uint64 `json:"behind"` // committed log entries not known to be on the learner's disk
}
