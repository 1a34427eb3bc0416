package plan

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

var engine = Capacity{PromptRate: 45_000, Slots: 16}

// TestIdleForecastDoesNotFeedOnItsOwnOrders starts a service of 140 fixed
// upstreams, which announce themselves late, and carries out all orders: before
// the first request the need follows from what the service was given.
func TestIdleForecastDoesNotFeedOnItsOwnOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewForecast(engine)
	zones := []ZoneState{{Name: "a", Price: 1}, {Name: "b", Price: 1}, {Name: "c", Price: 1}}
	announced := []int{80, 110, 140}
	now := clock.Instant(time.Second)
	for round := range 30 {
		now += 400 * time.Millisecond
		fixed, reclaimable := 0, 0
		for i := range zones {
			if round < len(announced) {
				zones[i].Fixed = announced[round] / len(zones)
			}
			fixed += zones[i].Fixed
			reclaimable += zones[i].Reclaimable
		}
		need := f.Update(now, Observation{Zones: len(zones), Fixed: fixed, Reclaimable: reclaimable, Idle: true})
		g.Expect(need).To(gomega.BeNumerically("<=", idleReserve*140))
		for i, target := range Spread(need, zones, Bounds{Max: 100}) {
			if round >= len(announced) {
				zones[i].Fixed, zones[i].Reclaimable = target.Fixed, target.Reclaimable
			}
		}
	}
	fixed, reclaimable, _ := summarize(Spread(f.Update(now, Observation{Zones: 3, Reclaimable: 273, Idle: true}), zones, Bounds{Max: 100}))
	g.Expect(fixed).To(gomega.BeZero())
	g.Expect(reclaimable).To(gomega.BeNumerically("~", 273, 5))
}

// TestForecastOfANewLeaderKeepsWhatServes begins while requests come: until their
// demand is measured, the upstreams that are there count as needed.
func TestForecastOfANewLeaderKeepsWhatServes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := NewForecast(engine)
	now := clock.Instant(time.Second)
	g.Expect(f.Update(now, Observation{Zones: 3, Fixed: 6, Reclaimable: 54})).To(gomega.BeNumerically("~", 40, 1e-9))
	now += 400 * time.Millisecond
	need := f.Update(now, Observation{Zones: 3, Reclaimable: 60, Demand: SupportedDemand(40, engine)})
	g.Expect(need).To(gomega.BeNumerically("~", 40, 1e-9))
}

// TestLastZoneIsNotTheOnlyOne has the reclaimable upstreams of all zones but one
// taken away, one after the other. Before the last zone goes too, fixed ones must
// be ordered that carry the demand at a high load.
func TestLastZoneIsNotTheOnlyOne(t *testing.T) {
	g := gomega.NewWithT(t)
	const need = 96
	zones := []ZoneState{{Name: "a", Price: 1, Reclaimable: 48}, {Name: "b", Price: 1, Reclaimable: 48}, {Name: "c", Price: 1, Reclaimable: 48}}
	fixed, _, _ := summarize(Spread(need, zones, Bounds{Max: 100}))
	g.Expect(fixed).To(gomega.BeZero(), "two zones would be left")
	zones[0].Reclaimable, zones[0].Refused = 0, true
	fixed, _, _ = summarize(Spread(need, zones, Bounds{Max: 100}))
	g.Expect(fixed).To(gomega.BeNumerically("<", need/10), "half of the need would be left")
	zones[1].Reclaimable, zones[1].Refused = 0, true
	fixed, _, _ = summarize(Spread(need, zones, Bounds{Max: 100}))
	g.Expect(float64(fixed)).To(gomega.BeNumerically(">=", need*survivingFraction))
}
