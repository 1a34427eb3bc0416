package consensus

// log is the part of the log in memory: entries after base, and a snapshot at
// or after base.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	snapshot  Snapshot
	entries   []Entry
	// stable is the last index that is stored.
	stable uint64
}

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry; it reports false outside the log.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index == l.snapshot.Index && index > 0:
		return l.snapshot.Term, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *log) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from lo to hi, both included, within about limit
// bytes but at least one.
func (l *log) slice(lo, hi uint64, limit int) []Entry {
	if lo > hi || lo <= l.baseIndex {
		return nil
	}
	all := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverhead
		if i > 0 && size > limit {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// entryOverhead is about the size of an entry without its data, in bytes.
const entryOverhead = 16

// append adds entries, dropping whatever conflicts with them. It returns the
// index from which entries were dropped, or 0.
func (l *log) append(entries []Entry) (dropped uint64) {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			dropped = e.Index
			l.entries = l.entries[: e.Index-l.baseIndex-1 : e.Index-l.baseIndex-1]
			l.stable = min(l.stable, e.Index-1)
		}
		l.entries = append(l.entries, entries[i:]...)
		break
	}
	return dropped
}

// compact makes the snapshot the new one and drops entries up to keepAfter.
func (l *log) compact(s Snapshot, keepAfter uint64) {
	l.snapshot = s
	keepAfter = min(keepAfter, s.Index)
	if keepAfter <= l.baseIndex {
		return
	}
	term, _ := l.term(keepAfter)
	l.entries = append([]Entry(nil), l.entries[keepAfter-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = keepAfter, term
}

// reset replaces everything by a snapshot.
func (l *log) reset(s Snapshot) {
	*l = log{baseIndex: s.Index, baseTerm: s.Term, snapshot: s, stable: s.Index}
}

// config returns the newest configuration up to the index, with its index.
func (l *log) config(upTo uint64) (Config, uint64, error) {
	for i := upTo; i > max(l.snapshot.Index, l.baseIndex); i-- {
		e := l.entries[i-l.baseIndex-1]
		if e.Kind == ConfigChange {
			c, err := decodeConfig(e.Data)
			return c, i, err
		}
	}
	return l.snapshot.Config, l.snapshot.Index, nil
}
