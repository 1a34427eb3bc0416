// Package quota splits organisations' quotas among entries. The leader grants
// rates that last for a lease, so that the sum over all entries never exceeds
// the quota, whoever is cut off, restarted or replaced. It is pure.
package quota

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Lease is how long a grant may be used after the entry asked for it. It
// outlasts the change to another leader, which takes about two seconds.
const Lease = 3 * time.Second

// leaseMargin is added to the lease before the leader counts a grant as ended.
const leaseMargin = 200 * time.Millisecond

// askWeight smooths the demand over about ten reports: single requests may
// ask for a second's quota.
const askWeight = 0.1

// Ask is an entry's demand for one organisation's quota.
type Ask struct {
	// Asked is what callers ask for, in units per second.
	Asked float64
	// Held is the rate that the entry may use now.
	Held float64
}

// Ledger is the leader's record of what it granted. It isn't safe for
// concurrent use.
type Ledger struct {
	// since is when this ledger began; grants of an earlier leader may last
	// for a lease from then.
	since   clock.Instant
	holders map[holder]*held
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
}

// NewLedger returns a ledger that begins at the instant.
func NewLedger(now clock.Instant) *Ledger {
	return &Ledger{since: now, holders: map[holder]*held{}}
}

// Entries is the number of entries that hold grants.
func (l *Ledger) Entries() int { return len(l.holders) }

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
		h = &held{}
		l.holders[key] = h
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
		rates[name] = l.grant(key, name, limit, warm)
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

// Purse is an entry's side: what it may hand out of one organisation's quota.
type Purse struct {
	rate   float64
	until  clock.Instant
	tokens float64
	last   clock.Instant
	// asked is the demand since the last report.
	asked float64
	since clock.Instant
}

// saveTime is how much of its rate an entry may save up. The quota allows the
// burst of a second beyond the rate, and some slack.
const saveTime = 1400 * time.Millisecond

// NewPurse returns an empty purse.
func NewPurse(now clock.Instant) *Purse { return &Purse{last: now, since: now} }

// Set takes in a grant that was asked for at the instant.
func (p *Purse) Set(now, asked clock.Instant, rate float64) {
	p.refill(now)
	if rate > p.rate && p.rate == 0 {
		// The first grant may be used at once.
		p.tokens = max(p.tokens, rate*saveTime.Seconds()/2)
	}
	p.rate, p.until = rate, asked+Lease
	p.tokens = min(p.tokens, p.capacity())
}

func (p *Purse) capacity() float64 { return p.rate * saveTime.Seconds() }

func (p *Purse) refill(now clock.Instant) {
	if to := min(now, p.until); to > p.last {
		p.tokens = min(p.tokens+p.rate*(to-p.last).Seconds(), p.capacity())
	}
	p.last = now
}

// Spend takes the cost of a request. A request that costs more than can be
// saved up needs a full purse, which then has to fill up again. If it refuses,
// after tells when enough is there.
func (p *Purse) Spend(now clock.Instant, cost float64) (ok bool, after time.Duration) {
	p.asked += cost
	p.refill(now)
	need := min(cost, p.capacity())
	if now >= p.until || p.rate <= 0 {
		return false, time.Second
	}
	if p.tokens < need {
		return false, time.Duration((need - p.tokens) / p.rate * float64(time.Second))
	}
	p.tokens -= cost
	return true, 0
}

// Ask reports the demand since the last report.
func (p *Purse) Ask(now clock.Instant) Ask {
	a := Ask{}
	if seconds := (now - p.since).Seconds(); seconds > 0 {
		a.Asked = p.asked / seconds
	}
	if now < p.until {
		a.Held = p.rate
	}
	p.asked, p.since = 0, now
	return a
}
