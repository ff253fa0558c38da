package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Times of the case seed.
const (
	seedLag      = 3 * time.Second
	contact      = 3 * time.Second
	ack          = 4 * time.Second
	replaceAfter = time.Second      // replace_core: an empty machine comes x s (1) later at another address
	orderLimit   = 45 * time.Second // how long the operator goes on, far beyond the bound ack
)

// playSeed loses one core machine for good at the first start of the deployment; another one with the same roles comes with an empty
// disk at another address. Then the operator sends the first configuration.
func playSeed(r *record, program string, trouble bool) error {
	m, err := newMesh(r, program, "archive", "ledger", "counter")
	if m != nil {
		defer m.stop()
	}
	if err != nil {
		return err
	}
	if err := m.startAll(); err != nil {
		return err
	}
	if trouble {
		if err := m.replaceSeed(m.cores[1]); err != nil {
			return err
		}
	}
	time.Sleep(contact + time.Second) // from here on the core is stable
	for _, c := range m.machines() {
		if !c.runs() {
			return fmt.Errorf("the process of %s has ended", c.name)
		}
	}
	r.add("the core is stable, %d of %d core machines run", len(m.cores), coreCount)
	began := time.Now()
	err = m.put(document([]route{{"/lepu270/", "safe", "2000ms", "archive"}}), orderLimit)
	took := time.Since(began)
	if err == nil && took <= ack {
		return nil
	}
	m.lookAround()
	if err != nil {
		return fmt.Errorf("%w: the operator's first configuration has no acknowledgement after %s, allowed are %s; last answer: %w", errBroken, took.Round(time.Second), ack, err)
	}
	return fmt.Errorf("%w: the operator's first configuration was acknowledged after %s only", errBroken, took)
}

// replaceSeed ends the process of a core machine for good, with its disk, and adds another machine. The settings of all machines name
// the new machine as a seed after seedLag.
func (m *mesh) replaceSeed(lost *machine) error {
	lost.signal(syscall.SIGKILL)
	<-lost.ended
	if err := os.RemoveAll(filepath.Join(lost.folder, "data")); err != nil {
		return err
	}
	m.record.add("%s is gone for good", lost.name)
	time.Sleep(replaceAfter)
	m.cores = append(m.cores[:1:1], m.cores[2:]...)
	m.seeds = []*machine{m.cores[0], m.cores[1], m.cores[2]}
	added := m.addCore(coreCount + 1)
	if err := m.start(added, false); err != nil {
		return err
	}
	m.record.add("%s has been added with an empty disk", added.name)
	time.Sleep(seedLag)
	m.seeds = []*machine{m.cores[0], m.cores[1], added}
	for _, c := range m.machines() {
		if _, err := m.writeSettings(c, false); err != nil {
			return err
		}
	}
	m.record.add("the settings of all machines name the seeds %s, %s and %s", m.seeds[0].name, m.seeds[1].name, m.seeds[2].name)
	return nil
}

// lookAround records what consumers and the platform see without a configuration.
func (m *mesh) lookAround() {
	for _, s := range m.sides {
		status, text, err := m.call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", s.ip, m.ready), "")
		m.record.add("ready of %s: %s", s.name, describe(status, text, err))
		c, err := m.connect(s)
		if err != nil {
			continue
		}
		_ = c.send("c-"+s.name, head(http.MethodGet, "/lepu270/1", "c-"+s.name, time.Second))
		_, _, _ = c.receive("c-"+s.name, http.MethodGet, 2*time.Second)
		_ = c.Close()
	}
}
