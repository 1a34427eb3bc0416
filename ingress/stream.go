package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/retry"
)

func itoa(n int) string { return strconv.Itoa(n) }

// streams reports whether answers of the route are event streams.
func (r *request) streams() bool { return r.route.Kind == config.Streaming }

// events follows the events of one stream across attempts: each is passed on
// once, whole and in order.
type events struct {
	// last is the number of the last event, if known is set.
	last  uint64
	known bool
	// passed counts the events that were passed on.
	passed int
}

func (e *events) begin(last uint64, known bool) { e.last, e.known = last, known }

// position is the event after which a run goes on, if any was passed on.
func (e *events) position() (last uint64, known bool) { return e.last, e.known }

// errGap reports an event that doesn't follow the one before it.
var errGap = errors.New("an event is missing")

// accept judges an event: pass it on, or drop it as one that was passed on by
// an earlier attempt.
func (e *events) accept(event []byte) (pass bool, err error) {
	id, ok := eventID(event)
	switch {
	case !ok:
		return true, nil
	case e.known && id <= e.last:
		return false, nil
	case e.known && id != e.last+1:
		return false, errGap
	}
	e.last, e.known = id, true
	e.passed++
	return true, nil
}

// eventID reads the id field of an event.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// splitEvent returns the length of the first whole event with the empty line
// after it, or 0.
func splitEvent(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	default:
		return lf + len("\n\n")
	}
}

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// stream relays the events of one attempt.
func (d *delivery) stream(response *exchange.Response) outcome {
	if !d.headSent {
		d.head(response)
		// A stream that goes on elsewhere has another length in all.
		d.w.Header().Del("Content-Length")
		d.w.WriteHeader(response.StatusCode)
	}
	flusher, _ := d.w.(http.Flusher)
	inTime := true
	var pending []byte
	chunk := make([]byte, copyBuffer)
	for {
		n, err := response.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if n > 0 {
			d.progress()
		}
		rest, wrote, bad := d.pass(pending)
		pending = append(pending[:0], rest...)
		if wrote && flusher != nil {
			flusher.Flush()
		}
		if d.events.passed == 1 && wrote {
			inTime = d.in.options.Clock()-d.r.arrived <= d.r.route.Target
		}
		switch {
		case bad != nil:
			return outcome{failure: retry.Broken, cause: bad}
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			d.finish(true, inTime)
			return outcome{done: true}
		case err != nil:
			return outcome{failure: retry.Broken, cause: errors.Wrap(err, "stream")}
		case len(pending) > maxEvent:
			return outcome{failure: retry.Broken, cause: errors.Errorf("an event of more than %d bytes", maxEvent)}
		}
	}
}

// pass writes the whole events at the start of b to the caller and returns
// what is left.
func (d *delivery) pass(b []byte) (rest []byte, wrote bool, err error) {
	for {
		n := splitEvent(b)
		if n == 0 {
			return b, wrote, nil
		}
		pass, err := d.events.accept(b[:n])
		if err != nil {
			return b, wrote, err
		}
		if pass {
			if _, err := d.w.Write(b[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
			wrote = true
		}
		b = b[n:]
	}
}
