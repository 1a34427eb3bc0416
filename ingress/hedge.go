package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/retry"
)

// stallTimeout is how long an upstream may make no progress with any request of
// this entry before a repeatable request is sent to another upstream as well: twice the
// longest pause between events that the published deployments allow. The
// progress of a stream is whole events.
// stallCheckInterval is the time between two checks for that.
const (
	stallTimeout       = time.Second
	stallCheckInterval = 100 * time.Millisecond
	// maxOverlap is how long a stream that goes on after an event may be at two upstreams
	// that have both accepted it: the platform allows 400 ms, and the close of a connection
	// takes a moment.
	maxOverlap = 300 * time.Millisecond
)

// hedge is a further attempt that runs beside one whose upstream is silent. The attempt
// whose upstream is the first to send something goes on, and the others are dropped: a
// silent upstream may be sound, and another one may not take the request.
type hedge struct {
	ticket    uint64
	actions   <-chan fleet.Action
	grant     fleet.Grant
	startedAt clock.Instant
	ctx       context.Context
	cancel    context.CancelFunc
	// settled is closed when won, dropped, response, outcome and head don't change any more.
	settled chan struct{}
	// resumes says that the hedge goes on after an event of the attempt. accepted is closed
	// when its upstream has sent the head of a response that does.
	resumes  bool
	accepted chan struct{}
	// won says that the hedge takes the place of the attempt, dropped that the attempt goes on
	// without it, and adopted that it is the present attempt. forwarding.mu guards them.
	won, dropped, adopted bool

	response *exchange.Response
	// outcome is how a hedge without a response ended that has won or is adopted.
	outcome outcome
	head    responseHead
}

// errReplaced is the error of an attempt whose hedge has begun to answer first.
var errReplaced = errors.New("a second upstream has begun to answer")

// watchForStall hedges the present attempt while its upstream and those of its hedges have
// stalled, if the request may be repeated, until the returned function is called. giveUp is
// called once a hedge has begun to answer.
func (d *forwarding) watchForStall(requestCtx context.Context, giveUp func()) (stop func()) {
	if !d.r.route.Repeatable() {
		return func() {}
	}
	d.mu.Lock()
	d.giveUp = giveUp
	d.mu.Unlock()
	ctx, stop := context.WithCancel(requestCtx)
	ticket := d.ticket
	go func() {
		t := time.NewTicker(stallCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				last := d.lastTicket(ticket)
				if !d.in.dispatcher.stalled(last, stallTimeout) {
					continue
				}
				// After a stand-still of this entry, upstreams may be of other releases.
				d.in.link.AwaitDirectory(ctx)
				if h := d.startHedge(requestCtx, ctx, last); h != nil {
					go d.runHedge(h)
				}
			}
		}
	}()
	return stop
}

// lastTicket is the ticket of the attempt that began last: the one with the ticket, or one of
// its hedges.
func (d *forwarding) lastTicket(ticket uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hedges) > 0 {
		return d.hedges[len(d.hedges)-1].ticket
	}
	return ticket
}

// startHedge asks for an upstream beside that of the ticket. attemptCtx ends with the attempt.
func (d *forwarding) startHedge(requestCtx, attemptCtx context.Context, ticket uint64) *hedge {
	d.mu.Lock()
	defer d.mu.Unlock()
	if attemptCtx.Err() != nil || d.headSent && !d.r.isStream() || d.winner() != nil {
		return nil
	}
	if d.r.org != nil && !d.in.configFresh() {
		// The key may have been revoked since the first attempt.
		return nil
	}
	grant, actions, ok := d.in.dispatcher.hedge(ticket, stallTimeout)
	if !ok {
		return nil
	}
	h := &hedge{ticket: grant.Ticket, actions: actions, grant: grant, startedAt: d.in.options.Clock(), settled: make(chan struct{}), accepted: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(requestCtx)
	_, h.resumes = d.events.position()
	d.hedges = append(d.hedges, h)
	d.in.meters.hedged.Inc(1)
	klog.InfoS("upstream is silent; asking another one too", "request", d.r.ID, "route", d.r.routeName(), "events", d.events.forwarded, "upstream", grant.Upstream.ID, "number", grant.Attempt)
	return h
}

// runHedge makes the attempt of a hedge, until it has begun to answer, failed or was dropped.
func (d *forwarding) runHedge(h *hedge) {
	opened := make(chan outcome, 1)
	go func() {
		response, head, o := d.open(h.ctx, h.ticket, h.grant)
		if response != nil {
			close(h.accepted)
			if err := d.awaitBeginning(response); err != nil {
				response.Close()
				response, o = nil, outcome{failure: retry.Broken, cause: err}
			}
		}
		h.response, h.head = response, head
		opened <- o
	}()
	var overlap <-chan time.Time
	accepted := h.accepted
	for {
		select {
		case o := <-opened:
			d.settleHedge(h, o)
			return
		case <-accepted:
			accepted = nil
			if h.resumes {
				overlap = time.After(maxOverlap)
			}
		case <-overlap:
			d.endOverlap(h)
		}
	}
}

// endOverlap ends the other attempts beside which the hedge's upstream has accepted the stream.
func (d *forwarding) endOverlap(h *hedge) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.hedges, h) || d.winner() != nil || h.ctx.Err() != nil {
		return
	}
	d.winLocked(h)
}

