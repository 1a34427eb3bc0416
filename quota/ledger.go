// Package quota splits organisations' quotas among entries. Most of a quota is
// granted to entries as rates that last for a lease, so that the sum over all
// entries never exceeds it, whoever is cut off, restarted or replaced. The rest
// is a pool at the leader, for requests that an entry's part doesn't cover. It
// is pure.
package quota

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Lease is how long a rate may be used after the entry asked for it. It
// outlasts an ordinary change of the leader.
const Lease = 2 * time.Second

// leaseMargin is added to the lease before the leader counts a grant as ended.
const leaseMargin = 200 * time.Millisecond

// Parts of an organisation's rate. What all entries and the pool hand out in a
// window, with what they may have saved up, stays below the rate over the
// window, the burst of a second, and the excess that is allowed.
const (
	// entryPart is granted to entries, poolPart handed out by the leader.
	entryPart = 0.5
	poolPart  = 0.6
	// saveTime is how much of its rate an entry may save up: what it hands
	// out while there is no leader.
	saveTime = 800 * time.Millisecond
	// poolTime is how much of the organisation's whole rate the pool may save
	// up, beside a part of the slack.
	poolTime = 500 * time.Millisecond
	// refundTime is how long after its admission a request that has not run
	// gets its cost back: what is on its way back may be handed out in a
	// window beside that window's own.
	refundTime = 100 * time.Millisecond
	// slackPart is the part of the deployment's slack that the pool may save
	// up; the rest covers requests that are under way between two windows.
	slackPart = 0.7
)

// Ask is an entry's demand for one organisation's quota.
type Ask struct {
	// Asked is what callers ask for, in units per second.
	Asked float64
	// Held is the rate that the entry may use now.
	Held float64
	// Returned is what the entry has given back to the pool since it
	// started, in units.
	Returned float64
}

// askWeight smooths the demand over about ten reports: single requests may
// ask for a second's quota.
const askWeight = 0.1

// Ledger is the leader's record of what it granted. It isn't safe for
// concurrent use.
type Ledger struct {
	// since is when this ledger began; grants of an earlier leader may last
	// for a lease from then.
	since   clock.Instant
	slack   float64
	holders map[holder]*held
	pools   map[string]*bucket
}

type holder struct {
	entry       string
	incarnation uint64
}

type held struct {
	until  clock.Instant
	asked  map[string]float64
	rates  map[string]float64
	before map[string]float64
	// returned are the sums given back so far.
	returned map[string]float64
}

// NewLedger returns a ledger that begins at the instant. slack is the number
// of units that the sum may exceed a quota by.
func NewLedger(now clock.Instant, slack float64) *Ledger {
	return &Ledger{since: now, slack: slack, holders: map[holder]*held{}, pools: map[string]*bucket{}}
}

// Reserve takes the cost of one request from the pool of an organisation with
// the limit. If it refuses, After tells when enough is there.
// Left is what the pool has then.
func (l *Ledger) Reserve(now clock.Instant, organisation string, limit, cost float64) (r Reservation) {
	p := l.pool(now, organisation, limit)
	r.OK, r.After = p.spend(cost)
	r.Left = p.tokens
	return r
}

// Reservation is the pool's answer to a request.
type Reservation struct {
	OK bool
	// After is when enough will be there, if OK isn't set.
	After time.Duration
	// Left is the units that the pool has left.
	Left float64
}

// pool returns an organisation's pool, filled up to now.
func (l *Ledger) pool(now clock.Instant, organisation string, limit float64) *bucket {
	p, known := l.pools[organisation]
	if !known {
		// What an earlier leader's pool has handed out isn't known, so that
		// this one begins empty.
		p = &bucket{last: l.since}
		l.pools[organisation] = p
	}
	p.refill(now, poolPart*limit, limit*poolTime.Seconds()+slackPart*l.slack)
	return p
}

// Grant returns the rates that the entry may use for Lease, counted from its
// asking; limits are the quotas per second.
func (l *Ledger) Grant(now clock.Instant, entry string, incarnation uint64, asks map[string]Ask, limits map[string]float64) map[string]float64 {
	for key, h := range l.holders {
		if now > h.until {
			delete(l.holders, key)
		}
	}
	key := holder{entry, incarnation}
	h, ok := l.holders[key]
	if !ok {
		h = &held{returned: map[string]float64{}}
		l.holders[key] = h
	}
	for name, a := range asks {
		// What came back before this ledger knew the entry isn't known to be
		// unspent.
		if limit, limited := limits[name]; limited && ok && a.Returned > h.returned[name] {
			l.pool(now, name, limit).add(a.Returned - h.returned[name])
		}
		h.returned[name] = max(a.Returned, h.returned[name])
	}
	h.until = now + Lease + leaseMargin
	if h.asked == nil {
		h.asked = make(map[string]float64, len(asks))
	}
	h.before = make(map[string]float64, len(asks))
	for name, a := range asks {
		h.asked[name] += askWeight * (a.Asked - h.asked[name])
		h.before[name] = a.Held
	}
	rates := make(map[string]float64, len(limits))
	warm := now-l.since > Lease+leaseMargin
	for name, limit := range limits {
		rates[name] = l.grant(key, name, entryPart*limit, warm)
	}
	h.rates = rates
	return rates
}

