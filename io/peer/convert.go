package peer

import (
	"time"

	"godwitspindle/core/agreement"
	"godwitspindle/core/wire"
)

// maxSilence limits the age of a silence, in milliseconds, so that it fits a time.Duration.
const maxSilence = uint64(24 * time.Hour / time.Millisecond)

// Encode converts an agreement message to its protobuf form.
func Encode(m agreement.Message) *wire.LogMessage {
	w := &wire.LogMessage{
		Kind:    uint32(m.Kind),
		From:    m.From,
		To:      m.To,
		Term:    m.Term,
		Index:   m.Index,
		Logterm: m.LogTerm,
		Commit:  m.Commit,
		Context: m.Context,
		Reject:  m.Reject,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &wire.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	for _, s := range m.Silences {
		w.Silences = append(w.Silences, &wire.Silence{Id: s.ID, Age: uint64(s.Age.Milliseconds())})
	}
	if s := m.Snapshot; s != nil {
		w.Snapshot = &wire.LogSnapshot{
			Index:   s.Index,
			Term:    s.Term,
			Members: &wire.Members{Voters: s.Members.Voters, Learners: s.Members.Learners, Outgoing: s.Members.Outgoing},
			Data:    s.Data,
		}
	}
	return w
}

// Decode converts a protobuf message to an agreement message.
func Decode(w *wire.LogMessage) agreement.Message {
	m := agreement.Message{
		Kind:    agreement.MessageKind(w.GetKind()),
		From:    w.GetFrom(),
		To:      w.GetTo(),
		Term:    w.GetTerm(),
		Index:   w.GetIndex(),
		LogTerm: w.GetLogterm(),
		Commit:  w.GetCommit(),
		Context: w.GetContext(),
		Reject:  w.GetReject(),
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, agreement.Entry{
			Index: e.GetIndex(),
			Term:  e.GetTerm(),
			Kind:  agreement.Kind(e.GetKind()),
			Data:  e.GetData(),
		})
	}
	for _, s := range w.GetSilences() {
		age := min(s.GetAge(), maxSilence)
		m.Silences = append(m.Silences, agreement.Silence{ID: s.GetId(), Age: time.Duration(age) * time.Millisecond})
	}
	if s := w.GetSnapshot(); s != nil {
		m.Snapshot = &agreement.Snapshot{
			Index: s.GetIndex(),
			Term:  s.GetTerm(),
			Members: agreement.Members{
				Voters:   s.GetMembers().GetVoters(),
				Learners: s.GetMembers().GetLearners(),
				Outgoing: s.GetMembers().GetOutgoing(),
			},
			Data: s.GetData(),
		}
	}
	return m
}
