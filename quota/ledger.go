// Package quota splits the quotas of organisations among entries. A part of each
// quota is granted to the entries as rates that are valid for a lease; the other
// part is a pool at the leading keeper, for requests that an entry's own rate
// doesn't cover. The sum over all entries stays within the published limit even
// if entries or the leader are cut off, restarted or replaced. Ledger is the
// leader's side and LeasedBucket the entry's. The package has no clock and does
// no I/O.
package quota

import (
	"container/list"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Lease is how long an entry may use a rate, counted from its request for it. It
// is longer than an ordinary change of the leader takes.
const Lease = 2 * time.Second

// leaseMargin is how much longer than Lease the leader counts a grant as in use.
const leaseMargin = 200 * time.Millisecond

// Together, these keep what all entries and the pool hand out in a window,
// including what they saved up before it, within the published limit: the rate
// over the window plus a burst of one second, an excess of a tenth of that, and
// the slack.
const (
	// entryFraction is the fraction of an organisation's rate that is granted to
	// entries, poolFraction the fraction that fills the leader's pool.
	entryFraction = 0.5
	poolFraction  = 0.6
	// entryBurstTime is the capacity of an entry's bucket, as time at its rate. An
	// entry lives on it while there is no leader.
	entryBurstTime = 800 * time.Millisecond
	// poolBurstTime is the capacity of the pool without slack, as time at the
	// organisation's whole rate.
	poolBurstTime = 500 * time.Millisecond
	// maxRefundAge is how long after its admission the cost of a request that
	// has not run is still refunded. A refund may be handed out in a later window
	// on top of that window's own quota; late ones would let the sum exceed the
	// limit.
	maxRefundAge = 100 * time.Millisecond
	// poolSlackFraction is the fraction of the deployment's slack that adds to
	// the pool's capacity; the rest covers requests in flight between two windows.
	poolSlackFraction = 0.7
)

// Demand is what an entry reports about one organisation's quota.
type Demand struct {
	// Rate is the demand of the organisation's callers, in units per second.
	Rate float64
	// LeasedRate is the rate that the entry may use at present, in units per
	// second.
	LeasedRate float64
	// Refunded is the sum of refunds to the pool since the entry started, in
	// units.
	Refunded float64
}

const (
	// maxRate bounds rates, so that a sum of them is exact enough once they are subtracted again.
	maxRate = 1e12
	// maxDemand bounds the demand that counts, in parts of the organisation's rate: a caller may name any
	// cost, and the others' parts would be small until the average has forgotten it.
	maxDemand = 10
	// maxOverdraft bounds the time for which one request may overdraw the pool. One that costs more
	// doesn't fit any quota, and would keep out the organisation's other requests.
	maxOverdraft = time.Minute
)

// bound replaces what isn't a rate by the nearest one: what one entry reports mustn't change the
// parts of the others.
func (d *Demand) bound() {
	for _, v := range []*float64{&d.Rate, &d.LeasedRate, &d.Refunded} {
		if !(*v > 0) {
			*v = 0
		}
		*v = min(*v, maxRate)
	}
}

// demandSmoothing is the weight of a new report in the average demand, so that it
// covers about ten reports: a single request may cost a second's quota.
const demandSmoothing = 0.1

// Ledger is the leader's record of what it granted. It keeps the sums over all
// entries, so that the cost of a grant doesn't grow with their number. It isn't
// safe for concurrent use.
type Ledger struct {
	// start is when this leader's term began. Grants of the previous leader may
	// be in use for a lease from then.
	start clock.Instant
	// slack is in units.
	slack  float64
	leases map[entryKey]*entryLease
	// byEnd lists the leases in the order in which they end.
	byEnd *list.List
	// sums and pools are by organisation.
	sums  map[string]*leaseSum
	pools map[string]*bucket
}

type entryKey struct {
	entry       string
	incarnation uint64
}

// entryLease is the state of one entry.
type entryLease struct {
	key     entryKey
	end     clock.Instant
	element *list.Element
	// parts are by organisation.
	parts map[string]*leasePart
}

// leasePart is an entry's part of one organisation's quota.
type leasePart struct {
	// demand is the average of the reported demand.
	demand float64
	// grantedRate is that of the last grant, reportedRate the one that the entry
	// was still using when it asked for that.
	grantedRate, reportedRate float64
	// refunded is the sum of refunds that the entry has reported.
	refunded float64
}

// usableRate is the highest rate that the entry may be using.
func (p *leasePart) usableRate() float64 { return max(p.grantedRate, p.reportedRate) }

// leaseSum is the sum of all entries' parts of one organisation's quota.
type leaseSum struct{ demand, usableRates float64 }

func (s *leaseSum) add(p *leasePart) {
	s.demand += p.demand
	s.usableRates += p.usableRate()
}

// subtract takes out a part; the bounds remove what rounding left.
func (s *leaseSum) subtract(p *leasePart) {
	s.demand = max(s.demand-p.demand, 0)
	s.usableRates = max(s.usableRates-p.usableRate(), 0)
}

// NewLedger returns the ledger of a leader whose term begins now. slack is the
// number of units by which the sum may exceed a quota.
func NewLedger(now clock.Instant, slack float64) *Ledger {
	return &Ledger{start: now, slack: slack, leases: map[entryKey]*entryLease{}, byEnd: list.New(), sums: map[string]*leaseSum{}, pools: map[string]*bucket{}}
}

// Reserve takes the cost of one request from the organisation's pool; limit is
// the organisation's quota per second.
func (l *Ledger) Reserve(now clock.Instant, organisation string, limit, cost float64) (r Reservation) {
	p := l.pool(now, organisation, limit)
	r.OK, r.RetryAfter = p.spend(cost)
	r.Remaining = p.tokens
	return r
}

// Reservation is the pool's answer to a request.
type Reservation struct {
	OK bool
	// RetryAfter is the time until the pool holds enough, if OK is false.
	RetryAfter time.Duration
	// Remaining is what remains in the pool, in units.
	Remaining float64
}

// pool returns the organisation's pool, refilled up to now.
func (l *Ledger) pool(now clock.Instant, organisation string, limit float64) *bucket {
	p, ok := l.pools[organisation]
	if !ok {
		// The pool starts empty, as it isn't known what the previous leader's
		// pool has handed out.
		p = &bucket{lastRefill: l.start}
		l.pools[organisation] = p
	}
	limit = min(limit, maxRate)
	p.refill(now, poolFraction*limit, limit*poolBurstTime.Seconds()+poolSlackFraction*l.slack)
	return p
}

// Grant records an entry's demands and returns the rate of each organisation
// that the entry may use for Lease, counted from its request; limits are the
// quotas per second.
func (l *Ledger) Grant(now clock.Instant, entry string, incarnation uint64, demands map[string]Demand, limits map[string]float64) map[string]float64 {
	l.endLeases(now)
	lease, renewed := l.renew(now, entryKey{entry, incarnation})
	for organisation, part := range lease.parts {
		l.sums[organisation].subtract(part)
		part.reportedRate = 0
	}
	for organisation, d := range demands {
		d.bound()
		if limit, limited := limits[organisation]; limited {
			d.Rate = min(d.Rate, maxDemand*limit)
		}
		part, ok := lease.parts[organisation]
		if !ok {
			part = &leasePart{}
			lease.parts[organisation] = part
		}
		// The sum in the first report of a new lease isn't added: it may contain
		// refunds that were already added to a pool and handed out again, the
		// previous leader's or, before the entry's last lease ended, this one.
		if limit, limited := limits[organisation]; limited && renewed && d.Refunded > part.refunded {
			l.pool(now, organisation, limit).add(d.Refunded - part.refunded)
		}
		part.refunded = max(d.Refunded, part.refunded)
		part.demand += demandSmoothing * (d.Rate - part.demand)
		part.reportedRate = d.LeasedRate
	}
	rates := make(map[string]float64, len(limits))
	for organisation, limit := range limits {
		limit = min(limit, maxRate)
		part, ok := lease.parts[organisation]
		if !ok {
			part = &leasePart{}
			lease.parts[organisation] = part
		}
		part.grantedRate = l.grantRate(now, part, l.sum(organisation), entryFraction*limit)
		rates[organisation] = part.grantedRate
	}
	for organisation, part := range lease.parts {
		if _, limited := limits[organisation]; !limited {
			part.grantedRate = 0
		}
		l.sum(organisation).add(part)
	}
	return rates
}

// endLeases removes the leases that have ended.
func (l *Ledger) endLeases(now clock.Instant) {
	for e := l.byEnd.Front(); e != nil; e = l.byEnd.Front() {
		lease := e.Value.(*entryLease)
		if now <= lease.end {
			return
		}
		for organisation, part := range lease.parts {
			l.sums[organisation].subtract(part)
		}
		l.byEnd.Remove(e)
		delete(l.leases, lease.key)
	}
}

// renew returns the entry's lease with a new end, and whether it had one.
func (l *Ledger) renew(now clock.Instant, key entryKey) (lease *entryLease, renewed bool) {
	lease, renewed = l.leases[key]
	if !renewed {
		lease = &entryLease{key: key, parts: map[string]*leasePart{}}
		lease.element = l.byEnd.PushBack(lease)
		l.leases[key] = lease
	}
	lease.end = now + Lease + leaseMargin
	l.byEnd.MoveToBack(lease.element)
	return lease, renewed
}

func (l *Ledger) sum(organisation string) *leaseSum {
	s, ok := l.sums[organisation]
	if !ok {
		s = &leaseSum{}
		l.sums[organisation] = s
	}
	return s
}

// grantRate is the rate of one organisation for the entry with the part; limit is
// the rate of all entries together, and others the sum of the other entries'
// parts.
func (l *Ledger) grantRate(now clock.Instant, part *leasePart, others *leaseSum, limit float64) float64 {
	if oldLeasesEnded := now-l.start > Lease+leaseMargin; !oldLeasesEnded {
		// Other entries may still use grants of the previous leader that this one
		// doesn't know of, so that the entry only keeps the rate that it has.
		return min(part.reportedRate, limit)
	}
	// evenFraction is split evenly, so that entries without demand can serve
	// their first requests.
	const evenFraction = 0.2
	n := float64(len(l.leases))
	rate := limit / n
	if totalDemand := others.demand + part.demand; totalDemand > 0 {
		rate = limit * (evenFraction/n + (1-evenFraction)*part.demand/totalDemand)
	}
	return max(min(rate, limit-others.usableRates), 0)
}

// bucket is a token bucket: it fills at a rate up to a capacity.
type bucket struct {
	tokens, rate, capacity float64
	lastRefill             clock.Instant
}

func (b *bucket) refill(now clock.Instant, rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	if now > b.lastRefill {
		b.tokens += rate * (now - b.lastRefill).Seconds()
		b.lastRefill = now
	}
	b.tokens = min(b.tokens, capacity)
}

// add adds tokens up to the capacity.
func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.capacity) }

