package fleet

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/result"
)

// refuseSaturated refuses a ticket since too many wait, or since its time is over.
func (f *Fleet) refuseSaturated(now clock.Instant, s *service, t *ticket, wait time.Duration) {
	if t.heldBack(s) {
		f.refuse(t, heldBackError(t))
		return
	}
	f.refuseFor(now, s, t, RefusedQueueFull, wait,
		result.New(result.Saturated, result.RanNo, "%d requests are already waiting for %q", len(s.queue), t.Service))
}

// makeRoom refuses the last waiting ticket of a full queue if it is less urgent than the new one.
func (f *Fleet) makeRoom(now clock.Instant, s *service, t *ticket) bool {
	last := s.queue[len(s.queue)-1]
	if last.Rank <= t.Rank {
		return false
	}
	wait := s.expectedWait(now, last)
	f.dequeue(s, last)
	f.refuseSaturated(now, s, last, wait)
	return true
}

// refuseLate refuses a ticket that would miss its target.
func (f *Fleet) refuseLate(now clock.Instant, s *service, t *ticket, wait time.Duration) {
	f.refuseFor(now, s, t, RefusedLate, wait,
		result.New(result.Saturated, result.RanNo, "the expected wait of %v is too long for the target of %v", wait, t.Target))
}

// refuseFor refuses a ticket that has not run since the service is saturated.
func (f *Fleet) refuseFor(now clock.Instant, s *service, t *ticket, cause RefusalCause, wait time.Duration, err *result.Error) {
	if cause != RefusedShare {
		s.fair.refused++
	}
	t.refusedFor = cause
	f.refuse(t, err.WithRetry(f.returnAfter(now, s, t, wait)))
}

// missesTarget returns the expected wait of a ticket, and whether the ticket would
// then miss its target.
func (s *service) missesTarget(now clock.Instant, t *ticket) (time.Duration, bool) {
	wait := s.expectedWait(now, t)
	return wait, now+wait > s.latestStart(t)
}

// minServiceTime is the part of a target that is reserved for the upstream.
const minServiceTime = 50 * time.Millisecond

// latestStart is when the ticket has to start to meet its target.
func (s *service) latestStart(t *ticket) clock.Instant {
	return t.arrivedAt + max(t.Target-s.reservedTime(t), minServiceTime)
}

// reservedTime is the part of the ticket's target that its upstream needs: for a plain
// service the usual time of its answers, which the caller needs in full. For engines
// meetsTarget compares the estimate of the upstream with the target.
func (s *service) reservedTime(t *ticket) time.Duration {
	// Where the target is hardly longer than an answer, requests have to be tried.
	const maxFraction = 0.7
	if s.config.Engine != nil {
		return minServiceTime
	}
	return max(minServiceTime, min(s.fair.answerTimes.usual, time.Duration(maxFraction*float64(t.Target))))
}

// expectedWait estimates the time until the ticket starts, or until an upstream wants
// requests again.
func (s *service) expectedWait(now clock.Instant, t *ticket) time.Duration {
	if t.heldBack(s) {
		// The split may say otherwise at any moment.
		return 0
	}
	if wait := s.closedFor(now, t); wait > 0 {
		return wait
	}
	before, ahead := 0, 0
	for _, q := range s.queue {
		if q == t || q.Rank > t.Rank {
			break
		}
		if q.Rank < t.Rank {
			before++
		} else {
			ahead++
		}
	}
	return s.fair.pace.Rates(now, t.Rank, s.assumedRate(now, t)).Wait(before, ahead)
}

// assumedRate is the rate at which this entry would start requests like the ticket, or
// any if it is nil, while little is measured: the slots' rate, divided by the entries
// where their number is known, or that of the slots that its own requests occupy, which
// come free for it.
func (s *service) assumedRate(now clock.Instant, t *ticket) float64 {
	shared, own, running, slots := 0.0, 0.0, 0, 0
	for _, u := range s.upstreams {
		running += u.running
		if !u.serves() || now < u.closedUntil || t != nil && !t.allows(u) {
			continue
		}
		slots += u.Slots
		switch {
		case !u.limit.limited:
			shared += float64(u.Slots) / s.slotTime.Seconds()
		default:
			// The limiter has this entry's share of the limit.
			own += min(float64(u.Slots)/s.slotTime.Seconds(), float64(u.limit.limiter.Limit()))
		}
	}
	rate := shared/float64(s.fair.entries) + own
	rate = max(rate, min(float64(min(running, slots))/s.slotTime.Seconds(), shared+own))
	// Without any, the next request starts when a limit leaves room for it.
	return max(rate, limit.MinRate)
}

