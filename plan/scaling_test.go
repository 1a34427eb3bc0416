package plan

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

var limits = Bounds{Min: 1, Max: 6, ReclaimablePrice: 0.2}

// zonesServing returns zones with the given numbers of serving reclaimable
// upstreams.
func zonesServing(reclaimable ...int) []ZoneState {
	var list []ZoneState
	for i, n := range reclaimable {
		list = append(list, ZoneState{Name: string(rune('a' + i)), Price: 1 + float64(i)/10, Reclaimable: n})
	}
	return list
}

// summarize returns the sums of the targets, and the largest number of reclaimable
// upstreams in a zone.
func summarize(targets []ZoneTarget) (fixed, reclaimable, largest int) {
	for _, t := range targets {
		fixed += t.Fixed
		reclaimable += t.Reclaimable
		largest = max(largest, t.Reclaimable)
	}
	return fixed, reclaimable, largest
}

// TestLossOfAZoneLeavesEnough spreads every need that the bounds allow: the zones
// without the largest one still meet it.
func TestLossOfAZoneLeavesEnough(t *testing.T) {
	g := gomega.NewWithT(t)
	for need := 1; need <= 18; need++ {
		fixed, reclaimable, largest := summarize(Spread(float64(need), zonesServing(6, 6, 6, 6), limits))
		g.Expect(fixed).To(gomega.Equal(0))
		g.Expect(reclaimable - largest).To(gomega.BeNumerically(">=", need))
		g.Expect(largest).To(gomega.BeNumerically("<=", limits.Max))
	}
}

// TestFixedUpstreamsStayWhileReclaimableOnesAreRefused has three of four zones
// refuse reclaimable upstreams, and the refusals end one after the other: fixed
// upstreams are still requested until reclaimable ones serve.
func TestFixedUpstreamsStayWhileReclaimableOnesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	zones := zonesServing(0, 0, 3, 0)
	for i := range zones {
		zones[i].Refused = zones[i].Reclaimable == 0
	}
	requested, _, _ := summarize(Spread(10, zones, limits))
	g.Expect(requested).To(gomega.BeNumerically(">=", 3))
	for i := range zones {
		// The zones that refused have no reclaimable ones yet. At least 2 fixed
		// ones are requested even after the end of the last refusal, which lowers
		// the fraction.
		zones[i].Refused = false
		now, _, _ := summarize(Spread(10, zones, limits))
		g.Expect(now).To(gomega.BeNumerically(">=", 2), "after %d refusals ended", i+1)
	}
	for i := range zones {
		zones[i].Reclaimable = 4
	}
	fixed, _, _ := summarize(Spread(10, zones, limits))
	g.Expect(fixed).To(gomega.Equal(0), "the reclaimable upstreams serve")
}

func TestFixedUpstreamsThatServeAreKeptFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	zones := zonesServing(0, 0, 0, 0)
	zones[3].Fixed = 4
	for _, target := range Spread(8, zones, limits) {
		if target.Zone == "d" {
			g.Expect(target.Fixed).To(gomega.Equal(4))
		}
	}
}

func TestTrendRisesFastAndFallsSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	var up, down Trend
	up.Reset(1, 0)
	down.Reset(1, 100)
	now := clock.Instant(1)
	for range 4 {
		now += time.Second
		up.Update(now, 100)
		down.Update(now, 0)
	}
	g.Expect(up.value).To(gomega.BeNumerically(">", 80))
	g.Expect(down.value).To(gomega.BeNumerically(">", 60))
}

func TestSupportedDemandInvertsRequiredUpstreams(t *testing.T) {
	c := Capacity{PromptRate: 45_000, Slots: 64}
	for _, n := range []float64{1, 3.5, 20} {
		gomega.NewWithT(t).Expect(RequiredUpstreams(SupportedDemand(n, c), c)).To(gomega.BeNumerically("~", n, 1e-9))
	}
}

// TestAnyBoundsAreSpreadAtOnce guards against a leader that counts up to a number which an
// operator names as the bound of a zone, or which callers' token counts add up to.
func TestAnyBoundsAreSpreadAtOnce(t *testing.T) {
	for _, b := range []Bounds{{Min: math.MaxInt / 2, Max: math.MaxInt}, {Min: math.MinInt, Max: math.MaxInt}, {Min: 1, Max: math.MinInt}, {Max: math.MaxInt}} {
		for _, need := range []float64{3, 1e30, math.Inf(1), math.NaN()} {
			g := gomega.NewWithT(t)
			for _, target := range Spread(need, zonesServing(6, 0, 6), b) {
				g.Expect(target.Reclaimable).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", maxUpstreams)))
				g.Expect(target.Fixed).To(gomega.BeNumerically(">=", 0))
			}
		}
	}
	gomega.NewWithT(t).Expect(Spread(1e30, zonesServing(0, 0), Bounds{Max: math.MaxInt})[0].Reclaimable).To(gomega.Equal(maxUpstreams))
}

// TestAddEvenlyAddsToTheLowest compares the result with that of adding one at a time.
func TestAddEvenlyAddsToTheLowest(t *testing.T) {
	random := rand.New(rand.NewPCG(20261207, 1))
	for range 2000 {
		numbers, limits := make([]int, 1+random.IntN(5)), []int(nil)
		for i := range numbers {
			numbers[i] = random.IntN(8)
			limits = append(limits, random.IntN(12)-2)
		}
		count := random.IntN(40) - 3
		want := slices.Clone(numbers)
		for range count {
			best := -1
			for i := range want {
				if want[i] < limits[i] && (best < 0 || want[i] < want[best]) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			want[best]++
		}
		got := slices.Clone(numbers)
		addEvenly(count, got, limits)
		gomega.NewWithT(t).Expect(got).To(gomega.Equal(want), "%d to %d, limits %d", count, numbers, limits)
	}
}
