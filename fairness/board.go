package fairness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/share"
)

const (
	// learnTime is how long a new board only collects reports: each entry has reported
	// by then. Until then entries keep the shares of the former leader.
	learnTime = time.Second
	// decideInterval is the least time between two decisions; they visit all reports.
	decideInterval = 100 * time.Millisecond
	// reportAge is how long a report counts: two report intervals of many entries.
	reportAge = 2 * time.Second
	// demandTime and carriedTime are the time constants of the sums of demand and of
	// carried work. A report covers few requests of a small organisation.
	demandTime  = 500 * time.Millisecond
	carriedTime = 300 * time.Millisecond
	// capacityTime is the time constant with which the capacity follows a lower rate of
	// carried work. It follows a higher one at once: shares that are too small must not
	// lower the capacity that they are computed from.
	capacityTime = 15 * time.Second
	// saturatedFor is how long a service counts as saturated after its last signal.
	saturatedFor = time.Second
	// confirmTime is how long signals must go on until shares are computed. A queue that a
	// short burst leaves behind is worked off in turns, within most targets.
	confirmTime = 500 * time.Millisecond
	// minBadFraction is the fraction of requests that are refused or late from which on
	// a service is saturated.
	minBadFraction = 0.02
	// minExcess is the ratio of demand to carried work without which late answers aren't
	// a sign of saturation, but of slow upstreams.
	minExcess = 1.15
	// The gain is the ratio of what is shared out to the measured capacity. It rises by
	// gainRise per second, so that unused capacity is found, and falls by up to gainFall
	// per second while admitted requests are late.
	minGain, maxGain = 0.6, 1.1
	gainRise         = 0.25
	gainFall         = 1.0
	// refusedWeight is the weight of a refusal against that of a late answer, which has
	// used capacity for nothing.
	refusedWeight = 0.3
	// enterTolerance is the ratio of demand to share above which an organisation is put
	// above its share, where it stays until its demand is below the share.
	enterTolerance = 1.1
	// minDemandFraction is the part of what the service carries from which on an
	// organisation's demand competes.
	minDemandFraction = 0.005
	// forgottenFraction is the part below which a demand that has ended is forgotten.
	forgottenFraction = 1e-6
)

// Entry identifies one run of an entry.
type Entry struct {
	Name        string
	Incarnation uint64
}

// Board is the leader's side. It isn't safe for concurrent use.
type Board struct {
	// Weight returns an organisation's weight; nil stands for equal ones.
	Weight   func(organisation string) float64
	began    bool
	beganAt  clock.Instant
	services map[string]*serviceBoard
	changes  []Change
}

// Change says that an organisation was put above its share, or no longer is, with the
// rates in work per second that decided.
type Change struct {
	Service string
	Key
	Above            bool
	Demand, Share    float64
	Carried, Budget  float64
	Waiting          int
	Refused, Late    float64
	Competing        int
	FormerlyAboveFor time.Duration
}

type entryReport struct {
	Report
	waiting int
	at      clock.Instant
}

type serviceBoard struct {
	reports map[Entry]entryReport
	decided bool
	at      clock.Instant
	demand  map[Key]float64
	// carried is the smoothed rate of carried work, and capacity follows it.
	carried, capacity float64
	gain              float64
	// saturated says that there were signals lately, from firstSignalAt to signalAt.
	saturated               bool
	firstSignalAt, signalAt clock.Instant
	above                   map[Key]clock.Instant
	share                   Share
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{services: map[string]*serviceBoard{}} }

// Observe stores an entry's report, with the number of its waiting requests. Reports hold
// rates, so that a report that arrives twice changes nothing.
func (b *Board) Observe(now clock.Instant, entry Entry, service string, waiting int, r Report) {
	if !b.began {
		b.began, b.beganAt = true, now
	}
	s, ok := b.services[service]
	if !ok {
		if len(b.services) >= MaxServices {
			return
		}
		s = &serviceBoard{reports: map[Entry]entryReport{}, demand: map[Key]float64{}, above: map[Key]clock.Instant{}, gain: 1}
		b.services[service] = s
	}
	s.reports[entry] = entryReport{Report: r, waiting: waiting, at: now}
}

// Reply returns the decision on all services, and nil while the board knows too little.
func (b *Board) Reply(now clock.Instant) *Reply {
	if !b.began || now-b.beganAt < learnTime {
		return nil
	}
	reply := &Reply{}
	for name, s := range b.services {
		if !s.decided || now-s.at >= decideInterval {
			b.decide(now, name, s)
		}
		if len(s.reports) == 0 {
			delete(b.services, name)
			continue
		}
		if s.saturated {
			if reply.Services == nil {
				reply.Services = map[string]Share{}
			}
			reply.Services[name] = s.share
		}
	}
	return reply
}

// Changes returns the changes since the last call.
func (b *Board) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// totals are sums over the entries.
type totals struct {
	Report
	waiting int
	// entries is the number of reports, and withRoom that of those that see idle upstreams.
	entries, withRoom int
	demand            map[Key]float64
}

func (s *serviceBoard) sum(now clock.Instant) totals {
	t := totals{demand: map[Key]float64{}}
	for entry, r := range s.reports {
		if now-r.at > reportAge {
			delete(s.reports, entry)
			continue
		}
		t.entries++
		if r.Room {
			t.withRoom++
		}
		t.waiting += r.waiting
		t.Carried += r.Carried
		t.Answers += r.Answers
		t.Refused += r.Refused
		t.Late += r.Late
		for _, d := range r.Demands {
			t.demand[d.Key] += d.Rate
		}
	}
	return t
}

