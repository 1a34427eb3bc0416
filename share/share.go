// Package share splits the capacity of a service among its ranks, their callers
// and the entries that the calls come through. Each entry reports the demand
// that it sees to all entries; from the same reports each of them computes the
// same split, so that none has to coordinate the others. The package has no clock
// and does no I/O.
package share

import (
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/service"
)

// MaxDemands is the maximum number of demands in a report; an entry with more
// leaves out the smallest.
const MaxDemands = 256

// overTolerance is the multiple of its share above which a caller's demand
// counts as over its share.
const overTolerance = 1.1

// Key is a caller within a rank.
type Key struct {
	Rank   int    `json:"r"`
	Caller string `json:"c"`
}

// Demand is the demand of one caller in one rank.
type Demand struct {
	Key
	// Rate is the work that the caller asks for, in tokens per second.
	Rate float64 `json:"d"`
}

// Report is the demand for one service that one entry sees.
type Report struct {
	Entry   string   `json:"e"`
	Service string   `json:"s"`
	Demands []Demand `json:"i,omitempty"`
}

// Check verifies a decoded report.
func (r *Report) Check() error {
	if r.Entry == "" || r.Service == "" || len(r.Demands) > MaxDemands {
		return errors.Errorf("invalid report: %d demands from entry %q for service %q", len(r.Demands), r.Entry, r.Service)
	}
	for _, d := range r.Demands {
		if !(d.Rate >= 0 && d.Rate < 1e12) || d.Rank < 0 || d.Rank >= service.MaxRanks {
			return errors.Errorf("invalid demand: %v tokens per second in rank %d", d.Rate, d.Rank)
		}
	}
	return nil
}

// Allocation is what one entry may use.
type Allocation struct {
	// Share is the entry's part of the capacity, from 0 to 1.
	Share float64
	// Rates is the work that each caller may have done through the entry, in
	// tokens per second.
	Rates map[Key]float64
	// OverShare holds the callers whose demand, summed over all entries, is
	// above their share.
	OverShare map[Key]bool
	// FairRates is the max-min fair share per unit of weight in each rank, in
	// tokens per second; infinite if every caller gets what it asks for.
	FairRates []float64
}

// Allocate splits the service's capacity, rate tokens per second, and returns
// the allocation of each entry. Each rank gets its demand up to its floor, and
// what then remains goes to the ranks in order of urgency. Within a rank the
// callers get weighted max-min fair shares. A caller's share is split among the
// entries in proportion to its demand at each.
func Allocate(document *service.Document, rate float64, reports []Report) map[string]Allocation {
	callerDemand := map[Key]float64{}
	rankDemand := make([]float64, len(document.Ranks))
	for _, r := range reports {
		for _, d := range r.Demands {
			rank := min(d.Rank, len(rankDemand)-1)
			callerDemand[Key{rank, d.Caller}] += d.Rate
			rankDemand[rank] += d.Rate
		}
	}
	rankRates := splitAmongRanks(document, rate, rankDemand)
	callerRates := map[Key]float64{}
	fairRates := make([]float64, len(rankDemand))
	for rank, rankRate := range rankRates {
		fairRates[rank] = splitAmongCallers(document, rank, rankRate, callerDemand, callerRates)
	}
	return splitAmongEntries(document, reports, fairRates, callerDemand, callerRates)
}

// splitAmongRanks gives each rank its demand up to its floor, and the rest to
// the ranks in order of urgency.
func splitAmongRanks(document *service.Document, rate float64, demand []float64) []float64 {
	rates := make([]float64, len(demand))
	unassigned := rate
	for r := range demand {
		rates[r] = min(demand[r], document.Ranks[r].Floor*rate)
		unassigned -= rates[r]
	}
	for r := range demand {
		more := max(min(demand[r]-rates[r], unassigned), 0)
		rates[r] += more
		unassigned -= more
	}
	return rates
}

// splitAmongCallers splits the rank's rate by weighted max-min fairness. It sets the
// callers' rates and returns the fair rate per unit of weight.
func splitAmongCallers(document *service.Document, rank int, rate float64, demand, rates map[Key]float64) float64 {
	var claims []Claim
	for key, asked := range demand {
		if key.Rank == rank && asked > 0 {
			claims = append(claims, Claim{Name: key.Caller, Demand: asked, Weight: document.Weight(key.Caller)})
		}
	}
	fairRate := MaxMin(rate, claims)
	for _, c := range claims {
		rates[Key{rank, c.Name}] = c.Rate
	}
	return fairRate
}

// Claim is what one claimant asks of a capacity, with its weight, which is above 0.
type Claim struct {
	Name           string
	Demand, Weight float64
	// Rate is what MaxMin grants.
	Rate float64
}

// MaxMin splits the capacity by weighted max-min fairness: it sorts the claims, sets
// their rates and returns the fair rate per unit of weight, infinite if all claims are
// met.
func MaxMin(capacity float64, claims []Claim) float64 {
	remainingWeight := 0.0
	for _, c := range claims {
		remainingWeight += c.Weight
	}
	// Claimants with the lowest demand per weight go first: what they don't use of
	// their share remains for the others.
	sort.Slice(claims, func(i, j int) bool {
		a, b := claims[i].Demand/claims[i].Weight, claims[j].Demand/claims[j].Weight
		if a != b {
			return a < b
		}
		return claims[i].Name < claims[j].Name
	})
	fairRate := math.Inf(1)
	for i := range claims {
		c := &claims[i]
		c.Rate = min(c.Demand, capacity*c.Weight/remainingWeight)
		if c.Rate < c.Demand {
			fairRate = c.Rate / c.Weight
		}
		capacity -= c.Rate
		remainingWeight -= c.Weight
	}
	return fairRate
}

// splitAmongEntries splits each caller's rate among the entries in proportion to
// its demand at each.
func splitAmongEntries(document *service.Document, reports []Report, fairRates []float64, demand, callerRates map[Key]float64) map[string]Allocation {
	total := 0.0
	for _, rate := range callerRates {
		total += rate
	}
	overShare := map[Key]bool{}
	for key, asked := range demand {
		if asked > overTolerance*fairRates[key.Rank]*document.Weight(key.Caller) {
			overShare[key] = true
		}
	}
	allocations := make(map[string]Allocation, len(reports))
	for _, r := range reports {
		a := Allocation{
			Rates:     make(map[Key]float64, len(r.Demands)),
			OverShare: overShare,
			FairRates: fairRates,
		}
		entryTotal := 0.0
		for _, d := range r.Demands {
			key := Key{min(d.Rank, len(fairRates)-1), d.Caller}
			if demand[key] > 0 {
				fraction := d.Rate / demand[key]
				a.Rates[key] += fraction * callerRates[key]
				entryTotal += fraction * callerRates[key]
			}
		}
		if total > 0 {
			a.Share = entryTotal / total
		} else {
			a.Share = 1 / float64(len(reports))
		}
		allocations[r.Entry] = a
	}
	return allocations
}
