// Package dispatch joins the directory of upstreams, admission and routing
// into the decisions of one entry: which request is accepted, when it starts
// and where. It is pure: time is passed in, and what has to happen comes back
// as actions.
package dispatch

import (
	"time"

	"github.com/hyssopladder/hyssopladder/admission"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// avoidTime is how long an upstream gets no new work after a failure.
const avoidTime = time.Second

// retryRatio is the number of retries that each request adds to the budget.
const retryRatio = 0.2

// Options shape a dispatcher.
type Options struct {
	// Zone is the entry's availability zone.
	Zone  string
	Costs route.Costs
}

// DefaultCosts are the prices that routing starts from.
func DefaultCosts() route.Costs {
	return route.Costs{
		Hop:     500 * time.Microsecond,
		Prefill: 50 * time.Microsecond,
		Slot:    500 * time.Millisecond,
	}
}

// Ticket is a request on its way.
type Ticket struct {
	ID      uint64
	Service string
	Rank    int
	Caller  string
	// Cost is the expected work in tokens.
	Cost       float64
	Repeatable bool
	// Fingerprint identifies the caller, the service and the body.
	Fingerprint uint64
	Query       route.Query
}

// Action is what the host has to do.
type Action interface{ action() }

// Grant sends the ticket to an upstream.
type Grant struct {
	Ticket   uint64
	Upstream upstream.Announcement
}

// Refuse answers the ticket with an error.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
}

// Evacuate tells a ticket that its upstream is leaving.
type Evacuate struct {
	Ticket uint64
	Notice time.Duration
}

// Suspect tells the other entries of a request that upstreams died of.
type Suspect struct {
	Fingerprint uint64
	Deaths      int
}

func (Suspect) action()  {}
func (Grant) action()    {}
func (Refuse) action()   {}
func (Evacuate) action() {}

// Dispatcher holds the decisions' state. It isn't safe for concurrent use.
type Dispatcher struct {
	options   Options
	directory *upstream.Directory
	hints     *route.Hints
	pools     map[string]*pool
	tickets   map[uint64]*ticket
	suspects  *suspects
	actions   []Action
}

// pool is one service with the upstreams that serve it.
type pool struct {
	document  service.Accepted
	scheduler *admission.Scheduler
	budget    *retry.Budget
	movers    []uint64
	index     index
	// speed is the measured work per slot and second, in tokens.
	speed float64
	// measured counts the answers that speed was learned from.
	measured int
	// share and allocation are this entry's part of the service's capacity.
	share      float64
	part       upstream.Part
	allocation share.Allocation
	// entries is the number of entries that share the capacity, names are
	// theirs, and entry is this one's.
	entries int
	names   []string
	entry   string
	// reserve is the number of slots that stay free for callers within their
	// share.
	reserve int
	// dither, from 0 to 1, rounds parts of slots so that over time every
	// entry gets its part.
	dither float64
}

type ticket struct {
	Ticket
	state    ticketState
	attempts int
	// upstream and incarnation are where the ticket runs.
	upstream    string
	incarnation uint64
	started     clock.Instant
	// queued says that the upstream had no free slot when the ticket went
	// there, so that its time doesn't tell the speed of a slot.
	queued bool
	// mayHaveRun says that an attempt ended after bytes were sent.
	mayHaveRun bool
	// alone says that the ticket has its upstream to itself, as a suspect.
	alone bool
	// held is the upstream that is kept for the ticket, as a suspect since
	// suspectSince.
	held         string
	suspectSince clock.Instant
}

type ticketState int

const (
	waiting ticketState = iota
	moving
	running
)

// initialSpeed is assumed until requests have been measured, in tokens per
// slot and second.
const initialSpeed = 50

// New returns a dispatcher without services and upstreams.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:   o,
		directory: upstream.New(),
		hints:     route.NewHints(),
		pools:     map[string]*pool{},
		tickets:   map[uint64]*ticket{},
		suspects:  newSuspects(),
	}
}

