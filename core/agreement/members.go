package agreement

import (
	"encoding/binary"
	"slices"
)

// Members is a member set; both lists are sorted identities.
type Members struct{ Voters, Learners []string }

// DecodeError says that an encoded member set is malformed.
type DecodeError struct{ Offset int }

// Error formats the failure.
func (e *DecodeError) Error() string { return "agreement: malformed member set" }

// With returns a sorted copy without duplicates in which id has the given part.
func (m Members) With(id string, learner bool) Members {
	n := m.Without(id)
	if learner {
		n.Learners = append(n.Learners, id)
	} else {
		n.Voters = append(n.Voters, id)
	}
	slices.Sort(n.Voters)
	slices.Sort(n.Learners)
	return n
}

// Without returns a copy without id.
func (m Members) Without(id string) Members {
	drop := func(s string) bool { return s == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), drop),
	}
}

// Has reports whether id is a voter or a learner.
func (m Members) Has(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id)
}

// EncodeMembers encodes a member set as two counted lists of length-prefixed strings.
func EncodeMembers(m Members) []byte {
	var b []byte
	for _, l := range [][]string{m.Voters, m.Learners} {
		b = binary.AppendUvarint(b, uint64(len(l)))
		for _, s := range l {
			b = binary.AppendUvarint(b, uint64(len(s)))
			b = append(b, s...)
		}
	}
	return b
}

// DecodeMembers reverses EncodeMembers; it fails with *DecodeError.
func DecodeMembers(data []byte) (Members, error) {
	var lists [2][]string
	at := 0
	next := func() (int, bool) {
		v, n := binary.Uvarint(data[at:])
		if n <= 0 || v > uint64(len(data)) {
			return 0, false
		}
		at += n
		return int(v), true
	}
	for i := range lists {
		c, ok := next()
		if !ok {
			return Members{}, &DecodeError{Offset: at}
		}
		for range c {
			n, ok := next()
			if !ok || n > len(data)-at {
				return Members{}, &DecodeError{Offset: at}
			}
			lists[i] = append(lists[i], string(data[at:at+n]))
			at += n
		}
	}
	if at != len(data) {
		return Members{}, &DecodeError{Offset: at}
	}
	return Members{Voters: lists[0], Learners: lists[1]}, nil
}

// Checks one membership change against the current set and the progress of its learners.
func (r *Replica) checkMembers(data []byte) error {
	to, err := DecodeMembers(data)
	if err != nil {
		return &MembersError{Reason: err.Error()}
	}
	from := r.members()
	switch {
	case r.config[len(r.config)-1].index > r.commit:
		return &MembersError{Reason: "another change is not committed yet"}
	case !r.ready():
		return &MembersError{Reason: "the leader has not committed an entry in its term yet"}
	case len(to.Voters) == 0:
		return &MembersError{Reason: "no voter would remain"}
	case !tidy(to):
		return &MembersError{Reason: "lists must be sorted and without duplicates"}
	}
	moved := 0
	for _, id := range to.Voters {
		if slices.Contains(from.Voters, id) {
			continue
		}
		moved++
		p := r.progress[id]
		if p == nil || !p.learner {
			return &MembersError{Reason: id + " must be a learner first"}
		}
		if p.match < r.commit {
			return &LagError{Learner: id, Match: p.match, Commit: r.commit}
		}
	}
	for _, id := range from.Voters {
		if !slices.Contains(to.Voters, id) {
			moved++
		}
	}
	if moved > 1 {
		return &MembersError{Reason: "more than one voter would change"}
	}
	if !r.live(to.Voters) {
		return &MembersError{Reason: "the new voters have no reachable majority"}
	}
	return nil
}

func tidy(m Members) bool {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return slices.IsSorted(m.Voters) && slices.IsSorted(m.Learners) && len(slices.Compact(all)) == len(m.Voters)+len(m.Learners)
}

// Reports whether a majority of the voters answered within the election timeout.
func (r *Replica) live(voters []string) bool {
	n := 0
	for _, id := range voters {
		p := r.progress[id]
		if id == r.id || p != nil && r.now.Sub(p.heard) < r.election {
			n++
		}
	}
	return n > len(voters)/2
}

// Returns the value that a majority of the voters has reached.
func (r *Replica) majority(own uint64, of func(p *progress) uint64) uint64 {
	var v []uint64
	for _, id := range r.members().Voters {
		switch p := r.progress[id]; {
		case id == r.id:
			v = append(v, own)
		case p != nil:
			v = append(v, of(p))
		default:
			v = append(v, 0)
		}
	}
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
