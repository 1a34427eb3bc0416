package clock

import (
	"sort"
	"time"
)

// slew is how far an estimate of the time of day follows its samples, as a part
// of the time that passes: more than clocks drift, and so little that a step
// which is taken back leaves no trace.
const slew = 0.005

// Wall follows one clock's time of day without its steps. It isn't safe for
// concurrent use.
type Wall struct {
	offset time.Duration
	last   Instant
	known  bool
}

// Observe takes in what the clock showed at the instant.
func (w *Wall) Observe(now Instant, shown time.Time) {
	offset := time.Duration(shown.UnixNano()) - now
	if !w.known {
		w.offset, w.last, w.known = offset, now, true
		return
	}
	most := time.Duration(slew * float64(max(now-w.last, 0)))
	w.offset += min(max(offset-w.offset, -most), most)
	w.last = now
}

// Offset is the estimated time of day at instant 0, since 1970; it reports
// false before the first sample.
func (w *Wall) Offset() (time.Duration, bool) { return w.offset, w.known }

// Median returns the time of day at the instant by the middle one of several
// offsets, of which there must be one.
func Median(now Instant, offsets []time.Duration) time.Time {
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	return time.Unix(0, int64(now+offsets[len(offsets)/2]))
}
