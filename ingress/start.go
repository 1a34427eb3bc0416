package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/result"
)

// assumedPatience is the time that a caller is assumed to wait that doesn't say how long.
const assumedPatience = time.Second

// maxHeldBody bounds the body of a request that is held: many of them are in memory at once, before
// any key was checked.
const maxHeldBody = 256 << 10

// awaitServing holds a request that comes while the entry starts, until the entry can serve
// or the request has waited long enough.
func (in *Ingress) awaitServing(w http.ResponseWriter, httpRequest *http.Request, r *request) error {
	select {
	case <-in.link.Serving():
		return nil
	default:
	}
	if in.needsNoConfirmation(r) {
		return nil
	}
	patience := r.Patience
	if patience <= 0 {
		patience = assumedPatience
	}
	in.mu.Lock()
	limit, hold := in.gate.Hold(in.options.Clock(), patience)
	in.mu.Unlock()
	if !hold {
		return nil
	}
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.gate.Release()
	}()
	in.meters.held.Inc(1)
	r.deadline = r.arrived + patience
	// Callers give a request up that isn't read for a time.
	limits := config.Limits{MaxBodyBytes: maxHeldBody}
	table := in.link.Table()
	allowed := table != nil && table.Revision.Limits.MaxBodyBytes > 0 && table.Revision.Limits.MaxBodyBytes <= maxHeldBody
	if allowed {
		limits = table.Revision.Limits
	}
	if err := r.read(w, httpRequest, limits, &in.stop); err != nil {
		if !allowed && result.From(err).Code == result.BodyTooLarge {
			// The configuration may allow more.
			return in.notReadyError()
		}
		return err
	}
	ctx, cancel := context.WithTimeout(httpRequest.Context(), limit)
	defer cancel()
	open := in.stop.Open(r.deadline, limit, cancel)
	defer open.Close()
	served := false
	select {
	case <-in.link.Serving():
		served = true
	case <-ctx.Done():
	}
	klog.InfoS("request held while the entry starts", "request", r.ID, "limit", limit, "waited", in.options.Clock()-r.arrived, "served", served)
	if open.Ended() {
		return drain.Error(false)
	}
	return nil
}

// startsUntil is until when the request may wait for what a starting entry lacks; it has passed
// for requests that come later.
func (in *Ingress) startsUntil(r *request) clock.Instant {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.gate.Until(r.arrived, r.deadline-r.arrived)
}

// needsNoConfirmation reports whether the entry may serve the request by a configuration that
// no majority has confirmed.
func (in *Ingress) needsNoConfirmation(r *request) bool {
	table := in.link.Table()
	if table == nil || !in.link.Synced() {
		return false
	}
	path, _, _ := strings.Cut(r.target, "?")
	route := table.Route(r.host, path)
	return route != nil && (route.Public || !table.RequiresKeys())
}

// notReadyError refuses a request until the entry is expected to serve.
func (in *Ingress) notReadyError() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	retryAfter := in.gate.RetryAfter(in.options.Clock(), rand.Float64())
	return result.New(result.NotReady, result.RanNo, "the entry has not received a configuration yet").WithRetry(retryAfter)
}

// checkBody refuses a body that was read before its limit was known.
func (r *request) checkBody(limit int64) error {
	if int64(len(r.body)) > limit {
		return result.New(result.BodyTooLarge, result.RanNo, "body of %d bytes exceeds the limit of %d", len(r.body), limit)
	}
	return nil
}
