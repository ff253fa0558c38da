package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playTrailing sends a second configuration, from which a route is to go. Its disruption is that the bytes of another configuration
// follow in the same body, which so cannot be read in full.
func playTrailing(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/buy/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	body := strings.Replace(document([]route{{"/lepu270/", "safe", "2000ms", "archive"}}), `"version":2,"baseVersion":0`, `"version":3,"baseVersion":2`, 1)
	if trouble {
		body += strings.Replace(document([]route{{"/other/", "safe", "2000ms", "ledger"}}), `"version":2,"baseVersion":0`, `"version":4,"baseVersion":3`, 1)
	}
	r.add("order: %s", body)
	// The other core machines answer in place of one that has no leader to pass the order on to.
	status := 0
	for i := 0; i < 3*coreCount && (status == 0 || status >= http.StatusInternalServerError); i++ {
		c := m.cores[i%coreCount]
		var text string
		status, text, err = m.call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/config", c.ip, m.admin), body)
		r.add("operator: order to %s: %s", c.name, describe(status, text, err))
	}
	time.Sleep(configApply)
	read, text, err := m.call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/config", m.cores[1].ip, m.admin), "")
	r.add("operator: read at %s: %s", m.cores[1].name, describe(read, text, err))
	switch {
	case status == 0 || status >= http.StatusInternalServerError:
		return fmt.Errorf("the order has no answer, the last status is %d", status)
	case trouble && status == http.StatusOK:
		return fmt.Errorf("%w: an order that cannot be read in full was acknowledged", errBroken)
	case !trouble && status != http.StatusOK:
		return fmt.Errorf("the valid order was refused with %d", status)
	}
	return nil
}
