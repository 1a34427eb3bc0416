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

func report(entry string, items ...Item) Report {
	return Report{Entry: entry, Service: "s", Items: items}
}

func item(rank int, caller string, rate float64) Item { return Item{Key{rank, caller}, rate} }

func TestAllocate(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		want    map[string]float64
	}{
		{"less than there is", []Report{report("e", item(0, "a", 10), item(1, "b", 20))}, map[string]float64{"e 0 a": 10, "e 1 b": 20}},
		{"flood of the least urgent", []Report{report("e", item(0, "a", 30), item(2, "b", 1000))}, map[string]float64{"e 0 a": 30, "e 2 b": 70}},
		{"flood of the most urgent", []Report{report("e", item(0, "a", 1000), item(1, "b", 50), item(2, "b", 5))}, map[string]float64{"e 0 a": 75, "e 1 b": 20, "e 2 b": 5}},
		{"a large caller", []Report{report("e", item(0, "a", 1000), item(0, "b", 20), item(0, "c", 500))}, map[string]float64{"e 0 a": 40, "e 0 b": 20, "e 0 c": 40}},
		{"weights", []Report{report("e", item(0, "a", 1000), item(0, "heavy", 1000))}, map[string]float64{"e 0 a": 25, "e 0 heavy": 75}},
		{"split by entry", []Report{report("e", item(0, "a", 300)), report("f", item(0, "a", 100), item(0, "b", 10))}, map[string]float64{"e 0 a": 67.5, "f 0 a": 22.5, "f 0 b": 10}},
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

// TestAllocationsAreFair checks what must hold of every split.
func TestAllocationsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 100.0
		var reports []Report
		demand := map[Key]float64{}
		total := 0.0
		for e := range rapid.IntRange(1, 5).Draw(t, "entries") {
			r := report(fmt.Sprint(e))
			for rank := range 3 {
				for _, caller := range []string{"a", "b", "heavy"} {
					if d := float64(rapid.IntRange(0, 80).Draw(t, "demand")); d > 0 {
						r.Items = append(r.Items, item(rank, caller, d))
						demand[Key{rank, caller}] += d
						total += d
					}
				}
			}
			reports = append(reports, r)
		}
		d := document()
		granted, shares, sum := map[Key]float64{}, 0.0, 0.0
		for _, a := range Allocate(d, rate, reports) {
			shares += a.Share
			for key, g := range a.Rates {
				granted[key] += g
				sum += g
			}
		}
		const tiny = 1e-6
		if math.Abs(shares-1) > tiny || math.Abs(sum-min(total, rate)) > tiny {
			t.Fatalf("shares add up to %v, work to %v of %v", shares, sum, min(total, rate))
		}
		for key, asked := range demand {
			if granted[key] > asked+tiny {
				t.Fatalf("%v got %v and asked for %v", key, granted[key], asked)
			}
			for other := range demand {
				if other.Rank == key.Rank && granted[key] < asked-tiny && granted[other]/d.Weight(other.Caller) > granted[key]/d.Weight(key.Caller)+tiny {
					t.Fatalf("%v is short at %v while %v got %v", key, granted[key], other, granted[other])
				}
			}
		}
	})
}
