package control

import (
	"maps"
	"slices"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// workPart is the number of upstreams of which one reply to an entry tells the
// work: 256 of about 25 bytes, three times a second, are 19 of the 27 KB/s that
// control may take at an instance. With more upstreams the replies take turns.
const workPart = 256

// work sums up the entries' work by upstream. It is pure, and isn't safe for
// concurrent use.
type work struct {
	parts  map[reporter]*workOf
	totals map[string]fleet.Work
	// ids are the keys of totals in order; stale says that they changed.
	ids   []string
	stale bool
}

type workOf struct {
	busy map[string]fleet.Work
	at   clock.Instant
	// next is where the next reply to the entry goes on.
	next string
}

func newWork() *work {
	return &work{parts: map[reporter]*workOf{}, totals: map[string]fleet.Work{}}
}

// report takes in an entry's work, and drops that of entries that have
// reported nothing for reportAge.
func (w *work) report(now clock.Instant, from reporter, busy map[string]fleet.Work) {
	p, ok := w.parts[from]
	if !ok {
		p = &workOf{}
		w.parts[from] = p
	}
	w.add(p.busy, -1)
	p.busy, p.at = busy, now
	w.add(busy, 1)
	for key, p := range w.parts {
		if now-p.at > reportAge {
			w.add(p.busy, -1)
			delete(w.parts, key)
		}
	}
}

func (w *work) add(busy map[string]fleet.Work, sign int) {
	for id, b := range busy {
		sum, ok := w.totals[id]
		sum.Running += sign * b.Running
		sum.BacklogTokens += sign * b.BacklogTokens
		sum.MemoryTokens += sign * b.MemoryTokens
		if sum == (fleet.Work{}) {
			delete(w.totals, id)
			w.stale = w.stale || ok
			continue
		}
		w.totals[id] = sum
		w.stale = w.stale || !ok
	}
}

// entries returns the number of entries that report.
func (w *work) entries() int { return len(w.parts) }

// others returns the work of all other entries at a part of the upstreams, the
// next one for this entry.
func (w *work) others(to reporter) fleet.OtherWork {
	if w.stale {
		w.ids, w.stale = slices.Sorted(maps.Keys(w.totals)), false
	}
	p := w.parts[to]
	first, found := slices.BinarySearch(w.ids, p.next)
	if found && p.next != "" {
		first++
	}
	last := min(first+workPart, len(w.ids))
	others := fleet.OtherWork{After: p.next, ByUpstream: make(map[string]fleet.Work, last-first)}
	if last < len(w.ids) {
		others.Until = w.ids[last-1]
	}
	p.next = others.Until
	for _, id := range w.ids[first:last] {
		sum, own := w.totals[id], p.busy[id]
		sum.Running -= own.Running
		sum.BacklogTokens -= own.BacklogTokens
		sum.MemoryTokens -= own.MemoryTokens
		if sum != (fleet.Work{}) {
			others.ByUpstream[id] = sum
		}
	}
	return others
}
