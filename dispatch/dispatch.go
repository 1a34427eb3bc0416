// Package dispatch decides for one entry which requests are accepted, when each
// starts and on which upstream. It combines the directory of upstreams, admission
// and routing. It does no I/O: callers pass in the time and carry out the
// returned actions.
package dispatch

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/admission"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// failureBackoff is the time after a failure for which no new work is sent to
// the upstream.
const failureBackoff = time.Second

// retryRatio is the number of retries that each request adds to the retry budget.
const retryRatio = 0.2

// Options configure a Dispatcher.
type Options struct {
	// Zone is the entry's availability zone.
	Zone  string
	Costs route.Costs
}

// DefaultCosts returns the assumed delays of a request.
func DefaultCosts() route.Costs {
	return route.Costs{
		OtherZone:    500 * time.Microsecond,
		PrefillToken: 50 * time.Microsecond,
		SlotTime:     500 * time.Millisecond,
	}
}

// Ticket describes a request that is to be dispatched.
type Ticket struct {
	ID      uint64
	Service string
	Rank    int
	Caller  string
	// Cost is the expected work, in tokens.
	Cost       float64
	Repeatable bool
	// Fingerprint identifies the caller, the service and the body.
	Fingerprint uint64
	// Parts identify the parts of the prompt that other requests may share.
	Parts []uint64
	Query route.Query
}

// Action is something that the caller of Dispatcher has to do.
type Action interface{ action() }

// Grant asks to send the ticket's request to an upstream.
type Grant struct {
	Ticket   uint64
	Upstream upstream.Announcement
}

// Refuse asks to answer the ticket's request with an error.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
}

// UpstreamLeaving says that the upstream that runs the ticket is leaving, and
// will stop after Notice.
type UpstreamLeaving struct {
	Ticket uint64
	Notice time.Duration
}

// ReportSuspect asks to report a request to the other entries, because upstreams
// crashed while they ran it.
type ReportSuspect struct {
	Fingerprint uint64
	Crashes     int
}

// ReportEvidence asks to tell the other entries of crashes during requests that
// share a part of their prompts, or of an answer that clears such a part.
type ReportEvidence struct {
	Evidence suspect.Evidence
}

func (ReportSuspect) action()   {}
func (ReportEvidence) action()  {}
func (Grant) action()           {}
func (Refuse) action()          {}
func (UpstreamLeaving) action() {}

// Dispatcher dispatches tickets to upstreams. It isn't safe for concurrent use.
type Dispatcher struct {
	options   Options
	directory *upstream.Directory
	hints     *route.Hints
	pools     map[string]*pool
	tickets   map[uint64]*ticket
	suspects  *suspects
	// ledger holds the crashes during requests that share a part, or are the same.
	ledger *suspect.Ledger
	// pending are the actions that the current call returns.
	pending []Action
}

// pool is one service with the upstreams that serve it.
type pool struct {
	document    service.Accepted
	scheduler   *admission.Scheduler
	retryBudget *retry.Budget
	// unplaced are the tickets that have left the scheduler and wait for an
	// upstream: those to retry, suspects, and those that none could take.
	unplaced []uint64
	index    index
	// slotSpeed is the measured work of one slot, in tokens per second.
	slotSpeed float64
	// measuredAnswers counts the answers from which slotSpeed was measured.
	measuredAnswers int
	// share is this entry's fraction of the service's capacity, ownSlots the
	// slots that this gives it, and allocation what its callers may use of it.
	share      float64
	ownSlots   upstream.SlotRange
	allocation share.Allocation
	// entryCount is the number of entries that share the capacity, entryNames
	// their names, and ownName that of this entry.
	entryCount int
	entryNames []string
	ownName    string
	// reservedSlots is the number of slots that are kept free for callers that
	// are not over their share.
	reservedSlots int
	// rounding, from 0 to 1, decides how fractions of slots are rounded. It
	// changes, so that on average every entry gets its exact fraction.
	rounding float64
}

type ticket struct {
	Ticket
	state    ticketState
	attempts int
	// upstream and incarnation identify the upstream that runs the ticket.
	upstream    string
	incarnation uint64
	sentAt      clock.Instant
	// queuedAtUpstream says that the upstream had no free slot when the ticket
	// was sent, so that its duration can't be used to measure slotSpeed.
	queuedAtUpstream bool
	// mayHaveRun says that an attempt ended after bytes were sent.
	mayHaveRun bool
	// runsAlone says that the ticket runs as a suspect, alone on its upstream.
	runsAlone bool
	// heldUpstream is the upstream that is held for the ticket as a suspect,
	// and suspectSince the time when it was first needed.
	heldUpstream string
	suspectSince clock.Instant
}

type ticketState int

const (
	waiting ticketState = iota
	unplaced
	running
)

// initialSlotSpeed is the assumed speed of a slot until it is measured, in tokens
// per second.
const initialSlotSpeed = 50

