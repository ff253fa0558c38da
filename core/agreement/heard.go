package agreement

import "time"

// Silence is a member that the leader has not heard for some time.
type Silence struct {
	ID  string
	Age time.Duration
}

// reportedSilence is the part of the election timeout, as a divisor, from which heartbeats name a silent member.
const reportedSilence = 2

// hear notes that the sender of a message is alive if it is a member or was one. Of a member, campaigns and messages of an earlier term
// do not count: a member that receives nothing sends them for ever, and is lost to the group.
func (r *Replica) hear(m Message) {
	member := r.members().Has(m.From)
	if member && (m.Kind == PreVote || m.Kind == Vote || m.Term < r.state.Term) {
		return
	}
	if _, known := r.heard[m.From]; known || member {
		r.heard[m.From] = r.now
	}
}

// showAlive tells the members that this replica runs. A replica without a vote does not campaign when it hears no leader; without this
// message, a leader that removed it while it was cut off would take it for lost, however long it is back. The message has no term, so
// that it cannot depose a leader.
func (r *Replica) showAlive() {
	for _, id := range r.members().IDs() {
		if id != r.id {
			r.send(Message{Kind: HeartbeatAnswer, To: id})
		}
	}
}

// lastAlive returns when a member was last known to be alive. For a member of which nothing is known, that is the start of this
// process, so that a lost member is never without a silence.
func (r *Replica) lastAlive(id string) time.Time {
	if t, ok := r.heard[id]; ok {
		return t
	}
	return r.started
}

// silences lists the members that the leader has not heard for a while. Followers keep the list for the next election.
func (r *Replica) silences() []Silence {
	var list []Silence
	for _, id := range r.peers() {
		if age := r.now.Sub(r.lastAlive(id)); age >= r.election/reportedSilence {
			list = append(list, Silence{ID: id, Age: age})
		}
	}
	return list
}

// takeSilences takes over what the leader knows of the members. A member that the leader does not list is alive.
func (r *Replica) takeSilences(list []Silence) {
	known := make(map[string]time.Time, len(r.heard))
	for _, id := range r.members().IDs() {
		known[id] = r.now
	}
	for _, s := range list {
		if _, member := known[s.ID]; member {
			known[s.ID] = later(r.heard[s.ID], r.now.Add(-s.Age))
		}
	}
	r.heard = known
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// memberTimes returns when each other member was last known to be alive.
func (r *Replica) memberTimes() map[string]time.Time {
	times := make(map[string]time.Time, len(r.heard))
	for _, id := range r.members().IDs() {
		if id != r.id {
			times[id] = r.lastAlive(id)
		}
	}
	return times
}

// lastAliveTimes returns memberTimes and, on a leader, the times of the members that it has removed.
func (r *Replica) lastAliveTimes() map[string]time.Time {
	times := r.memberTimes()
	if r.role != Leader {
		return times
	}
	for id, t := range r.heard {
		if _, member := times[id]; !member {
			times[id] = t
		}
	}
	return times
}
