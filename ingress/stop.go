package ingress

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
)

// drainingRetryAfter is the Retry-After of an entry that stops: a new connection leads to
// another entry at once.
const drainingRetryAfter = 100 * time.Millisecond

// errStopping ends the attempt of a request to which the stopping entry itself responds.
var errStopping = errors.New("the entry stops")

// drainingError refuses a request that can't be answered before the entry stops.
func drainingError() *result.Error {
	return result.New(result.Draining, result.RanNo, "the entry stops before the request is sure to be answered").WithRetry(drainingRetryAfter)
}

// stoppingError ends a request that no upstream has answered before the entry stops. It
// says "not run" only if no attempt may have run the request.
func (d *forwarding) stoppingError() *result.Error {
	if d.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the entry stops before the upstream has answered")
	}
	return drainingError()
}

// answerTime is how long the answer is expected to take: a plain one comes within the
// route's target, and a stream may go on for all its time.
func (r *request) answerTime() time.Duration {
	timeout := r.deadline - r.arrived
	if r.isStream() {
		return timeout
	}
	return min(timeout, r.route.Target)
}

// endOf is when a process ends that stops with ctx.
func endOf(ctx context.Context, now clock.Instant) clock.Instant {
	if deadline, ok := ctx.Deadline(); ok {
		return now + time.Until(deadline)
	}
	return math.MaxInt64
}
