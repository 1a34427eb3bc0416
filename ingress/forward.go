package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// delivery is the forwarding of one request.
type delivery struct {
	in      *Ingress
	r       *request
	w       http.ResponseWriter
	ticket  uint64
	actions <-chan fleet.Action
	// events tracks a stream across attempts.
	events events
	// headSent says that the caller has the status and headers, counted that
	// the request counts as begun in usage.
	headSent, counted bool
	// window is the usage window in which the request was counted, and begun
	// when that was.
	window uint64
	begun  clock.Instant
	// mayHaveRun says that an earlier attempt may have run the request.
	mayHaveRun bool
	// stalled says that the attempt was ended since its upstream fell silent.
	stalled atomic.Bool
}

// copyBuffer is the size of one read of an answer.
const copyBuffer = 8 << 10

// outcome is how one attempt ended.
type outcome struct {
	done    bool
	failure retry.Failure
	// answer is the upstream's own failure, which goes to the caller if there
	// is no other attempt.
	answer *exchange.Response
	cause  error
}

// forward sends an accepted request to upstreams until it is answered.
func (in *Ingress) forward(w http.ResponseWriter, h *http.Request, r *request) {
	ctx, cancel := context.WithTimeout(h.Context(), r.deadline-in.options.Clock())
	defer cancel()
	controller := http.NewResponseController(w)
	// A caller that takes no bytes holds the entry no longer than its time.
	_ = controller.SetWriteDeadline(time.Now().Add(r.deadline - in.options.Clock() + time.Second))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()

	d := &delivery{in: in, r: r, w: w}
	d.events.begin(r.LastEvent, r.Resumes)
	d.ticket, d.actions = in.desk.submit(r.ticket())
	defer in.desk.leave(d.ticket)
	var last outcome
	for {
		select {
		case a := <-d.actions:
			switch a := a.(type) {
			case fleet.Refuse:
				d.giveUp(last, a.Err)
				return
			case fleet.Grant:
				if last.answer != nil {
					last.answer.Close()
				}
				last = d.attempt(ctx, a)
				if last.done {
					return
				}
				d.mayHaveRun = d.mayHaveRun || last.failure.MayHaveRun()
				if ctx.Err() == nil {
					in.meters.failed(last.failure)
					in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Failed(now, d.ticket, last.failure) })
					continue
				}
			}
		case <-ctx.Done():
		}
		if last.answer != nil {
			last.answer.Close()
			last.answer = nil
		}
		d.expired(h.Context())
		return
	}
}

// expired ends a request whose caller is gone or whose time is over.
func (d *delivery) expired(caller context.Context) {
	if caller.Err() != nil {
		klog.InfoS("caller gone", "request", d.r.ID, "route", d.r.routeName(), "held", d.in.options.Clock()-d.r.arrived)
		panic(http.ErrAbortHandler)
	}
	d.giveUp(outcome{}, result.New(result.TimedOut, result.RanUnknown, "the time for the request is over"))
}

// giveUp answers a request that no upstream answered.
func (d *delivery) giveUp(last outcome, err *result.Error) {
	if last.answer != nil {
		// The upstream's own failure says more than ours.
		defer last.answer.Close()
		if d.headSent {
			panic(http.ErrAbortHandler)
		}
		if d.copyWhole(last.answer) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	if d.headSent {
		klog.InfoS("answer cut off", "request", d.r.ID, "route", d.r.routeName(), "events", d.events.passed, "code", int(err.Code), "detail", err.Detail)
		panic(http.ErrAbortHandler)
	}
	d.in.refuse(d.w, d.r, err)
}

// withheld is the answer to a request that isn't sent since its key may have
// been taken away. It says "not run" only if no attempt may have run it.
func (d *delivery) withheld() *result.Error {
	if d.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost, and the configuration can't be confirmed any more")
	}
	return result.From(d.in.unconfirmed())
}