// SetDocument puts a document in force. An older revision is ignored.
func (d *Dispatcher) SetDocument(now clock.Instant, a service.Accepted) []Action {
	p, ok := d.pools[a.Document.Name]
	switch {
	case !ok:
		p = &pool{
			scheduler: admission.New(a.Document.Ranks),
			budget:    retry.NewBudget(retryRatio),
			speed:     initialSpeed,
			share:     1,
			part:      upstream.Whole,
			entries:   1,
		}
		d.pools[a.Document.Name] = p
	case a.Revision <= p.document.Revision:
		return nil
	default:
		p.scheduler.SetRanks(a.Document.Ranks)
	}
	p.document = a
	p.index.generation = 0
	d.pump(now, p)
	return d.take()
}

// Announce takes in what an upstream says about itself.
func (d *Dispatcher) Announce(now clock.Instant, a upstream.Announcement) []Action {
	if held, known := d.directory.Get(a.ID); known && a.Incarnation > held.Incarnation {
		d.hints.Forget(a.ID)
	}
	if d.directory.Apply(now, a) {
		d.hints.Forget(a.ID)
		d.evacuate(a)
	}
	if u, ok := d.directory.Get(a.ID); ok {
		d.changed(now, u)
	}
	d.pumpAll(now)
	return d.take()
}

// evacuate tells all tickets that run at a leaving upstream.
func (d *Dispatcher) evacuate(a upstream.Announcement) {
	for _, t := range d.tickets {
		if t.state == running && t.upstream == a.ID && t.incarnation == a.Incarnation {
			d.actions = append(d.actions, Evacuate{Ticket: t.ID, Notice: a.Notice})
		}
	}
}

// Lost forgets an upstream whose lease ran out.
func (d *Dispatcher) Lost(id string, incarnation uint64) {
	d.directory.Remove(id, incarnation)
	d.hints.Forget(id)
}

// Evicted takes in a cache event: the upstream dropped the prefixes.
func (d *Dispatcher) Evicted(id string, prefixes []uint64) { d.hints.Evicted(id, prefixes) }

// Submit offers a new request. The answer is among the actions: Refuse at
// once, or Grant now or later.
func (d *Dispatcher) Submit(now clock.Instant, t Ticket) []Action {
	p, ok := d.pools[t.Service]
	if !ok {
		d.refuse(t.ID, result.New(result.UnknownService, result.RanNo, "service %q has no document here", t.Service))
		return d.take()
	}
	if d.suspects.quarantined(now, t.Fingerprint) {
		d.refuse(t.ID, result.New(result.Quarantined, result.RanNo, "the same request crashed the upstreams that ran it"))
		return d.take()
	}
	p.budget.Deposit()
	capacity := d.capacity(now, p)
	if capacity.Rate <= 0 {
		err := result.New(result.NoUpstream, result.RanNo, "no upstream serves %q now", t.Service)
		d.refuse(t.ID, err.WithRetry(time.Second))
		return d.take()
	}
	decision := p.scheduler.Offer(now, admission.Request{
		ID:        t.ID,
		Rank:      t.Rank,
		Caller:    t.Caller,
		Weight:    p.weight(t.Rank, t.Caller),
		Cost:      t.Cost,
		OverShare: p.isOver(t.Rank, t.Caller),
	}, capacity)
	if !decision.Accepted {
		err := result.New(result.Overloaded, result.RanNo, "the request would start after its target")
		d.refuse(t.ID, err.WithRetry(decision.RetryAfter))
		return d.take()
	}
	t.Query.Zone = d.options.Zone
	d.tickets[t.ID] = &ticket{Ticket: t}
	d.pump(now, p)
	return d.take()
}

