package entry

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

// callerWriter remembers whether the answer has begun.
type callerWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *callerWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController find the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic, deferred, answers a request whose handler panics. If an answer has begun,
// the caller's connection is closed. http.ErrAbortHandler goes on to net/http.
func (e *Entry) answerPanic(w *callerWriter, in *callerRequest) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	e.meters.panics.Inc(1)
	klog.ErrorS(errors.Errorf("%v", p), "handler panicked", "instance", e.options.Node.Name, "caller", in.caller, "answerBegun", w.begun, "stack", logs.OneLine(debug.Stack(), maxStackBytes))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	// They were to be the head of another answer.
	clear(w.Header())
	w.Header().Set("Connection", "close")
	e.problem(w, *in, result.New(result.Internal, result.RanUnknown, "the entry failed to handle the request"))
}