// attempt sends the request to one upstream and relays its answer.
func (d *delivery) attempt(whole context.Context, g fleet.Grant) (o outcome) {
	in, r := d.in, d.r
	began := in.options.Clock()
	defer func() {
		failure := "none"
		switch {
		case o.done:
		case whole.Err() != nil:
			// Not the upstream's failure: the caller left, or the time is over.
			failure = "abandoned"
		default:
			failure = o.failure.String()
		}
		klog.InfoS("attempt", "request", r.ID, "route", r.routeName(), "service", r.service, "organisation", r.organisation(),
			"revision", r.revision, "confirmed", in.link.Age(), "upstream", g.Upstream.ID, "address", g.Upstream.Address, "zone", g.Upstream.Zone, "number", g.Attempt,
			"waited", began-r.arrived, "expected", g.Waits, "cached", g.Cached, "prompt", r.PromptTokens, "took", in.options.Clock()-began,
			"done", o.done, "failure", failure, "events", d.events.passed, "window", d.window, "begun", d.begunAfter(began), "err", o.cause)
	}()
	if r.org != nil && !in.fresh() {
		// The instance may have been suspended since the first look.
		d.giveUp(outcome{}, d.withheld())
		return outcome{done: true}
	}
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	if r.route.Repeatable() {
		go d.watch(ctx, cancel)
	}
	last, resumes := d.events.position()
	response, err := in.client.Do(ctx, g.Upstream.Address, &exchange.Request{
		Method: r.method, Target: r.target, Host: r.host, Body: r.body, HasBody: r.hasBody,
		Header: platform.EncodeForward(r.header, platform.Forward{
			Upstream: g.Upstream.ID, Organisation: r.organisation(), Left: r.deadline - in.options.Clock(),
			LastEvent: last, Resumes: resumes, Rank: r.rank, Ranked: r.route.ByPrefix,
		}),
		Belongs: func(h *http.Response) bool {
			a := platform.DecodeAnswer(h.StatusCode, h.Header)
			return a.RequestID == r.ID || (a.RequestID == "" && a.NotRun)
		},
	})
	defer func() {
		if !o.done && d.stalled.Load() {
			o.failure = retry.Silent
		}
	}()
	if err != nil {
		failure := retry.NotSent
		var e *exchange.Error
		if errors.As(err, &e) && e.Sent {
			failure = retry.Broken
			if !r.streams() {
				// A plain request runs from its arrival on.
				d.countOnce()
			}
		}
		in.client.Drop(g.Upstream.Address)
		return outcome{failure: failure, cause: err}
	}
	answer := platform.DecodeAnswer(response.StatusCode, response.Header)
	switch {
	case answer.NotRun:
		// Nothing of a refusal is needed but that the connection goes on.
		_, _ = io.Copy(io.Discard, io.LimitReader(response, copyBuffer))
		response.Close()
		return outcome{failure: retry.Refused, cause: errors.Errorf("status %d, not run", response.StatusCode)}
	case response.StatusCode >= http.StatusInternalServerError:
		d.countOnce()
		return outcome{failure: retry.Errored, answer: response, cause: errors.Errorf("status %d", response.StatusCode)}
	case response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices && !answer.Signed:
		response.Close()
		return outcome{failure: retry.Broken, cause: errors.Errorf("status %d without a signature", response.StatusCode)}
	}
	defer response.Close()
	if d.r.streams() && response.StatusCode < http.StatusMultipleChoices {
		// The head may come before the request begins to run.
		return d.stream(response)
	}
	d.progress()
	return d.plain(response)
}

// stallPatience is how long an upstream may send nothing to anyone before a
// request that may be repeated is taken elsewhere: twice the longest pause
// between events that published deployments allow.
const (
	stallPatience = time.Second
	stallInterval = 100 * time.Millisecond
)

// watch ends the attempt when its upstream has fallen silent.
func (d *delivery) watch(ctx context.Context, cancel context.CancelFunc) {
	d.stalled.Store(false)
	t := time.NewTicker(stallInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if d.in.desk.stalled(d.ticket, stallPatience) {
				d.stalled.Store(true)
				cancel()
				return
			}
		}
	}
}

// progress notes that the upstream sent something.
func (d *delivery) progress() {
	d.in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Progress(now, d.ticket) })
	if !d.counted {
		d.in.meters.began(d.in.options.Clock() - d.r.arrived)
	}
	d.countOnce()
}

// countOnce adds the request to its organisation's usage.
func (d *delivery) countOnce() {
	if !d.counted {
		d.counted = true
		d.window, d.begun = d.in.count(d.r), d.in.options.Clock()
	}
}

// begunAfter is how long after the instant the request was counted, or 0.
func (d *delivery) begunAfter(at clock.Instant) time.Duration {
	if d.begun == 0 {
		return 0
	}
	return d.begun - at
}

// finish ends the ticket.
func (d *delivery) finish(success, inTime bool) {
	d.in.meters.answered.Inc(1)
	d.in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		return f.Finish(now, d.ticket, success, inTime)
	})
}

// plain relays an answer that isn't a stream. It is read whole first, so that
// a broken one can be replaced by that of another attempt.
func (d *delivery) plain(response *exchange.Response) outcome {
	const most = 1 << 20
	body, err := io.ReadAll(io.LimitReader(response, most+1))
	if err != nil {
		return outcome{failure: retry.Broken, cause: err}
	}
	d.head(response)
	if len(body) <= most {
		d.w.Header().Set("Content-Length", itoa(len(body)))
	}
	d.w.WriteHeader(response.StatusCode)
	if _, err := d.w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(body) > most {
		if _, err := io.Copy(d.w, response); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	d.finish(response.StatusCode < http.StatusInternalServerError, d.in.options.Clock()-d.r.arrived <= d.r.route.Target)
	return outcome{done: true}
}

// copyWhole passes on the upstream's own failure.
func (d *delivery) copyWhole(response *exchange.Response) error {
	d.head(response)
	d.w.WriteHeader(response.StatusCode)
	_, err := io.Copy(d.w, response)
	klog.InfoS("upstream's failure passed on", "request", d.r.ID, "route", d.r.routeName(), "status", response.StatusCode, "err", err)
	return err
}

// head copies the answer's headers for the caller.
func (d *delivery) head(response *exchange.Response) {
	h := d.w.Header()
	closing := h.Get("Connection")
	platform.CopyAnswer(h, response.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps the library from guessing one.
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	d.headSent = true
}
