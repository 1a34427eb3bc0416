package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// onceReader hides all methods of a reader except Read, so that net/http can't
// rewind it.
type onceReader struct{ io.Reader }

// watchdog calls a function when there was no progress for the given time.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	fired   atomic.Bool
}

func newWatchdog(timeout time.Duration, expired func()) *watchdog {
	w := &watchdog{timeout: timeout}
	w.timer = time.AfterFunc(timeout, func() {
		w.fired.Store(true)
		expired()
	})
	return w
}

func (w *watchdog) progress()     { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()         { w.timer.Stop() }
func (w *watchdog) expired() bool { return w.fired.Load() }

// sendFailure classifies the failure of a request that received no response.
func sendFailure(connected, silent bool) retry.Failure {
	switch {
	case !connected:
		return retry.NotSent
	case silent:
		return retry.Silent
	default:
		return retry.Broken
	}
}

// fingerprint identifies a request, so that its retries by the caller are
// recognised.
func fingerprint(caller, target string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(caller + "\n" + target + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

// maxNoticeFraction is the fraction of the notice (the time until a leaving
// upstream is gone) up to which an answer is left to complete there.
const maxNoticeFraction = 0.7

// abandonWhenLeaving cancels the attempt when its upstream announces that it is
// leaving, unless the call isn't repeatable or the rest of the answer fits into
// the notice. The result is set once the attempt is cancelled.
func (c *chatCall) abandonWhenLeaving(ctx context.Context, cancel func()) *atomic.Bool {
	var abandoned atomic.Bool
	leaving := c.job.upstreamLeaving()
	began, offset := time.Now(), c.stream.Offset()
	go func() {
		select {
		case <-leaving:
		case <-ctx.Done():
			return
		}
		if !c.call.Repeatable || c.fitsInNotice(began, offset) {
			return
		}
		abandoned.Store(true)
		cancel()
	}()
	return &abandoned
}

// maxProblemBytes limits the body of an upstream's error response.
const maxProblemBytes = 16 << 10

// headerRan is the header by which an upstream states that it did not run a
// request.
const headerRan = "X-Ran"

// classifyStatus handles a response with a status other than 200. A server error
// is a failure of the upstream, which states by headerRan if it did not run the
// request; a client error is returned to the caller.
func classifyStatus(r *http.Response) (retry.Failure, error) {
	switch {
	case r.Header.Get(headerRan) == string(result.RanNo) && r.StatusCode >= http.StatusInternalServerError:
		return retry.Refused, nil
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		var problem struct {
			Detail string `json:"detail"`
		}
		_ = json.NewDecoder(io.LimitReader(r.Body, maxProblemBytes)).Decode(&problem)
		return 0, result.New(result.BadRequest, result.RanNo, "the upstream refused the request: %d %s", r.StatusCode, problem.Detail)
	default:
		return retry.Broken, nil
	}
}

// fitsInNotice estimates whether the rest of the answer, at the rate of this
// attempt, takes at most maxNoticeFraction of the notice.
func (c *chatCall) fitsInNotice(began time.Time, offset int) bool {
	c.job.mu.Lock()
	notice := c.job.notice
	c.job.mu.Unlock()
	produced := int(c.emitted.Load()) - offset
	total := c.request.MaxTokens
	if total == 0 {
		total = defaultMaxTokens
	}
	remaining := total - int(c.emitted.Load())
	if produced <= 0 || remaining <= 0 {
		return remaining <= 0
	}
	remainingTime := time.Since(began) / time.Duration(produced) * time.Duration(remaining)
	return float64(remainingTime) < maxNoticeFraction*float64(notice)
}
