package agreement

import (
	"encoding/binary"
	"slices"
)

// Members is a member set: two sorted lists of identities NAME/INCARNATION.
type Members struct{ Voters, Learners []string }

// DecodeError reports a malformed encoded member set and the byte offset of the fault.
type DecodeError struct{ Offset int }

// Error returns a message without the offset.
func (e *DecodeError) Error() string { return "agreement: malformed member set" }

// With returns a sorted copy in which id is a learner if learner is set and otherwise a voter, in place of any earlier role.
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
	isID := func(s string) bool { return s == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), isID),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), isID),
	}
}

// Has reports whether id is a voter or a learner.
func (m Members) Has(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Learners, id)
}

// all returns the identities of all members.
func (m Members) all() []string { return slices.Concat(m.Voters, m.Learners) }

// EncodeMembers encodes the voters and then the learners, each as a count and length-prefixed strings.
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

// DecodeMembers decodes the output of EncodeMembers; it fails with *DecodeError.
func DecodeMembers(data []byte) (Members, error) {
	var lists [2][]string
	offset := 0
	next := func() (int, bool) {
		v, n := binary.Uvarint(data[offset:])
		if n <= 0 || v > uint64(len(data)) {
			return 0, false
		}
		offset += n
		return int(v), true
	}
	for i := range lists {
		count, ok := next()
		if !ok {
			return Members{}, &DecodeError{Offset: offset}
		}
		for range count {
			n, ok := next()
			if !ok || n > len(data)-offset {
				return Members{}, &DecodeError{Offset: offset}
			}
			lists[i] = append(lists[i], string(data[offset:offset+n]))
			offset += n
		}
	}
	if offset != len(data) {
		return Members{}, &DecodeError{Offset: offset}
	}
	return Members{Voters: lists[0], Learners: lists[1]}, nil
}

// checkMembers decodes a new member set and returns an error if it may not replace the current one. The previous change must be
// committed, and the leader must have committed an entry in its term. The lists must be sorted, without duplicates, and hold a
// voter. At most one voter may change at a time, a new voter must be a learner that has caught up, and a majority of the new
// voters must be reachable.
func (r *Replica) checkMembers(data []byte) error {
	to, err := DecodeMembers(data)
	if err != nil {
		return &MembersError{Reason: err.Error()}
	}
	from := r.members()
	switch {
	case r.memberSets[len(r.memberSets)-1].index > r.commit:
		return &MembersError{Reason: "another change is not committed yet"}
	case !r.committedInTerm():
		return &MembersError{Reason: "the leader has not committed an entry in its term yet"}
	case len(to.Voters) == 0:
		return &MembersError{Reason: "no voter would remain"}
	case !sortedAndUnique(to):
		return &MembersError{Reason: "lists must be sorted and without duplicates"}
	}
	votersChanged := 0
	for _, id := range to.Voters {
		if slices.Contains(from.Voters, id) {
			continue
		}
		votersChanged++
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
			votersChanged++
		}
	}
	if votersChanged > 1 {
		return &MembersError{Reason: "more than one voter would change"}
	}
	if !r.majorityReachable(to.Voters) {
		return &MembersError{Reason: "the new voters have no reachable majority"}
	}
	return nil
}

func sortedAndUnique(m Members) bool {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return slices.IsSorted(m.Voters) && slices.IsSorted(m.Learners) && len(slices.Compact(all)) == len(m.Voters)+len(m.Learners)
}

// majorityReachable reports whether a majority of the voters answered within the election timeout. If this replica is one of the
// voters, it counts as having answered.
func (r *Replica) majorityReachable(voters []string) bool {
	n := 0
	for _, id := range voters {
		p := r.progress[id]
		if id == r.id || p != nil && r.now.Sub(p.lastHeard) < r.election {
			n++
		}
	}
	return n > len(voters)/2
}

// majorityValue returns the highest value that a majority of the voters has reached; own is this replica's value.
func (r *Replica) majorityValue(own uint64, valueOf func(p *progress) uint64) uint64 {
	var v []uint64
	for _, id := range r.members().Voters {
		switch p := r.progress[id]; {
		case id == r.id:
			v = append(v, own)
		case p != nil:
			v = append(v, valueOf(p))
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
