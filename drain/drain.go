// Package drain decides, while an entry stops, which requests can still be
// answered before its process ends, and which connections may be closed. Callers pass in
// the time.
package drain

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
)

// Never is the deadline of a request that has none, and the end of a process that stops
// without one.
const Never = clock.Instant(math.MaxInt64)

// AnswerMargin is the last part of a stop, in which no answer begins any more: the
// last answers are written, and the usage is reported.
const AnswerMargin = 500 * time.Millisecond

// acceptFraction is the part of a stop after which no request is taken that may
// outlast it, however short the stop is.
const acceptFraction = 0.5

// retryAfter is the Retry-After of a refusal: a new connection leads to another entry at
// once.
const retryAfter = 100 * time.Millisecond

// Error ends a request that no upstream can answer any more before the process ends. It
// says "not run" only if no attempt may have run the request.
func Error(mayHaveRun bool) *result.Error {
	if mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the entry stops before the upstream has answered")
	}
	return result.New(result.Draining, result.RanNo, "the entry stops before the request is sure to be answered").WithRetry(retryAfter)
}

// EndOf is when a process ends that stops with ctx.
func EndOf(ctx context.Context, now clock.Instant) clock.Instant {
	if deadline, ok := ctx.Deadline(); ok {
		return now + time.Until(deadline)
	}
	return Never
}

// Stop is the stop of an entry and the requests that are open in it. Its zero value
// is that of an entry that isn't stopping.
type Stop struct {
	mu    sync.Mutex
	begun bool
	// Until acceptUntil the entry takes all requests. The answers begin before
	// answerUntil.
	acceptUntil, answerUntil clock.Instant
	open                     map[*Request]bool
}

// Request is an open request that no answer to the caller has begun for.
type Request struct {
	stop     *Stop
	deadline clock.Instant
	needs    time.Duration
	end      func()
	// sent says that an upstream may have the request, answered that the answer has
	// begun, and ended that the stop has ended the request.
	sent, answered, ended bool
}

// Begin begins the stop of a process that ends at end. All requests are taken for
// acceptFor, or for half of a short stop.
func (s *Stop) Begin(now, end clock.Instant, acceptFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	s.answerUntil = max(end-AnswerMargin, now)
	s.acceptUntil = now + min(acceptFor, time.Duration(acceptFraction*float64(s.answerUntil-now)))
}

// Accepting reports whether the entry takes all requests.
func (s *Stop) Accepting(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.begun || now < s.acceptUntil
}

// Answering reports whether answers may still begin.
func (s *Stop) Answering(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.begun || now < s.answerUntil
}

// TooLate reports whether a request that is whole now comes too late: once the load
// balancer leads callers to other entries, only what is sure to be answered is taken.
func (s *Stop) TooLate(now, deadline clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun && now >= s.acceptUntil && (deadline > s.answerUntil || now >= s.answerUntil)
}

// Open adds a request that fails at deadline and whose answer is expected to take no
// longer than needs. end is called, with the Stop locked, when the request has to be
// answered in place of the upstream; never after Close.
func (s *Stop) Open(deadline clock.Instant, needs time.Duration, end func()) *Request {
	r := &Request{stop: s, deadline: deadline, needs: needs, end: end}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*Request]bool{}
	}
	s.open[r] = true
	return r
}

// Expire ends the requests that can't be answered by an upstream any more.
func (s *Stop) Expire(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		return
	}
	for r := range s.open {
		if !r.ended && r.expired(now) {
			r.ended = true
			r.end()
		}
	}
}

// expired reports whether the request can't be answered by an upstream any more. The
// caller holds the Stop's lock.
func (r *Request) expired(now clock.Instant) bool {
	s := r.stop
	switch {
	case !s.begun || r.answered:
		return false
	case r.sent || r.deadline <= s.answerUntil:
		return now >= s.answerUntil
	default:
		// It waits for an upstream; another entry may find one in time.
		return now >= max(s.acceptUntil, s.answerUntil-r.needs)
	}
}

// Send reports whether the request may be sent to an upstream. If not, it has ended.
func (r *Request) Send(now clock.Instant) bool {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	if r.ended = r.ended || r.expired(now); r.ended {
		return false
	}
	r.sent = true
	return true
}

// Unsent says that no upstream has run the request.
func (r *Request) Unsent() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	r.sent = false
}

// Answer reports whether the answer may begin: after that, the request goes on to the
// very end. If not, it has ended.
func (r *Request) Answer() bool {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	r.answered = r.answered || !r.ended
	return r.answered
}

// Ended reports whether the stop has ended the request.
func (r *Request) Ended() bool {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	return r.ended
}

// Close removes the request.
func (r *Request) Close() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()
	delete(r.stop.open, r)
}
