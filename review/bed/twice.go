package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// Dose of the lost answers: one endpoint of three loses this share of its answers.
const lostShare = 0.1

// slashRequests is the number of requests of encoded-slash.
const slashRequests = 800

// encodedSlash sends requests of an unsafe route whose path holds an encoded slash, as in the number of an invoice, beside a safe route
// with a longer prefix. With trouble, an endpoint loses some answers after it ran the request.
func encodedSlash(w *world) (int, error) {
	w.addMachines(3, "archive", "ledger", "ledger", "ledger")
	if err := w.startAll(); err != nil {
		return 0, err
	}
	list := make([]*endpoint, 3)
	for i, m := range w.sides[1:] {
		e, err := newEndpoint(m, "i-"+string(rune('a'+i))+"00c4e2", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if w.trouble && i == 2 && rand.Float64() < lostShare {
				w.note("endpoint: the answer to %s is lost", r.Header.Get(headerAttempt))
				panic(http.ErrAbortHandler)
			}
			list[i].succeed(rw, r.Header.Get(headerAttempt))
		})
		if err != nil {
			return 0, err
		}
		list[i] = e
	}
	time.Sleep(time.Second)
	routes := []string{
		route("r-refund", "/refunds/", "unsafe", "ledger", "2000ms", 2),
		route("r-history", "/refunds/2026/", "safe", "ledger", "2000ms", 2),
	}
	if err := w.configure(configuration(3, 0, routes, "ledger", "archive"), 20*time.Second); err != nil {
		return 0, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	for _, e := range list {
		go e.keepBeating()
	}
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	for c := range 8 {
		wait.Go(func() {
			for i := range slashRequests / 8 {
				w.sides[0].ask(http.MethodPost, fmt.Sprintf("/refunds/2026%%2F%d-%d", c, i), []byte("refund"), 2*time.Second)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	return judgeTwice(w, list)
}

// judgeTwice applies the rule TWICE to requests that are not idempotent.
func judgeTwice(w *world, list []*endpoint) (int, error) {
	runs := map[string]int{}
	for _, e := range list {
		for _, r := range e.all() {
			runs[r.id]++
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			w.note("%s ran %d times", id, n)
		}
	}
	w.note("%d requests of the unsafe route ran, %d of them more than once", len(runs), twice)
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
