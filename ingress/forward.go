package ingress

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// forwarding is the state of forwarding one request.
type forwarding struct {
	in      *Ingress
	r       *request
	w       http.ResponseWriter
	ticket  uint64
	actions <-chan fleet.Action
	// chunks says that the caller knows chunks; for one that doesn't, a body without a
	// length ends with the connection.
	chunks bool
	// events tracks the events of a stream across attempts.
	events eventTracker
	// headSent says that the status and headers went to the caller: status and
	// mediaType. counted says that the request was added to the organisation's usage.
	headSent, counted bool
	status            int
	mediaType         string
	// window is the usage window in which the request was counted, and
	// countedAt the instant.
	window    uint64
	countedAt clock.Instant
	// mayHaveRun says that an earlier attempt, or a hedge that has ended, may have run the
	// request.
	mayHaveRun atomic.Bool
	stop       *drain.Request
	// origin is what began the stream, nil if nobody may resume it; it was last told to
	// the keepers at originToldAt.
	origin       *origin.Origin
	originToldAt clock.Instant
	// release is that of the upstream of the present attempt.
	release string
	// mu guards hedges and giveUp, and for the goroutines of the hedges also events, headSent,
	// status and mediaType, which only the request's own goroutine changes.
	mu sync.Mutex
	// hedges are the attempts beside the present one, in the order in which they began, and
	// giveUp ends the present one.
	hedges []*hedge
	giveUp func()
}

// Limits of what is read of an upstream's response.
const (
	// copyBufferBytes is the size of one read.
	copyBufferBytes = 8 << 10
	// maxBufferedBytes is how much of a response that isn't a stream is read
	// before any of it is sent, so that another attempt can replace a broken
	// one. Many requests at once must fit into a small entry's memory.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes bounds a response that isn't a stream; what is longer
	// counts as broken off.
	maxResponseBytes = 64 << 20
)

// outcome is how one attempt ended.
type outcome struct {
	done    bool
	failure retry.Failure
	// errorResponse is the upstream's own error response, which goes to the
	// caller if there is no other attempt. Its body is still to be read, until
	// cancelResponse is called.
	errorResponse  *exchange.Response
	cancelResponse context.CancelFunc
	// sent says of an attempt without an errorResponse that the upstream may have the request.
	sent  bool
	cause error
}

// close drops the error response, if there is one.
func (o *outcome) close() {
	if o.errorResponse != nil {
		o.errorResponse.Close()
		o.cancelResponse()
		o.errorResponse = nil
	}
}

// after is the outcome of an attempt that followed one that has failed, or went on beside it. The
// earlier one's error response is still the best answer if this one has none.
func (o outcome) after(earlier outcome) outcome {
	if o.done || o.errorResponse != nil {
		earlier.close()
		return o
	}
	o.errorResponse, o.cancelResponse = earlier.errorResponse, earlier.cancelResponse
	return o
}

// writeMargin is how long an answer may take to write that comes at the deadline of its
// request or later: a caller that reads nothing ties up the entry for no longer.
const writeMargin = time.Second

// allowWrites lets writes to the caller take until writeMargin after the deadline, and for
// writeMargin from now on if it has passed. net/http ends that with the request.
func (in *Ingress) allowWrites(w http.ResponseWriter, deadline clock.Instant) {
	remaining := max(deadline-in.options.Clock(), 0)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(remaining + writeMargin))
}

// forward sends an accepted request to upstreams, one attempt after the other,
// until the caller has a response.
func (in *Ingress) forward(w http.ResponseWriter, httpRequest *http.Request, r *request) {
	ctx, cancel := context.WithTimeout(httpRequest.Context(), r.deadline-in.options.Clock())
	defer cancel()
	in.allowWrites(w, r.deadline)
	if !httpRequest.ProtoAtLeast(1, 1) {
		drain.CloseEndsBody(httpRequest.Context())
	}
	d := &forwarding{
		in: in, r: r, w: w, chunks: httpRequest.ProtoAtLeast(1, 1),
		stop: in.stop.Open(r.deadline, r.answerTime(), cancel),
	}
	defer d.stop.Close()
	d.events.start(r.LastEvent, r.Resumes)
	d.ticket, d.actions = in.dispatcher.submit(r.ticket())
	defer func() { in.dispatcher.withdraw(d.ticket) }()
	defer d.endHedges()
	var lastOutcome outcome
	for {
		select {
		case a := <-d.actions:
			switch a := a.(type) {
			case fleet.Refuse:
				in.meters.saturated(a.Cause)
				d.answerFailure(lastOutcome, a.Err)
				return
			case fleet.Grant:
				if !d.stop.Send(in.options.Clock()) {
					break
				}
				r.sent = true
				lastOutcome = d.attempt(ctx, a).after(lastOutcome)
				for !lastOutcome.done {
					if lastOutcome.failure.MayHaveRun() {
						d.mayHaveRun.Store(true)
					}
					if ctx.Err() != nil {
						break
					}
					in.meters.attemptFailed(lastOutcome.failure)
					h := d.adoptHedge(lastOutcome.failure)
					if h == nil {
						break
					}
					lastOutcome = d.attemptHedged(ctx, h).after(lastOutcome)
				}
				if lastOutcome.done {
					return
				}
				if !d.mayHaveRun.Load() {
					d.stop.Unsent()
				}
				in.link.AwaitDirectory(ctx)
				if ctx.Err() == nil {
					in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
						return f.Failed(now, d.ticket, lastOutcome.failure)
					})
					continue
				}
			}
		case <-ctx.Done():
		}
		lastOutcome.close()
		d.abandon(httpRequest.Context())
		return
	}
}

