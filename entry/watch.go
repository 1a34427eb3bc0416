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

// onceReader hides everything of a reader but Read.
type onceReader struct{ io.Reader }

// watchdog calls a function when no progress was made for a while.
type watchdog struct {
	silence time.Duration
	timer   *time.Timer
	fired   atomic.Bool
}

func newWatchdog(silence time.Duration, expired func()) *watchdog {
	w := &watchdog{silence: silence}
	w.timer = time.AfterFunc(silence, func() {
		w.fired.Store(true)
		expired()
	})
	return w
}

func (w *watchdog) progress()     { w.timer.Reset(w.silence) }
func (w *watchdog) stop()         { w.timer.Stop() }
func (w *watchdog) expired() bool { return w.fired.Load() }

// failure says how a request failed that got no answer.
func failure(connected, silent bool) retry.Failure {
	switch {
	case !connected:
		return retry.NotSent
	case silent:
		return retry.Silent
	default:
		return retry.Broken
	}
}

// fingerprint identifies a request that is sent again.
func fingerprint(caller, name string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(caller + "\n" + name + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

// stayPart is the part of the notice that the rest of an answer may take if it
// is to end where it runs.
const stayPart = 0.7

// watchEvacuation gives the attempt up when its upstream announces that it
// leaves, unless the rest of the answer fits into the notice.
func (a *answer) watchEvacuation(ctx context.Context, cancel func()) *atomic.Bool {
	var evacuated atomic.Bool
	leaving := a.job.evacuation()
	began, offset := time.Now(), a.stream.Offset()
	go func() {
		select {
		case <-leaving:
		case <-ctx.Done():
			return
		}
		if !a.call.Repeatable || a.fits(began, offset) {
			return
		}
		evacuated.Store(true)
		cancel()
	}()
	return &evacuated
}

// maxProblem bounds the body of an upstream's error.
const maxProblem = 16 << 10

// ranHeader is by which an upstream says that it did not run a request.
const ranHeader = "X-Ran"

// upstreamStatus judges an answer that isn't a stream. An upstream that did
// not run the request says so by header; a fault of the request is passed on.
func upstreamStatus(r *http.Response) (retry.Failure, error) {
	switch {
	case r.Header.Get(ranHeader) == string(result.RanNo) && r.StatusCode >= http.StatusInternalServerError:
		return retry.Refused, nil
	case r.StatusCode >= http.StatusBadRequest && r.StatusCode < http.StatusInternalServerError:
		var problem struct {
			Detail string `json:"detail"`
		}
		_ = json.NewDecoder(io.LimitReader(r.Body, maxProblem)).Decode(&problem)
		return 0, result.New(result.BadRequest, result.RanNo, "the upstream refused the request: %d %s", r.StatusCode, problem.Detail)
	default:
		return retry.Broken, nil
	}
}

// fits reports whether the rest of the answer, at the pace of this attempt,
// ends within the notice.
func (a *answer) fits(began time.Time, offset int) bool {
	a.job.mu.Lock()
	notice := a.job.notice
	a.job.mu.Unlock()
	done := int(a.emitted.Load()) - offset
	total := a.request.MaxTokens
	if total == 0 {
		total = defaultMaxTokens
	}
	left := total - int(a.emitted.Load())
	if done <= 0 || left <= 0 {
		return left <= 0
	}
	rest := time.Since(began) / time.Duration(done) * time.Duration(left)
	return float64(rest) < stayPart*float64(notice)
}
