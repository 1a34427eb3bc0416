package config

import "slices"

const (
	// routeRanks is the number of route ranks within each rank of organisations;
	// higher ones count as the last.
	routeRanks = 3
	// maxOrganisationRank bounds the positions of organisations' ranks, so that they can be multiplied
	// by the number of routes' ranks.
	maxOrganisationRank = 1 << 20
)

// ranks are the ranks of a revision's requests. Operators choose the numbers: what counts is
// their order. Numbers in the usual range keep their values, so that entries agree
// on them while one has another revision.
type ranks struct {
	// organisations are the positions of the operators' numbers.
	organisations map[int]int
}

func newRanks(r *Revision) ranks {
	// 0 is the rank of the requests of no organisation, and of organisations without one.
	organisations := []int{0}
	for i := range r.Organisations {
		if rank := r.Organisations[i].Rank; rank != nil {
			organisations = append(organisations, *rank)
		}
	}
	return ranks{organisations: positions(organisations, maxOrganisationRank)}
}

// positions maps numbers to positions in the same order, from 0 to last or to as many as there
// are numbers. A number within these bounds is its own position, if the others leave that free.
func positions(numbers []int, last int) map[int]int {
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
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

// Rank returns the rank of an organisation's requests of a route, both of this revision; 0 is
// the most urgent. The organisation's rank decides before the route's; org is nil for
// requests of none.
func (t *Table) Rank(route *Route, org *Organisation) int {
	number := 0
	if org != nil && org.Rank != nil {
		number = *org.Rank
	}
	return t.ranks.organisations[number]*routeRanks + min(max(route.Rank, 0), routeRanks-1)
}
