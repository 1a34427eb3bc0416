package control

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/plan"
	"github.com/hyssopladder/hyssopladder/platform"
)

// Timing of scaling.
const (
	// scaleInterval is the time between two checks of the number of
	// upstreams.
	scaleInterval = 400 * time.Millisecond
	// registryDelay is how long a keeper runs before it scales, so that it has
	// received about two announcements of every upstream. Those that started
	// with it may announce themselves later: until no new one has come for
	// registrySettleTime, for registryMaxDelay at most, none are given back.
	registryDelay      = 2500 * time.Millisecond
	registrySettleTime = 1300 * time.Millisecond
	registryMaxDelay   = 6 * time.Second
	// scaleDelay is how long a leader leads before it scales, so that the
	// entries have reported to it.
	scaleDelay = 800 * time.Millisecond
	// scaleRequestTimeout is the time after which a scale request without
	// effect is sent again: the platform may carry it out seconds late.
	scaleRequestTimeout = 6 * time.Second
	// unavailablePause is how long no reclaimable upstreams are requested in
	// a zone after the platform had none there.
	unavailablePause = 3 * time.Second
	// minDecrease is the smallest fraction of a group's upstreams that is given
	// back: each call takes the platform's time, which increases may need.
	minDecrease = 1.0 / 16
)

// scaleDuty scales the services by scale requests to the platform.
type scaleDuty struct {
	duty
	lastScaled       clock.Instant
	requests         map[scaleGroup]*scaleRequest
	unavailableUntil map[scaleGroup]clock.Instant
	// forecasts are those of this term, by service.
	forecasts map[string]*plan.Forecast
	// plannedNeeds are the needed upstreams that were last logged, by service.
	plannedNeeds map[string]int
	// complete says that the registry has had the time to hear of all upstreams.
	complete bool
}

// scaleGroup is a group of upstreams whose number is set by one scale request.
type scaleGroup struct {
	service, zone string
	reclaimable   bool
}

// scaleRequest is the last request that was sent for a scaleGroup.
type scaleRequest struct {
	count    int
	sentAt   clock.Instant
	accepted bool
	// reached says that the group has had count upstreams since the request.
	reached bool
}

// scaleOrder asks for count upstreams in a group that has some already.
type scaleOrder struct {
	scaleGroup
	count, have int
}

func newScaleDuty(c *Control, cloud *platform.Cloud) *scaleDuty {
	return &scaleDuty{duty: newDuty(c, cloud)}
}

func (d *scaleDuty) run(ctx context.Context) {
	d.duty.run(ctx, func() {
		d.requests = map[scaleGroup]*scaleRequest{}
		d.unavailableUntil = map[scaleGroup]clock.Instant{}
		d.forecasts, d.plannedNeeds = map[string]*plan.Forecast{}, map[string]int{}
	}, func(now clock.Instant, v keeper.View) {
		if now-d.lastScaled >= scaleInterval && now-d.termStart >= scaleDelay {
			d.lastScaled = now
			d.scale(ctx, now, v)
		}
	})
}

// registryComplete reports whether the registry, which last heard of a new
// upstream at grownAt, has had the time to hear of all.
func (d *scaleDuty) registryComplete(now, grownAt clock.Instant) bool {
	d.complete = d.complete || now-d.control.startedAt >= registryMaxDelay || now-grownAt >= registrySettleTime
	return d.complete
}

// scale sends scale requests where the number of upstreams isn't the planned
// one.
func (d *scaleDuty) scale(ctx context.Context, now clock.Instant, v keeper.View) {
	c := d.control
	c.mu.Lock()
	// No entry may have reported to this leader yet.
	c.leaderStateFor(now, v)
	if err := c.leaderState.setConfig(v.Config); err != nil {
		klog.ErrorS(err, "stored configuration can't be read", "revision", v.Config.Number)
	}
	revision := c.leaderState.revision
	loads := c.leaderState.sumLoads(now)
	idle := map[string]bool{}
	if revision != nil {
		for i := range revision.Services {
			idle[revision.Services[i].Name] = c.leaderState.isIdle(now, revision.Services[i].Name)
		}
	}
	upstreams := c.registry.usable()
	grownAt := c.registry.grownAt
	c.mu.Unlock()
	if revision == nil || now-c.startedAt < registryDelay {
		return
	}
	complete := d.registryComplete(now, grownAt)
	var orders []scaleOrder
	for i := range revision.Services {
		service := &revision.Services[i]
		if service.Autoscale == nil || service.Engine == nil {
			continue
		}
		var zones []plan.ZoneState
		fixed, reclaimable := 0, 0
		for _, name := range slices.Sorted(maps.Keys(service.Autoscale.ZonePrices)) {
			zone := plan.ZoneState{Name: name, Price: service.Autoscale.ZonePrices[name]}
			for _, u := range upstreams {
				if u.Zone == name && slices.Contains(u.Services, service.Name) {
					if u.Reclaimable {
						zone.Reclaimable++
					} else {
						zone.Fixed++
					}
				}
			}
			fixed += zone.Fixed
			reclaimable += zone.Reclaimable
			zone.Refused = now < d.unavailableUntil[scaleGroup{service.Name, name, true}]
			zones = append(zones, zone)
		}
		load := loads[service.Name]
		need := d.forecast(service).Update(now, plan.Observation{
			Zones: len(zones), Fixed: fixed, Reclaimable: reclaimable, Idle: idle[service.Name],
			Demand: plan.Demand{PromptRate: load.Prompt, Requests: float64(load.Running + load.Waiting)},
		})
		if rounded := int(math.Ceil(need)); rounded != d.plannedNeeds[service.Name] {
			d.plannedNeeds[service.Name] = rounded
			klog.InfoS("upstreams planned", "service", service.Name, "need", rounded, "fixed", fixed, "reclaimable", reclaimable, "idle", idle[service.Name],
				"promptRate", load.Prompt, "running", load.Running, "waiting", load.Waiting, "term", d.term)
		}
		if c.rollouts != nil && c.rollouts.holdsScaling(now, v.Rollouts, service.Name, upstreams) {
			continue
		}
		targets := plan.Spread(need, zones, plan.Bounds{Min: service.Autoscale.Min, Max: service.Autoscale.Max, ReclaimablePrice: service.Autoscale.ReclaimablePrice})
		orders = append(orders, d.dueOrders(now, service.Name, zones, targets)...)
	}
	if !complete {
		orders = slices.DeleteFunc(orders, func(o scaleOrder) bool { return o.count < o.have })
	}
	d.send(ctx, now, orders)
}

