package control

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Times of rollouts.
const (
	// rolloutInterval is the time between two decisions of the leader.
	rolloutInterval = 100 * time.Millisecond
	// rolloutCommandTimeout bounds the wait for a majority to store a command. The next
	// decision proposes it again.
	rolloutCommandTimeout = time.Second
	// rolloutReportInterval is the time between two reports of an entry while a rollout
	// runs: a bad release is found by what the entries report.
	rolloutReportInterval = 250 * time.Millisecond
	// rolloutCollectTime is how long a new leader only collects reports before it goes on with
	// the steps, so that it doesn't decide by the first few entries: three report intervals.
	rolloutCollectTime = 750 * time.Millisecond
	// rolloutScaleHold is how long after a revert the service isn't scaled, unless the
	// upstreams of the reverted release are gone before. The platform removes them some
	// seconds after the revert.
	rolloutScaleHold = 15 * time.Second
)

// rolloutJudge decides on the steps of all rollouts; a *rollout.Judge, but in tests.
type rolloutJudge interface {
	Observe(now clock.Instant, entry string, incarnation uint64, r rollout.Report)
	Decide(now clock.Instant, v rollout.View, state map[string]rollout.ServiceState, elapsed func(rollout.Rollout) time.Duration) []rollout.Command
}

// runs reports whether any rollout runs.
func runs(v *rollout.View) bool {
	return v != nil && slices.ContainsFunc(v.Rollouts, func(r rollout.Rollout) bool { return r.Phase == rollout.Running })
}

// run follows the view of the rollouts and, while one runs and this keeper leads, decides on
// the next steps. Without a running rollout it waits for changes only.
func (h *rollouts) run(ctx context.Context) {
	c := h.control
	confirmed := h.awaitConfirmation(ctx)
	ticker := time.NewTicker(rolloutInterval)
	ticker.Stop()
	defer ticker.Stop()
	ticking := false
	var seen *rollout.View
	// caughtUp says that this keeper has applied what was stored before its start, and found
	// that the next view may still have such orders.
	caughtUp, found, restored := false, true, 0
	for {
		v, changed := c.options.Keeper.View()
		if v.Rollouts != seen {
			now, missed := c.options.Clock(), found || v.Restored != restored
			h.clock.observe(now, c.wallTime(now), missed, v.Rollouts)
			h.noteChanges(seen, v.Rollouts, missed)
			seen = v.Rollouts
		}
		found, restored = !caughtUp, v.Restored
		if active := v.Leading && runs(v.Rollouts); active != ticking {
			if ticking = active; active {
				ticker.Reset(rolloutInterval)
			} else {
				ticker.Stop()
			}
		}
		select {
		case <-confirmed:
			caughtUp, confirmed = true, nil
		case <-changed:
		case <-ticker.C:
			// The view may have changed since: a step by that of an earlier term would drop what
			// the leader knows by now.
			if v, _ = c.options.Keeper.View(); v.Leading && runs(v.Rollouts) {
				h.step(ctx, c.options.Clock(), v)
			}
		case <-ctx.Done():
			return
		}
	}
}

