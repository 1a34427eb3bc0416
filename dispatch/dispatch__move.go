package dispatch

import (
	"slices"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Move grants another upstream to a running ticket whose own one is silent, if one has a
// free slot for it now and the budget a retry. Without them nothing changes: an upstream
// that is silent for a moment may go on.
func (d *Dispatcher) Move(now clock.Instant, id uint64) []Action {
	t, ok := d.tickets[id]
	if !ok || t.state != running || !retry.Allowed(retry.Silent, t.Repeatable, t.attempts) ||
		d.suspects.suspected(now, t.Fingerprint) || d.partQuarantined(now, t) != nil {
		return d.takeActions()
	}
	p := d.pools[t.Service]
	q := t.Query
	q.NeedFreeSlot = true
	q.Exclude = append(slices.Clone(q.Exclude), t.upstream)
	u := route.Choose(now, q, d.candidates(now, p), d.hints, d.options.Costs)
	if u == nil || !p.retryBudget.Spend(now) {
		return d.takeActions()
	}
	t.mayHaveRun = true
	d.releaseUpstream(now, t, true)
	t.queuedAtUpstream = false
	d.grant(now, t, u)
	d.schedule(now, p)
	return d.takeActions()
}

// Leave takes a running ticket from its upstream, which is leaving, if another one may run it.
// It reports whether it did; the ticket waits there with precedence. Without another one
// the rest of the answer may still fit.
func (d *Dispatcher) Leave(now clock.Instant, id uint64) (left bool, actions []Action) {
	t, ok := d.tickets[id]
	if !ok || t.state != running || !retry.Allowed(retry.Reclaimed, t.Repeatable, t.attempts) {
		return false, d.takeActions()
	}
	mayRunIt := func(u *upstream.Upstream) bool {
		return u.ID != t.upstream && u.Usable(now) && t.Query.Fits(&u.Announcement)
	}
	if !slices.ContainsFunc(d.candidates(now, d.pools[t.Service]), mayRunIt) {
		return false, d.takeActions()
	}
	return true, d.Failed(now, id, retry.Reclaimed)
}
