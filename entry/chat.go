package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// maxAnswerBytes bounds the text of one chat, which is kept until its end: 32 bytes for each of
// maxMaxTokens tokens.
const maxAnswerBytes = 32 * maxMaxTokens

var noDeadline time.Time

func deadline(after time.Duration) time.Time { return time.Now().Add(after) }

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, in callerRequest) error {
	request, err := parseChat(in.body)
	if err != nil {
		return err
	}
	accepted, ok := e.dispatch.documentForModel(request.Model)
	if !ok {
		return result.New(result.UnknownService, result.RanNo, "no service has the model %q", request.Model)
	}
	call, ok := accepted.Document.CallByName(r.Header.Get(headerCall))
	if !ok {
		return result.New(result.UnknownCall, result.RanNo, "service %s has no call %q", accepted.Document.Name, r.Header.Get(headerCall))
	}
	query, cost := request.query()
	last, resumes := parseEventID(r.Header.Get(headerLastEvent))
	if resumes = resumes && request.Stream; resumes {
		query.Binding = upstream.BoundTo(last.release)
	}
	c := &chatCall{
		entry:            e,
		request:          request,
		call:             call,
		firstTokenTarget: accepted.Document.Ranks[accepted.Document.RankIndex(call.Rank)].FirstToken,
		began:            time.Now(),
		ticket: dispatch.Ticket{
			Service:    accepted.Document.Name,
			Rank:       accepted.Document.RankIndex(call.Rank),
			Caller:     in.caller,
			Cost:       cost,
			Repeatable: call.Repeatable,
			Query:      query,

			Parts:       request.sharedParts(),
			Fingerprint: fingerprint(in.caller, accepted.Document.Name, in.body),
		},
	}
	c.out = newSink(w, request, last, resumes, e.options.Settings.WriteTimeout)
	return c.run(ctx)
}

// chatCall is one chat request in progress, over all its attempts.
type chatCall struct {
	entry            *Entry
	request          *chatRequest
	call             service.Call
	firstTokenTarget time.Duration
	ticket           dispatch.Ticket
	job              *job
	out              sink
	stream           relay.Stream
	// text is the answer up to stream.Offset().
	text  strings.Builder
	began time.Time
	stop  *drain.Request
	// mayHaveRun says that an attempt may have run the request.
	mayHaveRun bool
	// emitted is stream.Offset(), readable by other goroutines.
	emitted atomic.Int64
}

// run makes an attempt per granted upstream until the answer is complete or the
// request is refused.
func (c *chatCall) run(ctx context.Context) error {
	e := c.entry
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A stream that the stop cuts off can be taken up at another entry, so that the
	// first token counts.
	c.stop = e.stop.Open(drain.Never, c.firstTokenTarget, cancel)
	defer c.stop.Close()
	c.job = e.dispatch.submit(c.ticket)
	for {
		select {
		case <-ctx.Done():
			e.dispatch.withdraw(c.job)
			if c.stop.Ended() {
				return drain.Error(c.mayHaveRun)
			}
			return result.New(result.Expired, result.RanUnknown, "the caller closed the connection")
		case o := <-c.job.decisions:
			switch o := o.(type) {
			case refused:
				return c.refuse(o.err)
			case granted:
				if !c.stop.Send(e.dispatch.clock()) {
					e.dispatch.withdraw(c.job)
					return drain.Error(c.mayHaveRun)
				}
				done, err := c.attempt(ctx, o.upstream)
				if done {
					e.dispatch.finish(c.job)
					return err
				}
			}
		}
	}
}

// refuse ends the request with an error. Once the stream has started, the error
// is sent as an event of it.
func (c *chatCall) refuse(err *result.Error) error {
	if c.stream.Offset() == 0 || !c.out.begun() {
		return err
	}
	err.Ran = result.RanUnknown
	c.entry.meters.failed.Inc(1)
	c.out.fail(err)
	return nil
}

// attempt runs the request on one upstream. It reports whether the request is
// done; if not, it has asked the dispatcher for another upstream.
func (c *chatCall) attempt(ctx context.Context, u upstream.Announcement) (done bool, err error) {
	e := c.entry
	number, offset := c.stream.Begin()
	if number == 1 {
		e.meters.accepted.Inc(1)
	} else {
		e.meters.resumed.Inc(1)
		e.meters.recomputed.Inc(int64(offset + c.ticket.Query.PromptTokens))
	}
	failure, moved, err := c.watchedAttempt(ctx, u, number, offset)
	c.mayHaveRun = c.mayHaveRun || failure.MayHaveRun()
	switch {
	case err != nil:
		return true, err
	case c.stream.Ended():
		e.meters.answered.Inc(1)
		return true, c.out.end(c.stream.Offset(), &u)
	case c.stop.Ended():
		return true, drain.Error(c.mayHaveRun)
	case ctx.Err() != nil:
		return true, result.New(result.Expired, result.RanUnknown, "the caller closed the connection")
	}
	klog.V(1).InfoS("attempt failed; requesting another upstream", "instance", e.options.Node.Name, "zone", e.options.Node.Zone,
		"request", c.job.ticket.ID, "upstream", u.ID, "attempt", number, "offset", c.stream.Offset(), "failure", int(failure))
	if moved {
		return false, nil
	}
	if !c.mayHaveRun {
		c.stop.Unsent()
	}
	e.dispatch.failed(c.job, failure)
	return false, nil
}

