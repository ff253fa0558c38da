package host

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"godwitspindle/core/notice"
	"godwitspindle/io/backend"
	"godwitspindle/io/hop"
	"godwitspindle/io/process"
)

// Guards against a limit that binds an endpoint for good: an answer of a former process is handled after the next process has
// announced itself, or a limit that another node tells arrives after the first answer.
func TestLimitOfFormerProcess(t *testing.T) {
	h := &Host{settings: &process.Settings{}, metrics: process.NewMetrics(), notices: notice.NewTable(), log: logr.Discard(), locals: map[string]*localEndpoint{}}
	former := backend.Announcement{Service: "archive", Endpoint: "a", Incarnation: 1}
	next := former
	next.Incarnation = 2
	e := &localEndpoint{queue: newAdmissionQueue(4, 0), process: h.process(former)}
	h.locals[former.Key()] = e
	limited := notice.Notice{Limits: []string{"5"}}
	told := hop.Meta{Service: "archive", Endpoint: "a", Limit: hop.KnownLimit{Rate: 3, Age: time.Second, Incarnation: 2, Node: "n9"}}
	for _, c := range []struct {
		step string
		do   func()
		want notice.Rate
	}{
		{"stated", func() { h.endpointNoticed(former, limited, time.Now()) }, 5},
		{"next process", func() { e.process = h.process(next); h.processChanged(e, e.process) }, 0},
		{"late answer of the former process", func() { h.endpointNoticed(former, limited, time.Now()) }, 0},
		{"told by another node", func() { h.adoptLimit(told) }, 3},
		{"first answer states none", func() { h.endpointNoticed(next, notice.Notice{}, time.Now()) }, 0},
		{"told again", func() { h.adoptLimit(told) }, 0},
		{"stated by the next process", func() { h.endpointNoticed(next, limited, time.Now()) }, 5},
		{"not valid", func() { h.endpointNoticed(next, notice.Notice{Limits: []string{"-5"}}, time.Now()) }, 5},
		{"crossed answer states none", func() { h.endpointNoticed(next, notice.Notice{}, time.Now().Add(-time.Minute)) }, 5},
		{"answer states none", func() { h.endpointNoticed(next, notice.Notice{}, time.Now()) }, 0},
	} {
		c.do()
		if got := e.rate(); got != c.want || e.queue.gate.Stats().Rate != float64(c.want) {
			t.Errorf("%s: got a limit of %v, in the gate %v, want %v", c.step, got, e.queue.gate.Stats().Rate, c.want)
		}
	}
}
