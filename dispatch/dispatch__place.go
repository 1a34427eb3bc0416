package dispatch

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/upstream"
)

func (d *Dispatcher) scheduleAll(now clock.Instant) {
	for _, p := range d.pools {
		d.schedule(now, p)
	}
}

// schedule grants upstreams to the unplaced tickets, and then to those in the
// scheduler in its order.
func (d *Dispatcher) schedule(now clock.Instant, p *pool) {
	d.scheduleUnplaced(now, p)
	for p.scheduler.Waiting() > 0 {
		r, ok := p.scheduler.Next(now, d.capacity(now, p))
		if !ok {
			return
		}
		t := d.tickets[r.ID]
		if d.refuseQuarantined(now, t) {
			continue
		}
		if d.suspects.suspected(now, t.Fingerprint) || !d.placeWaiting(now, p, t, r.OverShare) {
			// A suspect, or the free slots aren't available to this ticket.
			t.state = unplaced
			p.unplaced = append(p.unplaced, t.ID)
		}
	}
}

func (d *Dispatcher) scheduleUnplaced(now clock.Instant, p *pool) {
	remaining := p.unplaced[:0]
	for _, id := range p.unplaced {
		t := d.tickets[id]
		if t == nil || d.refuseQuarantined(now, t) || d.refuseWithoutRelease(now, p, t) {
			continue
		}
		if !d.placeUnplaced(now, p, t) {
			remaining = append(remaining, id)
		}
	}
	p.unplaced = remaining
}

// refuseWithoutRelease refuses a ticket whose release has no upstream any more, and
// reports whether it did.
func (d *Dispatcher) refuseWithoutRelease(now clock.Instant, p *pool, t *ticket) bool {
	if !d.lacksRelease(now, p, t) {
		return false
	}
	err := t.Query.NoUpstream(t.Service).WithRetry(time.Second)
	if t.mayHaveRun {
		err = t.finalError()
	}
	d.drop(now, t, err)
	return true
}

// drop refuses a ticket that waits for an upstream.
func (d *Dispatcher) drop(now clock.Instant, t *ticket, err *result.Error) {
	d.releaseHold(now, t)
	delete(d.tickets, t.ID)
	d.refuse(t.ID, err)
}

// overcommit is the number of requests beyond its slots that an upstream may
// get from callers that are not over their share. If there are other entries,
// reports of free slots are outdated on arrival. A short queue at the upstream,
// which all entries share, keeps its slots busy.
func (p *pool) overcommit() int {
	if p.entryCount > 1 {
		return 1
	}
	return 0
}

// placeWaiting grants an upstream with a free slot to the next ticket of the
// scheduler. It prefers slots that are assigned to this entry.
func (d *Dispatcher) placeWaiting(now clock.Instant, p *pool, t *ticket, overShare bool) bool {
	q := t.Query
	q.OwnSlots = p.ownSlots
	q.NeedFreeSlot, q.NeedOwnSlot = true, p.entryCount > 1
	if d.place(now, p, t, q) {
		return true
	}
	q.NeedOwnSlot = false
	if !overShare {
		q.Overcommit = p.overcommit()
	}
	return d.place(now, p, t, q)
}

// place grants an upstream to the ticket, if one can take it. Upstreams that
// failed the ticket are used only if there is no other.
func (d *Dispatcher) place(now clock.Instant, p *pool, t *ticket, q route.Query) bool {
	var u *upstream.Upstream
	if q.NeedFreeSlot {
		u = route.Choose(now, q, d.sample(now, p, t), d.hints, d.options.Costs)
	}
	if u == nil {
		u = route.Choose(now, q, d.candidates(now, p), d.hints, d.options.Costs)
	}
	if u == nil && len(q.Exclude) > 0 {
		q.Exclude = nil
		u = route.Choose(now, q, d.candidates(now, p), d.hints, d.options.Costs)
	}
	if u == nil {
		return false
	}
	t.queuedAtUpstream = u.Free() == 0
	d.grant(now, t, u)
	return true
}

func (d *Dispatcher) grant(now clock.Instant, t *ticket, u *upstream.Upstream) {
	u.Start()
	d.updateUpstream(now, u)
	t.state = running
	t.attempts++
	t.upstream, t.incarnation, t.sentAt = u.ID, u.Incarnation, now
	d.hints.Add(u.ID, t.Query.Prefixes)
	d.pending = append(d.pending, Grant{Ticket: t.ID, Upstream: u.Announcement})
}
