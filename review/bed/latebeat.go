package main

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["late-beat"] = lateBeat }

// stay is how long the endpoint goes on serving after its leave was acknowledged.
const stay = 7 * time.Second

// lateBeat lets an endpoint leave, restarts the node beside it, and delivers a heartbeat that the endpoint had sent before its leave.
func lateBeat(w *world) (int, error) { return leaveUnder(w, stay, leaveAndReturn) }

// leaveUnder starts a deployment with three endpoints and traffic, lets one of them leave as the given function does, which returns when
// the leave was acknowledged, and judges what reaches the endpoint until it exits.
func leaveUnder(w *world, stay time.Duration, leave func(w *world, e *endpoint) (time.Time, error)) (int, error) {
	w.addMachines(3, "archive", "counter", "counter", "counter", "archive")
	w.sides[4].zone = w.sides[3].zone
	if err := w.startAll(); err != nil {
		return 0, err
	}
	work := func(e **endpoint) func(rw http.ResponseWriter, r *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond)
			(*e).succeed(rw, r.Header.Get(headerAttempt))
		}
	}
	list := make([]*endpoint, 3)
	for i, m := range w.sides[1:4] {
		e, err := newEndpoint(m, "i-"+string(rune('a'+i))+"0017f3", work(&list[i]))
		if err != nil {
			return 0, err
		}
		list[i] = e
	}
	time.Sleep(time.Second)
	if err := w.configure(configuration(3, 0, []string{route("r-buy", "/buy/", "unsafe", "counter", "2000ms", 2)}, "counter", "archive"), 20*time.Second); err != nil {
		return 0, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	for _, e := range list {
		go e.keepBeating()
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var wait sync.WaitGroup
	for range 12 {
		wait.Go(func() { traffic(w.sides[0], done) })
	}
	time.Sleep(5 * time.Second)
	left, err := leave(w, list[2])
	if err != nil {
		return 0, err
	}
	for range 12 { // consumers of a machine that has not met the endpoint before
		wait.Go(func() { traffic(w.sides[4], done) })
	}
	time.Sleep(time.Until(left.Add(stay)))
	list[2].exit()
	time.Sleep(2 * time.Second)
	close(done)
	wait.Wait()
	return judgeDrain(w, list[2], left)
}

// traffic sends one request after another at a machine.
func traffic(m *machine, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		m.ask(http.MethodPost, "/buy/pass", []byte("pass"), 2*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
}

// leaveAndReturn lets an endpoint leave and returns when the leave was acknowledged. With trouble, the last heartbeat before the leave
// is late by four seconds, and the node is killed and started again meanwhile.
func leaveAndReturn(w *world, e *endpoint) (time.Time, error) {
	e.stopBeating()
	time.Sleep(beatInterval)
	beat := e.beat("ready")
	w.note("%s: sends heartbeat %s", e.id, beat)
	sent := time.Now()
	if !w.trouble {
		w.note("%s: heartbeat answered with %d", e.id, e.say(http.MethodPut, beat))
	}
	left := time.Time{}
	for left.IsZero() {
		s := e.say(http.MethodDelete, []byte(`{"born":`+strconv.FormatInt(e.born, 10)+`}`))
		w.note("%s: leave answered with %d", e.id, s)
		if s == http.StatusOK {
			left = time.Now()
		}
	}
	if !w.trouble {
		return left, nil
	}
	time.Sleep(300 * time.Millisecond)
	if err := e.m.restart(200 * time.Millisecond); err != nil {
		return left, err
	}
	time.Sleep(time.Until(sent.Add(4 * time.Second)))
	w.note("%s: the heartbeat sent at %s arrives; answered with %d", e.id, w.at(sent), e.say(http.MethodPut, beat))
	return left, nil
}

// judgeDrain applies the rule DRAIN: no request reaches the endpoint later than the drain bound after its leave was acknowledged, sent on
// while its machine and the core have run for the contact time.
func judgeDrain(w *world, e *endpoint, left time.Time) (int, error) {
	from := left.Add(drainBound)
	for _, m := range append([]*machine{e.m}, w.cores...) {
		if c := m.started.Add(contact); c.After(from) {
			from = c
		}
	}
	before, after := 0, 0
	for _, r := range e.all() {
		switch {
		case r.at.After(from):
			after++
		case r.at.Before(left):
			before++
		}
	}
	w.note("requests that reached %s: %d before its leave was acknowledged at %s, %d after %s", e.id, before, w.at(left), after, w.at(from))
	if before == 0 {
		return notPlayed, errors.New("no request reached the endpoint before its leave")
	}
	if after > 0 {
		return broken, nil
	}
	return held, nil
}
