package fairness

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/share"
)

func init() { _ = flag.Set("rapid.seed", "20261206") }

// fairRate finds the max-min fair rate per unit of weight by bisection.
func fairRate(capacity float64, claims []share.Claim) float64 {
	low, high := 0.0, 1e9
	for range 200 {
		middle, used := (low+high)/2, 0.0
		for _, c := range claims {
			used += min(c.Demand, middle*c.Weight)
		}
		if used > capacity {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// TestSharesAreMaxMinAndWorkConserving compares the board's shares with an oracle, rank after
// rank. It guards against shares that leave capacity unused, against one organisation that
// gets more than another that is refused, and against an urgent rank that waits for a less
// urgent one.
func TestSharesAreMaxMinAndWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard()
		weights := map[string]float64{}
		b.Weight = func(organisation string) float64 { return weights[organisation] }
		capacity := rapid.Float64Range(10, 1000).Draw(t, "capacity")
		demands := map[Key]float64{}
		for i := range rapid.IntRange(2, 16).Draw(t, "organisations") {
			name := fmt.Sprint(i)
			weights[name] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			demands[Key{rapid.IntRange(0, 2).Draw(t, "rank"), name}] = rapid.Float64Range(0.02, 2).Draw(t, "demand") * capacity
		}
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		var reply *Reply
		for now := clock.Instant(0); now < 20*time.Second; now += 300 * time.Millisecond {
			for i := range entries {
				r := Report{Carried: capacity / float64(entries), Answers: capacity / float64(entries)}
				for key, d := range demands {
					r.Demands = append(r.Demands, Demand{key, d / float64(entries)})
				}
				b.Observe(now, Entry{Name: fmt.Sprint(i)}, "s", int(capacity), r)
			}
			reply = b.Reply(now)
		}
		above := map[Key]float64{}
		for _, e := range reply.Services["s"].Excesses {
			above[e.Key] = e.Fraction
		}
		remaining, total := capacity*maxGain, 0.0
		for _, d := range demands {
			total += d
		}
		if total <= remaining {
			if len(above) > 0 {
				t.Fatalf("organisations are above their share though all fit: %v", above)
			}
			return
		}
		for rank := range 3 {
			var claims []share.Claim
			for key, d := range demands {
				if key.Rank == rank {
					claims = append(claims, share.Claim{Name: key.Organisation, Demand: d, Weight: weights[key.Organisation]})
				}
			}
			fair := fairRate(remaining, claims)
			for _, c := range claims {
				want := min(c.Demand, fair*c.Weight)
				got := c.Demand
				if fraction, ok := above[Key{rank, c.Name}]; ok {
					got *= fraction
				}
				// Up to the tolerance an organisation isn't put above its share.
				if got < 0.99*want-1e-6*capacity || got > enterTolerance*want*1.01+1e-6*capacity {
					t.Fatalf("rank %d, organisation %s: %v of %v, want %v", rank, c.Name, got, c.Demand, want)
				}
			}
			for _, c := range claims {
				remaining -= min(c.Demand, fair*c.Weight)
			}
			remaining = max(remaining, 0)
		}
	})
}

// TestSlowAnswersAreNoExcess reports late answers at a demand that is carried. It guards
// against shares at a service that is slow but not saturated.
func TestSlowAnswersAreNoExcess(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	for now := clock.Instant(0); now < 10*time.Second; now += 300 * time.Millisecond {
		b.Observe(now, Entry{Name: "e"}, "s", 0, Report{Carried: 100, Answers: 100, Late: 50, Demands: []Demand{{Key{0, "a"}, 80}, {Key{0, "b"}, 20}}})
		if reply := b.Reply(now); reply != nil {
			g.Expect(reply.Services).To(gomega.BeEmpty())
		}
	}
}

