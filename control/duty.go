package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/plan"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Times of the duties towards the platform.
const (
	dutyInterval = 200 * time.Millisecond
	// settleTime is the part of the time allowed for a usage report after
	// which a window's counts are final: entries report three times a
	// second, and the clocks of keepers may be off by seconds.
	settlePart = 0.4
	// resendWindows is how many windows a new leader sends again, since it
	// doesn't know whether its predecessor's reports arrived.
	resendWindows = 3
	// scaleInterval is the time between two looks at the number of
	// upstreams.
	scaleInterval = 400 * time.Millisecond
	// rosterDelay is how long a keeper that has just started listens before it
	// orders: about two announcements of every upstream. A new leader that
	// has run for longer needs only the entries' reports.
	rosterDelay = 2500 * time.Millisecond
	scaleDelay  = 800 * time.Millisecond
	// orderPatience is how long an order may take to show: orders may be
	// carried out seconds late.
	orderPatience = 6 * time.Second
	// refusedPause is how long reclaimable upstreams aren't asked for where
	// they could not be had.
	refusedPause = 3 * time.Second
)

// duties are what the leader does towards the platform. The fields belong to
// one goroutine.
type duties struct {
	control *Control
	cloud   *platform.Cloud
	term    uint64
	since   clock.Instant
	// sent is the newest window that the platform has accepted.
	sent uint64
	// fenced says that another holder was seen; nothing is sent in the term.
	fenced  bool
	scaled  clock.Instant
	orders  map[orderKey]*order
	refused map[orderKey]clock.Instant
	prompt  map[string]*plan.Trend
	running map[string]*plan.Trend
	// first are the numbers of upstreams of each service at the beginning.
	first map[string]int
}

type orderKey struct {
	service, zone string
	reclaimable   bool
}

type order struct {
	count int
	at    clock.Instant
	done  bool
	// reached says that the number was there since the order.
	reached bool
}

func newDuties(c *Control, cloud *platform.Cloud) *duties {
	return &duties{control: c, cloud: cloud}
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
		d.term, d.since, d.fenced = v.Term, now, false
		d.sent = 0
		d.orders = map[orderKey]*order{}
		d.refused = map[orderKey]clock.Instant{}
		d.prompt, d.running = map[string]*plan.Trend{}, map[string]*plan.Trend{}
		d.first = map[string]int{}
	}
	if d.fenced {
		return
	}
	if slices.Contains(d.control.options.Cloud.Duties, platform.DutyUsage) {
		d.reportUsage(ctx, now, v)
	}
	if slices.Contains(d.control.options.Cloud.Duties, platform.DutyScale) && now-d.scaled >= scaleInterval && now-d.since >= scaleDelay && now-d.control.began >= rosterDelay {
		d.scaled = now
		d.scale(ctx, now, v)
	}
}

func (d *duties) authority() platform.Authority {
	return platform.Authority{Holder: d.control.options.Name, Token: d.term}
}

// reportUsage records the windows that are final, and then sends them: any
// leader after this one sends the same counts.
func (d *duties) reportUsage(ctx context.Context, now clock.Instant, v keeper.View) {
	s := d.control.options.Cloud
	settle := time.Duration(settlePart * float64(s.UsageWithin))
	if now-d.since < time.Second {
		// The entries have to report to a new leader first.
		return
	}
	wall := time.Now()
	d.control.mu.Lock()
	if o := d.control.office; o != nil && o.term == d.term {
		wall = o.wall(now, wall)
	}
	d.control.mu.Unlock()
	final := uint64(wall.Add(-settle).UnixNano()/int64(s.UsageWindow)) - 1
	if d.sent == 0 {
		d.sent = min(final-resendWindows, v.Usage)
		if v.Usage == 0 {
			d.sent = final - resendWindows
		}
		d.sent = max(d.sent, final-resendWindows)
	}
	for number := d.sent + 1; number <= final; number++ {
		w, ok := d.record(ctx, number)
		if !ok {
			return
		}
		if len(w.Counts) > 0 {
			verdict, err := d.cloud.ReportUsage(ctx, d.authority(), w)
			klog.InfoS("usage reported", "window", number, "term", d.term, "counts", w.Counts, "verdict", int(verdict), "err", err)
			if verdict == platform.Fenced {
				d.fenced = true
				return
			}
			if verdict != platform.Accepted {
				return
			}
		}
		d.sent = number
	}
}

// record puts a window's counts on record, if they aren't yet.
func (d *duties) record(ctx context.Context, number uint64) (usage.Window, bool) {
	c := d.control
	c.mu.Lock()
	w := c.counts.window(number)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, putTime)
	defer cancel()
	recorded, err := c.options.Client.RecordUsage(ctx, w)
	if err != nil {
		klog.InfoS("usage not recorded", "window", number, "err", err)
		return w, false
	}
	return recorded, true
}

