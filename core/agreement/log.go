package agreement

// log is the log in memory. It holds the entries after index base; the dropped entry at base had the term baseTerm.
type log struct {
	base, baseTerm uint64
	entries        []Entry
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term at an index, or false if the index is before base or after the last entry.
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

// slice returns the entries from index from to index to, as many as fit into limit bytes but at least one. It returns nil if the
// range is empty or begins at or before base.
func (l *log) slice(from, to uint64, limit int) []Entry {
	if from > to || from <= l.base {
		return nil
	}
	s := l.entries[from-l.base-1 : to-l.base]
	size := 0
	for i := range s {
		size += len(s[i].Data) + entryOverhead
		if i > 0 && size > limit {
			return s[:i:i]
		}
	}
	return s[:len(s):len(s)]
}

// truncate drops the entries at and after an index. It also cuts the capacity, so that a later append reallocates and does not
// change slices returned before.
func (l *log) truncate(from uint64) {
	n := from - l.base - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to and including an index, which must not be above the last one.
func (l *log) compact(to uint64) {
	if to <= l.base {
		return
	}
	t, _ := l.term(to)
	l.entries = append([]Entry(nil), l.entries[to-l.base:]...)
	l.base, l.baseTerm = to, t
}
