package host

import (
	"time"

	"godwitspindle/io/operator"
)

// refusal says why no majority or no leader confirmed a request: it names the voters that the local replica does not hear.
func (h *Host) refusal(err error) error {
	if h.control == nil {
		return err
	}
	v := h.control.hearing(time.Now())
	if !v.Majority {
		return &operator.NoMajorityError{Hearing: v, Err: err}
	}
	return &operator.UnconfirmedError{Leader: h.leader(), Hearing: v, Err: err}
}
