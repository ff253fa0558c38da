package claim_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitspindle/core/agreement"
	"godwitspindle/core/claim"
	"godwitspindle/core/wire"
	"godwitspindle/io/disk"
	"godwitspindle/io/replica"
)

var measureTime = flag.Duration("measure", 0, "duration of each measurement of claims; 0 skips them")

// maxDelay is the longest random delay of a message when pairs of claimants claim one key. Without it, one of the pair nearly
// always reaches all replicas first, because all of them run in one process.
const maxDelay = 500 * time.Microsecond

// costs counts the syncs, the bytes written to disk and the bytes sent, as sums over all replicas.
type costs struct{ syncs, disk, sent atomic.Int64 }

func acquireCommand(key, owner string) *wire.Claim {
	return &wire.Claim{
		Kind: wire.ClaimKind_CLAIM_KIND_ACQUIRE, Route: "buy", Key: key, Fingerprint: make([]byte, 16), Owner: owner,
		Deadline: time.Now().Add(10 * time.Second).UnixMilli(),
	}
}

// registerDisk applies messages to the cells of one register replica and writes the changes to disk. Messages that arrive during
// a sync share the next one, as in the log.
type registerDisk struct {
	inbox chan func(acceptor) ([]byte, func())
	file  *os.File
	costs *costs
}

func (s *registerDisk) run(ctx context.Context) {
	cells := acceptor{}
	for {
		var answers []func()
		var batch []byte
		take := func(f func(acceptor) ([]byte, func())) {
			b, reply := f(cells)
			batch, answers = append(batch, b...), append(answers, reply)
		}
		select {
		case <-ctx.Done():
			return
		case f := <-s.inbox:
			take(f)
		}
		for len(s.inbox) > 0 && len(answers) < 512 {
			take(<-s.inbox)
		}
		if len(batch) > 0 {
			_, _ = s.file.Write(batch)
			_ = s.file.Sync()
			s.costs.syncs.Add(1)
			s.costs.disk.Add(int64(len(batch)))
		}
		for _, f := range answers {
			f()
		}
	}
}

// registerClaims returns a function that claims keys in registers on three disks and adds the rounds of each claim to rounds.
// With pairs, messages get a random delay; with down, one replica gets none.
func registerClaims(t *testing.T, c *costs, rounds *atomic.Int64, pairs, down bool) func(key, owner string) bool {
	var stores []*registerDisk
	for i := range 3 {
		f, err := os.Create(filepath.Join(t.TempDir(), fmt.Sprint("register", i)))
		if err != nil {
			t.Fatal(err)
		}
		s := &registerDisk{inbox: make(chan func(acceptor) ([]byte, func()), 4096), file: f, costs: c}
		stores = append(stores, s)
		go s.run(t.Context())
	}
	var ids atomic.Uint64
	return func(key, owner string) bool {
		n := newClaimant(3, ids.Add(1)&0xffff, key, owner)
		type reply struct {
			from   int
			answer answer
		}
		replies := make(chan reply, 64)
		payload, _ := proto.Marshal(acquireCommand(key, owner))
		send := func() {
			m := n.message
			for i, s := range stores {
				if down && i == 2 {
					continue
				}
				c.sent.Add(int64(len(payload)) + 40) // 40 for the ballots of both messages and the owner in the answer
				deliver := func() {
					s.inbox <- func(a acceptor) ([]byte, func()) {
						out, changed := a.apply(m)
						var b []byte
						if changed {
							b = append(make([]byte, 24), payload...) // length, checksum and ballots
						}
						return b, func() { replies <- reply{i, out} }
					}
				}
				if !pairs {
					deliver()
					continue
				}
				time.AfterFunc(rand.N(maxDelay), deliver)
			}
		}
		send()
		for n.winner == "" {
			r := <-replies
			// The claimant knows at once that a replica is down, as it does when a connection is closed.
			if n.receive(r.from, r.answer) || down && n.stopWaiting() {
				send()
			}
		}
		rounds.Add(int64(n.rounds))
		return n.winner == owner
	}
}

