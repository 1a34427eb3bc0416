package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// maxResponseBytes limits the body of a plain service's response, and maxResponsesBytes those of
// all open requests together, which wait for responsesWait for the memory of others. Each is
// read whole, so that a broken one can be replaced.
const (
	maxResponseBytes  = 8 << 20
	maxResponsesBytes = 16 << 20
	responsesWait     = time.Second
)

// plainCost is the work of a plain call, which has no tokens to count.
const plainCost = 1

// headerUpstreamKey passes the caller's idempotency key to the upstream. With the
// usual name Idempotency-Key, net/http would re-send requests by itself.
const headerUpstreamKey = "X-Request-Key"

// strippedHeaders aren't forwarded, neither in requests nor in responses:
// hop-by-hop headers, headers that are meant for the entry, and Content-Length,
// which the entry sets itself.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", headerKey, "X-" + headerKey, headerCall, headerRan,
}

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status   int
	header   http.Header
	body     []byte
	servedBy string
	// release returns the memory of the body; nil if it isn't shared.
	release func()
}

// plainCall is one request to a plain service in progress.
type plainCall struct {
	entry   *Entry
	call    service.Call
	ticket  dispatch.Ticket
	job     *job
	request *http.Request
	path    string
	in      callerRequest
	// target is the time within which the answer should come, and timeout bounds an
	// attempt.
	target, timeout time.Duration
}

// plain serves /services/{service}/{path}.
func (e *Entry) plain(ctx context.Context, w http.ResponseWriter, r *http.Request, in callerRequest) error {
	name := r.PathValue("service")
	accepted, ok := e.dispatch.document(name)
	if !ok || accepted.Document.Kind != service.Plain {
		return result.New(result.UnknownService, result.RanNo, "there is no plain service %q", name)
	}
	d := &accepted.Document
	path := "/" + r.PathValue("path")
	call, ok := d.CallFor(r.Method, path)
	if !ok {
		return result.New(result.UnknownCall, result.RanNo, "service %s has no call for %s %s", name, r.Method, path)
	}
	if d.RequireKeys && !call.Repeatable && in.key == "" {
		return result.New(result.KeyRequired, result.RanNo, "call %s of service %s needs the header %s", call.Name, name, headerKey)
	}
	rank := d.RankIndex(call.Rank)
	p := &plainCall{
		entry: e,
		call:  call,
		ticket: dispatch.Ticket{
			Service:    name,
			Rank:       rank,
			Caller:     in.caller,
			Cost:       plainCost,
			Repeatable: call.Repeatable,

			Fingerprint: fingerprint(in.caller, name+r.Method+path+r.URL.RawQuery, in.body),
		},
		request: r,
		path:    path,
		in:      in,
		target:  d.Ranks[rank].FirstToken,
		timeout: max(d.Ranks[rank].FirstToken, e.options.Settings.ProgressTimeout),
	}
	run := p.run
	if !call.Repeatable && in.key != "" {
		run = p.runClaimed
	}
	began := time.Now()
	response, err := run(ctx)
	if err != nil {
		return err
	}
	if response.release != nil {
		defer response.release()
	}
	e.inTime.add(e.dispatch.clock(), name, call.Rank, time.Since(began) <= d.Ranks[rank].FirstToken)
	return response.write(w, e.options.Settings.WriteTimeout)
}

func (a *plainResponse) write(w http.ResponseWriter, timeout time.Duration) error {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set(headerServedBy, a.servedBy)
	if len(a.body) > 0 {
		setLength(w, a.body)
	}
	w.WriteHeader(a.status)
	return writeBody(w, a.body, timeout)
}

// setLength names the length of an answer, without which half of it looks whole to callers that
// know no chunks.
func setLength(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
}

// writeBytes is how much of an answer one write takes.
const writeBytes = 64 << 10

// writeBody sends a whole answer to a caller that reads on within the timeout of each write.
func writeBody(w http.ResponseWriter, body []byte, timeout time.Duration) error {
	control := http.NewResponseController(w)
	for first := true; first || len(body) > 0; first = false {
		_ = control.SetWriteDeadline(deadline(timeout))
		n := min(len(body), writeBytes)
		if _, err := w.Write(body[:n]); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			return result.New(result.Expired, result.RanUnknown, "sending to the caller failed: %v", err)
		}
		body = body[n:]
	}
	return nil
}