// New returns a dispatcher without services and upstreams.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:   o,
		directory: upstream.New(),
		hints:     route.NewHints(),
		pools:     map[string]*pool{},
		tickets:   map[uint64]*ticket{},
		suspects:  newSuspects(),
		ledger:    suspect.New(),
	}
}

// SetDocument applies a document. An older revision is ignored.
func (d *Dispatcher) SetDocument(now clock.Instant, a service.Accepted) []Action {
	p, ok := d.pools[a.Document.Name]
	switch {
	case !ok:
		p = &pool{
			scheduler:   admission.New(a.Document.Ranks),
			retryBudget: retry.NewBudget(retryRatio),
			slotSpeed:   initialSlotSpeed,
			share:       1,
			ownSlots:    upstream.AllSlots,
			entryCount:  1,
		}
		d.pools[a.Document.Name] = p
	case a.Revision <= p.document.Revision:
		return nil
	default:
		p.scheduler.SetRanks(a.Document.Ranks)
	}
	p.document = a
	p.index.generation = 0
	d.schedule(now, p)
	return d.takeActions()
}

// Announce applies an upstream's announcement.
func (d *Dispatcher) Announce(now clock.Instant, a upstream.Announcement) []Action {
	if previous, known := d.directory.Get(a.ID); known && a.Incarnation > previous.Incarnation {
		d.hints.Remove(a.ID)
	}
	if d.directory.Apply(now, a) {
		d.hints.Remove(a.ID)
		d.notifyLeaving(a)
	}
	if u, ok := d.directory.Get(a.ID); ok {
		d.updateUpstream(now, u)
	}
	d.scheduleAll(now)
	return d.takeActions()
}

// notifyLeaving returns an UpstreamLeaving for each ticket that runs there.
func (d *Dispatcher) notifyLeaving(a upstream.Announcement) {
	for _, t := range d.tickets {
		if t.state == running && t.upstream == a.ID && t.incarnation == a.Incarnation {
			d.pending = append(d.pending, UpstreamLeaving{Ticket: t.ID, Notice: a.Notice})
		}
	}
}

// RemoveUpstream removes an upstream whose lease expired.
func (d *Dispatcher) RemoveUpstream(id string, incarnation uint64) {
	d.directory.Remove(id, incarnation)
	d.hints.Remove(id)
}

// Evicted applies a cache event: the upstream evicted the prefixes.
func (d *Dispatcher) Evicted(id string, prefixes []uint64) { d.hints.Evicted(id, prefixes) }

// Submit offers a new request. It returns a Refuse at once, or a Grant is
// returned by this or a later call.
func (d *Dispatcher) Submit(now clock.Instant, t Ticket) []Action {
	p, ok := d.pools[t.Service]
	if !ok {
		d.refuse(t.ID, result.New(result.UnknownService, result.RanNo, "service %q has no document here", t.Service))
		return d.takeActions()
	}
	if d.suspects.quarantined(now, t.Fingerprint) {
		d.refuse(t.ID, result.New(result.Quarantined, result.RanNo, "the same request crashed the upstreams that ran it"))
		return d.takeActions()
	}
	if err := d.partQuarantined(now, &ticket{Ticket: t}); err != nil {
		d.refuse(t.ID, err)
		return d.takeActions()
	}
	p.retryBudget.Deposit()
	capacity := d.capacity(now, p)
	if capacity.Rate <= 0 {
		d.refuse(t.ID, t.Query.NoUpstream(t.Service).WithRetry(time.Second))
		return d.takeActions()
	}
	decision := p.scheduler.Offer(now, admission.Request{
		ID:        t.ID,
		Rank:      t.Rank,
		Caller:    t.Caller,
		Weight:    p.weight(t.Rank, t.Caller),
		Cost:      t.Cost,
		OverShare: p.isOverShare(t.Rank, t.Caller),
	}, capacity)
	if !decision.Accepted {
		err := result.New(result.Overloaded, result.RanNo, "the request would start after its target")
		d.refuse(t.ID, err.WithRetry(decision.RetryAfter))
		return d.takeActions()
	}
	t.Query.Zone = d.options.Zone
	d.tickets[t.ID] = &ticket{Ticket: t}
	if d.refuseWithoutRelease(now, p, d.tickets[t.ID]) {
		p.scheduler.Remove(t.Caller, t.ID)
		return d.takeActions()
	}
	d.schedule(now, p)
	return d.takeActions()
}