// logClaims returns a function that claims keys through the replicated log on three disks; with down, one follower is closed.
func logClaims(t *testing.T, c *costs, down bool) func(key, owner string) bool {
	names := []string{"a", "b", "c"}
	members := map[string]*replica.Replica{}
	var mu sync.Mutex
	for _, n := range names {
		table := claim.New(claim.WithBounds(10_000_000, 1<<31))
		r, err := replica.New(replica.WithFolder(t.TempDir()), replica.WithName(n), replica.WithFounders(names...),
			replica.WithSend(func(m agreement.Message) {
				size := int64(64)
				for _, e := range m.Entries {
					size += int64(len(e.Data)) + 16
				}
				c.sent.Add(size)
				mu.Lock()
				to := members[agreement.Name(m.To)]
				mu.Unlock()
				if to != nil {
					to.Step(m)
				}
			}),
			replica.WithApply(func(_ uint64, w *wire.Command) *wire.Result {
				var out []*wire.ClaimResult
				for _, k := range w.GetClaims().GetClaims() {
					out = append(out, table.Apply(time.Now(), k))
				}
				return &wire.Result{Body: &wire.Result_Claims{Claims: &wire.ClaimResults{Results: out}}}
			}),
			replica.WithMarshal(func() ([]byte, error) { return []byte{1}, nil }),
			replica.WithRestore(func([]byte) error { return nil }),
			replica.WithCompaction(1<<30, 1<<40),
			replica.WithDisk(
				disk.WithSync(func(f *os.File) error { c.syncs.Add(1); return f.Sync() }),
				disk.WithWrite(func(f *os.File, b []byte) (int, error) { c.disk.Add(int64(len(b))); return f.Write(b) })),
		)
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		members[n] = r
		mu.Unlock()
		t.Cleanup(func() { _ = r.Close() })
	}
	var leader *replica.Replica
	for leader == nil {
		for _, r := range members {
			ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
			if _, err := r.Read(ctx); err == nil {
				leader = r
			}
			stop()
		}
	}
	for _, r := range members {
		if down && r != leader {
			_ = r.Close()
			break
		}
	}
	return func(key, owner string) bool {
		w := &wire.Command{Body: &wire.Command_Claims{Claims: &wire.Claims{Claims: []*wire.Claim{acquireCommand(key, owner)}}}}
		r, err := leader.Propose(t.Context(), w)
		if err != nil {
			return false
		}
		return r.GetClaims().GetResults()[0].GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
	}
}

// startTogether blocks until both claimants of a pair have called it, and returns true; once stop is closed, it may return false.
func startTogether(c chan struct{}, first bool, stop chan struct{}) bool {
	out, in := c, c
	if first {
		in = nil
	} else {
		out = nil
	}
	select {
	case out <- struct{}{}:
	case <-in:
	case <-stop:
		return false
	}
	return true
}

// measure lets n claimants claim keys concurrently and logs the rate, latencies and costs; with pairs, two of them claim each
// key at the same time.
func measure(t *testing.T, c *costs, n int, pairs bool, claim func(key, owner string) bool) {
	var wait sync.WaitGroup
	var granted atomic.Int64
	took := make([][]time.Duration, n)
	c.syncs.Store(0)
	c.disk.Store(0)
	c.sent.Store(0)
	stop := make(chan struct{})
	time.AfterFunc(*measureTime, func() { close(stop) })
	begin := time.Now()
	starts := make([]chan struct{}, n)
	for i := range n {
		starts[i] = make(chan struct{})
		who := i
		if pairs {
			who = i / 2
		}
		wait.Go(func() {
			for k := 0; time.Since(begin) < *measureTime; k++ {
				if pairs && !startTogether(starts[who], i%2 == 0, stop) {
					return
				}
				at := time.Now()
				if claim(fmt.Sprintf("%08d-%08d-%016d", who, k, n), fmt.Sprintf("%016d-%d", i, k)) {
					granted.Add(1)
				}
				took[i] = append(took[i], time.Since(at))
			}
		})
	}
	wait.Wait()
	all := slices.Concat(took...)
	slices.Sort(all)
	count := float64(len(all))
	t.Logf("%7.0f claims/s  p50 %9s  p99 %9s  disk %5.0f B  sent %5.0f B  fsyncs %6.3f a claim, granted %d of %d",
		count/time.Since(begin).Seconds(), all[len(all)/2].Round(time.Microsecond), all[len(all)*99/100].Round(time.Microsecond),
		float64(c.disk.Load())/count, float64(c.sent.Load())/count, float64(c.syncs.Load())/count, granted.Load(), len(all))
}

// Measures the figures of docs/claims.md; written bytes, sent bytes and fsyncs are sums over three replicas. Run with -measure 3s.
func TestMeasureClaims(t *testing.T) {
	if *measureTime == 0 {
		t.Skip("run with -measure")
	}
	for _, n := range []struct {
		claimants   int
		pairs, down bool
	}{
		{1, false, false},
		{64, false, false},
		{512, false, false},
		{2, true, false},
		{64, true, false},
		{512, true, false},
		{1, false, true},
		{64, false, true},
		{512, false, true},
	} {
		name := fmt.Sprintf("claimants=%d,pairs on one key=%t,one replica down=%t", n.claimants, n.pairs, n.down)
		t.Run("log,"+name, func(t *testing.T) {
			var c costs
			claim := logClaims(t, &c, n.down)
			measure(t, &c, n.claimants, n.pairs, func(key, owner string) bool {
				if n.pairs {
					time.Sleep(rand.N(maxDelay))
				}
				return claim(key, owner)
			})
		})
		t.Run("register,"+name, func(t *testing.T) {
			var c costs
			var rounds, total atomic.Int64
			claim := registerClaims(t, &c, &rounds, n.pairs, n.down)
			measure(t, &c, n.claimants, n.pairs, func(key, owner string) bool {
				total.Add(1)
				return claim(key, owner)
			})
			t.Logf("%.3f rounds a claim", float64(rounds.Load())/float64(total.Load()))
		})
	}
}
