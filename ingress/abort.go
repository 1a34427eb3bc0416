package ingress

import (
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// abort ends an answer that has begun and broken off.
func (d *forwarding) abort() { abort(d.w, d.chunks, d.r) }

// abort ends the answer to r by an end of the caller's connection that doesn't look like
// that of a whole answer. chunks says that the caller knows chunks.
func abort(w http.ResponseWriter, chunks bool, r *request) {
	if !chunks {
		// A close would end the body.
		if err := reset(w); err != nil {
			klog.InfoS("caller's connection can't be reset, and is closed", "request", r.ID, "route", r.routeName(), "err", err)
		}
	}
	panic(http.ErrAbortHandler)
}

// abortUnwritten ends an answer that the caller's connection didn't take.
func (d *forwarding) abortUnwritten(err error) {
	d.in.notWritten(d.r.ID, err)
	panic(http.ErrAbortHandler)
}

// notWritten records that an answer, or its end, didn't reach the caller's connection.
func (in *Ingress) notWritten(request string, err error) {
	klog.InfoS("answer not written; closing the connection", "request", request, "cause", endUnwritten, "err", err)
	in.meters.ended(endUnwritten)
}

// lingerer is a connection whose Close can be made a reset.
type lingerer interface{ SetLinger(seconds int) error }

// reset resets the connection of an answer.
func reset(w http.ResponseWriter) error {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	l, ok := c.(lingerer)
	if !ok {
		return errors.Errorf("%T has no reset", c)
	}
	return l.SetLinger(0)
}
