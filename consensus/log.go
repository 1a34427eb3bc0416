package consensus

// log is the part of the replicated log in memory: the latest snapshot, and
// the entries after baseIndex, which is at or before the snapshot.
type log struct {
	baseIndex uint64
	baseTerm  uint64
	snapshot  Snapshot
	entries   []Entry
	// stable is the index of the last entry that is stored on disk.
	stable uint64
}

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not
// hold it.
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

// slice returns the entries from lo to hi, both included, up to about maxBytes
// but at least one entry.
func (l *log) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi || lo <= l.baseIndex {
		return nil
	}
	all := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverhead
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// trailing returns how many of the entries up to index have at most maxBytes, and are at
// most maxEntries.
func (l *log) trailing(index, maxEntries uint64, maxBytes int) uint64 {
	count, size := uint64(0), 0
	for ; count < maxEntries && index > l.baseIndex; index-- {
		if size += len(l.entries[index-l.baseIndex-1].Data) + entryOverhead; size > maxBytes {
			break
		}
		count++
	}
	return count
}

// entryOverhead is the approximate size of an entry without its data, in
// bytes.
const entryOverhead = 16

// append adds entries and drops existing ones that conflict with them. It
// returns the index of the first dropped entry, or 0.
func (l *log) append(entries []Entry) (droppedFrom uint64) {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			droppedFrom = e.Index
			l.entries = l.entries[: e.Index-l.baseIndex-1 : e.Index-l.baseIndex-1]
			l.stable = min(l.stable, e.Index-1)
		}
		l.entries = append(l.entries, entries[i:]...)
		break
	}
	return droppedFrom
}

// compact sets the snapshot and drops the entries up to dropUpTo.
func (l *log) compact(s Snapshot, dropUpTo uint64) {
	l.snapshot = s
	dropUpTo = min(dropUpTo, s.Index)
	if dropUpTo <= l.baseIndex {
		return
	}
	term, _ := l.term(dropUpTo)
	l.entries = append([]Entry(nil), l.entries[dropUpTo-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = dropUpTo, term
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(s Snapshot) {
	*l = log{baseIndex: s.Index, baseTerm: s.Term, snapshot: s, stable: s.Index}
}

// config returns the latest configuration at or before the index upTo, with
// its index.
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
