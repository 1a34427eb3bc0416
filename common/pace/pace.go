// Package pace spaces calls out: how long to wait after a call, after a failed
// one, and between the rounds that answer many waiting callers at once.
package pace

import (
	"context"
	"time"
)

// jitter is the fraction by which waits vary, so that nodes that started
// together don't call together for ever.
const jitter = 0.2

// Backoff is the wait after failed calls: First after the first one since the last
// success, twice as much after each further one, up to Max. It isn't safe for
// concurrent use.
type Backoff struct {
	First, Max time.Duration
	failures   int
}

// Failed records a failure and returns the wait; random is uniform in [0, 1).
func (b *Backoff) Failed(random float64) time.Duration {
	wait := min(b.First<<min(b.failures, 16), b.Max)
	b.failures++
	return Jitter(wait, random)
}

// Succeeded records a success.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Jitter returns the wait, varied by up to a tenth in either direction; random is
// uniform in [0, 1).
func Jitter(wait time.Duration, random float64) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*(random-0.5)))
}

// Batches calls answer with all requests that wait, as long as ctx lives. From one
// call's beginning to the next one's there is at least the interval; a request
// that comes after a pause is answered at once.
func Batches[R any](ctx context.Context, requests <-chan R, interval time.Duration, answer func([]R)) {
	for {
		var batch []R
		select {
		case r := <-requests:
			batch = append(batch, r)
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			select {
			case r := <-requests:
				batch = append(batch, r)
			default:
				more = false
			}
		}
		next := time.After(interval)
		answer(batch)
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}
