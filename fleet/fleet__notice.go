package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Bounds of the times for which upstreams want no requests.
const (
	// maxClosedTime bounds one such time; an upstream that asks for more has probably been
	// replaced by then.
	maxClosedTime = 30 * 24 * time.Hour
	// reopenSpread is the fraction of the time, and maxReopenSpread its highest value, by
	// which entries begin to use the upstream again one after the other.
	reopenSpread    = 0.25
	maxReopenSpread = 2 * time.Second
	// maxTrials is the number of requests at once up to which an upstream that is used
	// again gets twice as many after each answer.
	maxTrials = 8
)

// Notice is what an answer says of how its upstream wants to be used from now on.
type Notice struct {
	// Leaving says that the upstream leaves, whatever it announces.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this entry.
	RetryAfter time.Duration
}

// notices is what an upstream's answers to this entry have said.
type notices struct {
	// saidLeaving says that an answer at leavingSince said that the upstream leaves.
	saidLeaving  bool
	leavingSince clock.Instant
	// No request is sent before closedUntil. After that, trialLimit bounds the requests at
	// once until it is 0, and trials are those.
	closedUntil        clock.Instant
	trialLimit, trials int
}

// closed reports whether the upstream wants no further request now.
func (n *notices) closed(now clock.Instant) bool {
	return now < n.closedUntil || n.trialLimit > 0 && n.trials >= n.trialLimit
}

// Told applies a notice in the answer to a ticket.
func (f *Fleet) Told(now clock.Instant, id uint64, n Notice) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	f.apply(now, t.upstream, n)
	return f.takeActions()
}

// apply applies a notice of the upstream.
func (f *Fleet) apply(now clock.Instant, u *upstreamView, n Notice) {
	if n.Leaving && !u.saidLeaving {
		u.saidLeaving, u.leavingSince = true, now
		f.pending = append(f.pending, SaidLeaving{Upstream: u.Announcement})
	}
	if n.RetryAfter > 0 {
		closed := min(n.RetryAfter, maxClosedTime)
		// An earlier end doesn't replace a later one: both answers hold.
		until := now + closed + time.Duration(f.random()*float64(min(time.Duration(reopenSpread*float64(closed)), maxReopenSpread)))
		if until > u.closedUntil {
			u.closedUntil = until
		}
		u.trialLimit = 1
		f.pending = append(f.pending, Closed{Upstream: u.Announcement, RetryAfter: n.RetryAfter, For: u.closedUntil - now})
	}
}

// endTrial ends the trial of a ticket, if it is one. After an answer twice as many are
// sent at once.
func (f *Fleet) endTrial(u *upstreamView, t *ticket, answered bool) {
	if !t.trial {
		return
	}
	t.trial = false
	u.trials--
	if !answered || u.trialLimit == 0 {
		return
	}
	if u.trialLimit *= 2; u.trialLimit > maxTrials {
		u.trialLimit = 0
		f.pending = append(f.pending, Reopened{Upstream: u.Announcement})
	}
}

// lastResort reports whether the ticket may go to an upstream that has said that it
// leaves, as the service has no other: the ticket came within DrainWithin.
func (f *Fleet) lastResort(u *upstreamView, t *ticket) bool {
	// The margin is for the time from the caller to the entry.
	const usableFraction = 0.9
	return u.saidLeaving && u.present() && t.arrivedAt-u.leavingSince < time.Duration(usableFraction*float64(f.options.DrainWithin))
}

// anyAccepting reports whether any upstream takes the ticket, now or later.
func (f *Fleet) anyAccepting(s *service, t *ticket) bool {
	if s.anyServing(t) {
		return true
	}
	for _, u := range s.upstreams {
		if f.lastResort(u, t) && t.mayRunOn(u) && t.allows(u) {
			return true
		}
	}
	return t.heldBack(s)
}

// closedFor is the time until the first upstream wants requests that fit the binding of
// the ticket again, and whose release may get it; 0 if one does now.
func (s *service) closedFor(now clock.Instant, t *ticket) time.Duration {
	wait := time.Duration(0)
	for _, u := range s.upstreams {
		if !u.serves() || !t.Fits(&u.Announcement) || !t.allows(u) {
			continue
		}
		if now >= u.closedUntil {
			return 0
		}
		if rest := u.closedUntil - now; wait == 0 || rest < wait {
			wait = rest
		}
	}
	return wait
}

// retryAfter is when the caller of a refused ticket may come back.
func (s *service) retryAfter(now clock.Instant, t *ticket) time.Duration {
	return max(defaultRetryAfter, s.closedFor(now, t))
}

// defaultRetryAfter follows a refusal by upstreams that don't say more.
const defaultRetryAfter = 300 * time.Millisecond
