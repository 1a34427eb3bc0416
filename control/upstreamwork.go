package control

import (
	"container/list"
	"maps"
	"slices"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// maxUpstreamsPerReply bounds the upstreams whose work one reply to an entry
// contains: 256 of about 25 bytes, three times a second, are 19 of the 27 KB/s
// that control traffic may use at an instance. With more upstreams, successive
// replies cover successive ranges.
const maxUpstreamsPerReply = 256

// upstreamWork sums up the entries' work by upstream. Time is passed in. It isn't
// safe for concurrent use.
type upstreamWork struct {
	byEntry map[entryKey]*entryWork
	totals  map[string]fleet.Work
	// ids are the keys of totals in order; idsStale says that they must be
	// sorted again.
	ids      []string
	idsStale bool
	// byAge lists the entries in the order of their last reports.
	byAge *list.List
}

// entryWork is the work that one entry last reported.
type entryWork struct {
	key        entryKey
	element    *list.Element
	busy       map[string]fleet.Work
	reportedAt clock.Instant
	// sentUntil is the last upstream of the entry's last reply; the next reply
	// begins after it, or with the first upstream if it is empty.
	sentUntil string
}

func newUpstreamWork() *upstreamWork {
	return &upstreamWork{byEntry: map[entryKey]*entryWork{}, totals: map[string]fleet.Work{}, byAge: list.New()}
}

// applyReport replaces an entry's work, and drops that of entries that have
// reported nothing for reportMaxAge.
func (w *upstreamWork) applyReport(now clock.Instant, from entryKey, busy map[string]fleet.Work) {
	entry, ok := w.byEntry[from]
	if !ok {
		entry = &entryWork{key: from}
		entry.element = w.byAge.PushBack(entry)
		w.byEntry[from] = entry
	}
	w.add(entry.busy, -1)
	entry.busy, entry.reportedAt = busy, now
	w.add(busy, 1)
	w.byAge.MoveToBack(entry.element)
	for oldest := w.byAge.Front(); oldest != nil; oldest = w.byAge.Front() {
		entry := oldest.Value.(*entryWork)
		if now-entry.reportedAt <= reportMaxAge {
			return
		}
		w.add(entry.busy, -1)
		w.byAge.Remove(oldest)
		delete(w.byEntry, entry.key)
	}
}

// add adds an entry's work to the totals, or subtracts it if sign is -1.
func (w *upstreamWork) add(busy map[string]fleet.Work, sign int) {
	for id, b := range busy {
		sum, ok := w.totals[id]
		sum.Running += sign * b.Running
		sum.BacklogTokens += sign * b.BacklogTokens
		sum.MemoryTokens += sign * b.MemoryTokens
		if sum == (fleet.Work{}) {
			delete(w.totals, id)
			w.idsStale = w.idsStale || ok
			continue
		}
		w.totals[id] = sum
		w.idsStale = w.idsStale || !ok
	}
}

// entryCount returns the number of entries that report.
func (w *upstreamWork) entryCount() int { return len(w.byEntry) }

// others returns the work of all other entries at the next range of upstreams
// for this entry.
func (w *upstreamWork) others(to entryKey) fleet.OtherWork {
	if w.idsStale {
		w.ids, w.idsStale = slices.Sorted(maps.Keys(w.totals)), false
	}
	entry := w.byEntry[to]
	first, found := slices.BinarySearch(w.ids, entry.sentUntil)
	if found && entry.sentUntil != "" {
		first++
	}
	last := min(first+maxUpstreamsPerReply, len(w.ids))
	others := fleet.OtherWork{After: entry.sentUntil, ByUpstream: make(map[string]fleet.Work, last-first)}
	if last < len(w.ids) {
		others.Until = w.ids[last-1]
	}
	entry.sentUntil = others.Until
	for _, id := range w.ids[first:last] {
		sum, own := w.totals[id], entry.busy[id]
		sum.Running -= own.Running
		sum.BacklogTokens -= own.BacklogTokens
		sum.MemoryTokens -= own.MemoryTokens
		if sum != (fleet.Work{}) {
			others.ByUpstream[id] = sum
		}
	}
	return others
}
