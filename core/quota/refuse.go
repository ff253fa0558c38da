package quota

import "time"

// refuse returns the verdict for a request over the quota. Refused requests are told to return one after the other, at the rate at which
// this node gets tokens, and at random around that time.
func (l *Local) refuse(now time.Time, a *account) Verdict {
	l.totals.Refused++
	rate := max(a.gain, a.limit.Rate/float64(max(a.sharing, 1)))
	if l.alone(now) {
		rate = max(a.promised, l.minimum(a))
	}
	gap := maxRetryAfter
	if rate*maxRetryAfter.Seconds() > 1 {
		gap = time.Duration(float64(time.Second) / rate)
	}
	at := now.Add(minRetryAfter)
	if a.hold.After(at) {
		at = a.hold
	}
	if a.returnAt.After(at) {
		at = a.returnAt
	}
	a.returnAt = at.Add(gap)
	// The first half of the step is left out: nodes that share a small quota would find the token taken by one that asked just before.
	after := at.Sub(now) + time.Duration((0.5+l.random())*float64(gap))
	if after > maxRetryAfter { // more requests than there is room for spread over the second half of the time
		a.returnAt = now.Add(maxRetryAfter)
		after = maxRetryAfter/2 + time.Duration(l.random()*float64(maxRetryAfter/2))
	}
	s := State{Limit: a.limit, Tokens: a.tokens, Demand: a.demand, Age: -1, Term: l.term}
	if !a.grantedAt.IsZero() {
		s.Age = now.Sub(a.grantedAt)
	}
	return Verdict{RetryAfter: after, State: s}
}

// Totals returns the counters of the Local.
func (l *Local) Totals(now time.Time) Totals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.totals
	t.Answered, t.Alone = l.answered, l.alone(now)
	return t
}