// abandon ends a request whose caller is gone, whose deadline has passed, or that can't
// be answered before the entry stops.
func (d *forwarding) abandon(callerCtx context.Context) {
	if callerCtx.Err() != nil {
		klog.InfoS("caller gone", "request", d.r.ID, "route", d.r.routeName(), "cause", endGone, "events", d.events.forwarded, "held", d.in.options.Clock()-d.r.arrived)
		d.in.meters.ended(endGone)
		d.answerGone()
		return
	}
	if d.stop.Ended() {
		d.answerFailure(outcome{}, drain.Error(d.mayHaveRun.Load()))
		return
	}
	d.answerFailure(outcome{}, result.New(result.TimedOut, result.RanUnknown, "the deadline of the request has passed"))
}

// answerGone answers a caller that has closed its sending side, if it has no part of an
// answer: it may still read.
func (d *forwarding) answerGone() {
	if d.headSent {
		panic(http.ErrAbortHandler)
	}
	ran := result.RanNo
	if d.r.sent {
		ran = result.RanUnknown
	}
	d.r.gone = true
	d.w.Header().Set("Connection", "close")
	platform.SetRequestID(d.w.Header(), d.r.ID)
	d.in.allowWrites(d.w, d.in.options.Clock())
	problem.Write(d.w, result.New(result.Expired, ran, "the caller closed its side of the connection before the answer"))
}

// answerFailure responds to a request that no upstream has answered: with the
// last upstream's error response if there is one, with err otherwise.
func (d *forwarding) answerFailure(lastOutcome outcome, err *result.Error) {
	if lastOutcome.errorResponse != nil {
		defer lastOutcome.close()
	}
	if lastOutcome.errorResponse != nil && !d.headSent {
		// The upstream's error response says more than err, if it is whole.
		if d.copyErrorResponse(lastOutcome.errorResponse) == nil {
			return
		}
		err = result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream's error response broke off")
	}
	if d.headSent {
		klog.InfoS("response cut off; closing the connection", "request", d.r.ID, "route", d.r.routeName(), "cause", endCutOff, "events", d.events.forwarded, "code", int(err.Code), "detail", err.Detail)
		d.in.meters.ended(endCutOff)
		d.abort()
	}
	d.in.refuse(d.w, d.r, err)
}

// notConfirmedError refuses a request that isn't sent to an upstream as its key
// may have been revoked. It says "not run" only if no earlier attempt may have
// run the request.
func (d *forwarding) notConfirmedError() *result.Error {
	if d.mayHaveRun.Load() {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "an earlier attempt may have run the request, and the configuration can no longer be confirmed")
	}
	return result.From(d.in.notConfirmedError())
}

// attempt sends the request to the granted upstream and relays its response.
func (d *forwarding) attempt(requestCtx context.Context, grant fleet.Grant) (o outcome) {
	in, r := d.in, d.r
	startedAt := in.options.Clock()
	var response *exchange.Response
	var head responseHead
	defer func() { d.logAttempt(requestCtx, grant, startedAt, response, head, o) }()
	if r.org != nil && !in.configFresh() {
		// The configuration was fresh when the request was accepted, but the
		// instance may have been suspended since.
		d.answerFailure(outcome{}, d.notConfirmedError())
		return outcome{done: true}
	}
	ctx, cancel := context.WithCancel(requestCtx)
	defer func() {
		if o.errorResponse == nil {
			cancel()
		}
	}()
	d.release = grant.Upstream.Release
	stopWatching := d.watchForStall(requestCtx, cancel)
	defer stopWatching()
	defer func() {
		if !o.done && d.replaced() {
			o.failure = retry.Silent
		}
	}()
	response, head, o = d.open(ctx, d.ticket, grant)
	if response != nil {
		return d.relay(response)
	}
	o.cancelResponse = cancel
	d.countFailed(o)
	return o
}

