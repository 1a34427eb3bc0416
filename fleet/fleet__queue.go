package fleet

import (
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/result"
)

// saturatedError is the answer to a ticket that would wait for too long.
func (f *Fleet) saturatedError(s *service, t *ticket, wait time.Duration) *result.Error {
	if t.heldBack(s) {
		return heldBackError(t)
	}
	return result.New(result.Saturated, result.RanNo, "%d requests are already waiting for %q", len(s.queue), t.Service).WithRetry(wait)
}

// missesTarget returns the expected wait of a queued ticket, and whether the
// ticket would then miss its target.
func (s *service) missesTarget(now clock.Instant, t *ticket) (time.Duration, bool) {
	wait := s.expectedWait(now, t)
	return wait, now+wait > t.arrivedAt+max(t.Target-minServiceTime, minServiceTime)
}

// minServiceTime is the part of a target that is reserved for the upstream.
const minServiceTime = 50 * time.Millisecond

// expectedWait estimates the time until the ticket starts, from the number of
// tickets ahead and the measured slot time, or until an upstream wants requests again.
func (s *service) expectedWait(now clock.Instant, t *ticket) time.Duration {
	if t.heldBack(s) {
		// The split may say otherwise at any moment.
		return 0
	}
	if wait := s.closedFor(now, t); wait > 0 {
		return wait
	}
	ahead, slots := 1, 0.0
	for _, q := range s.queue {
		if q.Rank <= t.Rank && q != t {
			ahead++
		}
	}
	for _, u := range s.upstreams {
		if u.serves() && now >= u.closedUntil && t.allows(u) {
			slots += s.usableSlots(u)
		}
	}
	// Without any, the next request starts when a limit leaves room for it.
	slots = max(slots, limit.MinRate*s.slotTime.Seconds())
	return time.Duration(float64(s.slotTime) * float64(ahead) / slots)
}

// usableSlots is the number of the upstream's slots that requests can occupy: a
// limit leaves as many as its requests need at once.
func (s *service) usableSlots(u *upstreamView) float64 {
	slots := float64(u.Slots)
	if u.limit.limited {
		slots = min(slots, float64(u.limit.limiter.Limit())*s.slotTime.Seconds())
	}
	return slots
}

// enqueue inserts the ticket in order of rank, then of arrival.
func (f *Fleet) enqueue(s *service, t *ticket) {
	t.state = waiting
	position := sort.Search(len(s.queue), func(i int) bool {
		q := s.queue[i]
		return q.Rank > t.Rank || q.Rank == t.Rank && q.arrivedAt > t.arrivedAt
	})
	s.queue = append(s.queue, nil)
	copy(s.queue[position+1:], s.queue[position:])
	s.queue[position] = t
}

func (f *Fleet) dequeue(s *service, t *ticket) {
	for i, q := range s.queue {
		if q == t {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (f *Fleet) scheduleAll(now clock.Instant) {
	for _, s := range f.services {
		f.schedule(now, s)
	}
}

// schedule grants upstreams to the queued tickets in order. A ticket for which
// no upstream has room doesn't block the ones behind it.
func (f *Fleet) schedule(now clock.Instant, s *service) {
	f.refuseQuarantined(now, s)
	remaining := s.queue[:0]
	for _, t := range s.queue {
		u, e := f.choose(now, s, t)
		if u == nil {
			u, e = f.chooseSilent(now, s, t)
		}
		if u != nil && s.meetsTarget(now, t, e) {
			f.grant(now, s, t, u, e)
			continue
		}
		remaining = append(remaining, t)
	}
	for i := len(remaining); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = remaining
}

// meetsTarget reports whether the ticket would still be served in time. Retries
// are always sent.
func (s *service) meetsTarget(now clock.Instant, t *ticket, e estimate) bool {
	if s.config.Engine == nil || t.attempts > 0 || t.Target <= 0 {
		return true
	}
	return now-t.arrivedAt+e.firstToken <= time.Duration(targetTolerance*float64(t.Target))
}

// targetTolerance is the highest ratio of the expected time to the first token
// to the target at which a ticket is sent; the estimate is rough.
const targetTolerance = 1.3
