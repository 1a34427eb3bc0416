// Package share splits a service's capacity among ranks, callers and entries.
// Every entry computes the same split from the same reports, so that none has
// to see the whole. It is pure.
package share

import (
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/service"
)

// MaxItems bounds a report; the smallest demands of an entry beyond it are
// left out.
const MaxItems = 256

// overTolerance is how far above its share a caller may ask before it counts
// as one that asks for more.
const overTolerance = 1.1

// Key is a caller within a rank.
type Key struct {
	Rank   int    `json:"r"`
	Caller string `json:"c"`
}

// Item is the demand of one caller in one rank.
type Item struct {
	Key
	// Rate is the work that was asked for, in tokens per second.
	Rate float64 `json:"d"`
}

// Report is the demand for one service that one entry sees.
type Report struct {
	Entry   string `json:"e"`
	Service string `json:"s"`
	Items   []Item `json:"i,omitempty"`
}

// Check verifies a decoded report.
func (r *Report) Check() error {
	if r.Entry == "" || r.Service == "" || len(r.Items) > MaxItems {
		return errors.Errorf("report of %d items by %q about %q", len(r.Items), r.Entry, r.Service)
	}
	for _, i := range r.Items {
		if !(i.Rate >= 0 && i.Rate < 1e12) || i.Rank < 0 || i.Rank >= service.MaxRanks {
			return errors.Errorf("demand of %v in rank %d", i.Rate, i.Rank)
		}
	}
	return nil
}

// Allocation is what one entry may use.
type Allocation struct {
	// Share is the entry's part of the capacity, from 0 to 1.
	Share float64
	// Rates are the entry's parts of the callers' work, in tokens per second.
	Rates map[Key]float64
	// Over are the callers that ask, of all entries together, for more than
	// their share.
	Over map[Key]bool
	// Levels are the fair work per unit of weight in each rank, in tokens per
	// second; infinite where everybody gets what it asks for.
	Levels []float64
}

// Allocate splits rate, in tokens per second: first each rank gets its floor
// as far as it asks for it, then the most urgent get what is left; within a
// rank callers get weighted max-min shares; and what a caller gets is split
// among the entries by what it asks of each.
func Allocate(d *service.Document, rate float64, reports []Report) map[string]Allocation {
	demand := map[Key]float64{}
	ranks := make([]float64, len(d.Ranks))
	for _, r := range reports {
		for _, i := range r.Items {
			rank := min(i.Rank, len(ranks)-1)
			demand[Key{rank, i.Caller}] += i.Rate
			ranks[rank] += i.Rate
		}
	}
	given := byRank(d, rate, ranks)
	granted := map[Key]float64{}
	levels := make([]float64, len(ranks))
	for rank, amount := range given {
		levels[rank] = byCaller(d, rank, amount, demand, granted)
	}
	return byEntry(d, reports, levels, demand, granted)
}

// byRank gives each rank its floor, and the rest to the most urgent.
func byRank(d *service.Document, rate float64, ranks []float64) []float64 {
	given := make([]float64, len(ranks))
	left := rate
	for r := range ranks {
		given[r] = min(ranks[r], d.Ranks[r].Floor*rate)
		left -= given[r]
	}
	for r := range ranks {
		more := max(min(ranks[r]-given[r], left), 0)
		given[r] += more
		left -= more
	}
	return given
}

// byCaller splits a rank's amount by weighted max-min and returns the fair
// amount per unit of weight.
func byCaller(d *service.Document, rank int, amount float64, demand, granted map[Key]float64) float64 {
	type claimant struct {
		key            Key
		demand, weight float64
	}
	var list []claimant
	weights := 0.0
	for key, asked := range demand {
		if key.Rank == rank && asked > 0 {
			w := d.Weight(key.Caller)
			list = append(list, claimant{key, asked, w})
			weights += w
		}
	}
	// Those that ask least for their weight are satisfied first.
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].demand/list[i].weight, list[j].demand/list[j].weight
		if a != b {
			return a < b
		}
		return list[i].key.Caller < list[j].key.Caller
	})
	level := math.Inf(1)
	for _, c := range list {
		got := min(c.demand, amount*c.weight/weights)
		granted[c.key] = got
		if got < c.demand {
			level = got / c.weight
		}
		amount -= got
		weights -= c.weight
	}
	return level
}

func byEntry(d *service.Document, reports []Report, levels []float64, demand, granted map[Key]float64) map[string]Allocation {
	all := 0.0
	for _, g := range granted {
		all += g
	}
	over := map[Key]bool{}
	for key, asked := range demand {
		if asked > overTolerance*levels[key.Rank]*d.Weight(key.Caller) {
			over[key] = true
		}
	}
	out := make(map[string]Allocation, len(reports))
	for _, r := range reports {
		a := Allocation{
			Rates:  make(map[Key]float64, len(r.Items)),
			Over:   over,
			Levels: levels,
		}
		sum := 0.0
		for _, i := range r.Items {
			key := Key{min(i.Rank, len(levels)-1), i.Caller}
			if demand[key] > 0 {
				part := i.Rate / demand[key]
				a.Rates[key] += part * granted[key]
				sum += part * granted[key]
			}
		}
		if all > 0 {
			a.Share = sum / all
		} else {
			a.Share = 1 / float64(len(reports))
		}
		out[r.Entry] = a
	}
	return out
}
