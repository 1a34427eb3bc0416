package ingress

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/retry"
)

// relay relays a response to the caller.
func (d *forwarding) relay(response *exchange.Response) outcome {
	defer response.Close()
	if d.r.streams(response) {
		// The request is counted at the first bytes of the body: an upstream
		// may send the headers before it begins to run the request.
		return d.relayStream(response)
	}
	d.recordProgress()
	d.recordFirstBytes()
	return d.relayWhole(response)
}

// streams reports whether the response is a stream of events.
func (r *request) streams(response *exchange.Response) bool {
	return r.isStream() && response.StatusCode < http.StatusMultipleChoices
}

// relayWhole relays a response that isn't a stream. It reads up to
// maxBufferedBytes before it sends any, so that another attempt can replace a
// broken one.
func (d *forwarding) relayWhole(response *exchange.Response) outcome {
	if err := d.copyResponse(response); err != nil {
		return outcome{failure: retry.Broken, cause: err}
	}
	d.finish(response.StatusCode < http.StatusInternalServerError, d.in.options.Clock()-d.r.arrived <= d.r.route.Target)
	return outcome{done: true}
}

// copyResponse sends a response to the caller. It reads up to maxBufferedBytes before it
// sends any, and returns an error if the response broke off before that.
func (d *forwarding) copyResponse(response *exchange.Response) error {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		return err
	}
	if !d.stop.Answer() && len(body) > maxBufferedBytes {
		// A whole answer is delivered all the same.
		return errStopping
	}
	if !d.claim(response) {
		return errReplaced
	}
	// The entry may have stood still since the deadline.
	d.in.allowWrites(d.w, d.r.deadline)
	d.copyHeaders(response)
	if len(body) <= maxBufferedBytes && d.r.method != http.MethodHead {
		d.w.Header().Set("Content-Length", itoa(len(body)))
	}
	d.writeHead(response.StatusCode)
	if _, err := d.w.Write(body); err != nil {
		d.abortUnwritten(err)
	}
	if len(body) > maxBufferedBytes {
		d.relayRest(response, maxResponseBytes-len(body))
	}
	return nil
}

// relayRest relays what follows the bytes that were sent already. If that breaks
// off or is longer than limit, in bytes, the caller's connection is closed, since
// the answer must not look complete.
func (d *forwarding) relayRest(response *exchange.Response, limit int) {
	to := &callerWriter{Writer: d.w}
	n, err := io.CopyN(to, response, int64(limit)+1)
	if to.err != nil {
		d.abortUnwritten(to.err)
	}
	if errors.Is(err, io.EOF) && n <= int64(limit) {
		return
	}
	klog.InfoS("response cut off; closing the connection", "request", d.r.ID, "route", d.r.routeName(), "cause", endCutOff, "bytes", n, "limit", limit, "err", err)
	d.in.meters.ended(endCutOff)
	d.finish(false, false)
	d.abort()
}

// callerWriter remembers the error of a failed write, to tell it from an upstream's.
type callerWriter struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// copyErrorResponse sends the upstream's error response to the caller.
func (d *forwarding) copyErrorResponse(response *exchange.Response) error {
	err := d.copyResponse(response)
	klog.InfoS("upstream's error response sent to the caller", "request", d.r.ID, "route", d.r.routeName(), "status", response.StatusCode, "err", err)
	return err
}

// writeHead sends the head of the answer to the caller.
func (d *forwarding) writeHead(status int) {
	d.w.WriteHeader(status)
	d.r.headSent = true
}

// continues reports whether the response can go on with the stream whose head the caller
// has, if it has one.
func (d *forwarding) continues(response *exchange.Response) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.continuesLocked(response)
}

// continuesLocked is continues for callers that hold mu.
func (d *forwarding) continuesLocked(response *exchange.Response) bool {
	return !d.headSent || response.StatusCode == d.status && mediaType(response) == d.mediaType
}

// mediaType is the content type without its parameters.
func mediaType(response *exchange.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// copyHeaders copies the response's headers to those of the caller's response.
func (d *forwarding) copyHeaders(response *exchange.Response) {
	h := d.w.Header()
	connectionHeader := h.Get("Connection")
	if d.in.stopping.Load() {
		connectionHeader = "close"
	}
	platform.CopyResponseHeaders(h, response.Header)
	if connectionHeader != "" {
		h.Set("Connection", connectionHeader)
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from setting the header itself.
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}
