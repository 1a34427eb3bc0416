package config

import "slices"

const (
	// routeRanks is the number of route ranks within each rank of organisations;
	// higher ones count as the last.
	routeRanks = 3
	// maxOrganisationRank bounds the positions of organisations' ranks, so that they can be multiplied
	// by the number of routes' ranks.
	maxOrganisationRank = 1 << 20
	// engineRanks is the number of ranks that engines tell apart.
	engineRanks = 10
)

// ranks are the ranks of a revision's requests. Operators choose the numbers: what counts is
// their order. Numbers in the usual range keep their values, so that entries agree
// on them while one has another revision.
type ranks struct {
	// organisations are the positions of the operators' numbers, and levels those at engines, which
	// tell fewer apart.
	organisations, levels map[int]int
}

func newRanks(r *Revision) ranks {
	organisations := []int{noOrganisationRank}
	for i := range r.Organisations {
		organisations = append(organisations, organisationRank(&r.Organisations[i]))
	}
	return ranks{
		organisations: positions(organisations, maxOrganisationRank),
		levels:        positions(organisations, engineRanks/routeRanks-1),
	}
}

// positions maps numbers to positions in the same order, from 0 to last or to as many as there
// are numbers. A number within these bounds is its own position, if the others leave that free.
func positions(numbers []int, last int) map[int]int {
	numbers = slices.Compact(slices.Sorted(slices.Values(numbers)))
	last = max(last, len(numbers)-1)
	positions := make(map[int]int, len(numbers))
	next := 0
	for i, n := range numbers {
		following := len(numbers) - 1 - i
		positions[n] = min(max(n, next), last-following)
		next = positions[n] + 1
	}
	return positions
}

// noOrganisationRank is the rank of the requests of no organisation, and of organisations without
// a rank.
const noOrganisationRank = 0

func organisationRank(o *Organisation) int {
	if o == nil || o.Rank == nil {
		return noOrganisationRank
	}
	return *o.Rank
}

// Rank returns the rank of an organisation's requests of a route, both of this revision; 0 is
// the most urgent. The organisation's rank decides before the route's; org is nil for
// requests of none.
func (t *Table) Rank(route *Route, org *Organisation) int {
	return t.ranks.organisations[organisationRank(org)]*routeRanks + routeRank(route)
}

func routeRank(r *Route) int { return min(max(r.Rank, 0), routeRanks-1) }

// EngineRank returns the rank of the requests at engines. Where organisations have more ranks than
// engines tell apart, neighbouring ones count as one, and those of routes are left out first.
func (t *Table) EngineRank(route *Route, org *Organisation) int {
	level, levels := t.ranks.levels[organisationRank(org)], max(len(t.ranks.levels), engineRanks/routeRanks)
	perLevel := max(engineRanks/levels, 1)
	return min(level*perLevel, level*engineRanks/levels) + routeRank(route)*perLevel/routeRanks
}
