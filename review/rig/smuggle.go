package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playSmuggle sends requests whose body looks like another request. Its disruption is how the line with the length of the body is
// written: with a line end of LF only before it, or with a space before its colon.
func playSmuggle(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/buy/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	forms := map[string]string{"lf": "X-Note: a\nContent-Length: %d\r\n", "space": "Content-Length : %d\r\n"}
	var broken []string
	for form, line := range forms {
		if !trouble {
			line = "X-Note: a\r\nContent-Length: %d\r\n"
		}
		for i, s := range m.sides {
			outer, inner := fmt.Sprintf("outer-%s-%d", form, i), fmt.Sprintf("inner-%s-%d", form, i)
			body := head(http.MethodGet, "/lepu270/inner", inner, time.Second)
			c, err := m.connect(s)
			if err != nil {
				return err
			}
			text := head(http.MethodGet, "/lepu270/outer", outer, time.Second, fmt.Sprintf(line, len(body))) + body
			if err := c.send(outer+" with a body of "+fmt.Sprint(len(body))+" bytes", text); err != nil {
				return err
			}
			_, _, _ = c.receive(outer, http.MethodGet, 2*time.Second)
			time.Sleep(300 * time.Millisecond)
			_ = c.Close()
			if n := m.runsOf(inner); len(n) > 0 {
				broken = append(broken, fmt.Sprintf("%s, which no consumer sent as a request, was run by %s", inner, n[0].service))
			}
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}
