package dispatch

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Size of the reserve for callers that are not over their share. It covers the
// variation of their load, which grows with the square root of their busy slots.
// reservePerRoot multiplies this root, and maxReserveFraction bounds the reserve
// to a fraction of all slots.
const (
	reservePerRoot     = 1.3
	maxReserveFraction = 0.15
)

// Demand returns this entry's demand reports, one for each service in order of
// name.
func (d *Dispatcher) Demand(now clock.Instant, entry string) []share.Report {
	var reports []share.Report
	for name, p := range d.pools {
		r := share.Report{Entry: entry, Service: name}
		p.scheduler.EachDemand(now, func(rank int, caller string, rate float64) {
			const minRate = 0.01
			if rate >= minRate {
				// Rounded to one decimal to keep the report small.
				r.Demands = append(r.Demands, share.Demand{Key: share.Key{Rank: rank, Caller: caller}, Rate: math.Round(rate*10) / 10})
			}
		})
		sort.Slice(r.Demands, func(i, j int) bool {
			a, b := r.Demands[i], r.Demands[j]
			if a.Rate != b.Rate {
				return a.Rate > b.Rate
			}
			return a.Rank < b.Rank || a.Rank == b.Rank && a.Caller < b.Caller
		})
		r.Demands = r.Demands[:min(len(r.Demands), share.MaxDemands)]
		reports = append(reports, r)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Service < reports[j].Service })
	return reports
}

// SetDemands splits a service's capacity among the entries by their demand
// reports, and applies this entry's allocation.
func (d *Dispatcher) SetDemands(now clock.Instant, entry, name string, reports []share.Report) {
	p, ok := d.pools[name]
	if !ok || len(reports) == 0 {
		return
	}
	slots := 0
	for _, u := range d.candidates(now, p) {
		if u.Usable(now) {
			slots += u.Slots
		}
	}
	p.entryCount, p.ownName = len(reports), entry
	p.entryNames = p.entryNames[:0]
	for _, r := range reports {
		p.entryNames = append(p.entryNames, r.Entry)
	}
	allocations := share.Allocate(&p.document.Document, float64(slots)*p.slotSpeed, reports)
	own, ok := allocations[entry]
	if !ok {
		return
	}
	p.allocation = own
	p.ownSlots = ownSlots(entry, reports, allocations)
	p.share = p.ownSlots.To - p.ownSlots.From
	p.reservedSlots = reservedSlots(reports, own.OverShare, p.slotSpeed, slots)
	p.rounding = rounding(entry, now)
	d.recount(now, p)
}

// ownSlots returns the entry's range, where the ranges of all entries follow each
// other in order of name. A fraction of the capacity is split evenly, for entries
// whose demand has just begun.
func ownSlots(entry string, reports []share.Report, allocations map[string]share.Allocation) upstream.SlotRange {
	const evenFraction = 0.1
	names := make([]string, 0, len(reports))
	for _, r := range reports {
		names = append(names, r.Entry)
	}
	sort.Strings(names)
	var own upstream.SlotRange
	for _, name := range names {
		own.From = own.To
		own.To += (1-evenFraction)*allocations[name].Share + evenFraction/float64(len(names))
		if name == entry {
			break
		}
	}
	return own
}

// reservedSlots returns the number of slots to keep free for callers that are not
// over their share: 0 if no caller is over it, or all are.
func reservedSlots(reports []share.Report, overShare map[share.Key]bool, slotSpeed float64, slots int) int {
	within := 0.0
	for _, r := range reports {
		for _, demand := range r.Demands {
			if !overShare[demand.Key] {
				within += demand.Rate / slotSpeed
			}
		}
	}
	if len(overShare) == 0 {
		return 0
	}
	return int(min(math.Ceil(reservePerRoot*math.Sqrt(within)), maxReserveFraction*float64(slots)))
}

// rounding returns a pseudo-random number from 0 to 1 for an entry and a time.
func rounding(entry string, now clock.Instant) float64 {
	h := xxhash.Sum64String(entry + now.String())
	return float64(h>>11) / (1 << 53)
}

// weight returns the caller's weight at this entry: its allocated rate, or for
// a caller without one its weight in the document, scaled to the rates of the
// other callers of the rank.
func (p *pool) weight(rank int, caller string) float64 {
	weight := p.document.Document.Weight(caller)
	if p.entryCount < 2 {
		return weight
	}
	if rate := p.allocation.Rates[share.Key{Rank: rank, Caller: caller}]; rate > 0 {
		return rate
	}
	rates, weights := 0.0, 0.0
	for key, rate := range p.allocation.Rates {
		if key.Rank == rank {
			rates += rate
			weights += p.document.Document.Weight(key.Caller)
		}
	}
	if weights == 0 || rates == 0 {
		return weight
	}
	return weight * rates / weights
}

// isOverShare reports whether the caller's demand exceeds its fair share.
func (p *pool) isOverShare(rank int, caller string) bool {
	return p.allocation.OverShare[share.Key{Rank: rank, Caller: caller}]
}
