package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/service"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func threeRanks() []service.Rank {
	return []service.Rank{
		{Name: "urgent", FirstToken: time.Second, Floor: 0.5},
		{Name: "normal", FirstToken: 5 * time.Second, Floor: 0.2},
		{Name: "draft", FirstToken: time.Minute, Floor: 0.1},
	}
}

func request(id uint64, rank int, caller string) Request {
	return Request{ID: id, Rank: rank, Caller: caller, Weight: 1, Cost: 10}
}

var noFreeSlot = Capacity{Rate: 1000}

var oneFreeSlot = Capacity{Free: 1, FreeOverShare: 1, Rate: 1000}

// serve gives n requests a slot and returns their callers in that order; "-"
// means that none was returned.
func serve(s *Scheduler, c Capacity, n int) string {
	out := ""
	for range n {
		r, ok := s.Next(0, c)
		if !ok {
			return out + "-"
		}
		out += r.Caller
	}
	return out
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name    string
		offered []Request
		want    string
	}{
		{"most urgent rank first", []Request{request(1, 2, "d"), request(2, 1, "n"), request(3, 0, "u")}, "und"},
		{"callers of equal weight alternate", []Request{request(1, 0, "a"), request(2, 0, "a"), request(3, 0, "a"), request(4, 0, "b"), request(5, 0, "b")}, "ababa"},
		{"served in proportion to weight", []Request{
			{ID: 1, Caller: "a", Weight: 2, Cost: 10},
			{ID: 2, Caller: "a", Weight: 2, Cost: 10},
			{ID: 3, Caller: "a", Weight: 2, Cost: 10},
			{ID: 4, Caller: "a", Weight: 2, Cost: 10},
			request(5, 0, "b"), request(6, 0, "b"),
		}, "abaaba"},
		{"cost counts, not the number of requests", []Request{
			{ID: 1, Caller: "a", Weight: 1, Cost: 30},
			{ID: 2, Caller: "a", Weight: 1, Cost: 30},
			request(3, 0, "b"), request(4, 0, "b"), request(5, 0, "b"),
		}, "abbba"},
		{"nothing waits", nil, "-"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New(threeRanks())
			for _, r := range c.offered {
				g.Expect(s.Offer(0, r, noFreeSlot).Accepted).To(gomega.BeTrue())
			}
			g.Expect(serve(s, oneFreeSlot, max(len(c.offered), 1))).To(gomega.Equal(c.want))
		})
	}
}

func TestANewcomerGetsNoCreditForIdleTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(threeRanks())
	for id := uint64(1); id <= 20; id++ {
		s.Offer(0, request(id, 0, "a"), noFreeSlot)
	}
	serve(s, oneFreeSlot, 10)
	for id := uint64(21); id <= 30; id++ {
		s.Offer(0, request(id, 0, "b"), noFreeSlot)
	}
	served := serve(s, oneFreeSlot, 10)
	g.Expect(strings.Count(served, "b")).To(gomega.BeNumerically("~", 5, 1), served)
}

// TestServedCostOutlastsAnEmptyQueue has a caller's queue run empty after a
// costly request: its next one still comes after those of a caller that was
// served less.
func TestServedCostOutlastsAnEmptyQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(threeRanks())
	costly := request(1, 0, "a")
	costly.Cost = 100
	s.Offer(0, costly, noFreeSlot)
	serve(s, oneFreeSlot, 1)
	for id := uint64(2); id <= 6; id++ {
		s.Offer(0, request(id, 0, "b"), noFreeSlot)
	}
	s.Offer(0, request(7, 0, "a"), noFreeSlot)
	g.Expect(serve(s, oneFreeSlot, 6)).To(gomega.Equal("bbbbba"))
}

func TestFloorsHoldUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(threeRanks())
	id := uint64(0)
	served := map[string]int{}
	for range 1000 {
		for rank, caller := range []string{"u", "n", "d"} {
			id++
			s.Offer(0, request(id, rank, caller), noFreeSlot)
		}
		if r, ok := s.Next(0, oneFreeSlot); ok {
			served[r.Caller]++
		}
	}
	g.Expect(served["n"]).To(gomega.BeNumerically("~", 200, 10))
	g.Expect(served["d"]).To(gomega.BeNumerically("~", 100, 10))
}

func TestCallersOverShareLeaveReservedSlotsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(threeRanks())
	overShare := request(1, 0, "large")
	overShare.OverShare = true
	s.Offer(0, overShare, noFreeSlot)
	s.Offer(0, request(2, 1, "small"), noFreeSlot)
	reserved := Capacity{Free: 1, FreeOverShare: 0, Rate: 1000}
	g.Expect(serve(s, reserved, 2)).To(gomega.Equal("small-"))
	g.Expect(serve(s, oneFreeSlot, 1)).To(gomega.Equal("large"))
}

func TestRefusesRequestsPredictedToMissTheTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(threeRanks())
	g.Expect(s.Offer(0, request(1, 0, "a"), Capacity{}).Accepted).To(gomega.BeFalse())
	accepted, refused := 0, Decision{}
	for id := uint64(1); id < 1000; id++ {
		d := s.Offer(0, request(id, 0, "a"), noFreeSlot)
		if d.Accepted {
			accepted++
		} else {
			refused = d
		}
	}
	// 0.65 of the target of 1 s, at the 700 tokens per second that the floors of
	// the other ranks leave, is room for 46 requests of 10 tokens.
	g.Expect(accepted).To(gomega.BeNumerically("~", 46, 2))
	g.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 0))
	g.Expect(s.Offer(0, request(1000, 1, "b"), noFreeSlot).Accepted).To(gomega.BeTrue())
}

// TestEachRequestIsReturnedOnce runs random operations and compares the scheduler
// with a plain set of the accepted requests: none gets lost or is returned twice.
func TestEachRequestIsReturnedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(threeRanks())
		waiting := map[uint64]Request{}
		id := uint64(0)
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				id++
				r := request(id, rapid.IntRange(0, 3).Draw(t, "rank"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"))
				r.OverShare = rapid.Bool().Draw(t, "over")
				r.Cost = rapid.Float64Range(1, 100).Draw(t, "cost")
				if s.Offer(now, r, Capacity{Rate: 10000}).Accepted {
					waiting[id] = r
				}
			},
			"next": func(t *rapid.T) {
				c := Capacity{Free: rapid.IntRange(0, 1).Draw(t, "free"), FreeOverShare: rapid.IntRange(-1, 1).Draw(t, "freeOver"), Rate: 10000}
				r, ok := s.Next(now, c)
				if !ok {
					if c.Free > 0 && c.FreeOverShare > 0 && len(waiting) > 0 {
						t.Fatalf("no request for a free slot, while %d wait", len(waiting))
					}
					return
				}
				if _, known := waiting[r.ID]; !known {
					t.Fatalf("request %d was returned twice or never accepted", r.ID)
				}
				if r.OverShare && c.FreeOverShare <= 0 {
					t.Fatalf("request %d over its caller's share got a slot that is kept free of them", r.ID)
				}
				delete(waiting, r.ID)
			},
			"remove": func(t *rapid.T) {
				which := rapid.Uint64Range(0, id).Draw(t, "id")
				r, known := waiting[which]
				if !known {
					r.Caller = "a"
				}
				if s.Remove(r.Caller, which) != known {
					t.Fatalf("Remove of request %d must return %t", which, known)
				}
				delete(waiting, which)
			},
			"ranks": func(t *rapid.T) { s.SetRanks(threeRanks()[:rapid.IntRange(1, 3).Draw(t, "ranks")]) },
			"time":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "millis")) * time.Millisecond },
			"": func(t *rapid.T) {
				if s.Waiting() != len(waiting) {
					t.Fatalf("%d requests wait, want %d", s.Waiting(), len(waiting))
				}
			},
		})
	})
}

func ExampleScheduler() {
	s := New([]service.Rank{{Name: "urgent", FirstToken: time.Second}, {Name: "draft", FirstToken: time.Minute}})
	capacity := Capacity{Free: 1, FreeOverShare: 1, Rate: 1000}
	s.Offer(0, Request{ID: 1, Rank: 1, Caller: "grower", Weight: 1, Cost: 60}, capacity)
	s.Offer(0, Request{ID: 2, Rank: 0, Caller: "sitter", Weight: 1, Cost: 60}, capacity)
	first, _ := s.Next(0, capacity)
	fmt.Println(first.Caller)
	// Output: sitter
}
