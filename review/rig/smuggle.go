package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSmuggle sends, on one connection of each machine, a GET whose body looks like another request, and after its answer a POST on an
// unsafe route. Its disruption is one line end of LF only, before the line with the length of the body.
func playSmuggle(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/buy/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	line := "X-Note: a\r\nContent-Length: %d\r\n"
	if trouble {
		line = "X-Note: a\nContent-Length: %d\r\n"
	}
	var broken []string
	for i, s := range m.sides {
		wrong, err := m.sendPair(s, fmt.Sprint(i), line)
		if err != nil {
			return err
		}
		if wrong != "" {
			broken = append(broken, wrong)
		}
	}
	return verdict(broken, m.countAll())
}

// countAll returns the number of all runs.
func (m *mesh) countAll() int {
	n := 0
	for _, s := range m.sides {
		s.endpoint.mu.Lock()
		for _, list := range s.endpoint.runs {
			n += len(list)
		}
		s.endpoint.mu.Unlock()
	}
	return n
}

// sendPair sends the two requests of a machine and returns what is wrong with the answer to the second one, or an empty string.
func (m *mesh) sendPair(s *machine, number, line string) (string, error) {
	outer, inner, pay := "outer-"+number, "inner-"+number, "pay-"+number
	c, err := m.connect(s)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	body := head(http.MethodGet, "/lepu270/inner", inner, time.Second)
	if err := c.send(outer, head(http.MethodGet, "/lepu270/outer", outer, time.Second, fmt.Sprintf(line, len(body)))+body); err != nil {
		return "", err
	}
	if _, _, err := c.receive(outer, http.MethodGet, 2*time.Second); err != nil {
		return "", err
	}
	if err := c.send(pay, head(http.MethodPost, "/buy/1", pay, time.Second, "Content-Length: 2\r\n")+"ab"); err != nil {
		return "", err
	}
	p, answer, err := c.receive(pay, http.MethodPost, 2*time.Second)
	if err != nil {
		return "", nil // no answer is no foreign one
	}
	got := p.Header.Get(headerAttempt)
	m.record.add("%s: status %d, id %q, body %q; %s ran %d times, %s ran %d times", pay, p.StatusCode, got, answer, pay, len(m.runsOf(pay)), inner, len(m.runsOf(inner)))
	if p.StatusCode != http.StatusOK || got == pay && string(answer) == "done "+pay+"\n" {
		return "", nil
	}
	return fmt.Sprintf("the answer to %s is a success with the id %s and the body %q; %s ran %d times", pay, got, answer, pay, len(m.runsOf(pay))), nil
}