// run sends the call to upstreams until one has responded. A call that isn't
// repeatable runs at most once.
func (p *plainCall) run(ctx context.Context) (*plainResponse, error) {
	e := p.entry
	// The stop of the entry ends an attempt, as the process ends; the caller that
	// disconnects doesn't.
	stopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	open := e.stop.Open(drain.Never, p.target, cancel)
	defer open.Close()
	p.job = e.dispatch.submit(p.ticket)
	first, ran := true, result.RanNo
	for {
		select {
		case <-stopCtx.Done():
			e.dispatch.withdraw(p.job)
			return nil, drain.Error(ran != result.RanNo)
		case <-ctx.Done():
			e.dispatch.withdraw(p.job)
			return nil, result.New(result.Expired, ran, "the caller closed the connection")
		case o := <-p.job.decisions:
			switch o := o.(type) {
			case refused:
				return nil, o.err
			case granted:
				if first {
					e.meters.accepted.Inc(1)
				}
				first = false
				if !open.Send(e.dispatch.clock()) {
					e.dispatch.withdraw(p.job)
					return nil, drain.Error(ran != result.RanNo)
				}
				response, failure, moved, err := p.watchedAttempt(stopCtx, o.upstream)
				if response != nil || err != nil {
					e.dispatch.finish(p.job)
					e.meters.answered.Inc(1)
					return response, err
				}
				if failure.MayHaveRun() {
					ran = result.RanUnknown
				}
				if open.Ended() {
					// The upstream hasn't failed.
					e.dispatch.withdraw(p.job)
					return nil, drain.Error(ran != result.RanNo)
				}
				if ran == result.RanNo {
					open.Unsent()
				}
				if !moved {
					e.dispatch.failed(p.job, failure)
				}
			}
		}
	}
}

// watchedAttempt is attempt with a watch on the upstream's silence. Its context is that of the
// entry's stop, so that it goes on when the caller disconnects and the outcome of a call that
// has started becomes known. moved says that the dispatcher has granted another upstream in
// its place.
func (p *plainCall) watchedAttempt(ctx context.Context, u upstream.Announcement) (response *plainResponse, failure retry.Failure, moved bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := p.entry.watch(p.job, p.timeout, cancel)
	response, failure, err = p.attempt(ctx, u)
	fired, moved := watch.stop()
	if fired && failure == retry.Broken {
		failure = retry.Silent
	}
	return response, failure, moved, err
}

// attempt sends the call to one upstream.
func (p *plainCall) attempt(ctx context.Context, u upstream.Announcement) (*plainResponse, retry.Failure, error) {
	r, err := p.upstreamRequest(ctx, u)
	if err != nil {
		return nil, retry.NotSent, err
	}
	x, err := p.entry.upstreams.do(ctx, r)
	if err != nil {
		return nil, sendFailure(x.connected), nil
	}
	defer func() { _ = x.response.Body.Close() }()
	if statesNotRun(x.response) {
		return nil, retry.Refused, nil
	}
	answer, err := p.entry.responses.Read(ctx, x.response.Body, maxResponseBytes)
	if err != nil {
		return nil, retry.Broken, nil
	}
	if !answer.Whole {
		klog.InfoS("upstream's response is too long, or the responses of all requests are", "instance", p.entry.options.Node.Name, "request", p.job.ticket.ID, "upstream", u.ID, "bytes", len(answer.Bytes))
		answer.Release()
		return nil, retry.Broken, nil
	}
	header := x.response.Header.Clone()
	for _, h := range strippedHeaders {
		header.Del(h)
	}
	return &plainResponse{status: x.response.StatusCode, header: header, body: answer.Bytes, servedBy: u.ID, release: answer.Release}, 0, nil
}

func (p *plainCall) upstreamRequest(ctx context.Context, u upstream.Announcement) (*http.Request, error) {
	url := "http://" + u.Address.String() + p.path
	if q := p.request.URL.RawQuery; q != "" {
		url += "?" + q
	}
	r, err := http.NewRequestWithContext(ctx, p.request.Method, url, onceReader{bytes.NewReader(p.in.body)})
	if err != nil {
		return nil, err
	}
	if len(p.in.body) == 0 {
		r.Body = http.NoBody
	}
	r.ContentLength = int64(len(p.in.body))
	r.Header = p.request.Header.Clone()
	for _, h := range strippedHeaders {
		r.Header.Del(h)
	}
	r.Header.Set(headerCaller, p.in.caller)
	r.Header.Set(headerRequest, p.entry.options.Node.Name+"-"+strconv.FormatUint(p.job.ticket.ID, 10))
	if p.in.key != "" {
		r.Header.Set(headerUpstreamKey, p.in.key)
	}
	return r, nil
}
