package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fence"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/platform"
)

// dutyInterval is the time between two steps of a duty.
const dutyInterval = 200 * time.Millisecond

// duty is a kind of call to the platform that belongs to the leader. Its fields
// belong to one goroutine.
type duty struct {
	control   *Control
	cloud     *platform.Cloud
	term      uint64
	termStart clock.Instant
	// lease says when calls may be sent in this term.
	lease *fence.TermLease
}

func newDuty(c *Control, cloud *platform.Cloud) duty {
	return duty{control: c, cloud: cloud, lease: fence.NewTermLease(c.options.Cloud.HolderLease)}
}

// run calls step at each interval in which this keeper may carry out the duty,
// and begin before the first step of a term. It ends with ctx.
func (d *duty) run(ctx context.Context, begin func(), step func(now clock.Instant, v keeper.View)) {
	t := time.NewTicker(dutyInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		v, _ := d.control.options.Keeper.View()
		if !v.Leading {
			continue
		}
		now := d.control.options.Clock()
		if v.Term != d.term {
			d.term, d.termStart = v.Term, now
			begin()
		}
		if d.lease.Awaited(now, d.term) == 0 {
			step(now, v)
		}
	}
}

func (d *duty) authority() platform.Authority {
	return platform.Authority{Holder: d.control.options.Name, Token: d.term}
}

// mayCall reports whether a call may be sent now, as the leader of the term. It
// asks a majority of the keepers if they were not asked just before.
func (d *duty) mayCall(ctx context.Context) bool {
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
func (d *duty) called(verdict platform.Verdict) {
	d.lease.Sent(d.control.options.Clock(), d.term, verdict != 0)
	if verdict == platform.Fenced {
		d.lease.Rejected(d.term)
	}
}
