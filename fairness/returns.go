package fairness

import (
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
	// free is by rank the first time that isn't taken by this or a more urgent rank.
	free []clock.Instant
}

// Place returns the time after which a refused caller should come back: its place among
// those who come back at the rate in starts per second, but not before earliest. Beyond
// longest it takes no place, since callers don't wait for that long. random, in [0, 1),
// spreads callers within their places.
func (r *Returns) Place(now clock.Instant, rank int, rate float64, earliest, longest time.Duration, random float64) time.Duration {
	rank = max(rank, 0)
	for len(r.free) <= rank {
		last := clock.Instant(0)
		if len(r.free) > 0 {
			last = r.free[len(r.free)-1]
		}
		r.free = append(r.free, last)
	}
	interval := maxWait
	if rate > 0 {
		interval = min(time.Duration(float64(time.Second)/(returnPart*rate)), maxWait)
	}
	at := max(now+earliest, r.free[rank])
	if at-now > min(longest, max(placeHorizon, earliest)) {
		return at - now
	}
	// Less urgent callers come after this one, if their places are still to come.
	r.free[rank] = at + interval
	for i := rank + 1; i < len(r.free); i++ {
		if r.free[i] > now {
			r.free[i] += interval
		}
		r.free[i] = max(r.free[i], at+interval)
	}
	spread := min(time.Duration(random*float64(interval)), max(longest-(at-now), 0))
	return at - now + spread
}
