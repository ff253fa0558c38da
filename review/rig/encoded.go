package main

import (
	"fmt"
	"net/http"
	"time"
)

// playEncoded sends requests under a prefix of archive, beside the longer prefix of ledger. Its disruption is that a segment of their
// paths holds an encoded slash.
func playEncoded(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/lepu270/refund/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	target := "/lepu270/refund-1"
	if trouble {
		target = "/lepu270/refund%2F1" // one segment, named "refund/1"; no longer prefix than /lepu270/ begins it
	}
	var broken []string
	ran := 0
	for i, s := range m.sides {
		id := fmt.Sprintf("e-%d", i)
		c, err := m.connect(s)
		if err != nil {
			return err
		}
		if err := c.send(id+" from "+s.name, head(http.MethodGet, target, id, time.Second)); err != nil {
			return err
		}
		_, _, _ = c.receive(id, http.MethodGet, 2*time.Second)
		_ = c.Close()
		for _, n := range m.runsOf(id) {
			ran++
			if n.service != "archive" {
				broken = append(broken, fmt.Sprintf("%s with path %s was run by %s, the configuration allows only archive", id, n.target, n.service))
			}
		}
	}
	return verdict(broken, ran)
}
