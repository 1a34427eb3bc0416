package fleet

import (
	"slices"
	"time"
)

// recentTimesLength is the number of answers that a recentTimes remembers.
const recentTimesLength = 31

// recentTimes knows the usual time of answers. A few long ones among many short ones don't
// change it, as they would a mean.
type recentTimes struct {
	times [recentTimesLength]time.Duration
	count int
	// median is that of the remembered times; 0 before the first.
	median time.Duration
}

// add records the time of one answer.
func (r *recentTimes) add(took time.Duration) {
	r.times[r.count%recentTimesLength] = took
	r.count++
	sorted := r.times
	known := sorted[:min(r.count, recentTimesLength)]
	slices.Sort(known)
	r.median = known[len(known)/2]
}