// awaitConfirmation returns a channel that is closed once this keeper has applied everything
// that was acknowledged before its start.
func (h *rollouts) awaitConfirmation(ctx context.Context) <-chan struct{} {
	confirmed := make(chan struct{})
	go func() {
		t := time.NewTicker(rolloutInterval)
		defer t.Stop()
		for {
			callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
			ok := h.control.options.Keeper.Confirm(callCtx)
			cancel()
			if ok {
				close(confirmed)
				return
			}
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return confirmed
}

// noteChanges logs and counts what has changed. Phases that were reached before the start of
// this keeper aren't counted.
func (h *rollouts) noteChanges(before, v *rollout.View, missed bool) {
	if before == nil {
		before = &rollout.View{}
	}
	for i := range v.Rollouts {
		r := &v.Rollouts[i]
		last, ok := before.Of(r.Service)
		if ok && last.Number == r.Number && last.Phase == r.Phase && last.Step == r.Step {
			continue
		}
		klog.InfoS("rollout changed", "instance", h.control.options.Name, "service", r.Service, "to", r.To, "number", r.Number, "phase", r.Phase, "step", r.Step,
			"share", r.Share, "elapsed", r.Elapsed, "superseded", r.Superseded, "reason", r.Reason, "version", v.Version)
		name, m := "rollout."+r.Service+".", h.control.options.Metrics
		metrics.GetOrRegisterGaugeFloat64(name+"share", m).Update(r.Share)
		if !missed && (!ok || last.Number != r.Number || last.Phase != r.Phase) {
			metrics.GetOrRegisterCounter(name+r.Phase.String(), m).Inc(1)
		}
	}
}

// step lets the judge decide, and proposes what it decides.
func (h *rollouts) step(ctx context.Context, now clock.Instant, v keeper.View) {
	c := h.control
	elapsed := func(r rollout.Rollout) time.Duration { return h.clock.elapsed(now, r) }
	c.mu.Lock()
	state := c.leaderStateFor(now, v)
	if err := state.setConfig(v.Config); err != nil {
		klog.ErrorS(err, "stored configuration can't be read", "revision", v.Config.Number)
	}
	services := state.rolloutServices(now, c.registry, v.Rollouts)
	commands := state.judge.Decide(now, *v.Rollouts, services, elapsed)
	c.mu.Unlock()
	for _, command := range commands {
		h.carryOut(ctx, command, services)
	}
}

// carryOut proposes a command of the judge. It logs and counts it with the evidence.
func (h *rollouts) carryOut(ctx context.Context, command rollout.Command, services map[string]rollout.ServiceState) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCommandTimeout)
	defer cancel()
	c := h.control
	outcome, err := c.options.Keeper.ProposeRollout(ctx, command)
	var service string
	decided := []any{"instance", c.options.Name}
	switch {
	case command.Advance != nil:
		a := command.Advance
		service = a.Service
		decided = append(decided, "service", a.Service, "number", a.Number, "step", a.Step, "share", a.Share, "elapsed", a.Elapsed)
	case command.End != nil:
		e := command.End
		service = e.Service
		decided = append(decided, "service", e.Service, "number", e.Number, "phase", e.Phase, "superseded", e.Superseded, "reason", e.Reason, "elapsed", e.Elapsed)
	}
	evidence := services[service]
	klog.InfoS("rollout decided", append(decided, "outcome", int(outcome), "err", err, "upstreams", evidence.Upstreams, "running", evidence.Running,
		"applied", evidence.Applied, "entries", evidence.Entries, "removed", evidence.Removed)...)
	metrics.GetOrRegisterCounter("rollout."+service+".decisions", c.options.Metrics).Inc(1)
}

// rolloutServices returns what the leader knows of the services whose rollouts run; nothing while
// it collects its first reports.
func (s *leaderState) rolloutServices(now clock.Instant, r *registry, v *rollout.View) map[string]rollout.ServiceState {
	if now-s.startedAt < rolloutCollectTime {
		return nil
	}
	applied, entries := s.viewsInForce(now, v.Version)
	services := map[string]rollout.ServiceState{}
	for i := range v.Rollouts {
		if o := &v.Rollouts[i]; o.Phase == rollout.Running {
			services[o.Service] = rollout.ServiceState{
				Upstreams: map[string]int{}, Running: map[string]int{}, Applied: applied, Entries: entries,
				Removed: s.revision != nil && !hasService(s.revision, o.Service),
			}
		}
	}
	for id, u := range r.upstreams {
		running := s.work.totals[id].Running
		for _, service := range u.Services {
			state, ok := services[service]
			if !ok {
				continue
			}
			if running != 0 {
				state.Running[u.Release] += running
			}
			if u.usable() {
				state.Upstreams[u.Release]++
			}
		}
	}
	return services
}

// viewsInForce returns how many of the entries that reported lately have the version of the
// rollouts' view in force, and their number. Of an entry that has restarted only
// the newest run counts.
func (s *leaderState) viewsInForce(now clock.Instant, version uint64) (applied, entries int) {
	newest := make(map[string]*entryReport, len(s.reports))
	for key, r := range s.reports {
		if now-r.receivedAt > reportMaxAge {
			continue
		}
		if other := newest[key.entry]; other == nil || other.Incarnation < key.incarnation {
			newest[key.entry] = r
		}
	}
	for _, r := range newest {
		if r.RolloutVersion >= version {
			applied++
		}
	}
	return applied, len(newest)
}

// holdsScaling reports whether a service isn't scaled now: its upstreams are twice as many
// while a rollout runs, and again after a revert until the platform has removed those of
// the reverted release.
func (h *rollouts) holdsScaling(now clock.Instant, v *rollout.View, service string, upstreams []upstream.Member) bool {
	last, ok := v.Of(service)
	switch {
	case !ok || last.Phase == rollout.Succeeded:
		return false
	case last.Phase == rollout.Running:
		return true
	}
	remain := slices.ContainsFunc(upstreams, func(u upstream.Member) bool {
		return u.Release == last.To && slices.Contains(u.Services, service)
	})
	return remain && h.clock.sinceEnd(now, last) < rolloutScaleHold
}