// winLocked lets the hedge take the place of the present attempt. The caller holds mu.
func (d *forwarding) winLocked(h *hedge) {
	h.won = true
	for _, other := range d.hedges {
		if other != h {
			d.drop(other)
		}
	}
	d.hedges = []*hedge{h}
	d.in.meters.hedgesUsed.Inc(1)
	d.giveUp()
}

// drop ends a hedge that isn't needed. Its upstream may get the request again at once, if the
// attempt fails. The caller holds mu.
func (d *forwarding) drop(h *hedge) {
	h.dropped = true
	d.mayHaveRun.Store(true)
	h.cancel()
	d.in.dispatcher.withdraw(h.ticket)
}

// winner is the hedge that takes the place of the present attempt, nil if there is none. The
// caller holds mu.
func (d *forwarding) winner() *hedge {
	for _, h := range d.hedges {
		if h.won {
			return h
		}
	}
	return nil
}

// remove takes a hedge out of the list. The caller holds mu.
func (d *forwarding) remove(h *hedge) {
	d.hedges = slices.DeleteFunc(d.hedges, func(other *hedge) bool { return other == h })
}

// awaitBeginning waits for as much of the response as can be relayed at once: the first
// event of a stream, the whole of another response up to maxBufferedBytes.
func (d *forwarding) awaitBeginning(response *exchange.Response) error {
	if !d.r.streams(response) {
		return response.Await(func(ahead []byte) bool { return len(ahead) > maxBufferedBytes })
	}
	began := false
	err := response.Await(func(ahead []byte) bool {
		began = firstEventLength(ahead) > 0
		return began || len(ahead) > maxEventBytes
	})
	if err == nil && !began && !response.Framed() {
		return errors.New("the connection ended before the first event")
	}
	return err
}

// settleHedge decides between the attempt and its hedge, whose attempt ended as the
// outcome says unless it has a response.
func (d *forwarding) settleHedge(h *hedge, o outcome) {
	defer close(h.settled)
	d.mu.Lock()
	if h.adopted || h.won {
		h.outcome = o
		d.mu.Unlock()
		return
	}
	if h.response != nil && d.continuesLocked(h.response) && !h.dropped && h.ctx.Err() == nil {
		d.winLocked(h)
		d.mu.Unlock()
		return
	}
	d.remove(h)
	dropped := h.dropped || h.ctx.Err() != nil
	if dropped || h.response != nil || o.failure.MayHaveRun() {
		d.mayHaveRun.Store(true)
	}
	d.mu.Unlock()
	if h.response != nil {
		h.response.Close()
		o.failure = retry.Errored
	}
	o.cancelResponse = h.cancel
	o.close()
	h.cancel()
	klog.InfoS("second upstream not used", "request", d.r.ID, "upstream", h.grant.Upstream.ID, "number", h.grant.Attempt,
		"took", d.in.options.Clock()-h.startedAt, "dropped", dropped, "failure", o.failure.String(), "status", h.head.status, "notRun", h.head.NotRun, "named", h.head.RequestID == d.r.ID, "limit", h.head.Limit,
		"connection", h.head.Local.Port(), "exchange", h.head.Number, "passedOver", h.head.PassedOver, "skipped", h.head.Skipped, "err", o.cause)
	if !dropped {
		d.in.meters.attemptFailed(o.failure)
		d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.HedgeFailed(now, h.ticket, o.failure) })
	}
	d.in.dispatcher.withdraw(h.ticket)
}