// decide updates the smoothed sums, the signs of saturation and the shares.
func (b *Board) decide(now clock.Instant, name string, s *serviceBoard) {
	t := s.sum(now)
	elapsed := (now - s.at).Seconds()
	if !s.decided {
		elapsed = math.Inf(1)
	}
	s.decided, s.at = true, now
	weightOf := func(constant time.Duration) float64 { return 1 - math.Exp(-elapsed/constant.Seconds()) }
	s.carried += weightOf(carriedTime) * (t.Carried - s.carried)
	if s.carried >= s.capacity {
		s.capacity = s.carried
	} else {
		s.capacity += weightOf(capacityTime) * (s.carried - s.capacity)
	}
	total := 0.0
	for key, rate := range t.demand {
		if _, known := s.demand[key]; !known {
			s.demand[key] = rate
		}
	}
	for key := range s.demand {
		s.demand[key] += weightOf(demandTime) * (t.demand[key] - s.demand[key])
		total += s.demand[key]
	}
	s.judge(now, t, total, min(elapsed, 1))
	if !s.saturated {
		s.gain = 1
	}
	b.share(now, name, s, t, total)
}

// judge decides whether the service is saturated, and adapts the gain.
func (s *serviceBoard) judge(now clock.Instant, t totals, total, elapsed float64) {
	requests := t.Answers + t.Refused
	bad := 0.0
	if requests > 0 {
		bad = (t.Late + refusedWeight*t.Refused) / requests
	}
	excess := total > minExcess*s.carried
	// A few requests wait for a moment in any service.
	const minWaitingFraction = 0.02
	switch {
	case 2*t.withRoom > t.entries:
		s.saturated = false
	case float64(t.waiting) >= max(2, minWaitingFraction*requests),
		t.Refused > minBadFraction*requests,
		excess && t.Late > minBadFraction*requests,
		// The shares hold back what would be a signal without them.
		s.saturated && len(s.above) > 0 && total > s.capacity*s.gain:
		if !s.saturated {
			s.firstSignalAt = now
		}
		s.saturated, s.signalAt = true, now
	case s.saturated && now-s.signalAt > saturatedFor:
		s.saturated = false
	}
	if bad > minBadFraction {
		s.gain -= gainFall * min(bad, 1) * elapsed
	} else {
		s.gain += gainRise * elapsed
	}
	s.gain = min(max(s.gain, minGain), maxGain)
}

// share splits what the service carries among the organisations, rank after rank.
func (b *Board) share(now clock.Instant, name string, s *serviceBoard, t totals, total float64) {
	budget := s.capacity * s.gain
	claims, competing := s.claims(b.weight)
	var excesses []Excess
	rates := map[Key]float64{}
	if s.saturated && s.signalAt-s.firstSignalAt >= confirmTime && competing > 1 && total > budget && budget > 0 {
		remaining := budget
		for _, rank := range slices.Sorted(maps.Keys(claims)) {
			share.MaxMin(remaining, claims[rank])
			for _, c := range claims[rank] {
				key := Key{rank, c.Name}
				rates[key] = c.Rate
				remaining = max(remaining-c.Rate, 0)
				tolerance := enterTolerance
				if _, above := s.above[key]; above {
					tolerance = 1
				}
				if c.Demand > tolerance*c.Rate {
					excesses = append(excesses, Excess{key, min(c.Rate/c.Demand, 1)})
				}
			}
		}
	}
	// The largest first, where there are too many.
	slices.SortFunc(excesses, func(x, y Excess) int {
		return cmp.Or(cmp.Compare(s.demand[y.Key], s.demand[x.Key]), cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.Organisation, y.Organisation))
	})
	excesses = excesses[:min(len(excesses), MaxDemands)]
	change := Change{Service: name, Carried: s.carried, Budget: budget, Waiting: t.waiting, Refused: t.Refused, Late: t.Late, Competing: competing}
	s.apply(now, excesses, func(key Key, above bool, since clock.Instant) {
		c := change
		c.Key, c.Above, c.Demand, c.Share = key, above, s.demand[key], rates[key]
		if !above {
			c.FormerlyAboveFor = now - since
		}
		b.changes = append(b.changes, c)
	})
	// Nobody reads the changes of a board whose owner doesn't log.
	const maxChanges = 64
	b.changes = b.changes[max(len(b.changes)-maxChanges, 0):]
}

func (b *Board) weight(organisation string) float64 {
	if b.Weight == nil {
		return 1
	}
	return b.Weight(organisation)
}

// claims returns the claims on the service by rank, and how many organisations compete.
func (s *serviceBoard) claims(weight func(string) float64) (byRank map[int][]share.Claim, competing int) {
	byRank = map[int][]share.Claim{}
	organisations := map[string]bool{}
	for key, rate := range s.demand {
		if rate < minDemandFraction*s.capacity || rate <= 0 {
			if rate <= forgottenFraction*s.capacity {
				delete(s.demand, key)
			}
			continue
		}
		organisations[key.Organisation] = true
		byRank[key.Rank] = append(byRank[key.Rank], share.Claim{Name: key.Organisation, Demand: rate, Weight: weight(key.Organisation)})
	}
	return byRank, len(organisations)
}

// apply stores the decision and calls changed for each organisation that is newly or no
// longer above its share.
func (s *serviceBoard) apply(now clock.Instant, excesses []Excess, changed func(key Key, above bool, since clock.Instant)) {
	s.share = Share{Excesses: excesses}
	still := make(map[Key]clock.Instant, len(excesses))
	for _, e := range excesses {
		since, ok := s.above[e.Key]
		if !ok {
			since = now
			changed(e.Key, true, now)
		}
		still[e.Key] = since
	}
	for key, since := range s.above {
		if _, ok := still[key]; !ok {
			changed(key, false, since)
		}
	}
	s.above = still
}