// watchedAttempt is relayFrom with a watch on the upstream's silence. moved says that the
// dispatcher has taken the request from the upstream already.
func (c *chatCall) watchedAttempt(ctx context.Context, u upstream.Announcement, number, offset int) (failure retry.Failure, moved bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := c.entry.watch(c.job, c.entry.options.Settings.ProgressTimeout, cancel)
	failure, err = c.relayFrom(ctx, watch, u, number, offset)
	fired, moved := watch.stop()
	if fired && failure == retry.Broken {
		failure = retry.Silent
	}
	return failure, moved, err
}

// relayFrom opens the upstream's stream and relays its tokens to the caller. The
// error is set if the fault lies with the caller's connection or the request
// itself; a failure of the upstream is returned as a Failure.
func (c *chatCall) relayFrom(ctx context.Context, watch *watchdog, u upstream.Announcement, number, offset int) (retry.Failure, error) {
	r, err := c.upstreamRequest(ctx, u.Address, number, offset)
	if err != nil {
		return retry.NotSent, err
	}
	trip, err := c.entry.upstreams.do(ctx, r)
	if err != nil {
		return sendFailure(trip.connected), nil
	}
	defer func() { _ = trip.response.Body.Close() }()
	if trip.response.StatusCode != http.StatusOK {
		return c.classify(trip.response)
	}
	c.abandonWhenLeaving(ctx, watch)
	events := newEventReader(trip.response.Body, watch.progress)
	for {
		chunk, err := events.next(number)
		if err != nil {
			return retry.Broken, nil
		}
		if failure, err := c.accept(chunk, &u); failure != nil || err != nil || c.stream.Ended() {
			if failure != nil {
				return *failure, err
			}
			return 0, err
		}
	}
}

// classify returns the failure of an attempt whose response isn't a stream, or the error
// for the caller. An answer that has begun isn't ended by an upstream's error.
func (c *chatCall) classify(r *http.Response) (retry.Failure, error) {
	failure, refusal := classifyStatus(r)
	switch {
	case refusal == nil:
		return failure, nil
	case c.stream.Offset() > 0:
		return retry.Broken, nil
	case c.mayHaveRun:
		refusal.Ran = result.RanUnknown
	}
	return 0, refusal
}

// accept sends a chunk to the caller unless the stream drops it. A gap in the
// stream is a failure of the upstream.
func (c *chatCall) accept(chunk relay.Chunk, u *upstream.Announcement) (*retry.Failure, error) {
	if c.text.Len()+len(chunk.Text) > maxAnswerBytes {
		return nil, result.New(result.UpstreamUnknown, result.RanUnknown, "the answer is longer than %d bytes", maxAnswerBytes)
	}
	switch c.stream.Accept(chunk) {
	case relay.Emit:
		if c.request.Stream && !c.stop.Answer() {
			return nil, drain.Error(true)
		}
		if chunk.Offset == 0 {
			c.entry.dispatch.bind(c.job, u.Release)
			c.entry.meters.firstToken.UpdateSince(c.began)
			c.entry.inTime.add(c.entry.dispatch.clock(), c.ticket.Service, c.call.Rank, time.Since(c.began) <= c.firstTokenTarget)
		}
		c.text.WriteString(chunk.Text)
		c.emitted.Store(int64(c.stream.Offset()))
		return nil, c.out.token(chunk.Offset, chunk.Text, u)
	case relay.Gap:
		broken := retry.Broken
		return &broken, nil
	case relay.Drop, relay.End:
	}
	return nil, nil
}

func (c *chatCall) upstreamRequest(ctx context.Context, address netip.AddrPort, number, offset int) (*http.Request, error) {
	body, err := c.request.upstreamBody(offset, c.text.String())
	if err != nil {
		return nil, err
	}
	// onceReader hides the reader's type from net/http, which otherwise could
	// rewind the body and send the request twice.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/chat/completions", onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(headerRequest, c.entry.options.Node.Name+"-"+strconv.FormatUint(c.job.ticket.ID, 10))
	r.Header.Set("X-Attempt", strconv.Itoa(number))
	r.Header.Set("X-Priority", strconv.Itoa(c.ticket.Rank))
	return r, nil
}