// countFailed adds the request of a failed attempt to its organisation's usage, if the
// upstream began to run it.
func (d *forwarding) countFailed(o outcome) {
	if o.failure == retry.Errored && (o.errorResponse != nil || o.sent) || o.failure == retry.Broken && o.sent && !d.r.isStream() {
		// Unlike a stream, a plain request counts as running as soon as the
		// upstream has it.
		d.countOnce()
	}
}

// responseHead is the head of an upstream's answer to the request, with what carried it; its
// status is 0 if none came.
type responseHead struct {
	status int
	platform.ResponseInfo
	exchange.Trace
}

// logAttempt logs an attempt that has ended, with the response that was relayed, if there
// was one.
func (d *forwarding) logAttempt(requestCtx context.Context, grant fleet.Grant, startedAt clock.Instant, response *exchange.Response, head responseHead, o outcome) {
	in, r := d.in, d.r
	// by is the other end of the connection, which differs from the address if the attempt
	// went through another entry.
	by := ""
	if response != nil {
		by = response.Peer().String()
	}
	failure := "none"
	switch {
	case o.done:
	case requestCtx.Err() != nil:
		// The caller is gone or the deadline has passed, which isn't the
		// upstream's failure.
		failure = "abandoned"
	default:
		failure = o.failure.String()
	}
	choice := grant.ReleaseChoice()
	klog.InfoS("attempt", "request", r.ID, "route", r.routeName(), "service", r.service, "organisation", r.organisation(), "rank", r.rank,
		"revision", r.revision, "confirmed", in.link.ConfigAge(), "upstream", grant.Upstream.ID, "address", grant.Upstream.Address, "by", by, "zone", grant.Upstream.Zone, "release", grant.Upstream.Release, "rollout", choice.Rollout, "releaseBy", choice.Reason, "resumed", r.ResumedID, "number", grant.Attempt,
		"waited", startedAt-r.arrived, "expected", grant.Estimate, "cached", grant.CachedTokens, "prompt", r.PromptTokens, "took", in.options.Clock()-startedAt,
		"done", o.done, "failure", failure, "status", head.status, "notRun", head.NotRun, "named", head.RequestID == r.ID, "signed", head.Signed, "events", d.events.forwarded, "window", d.window, "begun", d.countedAfter(startedAt), "limit", head.Limit,
		"connection", head.Local.Port(), "exchange", head.Number, "passedOver", head.PassedOver, "skipped", head.Skipped, "err", o.cause)
	if failure == retry.Broken.String() {
		klog.InfoS("attempt broke off", "request", r.ID, "upstream", grant.Upstream.ID, "incarnation", grant.Upstream.Incarnation,
			"fingerprint", strconv.FormatUint(r.fingerprint(), 16), "parts", r.sharedPartIDs())
	}
}