// maxWait bounds the time that a caller is told to wait for the pool.
const maxWait = time.Hour

// spend takes the cost, or returns the time until the bucket holds enough. A cost
// above the capacity needs a full bucket and leaves it overdrawn.
func (b *bucket) spend(cost float64) (ok bool, retryAfter time.Duration) {
	needed := min(cost, b.capacity)
	switch {
	case b.rate <= 0:
		return false, time.Second
	case cost > max(b.capacity+b.rate*maxOverdraft.Seconds(), 1):
		return false, maxWait
	case b.tokens < needed:
		// At the lowest rates that operators may name, the wait is longer than a time holds.
		return false, time.Duration(min((needed-b.tokens)/b.rate*float64(time.Second), float64(maxWait)))
	}
	b.tokens -= cost
	return true, 0
}

// LeasedBucket is an entry's part of one organisation's quota: a token bucket
// that fills only while the entry has a lease.
type LeasedBucket struct {
	bucket
	leaseEnd clock.Instant
	// demanded is the cost of all requests since the last report.
	demanded   float64
	lastReport clock.Instant
	// refundedTotal is the sum of refunds reported to the leader since the entry
	// started, refundAnswered says that the leader has answered since it last
	// grew, and pendingRefund is what isn't part of it yet.
	refundedTotal, pendingRefund float64
	refundAnswered               bool
}

