package plan

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

var limits = Bounds{Min: 1, Max: 6, ReclaimablePrice: 0.2}

func zones(reclaimable ...int) []Zone {
	var list []Zone
	for i, n := range reclaimable {
		list = append(list, Zone{Name: string(rune('a' + i)), Price: 1 + float64(i)/10, Reclaimable: n})
	}
	return list
}

func sums(wants []Want) (fixed, reclaimable, most int) {
	for _, w := range wants {
		fixed += w.Fixed
		reclaimable += w.Reclaimable
		most = max(most, w.Reclaimable)
	}
	return fixed, reclaimable, most
}

// TestLossOfAZoneLeavesEnough spreads any need: without its largest zone the
// rest still carries it, as far as the bounds allow.
func TestLossOfAZoneLeavesEnough(t *testing.T) {
	g := gomega.NewWithT(t)
	for need := 1; need <= 18; need++ {
		fixed, reclaimable, most := sums(Spread(float64(need), zones(6, 6, 6, 6), limits))
		g.Expect(fixed).To(gomega.Equal(0))
		g.Expect(reclaimable - most).To(gomega.BeNumerically(">=", need))
		g.Expect(most).To(gomega.BeNumerically("<=", limits.Max))
	}
}

// TestFixedUpstreamsStayWhileReclaimableOnesAreRefused has two zones refuse
// reclaimable upstreams, and the refusals end one after the other: the fixed
// ones that were ordered aren't taken back before others serve.
func TestFixedUpstreamsStayWhileReclaimableOnesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	all := zones(0, 0, 3, 0)
	for i := range all {
		all[i].Refused = all[i].Reclaimable == 0
	}
	ordered, _, _ := sums(Spread(10, all, limits))
	g.Expect(ordered).To(gomega.BeNumerically(">=", 3))
	for i := range all {
		// Nothing serves yet: what is ordered stays wanted, up to the share
		// that is held while others are refused.
		all[i].Refused = false
		now, _, _ := sums(Spread(10, all, limits))
		g.Expect(now).To(gomega.BeNumerically(">=", 2), "after %d refusals ended", i+1)
	}
	for i := range all {
		all[i].Reclaimable = 4
	}
	fixed, _, _ := sums(Spread(10, all, limits))
	g.Expect(fixed).To(gomega.Equal(0), "reclaimable ones serve")
}

func TestFixedUpstreamsThatServeAreKeptFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	all := zones(0, 0, 0, 0)
	all[3].Fixed = 4
	for _, w := range Spread(8, all, limits) {
		if w.Zone == "d" {
			g.Expect(w.Fixed).To(gomega.Equal(4))
		}
	}
}

func TestTrendRisesFastAndFallsSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	var up, down Trend
	up.Begin(1, 0)
	down.Begin(1, 100)
	now := clock.Instant(1)
	for range 4 {
		now += time.Second
		up.Add(now, 100)
		down.Add(now, 0)
	}
	g.Expect(up.value).To(gomega.BeNumerically(">", 80))
	g.Expect(down.value).To(gomega.BeNumerically(">", 60))
}

func TestWorkAndUpstreamsAgree(t *testing.T) {
	c := Capacity{Prompt: 45_000, Slots: 64}
	for _, n := range []float64{1, 3.5, 20} {
		gomega.NewWithT(t).Expect(Upstreams(Carries(n, c), c)).To(gomega.BeNumerically("~", n, 1e-9))
	}
}