// open sends the request to the granted upstream and reads the head of its response. It
// returns the response if it can be relayed, and why not otherwise.
func (d *forwarding) open(ctx context.Context, ticket uint64, grant fleet.Grant) (relayable *exchange.Response, head responseHead, o outcome) {
	in, r := d.in, d.r
	d.mu.Lock()
	lastEvent, resumes := d.events.position()
	d.mu.Unlock()
	response, err := in.upstreamClient.Do(ctx, grant.Upstream.Address, &exchange.Request{
		Method: r.method, Target: r.target, Host: r.host, Body: r.body, HasBody: r.hasBody, ID: r.ID,
		Header: platform.EncodeForward(r.header, platform.Forward{
			Upstream: grant.Upstream.ID, Organisation: r.organisation(), Remaining: r.deadline - in.options.Clock(),
			LastEvent: lastEvent, Resumes: resumes, Rank: r.engineRank, Ranked: r.route.ByPrefix,
		}),
		Matches: func(httpResponse *http.Response, used bool) bool {
			// A refusal without an ID on a connection that was used before may be
			// a late one to an earlier request.
			a := platform.DecodeResponse(httpResponse.StatusCode, httpResponse.Header)
			return a.RequestID == r.ID || (a.RequestID == "" && a.NotRun && !used)
		},
	})
	if err != nil {
		o = outcome{failure: retry.NotSent, cause: err}
		var e *exchange.Error
		if errors.As(err, &e) {
			head.Trace = e.Trace
			if e.Sent {
				o.failure, o.sent = retry.Broken, true
			}
		}
		in.meters.observeTrace(head.Trace)
		in.upstreamClient.CloseIdle(grant.Upstream.Address)
		return nil, head, o
	}
	if response.Direct() {
		in.paths.Answered(grant.Upstream.Address, response.First())
	}
	answer := platform.DecodeResponse(response.StatusCode, response.Header)
	head = responseHead{response.StatusCode, answer, response.Trace}
	in.meters.observeTrace(head.Trace)
	if answer.Limited {
		in.meters.limited.Inc(1)
	}
	if !answer.OtherUpstream && (answer.Limited || answer.Signed) {
		in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
			return f.Named(now, ticket, answer.Limit, answer.Limited)
		})
	}
	d.applyNotice(ticket, response.StatusCode, answer)
	switch {
	case answer.NotRun:
		response.Skip()
		return nil, head, outcome{failure: retry.Refused, cause: errors.Errorf("upstream refused the request with status %d", response.StatusCode)}
	case platform.PromisesNotRun(response.StatusCode):
		// The signature is of this status, so that the answer can't get another one.
		in.meters.unstated.Inc(1)
		response.Skip()
		return nil, head, outcome{failure: retry.Errored, sent: true, cause: errors.Errorf("upstream responded with status %d and doesn't state that it has not run the request", response.StatusCode)}
	case response.StatusCode >= http.StatusInternalServerError:
		return nil, head, outcome{failure: retry.Errored, errorResponse: response, cause: errors.Errorf("upstream responded with status %d", response.StatusCode)}
	case !answer.Signed && response.StatusCode >= http.StatusMultipleChoices:
		// A caller would take it for the entry's own. The upstream is up: it may not even have
		// understood the request.
		response.Skip()
		return nil, head, outcome{failure: retry.Errored, sent: true, cause: errors.Errorf("response with status %d lacks the upstream's signature", response.StatusCode)}
	case !answer.Signed:
		response.Close()
		return nil, head, outcome{failure: retry.Broken, cause: errors.Errorf("response with status %d lacks the upstream's signature", response.StatusCode)}
	case !d.continues(response):
		response.Close()
		return nil, head, outcome{failure: retry.Errored, cause: errors.Errorf("response with status %d and content type %q doesn't continue the stream", response.StatusCode, response.Header.Get("Content-Type"))}
	}
	return response, head, outcome{}
}

// applyNotice passes on what the answer says of how the upstream wants to be used.
// Another upstream than the expected one speaks for itself.
func (d *forwarding) applyNotice(ticket uint64, status int, a platform.ResponseInfo) {
	if a.Unreadable != "" {
		d.in.meters.unreadable.Inc(1)
		if d.in.unreadable.Allow() {
			klog.InfoS("header of an upstream's answer can't be read", "request", d.r.ID, "status", status, "header", a.Unreadable)
		}
	}
	if a.OtherUpstream || !a.Leaving && a.RetryAfter == 0 {
		return
	}
	d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		actions := f.Told(now, ticket, fleet.Notice{Leaving: a.Leaving, RetryAfter: a.RetryAfter})
		for _, action := range actions {
			switch action := action.(type) {
			case fleet.SaidLeaving:
				d.in.meters.leaving.Inc(1)
				klog.InfoS("upstream says that it leaves; no new requests", "request", d.r.ID, "status", status, "upstream", action.Upstream.ID, "incarnation", action.Upstream.Incarnation)
			case fleet.Closed:
				d.in.meters.closed.Inc(1)
				klog.InfoS("upstream wants no requests", "request", d.r.ID, "status", status, "upstream", action.Upstream.ID, "incarnation", action.Upstream.Incarnation,
					"retryAfter", action.RetryAfter, "closedFor", action.For)
			}
		}
		return actions
	})
}

// recordProgress records that the upstream made progress with the request.
func (d *forwarding) recordProgress() {
	d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Progress(now, d.ticket) })
}

// recordFirstBytes records the first bytes of the body: the request has begun to
// run.
func (d *forwarding) recordFirstBytes() {
	if !d.counted {
		d.in.meters.observeFirstByte(d.in.options.Clock() - d.r.arrived)
	}
	d.countOnce()
}

// countOnce adds the request to its organisation's usage, at the first call.
func (d *forwarding) countOnce() {
	if !d.counted {
		d.counted = true
		d.window, d.countedAt = d.in.countUsage(d.r), d.in.options.Clock()
	}
}

// countedAfter is the time from start to when the request was counted, 0 if it
// wasn't.
func (d *forwarding) countedAfter(start clock.Instant) time.Duration {
	if d.countedAt == 0 {
		return 0
	}
	return d.countedAt - start
}

// finish ends the ticket. inTime says that the response met the route's target.
func (d *forwarding) finish(success, inTime bool) {
	d.in.meters.answered.Inc(1)
	d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		return f.Finish(now, d.ticket, success, inTime)
	})
}
