package fleet

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/retry"
)

// Hedge sends a running ticket to a second upstream too, under the ID hedgeID, if its own
// one has stalled and another one has room at once. The ticket stays where it is: an
// upstream that is silent for a moment may go on. Without another upstream, or without a
// retry in the budget, nothing changes. One of HedgeFailed, Replace and Withdraw ends the
// hedge. A hedge may have a hedge itself.
func (f *Fleet) Hedge(now clock.Instant, id, hedgeID uint64, timeout time.Duration) []Action {
	t, ok := f.tickets[id]
	if !ok || t.hedge != nil || !f.Stalled(now, id, timeout) || !retry.Allowed(retry.Silent, t.Repeatable, t.attempts) || f.suspects.Refusal(now, t.traits) != nil {
		return nil
	}
	h := &ticket{
		Ticket: t.Ticket, arrivedAt: t.arrivedAt, runs: t.runs, attempts: t.attempts, mayHaveRun: true,
		failedOn: append(slices.Clone(t.failedOn), t.upstream.ID), silentOn: slices.Clone(t.silentOn), traits: t.traits, hedgeOf: t,
	}
	h.inheritGate(t)
	h.ID = hedgeID
	s := f.service(t.Service)
	u, e := f.choose(now, s, h)
	if u == nil || u.stalled(now) || !s.retryBudget.Spend(now) {
		return nil
	}
	t.hedge = h
	f.tickets[hedgeID] = h
	f.grant(now, s, h, u, e)
	// The request may fail while its hedge still ends.
	for other := t; other != nil; other = other.hedgeOf {
		other.attempts, other.runs = h.attempts, h.runs
	}
	return f.takeActions()
}

// HedgeFailed ends a hedge whose attempt failed; the other attempts go on without it.
func (f *Fleet) HedgeFailed(now clock.Instant, hedgeID uint64, failure retry.Failure) []Action {
	h, ok := f.tickets[hedgeID]
	if !ok || h.state != running {
		return nil
	}
	u := h.upstream
	f.recordFailure(now, h, failure)
	f.removeTicket(f.service(h.Service), h)
	for t := h.hedgeOf; t != nil; t = t.hedgeOf {
		t.failedOn = append(t.failedOn, u.ID)
		t.mayHaveRun = t.mayHaveRun || failure.MayHaveRun()
	}
	if !failure.MayHaveRun() {
		h.uncount()
	}
	h.unlink()
	f.schedule(now, f.service(h.Service))
	return f.takeActions()
}

// uncount takes an attempt that can't have run out of the runs of those beside it.
func (t *ticket) uncount() {
	for other := t.hedgeOf; other != nil; other = other.hedgeOf {
		other.runs--
	}
	for other := t.hedge; other != nil; other = other.hedge {
		other.runs--
	}
}

// unlink takes a ticket out of those that run beside each other.
func (t *ticket) unlink() {
	if t.hedge != nil {
		t.hedge.hedgeOf = t.hedgeOf
	}
	if t.hedgeOf != nil {
		t.hedgeOf.hedge = t.hedge
	}
	t.hedge, t.hedgeOf = nil, nil
}

// wasSilent notes that the upstream of an attempt that has ended did nothing but fall silent
// before a hedge of the attempt answered.
func (t *ticket) wasSilent(u *upstreamView) {
	for h := t.hedge; h != nil; h = h.hedge {
		h.silentOn = append(h.silentOn, u.ID)
	}
}

// dropHedge ends a hedge that may have run, while the attempts beside it go on.
func (t *ticket) dropHedge() {
	if t.state == running {
		t.wasSilent(t.upstream)
	}
	for other := t.hedgeOf; other != nil; other = other.hedgeOf {
		other.mayHaveRun = true
	}
	t.unlink()
}

// Replace ends a ticket whose attempt failed while its hedges go on in its place.
func (f *Fleet) Replace(now clock.Instant, id uint64, failure retry.Failure) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running || t.hedge == nil {
		return nil
	}
	u := t.upstream
	f.recordFailure(now, t, failure)
	if !failure.MayHaveRun() {
		t.uncount()
	}
	if failure == retry.Silent {
		t.wasSilent(u)
	}
	t.unlink()
	f.removeTicket(f.service(t.Service), t)
	f.schedule(now, f.service(t.Service))
	return f.takeActions()
}
