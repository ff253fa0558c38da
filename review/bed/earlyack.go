package main

import (
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["early-ack"] = earlyAck }

// Times of early-ack.
const (
	longStay  = 12 * time.Second // how long the endpoint goes on serving after its leave was acknowledged
	coreAway  = 900 * time.Millisecond
	nodeAway  = 200 * time.Millisecond
	nextCrash = 150 * time.Millisecond // from the acknowledgement to the second end of the node
)

// earlyAck lets an endpoint leave while the core is away and the node beside it has just started, and kills that node once more.
func earlyAck(w *world) (int, error) { return leaveUnder(w, longStay, leaveWithoutCore) }

// leaveWithoutCore lets an endpoint leave and returns when the leave was acknowledged. With trouble, all processes of the core and the
// node beside the endpoint are killed before, the core is back after coreAway, and the node is killed a second time.
func leaveWithoutCore(w *world, e *endpoint) (time.Time, error) {
	e.stopBeating()
	time.Sleep(beatInterval / 2)
	began := time.Now()
	if w.trouble {
		for _, m := range append([]*machine{e.m}, w.cores...) {
			m.signal(syscall.SIGKILL)
		}
		<-e.m.ended
		time.Sleep(nodeAway)
		if err := e.m.start(); err != nil {
			return time.Time{}, err
		}
	}
	left := time.Time{}
	for left.IsZero() {
		s := e.say(http.MethodDelete, []byte(`{"born":`+strconv.FormatInt(e.born, 10)+`}`))
		if s != 0 {
			w.note("%s: leave answered with %d", e.id, s)
		}
		if s == http.StatusOK {
			left = time.Now()
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if !w.trouble {
		return left, nil
	}
	time.Sleep(nextCrash)
	if err := e.m.restart(nodeAway); err != nil {
		return left, err
	}
	time.Sleep(time.Until(began.Add(coreAway)))
	for _, m := range w.cores {
		<-m.ended
		if err := m.start(); err != nil {
			return left, err
		}
	}
	return left, nil
}
