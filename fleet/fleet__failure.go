package fleet

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// Failed retries the ticket on another upstream after a failed attempt, or
// refuses it.
func (f *Fleet) Failed(now clock.Instant, id uint64, failure retry.Failure) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	s := f.service(t.Service)
	f.recordFailure(now, t, failure)
	if !f.mayRetry(now, s, t, failure) {
		f.refuse(t, t.finalError(failure, s.retryAfter(now, t)))
		f.schedule(now, s)
		return f.takeActions()
	}
	f.enqueue(s, t)
	f.schedule(now, s)
	if t.state == waiting && t.mayHaveRun {
		f.dequeue(s, t)
		f.refuse(t, t.finalError(failure, s.retryAfter(now, t)))
	}
	return f.takeActions()
}

// recordFailure ends the attempt of a running ticket and holds its failure against the
// upstream.
func (f *Fleet) recordFailure(now clock.Instant, t *ticket, failure retry.Failure) {
	u := t.upstream
	u.end(now, t)
	f.observeFailure(now, t, failure)
	f.endTrial(u, t, failure == retry.Errored)
	u.failed(now, failure, t.attempts)
	if failure == retry.Errored {
		f.service(t.Service).recordOutcome(u, false)
	}
	t.failedOn = append(t.failedOn, u.ID)
	t.mayHaveRun = t.mayHaveRun || failure.MayHaveRun() || t.hedge != nil
	if !failure.MayHaveRun() {
		t.runs--
	}
	switch {
	case failure == retry.Broken && !t.sound:
		f.brokeOff(now, u, t)
	case failure == retry.NotSent:
		f.upstreamDown(now, u)
	}
	t.state, t.upstream = waiting, nil
}

// mayRetry reports whether the ticket may go to another upstream, and spends
// the retry budget unless nothing was sent.
func (f *Fleet) mayRetry(now clock.Instant, s *service, t *ticket, failure retry.Failure) bool {
	f.askSplit(now, t)
	if f.suspects.Refusal(now, t.traits) != nil || !retry.Allowed(failure, t.Repeatable, t.attempts) || (t.mayHaveRun && !t.Repeatable) {
		return false
	}
	if t.runs >= t.MaxRuns || !s.hasUntried(now, t) && !s.hasSilent(now, t) {
		return false
	}
	return failure == retry.NotSent || s.retryBudget.Spend(now)
}

// hasUntried reports whether there is a usable upstream, other than the ticket's present
// one, that may run the ticket.
func (s *service) hasUntried(now clock.Instant, t *ticket) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstreamView) bool {
		return u != t.upstream && u.usable(now) && t.mayRunOn(u) && t.allows(u)
	})
}

// hasSilent reports whether there is an upstream that the ticket may be sent to again.
func (s *service) hasSilent(now clock.Instant, t *ticket) bool {
	return slices.ContainsFunc(s.upstreams, func(u *upstreamView) bool { return t.mayReturnTo(now, u) })
}

// mayReturnTo reports whether the upstream only fell silent during the ticket, and would get
// it again. It isn't in backoff for the ticket: nothing else may be left of the request.
func (t *ticket) mayReturnTo(now clock.Instant, u *upstreamView) bool {
	return slices.Contains(t.silentOn, u.ID) && u.serves() && !u.closed(now) && t.Fits(&u.Announcement) && t.allows(u)
}

// mayRunOn reports whether the upstream hasn't failed the ticket, doesn't run a hedge of it, and
// is of the release that the ticket is bound to.
func (t *ticket) mayRunOn(u *upstreamView) bool {
	for h := t.hedge; h != nil; h = h.hedge {
		if h.upstream == u {
			return false
		}
	}
	return !slices.Contains(t.failedOn, u.ID) && t.Fits(&u.Announcement)
}

// finalError is the answer to a ticket that isn't retried.
func (t *ticket) finalError(failure retry.Failure, retryAfter time.Duration) *result.Error {
	switch {
	case t.mayHaveRun && failure == retry.Errored:
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream's answer can't be passed on")
	case t.mayHaveRun:
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost after the request was sent")
	case failure == retry.Refused:
		return result.New(result.UpstreamRefused, result.RanNo, "%d upstreams refused the request", t.attempts).WithRetry(retryAfter)
	}
	return result.New(result.Saturated, result.RanNo, "no upstream accepted the request").WithRetry(retryAfter)
}

// Tick grants upstreams to waiting tickets and refuses those that would miss
// their target, have passed their deadline, or whose last upstream is gone.
func (f *Fleet) Tick(now clock.Instant) []Action {
	f.tickPaces(now)
	for _, s := range f.services {
		s.expireShares(now)
		f.schedule(now, s)
		f.refuseHopeless(now, s)
	}
	return f.takeActions()
}