// replaced reports whether a hedge takes the place of the present attempt.
func (d *forwarding) replaced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.winner() != nil
}

// dropHedges ends the hedges, unless one has won: the attempt goes on. It reports whether the
// attempt does.
func (d *forwarding) dropHedges() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropHedgesLocked()
}

// dropHedgesLocked is dropHedges for callers that hold mu.
func (d *forwarding) dropHedgesLocked() bool {
	if d.winner() != nil {
		return false
	}
	for _, h := range d.hedges {
		d.drop(h)
	}
	d.hedges = nil
	return true
}

// acceptEvent reports whether to send the present attempt's next event to the caller, and
// ends the hedges before: their events go on where this one was still to come.
func (d *forwarding) acceptEvent(event []byte) (forward bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.winner() != nil {
		return false, errReplaced
	}
	if forward, err = d.events.accept(event); err == nil {
		d.dropHedgesLocked()
	}
	return forward, err
}

// claim reports whether the present attempt's response, which is no stream, may be sent to
// the caller; its hedges end then.
func (d *forwarding) claim(response *exchange.Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dropHedgesLocked() {
		return false
	}
	d.setHead(response)
	return true
}

// claimHead reports whether the present attempt's response may begin the caller's stream.
// From then on no upstream of another release, and no other kind of response, may go on
// with it. That is one step, as a hedge may begin or win at any moment.
func (d *forwarding) claimHead(response *exchange.Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.winner() != nil {
		return false
	}
	d.hedges = slices.DeleteFunc(d.hedges, func(h *hedge) bool {
		other := h.grant.Upstream.Release != d.release
		if other {
			d.drop(h)
		}
		return other
	})
	d.bind()
	d.setHead(response)
	return true
}

// setHead records the head that goes to the caller. The caller holds mu.
func (d *forwarding) setHead(response *exchange.Response) {
	d.headSent, d.status, d.mediaType = true, response.StatusCode, mediaType(response)
}

// adoptHedge makes a hedge of an attempt that failed the present attempt, whether it has
// begun to answer or not: the one that has won, or the first.
func (d *forwarding) adoptHedge(failure retry.Failure) *hedge {
	d.mu.Lock()
	h := d.winner()
	if h == nil && len(d.hedges) > 0 {
		h = d.hedges[0]
	}
	if h != nil {
		h.adopted = true
		d.remove(h)
		// Another hedge may win before watchForStall is called for this one.
		d.giveUp = h.cancel
	}
	d.mu.Unlock()
	if h == nil {
		return nil
	}
	d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Replace(now, d.ticket, failure) })
	d.in.dispatcher.withdraw(d.ticket)
	d.ticket, d.actions = h.ticket, h.actions
	return h
}

// attemptHedged waits for the response of a hedge that has become the present attempt, and
// relays it.
func (d *forwarding) attemptHedged(requestCtx context.Context, h *hedge) (o outcome) {
	defer func() { d.logAttempt(requestCtx, h.grant, h.startedAt, h.response, h.head, o) }()
	defer func() {
		if o.errorResponse == nil {
			h.cancel()
		}
	}()
	d.release = h.grant.Upstream.Release
	stopWatching := d.watchForStall(requestCtx, h.cancel)
	defer stopWatching()
	defer func() {
		if !o.done && d.replaced() {
			o.failure = retry.Silent
		}
	}()
	<-h.settled
	switch {
	case h.response == nil:
		o = h.outcome
		o.cancelResponse = h.cancel
		d.countFailed(o)
		return o
	case !d.continues(h.response):
		h.response.Close()
		return outcome{failure: retry.Errored, cause: errors.New("the response doesn't continue the stream")}
	}
	return d.relay(h.response)
}

// endHedges ends the hedges of a request that has ended.
func (d *forwarding) endHedges() {
	if d.dropHedges() {
		return
	}
	d.mu.Lock()
	h := d.winner()
	d.hedges = nil
	d.mu.Unlock()
	h.cancel()
	<-h.settled
	if h.response != nil {
		h.response.Close()
	}
	h.outcome.cancelResponse = h.cancel
	h.outcome.close()
	d.in.dispatcher.withdraw(h.ticket)
}
