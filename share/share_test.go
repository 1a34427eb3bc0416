package share

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/service"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func document() *service.Document {
	return &service.Document{
		Ranks:   []service.Rank{{Name: "urgent", Floor: 0.5}, {Name: "normal", Floor: 0.2}, {Name: "draft", Floor: 0.1}},
		Callers: []service.Caller{{Name: "heavy", Weight: 3}},
	}
}

func report(entry string, demands ...Demand) Report {
	return Report{Entry: entry, Service: "s", Demands: demands}
}

func demand(rank int, caller string, rate float64) Demand { return Demand{Key{rank, caller}, rate} }

func TestAllocate(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		want    map[string]float64
	}{
		{"demand below capacity", []Report{report("e", demand(0, "a", 10), demand(1, "b", 20))}, map[string]float64{"e 0 a": 10, "e 1 b": 20}},
		{"overload in the least urgent rank", []Report{report("e", demand(0, "a", 30), demand(2, "b", 1000))}, map[string]float64{"e 0 a": 30, "e 2 b": 70}},
		{"overload in the most urgent rank", []Report{report("e", demand(0, "a", 1000), demand(1, "b", 50), demand(2, "b", 5))}, map[string]float64{"e 0 a": 75, "e 1 b": 20, "e 2 b": 5}},
		{"callers with high demand share what remains", []Report{report("e", demand(0, "a", 1000), demand(0, "b", 20), demand(0, "c", 500))}, map[string]float64{"e 0 a": 40, "e 0 b": 20, "e 0 c": 40}},
		{"split by weight", []Report{report("e", demand(0, "a", 1000), demand(0, "heavy", 1000))}, map[string]float64{"e 0 a": 25, "e 0 heavy": 75}},
		{"split by demand at each entry", []Report{report("e", demand(0, "a", 300)), report("f", demand(0, "a", 100), demand(0, "b", 10))}, map[string]float64{"e 0 a": 67.5, "f 0 a": 22.5, "f 0 b": 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := map[string]float64{}
			for entry, a := range Allocate(document(), 100, c.reports) {
				for key, rate := range a.Rates {
					got[fmt.Sprintf("%s %d %s", entry, key.Rank, key.Caller)] = math.Round(rate*1000) / 1000
				}
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(c.want))
		})
	}
}

// TestAllocationsAreFair checks random splits: the whole capacity is used as far
// as there is demand, no caller gets more than it asks for, and a caller that
// gets less has at least the rate per weight of any other in its rank.
func TestAllocationsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 100.0
		var reports []Report
		totalDemand := map[Key]float64{}
		sumOfDemands := 0.0
		for e := range rapid.IntRange(1, 5).Draw(t, "entries") {
			r := report(fmt.Sprint(e))
			for rank := range 3 {
				for _, caller := range []string{"a", "b", "heavy"} {
					if d := float64(rapid.IntRange(0, 80).Draw(t, "demand")); d > 0 {
						r.Demands = append(r.Demands, demand(rank, caller, d))
						totalDemand[Key{rank, caller}] += d
						sumOfDemands += d
					}
				}
			}
			reports = append(reports, r)
		}
		d := document()
		callerRates, shares, totalRate := map[Key]float64{}, 0.0, 0.0
		for _, a := range Allocate(d, rate, reports) {
			shares += a.Share
			for key, granted := range a.Rates {
				callerRates[key] += granted
				totalRate += granted
			}
		}
		const tolerance = 1e-6
		if math.Abs(shares-1) > tolerance || math.Abs(totalRate-min(sumOfDemands, rate)) > tolerance {
			t.Fatalf("shares add up to %v, rates to %v instead of %v", shares, totalRate, min(sumOfDemands, rate))
		}
		for key, asked := range totalDemand {
			if callerRates[key] > asked+tolerance {
				t.Fatalf("%v got %v but asked for only %v", key, callerRates[key], asked)
			}
			for other := range totalDemand {
				if other.Rank == key.Rank && callerRates[key] < asked-tolerance && callerRates[other]/d.Weight(other.Caller) > callerRates[key]/d.Weight(key.Caller)+tolerance {
					t.Fatalf("%v got %v, less than its demand, while %v got %v", key, callerRates[key], other, callerRates[other])
				}
			}
		}
	})
}
