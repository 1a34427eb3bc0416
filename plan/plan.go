// Package plan decides how many instances of which kind a service should run
// and where: the cheapest mix that carries the demand, and the urgent part of
// it even after the loss of any one availability zone. It is pure.
package plan

import (
	"math"
	"sort"
)

// Offer is a kind of instance that the platform sells.
type Offer struct {
	Zone        string
	Class       string
	Reclaimable bool
	// Price is the cost of one instance for an hour.
	Price float64
	// Slots is how many requests one instance runs at once.
	Slots int
	// Limit is the number of instances that can be had; 0 means any.
	Limit int
}

// Need is what a service has to carry, in slots.
type Need struct {
	// All is the whole demand, Urgent the part that must be carried after the
	// loss of a zone.
	All, Urgent float64
	// Low and High bound the number of instances.
	Low, High int
}

// Count is a number of instances of an offer.
type Count struct {
	Offer
	Instances int
}

// Plan is a mix of instances.
type Plan struct {
	Counts []Count
	// Cost is the price for an hour.
	Cost float64
	// Met says that the mix carries the need; otherwise it is the most that
	// the offers and the bounds allow.
	Met bool
	// lackAll and lackUrgent are the slots that the mix lacks.
	lackAll, lackUrgent float64
}

// zone is a zone with its offers, the cheapest slot first.
type zone struct {
	name   string
	offers []Offer
}

// Solve returns the cheapest plan. It tries every bound on the slots of one
// zone: a low bound spreads the instances, so that the loss of a zone costs
// little; a high one uses the cheapest zone more.
func Solve(n Need, offers []Offer) Plan {
	zones := byZone(offers)
	best := Plan{lackAll: math.Inf(1)}
	for _, bound := range bounds(n, offers) {
		p := mixture(n, zones, bound)
		if better(p, best) {
			best = p
		}
	}
	return best
}

// better prefers what lacks least of the whole need, then of the urgent part
// after the loss of a zone, then the cheaper.
func better(p, q Plan) bool {
	switch {
	case p.Met != q.Met:
		return p.Met
	case p.lackAll != q.lackAll:
		return p.lackAll < q.lackAll
	case p.lackUrgent != q.lackUrgent:
		return p.lackUrgent < q.lackUrgent
	default:
		return p.Cost < q.Cost
	}
}

func perSlot(o Offer) float64 { return o.Price / float64(o.Slots) }

func byZone(offers []Offer) []zone {
	index := map[string]int{}
	var zones []zone
	for _, o := range offers {
		i, ok := index[o.Zone]
		if !ok {
			i = len(zones)
			index[o.Zone] = i
			zones = append(zones, zone{name: o.Zone})
		}
		zones[i].offers = append(zones[i].offers, o)
	}
	for _, z := range zones {
		sort.SliceStable(z.offers, func(i, j int) bool { return perSlot(z.offers[i]) < perSlot(z.offers[j]) })
	}
	sort.SliceStable(zones, func(i, j int) bool { return perSlot(zones[i].offers[0]) < perSlot(zones[j].offers[0]) })
	return zones
}

// bounds lists the bounds on one zone's slots that are worth trying: multiples
// of every class's slots up to the whole need.
func bounds(n Need, offers []Offer) []int {
	seen := map[int]bool{}
	for _, o := range offers {
		most := max(int(math.Ceil(n.All+n.Urgent))+1, n.Low*o.Slots)
		for b := o.Slots; b < most+o.Slots; b += o.Slots {
			seen[b] = true
		}
	}
	list := make([]int, 0, len(seen))
	for b := range seen {
		list = append(list, b)
	}
	sort.Ints(list)
	return list
}

// mixture takes instances from the cheapest zones on, each up to the bound, until
// the need is met.
func mixture(n Need, zones []zone, bound int) Plan {
	p := Plan{}
	total, largest, instances := 0, 0, 0
	enough := func() bool {
		return float64(total) >= n.All && float64(total-largest) >= n.Urgent && instances >= n.Low
	}
	for _, z := range zones {
		slots := 0
		for _, o := range z.offers {
			c := Count{Offer: o}
			for !enough() && slots+o.Slots <= bound && instances < n.High && (o.Limit == 0 || c.Instances < o.Limit) {
				c.Instances++
				instances++
				slots += o.Slots
				total += o.Slots
				largest = max(largest, slots)
				p.Cost += o.Price
			}
			if c.Instances > 0 {
				p.Counts = append(p.Counts, c)
			}
		}
	}
	p.Met = enough()
	p.lackAll = max(n.All-float64(total), 0)
	p.lackUrgent = max(n.Urgent-float64(total-largest), 0)
	return p
}
