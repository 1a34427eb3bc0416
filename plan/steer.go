package plan

import (
	"math"
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Zone is what a service has and may have in one availability zone.
type Zone struct {
	Name string
	// Price is that of an upstream's second.
	Price float64
	// Fixed and Reclaimable are the upstreams that serve now.
	Fixed, Reclaimable int
	// Refused says that reclaimable upstreams can't be had there now.
	Refused bool
}

// Bounds limit the upstreams of a service in each zone, of both kinds
// together.
type Bounds struct {
	Min, Max int
	// ReclaimablePrice is a part of the full price.
	ReclaimablePrice float64
}

// Want is the number of upstreams to order in a zone.
type Want struct {
	Zone               string
	Fixed, Reclaimable int
}

// Work is the demand on a service.
type Work struct {
	// Prompt is the prompt tokens per second that have to be read, and
	// Running the requests that run or wait.
	Prompt, Running float64
}

// Capacity is what one upstream carries.
type Capacity struct {
	// Prompt is the prompt tokens per second, and Slots the requests at once.
	Prompt, Slots float64
}

// Parts of an upstream's capacity that are planned for.
const (
	// promptPart leaves room for prompts that arrive together: with more, the
	// first token of short prompts waits behind long ones.
	promptPart = 0.28
	// slotPart leaves a batch that decodes at a good pace.
	slotPart = 0.3
)

// Upstreams is the number of upstreams that carry the work.
func Upstreams(w Work, c Capacity) float64 {
	need := 0.0
	if c.Prompt > 0 {
		need = w.Prompt / (c.Prompt * promptPart)
	}
	if c.Slots > 0 {
		need = max(need, w.Running/(c.Slots*slotPart))
	}
	return need
}

// Parts of the need below which fixed upstreams are ordered: a higher load is
// borne until reclaimable ones can be had again. While some are refused others
// are often taken away too, and more is held.
const (
	fixedPart   = 0.5
	refusedPart = 0.6
)

// Carries is the work that a number of upstreams carries.
func Carries(n float64, c Capacity) Work {
	return Work{Prompt: n * c.Prompt * promptPart, Running: n * c.Slots * slotPart}
}

// Spread distributes the needed number over the zones. Reclaimable upstreams
// are spread so that what is left after the loss of any zone still carries the
// need; fixed ones, which cost several times as much, fill up only what the
// reclaimable ones that serve now leave open.
func Spread(need float64, zones []Zone, b Bounds) []Want {
	if len(zones) == 0 {
		return nil
	}
	total := int(math.Ceil(need))
	if n := len(zones); n > 1 {
		total = max(total, int(math.Ceil(need*float64(n)/float64(n-1))))
	}
	order := append([]Zone(nil), zones...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].Price < order[j].Price })
	wants := make([]Want, len(order))
	serving := 0
	for i, z := range order {
		wants[i] = Want{Zone: z.Name, Reclaimable: b.Min}
		total -= b.Min
		serving += z.Reclaimable
		if z.Refused {
			wants[i].Fixed = max(b.Min-z.Reclaimable, 0)
		}
	}
	share(max(total, 0), order, wants, b.Max)
	part := fixedPart
	for _, z := range zones {
		if z.Refused {
			part = refusedPart
		}
	}
	open := int(math.Ceil(need*part)) - serving
	for _, w := range wants {
		open -= w.Fixed
	}
	fill(open, order, wants, b.Max)
	sort.Slice(wants, func(i, j int) bool { return wants[i].Zone < wants[j].Zone })
	return wants
}

// share adds reclaimable upstreams one by one to the zone that has the fewest,
// the cheapest first.
func share(left int, zones []Zone, wants []Want, most int) {
	for ; left > 0; left-- {
		best := -1
		for i := range zones {
			if wants[i].Reclaimable < most && (best < 0 || wants[i].Reclaimable < wants[best].Reclaimable) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		wants[best].Reclaimable++
	}
}

// fill adds fixed upstreams: those that serve already are kept first, then the
// cheapest zones get new ones.
func fill(left int, zones []Zone, wants []Want, most int) {
	for i := range zones {
		keep := max(min(left, zones[i].Fixed-wants[i].Fixed, most-wants[i].Fixed), 0)
		wants[i].Fixed += keep
		left -= keep
	}
	for left > 0 {
		best := -1
		for i, z := range zones {
			if wants[i].Fixed+z.Reclaimable < most && (best < 0 || wants[i].Fixed < wants[best].Fixed) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		wants[best].Fixed++
		left--
	}
}

// Trend follows a demand: upwards at once, downwards slowly.
type Trend struct {
	value float64
	last  clock.Instant
}

// Times of a trend.
const (
	// riseTime smooths the noise of single requests.
	riseTime = 2 * time.Second
	// fallTime is several times the time that a new upstream takes to start.
	fallTime = 10 * time.Second
)

// Begin sets the trend where nothing is known yet.
func (t *Trend) Begin(now clock.Instant, value float64) { t.value, t.last = value, now }

// Add takes in a measurement and returns the trend.
func (t *Trend) Add(now clock.Instant, value float64) float64 {
	if t.last == 0 {
		t.value, t.last = value, now
		return value
	}
	span := riseTime
	if value < t.value {
		span = fallTime
	}
	weight := 1 - math.Exp(-float64(now-t.last)/float64(span))
	t.value += weight * (value - t.value)
	t.last = now
	return t.value
}
