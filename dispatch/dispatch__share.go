package dispatch

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Size of the reserve: it covers the spread of the arrivals of the callers
// within their share, which grows with the root of their work.
const (
	reserveSpread = 1.3
	maxReserve    = 0.15
)

// Demand reports what callers ask of this entry, for each service in order of
// name.
func (d *Dispatcher) Demand(now clock.Instant, entry string) []share.Report {
	var reports []share.Report
	for name, p := range d.pools {
		r := share.Report{Entry: entry, Service: name}
		p.scheduler.EachDemand(now, func(rank int, caller string, rate float64) {
			const least = 0.01
			if rate >= least {
				// Fewer digits make smaller reports.
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

// SetDemands splits a service's capacity by the reports of all entries, and
// keeps this entry's part.
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
	p.entries, p.entry = len(reports), entry
	p.names = p.names[:0]
	for _, r := range reports {
		p.names = append(p.names, r.Entry)
	}
	all := share.Allocate(&p.document.Document, float64(slots)*p.speed, reports)
	own, ok := all[entry]
	if !ok {
		return
	}
	p.allocation = own
	p.part = part(entry, reports, all)
	p.share = p.part.To - p.part.From
	p.reserve = reserve(reports, own.OverShare, p.speed, slots)
	p.dither = dither(entry, now)
	d.recount(now, p)
}

// part lays the entries' shares side by side, in order of name. A bit of the
// capacity is split evenly, for entries whose demand is only just beginning.
func part(entry string, reports []share.Report, all map[string]share.Allocation) upstream.Part {
	const even = 0.1
	names := make([]string, 0, len(reports))
	for _, r := range reports {
		names = append(names, r.Entry)
	}
	sort.Strings(names)
	var p upstream.Part
	for _, name := range names {
		p.From = p.To
		p.To += (1-even)*all[name].Share + even/float64(len(names))
		if name == entry {
			break
		}
	}
	return p
}

// reserve is the number of slots to keep free for callers within their share:
// none if all or none of the callers ask for more than their share.
func reserve(reports []share.Report, over map[share.Key]bool, speed float64, slots int) int {
	within := 0.0
	for _, r := range reports {
		for _, i := range r.Demands {
			if !over[i.Key] {
				within += i.Rate / speed
			}
		}
	}
	if len(over) == 0 {
		return 0
	}
	return int(min(math.Ceil(reserveSpread*math.Sqrt(within)), maxReserve*float64(slots)))
}

// dither is a number from 0 to 1 that differs by entry and changes with time.
func dither(entry string, now clock.Instant) float64 {
	h := xxhash.Sum64String(entry + now.String())
	return float64(h>>11) / (1 << 53)
}

// weight is the caller's weight at this entry: its part of the split, or that
// of its document while no split knows the caller.
func (p *pool) weight(rank int, caller string) float64 {
	weight := p.document.Document.Weight(caller)
	if p.entries < 2 {
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

// isOver reports whether the caller asks for more than its share.
func (p *pool) isOver(rank int, caller string) bool {
	return p.allocation.OverShare[share.Key{Rank: rank, Caller: caller}]
}
