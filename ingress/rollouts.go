package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
)

// split is the part of *rollout.Split that an entry uses.
type split interface {
	fleet.Split
	SetView(now clock.Instant, v rollout.View)
	Version() uint64
	Confirmed(at clock.Instant)
	Report(now clock.Instant) *rollout.Report
}

// rollouts is the entry's part of the rollouts: the split, the view that it was given, and metrics
// by service and release. The dispatcher's lock guards it.
type rollouts struct {
	split
	view     rollout.View
	registry metrics.Registry
}

// newRollouts returns nil if the deployment has no rollouts.
func newRollouts(s settings.Rollouts, registry metrics.Registry, random func() float64) *rollouts {
	limits := rollout.Limits{ExposeShare: s.ExposeShare, ExposeSlack: s.ExposeSlack, RevertWithin: s.RevertWithin}
	if !limits.Enabled() {
		return nil
	}
	return &rollouts{split: rollout.NewSplit(limits, random), registry: registry}
}

// fleetSplit is what the fleet asks.
func (r *rollouts) fleetSplit() fleet.Split {
	if r == nil {
		return nil
	}
	return r
}

// SetView puts a view in force, unless a newer one is.
func (r *rollouts) SetView(now clock.Instant, v rollout.View) {
	if v.Version <= r.view.Version {
		return
	}
	r.split.SetView(now, v)
	before := r.view
	r.view = v
	for _, o := range v.Rollouts {
		if last, ok := before.Of(o.Service); ok && last.Number == o.Number && last.Phase == o.Phase && last.Step == o.Step {
			continue
		}
		klog.InfoS("rollout view in force", "version", v.Version, "service", o.Service, "release", o.To, "number", o.Number,
			"phase", o.Phase.String(), "step", o.Step, "share", o.Share, "elapsed", o.Elapsed, "reason", o.Reason, "reverted", v.Reverted[o.Service])
	}
}

// running is the rollout of the service to the release, if it runs.
func (r *rollouts) running(service, release string) (o rollout.Rollout, ok bool) {
	o, ok = r.view.Of(service)
	return o, ok && o.To == release && o.Phase == rollout.Running
}

// count adds one to a metric of a service's release.
func (r *rollouts) count(name, service, release string) {
	metrics.GetOrRegisterCounter("ingress.rollout."+name+"."+service+"."+release, r.registry).Inc(1)
}

// Sent implements fleet.Split.
func (r *rollouts) Sent(now clock.Instant, service, route, release, upstream string) {
	r.split.Sent(now, service, route, release, upstream)
	if _, ok := r.running(service, release); ok {
		r.count("sent", service, release)
	}
}

// Answered implements fleet.Split. An answer after which the release gets nothing any more, though
// the keepers' view gives it a share, is the last one of a local verdict.
func (r *rollouts) Answered(now clock.Instant, service, route, release, upstream string, good bool, took time.Duration) {
	o, ok := r.running(service, release)
	if !ok {
		r.split.Answered(now, service, route, release, upstream, good, took)
		return
	}
	if !good {
		r.count("bad", service, release)
	}
	allows := func() bool {
		return r.Allows(now, service, rollout.Assignment{Number: o.Number, New: true}, release, false, 0)
	}
	before := allows()
	r.split.Answered(now, service, route, release, upstream, good, took)
	if before && !allows() {
		r.count("stopped", service, release)
		klog.InfoS("new release stopped at this entry", "service", service, "release", release, "number", o.Number, "step", o.Step, "share", o.Share,
			"route", route, "upstream", upstream, "good", good, "took", took)
	}
}

// applyRollouts puts a view of the keepers in force.
func (in *Ingress) applyRollouts(v rollout.View) {
	if in.rollouts == nil {
		return
	}
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		in.rollouts.SetView(now, v)
		return f.SplitChanged(now)
	})
}

// confirmRollouts records that a majority of the keepers had no newer view at the instant.
func (in *Ingress) confirmRollouts(at clock.Instant) {
	if in.rollouts == nil {
		return
	}
	in.dispatcher.run(func(clock.Instant, *fleet.Fleet) []fleet.Action {
		in.rollouts.Confirmed(at)
		return nil
	})
}
