package claim_test

import (
	"testing"

	"pgregory.net/rapid"
)

// step is a round of the register variant of a claim, which exists only for the comparison in TestMeasureClaims. Each key is a
// test-and-set register on all replicas, after Al-Shishtawy et al. (see docs/claims.md). A claim that finds the key free on all
// replicas is granted after one round. Otherwise a prepare and an accept round at a majority follow, as in Fast Paxos (Lamport,
// 2006), because two of three replicas cannot tell which of two claimants won the third one.
type step uint8

const (
	test step = iota
	prepare
	accept
)

type message struct {
	step       step
	key, owner string
	ballot     uint64
}

// answer is a replica's cell after it applied a message; step and ballot are those of the message; ok says whether
// the replica accepted the message.
type answer struct {
	step               step
	ballot             uint64
	ok                 bool
	promised, accepted uint64 // accepted is the ballot that set owner
	owner              string
}

type cell struct {
	promised, accepted uint64
	owner              string
}

// acceptor holds the cells of one replica by key; a change must be durable before the answer is sent.
type acceptor map[string]cell

func (a acceptor) apply(m message) (out answer, changed bool) {
	c := a[m.key]
	held := c
	ok := false
	switch m.step {
	case test:
		if c.owner == "" && c.promised == 0 {
			c.owner = m.owner
		}
		ok = c.owner == m.owner && c.promised == 0
	case prepare:
		if ok = m.ballot > c.promised; ok {
			c.promised = m.ballot
		}
	case accept:
		if ok = m.ballot >= c.promised; ok {
			c = cell{promised: m.ballot, accepted: m.ballot, owner: m.owner}
		}
	}
	a[m.key] = c
	return answer{step: m.step, ballot: m.ballot, ok: ok, promised: c.promised, accepted: c.accepted, owner: c.owner}, c != held
}

// claimant is one attempt to claim a key. The field message must be sent to all replicas at the start and whenever receive or
// stopWaiting returns true.
type claimant struct {
	replicas int
	id       uint64 // unique, below 1<<16
	owner    string
	message  message
	answers  map[int]answer
	rounds   int
	winner   string // owner that holds the key; empty until the claim is decided
}

func newClaimant(replicas int, id uint64, key, owner string) *claimant {
	return &claimant{
		replicas: replicas, id: id, owner: owner, rounds: 1, answers: map[int]answer{},
		message: message{step: test, key: key, owner: owner},
	}
}

func (c *claimant) receive(from int, a answer) (again bool) {
	if c.winner != "" || a.step != c.message.step || a.ballot != c.message.ballot {
		return false
	}
	c.answers[from] = a
	if a.step == test {
		return c.afterTest()
	}
	if !a.ok {
		return c.startRound(prepare, (a.promised>>16+1)<<16|c.id, c.owner)
	}
	if len(c.answers) <= c.replicas/2 {
		return false
	}
	if a.step == accept {
		c.winner = c.message.owner
		return false
	}
	return c.startRound(accept, c.message.ballot, c.ownerToComplete())
}

// afterTest decides the claim once all replicas name the same owner and no promised ballot. It starts the prepare round once a
// majority has answered and the answers name different owners or a promised ballot.
func (c *claimant) afterTest() bool {
	same, first := true, ""
	for _, a := range c.answers {
		if first == "" {
			first = a.owner
		}
		same = same && a.promised == 0 && a.owner == first
	}
	if same && len(c.answers) == c.replicas {
		c.winner = first
		return false
	}
	if same || len(c.answers) <= c.replicas/2 {
		return false
	}
	return c.startRound(prepare, 1<<16|c.id, c.owner)
}

// stopWaiting starts the prepare round without the replicas that have not answered, once a majority has.
func (c *claimant) stopWaiting() bool {
	if c.message.step != test || c.winner != "" || len(c.answers) <= c.replicas/2 {
		return false
	}
	return c.startRound(prepare, 1<<16|c.id, c.owner)
}

// ownerToComplete returns the owner accepted at the highest ballot, else the owner that all answers name and that all replicas
// may thus have recorded in the first round, else this claimant.
func (c *claimant) ownerToComplete() string {
	var high uint64
	owner, first, same := c.owner, "", true
	for _, a := range c.answers {
		if a.accepted > high {
			high, owner = a.accepted, a.owner
		}
		if first == "" {
			first = a.owner
		}
		same = same && a.owner != "" && a.owner == first
	}
	if high == 0 && same {
		return first
	}
	return owner
}

func (c *claimant) startRound(s step, ballot uint64, owner string) bool {
	c.message.step, c.message.ballot, c.message.owner = s, ballot, owner
	c.answers = map[int]answer{}
	c.rounds++
	return true
}

// Guards against an unfair comparison with a register that grants a key to two claimants under some order of messages.
func TestRegisterGrantsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		type link struct{ from, to int }
		type reply struct {
			link
			answer answer
		}
		acceptors := []acceptor{{}, {}, {}}
		var claimants []*claimant
		var requests []link
		var replies []reply
		messages := map[link][]message{}
		send := func(i int) {
			for to := range replicas {
				l := link{i, to}
				requests = append(requests, l)
				messages[l] = append(messages[l], claimants[i].message)
			}
		}
		for i := range rapid.IntRange(2, 3).Draw(t, "claimants") {
			claimants = append(claimants, newClaimant(replicas, uint64(i+1), "k", string(rune('a'+i))))
			send(i)
		}
		for range 400 {
			n := len(requests) + len(replies)
			if n == 0 {
				break
			}
			i := rapid.IntRange(0, n-1).Draw(t, "next")
			if i < len(requests) {
				l := requests[i]
				requests = append(requests[:i:i], requests[i+1:]...)
				m := messages[l][0]
				messages[l] = messages[l][1:]
				a, _ := acceptors[l.to].apply(m)
				replies = append(replies, reply{l, a})
				continue
			}
			r := replies[i-len(requests)]
			replies = append(replies[:i-len(requests):i-len(requests)], replies[i-len(requests)+1:]...)
			if claimants[r.from].receive(r.to, r.answer) {
				send(r.from)
			}
		}
		winner := ""
		for _, c := range claimants {
			if winner == "" {
				winner = c.winner
			}
			if c.winner != "" && c.winner != winner {
				t.Fatalf("got the winners %s and %s, want one winner", winner, c.winner)
			}
		}
	})
}
