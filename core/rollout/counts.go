package rollout

import (
	"math"
	"time"
)

// Buckets is the number of buckets for the times of answers. Bucket 0 ends at 1 ms, each next one at sqrt(2) times the end of the one
// before, and the last has no end; so two buckets are a factor of 2.
const Buckets = 26

const doubling = 2 // buckets in which the time doubles

// BucketOf returns the bucket of the time that an answer took.
func BucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(doubling*math.Log2(ms))), Buckets-1)
}

// Counts are the answers of one release to the requests of one route.
type Counts struct {
	Answers  uint64          // complete answers other than failures
	Failures uint64          // failed answers, answers that broke off, and attempts without an answer that may have run
	Times    [Buckets]uint32 // Answers by time
}

// Sum returns the number of answers and failures.
func (c *Counts) Sum() uint64 { return c.Answers + c.Failures }

// Record counts one answer.
func (c *Counts) Record(took time.Duration, failed bool) {
	if failed {
		c.Failures++
		return
	}
	c.Answers++
	c.Times[BucketOf(took)]++
}

func (c *Counts) add(o *Counts) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	for i, n := range o.Times {
		c.Times[i] += n
	}
}

// since returns the growth from an earlier value. A value that shrank counts as no growth.
func (c *Counts) since(o *Counts) Counts {
	d := Counts{Answers: grown(c.Answers, o.Answers), Failures: grown(c.Failures, o.Failures)}
	for i := range c.Times {
		d.Times[i] = grown(c.Times[i], o.Times[i])
	}
	return d
}

func grown[T uint32 | uint64](value, before T) T {
	if value < before {
		return 0
	}
	return value - before
}

func (c *Counts) failureRate() float64 {
	if c.Sum() == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Sum())
}

// Key identifies counts: those of the new release or of all others, for one route.
type Key struct {
	Route string
	New   bool
}

// Report is what one node counted since it learned of the rollout. It may leave out keys whose counts have not changed.
type Report struct {
	Node        string
	Incarnation uint64
	Missed      uint64 // requests assigned to the new release that found no usable endpoint of it
	Step        uint32 // newest step that the node knows
	Pending     uint32 // requests that wait for the answer of an endpoint of the old release
	Stopped     bool   // the node sends nothing more to the new release, because it saw too many failures
	Counts      map[Key]Counts
}
