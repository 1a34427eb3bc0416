package fleet

import (
	"slices"
	"time"
)

const (
	// recentTimesLength is the number of answers that a recentTimes remembers.
	recentTimesLength = 31
	// longestPart of them, one in so many, don't count.
	longestPart = 10
)

// recentTimes knows the usual time of answers: the mean without the longest tenth. So a few long
// answers among many short ones don't change it, and slow upstreams among fast ones do.
type recentTimes struct {
	times [recentTimesLength]time.Duration
	count int
	// usual is that of the remembered times; 0 before the first.
	usual time.Duration
}

// add records the time of one answer.
func (r *recentTimes) add(took time.Duration) {
	r.times[r.count%recentTimesLength] = took
	r.count++
	sorted := r.times
	known := sorted[:min(r.count, recentTimesLength)]
	slices.Sort(known)
	known = known[:len(known)-len(known)/longestPart]
	sum := time.Duration(0)
	for _, t := range known {
		sum += t
	}
	r.usual = sum / time.Duration(len(known))
}
