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
	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

var noDeadline time.Time

func deadline(after time.Duration) time.Time { return time.Now().Add(after) }

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, in intake) error {
	request, err := parseChat(in.body)
	if err != nil {
		return err
	}
	accepted, ok := e.host.documentForModel(request.Model)
	if !ok {
		return result.New(result.UnknownService, result.RanNo, "no service has the model %q", request.Model)
	}
	call, ok := accepted.Document.CallByName(r.Header.Get(headerCall))
	if !ok {
		return result.New(result.UnknownCall, result.RanNo, "service %s has no call %q", accepted.Document.Name, r.Header.Get(headerCall))
	}
	query, cost := request.query()
	a := &answer{
		entry:   e,
		request: request,
		call:    call,
		target:  accepted.Document.Ranks[accepted.Document.RankIndex(call.Rank)].FirstToken,
		began:   time.Now(),
		ticket: dispatch.Ticket{
			Service:    accepted.Document.Name,
			Rank:       accepted.Document.RankIndex(call.Rank),
			Caller:     in.caller,
			Cost:       cost,
			Repeatable: call.Repeatable,
			Query:      query,

			Fingerprint: fingerprint(in.caller, accepted.Document.Name, in.body),
		},
	}
	a.out = newSink(w, request, r.Header.Get(headerLastEvent), e.options.Settings.WriteTimeout)
	return a.run(ctx)
}

// answer is one chat request under way.
type answer struct {
	entry   *Entry
	request *chatRequest
	call    service.Call
	target  time.Duration
	ticket  dispatch.Ticket
	job     *job
	out     sink
	stream  relay.Stream
	text    strings.Builder
	began   time.Time
	// emitted is the stream's offset, for goroutines beside the relay.
	emitted atomic.Int64
}

// run waits for upstreams and relays until the answer is whole.
func (a *answer) run(ctx context.Context) error {
	e := a.entry
	a.job = e.host.submit(a.ticket)
	for {
		select {
		case <-ctx.Done():
			e.host.withdraw(a.job)
			return result.New(result.Expired, result.RanUnknown, "the caller closed the connection")
		case o := <-a.job.outcomes:
			switch o := o.(type) {
			case refused:
				return a.refuse(o.err)
			case granted:
				done, err := a.attempt(ctx, o.upstream)
				if done {
					e.host.finish(a.job)
					return err
				}
			}
		}
	}
}

// refuse ends the request with an error, inside the stream if it has begun.
func (a *answer) refuse(err *result.Error) error {
	if a.stream.Offset() == 0 || !a.out.begun() {
		return err
	}
	err.Ran = result.RanUnknown
	a.entry.meters.failed.Inc(1)
	a.out.fail(err)
	return nil
}

// attempt runs the request at one upstream. It reports whether the request is
// done; if not, another upstream has been asked for.
func (a *answer) attempt(ctx context.Context, u upstream.Announcement) (done bool, err error) {
	e := a.entry
	number, offset := a.stream.Begin()
	if number == 1 {
		e.meters.accepted.Inc(1)
	} else {
		e.meters.resumed.Inc(1)
		e.meters.recomputed.Inc(int64(offset + a.ticket.Query.PromptTokens))
	}
	failure, err := a.relayFrom(ctx, u, number, offset)
	switch {
	case err != nil:
		return true, err
	case a.stream.Ended():
		e.meters.answered.Inc(1)
		return true, a.out.end(a.stream.Offset(), u.ID)
	case ctx.Err() != nil:
		return true, result.New(result.Expired, result.RanUnknown, "the caller closed the connection")
	}
	klog.V(1).InfoS("attempt ended early", "instance", e.options.Node.Name, "zone", e.options.Node.Zone,
		"request", a.job.ticket.ID, "upstream", u.ID, "attempt", number, "offset", a.stream.Offset(), "failure", int(failure))
	e.host.move(a.job, failure)
	return false, nil
}

// relayFrom opens the upstream's stream and passes its tokens on. An error is
// one of the caller's side or of the request itself; the upstream's failures
// come back as a Failure.
func (a *answer) relayFrom(ctx context.Context, u upstream.Announcement, number, offset int) (retry.Failure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := a.entry.options.Settings.ProgressTimeout
	watch := newWatchdog(silence, func() {
		a.entry.clients.dropPool(u.Address)
		cancel()
	})
	defer watch.stop()
	r, err := a.upstreamRequest(ctx, u.Address, number, offset)
	if err != nil {
		return retry.NotSent, err
	}
	x, err := a.entry.clients.do(ctx, u.Address, r, a.call.Repeatable)
	if err != nil {
		return failure(x.connected, watch.expired()), nil
	}
	defer func() { _ = x.response.Body.Close() }()
	if x.response.StatusCode != http.StatusOK {
		return upstreamStatus(x.response)
	}
	evacuated := a.watchEvacuation(ctx, cancel)
	events := newEventReader(x.response.Body, watch.progress)
	for {
		c, err := events.next(number)
		if err != nil {
			switch {
			case evacuated.Load():
				return retry.Reclaimed, nil
			case watch.expired():
				return retry.Silent, nil
			default:
				return retry.Broken, nil
			}
		}
		if failure, err := a.accept(c, u.ID); failure != nil || err != nil || a.stream.Ended() {
			if failure != nil {
				return *failure, err
			}
			return 0, err
		}
	}
}

// accept judges a chunk and passes it on.
func (a *answer) accept(c relay.Chunk, upstreamID string) (*retry.Failure, error) {
	switch a.stream.Accept(c) {
	case relay.Emit:
		if c.Offset == 0 {
			a.entry.meters.firstToken.UpdateSince(a.began)
			a.entry.targets.add(a.entry.host.clock(), a.ticket.Service, a.call.Rank, time.Since(a.began) <= a.target)
		}
		a.text.WriteString(c.Text)
		a.emitted.Store(int64(a.stream.Offset()))
		return nil, a.out.token(c.Offset, c.Text, upstreamID)
	case relay.Gap:
		broken := retry.Broken
		return &broken, nil
	case relay.Drop, relay.End:
	}
	return nil, nil
}

func (a *answer) upstreamRequest(ctx context.Context, address netip.AddrPort, number, offset int) (*http.Request, error) {
	body, err := a.request.upstreamBody(offset, a.text.String())
	if err != nil {
		return nil, err
	}
	// The reader's type is hidden, so that the library can't rewind it.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/chat/completions", onceReader{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(headerRequest, a.entry.options.Node.Name+"-"+strconv.FormatUint(a.job.ticket.ID, 10))
	r.Header.Set("X-Attempt", strconv.Itoa(number))
	r.Header.Set("X-Priority", strconv.Itoa(a.ticket.Rank))
	return r, nil
}
