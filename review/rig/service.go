package main

import (
	"fmt"
	"net/http"
	"time"
)

// playService sends requests that state a caller service of their own. Its disruption is that they also name that header in
// Connection.
func playService(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/buy/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	connection := "Connection: keep-alive\r\n"
	if trouble {
		connection = "Connection: keep-alive, " + headerOrigin + "\r\n"
	}
	var broken []string
	ran := 0
	for i, s := range m.sides {
		for k, method := range []string{http.MethodGet, http.MethodPost} {
			id, target := fmt.Sprintf("s-%d-%d", i, k), []string{"/lepu270/1", "/buy/1"}[k]
			c, err := m.connect(s)
			if err != nil {
				return err
			}
			text := head(method, target, id, time.Second, connection, headerOrigin+": ledger\r\n", "Content-Length: 0\r\n")
			if err := c.send(id+" from "+s.name+" of "+s.service, text); err != nil {
				return err
			}
			_, _, _ = c.receive(id, method, 2*time.Second)
			_ = c.Close()
			for _, n := range m.runsOf(id) {
				ran++
				if n.origin != s.service {
					broken = append(broken, fmt.Sprintf("%s began on a machine of %s and ran at %s with caller service %q", id, s.service, n.service, n.origin))
				}
			}
		}
	}
	return verdict(broken, ran)
}
