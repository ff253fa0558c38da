package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["config-tail"] = configTail }

// configTail sends configurations that cannot be read to their end.
func configTail(w *world) (int, error) {
	w.addMachines(3, "archive", "ledger", "ledger")
	if err := w.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	text := func(version, base int, timeout string) string {
		return configuration(version, base, []string{route("r-refund", "/refunds/", "unsafe", "ledger", timeout, 2)}, "ledger", "archive")
	}
	if err := w.configure(text(3, 0, "2000ms"), 20*time.Second); err != nil {
		return 0, err
	}
	tails := []string{"}", `{"version":`, "\x00\x00\x00\x00", text(99, 98, "2500ms")[:200], text(99, 98, "2500ms")}
	version, wrong := 3, 0
	for i, tail := range tails {
		body := text(version+2, version, fmt.Sprintf("%dms", 2100+100*i))
		if w.trouble {
			body += tail
		}
		s := w.put(w.cores[i%3], body)
		w.note("sent version %d on %d, followed by %.40q: answered with %d", version+2, version, body[len(body)-min(40, len(body)):], s)
		if s == http.StatusOK {
			version += 2
			if w.trouble {
				wrong++
			}
		}
		time.Sleep(time.Second)
	}
	w.note("%d of %d configurations that cannot be read in full were acknowledged", wrong, len(tails))
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
