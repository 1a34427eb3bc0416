package ingress

import (
	"net/http"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/logs"
	"github.com/hyssopladder/hyssopladder/result"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 8 << 10

// answerPanic, deferred, answers a request whose handler panics. If an answer has begun,
// the caller's connection is closed. http.ErrAbortHandler goes on to net/http.
func (in *Ingress) answerPanic(w http.ResponseWriter, httpRequest *http.Request, r *request) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	in.meters.panics.Inc(1)
	klog.ErrorS(errors.Errorf("%v", p), "handler panicked", "request", r.ID, "route", r.routeName(), "answerBegun", r.headSent, "sent", r.sent,
		"stack", logs.OneLine(debug.Stack(), maxStackBytes))
	if r.headSent {
		klog.InfoS("response cut off; closing the connection", "request", r.ID, "route", r.routeName(), "cause", endPanicked)
		in.meters.ended(endPanicked)
		abort(w, httpRequest.ProtoAtLeast(1, 1), r)
	}
	// They were to be the head of another answer.
	clear(w.Header())
	w.Header().Set("Connection", "close")
	ran := result.RanNo
	if r.sent {
		ran = result.RanUnknown
	}
	in.refuse(w, r, result.New(result.Internal, ran, "the entry failed to handle the request"))
}
