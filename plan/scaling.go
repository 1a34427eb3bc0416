package plan

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// ZoneState describes a service's upstreams in one availability zone.
type ZoneState struct {
	Name string
	// Price is the price of one upstream per second.
	Price float64
	// Fixed and Reclaimable are the numbers of upstreams that serve now.
	Fixed, Reclaimable int
	// Refused says that the platform refuses to start reclaimable upstreams in
	// the zone at present.
	Refused bool
}

// Bounds limit the number of upstreams of a service in each zone, of both kinds
// together. Spread applies Max to each kind, and to the sum only where it adds
// fixed upstreams; of the reclaimable ones it then counts those that serve.
type Bounds struct {
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable upstream as a fraction of
	// that of a fixed one.
	ReclaimablePrice float64
}

// maxUpstreams bounds the need, and the bounds of a zone, so that they can be added up.
const maxUpstreams = 1 << 20

// ZoneTarget is the number of upstreams that a service should have in a zone.
type ZoneTarget struct {
	Zone               string
	Fixed, Reclaimable int
}

// Demand is the demand on a service.
type Demand struct {
	// PromptRate is the prompt tokens to prefill per second, Requests the number
	// of requests that run or wait.
	PromptRate, Requests float64
}

// Capacity is the capacity of one upstream.
type Capacity struct {
	// PromptRate is the prompt tokens that it prefills per second, Slots the
	// number of requests that it runs at once.
	PromptRate, Slots float64
}

// Fractions of an upstream's capacity that are planned to be used.
const (
	// promptUtilization leaves room for prompts that arrive together: with a
	// higher value, the first token of short prompts waits behind long prompts.
	promptUtilization = 0.28
	// slotUtilization keeps batches small enough to decode quickly.
	slotUtilization = 0.3
)

// RequiredUpstreams is the number of upstreams that carry the demand.
func RequiredUpstreams(d Demand, c Capacity) float64 {
	need := 0.0
	if c.PromptRate > 0 {
		need = d.PromptRate / (c.PromptRate * promptUtilization)
	}
	if c.Slots > 0 {
		need = max(need, d.Requests/(c.Slots*slotUtilization))
	}
	return need
}

// Fractions of the need up to which fixed upstreams replace missing reclaimable
// ones; beyond that, the remaining upstreams carry a higher load until reclaimable
// ones are available again. fixedFractionRefused applies while any zone refuses
// reclaimable upstreams: others are often taken away at the same time.
const (
	fixedFraction        = 0.5
	fixedFractionRefused = 0.6
	// survivingFraction of the need has to be left when the zone with the most
	// reclaimable upstreams loses all of them: they would run at eight tenths of
	// their capacity. New ones take longer to start than a zone's notice lasts.
	survivingFraction = 0.35
)

// SupportedDemand is the demand that n upstreams carry.
func SupportedDemand(n float64, c Capacity) Demand {
	return Demand{PromptRate: n * c.PromptRate * promptUtilization, Requests: n * c.Slots * slotUtilization}
}

// Spread distributes the needed number of upstreams over the zones. Reclaimable
// upstreams are spread so that those that remain after the loss of any zone meet
// the need. Fixed upstreams cost several times as much, so that they only make up
// for reclaimable ones that don't serve at present.
func Spread(need float64, zones []ZoneState, b Bounds) []ZoneTarget {
	if len(zones) == 0 {
		return nil
	}
	if need = min(need, maxUpstreams); !(need > 0) {
		need = 0
	}
	b.Min, b.Max = min(max(b.Min, 0), maxUpstreams), min(max(b.Max, 0), maxUpstreams)
	reclaimable := int(math.Ceil(need))
	if n := len(zones); n > 1 {
		reclaimable = max(reclaimable, int(math.Ceil(need*float64(n)/float64(n-1))))
	}
	byPrice := append([]ZoneState(nil), zones...)
	sort.SliceStable(byPrice, func(i, j int) bool { return byPrice[i].Price < byPrice[j].Price })
	targets := make([]ZoneTarget, len(byPrice))
	reclaimableServing, largestServing := 0, 0
	for i, z := range byPrice {
		targets[i] = ZoneTarget{Zone: z.Name, Reclaimable: b.Min}
		reclaimable -= b.Min
		reclaimableServing += z.Reclaimable
		largestServing = max(largestServing, z.Reclaimable)
		if z.Refused {
			targets[i].Fixed = max(b.Min-z.Reclaimable, 0)
		}
	}
	addReclaimable(max(reclaimable, 0), targets, b.Max)
	fraction := fixedFraction
	for _, z := range zones {
		if z.Refused {
			fraction = fixedFractionRefused
		}
	}
	fixed := max(
		int(math.Ceil(need*fraction))-reclaimableServing,
		int(math.Ceil(need*survivingFraction))-(reclaimableServing-largestServing),
	)
	for _, t := range targets {
		fixed -= t.Fixed
	}
	addFixed(fixed, byPrice, targets, b.Max)
	sort.Slice(targets, func(i, j int) bool { return targets[i].Zone < targets[j].Zone })
	return targets
}