// grant is one organisation's rate for the holder.
func (l *Ledger) grant(key holder, name string, limit float64, warm bool) float64 {
	own := l.holders[key]
	if !warm {
		// What an earlier leader granted is only renewed.
		return min(own.before[name], limit)
	}
	// Every entry gets a part even without demand, for the first requests.
	const even = 0.2
	total, others := 0.0, 0.0
	for k, h := range l.holders {
		total += h.asked[name]
		if k != key {
			others += max(h.rates[name], h.before[name])
		}
	}
	n := float64(len(l.holders))
	share := limit / n
	if total > 0 {
		share = limit * (even/n + (1-even)*own.asked[name]/total)
	}
	return max(min(share, limit-others), 0)
}

// bucket fills at a rate up to a capacity.
type bucket struct {
	tokens, rate, capacity float64
	last                   clock.Instant
}

func (b *bucket) refill(now clock.Instant, rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	if now > b.last {
		b.tokens += rate * (now - b.last).Seconds()
		b.last = now
	}
	b.tokens = min(b.tokens, capacity)
}

// add puts tokens in, up to the capacity.
func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.capacity) }

// spend takes the cost, or tells when it is there; a cost above the capacity
// needs a full bucket, which it then leaves empty.
func (b *bucket) spend(cost float64) (ok bool, after time.Duration) {
	need := min(cost, b.capacity)
	switch {
	case b.rate <= 0:
		return false, time.Second
	case b.tokens < need:
		return false, time.Duration((need - b.tokens) / b.rate * float64(time.Second))
	}
	b.tokens -= cost
	return true, 0
}

// Purse is an entry's side: what it may hand out of one organisation's quota.
type Purse struct {
	bucket
	until clock.Instant
	// asked is the demand since the last report.
	asked float64
	since clock.Instant
	// returned is what was given back since the entry started, and answered
	// says that the leader has answered since the last of it. refunded will
	// be given back next.
	returned, refunded float64
	answered           bool
}

// NewPurse returns an empty purse.
func NewPurse(now clock.Instant) *Purse {
	return &Purse{bucket: bucket{last: now}, since: now}
}

// Set takes in a grant that was asked for at the instant.
func (p *Purse) Set(now, asked clock.Instant, rate float64) {
	p.advance(now)
	p.until, p.answered = asked+Lease, true
	p.refill(now, rate, rate*saveTime.Seconds())
}

// advance fills the purse up to the instant, or to the end of the lease. What
// was saved up by then stays.
func (p *Purse) advance(now clock.Instant) {
	p.refill(min(now, p.until), p.rate, p.capacity)
	p.last = max(p.last, now)
}

// Take takes the cost of a request as far as the purse covers it, and returns
// what is missing, for the pool.
func (p *Purse) Take(now clock.Instant, cost float64) (missing float64) {
	p.asked += cost
	p.advance(now)
	taken := min(cost, max(p.tokens, 0))
	p.tokens -= taken
	return cost - taken
}

// Return gives back what was taken for a request that the pool refused.
func (p *Purse) Return(now clock.Instant, taken float64) {
	p.advance(now)
	p.tokens = min(p.tokens+taken, p.capacity)
}

// Refund gives back the cost of a request that was admitted at the instant and
// has not run, unless that was too long ago.
func (p *Purse) Refund(now, admitted clock.Instant, cost float64) {
	if now-admitted <= refundTime {
		p.refunded += cost
	}
}

// Ask reports the demand since the last report, and gives refunds back to the
// pool if the leader answered the last one: no more than one such sum is on its
// way.
func (p *Purse) Ask(now clock.Instant) Ask {
	p.advance(now)
	if p.answered && p.refunded > 0 {
		p.returned += p.refunded
		p.refunded, p.answered = 0, false
	}
	a := Ask{Returned: p.returned}
	if seconds := (now - p.since).Seconds(); seconds > 0 {
		a.Asked = p.asked / seconds
	}
	if now < p.until {
		a.Held = p.rate
	}
	p.asked, p.since = 0, now
	return a
}
