// Package plan decides how many upstreams a service should run in which
// availability zone. Solve finds the cheapest mix of the platform's offers that
// carries the demand, and its urgent part even after the loss of any one zone.
// RequiredUpstreams and Spread decide the same for upstreams of a single class:
// reclaimable ones, which the platform may take away at any time, and more
// expensive fixed ones. The package has no clock and does no I/O.
package plan

import (
	"math"
	"sort"
)

// Offer is a kind of instance that the platform offers.
type Offer struct {
	Zone        string
	Class       string
	Reclaimable bool
	// Price is the price of one instance per hour.
	Price float64
	// Slots is how many requests one instance runs at once.
	Slots int
	// Limit is the maximum number of instances; 0 means no limit.
	Limit int
}

// Need is the capacity that a service needs.
type Need struct {
	// Slots is the whole demand, UrgentSlots the part that must still be carried
	// after the loss of a zone.
	Slots, UrgentSlots         float64
	MinInstances, MaxInstances int
}

// Count is a number of instances of an offer.
type Count struct {
	Offer
	Instances int
}

// Plan is a mix of instances for a service.
type Plan struct {
	Counts []Count
	// Cost is the price of all instances per hour.
	Cost float64
	// Met says that the mix meets the need. Otherwise it comes as close as the
	// offers and the maximum number of instances allow.
	Met bool
	// missingSlots and missingUrgentSlots are what the mix lacks of the need.
	missingSlots, missingUrgentSlots float64
}

// zoneOffers holds the offers of one zone by price per slot, the cheapest first.
type zoneOffers struct {
	name   string
	offers []Offer
}

// Solve returns the cheapest plan. It tries several maximum numbers of slots per
// zone: a low one spreads the instances, so that the loss of a zone costs few
// slots; a high one puts more of them into the cheapest zone.
func Solve(n Need, offers []Offer) Plan {
	zones := groupByZone(offers)
	best := Plan{missingSlots: math.Inf(1)}
	for _, maxZoneSlots := range zoneBounds(n, offers) {
		p := fill(n, zones, maxZoneSlots)
		if better(p, best) {
			best = p
		}
	}
	return best
}

// better reports whether p is better than q: it meets the need and q doesn't, or
// lacks fewer slots, or fewer urgent ones after the loss of a zone, or is cheaper,
// in this order.
func better(p, q Plan) bool {
	switch {
	case p.Met != q.Met:
		return p.Met
	case p.missingSlots != q.missingSlots:
		return p.missingSlots < q.missingSlots
	case p.missingUrgentSlots != q.missingUrgentSlots:
		return p.missingUrgentSlots < q.missingUrgentSlots
	default:
		return p.Cost < q.Cost
	}
}

func pricePerSlot(o Offer) float64 { return o.Price / float64(o.Slots) }

// groupByZone returns the zones, the one with the cheapest slot first.
func groupByZone(offers []Offer) []zoneOffers {
	index := map[string]int{}
	var zones []zoneOffers
	for _, o := range offers {
		i, ok := index[o.Zone]
		if !ok {
			i = len(zones)
			index[o.Zone] = i
			zones = append(zones, zoneOffers{name: o.Zone})
		}
		zones[i].offers = append(zones[i].offers, o)
	}
	for _, z := range zones {
		sort.SliceStable(z.offers, func(i, j int) bool { return pricePerSlot(z.offers[i]) < pricePerSlot(z.offers[j]) })
	}
	sort.SliceStable(zones, func(i, j int) bool { return pricePerSlot(zones[i].offers[0]) < pricePerSlot(zones[j].offers[0]) })
	return zones
}

// zoneBounds returns the maximum numbers of slots per zone that Solve tries:
// multiples of the slots of each offer, up to the whole need.
func zoneBounds(n Need, offers []Offer) []int {
	seen := map[int]bool{}
	for _, o := range offers {
		needed := max(int(math.Ceil(n.Slots+n.UrgentSlots))+1, n.MinInstances*o.Slots)
		for b := o.Slots; b < needed+o.Slots; b += o.Slots {
			seen[b] = true
		}
	}
	bounds := make([]int, 0, len(seen))
	for b := range seen {
		bounds = append(bounds, b)
	}
	sort.Ints(bounds)
	return bounds
}

// fill adds instances until the need is met, beginning with the cheapest zone,
// with at most maxZoneSlots in each zone.
func fill(n Need, zones []zoneOffers, maxZoneSlots int) Plan {
	p := Plan{}
	totalSlots, largestZoneSlots, instances := 0, 0, 0
	met := func() bool {
		return float64(totalSlots) >= n.Slots && float64(totalSlots-largestZoneSlots) >= n.UrgentSlots && instances >= n.MinInstances
	}
	for _, z := range zones {
		zoneSlots := 0
		for _, o := range z.offers {
			c := Count{Offer: o}
			for !met() && zoneSlots+o.Slots <= maxZoneSlots && instances < n.MaxInstances && (o.Limit == 0 || c.Instances < o.Limit) {
				c.Instances++
				instances++
				zoneSlots += o.Slots
				totalSlots += o.Slots
				largestZoneSlots = max(largestZoneSlots, zoneSlots)
				p.Cost += o.Price
			}
			if c.Instances > 0 {
				p.Counts = append(p.Counts, c)
			}
		}
	}
	p.Met = met()
	p.missingSlots = max(n.Slots-float64(totalSlots), 0)
	p.missingUrgentSlots = max(n.UrgentSlots-float64(totalSlots-largestZoneSlots), 0)
	return p
}
