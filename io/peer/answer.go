package peer

import (
	"net/netip"
	"strings"
)

// NoAnswerError reports that no replica answered; it holds the failure at each address that was asked.
type NoAnswerError struct{ Errs []error }

// Error returns the failures in the order of the addresses.
func (e *NoAnswerError) Error() string {
	texts := make([]string, len(e.Errs))
	for i, err := range e.Errs {
		texts[i] = err.Error()
	}
	return "no replica answered: " + strings.Join(texts, "; ")
}

// Unwrap lets errors.Is and errors.As find the failures.
func (e *NoAnswerError) Unwrap() []error { return e.Errs }

// FirstAnswer calls ask for one address after another and returns the first answer, or *NoAnswerError if all fail. Without
// addresses, it fails with *NoUpstreamError.
func FirstAnswer[T any](addresses []netip.AddrPort, ask func(a netip.AddrPort) (T, error)) (T, error) {
	var none T
	var errs []error
	for _, a := range addresses {
		answer, err := ask(a)
		if err == nil {
			return answer, nil
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return none, &NoUpstreamError{}
	}
	return none, &NoAnswerError{Errs: errs}
}
