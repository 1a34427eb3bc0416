package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fence"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/plan"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Timing of the duties towards the platform.
const (
	dutyInterval = 200 * time.Millisecond
	// usageSettleFraction is the fraction of the time allowed for a usage
	// report after which a window's counts are final: entries report three
	// times a second, and the clocks of keepers may be off by seconds.
	usageSettleFraction = 0.4
	// resendWindows is how many windows a new leader reports again, since it
	// doesn't know whether the reports of the leader before it arrived.
	resendWindows = 3
	// scaleInterval is the time between two checks of the number of
	// upstreams.
	scaleInterval = 400 * time.Millisecond
	// registryDelay is how long a keeper runs before it scales, so that it
	// has received about two announcements of every upstream.
	registryDelay = 2500 * time.Millisecond
	// scaleDelay is how long a leader leads before it scales, so that the
	// entries have reported to it.
	scaleDelay = 800 * time.Millisecond
	// scaleRequestTimeout is the time after which a scale request without
	// effect is sent again: the platform may carry it out seconds late.
	scaleRequestTimeout = 6 * time.Second
	// unavailablePause is how long no reclaimable upstreams are requested in
	// a zone after the platform had none there.
	unavailablePause = 3 * time.Second
)

// duties reports usage to the platform and scales the services, while this
// keeper leads. The fields belong to one goroutine, that of run.
type duties struct {
	control   *Control
	cloud     *platform.Cloud
	term      uint64
	termStart clock.Instant
	// lastSentWindow is the newest window that the platform has accepted.
	lastSentWindow uint64
	// lease says when calls may be sent in this term.
	lease            *fence.TermLease
	lastScaled       clock.Instant
	scaleRequests    map[scaleGroup]*scaleRequest
	unavailableUntil map[scaleGroup]clock.Instant
	promptTrends     map[string]*plan.Trend
	runningTrends    map[string]*plan.Trend
	// highestCounts are the highest numbers of upstreams that each service
	// has had in this term.
	highestCounts map[string]int
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

func newDuties(c *Control, cloud *platform.Cloud) *duties {
	return &duties{control: c, cloud: cloud, lease: fence.NewTermLease(c.options.Cloud.HolderLease)}
}

// run carries out the duties until ctx ends.
func (d *duties) run(ctx context.Context) {
	t := time.NewTicker(dutyInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (d *duties) step(ctx context.Context) {
	v, _ := d.control.options.Keeper.View()
	if !v.Leading {
		return
	}
	now := d.control.options.Clock()
	if v.Term != d.term {
		d.term, d.termStart = v.Term, now
		d.lastSentWindow = 0
		d.scaleRequests = map[scaleGroup]*scaleRequest{}
		d.unavailableUntil = map[scaleGroup]clock.Instant{}
		d.promptTrends, d.runningTrends = map[string]*plan.Trend{}, map[string]*plan.Trend{}
		d.highestCounts = map[string]int{}
	}
	if d.lease.Awaited(now, d.term) != 0 {
		return
	}
	if slices.Contains(d.control.options.Cloud.Duties, platform.DutyUsage) {
		d.reportUsage(ctx, now, v)
	}
	if slices.Contains(d.control.options.Cloud.Duties, platform.DutyScale) && now-d.lastScaled >= scaleInterval && now-d.termStart >= scaleDelay && now-d.control.startedAt >= registryDelay {
		d.lastScaled = now
		d.scale(ctx, now, v)
	}
}

func (d *duties) authority() platform.Authority {
	return platform.Authority{Holder: d.control.options.Name, Token: d.term}
}

// mayCall reports whether a call may be sent now, as the leader of the term. It
// asks a majority of the keepers if they were not asked just before.
func (d *duties) mayCall(ctx context.Context) bool {
	now := d.control.options.Clock()
	if d.lease.NeedsConfirmation(now, d.term) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		confirmed := d.control.options.Keeper.Confirm(ctx)
		v, _ := d.control.options.Keeper.View()
		if !confirmed || !v.Leading || v.Term != d.term {
			klog.InfoS("no call to the platform, as no majority confirmed the leader", "instance", d.control.options.Name, "term", d.term, "leading", v.Leading, "now", v.Term)
			return false
		}
		d.lease.Confirmed(now, d.term)
	}
	return d.lease.MaySend(d.control.options.Clock(), d.term)
}

// called records a call that has ended.
func (d *duties) called(verdict platform.Verdict) {
	d.lease.Sent(d.control.options.Clock(), d.term, verdict != 0)
	if verdict == platform.Fenced {
		d.lease.Rejected(d.term)
	}
}

// reportUsage first records each final window in the keepers' replicated state
// and then sends it, so that a later leader sends the same counts.
func (d *duties) reportUsage(ctx context.Context, now clock.Instant, v keeper.View) {
	cloud := d.control.options.Cloud
	settleTime := time.Duration(usageSettleFraction * float64(cloud.UsageWithin))
	if now-d.termStart < time.Second {
		// The entries have to report to a new leader first.
		return
	}
	wall := time.Now()
	d.control.mu.Lock()
	if state := d.control.leaderState; state != nil && state.term == d.term {
		wall = state.wallTime(now, wall)
	}
	d.control.mu.Unlock()
	lastFinal := uint64(wall.Add(-settleTime).UnixNano()/int64(cloud.UsageWindow)) - 1
	if d.lastSentWindow == 0 {
		d.lastSentWindow = min(lastFinal-resendWindows, v.UsageWindow)
		if v.UsageWindow == 0 {
			d.lastSentWindow = lastFinal - resendWindows
		}
		d.lastSentWindow = max(d.lastSentWindow, lastFinal-resendWindows)
	}
	for number := d.lastSentWindow + 1; number <= lastFinal; number++ {
		window, ok := d.recordUsage(ctx, number)
		if !ok {
			return
		}
		if len(window.Counts) > 0 {
			if !d.mayCall(ctx) {
				return
			}
			verdict, err := d.cloud.ReportUsage(ctx, d.authority(), window)
			d.called(verdict)
			klog.InfoS("usage reported", "window", number, "term", d.term, "counts", window.Counts, "verdict", int(verdict), "err", err)
			if verdict != platform.Accepted {
				return
			}
		}
		d.lastSentWindow = number
	}
}

// recordUsage stores a window's counts in the keepers' replicated state, unless
// they are stored already, and returns the stored ones.
func (d *duties) recordUsage(ctx context.Context, number uint64) (usage.Window, bool) {
	c := d.control
	c.mu.Lock()
	window := c.usageCounts.sumWindow(number)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	recorded, err := c.options.Client.RecordUsage(ctx, window)
	if err != nil {
		klog.InfoS("usage not recorded; trying again", "window", number, "err", err)
		return window, false
	}
	return recorded, true
}

// scale sends scale requests where the number of upstreams isn't the planned
// one.
func (d *duties) scale(ctx context.Context, now clock.Instant, v keeper.View) {
	c := d.control
	c.mu.Lock()
	if c.leaderState == nil || c.leaderState.term != d.term {
		// No entry has reported to this leader yet.
		c.leaderState = newLeaderState(now, d.term, c.options.QuotaSlack)
	}
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
	c.mu.Unlock()
	if revision == nil {
		return
	}
	for i := range revision.Services {
		service := &revision.Services[i]
		if service.Autoscale == nil || service.Engine == nil {
			continue
		}
		var zones []plan.ZoneState
		total := 0
		for _, name := range slices.Sorted(maps.Keys(service.Autoscale.ZonePrices)) {
			zone := plan.ZoneState{Name: name, Price: service.Autoscale.ZonePrices[name]}
			for _, u := range upstreams {
				if u.Zone == name && slices.Contains(u.Services, service.Name) {
					total++
					if u.Reclaimable {
						zone.Reclaimable++
					} else {
						zone.Fixed++
					}
				}
			}
			zone.Refused = now < d.unavailableUntil[scaleGroup{service.Name, name, true}]
			zones = append(zones, zone)
		}
		need := d.neededUpstreams(now, service, len(zones), total, loads[service.Name], idle[service.Name])
		targets := plan.Spread(need, zones, plan.Bounds{Min: service.Autoscale.Min, Max: service.Autoscale.Max, ReclaimablePrice: service.Autoscale.ReclaimablePrice})
		for _, target := range targets {
			d.scaleZone(ctx, now, service.Name, target, zones, need)
		}
	}
}

// promptTokensPerSecond is how fast one engine reads prompts: the published
// figure, less the cost of decoding at the same time.
const promptTokensPerSecond = 45_000

// neededUpstreams returns how many upstreams the load of a service needs. idle
// says that it has had no requests for a while.
func (d *duties) neededUpstreams(now clock.Instant, s *config.Service, zones, total int, load Load, idle bool) float64 {
	service := s.Name
	capacity := plan.Capacity{PromptRate: promptTokensPerSecond, Slots: float64(s.Engine.Slots)}
	firstRound := d.promptTrends[service] == nil
	if firstRound {
		d.promptTrends[service], d.runningTrends[service] = &plan.Trend{}, &plan.Trend{}
	}
	d.highestCounts[service] = max(d.highestCounts[service], total)
	if firstRound || idle {
		// The demand isn't known at the start of a term or without requests:
		// the highest number of upstreams in this term is taken as needed.
		need := float64(d.highestCounts[service])
		if !idle {
			// The upstreams include the reserve for the loss of a zone.
			need *= float64(zones-1) / float64(max(zones, 1))
		}
		supported := plan.SupportedDemand(need, capacity)
		d.promptTrends[service].Reset(now, supported.PromptRate)
		d.runningTrends[service].Reset(now, supported.Requests)
		return need
	}
	return plan.RequiredUpstreams(plan.Demand{
		PromptRate: d.promptTrends[service].Update(now, load.Prompt),
		Requests:   d.runningTrends[service].Update(now, float64(load.Running+load.Waiting)),
	}, capacity)
}

// scaleZone requests the upstreams that a zone should have.
func (d *duties) scaleZone(ctx context.Context, now clock.Instant, service string, target plan.ZoneTarget, zones []plan.ZoneState, need float64) {
	zone := zones[slices.IndexFunc(zones, func(zone plan.ZoneState) bool { return zone.Name == target.Zone })]
	if !zone.Refused {
		d.requestScale(ctx, now, scaleGroup{service, target.Zone, true}, target.Reclaimable, zone.Reclaimable, need)
	}
	d.requestScale(ctx, now, scaleGroup{service, target.Zone, false}, target.Fixed, zone.Fixed, need)
}

// requestScale sends a scale request for the group. It doesn't if none was sent
// in this term and the group has count upstreams already, or if the last one was
// accepted, had the same count, and is fulfilled or may still take effect.
func (d *duties) requestScale(ctx context.Context, now clock.Instant, group scaleGroup, count, have int, need float64) {
	request, ok := d.scaleRequests[group]
	if !ok {
		if count == have {
			return
		}
		request = &scaleRequest{}
		d.scaleRequests[group] = request
	}
	request.reached = request.reached || have == request.count
	settled := have == count || (!request.reached && now-request.sentAt < scaleRequestTimeout)
	if request.accepted && request.count == count && settled {
		return
	}
	if !d.mayCall(ctx) {
		return
	}
	verdict, err := d.cloud.Scale(ctx, d.authority(), platform.ScaleRequest{Service: group.service, Zone: group.zone, Count: count, Reclaimable: group.reclaimable})
	d.called(verdict)
	klog.InfoS("upstreams ordered", "service", group.service, "zone", group.zone, "reclaimable", group.reclaimable, "count", count, "have", have,
		"need", need, "term", d.term, "verdict", int(verdict), "err", err)
	*request = scaleRequest{count: count, sentAt: now, accepted: verdict == platform.Accepted}
	switch verdict {
	case platform.Unavailable:
		if group.reclaimable {
			d.unavailableUntil[group] = now + unavailablePause
		}
	case platform.Fenced, platform.Accepted, platform.Busy:
	}
}
