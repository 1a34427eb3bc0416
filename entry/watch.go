package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// onceReader hides all methods of a reader except Read, so that net/http can't
// rewind it.
type onceReader struct{ io.Reader }

// Times of upstreams that are silent for longer than they should be.
const (
	// moveInterval is the time between two tries to find another upstream.
	moveInterval = 100 * time.Millisecond
	// maxSoundSilence is how long a sound upstream may stand still. A request that may be
	// repeated leaves its upstream after that time too, for any other one, as it has
	// precedence there over new requests.
	maxSoundSilence = 2 * time.Second
	// unrepeatableTimeout bounds the silence of an upstream that runs a call that may not be
	// repeated: the call has nothing to gain from an earlier end. It is half of
	// claim.OwnerTimeout, so that its outcome can be settled.
	unrepeatableTimeout = claim.OwnerTimeout / 2
)

// watchdog ends an attempt whose upstream is silent. After the timeout it does so as soon as
// another upstream takes the request, and without one at the limit.
type watchdog struct {
	timeout, limit time.Duration
	// move asks for another upstream and reports whether one takes the request; expired
	// ends the attempt.
	move    func() bool
	expired func()
	timer   *time.Timer
	// progressAt is the time of the last progress.
	progressAt atomic.Pointer[time.Time]

	mu                    sync.Mutex
	stopped, fired, moved bool
}

// watch returns a watchdog of the job's present attempt.
func (e *Entry) watch(j *job, timeout time.Duration, expired func()) *watchdog {
	w := &watchdog{timeout: timeout, limit: timeout + maxSoundSilence, expired: expired, move: func() bool { return e.dispatch.move(j) }}
	if !j.ticket.Repeatable {
		w.timeout = max(timeout, unrepeatableTimeout)
		w.limit = w.timeout
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.progressAt.Store(&now)
	w.timer = time.AfterFunc(w.timeout, w.check)
	return w
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.fired {
		return
	}
	silent := time.Since(*w.progressAt.Load())
	switch {
	case silent < w.timeout:
		w.timer.Reset(w.timeout - silent)
		return
	case silent >= w.limit:
	case w.move():
		w.moved = true
	default:
		w.timer.Reset(moveInterval)
		return
	}
	w.fired = true
	w.expired()
}

func (w *watchdog) progress() {
	now := time.Now()
	w.progressAt.Store(&now)
}

// endIf ends the attempt if moved reports that the dispatcher has taken the request from its
// upstream. It returns true if the attempt has ended, for whatever reason.
func (w *watchdog) endIf(moved func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.fired {
		return true
	}
	if moved() {
		w.fired, w.moved = true, true
		w.expired()
	}
	return w.fired
}

// stop ends the watch. It reports whether it has ended the attempt, and whether the
// dispatcher knows already.
func (w *watchdog) stop() (fired, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.fired, w.moved
}

// sendFailure classifies the failure of a request that received no response.
func sendFailure(connected bool) retry.Failure {
	if !connected {
		return retry.NotSent
	}
	return retry.Broken
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

// abandonWhenLeaving ends the attempt when its upstream announces that it is leaving and
// another one may go on, unless the call isn't repeatable or the rest of the answer fits
// into the notice.
func (c *chatCall) abandonWhenLeaving(ctx context.Context, watch *watchdog) {
	if !c.call.Repeatable {
		return
	}
	leaving := c.job.upstreamLeaving()
	began, offset := time.Now(), c.stream.Offset()
	go func() {
		select {
		case <-leaving:
		case <-ctx.Done():
			return
		}
		for !c.fitsInNotice(began, offset) && !watch.endIf(func() bool { return c.entry.dispatch.leave(c.job) }) {
			select {
			case <-time.After(moveInterval):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// maxProblemBytes limits the body of an upstream's error response.
const maxProblemBytes = 16 << 10

// headerRan is the header by which an upstream states that it did not run a
// request.
const headerRan = "X-Ran"

// statesNotRun reports whether a response states that the request did not run. A success that does
// contradicts itself, and has run.
func statesNotRun(r *http.Response) bool {
	return r.StatusCode >= http.StatusBadRequest && r.Header.Get(headerRan) == string(result.RanNo)
}

// classifyStatus handles a response with a status other than 200. A server error
// is a failure of the upstream, a client error is returned to the caller.
func classifyStatus(r *http.Response) (failure retry.Failure, refusal *result.Error) {
	ran := result.RanUnknown
	if statesNotRun(r) {
		ran = result.RanNo
	}
	switch {
	case ran == result.RanNo && r.StatusCode >= http.StatusInternalServerError:
		return retry.Refused, nil
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		var problem struct {
			Detail string `json:"detail"`
		}
		_ = json.NewDecoder(io.LimitReader(r.Body, maxProblemBytes)).Decode(&problem)
		return 0, result.New(result.BadRequest, ran, "the upstream refused the request: %d %s", r.StatusCode, problem.Detail)
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
