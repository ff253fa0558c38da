package agreement

// The log in memory: entries after base, with the snapshot point that a lagging follower is sent.
type log struct {
	base, baseTerm uint64
	entries        []Entry
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

// Returns the term at an index, or false when the index is outside the log.
func (l *log) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// Returns the entries of [from, to], at most limit bytes but at least one entry.
func (l *log) slice(from, to uint64, limit int) []Entry {
	if from > to || from <= l.base {
		return nil
	}
	s := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i := range s {
		size += len(s[i].Data) + entryCost
		if i > 0 && size > limit {
			return s[:i:i]
		}
	}
	return s[:len(s):len(s)]
}

// Drops the entries from an index on. The copy keeps slices that were handed out unchanged.
func (l *log) truncate(from uint64) {
	n := from - l.base - 1
	l.entries = l.entries[:n:n]
}

// Drops the entries up to an index inside the log.
func (l *log) compact(to uint64) {
	if to <= l.base {
		return
	}
	t, _ := l.term(to)
	l.entries = append([]Entry(nil), l.entries[to-l.base:]...)
	l.base, l.baseTerm = to, t
}
