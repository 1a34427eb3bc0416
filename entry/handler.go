package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Headers of callers' requests and of the responses to them.
const (
	headerCaller    = "X-Caller"
	headerCall      = "X-Call"
	headerKey       = "Idempotency-Key"
	headerRequest   = "X-Request-Id"
	headerLastEvent = "Last-Event-ID"
	headerServedBy  = "X-Served-By"
)

// anonymous names the caller of a request without headerCaller.
const anonymous = "anonymous"

// maxAnnouncementBytes limits the body of an upstream's announcement.
const maxAnnouncementBytes = 64 << 10

const maxKeyBytes = 128

// callerRequest is a caller's request that has passed the checks common to all
// requests. key is its idempotency key.
type callerRequest struct {
	caller string
	key    string
	body   []byte
	// unread says that the request has a body of which nothing was read.
	unread bool
}

// requestHandler serves one request. An error that it returns is written as
// problem+json.
type requestHandler func(ctx context.Context, w http.ResponseWriter, r *http.Request, in callerRequest) error

// serve wraps a handler with the checks common to all requests and with the
// writing of errors.
func (e *Entry) serve(handle requestHandler) http.HandlerFunc {
	return func(response http.ResponseWriter, r *http.Request) {
		w, in := &callerWriter{ResponseWriter: response}, callerRequest{}
		defer e.answerPanic(w, &in)
		if e.draining.Load() {
			// A new connection of the caller leads to another entry.
			w.Header().Set("Connection", "close")
		}
		err := e.readRequest(w, r, &in)
		if err == nil {
			defer e.openRequests.end(in.caller)
			err = handle(r.Context(), w, r, in)
		}
		if err == nil {
			return
		}
		if w.begun {
			// An error behind half an answer would end it in order.
			e.meters.failed.Inc(1)
			klog.InfoS("response cut off; closing the connection", "instance", e.options.Node.Name, "caller", in.caller, "err", err)
			panic(http.ErrAbortHandler)
		}
		e.problem(w, in, err)
	}
}

func (e *Entry) readRequest(w *callerWriter, r *http.Request, in *callerRequest) error {
	*in = callerRequest{caller: r.Header.Get(headerCaller), key: r.Header.Get(headerKey), unread: r.ContentLength != 0}
	if in.caller == "" {
		in.caller = anonymous
	}
	if !service.ValidName(in.caller) || len(in.key) > maxKeyBytes {
		return result.New(result.BadRequest, result.RanNo, "header %s or %s is invalid", headerCaller, headerKey)
	}
	if !e.options.Gossip.Ready(r.Context()) {
		return result.New(result.NotReady, result.RanNo, "this entry hasn't received its documents yet").WithRetry(drainDelay)
	}
	// Requests name no time by which they fail, so that all may outlast a stop.
	if e.stop.TooLate(e.dispatch.clock(), drain.Never) {
		return drain.Error(false)
	}
	in.unread = false
	body, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	if e.stop.TooLate(e.dispatch.clock(), drain.Never) {
		return drain.Error(false)
	}
	in.body = body
	if !e.openRequests.begin(in.caller) {
		return result.New(result.CallerStreams, result.RanNo, "%d requests of caller %s are open, which is the limit", e.openRequests.perCallerLimit, in.caller).WithRetry(drainDelay)
	}
	return nil
}

func (e *Entry) readBody(w *callerWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline(readBodyTimeout))
	open := e.stop.Open(drain.Never, drain.Never, func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w.ResponseWriter, r.Body, int64(e.options.Settings.MaxBodyBytes)))
	open.Close()
	if open.Ended() {
		return nil, drain.Error(false)
	}
	if err != nil {
		// The read deadline stays, so that net/http doesn't wait for the rest of the body.
		w.Header().Set("Connection", "close")
	} else {
		_ = control.SetReadDeadline(noDeadline)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, result.RanNo, "the request body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.New(result.BadRequest, result.RanNo, "read the request body: %v", err)
	}
	return body, nil
}

// problem writes an error as problem+json and counts it.
func (e *Entry) problem(w http.ResponseWriter, in callerRequest, err error) {
	p := result.From(err)
	if p.Code == result.Draining {
		w.Header().Set("Connection", "close")
	}
	if p.Ran == result.RanNo {
		e.meters.refused.Inc(1)
	} else {
		e.meters.failed.Inc(1)
	}
	klog.V(1).InfoS("request failed", "instance", e.options.Node.Name, "caller", in.caller, "code", int(p.Code), "ran", p.Ran, "detail", p.Detail)
	control, writeTimeout := http.NewResponseController(w), e.options.Settings.WriteTimeout
	if in.unread {
		// net/http reads the rest of a body before it answers, without a limit of time.
		_ = control.SetReadDeadline(deadline(unreadBodyTimeout))
		writeTimeout += unreadBodyTimeout
	}
	_ = control.SetWriteDeadline(deadline(writeTimeout))
	problem.Write(w, p)
}

// replicationTimeout bounds the wait for another node to record that an upstream leaves.
const replicationTimeout = 300 * time.Millisecond

// announce publishes an upstream's announcement by gossip. That the upstream leaves is
// acknowledged once another node has recorded it.
func (e *Entry) announce(w http.ResponseWriter, r *http.Request) {
	var a upstream.Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		problem.Write(w, result.New(result.BadRequest, result.RanNo, "%v", err))
		return
	}
	if !a.Leaving {
		e.options.Gossip.Publish(a.Record())
	} else {
		ctx, cancel := context.WithTimeout(r.Context(), replicationTimeout)
		defer cancel()
		if !e.options.Gossip.Replicate(ctx, a.Record()) {
			klog.InfoS("departure not recorded", "instance", e.options.Node.Name, "upstream", a.ID, "incarnation", a.Incarnation)
			problem.Write(w, result.New(result.NoQuorum, result.RanNo, "no other node recorded that upstream %q leaves", a.ID).WithRetry(time.Second))
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