// TestIdleEnginesAreSpareCapacity reports waiting and late requests while an engine has nothing to
// do. It guards against organisations that are refused since requests are late by their own size.
func TestIdleEnginesAreSpareCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	saturated := func(room bool) bool {
		b := NewBoard()
		found := false
		for now := clock.Instant(0); now < 10*time.Second; now += 300 * time.Millisecond {
			b.Observe(now, Entry{Name: "e"}, "s", 20, Report{Carried: 100, Answers: 100, Late: 50, Room: room, Demands: []Demand{{Key{0, "a"}, 200}, {Key{0, "b"}, 20}}})
			if reply := b.Reply(now); reply != nil {
				found = found || len(reply.Services["s"].Excesses) > 0
			}
		}
		return found
	}
	g.Expect(saturated(true)).To(gomega.BeFalse())
	g.Expect(saturated(false)).To(gomega.BeTrue())
}

// TestShortBurstsHaveNoShares reports waiting requests and much demand in a single report. It
// guards against refusals of what only has to wait for a moment.
func TestShortBurstsHaveNoShares(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	for i := range 20 {
		r, waiting := Report{Carried: 100, Answers: 100, Demands: []Demand{{Key{0, "a"}, 70}, {Key{0, "b"}, 20}}}, 0
		if i == 10 {
			r.Demands[0].Rate, waiting = 300, 50
		}
		now := clock.Instant(i) * 300 * time.Millisecond
		b.Observe(now, Entry{Name: "e"}, "s", waiting, r)
		if reply := b.Reply(now); reply != nil {
			g.Expect(reply.Services["s"].Excesses).To(gomega.BeEmpty())
		}
	}
}

// TestTurns guards against an organisation with a long queue that delays another, against
// credit for idle time, and against one that pays for requests that were never served.
func TestTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	var o Order
	a, b := Key{0, "a"}, Key{0, "b"}
	for range 10 {
		o.Enter(a, 5)
	}
	g.Expect(o.Enter(b, 5)).To(gomega.BeZero(), "a newcomer doesn't wait for the backlog of another")
	o.Started(a, 30)
	g.Expect(o.Enter(Key{0, "c"}, 1)).To(gomega.Equal(30.0), "a newcomer starts at the present")
	g.Expect(o.Enter(Key{1, "c"}, 1)).To(gomega.BeZero(), "each rank has turns of its own")
	o.Left(a, 5)
	g.Expect(o.Enter(a, 5)).To(gomega.Equal(45.0))
	for i := range 10 * maxIdleTags {
		tag := o.Enter(Key{2, fmt.Sprint(i)}, 1)
		o.Started(Key{2, fmt.Sprint(i)}, tag+float64(i))
	}
	g.Expect(len(o.ranks[2].finishTags)).To(gomega.BeNumerically("<=", maxIdleTags+1), "idle organisations are forgotten")
}

// TestGateAdmitsTheFraction guards against an organisation that gets more or less than its
// share, whatever the sizes of its requests, and against shares that never end.
func TestGateAdmitsTheFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var gate Gate
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		gate.Set(0, []Excess{{Key{0, "hot"}, fraction}})
		asked, admitted := 0.0, 0.0
		for range 300 {
			work := rapid.Float64Range(0.1, 10).Draw(t, "work")
			asked += work
			if _, ok := gate.Admit(time.Second, Key{0, "hot"}, work); ok {
				admitted += work
			}
			if _, ok := gate.Admit(time.Second, Key{0, "other"}, work); !ok {
				t.Fatal("another organisation was refused")
			}
		}
		if math.Abs(admitted-fraction*asked) > 10 {
			t.Fatalf("admitted %v of %v, want the fraction %v", admitted, asked, fraction)
		}
		if _, ok := gate.Admit(ShareAge+1, Key{0, "hot"}, 1e6); !ok {
			t.Fatal("refused by an outdated share")
		}
	})
}

