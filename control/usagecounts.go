package control

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/usage"
)

// usageRetention is how long the counts of an entry that is gone are kept, so
// that its last windows can still be recorded.
const usageRetention = 30 * time.Second

// keptWindows bounds the windows of an entry that are kept while none can be recorded: 20
// minutes of windows of 5 s. The oldest are lost beyond that.
const keptWindows = 240

// usageCounts holds the usage that entries have reported to a keeper. Every
// keeper keeps it, so that a new leader also knows the counts of entries that
// have stopped, and those that it would otherwise have missed because only the
// leader before it received them. It isn't safe for concurrent use.
type usageCounts struct {
	entries   map[entryKey]*entryUsage
	lastSweep clock.Instant
}

// entryUsage holds one entry's counts by window number and organisation.
type entryUsage struct {
	reportedAt clock.Instant
	windows    map[uint64]map[string]uint64
}

func newUsageCounts() *usageCounts { return &usageCounts{entries: map[entryKey]*entryUsage{}} }

// applyReport merges an entry's counts of its newest windows, each counted from
// the window's start. Reports may arrive out of order, so the higher count of
// a window is kept. recorded is the newest window of the keepers' replicated state, which has the
// final counts of the windows before it.
func (c *usageCounts) applyReport(now clock.Instant, from entryKey, windows []usage.Window, recorded uint64) {
	entry, ok := c.entries[from]
	if !ok {
		entry = &entryUsage{windows: map[uint64]map[string]uint64{}}
		c.entries[from] = entry
	}
	entry.reportedAt = now
	for _, w := range windows {
		if isFinal(w.Number, recorded) {
			continue
		}
		counts, ok := entry.windows[w.Number]
		if !ok {
			counts = make(map[string]uint64, len(w.Counts))
			entry.windows[w.Number] = counts
			if len(entry.windows) > keptWindows {
				delete(entry.windows, slices.Min(slices.Collect(maps.Keys(entry.windows))))
			}
		}
		for name, n := range w.Counts {
			counts[name] = max(counts[name], n)
		}
	}
	if now-c.lastSweep < reportSweepInterval {
		return
	}
	c.lastSweep = now
	for otherKey, entry := range c.entries {
		if now-entry.reportedAt > usageRetention {
			delete(c.entries, otherKey)
		}
		maps.DeleteFunc(entry.windows, func(number uint64, _ map[string]uint64) bool { return isFinal(number, recorded) })
	}
}

// isFinal reports whether no leader asks for the counts of the window any more, as newer ones are
// recorded.
func isFinal(number, recorded uint64) bool {
	return recorded > resendWindows && number < recorded-resendWindows
}

// sumWindow sums up all entries' counts of one window.
func (c *usageCounts) sumWindow(number uint64) usage.Window {
	w := usage.Window{Number: number, Counts: map[string]uint64{}}
	for _, entry := range c.entries {
		for name, n := range entry.windows[number] {
			w.Counts[name] += n
		}
	}
	return w
}
