package limit

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const second = time.Second

func fleetOf(n int) func() []Entry {
	return func() []Entry {
		var all []Entry
		for i := range n {
			all = append(all, Entry{Name: fmt.Sprint("e", i), Zone: string(rune('a' + i%2)), Arrivals: map[string]float64{"s": 3}})
		}
		return all
	}
}

func named(upstream string, rate float64, age time.Duration) Observation {
	return Observation{Upstream: upstream, Incarnation: 1, Service: "s", Zone: "a", Rate: rate, Limited: true, Age: age}
}

func TestSmallLimitsHaveOneOwnerInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	b.Observe(second, []Observation{named("u", 1.3, 0)})
	owners := 0
	for _, e := range fleetOf(6)() {
		shares := b.Shares(second, e.Name, fleetOf(6))
		g.Expect(shares).To(gomega.HaveLen(1))
		if shares[0].Share > 0 {
			owners++
			g.Expect(shares[0].Share).To(gomega.Equal(1.3))
			g.Expect(e.Zone).To(gomega.Equal("a"))
		}
	}
	g.Expect(owners).To(gomega.Equal(1))
}

// TestHugeLimitsAreShared guards against a limit that stands for none, and of which one entry
// gets all.
func TestHugeLimitsAreShared(t *testing.T) {
	for _, rate := range []float64{1e6, 1e19, math.MaxFloat64} {
		g := gomega.NewWithT(t)
		b := NewBoard()
		b.Observe(second, []Observation{named("u", rate, 0)})
		for _, e := range fleetOf(6)() {
			g.Expect(b.Shares(second, e.Name, fleetOf(6))[0].Share).To(gomega.Equal(rate/6), "%g", rate)
		}
	}
}

func TestTheNewestAnswerDecides(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	lifted := Observation{Upstream: "u", Incarnation: 1, Service: "s", Age: second}
	b.Observe(10*second, []Observation{lifted})
	b.Observe(10*second, []Observation{named("u", 2, 5*second)})
	g.Expect(b.Shares(10*second, "e0", fleetOf(1))[0].Limited).To(gomega.BeFalse(), "an older answer")
	b.Observe(12*second, []Observation{named("u", 2, 0)})
	g.Expect(b.Shares(12*second, "e0", fleetOf(1))[0].Share).To(gomega.Equal(2.0))
	b.Observe(12*second+retention+1, nil)
	g.Expect(b.Shares(12*second+retention+1, "e0", fleetOf(1))).To(gomega.BeEmpty(), "nobody has reported it for long")
}

// TestOwnersStayWhileTheyHaveRequests moves a share only if its owner has no more
// requests or is gone.
func TestOwnersStayWhileTheyHaveRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	now := clock.Instant(second)
	owner := func(entries []Entry) string {
		b.Observe(now, []Observation{named("u", 1, 0)})
		for _, e := range entries {
			if b.Shares(now, e.Name, func() []Entry { return entries })[0].Share > 0 {
				return e.Name
			}
		}
		return ""
	}
	entries := fleetOf(5)()
	first := owner(entries)
	now += second
	g.Expect(owner(append(fleetOf(9)(), entries[0]))).To(gomega.Equal(first), "more entries, one of them twice")
	var others []Entry
	for _, e := range entries {
		if e.Name != first {
			others = append(others, e)
		}
	}
	now += second
	g.Expect(owner(others)).NotTo(gomega.BeElementOf(first, ""), "the owner is gone")
}

// TestSharesNeverExceedTheLimit draws limits and entries that come and go: the
// shares of one choice add up to no more than the limit, and every entry has
// some when there are enough limits.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard()
		now := clock.Instant(second)
		upstreams := rapid.IntRange(1, 12).Draw(t, "upstreams")
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			now += second
			entries := fleetOf(rapid.IntRange(1, 12).Draw(t, "entries"))
			var observations []Observation
			rates := map[string]float64{}
			for u := range upstreams {
				o := named(fmt.Sprint("u", u), rapid.Float64Range(0.1, 40).Draw(t, "rate"), 0)
				rates[o.Upstream] = o.Rate
				observations = append(observations, o)
			}
			b.Observe(now, observations)
			sums, served := map[string]float64{}, map[string]bool{}
			for _, e := range entries() {
				shares := b.Shares(now, e.Name, entries)
				for i := range shares {
					var decoded Share
					if err := wire.Decode(wire.MustEncode(&shares[i]), &decoded); err != nil {
						t.Fatal(err)
					}
					sums[decoded.Upstream] += decoded.Share
					served[e.Name] = served[e.Name] || decoded.Share > 0
				}
			}
			for u, sum := range sums {
				if sum > rates[u]*1.000001 {
					t.Fatalf("shares of %v of the limit %v of %s", sum, rates[u], u)
				}
			}
		}
	})
}

// TestAnAllLimitedServiceLeavesNoEntryWithout has as many limits as entries.
func TestAnAllLimitedServiceLeavesNoEntryWithout(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	entries := fleetOf(6)
	var observations []Observation
	for u := range 6 {
		observations = append(observations, named(fmt.Sprint("u", u), 1, 0))
	}
	b.Observe(second, observations)
	for _, e := range entries() {
		sum := 0.0
		for _, s := range b.Shares(second, e.Name, entries) {
			sum += s.Share
		}
		g.Expect(sum).To(gomega.Equal(1.0), e.Name)
	}
}
