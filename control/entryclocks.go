package control

import (
	"maps"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// clockMaxAge is how long the clock of an entry that has reported counts. Entries report to
// every keeper at least each three seconds.
const clockMaxAge = 10 * time.Second

// entryClocks estimates the time of day by the clocks of the entries and this keeper's, any of
// which may step. Time is passed in.
type entryClocks struct {
	observed map[entryKey]observedClock
}

type observedClock struct {
	// offset is the entry's time of day at instant 0 of this keeper's clock, since 1970.
	offset time.Duration
	at     clock.Instant
}

func newEntryClocks() *entryClocks { return &entryClocks{observed: map[entryKey]observedClock{}} }

// observe notes an entry's time of day.
func (c *entryClocks) observe(now clock.Instant, e entryKey, wall time.Time) {
	if wall.IsZero() {
		return
	}
	maps.DeleteFunc(c.observed, func(_ entryKey, o observedClock) bool { return now-o.at > clockMaxAge })
	c.observed[e] = observedClock{offset: time.Duration(wall.UnixNano()) - now, at: now}
}

// timeOfDay returns the median of local, this keeper's time of day, and those of the entries.
func (c *entryClocks) timeOfDay(now clock.Instant, local time.Time) time.Time {
	offsets := []time.Duration{time.Duration(local.UnixNano()) - now}
	for _, o := range c.observed {
		if now-o.at <= clockMaxAge {
			offsets = append(offsets, o.offset)
		}
	}
	return clock.Median(now, offsets)
}
