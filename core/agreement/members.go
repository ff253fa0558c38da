package agreement

import (
	"encoding/binary"
	"slices"
)

// Members is a member set: sorted lists of identities NAME/INCARNATION. While a voter is being replaced, Outgoing holds the voters
// before the change, and a majority of Voters and of Outgoing is needed for every decision; it is empty at other times.
type Members struct{ Voters, Learners, Outgoing []string }

// DecodeError reports a malformed encoded member set and the byte offset of the fault.
type DecodeError struct{ Offset int }

// Error returns a message without the offset.
func (e *DecodeError) Error() string { return "agreement: malformed member set" }

// Joint reports whether the set is that of a replacement in progress.
func (m Members) Joint() bool { return len(m.Outgoing) > 0 }

// Replace returns the joint set in which in, a learner before, takes the place of the voter out.
func (m Members) Replace(out, in string) Members {
	n := m.Without(out).With(in, false)
	n.Outgoing = slices.Clone(m.Voters)
	return n
}

// Join returns the set with id as a learner. It replaces earlier learners of the same name; a voter of that name, whose disk is lost,
// stays until a learner replaces it.
func (m Members) Join(id string) Members {
	if m.Has(id) {
		return m
	}
	sameName := func(o string) bool { return Name(o) == Name(id) }
	m.Learners = slices.DeleteFunc(slices.Clone(m.Learners), sameName)
	return m.With(id, true)
}

// Difference returns the voters that a joint set adds and those that it removes.
func (m Members) Difference() (added, removed []string) {
	return difference(m.Voters, m.Outgoing), difference(m.Outgoing, m.Voters)
}

// settled returns the set that follows a joint one: without the outgoing voters.
func (m Members) settled() Members { return Members{Voters: m.Voters, Learners: m.Learners} }

// quorums returns the sets of voters of which each decision needs a majority.
func (m Members) quorums() [][]string {
	if m.Joint() {
		return [][]string{m.Voters, m.Outgoing}
	}
	return [][]string{m.Voters}
}

// IsVoter reports whether id has a vote, also as an outgoing voter.
func (m Members) IsVoter(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// Quorate reports whether the members that satisfy f are a majority of each set of voters.
func (m Members) Quorate(f func(id string) bool) bool { return m.margin(f) >= 0 }

// margin returns how many members that satisfy f may be lost while the rest is a majority of each set of voters. It is negative if
// they are no majority.
func (m Members) margin(f func(id string) bool) int {
	least := len(m.Voters)
	for _, voters := range m.quorums() {
		n := 0
		for _, id := range voters {
			if f(id) {
				n++
			}
		}
		least = min(least, n-len(voters)/2-1)
	}
	return least
}

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
		Outgoing: slices.Clone(m.Outgoing),
	}
}

// Has reports whether id is a voter, an outgoing voter or a learner.
func (m Members) Has(id string) bool { return m.IsVoter(id) || slices.Contains(m.Learners, id) }

// IDs returns the identities of all members, sorted and each once.
func (m Members) IDs() []string {
	all := slices.Concat(m.Voters, m.Learners, m.Outgoing)
	slices.Sort(all)
	return slices.Compact(all)
}

// EncodeMembers encodes the voters, the learners and, if there are any, the outgoing voters, each as a count and length-prefixed
// strings.
func EncodeMembers(m Members) []byte {
	lists := [][]string{m.Voters, m.Learners}
	if m.Joint() {
		lists = append(lists, m.Outgoing)
	}
	var b []byte
	for _, l := range lists {
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
	var lists [3][]string
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
		if i == 2 && offset == len(data) {
			break // no outgoing voters
		}
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
	return Members{Voters: lists[0], Learners: lists[1], Outgoing: lists[2]}, nil
}

// checkMembers decodes a new member set and returns an error if it may not replace the current one. The previous change must be
// committed, and the leader must have committed an entry in its term. The lists must be sorted, without duplicates, and hold a
// voter. At most one voter may be added or removed, or one replaced by a joint change, a new voter must be a learner that has caught
// up, and a majority of the new voters must be reachable.
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
	case from.Joint():
		return &MembersError{Reason: "a replacement is in progress"}
	case len(to.Voters) == 0:
		return &MembersError{Reason: "no voter would remain"}
	case !sortedAndUnique(to):
		return &MembersError{Reason: "lists must be sorted and without duplicates"}
	case to.Joint() && !slices.Equal(to.Outgoing, from.Voters):
		return &MembersError{Reason: "the outgoing voters must be the present ones"}
	}
	if err := r.checkVoters(from, to); err != nil {
		return err
	}
	if !to.Quorate(r.answered) {
		return &MembersError{Reason: "the new voters have no reachable majority"}
	}
	return nil
}

// checkVoters checks which voters a change adds and removes.
func (r *Replica) checkVoters(from, to Members) error {
	added, removed := difference(to.Voters, from.Voters), difference(from.Voters, to.Voters)
	for _, id := range added {
		p := r.progress[id]
		if p == nil || !p.learner {
			return &MembersError{Reason: id + " must be a learner first"}
		}
		if recent := r.recentCommit(); p.match < recent {
			return &LagError{Learner: id, Match: p.match, Commit: recent}
		}
	}
	if to.Joint() && (len(added) != 1 || len(removed) != 1) {
		return &MembersError{Reason: "a joint change must replace one voter"}
	}
	if !to.Joint() && len(added)+len(removed) > 1 {
		return &MembersError{Reason: "more than one voter would change"}
	}
	return nil
}

// difference returns the elements of a that are not in b.
func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(id string) bool { return slices.Contains(b, id) })
}

func sortedAndUnique(m Members) bool {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return slices.IsSorted(m.Voters) && slices.IsSorted(m.Learners) && slices.IsSorted(m.Outgoing) &&
		len(slices.Compact(all)) == len(m.Voters)+len(m.Learners)
}

// answered reports whether a member answered within the election timeout. This replica itself always has.
func (r *Replica) answered(id string) bool {
	p := r.progress[id]
	return id == r.id || p != nil && r.now.Sub(p.lastHeard) < r.election
}

// majorityValue returns the highest value that a majority of each set of voters has reached; own is this replica's value.
func (r *Replica) majorityValue(own uint64, valueOf func(p *progress) uint64) uint64 {
	value := func(id string) uint64 {
		p := r.progress[id]
		switch {
		case id == r.id:
			return own
		case p != nil:
			return valueOf(p)
		}
		return 0
	}
	least := ^uint64(0)
	for _, voters := range r.members().quorums() {
		least = min(least, majorityOf(voters, value))
	}
	return least
}

// majorityOf returns the highest value that a majority of the voters has reached, or 0 without voters.
func majorityOf(voters []string, value func(id string) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	v := make([]uint64, len(voters))
	for i, id := range voters {
		v[i] = value(id)
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}