// TestSpareCapacityIsUsed guards against free slots that many entries share and none uses.
func TestSpareCapacityIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	var gate Gate
	gate.Set(0, []Excess{{Key{0, "hot"}, 0}})
	admitted := 0
	for range 100 {
		gate.SetSpare(0.25)
		for range 10 {
			if _, ok := gate.Admit(0, Key{0, "hot"}, 1); ok {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(gomega.Equal(25))
}

// TestPaceMeasuresWhileRequestsWait guards against an estimate from the rate of the callers:
// a service that had few of them would refuse the first burst.
func TestPaceMeasuresWhileRequestsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	var p Pace
	now := clock.Instant(0)
	for range 20 {
		now += 500 * time.Millisecond
		p.Start(now, 0)
	}
	g.Expect(p.Rates(now, 0, 100).Total).To(gomega.BeNumerically("~", 100, 1), "nothing has waited")
	p.SetWaiting(now, true)
	for i := range 200 {
		now += 10 * time.Millisecond
		p.Start(now, 5*(i%2))
	}
	r := p.Rates(now, 5, 10)
	g.Expect(r.Total).To(gomega.BeNumerically("~", 85, 10))
	g.Expect(r.Before).To(gomega.BeNumerically("~", 42, 6), "more urgent ranks go first")
	g.Expect(r.Wait(0, 10)).To(gomega.BeNumerically(">", p.Rates(now, 0, 10).Wait(0, 10)))
}

// TestReturnsAreSpaced guards against callers who all come back at once, against urgent ones
// that come after others, and against places beyond the time that callers wait.
func TestReturnsAreSpaced(t *testing.T) {
	g := gomega.NewWithT(t)
	var r Returns
	rate := 10.0
	last := time.Duration(0)
	for range 5 {
		at := r.Place(0, 3, rate, 100*time.Millisecond, 3*time.Second, 0)
		g.Expect(at).To(gomega.BeNumerically(">=", max(last, 100*time.Millisecond)))
		last = at + time.Duration(0.9*float64(time.Second)/(returnPart*rate))
	}
	g.Expect(r.Place(0, 0, rate, 100*time.Millisecond, 3*time.Second, 0)).To(gomega.Equal(100*time.Millisecond), "urgent ones don't wait for others")
	for range 100 {
		at := r.Place(0, 0, rate, 0, 3*time.Second, 0.99)
		g.Expect(at).To(gomega.BeNumerically("<=", 3*time.Second+time.Duration(float64(time.Second)/(returnPart*rate))))
	}
	// Callers who would wait for minutes take no place that outlives the overload.
	var long Returns
	for range 1000 {
		long.Place(0, 0, 10, 0, 5*time.Minute, 0)
	}
	g.Expect(long.Place(6*time.Second, 0, 10, 0, time.Second, 0)).To(gomega.BeNumerically("<=", time.Second))
}

// BenchmarkBoard measures one report and its reply at 65 entries, 16 organisations and 2
// services.
func BenchmarkBoard(b *testing.B) {
	board := NewBoard()
	r := Report{Carried: 10, Answers: 10, Late: 1}
	for i := range 16 {
		r.Demands = append(r.Demands, Demand{Key{i % 3, fmt.Sprint("organisation-", i)}, float64(1 + i)})
	}
	now := clock.Instant(0)
	for i := 0; b.Loop(); i++ {
		now += 300 * time.Millisecond / 65
		for _, service := range []string{"s", "t"} {
			board.Observe(now, Entry{Name: fmt.Sprint("entry-", i%65)}, service, 3, r)
		}
		board.Reply(now)
	}
}

// TestNewLeaderCollectsReportsFirst guards against a decision from the report of one entry,
// at which only one of several organisations asks.
func TestNewLeaderCollectsReportsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBoard()
	b.Observe(0, Entry{Name: "e"}, "s", 100, Report{Carried: 10, Answers: 10, Demands: []Demand{{Key{0, "hot"}, 100}}})
	g.Expect(b.Reply(0)).To(gomega.BeNil())
	g.Expect(b.Reply(learnTime - 1)).To(gomega.BeNil())
	g.Expect(b.Reply(learnTime)).NotTo(gomega.BeNil())
}
