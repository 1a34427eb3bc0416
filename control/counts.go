package control

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/usage"
)

// usageMemory is how long the counts of an entry that is gone are kept: until
// its last windows are on record.
const usageMemory = 30 * time.Second

// counts are what entries have told a keeper of their usage. Every keeper has
// them, so that one that comes to lead knows the counts of entries that have
// stopped, or that the leader before it heard alone. It is pure, and isn't safe
// for concurrent use.
type counts struct {
	entries map[reporter]*countsOf
}

type countsOf struct {
	at      clock.Instant
	windows map[uint64]map[string]uint64
}

func newCounts() *counts { return &counts{entries: map[reporter]*countsOf{}} }

// report takes in an entry's counts of its newest windows, each from the
// window's start. Reports may overtake each other.
func (c *counts) report(now clock.Instant, from reporter, windows []usage.Window) {
	held, ok := c.entries[from]
	if !ok {
		held = &countsOf{windows: map[uint64]map[string]uint64{}}
		c.entries[from] = held
	}
	held.at = now
	for _, w := range windows {
		of, ok := held.windows[w.Number]
		if !ok {
			of = make(map[string]uint64, len(w.Counts))
			held.windows[w.Number] = of
		}
		for name, n := range w.Counts {
			of[name] = max(of[name], n)
		}
	}
	for other, held := range c.entries {
		if now-held.at > usageMemory {
			delete(c.entries, other)
		}
	}
}

// window sums up the entries' counts of one window.
func (c *counts) window(number uint64) usage.Window {
	w := usage.Window{Number: number, Counts: map[string]uint64{}}
	for _, held := range c.entries {
		for name, n := range held.windows[number] {
			w.Counts[name] += n
		}
	}
	return w
}