// before reports whether the ticket goes before another one: by rank, by start tag,
// then by arrival.
func (t *ticket) before(other *ticket) bool {
	return compareTurns(t, other) < 0
}

func compareTurns(a, b *ticket) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.tag, b.tag), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// enqueue inserts the ticket in its turn. One that is tried again keeps its start tag.
func (f *Fleet) enqueue(s *service, t *ticket) {
	t.state = waiting
	if !t.tagged {
		t.tag, t.tagged = s.fair.order.Enter(t.key(), t.work), true
	}
	position := sort.Search(len(s.queue), func(i int) bool { return t.before(s.queue[i]) })
	s.queue = slices.Insert(s.queue, position, t)
}

// dequeue removes a ticket that won't start.
func (f *Fleet) dequeue(s *service, t *ticket) {
	i := slices.Index(s.queue, t)
	if i < 0 {
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	if s.withdrawTurn(t) {
		slices.SortStableFunc(s.queue, compareTurns)
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
	if len(s.queue) == 0 {
		s.fair.pace.SetWaiting(now, false)
		return
	}
	remaining := s.queue[:0]
	hasRoom, mayStart := s.anyRoom(now), s.mayStart(now)
	for i, t := range s.queue {
		if !hasRoom {
			remaining = append(remaining, s.queue[i:]...)
			break
		}
		if t.attempts == 0 && (!mayStart && s.fair.gate.IsAbove(t.key()) || s.isHopeless(now, t) && len(s.queue) > 1) {
			remaining = append(remaining, t)
			continue
		}
		u, e := f.choose(now, s, t)
		if u == nil {
			u, e = f.chooseSilent(now, s, t)
		}
		if u != nil && s.meetsTarget(now, t, e) {
			f.grant(now, s, t, u, e)
			hasRoom, mayStart = s.anyRoom(now), s.mayStart(now)
			continue
		}
		remaining = append(remaining, t)
	}
	for i := len(remaining); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = remaining
	s.fair.pace.SetWaiting(now, len(s.queue) > 0)
}

// smallest is a ticket that needs no room but a slot.
var smallest ticket

// anyRoom reports whether any upstream might take some ticket now. Without it, nobody has
// to look for an upstream for each waiting ticket.
func (s *service) anyRoom(now clock.Instant) bool {
	for _, u := range s.upstreams {
		if u.present() && !u.closed(now) && u.hasLimitLeft(now) && s.hasRoom(now, u, &smallest) {
			return true
		}
	}
	return false
}

// isHopeless reports whether a waiting ticket of a plain service can't be answered in
// time any more: its slot is worth more to another one. Engines judge by meetsTarget.
func (s *service) isHopeless(now clock.Instant, t *ticket) bool {
	return s.config.Engine == nil && t.Target > 0 && now > s.latestStart(t)
}

// refuseHopeless refuses the waiting tickets that would miss their target, have passed
// their deadline, or whose last upstream is gone. It visits the queue once.
func (f *Fleet) refuseHopeless(now clock.Instant, s *service) {
	if len(s.queue) == 0 {
		return
	}
	assumed := s.assumedRate(now, nil)
	kept, refused := s.queue[:0], []*ticket(nil)
	before, ahead, rank := 0, 0, s.queue[0].Rank
	rates := s.fair.pace.Rates(now, rank, assumed)
	waits := map[*ticket]time.Duration{}
	for _, t := range s.queue {
		// No upstream was chosen for the ticket while none had room.
		f.askSplit(now, t)
		if t.Rank != rank {
			before, ahead, rank = before+ahead, 0, t.Rank
			rates = s.fair.pace.Rates(now, rank, assumed)
		}
		wait := s.closedFor(now, t)
		if wait <= 0 && !t.heldBack(s) {
			wait = rates.Wait(before, ahead)
		}
		if f.anyAccepting(s, t) && now+wait <= s.latestStart(t) && now < t.Deadline {
			kept = append(kept, t)
			ahead++
			continue
		}
		refused = append(refused, t)
		waits[t] = wait
	}
	for i := len(kept); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = kept
	moved := false
	for _, t := range refused {
		moved = s.withdrawTurn(t) || moved
		switch {
		case t.heldBack(s):
			f.refuse(t, heldBackError(t))
			continue
		case f.anyAccepting(s, t):
			f.refuseLate(now, s, t, waits[t])
			continue
		}
		f.refuse(t, t.NoUpstream(t.Service).WithRetry(noUpstreamRetryAfter))
	}
	if moved {
		slices.SortStableFunc(s.queue, compareTurns)
	}
	s.fair.pace.SetWaiting(now, len(s.queue) > 0)
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