// Move looks for another upstream after a failed attempt.
func (d *Dispatcher) Move(now clock.Instant, id uint64, f retry.Failure) []Action {
	t, ok := d.tickets[id]
	if !ok || t.state != running {
		return d.take()
	}
	p := d.pools[t.Service]
	alone := t.alone
	t.mayHaveRun = t.mayHaveRun || f.MayHaveRun()
	d.release(now, t, f != retry.Reclaimed)
	if f == retry.Broken && d.died(now, t, alone) {
		delete(d.tickets, id)
		d.refuse(id, result.New(result.Quarantined, result.RanUnknown, "the request crashed the upstreams that ran it"))
		d.pump(now, p)
		return d.take()
	}
	allowed := retry.Allowed(f, t.Repeatable, t.attempts)
	if allowed && f != retry.Reclaimed {
		allowed = p.budget.Spend(now)
	}
	if !allowed {
		delete(d.tickets, id)
		d.refuse(id, t.failed())
		d.pump(now, p)
		return d.take()
	}
	t.state = moving
	p.movers = append(p.movers, id)
	d.pump(now, p)
	return d.take()
}

// failed is the answer to a ticket that isn't tried again. What an earlier
// attempt may have done counts too.
func (t *ticket) failed() *result.Error {
	if t.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost after the request was sent")
	}
	return result.New(result.UpstreamFailed, result.RanNo, "no upstream took the request").WithRetry(time.Second)
}

// release takes a ticket off its upstream.
func (d *Dispatcher) release(now clock.Instant, t *ticket, avoid bool) {
	u, ok := d.directory.Get(t.upstream)
	if !ok || u.Incarnation != t.incarnation {
		return
	}
	u.Finish()
	if t.alone {
		t.alone = false
		u.Release()
	}
	if avoid {
		u.Avoid(now + avoidTime)
		t.Query.Exclude = append(t.Query.Exclude, t.upstream)
	}
	d.changed(now, u)
}

// Finish ends a ticket that was answered.
func (d *Dispatcher) Finish(now clock.Instant, id uint64) []Action {
	t, ok := d.tickets[id]
	if !ok {
		return d.take()
	}
	p := d.pools[t.Service]
	if t.state == running {
		d.release(now, t, false)
		p.measure(t, now)
		d.suspects.clear(t.Fingerprint)
	}
	delete(d.tickets, id)
	d.pump(now, p)
	return d.take()
}

// Withdraw ends a ticket whose caller is gone.
func (d *Dispatcher) Withdraw(now clock.Instant, id uint64) []Action {
	t, ok := d.tickets[id]
	if !ok {
		return d.take()
	}
	p := d.pools[t.Service]
	switch t.state {
	case waiting:
		p.scheduler.Remove(t.Caller, id)
	case running:
		d.release(now, t, false)
	case moving:
		d.unhold(now, t)
		for i, m := range p.movers {
			if m == id {
				p.movers = append(p.movers[:i], p.movers[i+1:]...)
				break
			}
		}
	}
	delete(d.tickets, id)
	d.pump(now, p)
	return d.take()
}

// Tick starts what waits for leases and avoided upstreams.
func (d *Dispatcher) Tick(now clock.Instant) []Action {
	for _, p := range d.pools {
		d.recount(now, p)
	}
	d.pumpAll(now)
	return d.take()
}

// measure learns the speed of a slot from an answered ticket. The first
// answers count most, since what was assumed before them may be far off.
func (p *pool) measure(t *ticket, now clock.Instant) {
	const leastWeight = 0.05
	if elapsed := (now - t.started).Seconds(); elapsed > 0 && t.attempts == 1 && !t.queued {
		p.measured++
		weight := max(1/float64(p.measured), leastWeight)
		p.speed += weight * (t.Cost/elapsed - p.speed)
	}
}

func (d *Dispatcher) refuse(id uint64, err *result.Error) {
	d.actions = append(d.actions, Refuse{Ticket: id, Err: err})
}

func (d *Dispatcher) take() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}
