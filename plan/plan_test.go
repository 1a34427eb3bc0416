package plan

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func offer(zone string, price float64) Offer {
	return Offer{Zone: zone, Class: "small", Reclaimable: true, Price: price, Slots: 8}
}

func instancesPerZone(p Plan) map[string]int {
	counts := map[string]int{}
	for _, c := range p.Counts {
		counts[c.Zone] += c.Instances
	}
	return counts
}

func TestSolve(t *testing.T) {
	cases := []struct {
		name   string
		need   Need
		offers []Offer
		want   map[string]int
		met    bool
	}{
		{"the cheapest zone", Need{Slots: 16, MaxInstances: 9}, []Offer{offer("a", 2), offer("b", 1)}, map[string]int{"b": 2}, true},
		{"urgent demand survives the loss of a zone", Need{Slots: 16, UrgentSlots: 16, MaxInstances: 9}, []Offer{offer("a", 2), offer("b", 1)}, map[string]int{"a": 2, "b": 2}, true},
		{"one instance in each of three zones suffices", Need{Slots: 16, UrgentSlots: 16, MaxInstances: 9}, []Offer{offer("a", 1), offer("b", 1), offer("c", 1)}, map[string]int{"a": 1, "b": 1, "c": 1}, true},
		{"an offer with a limit", Need{Slots: 16, MaxInstances: 9}, []Offer{{Zone: "b", Class: "small", Price: 1, Slots: 8, Limit: 1}, offer("a", 2)}, map[string]int{"b": 1, "a": 1}, true},
		{"minimum number of instances", Need{Slots: 1, MinInstances: 3, MaxInstances: 9}, []Offer{offer("a", 1)}, map[string]int{"a": 3}, true},
		{"maximum number of instances", Need{Slots: 100, MaxInstances: 2}, []Offer{offer("a", 1)}, map[string]int{"a": 2}, false},
		{"a single zone can't meet the urgent need", Need{Slots: 8, UrgentSlots: 8, MaxInstances: 9}, []Offer{offer("a", 1)}, map[string]int{"a": 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := Solve(c.need, c.offers)
			g.Expect(instancesPerZone(p)).To(gomega.Equal(c.want))
			g.Expect(p.Met).To(gomega.Equal(c.met))
		})
	}
}

// TestSolveAgainstAllMixes compares Solve with an exhaustive search for the
// cheapest mix, for up to three zones with two offers each.
func TestSolveAgainstAllMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []Offer
		for _, z := range []string{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "zones")] {
			for range rapid.IntRange(1, 2).Draw(t, "offers") {
				o := offer(z, float64(rapid.IntRange(1, 20).Draw(t, "price")))
				offers = append(offers, o)
			}
		}
		n := Need{Slots: float64(rapid.IntRange(0, 40).Draw(t, "all")), MaxInstances: 100}
		n.UrgentSlots = float64(rapid.IntRange(0, int(n.Slots)).Draw(t, "urgent"))
		cheapest := math.Inf(1)
		var try func(i int, zones map[string]int, cost float64)
		try = func(i int, zones map[string]int, cost float64) {
			if i == len(offers) {
				total, largest := 0, 0
				for _, s := range zones {
					total += s
					largest = max(largest, s)
				}
				if float64(total) >= n.Slots && float64(total-largest) >= n.UrgentSlots {
					cheapest = min(cheapest, cost)
				}
				return
			}
			for k := 0; k <= 5; k++ {
				zones[offers[i].Zone] += k * offers[i].Slots
				try(i+1, zones, cost+float64(k)*offers[i].Price)
				zones[offers[i].Zone] -= k * offers[i].Slots
			}
		}
		try(0, map[string]int{}, 0)
		p := Solve(n, offers)
		if !p.Met || p.Cost > cheapest+1e-9 {
			t.Fatalf("plan costs %v (met: %t), the cheapest mix %v", p.Cost, p.Met, cheapest)
		}
	})
}

func TestBackoff(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBackoff()
	offers := []Offer{offer("a", 1), offer("b", 2)}
	kind := InstanceKind{"a", "small", true}
	b.Refused(0, kind)
	g.Expect(b.Available(0, offers, nil)).To(gomega.HaveLen(1))
	kept := b.Available(0, offers, map[InstanceKind]int{kind: 3})
	g.Expect(kept[0].Limit).To(gomega.Equal(3))
	g.Expect(b.Available(firstBackoff, offers, nil)).To(gomega.HaveLen(2))
	b.Refused(firstBackoff, kind)
	g.Expect(b.Available(2*firstBackoff, offers, nil)).To(gomega.HaveLen(1))
	for range 20 {
		b.Refused(time.Hour, kind)
	}
	g.Expect(b.Available(time.Hour+maxBackoff, offers, nil)).To(gomega.HaveLen(2))
	b.Refused(0, kind)
	b.Started(kind)
	g.Expect(b.Available(0, offers, nil)).To(gomega.HaveLen(2))
}
