package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Numbers of the case pipeline.
const (
	batchRequests = 11   // safe requests that a consumer sends on a connection before it reads the answers
	cookieBytes   = 6000 // of each request; with it the head stays below maxHeaderBytes, 16384
	// batchPace is the time from one batch of a consumer to the next one; three consumers send fewer requests than the 311 a second
	// of the site.
	batchPace    = 120 * time.Millisecond
	batchesLimit = 60 * time.Second
	calmLimit    = 10 * time.Second // without the disruption
)

// playPipeline lets one consumer on each machine send batches of safe requests on a kept connection. Its disruption is that a consumer
// sends all requests of a batch before it reads their answers; without it, it reads each answer before it sends the next request.
func playPipeline(r *record, program string, trouble bool) error {
	m, err := serve(r, program, []string{"archive", "ledger", "counter"},
		route{"/lepu270/", "safe", "2000ms", "archive"}, route{"/buy/", "unsafe", "2000ms", "ledger"})
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	for _, s := range m.sides {
		s.endpoint.quiet.Store(true) // sendBatch records the runs
	}
	limit := calmLimit
	if trouble {
		limit = batchesLimit
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var wrong, failed []string
	batches, stop := 0, time.Now().Add(limit)
	for _, s := range m.sides {
		wait.Go(func() {
			n, foreign, err := m.sendBatches(s, trouble, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return time.Now().After(stop) || len(wrong) > 0
			})
			mu.Lock()
			defer mu.Unlock()
			batches += n
			wrong = append(wrong, foreign...)
			if err != nil {
				failed = append(failed, fmt.Sprintf("%s: %v", s.name, err))
			}
		})
	}
	wait.Wait()
	r.add("%d batches of %d requests each; connections that ended early: %q", batches, batchRequests, failed)
	if len(wrong) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(wrong, "; "))
	}
	if batches == 0 {
		return fmt.Errorf("no batch was answered: %q", failed)
	}
	return nil
}

// sendBatches sends batches on one connection until done reports true or an answer belongs to another request, which it describes.
func (m *mesh) sendBatches(s *machine, pipelined bool, done func() bool) (batches int, foreign []string, err error) {
	c, err := m.connect(s)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = c.Close() }()
	for ; !done() && len(foreign) == 0; batches++ {
		var ids, texts []string
		for i := range batchRequests {
			id := fmt.Sprintf("%s-%d-%d", s.name, batches, i)
			ids = append(ids, id)
			texts = append(texts, head(http.MethodGet, "/lepu270/"+id, id, time.Second, "Cookie: "+strings.Repeat("c", cookieBytes)+"\r\n"))
		}
		began := time.Now()
		if foreign, err = m.sendBatch(c, ids, texts, pipelined); err != nil {
			return batches, foreign, err
		}
		time.Sleep(time.Until(began.Add(batchPace)))
	}
	return batches, foreign, nil
}

// sendBatch sends the requests of one batch, and describes the answers that belong to other requests.
func (m *mesh) sendBatch(c *consumer, ids, texts []string, pipelined bool) (foreign []string, err error) {
	sent := make(chan error, 1)
	if pipelined {
		go func() { sent <- c.write(strings.Join(texts, "")) }()
	}
	var got []string
	for i, id := range ids {
		if !pipelined {
			if err := c.write(texts[i]); err != nil {
				return foreign, err
			}
		}
		p, body, err := c.read(http.MethodGet, 3*time.Second)
		if err != nil {
			return foreign, err
		}
		answered := p.Header.Get(headerAttempt)
		got = append(got, fmt.Sprintf("%d:%s", p.StatusCode, answered))
		if p.StatusCode == http.StatusOK && (answered != id || string(body) != "done "+id+"\n") {
			foreign = append(foreign, fmt.Sprintf("request %d of a batch, %s, got the success %q with the id %s; %s ran %d times, %s ran %d times",
				i+1, id, body, answered, id, len(m.runsOf(id)), answered, len(m.runsOf(answered))))
		}
	}
	if pipelined {
		err = <-sent
	}
	m.record.add("sent %s to %s, answers %s, runs %s", ids[0], ids[len(ids)-1], strings.Join(got, " "), m.countRuns(ids))
	if len(foreign) > 0 {
		m.record.add("one of these requests: %q", shorten(texts[0]))
		m.record.add("%s", strings.Join(foreign, "; "))
	}
	return foreign, err
}

// countRuns returns how often each of the requests ran, in their order.
func (m *mesh) countRuns(ids []string) string {
	var list []string
	for _, id := range ids {
		list = append(list, fmt.Sprint(len(m.runsOf(id))))
	}
	return strings.Join(list, " ")
}
