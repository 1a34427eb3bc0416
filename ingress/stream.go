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

// isStream reports whether the route's responses are event streams.
func (r *request) isStream() bool { return r.route.Kind == config.Streaming }

// eventTracker tracks the numbered events of one stream across attempts, so
// that each reaches the caller once, whole and in order.
type eventTracker struct {
	// last is the ID of the last event that the caller has, if hasLast is set.
	last    uint64
	hasLast bool
	// forwarded counts the numbered events that were sent to the caller.
	forwarded int
}

func (e *eventTracker) start(last uint64, hasLast bool) { e.last, e.hasLast = last, hasLast }

// position is the ID of the event after which the next attempt has to resume,
// if there is one.
func (e *eventTracker) position() (last uint64, hasLast bool) { return e.last, e.hasLast }

// errEventGap reports an event whose ID isn't the last one plus 1.
var errEventGap = errors.New("an event of the stream is missing")

// errNotAnEvent reports the head of another response within a stream.
var errNotAnEvent = errors.New("a response begins within the stream")

// accept reports whether to forward an event or to drop it, as the caller has it
// from an earlier attempt. Events without an ID are always forwarded.
func (e *eventTracker) accept(event []byte) (forward bool, err error) {
	id, ok := eventID(event)
	switch {
	case bytes.HasPrefix(event, []byte("HTTP/1.")):
		return false, errNotAnEvent
	case !ok:
		return true, nil
	case e.hasLast && id <= e.last:
		return false, nil
	case e.hasLast && id != e.last+1:
		return false, errEventGap
	}
	e.last, e.hasLast = id, true
	e.forwarded++
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

// firstEventLength returns the length of the first complete event in b with the
// empty line after it, or 0.
func firstEventLength(b []byte) int {
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

// maxEventBytes limits the size of one event, which is a few tokens.
const maxEventBytes = 256 << 10

// relayStream relays the events of one attempt's response.
func (d *forwarding) relayStream(response *exchange.Response) outcome {
	if !d.headSent {
		if !d.stop.Answer() {
			return outcome{failure: retry.Broken, cause: errStopping}
		}
		if !d.claimHead(response) {
			return outcome{failure: retry.Broken, cause: errReplaced}
		}
		if d.origin != nil {
			d.tellOrigin()
		}
		d.copyHeaders(response)
		// The length changes if the stream resumes at another upstream.
		d.w.Header().Del("Content-Length")
		d.writeHead(response.StatusCode)
	}
	controller := http.NewResponseController(d.w)
	inTime, began := true, false
	var pending []byte
	chunk := make([]byte, copyBufferBytes)
	for {
		n, err := response.Read(chunk)
		pending = append(pending, chunk[:n]...)
		if n > 0 {
			d.recordFirstBytes()
		}
		rest, wrote, eventErr := d.writeEvents(pending)
		if len(rest) < len(pending) {
			// Bytes that complete no event aren't progress.
			began = true
			d.recordProgress()
			d.keepOrigin()
		}
		pending = append(pending[:0], rest...)
		if wrote {
			if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				d.abortUnwritten(err)
			}
		}
		if d.events.forwarded == 1 && wrote {
			inTime = d.in.options.Clock()-d.r.arrived <= d.r.route.Target
		}
		switch {
		case eventErr != nil:
			return outcome{failure: retry.Broken, cause: eventErr}
		case errors.Is(err, io.EOF) && !response.Framed() && !began:
			// The upstream may have crashed before it wrote anything, also where it goes on
			// with a stream. That nothing is left it can say by a length or chunks.
			return outcome{failure: retry.Broken, cause: errors.New("the connection ended before the first event")}
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			d.finish(true, inTime)
			return outcome{done: true}
		case err != nil:
			return outcome{failure: retry.Broken, cause: errors.Wrap(err, "stream")}
		case len(pending) > maxEventBytes:
			return outcome{failure: retry.Broken, cause: errors.Errorf("event is longer than %d bytes", maxEventBytes)}
		}
	}
}

// writeEvents writes the complete events at the start of b to the caller and
// returns the rest of b.
func (d *forwarding) writeEvents(b []byte) (rest []byte, wrote bool, err error) {
	for {
		n := firstEventLength(b)
		if n == 0 {
			return b, wrote, nil
		}
		forward, err := d.acceptEvent(b[:n])
		if err != nil {
			return b, wrote, err
		}
		if forward {
			if _, err := d.w.Write(b[:n]); err != nil {
				d.abortUnwritten(err)
			}
			wrote = true
		}
		b = b[n:]
	}
}
