package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// rollouts serves the orders of rollouts and, on the leader, carries them out.
type rollouts struct {
	control *Control
	clock   *rolloutClock
}

// newRollouts registers the handlers and starts the background work, which ends with ctx.
func newRollouts(ctx context.Context, c *Control) *rollouts {
	h := &rollouts{control: c, clock: newRolloutClock()}
	handle := func(pattern string, f http.HandlerFunc) { c.options.Server.Handle(pattern, f) }
	handle(platform.StartRolloutPattern, h.serveStart)
	handle(platform.GetRolloutPattern, h.serveGet)
	handle("POST /operator/rollouts/{service}", h.serveOperatorStart)
	handle("GET /operator/rollouts/{service}", h.serveStatus)
	handle("POST /operator/rollouts/{service}/revert", h.serveRevert)
	go h.run(ctx)
	return h
}

func (h *rollouts) serveStart(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxRolloutBytes))
	if err != nil {
		writeError(w, result.New(result.RolloutInvalid, result.RanNo, "%v", err))
		return
	}
	order, err := platform.DecodeRolloutOrder(body)
	if err != nil {
		klog.InfoS("order of a rollout refused", "bytes", len(body), "err", err)
		writeError(w, result.New(result.RolloutInvalid, result.RanNo, "%v", err))
		return
	}
	if err := h.start(r.Context(), order); err != nil {
		writeError(w, result.From(err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *rollouts) serveGet(w http.ResponseWriter, r *http.Request) {
	last, err := h.confirmed(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, result.From(err))
		return
	}
	body, err := platform.EncodeRollout(last)
	if err != nil {
		writeError(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (h *rollouts) serveOperatorStart(w http.ResponseWriter, r *http.Request) {
	var request rollout.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxRolloutBytes)).Decode(&request); err != nil {
		writeError(w, result.New(result.RolloutInvalid, result.RanNo, "%v", err))
		return
	}
	// A number of milliseconds that a duration can't hold would wrap around.
	within := time.Duration(min(max(request.WithinMs, 0), 2*rollout.MaxTime.Milliseconds())) * time.Millisecond
	order := rollout.Order{Service: r.PathValue("service"), To: request.To, Within: within}
	if err := order.Check(); err != nil {
		writeError(w, result.New(result.RolloutInvalid, result.RanNo, "%v", err))
		return
	}
	if len(order.To) > platform.MaxReleaseBytes {
		writeError(w, result.New(result.RolloutInvalid, result.RanNo, "order with a release of %d bytes, want at most %d", len(order.To), platform.MaxReleaseBytes))
		return
	}
	if err := h.start(r.Context(), order); err != nil {
		writeError(w, result.From(err))
		return
	}
	h.serveStatus(w, r)
}

func (h *rollouts) serveStatus(w http.ResponseWriter, r *http.Request) {
	last, err := h.confirmed(r.Context(), r.PathValue("service"))
	if err != nil {
		writeError(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rollout.StatusOf(last, h.clock.elapsed(h.control.options.Clock(), last)))
}

// serveRevert ends a running rollout as reverted. One that is reverted stays so.
func (h *rollouts) serveRevert(w http.ResponseWriter, r *http.Request) {
	last, err := h.confirmed(r.Context(), r.PathValue("service"))
	if err == nil && last.Phase == rollout.Running {
		ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
		defer cancel()
		end := &rollout.End{Service: last.Service, Number: last.Number, Phase: rollout.Reverted, Reason: "reverted by an operator", Elapsed: h.clock.elapsed(h.control.options.Clock(), last)}
		var outcome rollout.Outcome
		outcome, err = h.control.options.Client.Rollout(ctx, rollout.Command{End: end})
		klog.InfoS("rollout reverted by an operator", "instance", h.control.options.Name, "service", last.Service, "to", last.To, "number", last.Number, "outcome", int(outcome), "err", err)
		if err == nil {
			// It may have ended otherwise meanwhile.
			last, err = h.confirmed(r.Context(), last.Service)
		}
	}
	if err == nil && last.Phase != rollout.Reverted {
		err = result.New(result.RolloutConflict, result.RanNo, "rollout %d of service %q to release %q is %v", last.Number, last.Service, last.To, last.Phase)
	}
	if err != nil {
		writeError(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rollout.StatusOf(last, last.Elapsed))
}

// confirmed returns the last rollout of a service, once a majority has confirmed it.
func (h *rollouts) confirmed(ctx context.Context, service string) (rollout.Rollout, error) {
	v, err := h.confirm(ctx)
	if err != nil {
		return rollout.Rollout{}, err
	}
	last, ok := v.Rollouts.Of(service)
	if !ok {
		return last, result.New(result.RolloutNotFound, result.RanNo, "there never was an order for service %q", service)
	}
	return last, nil
}

func (h *rollouts) confirm(ctx context.Context) (keeper.View, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !h.control.options.Keeper.Confirm(ctx) {
		return keeper.View{}, result.New(result.NoQuorum, result.RanNo, "no majority of keepers confirmed the state of the rollouts").WithRetry(time.Second)
	}
	v, _ := h.control.options.Keeper.View()
	return v, nil
}

// start gives an order to the keepers, and returns nil once a majority has stored it.
func (h *rollouts) start(ctx context.Context, order rollout.Order) error {
	c := h.control
	outcome, err := h.propose(ctx, &order)
	klog.InfoS("rollout ordered", "instance", c.options.Name, "service", order.Service, "to", order.To, "within", order.Within, "at", order.At, "outcome", int(outcome), "err", err)
	switch {
	case err != nil:
		return err
	case outcome == rollout.Accepted, outcome == rollout.Repeated:
		return nil
	default:
		return result.New(result.RolloutConflict, result.RanNo, "another rollout of service %q is under way", order.Service)
	}
}

// propose checks an order, sets its time, and proposes it.
func (h *rollouts) propose(ctx context.Context, order *rollout.Order) (rollout.Outcome, error) {
	c := h.control
	v, _ := c.options.Keeper.View()
	if v.Level < keeper.RolloutLevel {
		return 0, result.New(result.RolloutsNotReady, result.RanNo, "level %d of the log is in force, and orders need %d", v.Level, keeper.RolloutLevel).WithRetry(time.Second)
	}
	if h.refusal(v, order) != nil {
		// This keeper may lag behind.
		v, err := h.confirm(ctx)
		if err != nil {
			return 0, err
		}
		if err := h.refusal(v, order); err != nil {
			return 0, err
		}
	}
	order.At = c.wallTime(c.options.Clock())
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	return c.options.Client.Rollout(ctx, rollout.Command{Start: order})
}

// refusal returns why an order isn't carried out, by what this keeper knows.
func (h *rollouts) refusal(v keeper.View, order *rollout.Order) error {
	revision, err := decodePut(v.Config)
	switch {
	case err != nil:
		return err
	case revision == nil:
		return result.New(result.NotReady, result.RanNo, "there is no configuration yet").WithRetry(time.Second)
	case !hasService(revision, order.Service):
		return result.New(result.RolloutRefused, result.RanNo, "revision %d has no service %q", revision.Number, order.Service)
	}
	// The store tells whether an order was sent again. Any other order to the only release that
	// serves would take the requests from it for the length of a trial.
	last, known := v.Rollouts.Of(order.Service)
	sentAgain := known && (last.Phase == rollout.Running || last.To == order.To)
	if !sentAgain && h.control.alreadyServes(order.Service, order.To, v.Rollouts.Reverted[order.Service]...) {
		return result.New(result.RolloutRefused, result.RanNo, "all upstreams of service %q have release %q already", order.Service, order.To)
	}
	return nil
}

func hasService(r *config.Revision, name string) bool {
	return slices.ContainsFunc(r.Services, func(s config.Service) bool { return s.Name == name })
}

// decodePut returns a stored configuration, nil if there is none.
func decodePut(put config.Put) (*config.Revision, error) {
	if put.Number == 0 {
		return nil, nil
	}
	body, err := pack.Inflate(put.Packed, config.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfig(body)
}

// alreadyServes reports whether all known upstreams of a service have the release, besides those
// of reverted releases, which get no requests. A keeper that hasn't had the time to hear of all
// knows nothing of it.
func (c *Control) alreadyServes(service, release string, reverted ...string) bool {
	if c.options.Clock()-c.startedAt < registryDelay {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for _, u := range c.registry.upstreams {
		if u.Ended || !slices.Contains(u.Services, service) || slices.Contains(reverted, u.Release) {
			continue
		}
		if u.Release != release {
			return false
		}
		found = true
	}
	return found
}

// wallTime returns the time of day: the median of this keeper's clock and those of the entries
// that reported to it.
func (c *Control) wallTime(now clock.Instant) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryClocks.timeOfDay(now, time.Now())
}
