package measure

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/plan"
)

const (
	// planInterval is the time between two runs of the planner.
	planInterval    = 5 * time.Minute
	intervalsPerDay = int(24 * time.Hour / planInterval)
	// demandMargin is the ratio of planned demand to the last interval's demand.
	demandMargin = 1.15
)

// spotMarket offers instances of each zone and class, on demand at a fixed
// price and reclaimable at a price that changes at random.
type spotMarket struct {
	random *rand.Rand
	offers []plan.Offer
}

func newSpotMarket(seed uint64) *spotMarket {
	m := &spotMarket{random: rand.New(rand.NewPCG(seed, 9))}
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

func (m *spotMarket) changePrices() {
	for i := range m.offers {
		if o := &m.offers[i]; o.Reclaimable {
			o.Price = min(max(o.Price*(1+0.1*(m.random.Float64()-0.5)), 0.15), 0.9)
		}
	}
}

// demandAt returns the demand in interval i of the day: a daily curve with noise
// and a peak in the evening.
func demandAt(random *rand.Rand, i int) plan.Need {
	dayFraction := float64(i) / float64(intervalsPerDay)
	slots := 60 + 40*math.Sin(2*math.Pi*(dayFraction-0.3)) + 8*random.Float64()
	if dayFraction > 0.75 && dayFraction < 0.8 {
		slots *= 1.5
	}
	return plan.Need{Slots: slots, UrgentSlots: 0.4 * slots, MinInstances: 1, MaxInstances: 60}
}

// simulateDay runs the planner through a day in which instance starts are
// refused and zones reclaimed. It returns the cost of its instances, of a
// clairvoyant plan that knows each interval's demand and is never refused, and
// of on-demand instances alone; and the fraction of the intervals in which the
// running slots covered the urgent work.
func simulateDay(seed uint64) (cost, clairvoyantCost, onDemandCost, urgentCarried float64) {
	m := newSpotMarket(seed)
	random := rand.New(rand.NewPCG(seed, 10))
	backoff := plan.NewBackoff()
	running := map[plan.InstanceKind]int{}
	forecast := demandAt(random, 0)
	intervalsCarried := 0
	for i := range intervalsPerDay {
		now := time.Duration(i) * planInterval
		need := demandAt(random, i)
		m.changePrices()
		clairvoyant := plan.Solve(need, m.offers)
		clairvoyantCost += clairvoyant.Cost
		onDemandCost += plan.Solve(need, onDemandOffers(m.offers)).Cost
		target := forecast
		target.Slots, target.UrgentSlots = demandMargin*target.Slots, demandMargin*target.UrgentSlots
		reconcile(now, m, random, backoff, running, target)
		if i%48 == 24 {
			// A reclaim wave ends all reclaimable instances of a zone.
			lostZone := zones[random.IntN(len(zones))]
			for k := range running {
				if k.Zone == lostZone && k.Reclaimable {
					delete(running, k)
				}
			}
		}
		runningSlots := 0.0
		for _, o := range m.offers {
			n := running[plan.InstanceKind{Zone: o.Zone, Class: o.Class, Reclaimable: o.Reclaimable}]
			cost += float64(n) * o.Price
			runningSlots += float64(n * o.Slots)
		}
		if runningSlots >= need.UrgentSlots {
			intervalsCarried++
		}
		forecast = need
	}
	return cost, clairvoyantCost, onDemandCost, float64(intervalsCarried) / float64(intervalsPerDay)
}

// reconcile starts and ends instances to match the plan for the need. After a
// refused start it plans again without further instances of the refused kind.
func reconcile(now time.Duration, m *spotMarket, random *rand.Rand, backoff *plan.Backoff, running map[plan.InstanceKind]int, need plan.Need) {
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

func onDemandOffers(offers []plan.Offer) []plan.Offer {
	var list []plan.Offer
	for _, o := range offers {
		if !o.Reclaimable {
			list = append(list, o)
		}
	}
	return list
}

func TestDailyCostAgainstClairvoyantPlan(t *testing.T) {
	var toClairvoyant, toOnDemand, carried []float64
	for seed := range uint64(seedCount) {
		cost, clairvoyantCost, onDemandCost, fraction := simulateDay(seed)
		toClairvoyant = append(toClairvoyant, cost/clairvoyantCost)
		toOnDemand = append(toOnDemand, cost/onDemandCost)
		carried = append(carried, fraction)
	}
	addRow("cost of a day with refused starts and waves", "ours", "against the clairvoyant plan %s against all on demand %s urgent work carried %s",
		medianAndWorst(toClairvoyant, false), medianAndWorst(toOnDemand, false), medianAndWorst(carried, true))
	checkLimit(t, "cost against the clairvoyant plan", median(toClairvoyant), "<=", 1.25)
	checkLimit(t, "urgent work carried", median(carried), ">=", 1)
}
