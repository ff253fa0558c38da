package host

import (
	"strings"
	"testing"

	"godwitspindle/core/rollout"
)

// Guards against a release that cannot be marshalled, or is very long, in the announcement of a whole node.
func TestAnnouncedRelease(t *testing.T) {
	for name, want := range map[string]string{
		"v2": "v2", "": "", "\xff": "", strings.Repeat("v", rollout.MaxRelease+1): "",
		strings.Repeat("v", rollout.MaxRelease): strings.Repeat("v", rollout.MaxRelease),
	} {
		if got := announcedRelease(name); got != want {
			t.Errorf("got %q for the release %q, want %q", got, name, want)
		}
	}
}
