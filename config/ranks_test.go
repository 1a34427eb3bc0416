package config

import (
	"math"
	"testing"

	"github.com/onsi/gomega"
)

// rankTable returns the table of a revision whose organisations and routes have the ranks, with
// an organisation without a rank as the last one.
func rankTable(organisations, routes []int) *Table {
	r := &Revision{Number: 1}
	for i := range organisations {
		r.Organisations = append(r.Organisations, Organisation{Rank: &organisations[i]})
	}
	r.Organisations = append(r.Organisations, Organisation{})
	for _, rank := range routes {
		r.Routes = append(r.Routes, Route{Rank: rank})
	}
	return NewTable(r)
}

// TestRankOfTheOrganisationComesFirst compares the ranks of requests of
// organisations with and without a rank: the organisation's rank decides, then
// the route's.
func TestRankOfTheOrganisationComesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table := rankTable([]int{0, 1}, []int{0, 2, 7})
	chat, summary, late := &table.Revision.Routes[0], &table.Revision.Routes[1], &table.Revision.Routes[2]
	urgent, patient, none := &table.Revision.Organisations[0], &table.Revision.Organisations[1], &table.Revision.Organisations[2]
	order := []int{table.Rank(chat, urgent), table.Rank(summary, urgent), table.Rank(chat, patient), table.Rank(summary, patient)}
	g.Expect(order).To(gomega.Equal([]int{0, 2, 3, 5}))
	g.Expect(table.Rank(chat, nil)).To(gomega.Equal(0))
	g.Expect(table.Rank(summary, none)).To(gomega.Equal(2))
	g.Expect(table.Rank(late, urgent)).To(gomega.BeNumerically("<", table.Rank(chat, patient)))
}

// TestRanksKeepTheirOrder guards against ranks that overflow, are negative, or are one for
// organisations with different numbers.
func TestRanksKeepTheirOrder(t *testing.T) {
	many := make([]int, 0, 5000)
	for i := range 5000 {
		many = append(many, i*i*i)
	}
	for _, organisations := range [][]int{
		{0, 1, 2},
		{1, 2},
		{0, 1, math.MaxInt32},
		{0, 1, 4_000_000_000_000_000_000},
		{math.MinInt, -5, 0, 1, math.MaxInt - 1, math.MaxInt},
		{-3, -2, -1},
		many,
	} {
		g := gomega.NewWithT(t)
		table := rankTable(organisations, []int{0, 1, 2, -4, math.MaxInt})
		last := -1
		for i := range organisations {
			for j := range 3 {
				rank := table.Rank(&table.Revision.Routes[j], &table.Revision.Organisations[i])
				g.Expect(rank).To(gomega.BeNumerically(">", last), "organisation %d, route %d", organisations[i], j)
				last = rank
			}
			g.Expect(table.Rank(&table.Revision.Routes[3], &table.Revision.Organisations[i])).To(gomega.Equal(last - 2))
			g.Expect(table.Rank(&table.Revision.Routes[4], &table.Revision.Organisations[i])).To(gomega.Equal(last))
			if organisations[0] >= 0 && organisations[i] <= maxOrganisationRank/2 {
				g.Expect(last).To(gomega.Equal(3*organisations[i]+2), "the usual numbers are the same in each revision")
			}
		}
		g.Expect(last).To(gomega.BeNumerically("<=", 3*maxOrganisationRank+2))
	}
}

// TestEnginesKeepTheOrderOfRanks guards against organisations that are one to engines as their
// numbers are above those that engines accept.
func TestEnginesKeepTheOrderOfRanks(t *testing.T) {
	for _, c := range []struct{ organisations, want []int }{
		{[]int{0, 1, 2}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}},
		{[]int{1, 2}, []int{3, 4, 5, 6, 7, 8}},
		{[]int{0, math.MaxInt32}, []int{0, 1, 2, 6, 7, 8}},
		{[]int{-5, 1000, math.MaxInt}, []int{0, 0, 1, 4, 4, 5, 6, 6, 7}},
		{[]int{0, 10, 20, 30, 40, 50, 60}, []int{0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5, 5, 6, 6, 6}},
	} {
		table := rankTable(c.organisations, []int{0, 1, 2})
		var got []int
		for i := range c.organisations {
			for j := range 3 {
				got = append(got, table.EngineRank(&table.Revision.Routes[j], &table.Revision.Organisations[i]))
			}
		}
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(c.want), "organisations %d", c.organisations)
	}
	g := gomega.NewWithT(t)
	many := make([]int, 400)
	for i := range many {
		many[i] = 7 * i
	}
	table := rankTable(many, []int{0, 1, 2})
	last := 0
	for i := range many {
		rank := table.EngineRank(&table.Revision.Routes[2], &table.Revision.Organisations[i])
		g.Expect(rank).To(gomega.BeElementOf(last, last+1))
		last = rank
	}
	g.Expect(last).To(gomega.Equal(9))
}