// addReclaimable adds count reclaimable upstreams to the targets, each to the zone
// with the fewest; zones are in order of price, and of equal ones the cheapest gets
// it.
func addReclaimable(count int, targets []ZoneTarget, maxPerZone int) {
	numbers, limits := make([]int, len(targets)), make([]int, len(targets))
	for i := range targets {
		numbers[i], limits[i] = targets[i].Reclaimable, maxPerZone
	}
	addEvenly(count, numbers, limits)
	for i := range targets {
		targets[i].Reclaimable = numbers[i]
	}
}

// addFixed adds count fixed upstreams to the targets. Those that serve already are
// kept first. New ones go to the zone with the fewest, of equal ones the cheapest,
// and only where there are, with the reclaimable ones that serve, less than
// maxPerZone.
func addFixed(count int, zones []ZoneState, targets []ZoneTarget, maxPerZone int) {
	numbers, limits := make([]int, len(targets)), make([]int, len(targets))
	for i := range zones {
		keep := max(min(count, zones[i].Fixed-targets[i].Fixed, maxPerZone-targets[i].Fixed), 0)
		numbers[i], limits[i] = targets[i].Fixed+keep, maxPerZone-zones[i].Reclaimable
		count -= keep
	}
	addEvenly(count, numbers, limits)
	for i := range targets {
		targets[i].Fixed = numbers[i]
	}
}

// addEvenly adds count to the numbers, one after the other to the lowest that is below its limit, the
// first of equal ones. Its time doesn't depend on count.
func addEvenly(count int, numbers, limits []int) {
	missing := func(level int) (sum int) {
		for i, n := range numbers {
			sum += max(min(level, limits[i])-n, 0)
		}
		return sum
	}
	// All numbers rise to level, and the first ones one further.
	level := sort.Search(slices.Max(limits), func(level int) bool { return missing(level+1) > count })
	count -= missing(level)
	for i, n := range numbers {
		numbers[i] = max(n, min(level, limits[i]))
		if count > 0 && numbers[i] == level && level < limits[i] {
			numbers[i]++
			count--
		}
	}
}

// Trend smooths a measured demand exponentially: it rises quickly and falls slowly.
type Trend struct {
	value      float64
	lastUpdate clock.Instant
}

// Time constants of a trend.
const (
	// riseTime smooths the noise of single requests.
	riseTime = 2 * time.Second
	// fallTime is several times as long as a new upstream takes to start.
	fallTime = 10 * time.Second
)

// Reset sets the trend to a value, whatever it was.
func (t *Trend) Reset(now clock.Instant, value float64) { t.value, t.lastUpdate = value, now }

// Update adds a measurement and returns the new trend.
func (t *Trend) Update(now clock.Instant, value float64) float64 {
	if t.lastUpdate == 0 {
		t.value, t.lastUpdate = value, now
		return value
	}
	timeConstant := riseTime
	if value < t.value {
		timeConstant = fallTime
	}
	weight := 1 - math.Exp(-float64(now-t.lastUpdate)/float64(timeConstant))
	t.value += weight * (value - t.value)
	t.lastUpdate = now
	return t.value
}
