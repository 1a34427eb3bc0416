package fleet

import (
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
)

// saturated refuses a ticket that would wait for too long.
func (f *Fleet) saturated(s *service, t *ticket) *result.Error {
	return result.New(result.Saturated, result.RanNo, "%d requests wait for %q", len(s.queue), t.Service).WithRetry(s.expectedWait(t))
}

// tooLate tells how long a waiting ticket is expected to wait, and whether its
// target is missed then.
func (s *service) tooLate(now clock.Instant, t *ticket) (time.Duration, bool) {
	wait := s.expectedWait(t)
	return wait, now+wait > t.arrived+max(t.Target-minServe, minServe)
}

// minServe is the least part of a target that the upstream needs itself.
const minServe = 50 * time.Millisecond

// expectedWait is the time until the tickets ahead have started, from the
// measured time that a request holds its slot.
func (s *service) expectedWait(t *ticket) time.Duration {
	ahead, slots := 1, 0
	for _, q := range s.queue {
		if q.Rank <= t.Rank && q != t {
			ahead++
		}
	}
	for _, n := range s.nodes {
		if n.serves() {
			slots += n.Slots
		}
	}
	return s.hold * time.Duration(ahead) / time.Duration(max(slots, 1))
}

// enqueue keeps the queue in order of rank, then of arrival.
func (f *Fleet) enqueue(s *service, t *ticket) {
	t.state = waiting
	at := sort.Search(len(s.queue), func(i int) bool {
		q := s.queue[i]
		return q.Rank > t.Rank || q.Rank == t.Rank && q.arrived > t.arrived
	})
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = t
}

func (f *Fleet) dequeue(s *service, t *ticket) {
	for i, q := range s.queue {
		if q == t {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (f *Fleet) pumpAll(now clock.Instant) {
	for _, s := range f.services {
		f.pump(now, s)
	}
}

// pump grants upstreams to waiting tickets in their order. A ticket that finds
// no room doesn't hold up smaller ones.
func (f *Fleet) pump(now clock.Instant, s *service) {
	left := s.queue[:0]
	for _, t := range s.queue {
		if n, c := s.choose(now, f.options.Zone, t); n != nil && s.inTime(now, t, c) {
			f.grant(now, s, t, n, c)
			continue
		}
		left = append(left, t)
	}
	for i := len(left); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = left
}

// inTime reports whether the ticket would still be served in time; one that
// moves goes anyway.
func (s *service) inTime(now clock.Instant, t *ticket, c cost) bool {
	if s.shape.Engine == nil || t.sends > 0 || t.Target <= 0 {
		return true
	}
	return now-t.arrived+c.ready <= time.Duration(lateFactor*float64(t.Target))
}

// lateFactor is how far above its target the expected time to the first token
// may lie: the expectation is rough.
const lateFactor = 1.3
