package dispatch

import (
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/upstream"
)

func (d *Dispatcher) pumpAll(now clock.Instant) {
	for _, p := range d.pools {
		d.pump(now, p)
	}
}

// pump starts what can start: first the tickets that lost their upstream,
// then the waiting ones in their order.
func (d *Dispatcher) pump(now clock.Instant, p *pool) {
	d.pumpMovers(now, p)
	for p.scheduler.Waiting() > 0 {
		r, ok := p.scheduler.Next(now, d.capacity(now, p))
		if !ok {
			return
		}
		t := d.tickets[r.ID]
		if d.suspects.suspected(now, t.Fingerprint) || !d.placeWaiting(now, p, t, r.OverShare) {
			// A suspect, or free slots that this ticket may not use: it goes
			// on as a mover.
			t.state = moving
			p.movers = append(p.movers, t.ID)
		}
	}
}

func (d *Dispatcher) pumpMovers(now clock.Instant, p *pool) {
	left := p.movers[:0]
	for _, id := range p.movers {
		if t := d.tickets[id]; t != nil && !d.placeMover(now, p, t) {
			left = append(left, id)
		}
	}
	p.movers = left
}

// overcommit is the number of requests beyond its slots that an upstream may
// get from callers within their share. With other entries about, free slots
// are known late, and the upstream's own short queue is the one that all
// share.
func (p *pool) overcommit() int {
	if p.entries > 1 {
		return 1
	}
	return 0
}

// placeWaiting grants a free upstream to a ticket whose turn it is: one with a
// slot of this entry's part before any other.
func (d *Dispatcher) placeWaiting(now clock.Instant, p *pool, t *ticket, over bool) bool {
	q := t.Query
	q.Part = p.part
	q.NeedFree, q.NeedOwn = true, p.entries > 1
	if d.place(now, p, t, q) {
		return true
	}
	q.NeedOwn = false
	if !over {
		q.Overcommit = p.overcommit()
	}
	return d.place(now, p, t, q)
}

// place grants an upstream to the ticket, if one can take it; as a last resort
// one that failed the ticket before.
func (d *Dispatcher) place(now clock.Instant, p *pool, t *ticket, q route.Query) bool {
	var u *upstream.Upstream
	if q.NeedFree {
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
	t.queued = u.Free() == 0
	d.grant(now, t, u)
	return true
}

func (d *Dispatcher) grant(now clock.Instant, t *ticket, u *upstream.Upstream) {
	u.Start()
	d.changed(now, u)
	t.state = running
	t.attempts++
	t.upstream, t.incarnation, t.started = u.ID, u.Incarnation, now
	d.hints.Add(u.ID, t.Query.Prefixes)
	d.actions = append(d.actions, Grant{Ticket: t.ID, Upstream: u.Announcement})
}