// Failed retries the ticket after a failed attempt, or refuses it.
func (d *Dispatcher) Failed(now clock.Instant, id uint64, failure retry.Failure) []Action {
	t, ok := d.tickets[id]
	if !ok || t.state != running {
		return d.takeActions()
	}
	p := d.pools[t.Service]
	alone := t.runsAlone
	t.mayHaveRun = t.mayHaveRun || failure.MayHaveRun()
	d.releaseUpstream(now, t, failure != retry.Reclaimed)
	if failure == retry.Broken && d.recordCrash(now, t, alone) {
		delete(d.tickets, id)
		d.refuse(id, result.New(result.Quarantined, result.RanUnknown, "the request crashed the upstreams that ran it"))
		d.schedule(now, p)
		return d.takeActions()
	}
	allowed := retry.Allowed(failure, t.Repeatable, t.attempts)
	if d.partQuarantined(now, t) != nil {
		allowed = false
	}
	if allowed && failure != retry.Reclaimed {
		allowed = p.retryBudget.Spend(now)
	}
	if !allowed {
		delete(d.tickets, id)
		d.refuse(id, t.finalError())
		d.schedule(now, p)
		return d.takeActions()
	}
	t.state = unplaced
	p.unplaced = append(p.unplaced, id)
	d.schedule(now, p)
	return d.takeActions()
}

// finalError is the answer to a ticket that isn't retried. The request counts as
// possibly run if any attempt may have run.
func (t *ticket) finalError() *result.Error {
	if t.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost after the request was sent")
	}
	return result.New(result.UpstreamFailed, result.RanNo, "no upstream accepted the request").WithRetry(time.Second)
}

// releaseUpstream frees the ticket's slot, and with backOff keeps new work off
// the upstream for a time.
func (d *Dispatcher) releaseUpstream(now clock.Instant, t *ticket, backOff bool) {
	u, ok := d.directory.Get(t.upstream)
	if !ok || u.Incarnation != t.incarnation {
		return
	}
	u.Finish()
	if t.runsAlone {
		t.runsAlone = false
		u.EndHold()
	}
	if backOff {
		u.Avoid(now + failureBackoff)
		t.Query.Exclude = append(t.Query.Exclude, t.upstream)
	}
	d.updateUpstream(now, u)
}

// Bind binds a ticket to the release that has begun its stream. From now on no other
// may run it, as answers of two releases don't fit together.
func (d *Dispatcher) Bind(id uint64, release string) {
	if t, ok := d.tickets[id]; ok {
		t.Query.Binding = upstream.BoundTo(release)
	}
}

// lacksRelease reports whether the ticket is bound to a release that no usable upstream
// has.
func (d *Dispatcher) lacksRelease(now clock.Instant, p *pool, t *ticket) bool {
	return t.Query.Bound && !slices.ContainsFunc(d.candidates(now, p), func(u *upstream.Upstream) bool {
		return u.Usable(now) && t.Query.Fits(&u.Announcement)
	})
}

// Finish ends a ticket that was answered.
func (d *Dispatcher) Finish(now clock.Instant, id uint64) []Action {
	t, ok := d.tickets[id]
	if !ok {
		return d.takeActions()
	}
	p := d.pools[t.Service]
	if t.state == running {
		d.releaseUpstream(now, t, false)
		p.learnSlotSpeed(t, now)
		d.suspects.clearAnswered(t.Fingerprint)
		d.clearTraits(now, t)
	}
	delete(d.tickets, id)
	d.schedule(now, p)
	return d.takeActions()
}

// Withdraw ends a ticket whose caller disconnected.
func (d *Dispatcher) Withdraw(now clock.Instant, id uint64) []Action {
	t, ok := d.tickets[id]
	if !ok {
		return d.takeActions()
	}
	p := d.pools[t.Service]
	switch t.state {
	case waiting:
		p.scheduler.Remove(t.Caller, id)
	case running:
		d.releaseUpstream(now, t, false)
	case unplaced:
		d.releaseHold(now, t)
		for i, other := range p.unplaced {
			if other == id {
				p.unplaced = append(p.unplaced[:i], p.unplaced[i+1:]...)
				break
			}
		}
	}
	delete(d.tickets, id)
	d.schedule(now, p)
	return d.takeActions()
}

// Tick applies the leases and backoffs that have expired, and schedules the
// waiting tickets.
func (d *Dispatcher) Tick(now clock.Instant) []Action {
	for _, p := range d.pools {
		d.recount(now, p)
	}
	d.scheduleAll(now)
	return d.takeActions()
}

// learnSlotSpeed measures slotSpeed on an answered ticket. The first answers have
// the largest weight, as the initial value may be far off.
func (p *pool) learnSlotSpeed(t *ticket, now clock.Instant) {
	const minWeight = 0.05
	if elapsed := (now - t.sentAt).Seconds(); elapsed > 0 && t.attempts == 1 && !t.queuedAtUpstream {
		p.measuredAnswers++
		weight := max(1/float64(p.measuredAnswers), minWeight)
		p.slotSpeed += weight * (t.Cost/elapsed - p.slotSpeed)
	}
}

func (d *Dispatcher) refuse(id uint64, err *result.Error) {
	d.pending = append(d.pending, Refuse{Ticket: id, Err: err})
}

func (d *Dispatcher) takeActions() []Action {
	actions := d.pending
	d.pending = nil
	return actions
}
