package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
)

// office is what the leader keeps of the entries' reports. A new leader starts
// a new one.
type office struct {
	term   uint64
	since  clock.Instant
	ledger *quota.Ledger
	// reports are the entries' newest, by name and incarnation.
	reports map[reporter]*reported
	work    *work
	// limits are the quotas of the configuration with the number.
	revision *config.Revision
	limits   map[string]float64
	// busy is when a service last had requests.
	busy map[string]clock.Instant
}

type reporter struct {
	entry       string
	incarnation uint64
}

type reported struct {
	AccountRequest
	at clock.Instant
	// prompts are the smoothed prompt tokens per second by service: one
	// report covers a few requests only.
	prompts map[string]float64
}

func newOffice(now clock.Instant, term uint64, slack float64) *office {
	return &office{term: term, since: now, ledger: quota.NewLedger(now, slack), reports: map[reporter]*reported{}, work: newWork(), busy: map[string]clock.Instant{}}
}

// reportAge is how long an entry's report counts for load.
const reportAge = 2 * time.Second

// reportMemory is how long the report of an entry that is gone is kept.
const reportMemory = 30 * time.Second

// promptWeight smooths the prompt tokens over about ten reports, three seconds.
const promptWeight = 0.1

// serveAccount takes in an entry's report and grants quotas, if this keeper
// leads.
func (c *Control) serveAccount(_ context.Context, body []byte) (any, error) {
	var q AccountRequest
	if err := wire.Decode(body, &q); err != nil {
		return nil, err
	}
	v, _ := c.options.Keeper.View()
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.report(now, reporter{q.Entry, q.Incarnation}, q.Usage)
	if !v.Leading || q.UsageOnly {
		return &AccountReply{Leader: v.Leader, Term: v.Term}, nil
	}
	o := c.officeOf(now, v)
	if err := o.setConfig(v.Config); err != nil {
		return nil, err
	}
	return o.report(now, q), nil
}

// serveReserve takes a request's cost from the pool, if this keeper leads.
func (c *Control) serveReserve(_ context.Context, body []byte) (any, error) {
	var q ReserveRequest
	if err := wire.Decode(body, &q); err != nil {
		return nil, err
	}
	v, _ := c.options.Keeper.View()
	if !v.Leading {
		return nil, errors.New("this keeper doesn't lead")
	}
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.officeOf(now, v)
	if err := o.setConfig(v.Config); err != nil {
		return nil, err
	}
	limit, ok := o.limits[q.Organisation]
	if !ok {
		return &ReserveReply{OK: true}, nil
	}
	r := o.ledger.Reserve(now, q.Organisation, limit, q.Cost)
	return &ReserveReply{OK: r.OK, After: r.RetryAfter, Limit: limit, Left: r.Remaining}, nil
}

// officeOf returns the office of the term, with the lock held.
func (c *Control) officeOf(now clock.Instant, v keeper.View) *office {
	if c.office == nil || c.office.term != v.Term {
		c.office = newOffice(now, v.Term, c.options.QuotaSlack)
		klog.InfoS("leader keeps accounts", "instance", c.options.Name, "term", v.Term)
	}
	return c.office
}

func (o *office) setConfig(p config.Put) error {
	if p.Number == 0 || (o.revision != nil && o.revision.Number == p.Number) {
		return nil
	}
	body, err := pack.Inflate(p.Packed, config.MaxBody)
	if err != nil {
		return err
	}
	r, err := platform.DecodeConfig(body)
	if err != nil {
		return err
	}
	o.revision = r
	o.limits = make(map[string]float64, len(r.Organisations))
	for _, org := range r.Organisations {
		if org.Rate > 0 {
			o.limits[org.Name] = org.Rate
		}
	}
	return nil
}

func (o *office) report(now clock.Instant, q AccountRequest) *AccountReply {
	key := reporter{q.Entry, q.Incarnation}
	r, ok := o.reports[key]
	if !ok {
		r = &reported{prompts: map[string]float64{}}
		o.reports[key] = r
	}
	r.AccountRequest, r.at = q, now
	// These are summed up apart.
	r.Busy, r.Usage = nil, nil
	for name, l := range q.Loads {
		r.prompts[name] += promptWeight * (l.Prompt - r.prompts[name])
	}
	for other, held := range o.reports {
		if now-held.at > reportMemory {
			delete(o.reports, other)
		}
	}
	asks := make(map[string]quota.Demand, len(q.Demands))
	for name, d := range q.Demands {
		asks[name] = quota.Demand{Rate: d.Asked, LeasedRate: d.Rate, Refunded: d.Returned}
	}
	o.work.report(now, key, q.Busy)
	reply := &AccountReply{
		Leading: true,
		Term:    o.term,
		Rates:   o.ledger.Grant(now, q.Entry, q.Incarnation, asks, o.limits),
		Lease:   quota.Lease,
		Others:  o.work.others(key),
		Entries: o.work.entries(),
	}
	if o.revision != nil {
		reply.Config = o.revision.Number
	}
	return reply
}

// loads sums up the entries' work by service.
func (o *office) loads(now clock.Instant) map[string]Load {
	sums := map[string]Load{}
	for _, r := range o.reports {
		if now-r.at > reportAge {
			continue
		}
		for name, l := range r.Loads {
			sum := sums[name]
			sum.Arrivals += l.Arrivals
			sum.Urgent += l.Urgent
			sum.Prompt += r.prompts[name]
			sum.Output += l.Output
			sum.Waiting += l.Waiting
			sum.Running += l.Running
			sums[name] = sum
		}
	}
	for name, l := range sums {
		if l.Arrivals > 0 {
			o.busy[name] = now
		}
	}
	return sums
}

// wall is true time, as the entries know it, or the given time of day without
// any.
func (o *office) wall(now clock.Instant, own time.Time) time.Time {
	offsets := []time.Duration{time.Duration(own.UnixNano()) - now}
	for _, r := range o.reports {
		if now-r.at <= reportAge {
			offsets = append(offsets, time.Duration(r.Wall.UnixNano())-r.at)
		}
	}
	return clock.Median(now, offsets)
}

// quietSince reports whether a service has had no requests for a while, so
// that its demand isn't known.
func (o *office) quietSince(now clock.Instant, service string) bool {
	const demandMemory = 10 * time.Second
	at, ok := o.busy[service]
	return !ok || now-at > demandMemory
}
