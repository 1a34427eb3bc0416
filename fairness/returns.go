package fairness

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// returnPart is the part of the starts that is set aside for callers who come back; the
// rest is for those who come for the first time. In the emulation of bursts over a load
// of 0.4 of the capacity, 0.5 served fewer of them than 0.3 in most cases.
const returnPart = 0.3

// placeHorizon bounds how far ahead places are taken. Callers with long deadlines would take places
// that outlive the overload, and those who come after it would be told to wait for them.
const placeHorizon = 5 * time.Second

// Returns is the virtual queue of the callers that were told to come back to a service.
// It isn't safe for concurrent use.
type Returns struct {
	// steps are the ranks that have taken places to come, the most urgent first. The ranks
	// between two of them have the places of the first.
	steps []returnStep
}

// returnStep is the first time that isn't taken by the rank or a more urgent one.
type returnStep struct {
	rank int
	free clock.Instant
}

// Place returns the time after which a refused caller should come back: its place among
// those who come back at the rate in starts per second, but not before earliest. Beyond
// longest it takes no place, since callers don't wait for that long. random, in [0, 1),
// spreads callers within their places.
func (r *Returns) Place(now clock.Instant, rank int, rate float64, earliest, longest time.Duration, random float64) time.Duration {
	r.forget(now)
	interval := maxWait
	if rate > 0 {
		interval = time.Duration(min(float64(time.Second)/(returnPart*rate), float64(maxWait)))
	}
	i, known := slices.BinarySearchFunc(r.steps, rank, func(s returnStep, rank int) int { return cmp.Compare(s.rank, rank) })
	if i == maxRanks {
		// The least urgent ranks share their places where there are too many.
		i, known = i-1, true
	}
	at := now + earliest
	switch {
	case known:
		at = max(at, r.steps[i].free)
	case i > 0:
		at = max(at, r.steps[i-1].free)
	}
	if at-now > min(longest, max(placeHorizon, earliest)) {
		return at - now
	}
	if !known {
		r.steps = slices.Insert(r.steps, i, returnStep{rank: rank})
	}
	// Less urgent callers come after this one, if their places are still to come.
	r.steps[i].free = at + interval
	for j := i + 1; j < len(r.steps); j++ {
		s := &r.steps[j]
		s.free = min(max(s.free+interval, at+interval), now+maxWait)
	}
	r.steps = r.steps[:min(len(r.steps), maxRanks)]
	spread := min(time.Duration(random*float64(interval)), max(longest-(at-now), 0))
	return at - now + spread
}

// forget removes the ranks whose places have passed: the most urgent ones, as the times
// increase with the rank.
func (r *Returns) forget(now clock.Instant) {
	i := slices.IndexFunc(r.steps, func(s returnStep) bool { return s.free > now })
	if i < 0 {
		i = len(r.steps)
	}
	r.steps = slices.Delete(r.steps, 0, i)
}