// scale orders upstreams where their number isn't the wanted one.
func (d *duties) scale(ctx context.Context, now clock.Instant, v keeper.View) {
	c := d.control
	c.mu.Lock()
	if c.office == nil || c.office.term != d.term {
		// No entry has reported to this leader yet.
		c.office = newOffice(now, d.term, c.options.QuotaSlack)
	}
	if err := c.office.setConfig(v.Config); err != nil {
		klog.ErrorS(err, "stored configuration can't be read", "revision", v.Config.Number)
	}
	revision := c.office.revision
	loads := c.office.loads(now)
	members := c.roster.live()
	c.mu.Unlock()
	if revision == nil {
		return
	}
	for i := range revision.Services {
		s := &revision.Services[i]
		if s.Autoscale == nil || s.Engine == nil {
			continue
		}
		var zones []plan.ZoneState
		total := 0
		for _, name := range slices.Sorted(maps.Keys(s.Autoscale.ZonePrices)) {
			z := plan.ZoneState{Name: name, Price: s.Autoscale.ZonePrices[name]}
			for _, m := range members {
				if m.Zone == name && slices.Contains(m.Services, s.Name) {
					total++
					if m.Reclaimable {
						z.Reclaimable++
					} else {
						z.Fixed++
					}
				}
			}
			z.Refused = now < d.refused[orderKey{s.Name, name, true}]
			zones = append(zones, z)
		}
		need := d.need(now, s.Name, s.Engine.Slots, len(zones), total, loads[s.Name])
		wants := plan.Spread(need, zones, plan.Bounds{Min: s.Autoscale.Min, Max: s.Autoscale.Max, ReclaimablePrice: s.Autoscale.ReclaimablePrice})
		for _, w := range wants {
			d.want(ctx, now, s.Name, w, zones, need)
		}
	}
}

// promptSpeed is the prompt tokens that one engine reads in a second, from the
// published sheets, less what decoding beside it costs.
const promptSpeed = 45_000

func (d *duties) need(now clock.Instant, service string, slots, zones, total int, l Load) float64 {
	capacity := plan.Capacity{PromptRate: promptSpeed, Slots: float64(slots)}
	first := d.prompt[service] == nil
	if first {
		d.prompt[service], d.running[service] = &plan.Trend{}, &plan.Trend{}
	}
	d.first[service] = max(d.first[service], total)
	if quiet := d.control.office.quietSince(now, service); first || quiet {
		// Without a demand to go by, what serves now is taken as needed: at
		// the beginning, and by a leader that follows another.
		need := float64(d.first[service])
		if !quiet {
			// What serves includes what is held for the loss of a zone.
			need *= float64(zones-1) / float64(max(zones, 1))
		}
		w := plan.SupportedDemand(need, capacity)
		d.prompt[service].Reset(now, w.PromptRate)
		d.running[service].Reset(now, w.Requests)
		return need
	}
	return plan.RequiredUpstreams(plan.Demand{
		PromptRate: d.prompt[service].Update(now, l.Prompt),
		Requests:   d.running[service].Update(now, float64(l.Running+l.Waiting)),
	}, capacity)
}

// want orders what a zone should have.
func (d *duties) want(ctx context.Context, now clock.Instant, service string, w plan.ZoneTarget, zones []plan.ZoneState, need float64) {
	z := zones[slices.IndexFunc(zones, func(z plan.ZoneState) bool { return z.Name == w.Zone })]
	if !z.Refused {
		d.order(ctx, now, orderKey{service, w.Zone, true}, w.Reclaimable, z.Reclaimable, need)
	}
	d.order(ctx, now, orderKey{service, w.Zone, false}, w.Fixed, z.Fixed, need)
}

func (d *duties) order(ctx context.Context, now clock.Instant, key orderKey, count, have int, need float64) {
	o, ok := d.orders[key]
	if !ok {
		if count == have {
			return
		}
		o = &order{}
		d.orders[key] = o
	}
	o.reached = o.reached || have == o.count
	settled := have == count || (!o.reached && now-o.at < orderPatience)
	if o.done && o.count == count && settled {
		return
	}
	verdict, err := d.cloud.Scale(ctx, d.authority(), platform.Order{Service: key.service, Zone: key.zone, Count: count, Reclaimable: key.reclaimable})
	klog.InfoS("upstreams ordered", "service", key.service, "zone", key.zone, "reclaimable", key.reclaimable, "count", count, "have", have,
		"need", need, "term", d.term, "verdict", int(verdict), "err", err)
	*o = order{count: count, at: now, done: verdict == platform.Accepted}
	switch verdict {
	case platform.Unavailable:
		if key.reclaimable {
			d.refused[key] = now + refusedPause
		}
	case platform.Fenced:
		d.fenced = true
	case platform.Accepted, platform.Busy:
	}
}