// promptTokensPerSecond is how fast one engine reads prompts: the published
// figure, less the cost of decoding at the same time.
const promptTokensPerSecond = 45_000

func (d *scaleDuty) forecast(s *config.Service) *plan.Forecast {
	f, ok := d.forecasts[s.Name]
	if !ok {
		f = plan.NewForecast(plan.Capacity{PromptRate: promptTokensPerSecond, Slots: float64(s.Engine.Slots)})
		d.forecasts[s.Name] = f
	}
	return f
}

// dueOrders returns the orders that bring a service to its targets.
func (d *scaleDuty) dueOrders(now clock.Instant, service string, zones []plan.ZoneState, targets []plan.ZoneTarget) []scaleOrder {
	var orders []scaleOrder
	for _, target := range targets {
		zone := zones[slices.IndexFunc(zones, func(zone plan.ZoneState) bool { return zone.Name == target.Zone })]
		reclaimable := scaleOrder{scaleGroup{service, target.Zone, true}, target.Reclaimable, zone.Reclaimable}
		if !zone.Refused && d.due(now, reclaimable) {
			orders = append(orders, reclaimable)
		}
		if fixed := (scaleOrder{scaleGroup{service, target.Zone, false}, target.Fixed, zone.Fixed}); d.due(now, fixed) {
			orders = append(orders, fixed)
		}
	}
	return orders
}

// due reports whether the order has to be sent. It hasn't if none was sent in
// this term and the group has count upstreams already, if the last one was
// accepted, had the same count, and is fulfilled or may still take effect, or if
// it would give back too few.
func (d *scaleDuty) due(now clock.Instant, o scaleOrder) bool {
	request, ok := d.requests[o.scaleGroup]
	if !ok {
		if o.count == o.have {
			return false
		}
		request = &scaleRequest{}
		d.requests[o.scaleGroup] = request
	}
	request.reached = request.reached || o.have == request.count
	settled := o.have == o.count || (!request.reached && now-request.sentAt < scaleRequestTimeout)
	if request.accepted && request.count == o.count && settled {
		return false
	}
	tooFew := float64(o.have-o.count) < minDecrease*float64(o.have)
	return !request.accepted || o.count >= o.have || !tooFew || o.count == 0
}

// send sends the orders at the same time, as the platform may take a second for
// each.
func (d *scaleDuty) send(ctx context.Context, now clock.Instant, orders []scaleOrder) {
	if len(orders) == 0 || !d.mayCall(ctx) {
		return
	}
	// With more orders than the platform takes at once, those for more
	// upstreams come first.
	slices.SortStableFunc(orders, func(a, b scaleOrder) int { return cmp.Compare(b.count-b.have, a.count-a.have) })
	orders = orders[:min(len(orders), maxConcurrentOrders)]
	verdicts, errs := make([]platform.Verdict, len(orders)), make([]error, len(orders))
	var calls sync.WaitGroup
	for i, o := range orders {
		calls.Go(func() {
			verdicts[i], errs[i] = d.cloud.Scale(ctx, d.authority(), platform.ScaleRequest{Service: o.service, Zone: o.zone, Count: o.count, Reclaimable: o.reclaimable})
		})
	}
	calls.Wait()
	for i, o := range orders {
		d.called(verdicts[i])
		klog.InfoS("upstreams ordered", "service", o.service, "zone", o.zone, "reclaimable", o.reclaimable, "count", o.count, "have", o.have,
			"term", d.term, "verdict", int(verdicts[i]), "err", errs[i])
		*d.requests[o.scaleGroup] = scaleRequest{count: o.count, sentAt: now, accepted: verdicts[i] == platform.Accepted}
		if verdicts[i] == platform.Unavailable && o.reclaimable {
			d.unavailableUntil[o.scaleGroup] = now + unavailablePause
		}
	}
}

// maxConcurrentOrders bounds the orders of one step.
const maxConcurrentOrders = 16
