package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// maxAnswer bounds a plain service's answer.
const maxAnswer = 8 << 20

// plainCost is the work of a plain call.
const plainCost = 1

// keyForUpstream carries the caller's key to the upstream. The usual name of
// the header would make the HTTP library re-send requests by itself.
const keyForUpstream = "X-Request-Key"

// hopHeaders are those that end at each hop, or that the system sets.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", headerKey, "X-" + headerKey, headerCall,
}

// plainAnswer is a plain upstream's whole answer.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
	served string
}

// plainCall is one plain request under way.
type plainCall struct {
	entry   *Entry
	call    service.Call
	ticket  dispatch.Ticket
	job     *job
	request *http.Request
	path    string
	in      intake
	timeout time.Duration
}

// plain serves /services/{service}/...
func (e *Entry) plain(ctx context.Context, w http.ResponseWriter, r *http.Request, in intake) error {
	name := r.PathValue("service")
	accepted, ok := e.host.document(name)
	if !ok || accepted.Document.Kind != service.Plain {
		return result.New(result.UnknownService, result.RanNo, "no plain service %q", name)
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
		timeout: max(d.Ranks[rank].FirstToken, e.options.Settings.ProgressTimeout),
	}
	run := p.run
	if !call.Repeatable && in.key != "" {
		run = p.runClaimed
	}
	began := time.Now()
	answer, err := run(ctx)
	if err != nil {
		return err
	}
	e.targets.add(e.host.clock(), name, call.Rank, time.Since(began) <= d.Ranks[rank].FirstToken)
	answer.write(w)
	return nil
}

func (a *plainAnswer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.Header().Set(headerServedBy, a.served)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// run has the call run at an upstream, at most once unless it is repeatable.
func (p *plainCall) run(ctx context.Context) (*plainAnswer, error) {
	e := p.entry
	p.job = e.host.submit(p.ticket)
	first, ran := true, result.RanNo
	for {
		select {
		case <-ctx.Done():
			e.host.withdraw(p.job)
			return nil, result.New(result.Expired, ran, "the caller closed the connection")
		case o := <-p.job.outcomes:
			switch o := o.(type) {
			case refused:
				return nil, o.err
			case granted:
				if first {
					e.meters.accepted.Inc(1)
				}
				first = false
				answer, failure, err := p.attempt(ctx, o.upstream)
				if answer != nil || err != nil {
					e.host.finish(p.job)
					e.meters.answered.Inc(1)
					return answer, err
				}
				if failure.MayHaveRun() {
					ran = result.RanUnknown
				}
				e.host.move(p.job, failure)
			}
		}
	}
}

// attempt sends the call to one upstream. A call that may have started goes on
// when the caller is gone, so that its outcome is known.
func (p *plainCall) attempt(ctx context.Context, u upstream.Announcement) (*plainAnswer, retry.Failure, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.timeout)
	defer cancel()
	r, err := p.upstreamRequest(ctx, u)
	if err != nil {
		return nil, retry.NotSent, err
	}
	x, err := p.entry.clients.do(ctx, u.Address, r, p.call.Repeatable)
	if err != nil {
		if ctx.Err() != nil {
			p.entry.clients.dropPool(u.Address)
		}
		return nil, failure(x.connected, ctx.Err() != nil), nil
	}
	defer func() { _ = x.response.Body.Close() }()
	if x.response.Header.Get(ranHeader) == string(result.RanNo) {
		return nil, retry.Refused, nil
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return nil, retry.Broken, nil
	}
	header := x.response.Header.Clone()
	for _, h := range hopHeaders {
		header.Del(h)
	}
	return &plainAnswer{status: x.response.StatusCode, header: header, body: body, served: u.ID}, 0, nil
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
	for _, h := range hopHeaders {
		r.Header.Del(h)
	}
	r.Header.Set(headerCaller, p.in.caller)
	r.Header.Set(headerRequest, p.entry.options.Node.Name+"-"+strconv.FormatUint(p.job.ticket.ID, 10))
	if p.in.key != "" {
		r.Header.Set(keyForUpstream, p.in.key)
	}
	return r, nil
}
