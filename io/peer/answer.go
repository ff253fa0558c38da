package peer

import "net/netip"

// FirstAnswer calls ask for one address after another and returns the first answer, or the error of the last address if all fail.
// Without addresses, it fails with *NoUpstreamError.
func FirstAnswer[T any](addresses []netip.AddrPort, ask func(a netip.AddrPort) (T, error)) (T, error) {
	var none T
	var last error = &NoUpstreamError{}
	for _, a := range addresses {
		answer, err := ask(a)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return none, last
}
