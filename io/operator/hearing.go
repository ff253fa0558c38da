package operator

import (
	"fmt"
	"strings"
	"time"
)

// Hearing says which voters one replica hears.
type Hearing struct {
	Node     string    `json:"node"` // name of that replica
	Voters   int       `json:"voters"`
	Heard    int       `json:"heard"`    // voters that are heard, the replica itself included
	Majority bool      `json:"majority"` // whether those are a majority; true without a member set
	Missing  []Silence `json:"missing,omitempty"`
}

// String says how many voters are heard and which are not, since when.
func (h Hearing) String() string {
	if h.Voters == 0 {
		return h.Node + " holds no member set"
	}
	text := fmt.Sprintf("%s hears %d of %d voters", h.Node, h.Heard, h.Voters)
	list := make([]string, len(h.Missing))
	for i, s := range h.Missing {
		list[i] = fmt.Sprintf("%s not heard for %s", s.Identity, time.Duration(s.Heard).Round(100*time.Millisecond))
	}
	if len(list) > 0 {
		text += "; missing: " + strings.Join(list, ", ")
	}
	return text
}
