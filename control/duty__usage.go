package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/usage"
)

const (
	// usageSettleFraction is the fraction of the time allowed for a usage
	// report after which a window's counts are final: entries report several
	// times a second, and the clocks of keepers may be off by seconds.
	usageSettleFraction = 0.4
	// resendWindows is how many windows a new leader reports again, since it
	// doesn't know whether the reports of the leader before it arrived.
	resendWindows = 3
)

// usageDuty reports the organisations' usage to the platform.
type usageDuty struct {
	duty
	// lastSentWindow is the newest window that the platform has accepted.
	lastSentWindow uint64
}

func newUsageDuty(c *Control, cloud *platform.Cloud) *usageDuty {
	return &usageDuty{duty: newDuty(c, cloud)}
}

func (d *usageDuty) run(ctx context.Context) {
	d.duty.run(ctx, func() { d.lastSentWindow = 0 }, func(now clock.Instant, v keeper.View) { d.reportUsage(ctx, now, v) })
}

// reportUsage first records each final window in the keepers' replicated state
// and then sends it, so that a later leader sends the same counts.
func (d *usageDuty) reportUsage(ctx context.Context, now clock.Instant, v keeper.View) {
	cloud := d.control.options.Cloud
	settleTime := time.Duration(usageSettleFraction * float64(cloud.UsageWithin))
	if now-d.termStart < time.Second {
		// The entries have to report to a new leader first.
		return
	}
	wall := time.Now()
	d.control.mu.Lock()
	if state := d.control.leaderState; state != nil && state.term == d.term {
		wall = d.control.entryClocks.timeOfDay(now, wall)
	}
	d.control.mu.Unlock()
	lastFinal := uint64(wall.Add(-settleTime).UnixNano()/int64(cloud.UsageWindow)) - 1
	if d.lastSentWindow == 0 {
		d.lastSentWindow = sentBefore(lastFinal, v.UsageWindow)
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

// sentBefore returns the window after which a new leader begins to report: the last ones again, and
// those that no leader has recorded, as far as their counts are kept.
func sentBefore(lastFinal, recorded uint64) uint64 {
	before := lastFinal - min(lastFinal, resendWindows)
	if recorded > 0 {
		// The newest recorded one may not have been sent.
		before = min(before, recorded-1)
	}
	return max(before, lastFinal-min(lastFinal, keptWindows))
}

// recordUsage stores a window's counts in the keepers' replicated state, unless
// they are stored already, and returns the stored ones.
func (d *usageDuty) recordUsage(ctx context.Context, number uint64) (usage.Window, bool) {
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
