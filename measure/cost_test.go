package measure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/plan"
)

// Shape of a day of prices and demand.
const (
	step  = 5 * time.Minute
	steps = int(24 * time.Hour / step)
	// margin is how far above the last demand the planner plans.
	margin = 1.15
)

// market has prices that wander by zone and class.
type market struct {
	random *rand.Rand
	offers []plan.Offer
}

func newMarket(seed uint64) *market {
	m := &market{random: rand.New(rand.NewPCG(seed, 9))}
	for _, z := range zones {
		for _, c := range []struct {
			class string
			slots int
			price float64
		}{{"small", 8, 1}, {"large", 16, 1.9}} {
			for _, reclaimable := range []bool{true, false} {
				price := c.price
				if reclaimable {
					price *= 0.25 + 0.2*m.random.Float64()
				}
				m.offers = append(m.offers, plan.Offer{Zone: z, Class: c.class, Reclaimable: reclaimable, Price: price, Slots: c.slots})
			}
		}
	}
	return m
}

func (m *market) move() {
	for i := range m.offers {
		if o := &m.offers[i]; o.Reclaimable {
			o.Price = min(max(o.Price*(1+0.1*(m.random.Float64()-0.5)), 0.15), 0.9)
		}
	}
}

// demand is a day's, in slots: a curve with noise and a flood in the evening.
func demand(random *rand.Rand, i int) plan.Need {
	x := float64(i) / float64(steps)
	all := 60 + 40*math.Sin(2*math.Pi*(x-0.3)) + 8*random.Float64()
	if x > 0.75 && x < 0.8 {
		all *= 1.5
	}
	return plan.Need{Slots: all, UrgentSlots: 0.4 * all, MinInstances: 1, MaxInstances: 60}
}

// day runs the planner through a day of refused starts and reclaims. It
// returns its cost, the clairvoyant one, that of on-demand instances alone, and
// the part of the time in which the urgent work was carried.
func day(seed uint64) (ours, clairvoyant, onDemand, carried float64) {
	m := newMarket(seed)
	random := rand.New(rand.NewPCG(seed, 10))
	backoff := plan.NewBackoff()
	running := map[plan.InstanceKind]int{}
	forecast := demand(random, 0)
	held := 0
	for i := range steps {
		now := time.Duration(i) * step
		need := demand(random, i)
		m.move()
		best := plan.Solve(need, m.offers)
		clairvoyant += best.Cost
		onDemand += plan.Solve(need, reliable(m.offers)).Cost
		want := forecast
		want.Slots, want.UrgentSlots = margin*want.Slots, margin*want.UrgentSlots
		steer(now, m, random, backoff, running, want)
		if i%48 == 24 {
			// A wave takes all reclaimable instances of a zone.
			lost := zones[random.IntN(len(zones))]
			for k := range running {
				if k.Zone == lost && k.Reclaimable {
					delete(running, k)
				}
			}
		}
		slots := 0.0
		for _, o := range m.offers {
			n := running[plan.InstanceKind{Zone: o.Zone, Class: o.Class, Reclaimable: o.Reclaimable}]
			ours += float64(n) * o.Price
			slots += float64(n * o.Slots)
		}
		if slots >= need.UrgentSlots {
			held++
		}
		forecast = need
	}
	return ours, clairvoyant, onDemand, float64(held) / float64(steps)
}

// steer starts and ends instances until the plan for the need stands, as far
// as starts aren't refused.
func steer(now time.Duration, m *market, random *rand.Rand, backoff *plan.Backoff, running map[plan.InstanceKind]int, need plan.Need) {
	for range 4 {
		p := plan.Solve(need, backoff.Available(now, m.offers, running))
		wanted := map[plan.InstanceKind]int{}
		for _, c := range p.Counts {
			wanted[plan.InstanceKind{Zone: c.Zone, Class: c.Class, Reclaimable: c.Reclaimable}] = c.Instances
		}
		refused := false
		for _, o := range m.offers {
			k := plan.InstanceKind{Zone: o.Zone, Class: o.Class, Reclaimable: o.Reclaimable}
			for running[k] < wanted[k] {
				if o.Reclaimable && random.Float64() < 0.1 {
					backoff.Refused(now, k)
					refused = true
					break
				}
				running[k]++
				backoff.Started(k)
			}
		}
		if refused {
			continue
		}
		for k, n := range running {
			running[k] = min(n, wanted[k])
		}
		return
	}
}

func reliable(offers []plan.Offer) []plan.Offer {
	var list []plan.Offer
	for _, o := range offers {
		if !o.Reclaimable {
			list = append(list, o)
		}
	}
	return list
}

func TestCostAtTheTarget(t *testing.T) {
	var ratio, saved, carried []float64
	for seed := range uint64(seeds) {
		ours, clairvoyant, onDemand, part := day(seed)
		ratio = append(ratio, ours/clairvoyant)
		saved = append(saved, ours/onDemand)
		carried = append(carried, part)
	}
	row("cost of a day with refused starts and waves", "ours", "against the clairvoyant plan %s against all on demand %s urgent work carried %s",
		spread(ratio, false), spread(saved, false), spread(carried, true))
	hold(t, "cost against the clairvoyant plan", median(ratio), "<=", 1.25)
	hold(t, "urgent work carried", median(carried), ">=", 1)
}
