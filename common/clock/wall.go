package clock

import (
	"sort"
	"time"
)

// maxSlew bounds how fast an estimate of the time of day follows its samples, as
// a fraction of the elapsed time. Clocks drift less than this; and a step that
// is soon undone hardly changes the estimate.
const maxSlew = 0.005

// Wall estimates the time of day that one wall clock shows, without following
// the clock's steps. It isn't safe for concurrent use.
type Wall struct {
	// offset is the estimated time of day at instant 0, since 1970.
	offset       time.Duration
	lastObserved Instant
	known        bool
}

// Observe takes in what the clock showed at the instant.
func (w *Wall) Observe(now Instant, timeOfDay time.Time) {
	offset := time.Duration(timeOfDay.UnixNano()) - now
	if !w.known {
		w.offset, w.lastObserved, w.known = offset, now, true
		return
	}
	maxChange := time.Duration(maxSlew * float64(max(now-w.lastObserved, 0)))
	w.offset += min(max(offset-w.offset, -maxChange), maxChange)
	w.lastObserved = now
}

// Offset returns the estimated time of day at instant 0, since 1970; it returns
// false before the first sample.
func (w *Wall) Offset() (time.Duration, bool) { return w.offset, w.known }

// Median returns the time of day at the instant, by the median of the offsets of
// one or more clocks. It sorts offsets.
func Median(now Instant, offsets []time.Duration) time.Time {
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return time.Unix(0, int64(now+offsets[len(offsets)/2]))
}
