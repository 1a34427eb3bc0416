package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Headers of callers.
const (
	headerCaller    = "X-Caller"
	headerCall      = "X-Call"
	headerKey       = "Idempotency-Key"
	headerRequest   = "X-Request-Id"
	headerLastEvent = "Last-Event-ID"
	headerServedBy  = "X-Served-By"
)

// anonymous is the caller of requests without a caller's name.
const anonymous = "anonymous"

// maxAnnouncement bounds the body of an announcement.
const maxAnnouncement = 64 << 10

// maxKey bounds an idempotency key.
const maxKey = 128

// intake is a caller's request after its first checks.
type intake struct {
	caller string
	key    string
	body   []byte
}

// served answers one request; an error it returns is written as a problem.
type served func(ctx context.Context, w http.ResponseWriter, r *http.Request, in intake) error

// serve checks what is common to all requests and writes errors.
func (e *Entry) serve(f served) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, err := e.takeIn(w, r)
		if err == nil {
			defer e.streams.end(in.caller)
			err = f(r.Context(), w, r, in)
		}
		if err != nil {
			e.problem(w, in, err)
		}
	}
}

func (e *Entry) takeIn(w http.ResponseWriter, r *http.Request) (intake, error) {
	in := intake{caller: r.Header.Get(headerCaller), key: r.Header.Get(headerKey)}
	if in.caller == "" {
		in.caller = anonymous
	}
	if !service.ValidName(in.caller) || len(in.key) > maxKey {
		return in, result.New(result.BadRequest, result.RanNo, "%s or %s: not valid", headerCaller, headerKey)
	}
	if !e.options.Gossip.Ready(r.Context()) {
		return in, result.New(result.NotReady, result.RanNo, "this entry has no documents yet").WithRetry(drainNotice)
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return in, err
	}
	in.body = body
	if !e.streams.begin(in.caller) {
		return in, result.New(result.CallerStreams, result.RanNo, "%d requests of %s are open", e.streams.limit, in.caller).WithRetry(drainNotice)
	}
	return in, nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.options.Settings.MaxBodyBytes)))
	_ = control.SetReadDeadline(noDeadline)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, result.RanNo, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.New(result.BadRequest, result.RanNo, "body: %v", err)
	}
	return body, nil
}

// problem writes an error as problem+json.
func (e *Entry) problem(w http.ResponseWriter, in intake, err error) {
	p := result.From(err)
	if p.Ran == result.RanNo {
		e.meters.refusedCount.Inc(1)
	} else {
		e.meters.failed.Inc(1)
	}
	klog.V(1).InfoS("request failed", "instance", e.options.Node.Name, "caller", in.caller, "code", int(p.Code), "ran", p.Ran, "detail", p.Detail)
	problem.Write(w, p)
}

// announce takes in an upstream's announcement and spreads it.
func (e *Entry) announce(w http.ResponseWriter, r *http.Request) {
	var a upstream.Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		problem.Write(w, result.New(result.BadRequest, result.RanNo, "%v", err))
		return
	}
	e.options.Gossip.Publish(a.Record())
	w.WriteHeader(http.StatusNoContent)
}