// NewLeasedBucket returns an empty bucket without a lease.
func NewLeasedBucket(now clock.Instant) *LeasedBucket {
	return &LeasedBucket{bucket: bucket{lastRefill: now}, lastReport: now}
}

// Renew starts a new lease with the granted rate; requested is when the entry
// asked for it.
func (b *LeasedBucket) Renew(now, requested clock.Instant, rate float64) {
	b.refillUntil(now)
	b.leaseEnd, b.refundAnswered = requested+Lease, true
	b.refill(now, rate, rate*entryBurstTime.Seconds())
}

// refillUntil refills the bucket up to now, or to the end of the lease if that
// was earlier. Tokens that are in the bucket outlast the lease.
func (b *LeasedBucket) refillUntil(now clock.Instant) {
	b.refill(min(now, b.leaseEnd), b.rate, b.capacity)
	b.lastRefill = max(b.lastRefill, now)
}

// Acquire takes the cost of a request as far as the bucket covers it, and returns
// what is missing, to be reserved from the pool.
func (b *LeasedBucket) Acquire(now clock.Instant, cost float64) (missing float64) {
	b.demanded += cost
	b.refillUntil(now)
	acquired := min(cost, max(b.tokens, 0))
	b.tokens -= acquired
	return cost - acquired
}

// Release puts back what was acquired for a request that the pool refused.
func (b *LeasedBucket) Release(now clock.Instant, acquired float64) {
	b.refillUntil(now)
	b.tokens = min(b.tokens+acquired, b.capacity)
}

// Refund notes the cost of a request that has not run; a later Report returns it
// to the pool. A request admitted more than maxRefundAge ago gets no refund.
func (b *LeasedBucket) Refund(now, admitted clock.Instant, cost float64) {
	if now-admitted <= maxRefundAge {
		b.pendingRefund += cost
	}
}

// Report returns the demand since the last report. It includes pending refunds
// only if the leader has answered since the last that it included, so that no
// more than one sum of refunds is in flight.
func (b *LeasedBucket) Report(now clock.Instant) Demand {
	b.refillUntil(now)
	if b.refundAnswered && b.pendingRefund > 0 {
		b.refundedTotal += b.pendingRefund
		b.pendingRefund, b.refundAnswered = 0, false
	}
	d := Demand{Refunded: b.refundedTotal}
	if seconds := (now - b.lastReport).Seconds(); seconds > 0 {
		d.Rate = b.demanded / seconds
	}
	if now < b.leaseEnd {
		d.LeasedRate = b.rate
	}
	b.demanded, b.lastReport = 0, now
	return d
}
