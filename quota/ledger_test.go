package quota

import (
	"flag"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// Figures of a published deployment: in any window, the admitted cost may be the
// rate over the window plus a burst of one second, a tenth more, and the slack.
const (
	limit  = 100_000.0
	window = 8 * time.Second
	excess = 0.1
	slack  = 140_000.0
)

func allowedSum() float64 { return (limit*window.Seconds()+limit)*(1+excess) + slack }

// entry is one entry with its bucket of the only organisation, "mill".
type entry struct {
	incarnation uint64
	bucket      *LeasedBucket
}

// fleet simulates a leader and its entries.
type fleet struct {
	now      clock.Instant
	ledger   *Ledger
	entries  []*entry
	admitted []admission
}

// admission is a request that was admitted, and not refunded.
type admission struct {
	at   clock.Instant
	cost float64
}

func newFleet(entries int) *fleet {
	f := &fleet{now: time.Minute, ledger: NewLedger(0, slack)}
	for range entries {
		f.entries = append(f.entries, &entry{bucket: NewLeasedBucket(f.now)})
	}
	return f
}

// report sends an entry's report to the leader; the answer is lost unless
// answered is set.
func (f *fleet) report(i int, answered bool) {
	e := f.entries[i]
	rates := f.ledger.Grant(f.now, string(rune('a'+i)), e.incarnation, map[string]Demand{"mill": e.bucket.Report(f.now)}, map[string]float64{"mill": limit})
	if answered {
		e.bucket.Renew(f.now, f.now, rates["mill"])
	}
}

// send sends a request through an entry, which uses the pool only if it reaches
// the leader, and reports whether it was admitted.
func (f *fleet) send(i int, cost float64, leaderReachable bool) bool {
	b := f.entries[i].bucket
	missing := b.Acquire(f.now, cost)
	ok := missing <= 0
	if !ok && leaderReachable {
		ok = f.ledger.Reserve(f.now, "mill", limit, missing).OK
	}
	if !ok {
		b.Release(f.now, cost-missing)
	}
	if ok {
		f.admitted = append(f.admitted, admission{f.now, cost})
	}
	return ok
}

// sendRefunded sends a request that is refunded after the wait, if it was
// admitted.
func (f *fleet) sendRefunded(i int, cost float64, wait time.Duration, leaderReachable bool) {
	if f.send(i, cost, leaderReachable) {
		f.admitted = f.admitted[:len(f.admitted)-1]
		f.entries[i].bucket.Refund(f.now+wait, f.now, cost)
	}
}

// maxWindowSum is the largest sum of admitted cost in any window.
func (f *fleet) maxWindowSum() float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, a := range f.admitted {
		sum += a.cost
		for a.at-f.admitted[first].at > window {
			sum -= f.admitted[first].cost
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

// TestSumStaysWithinTheQuota overloads entries at random while answers get lost,
// entries are cut off and restarted, and leaders are replaced.
func TestSumStaysWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "entries"))
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				f.entries[i] = &entry{incarnation: f.entries[i].incarnation + 1, bucket: NewLeasedBucket(f.now)}
			case 1:
				// There is no leader for a second, longer than an election
				// takes.
				f.now += time.Second
				f.ledger = NewLedger(f.now, slack)
			case 2, 3, 4, 5, 6, 7, 8, 9, 10:
				f.report(i, rapid.IntRange(0, 3).Draw(t, "arrives") > 0)
			default:
				leaderReachable := rapid.IntRange(0, 3).Draw(t, "reaches") > 0
				if refuses := rapid.IntRange(0, 5).Draw(t, "refuses") == 0; refuses {
					// Admitted, then refused as no upstream was available.
					f.sendRefunded(i, rapid.Float64Range(100, 60_000).Draw(t, "cost"), time.Duration(rapid.IntRange(0, 400).Draw(t, "wait"))*time.Millisecond, leaderReachable)
					continue
				}
				for again := true; again; {
					again = f.send(i, rapid.Float64Range(100, 60_000).Draw(t, "cost"), leaderReachable) && rapid.IntRange(0, 5).Draw(t, "more") > 0
				}
			}
		}
		if f.maxWindowSum() > allowedSum() {
			t.Fatalf("%.0f units admitted in a window, more than the allowed %.0f", f.maxWindowSum(), allowedSum())
		}
	})
}

// TestOneBusyEntryGetsMostOfTheQuota overloads one entry of eight: it gets most
// of the quota, though an even split would give it an eighth.
func TestOneBusyEntryGetsMostOfTheQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(8)
	served := 0.0
	start := f.now
	for f.now-start < 20*time.Second {
		f.now += 10 * time.Millisecond
		if (f.now-start)%(300*time.Millisecond) < 10*time.Millisecond {
			for i := range f.entries {
				f.report(i, true)
			}
		}
		if f.send(0, 1500, true) && f.now-start > 5*time.Second {
			served += 1500
		}
	}
	g.Expect(served / 15).To(gomega.BeNumerically(">", 0.85*limit))
}

// TestLargeRequestsAreAdmitted sends requests of which each costs several seconds
// of one entry's rate, at three fifths of the quota: all are admitted. Without
// the pool nearly all were refused.
func TestLargeRequestsAreAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(8)
	sent, admitted := 0, 0
	start := f.now
	for i := 0; f.now-start < 30*time.Second; i++ {
		f.now += 200 * time.Millisecond
		for e := range f.entries {
			f.report(e, true)
		}
		if f.now-start < 5*time.Second {
			continue
		}
		sent++
		if f.send(i%8, 12_000, true) {
			admitted++
		}
	}
	g.Expect(admitted).To(gomega.Equal(sent))
}

// TestUnevenDemandNearTheQuota sends requests of very different sizes through
// random entries, near the quota: compared with a single bucket of the whole quota
// for all entries, less than 1% of the requests are refused in addition.
func TestUnevenDemandNearTheQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(5, 5))
	f := newFleet(6)
	single := bucket{lastRefill: f.now, rate: limit, capacity: limit, tokens: limit}
	sent, refused, refusedBySingle := 0, 0, 0
	start := f.now
	nextReport := make([]clock.Instant, len(f.entries))
	for f.now-start < 120*time.Second {
		// Most requests are small, but the large ones make up most of the cost.
		// The mean is 4,400 units, and the demand 0.92 of the quota.
		cost := 400 + 800*random.Float64()
		if random.IntN(4) == 0 {
			cost = 4_000 + 20_000*random.Float64()
		}
		f.now += time.Duration(random.ExpFloat64() * 4_400 / (0.92 * limit) * float64(time.Second))
		for e := range f.entries {
			if f.now >= nextReport[e] {
				f.report(e, true)
				nextReport[e] = f.now + 300*time.Millisecond
			}
		}
		if f.now-start < 10*time.Second {
			continue
		}
		sent++
		single.refill(f.now, limit, limit)
		if ok, _ := single.spend(cost); !ok {
			refusedBySingle++
		}
		if !f.send(random.IntN(len(f.entries)), cost, true) {
			refused++
		}
	}
	t.Logf("%d sent, %d refused, %d refused by a single bucket", sent, refused, refusedBySingle)
	g.Expect(float64(refused-refusedBySingle) / float64(sent)).To(gomega.BeNumerically("<", 0.01))
	g.Expect(f.maxWindowSum()).To(gomega.BeNumerically("<", allowedSum()))
}

// TestRefundsRestoreTheQuota refunds every second request after it was admitted,
// as when no upstream is available: these don't use up the quota of the others.
func TestRefundsRestoreTheQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4)
	f.ledger = NewLedger(0, 0)
	start := f.now
	sent, served := 0, 0
	for i := 0; f.now-start < 60*time.Second; i++ {
		// The demand is 1.8 times the quota; half of it is refunded.
		f.now += time.Second * 4_000 / 180_000
		if i%13 == 0 {
			for e := range f.entries {
				f.report(e, true)
			}
		}
		if i%2 == 0 {
			f.sendRefunded(i/2%4, 4_000, 50*time.Millisecond, true)
			continue
		}
		if f.now-start > 10*time.Second {
			sent++
			if f.send(i/2%4, 4_000, true) {
				served++
			}
		}
	}
	g.Expect(float64(served) / float64(sent)).To(gomega.BeNumerically(">", 0.95))
	g.Expect(f.maxWindowSum()).To(gomega.BeNumerically("<", allowedSum()))
}

// TestSumsMatchTheLeases grants, renews and ends leases at random, for entries
// that restart and organisations that come and go, and compares the sums that
// the ledger keeps with those over all leases.
func TestSumsMatchTheLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Minute)
		l := NewLedger(0, slack)
		organisations := []string{"mill", "press", "farm"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			demands, limits := map[string]Demand{}, map[string]float64{}
			for _, name := range organisations {
				if rapid.Bool().Draw(t, "asks") {
					demands[name] = Demand{Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), LeasedRate: rapid.Float64Range(0, 1e5).Draw(t, "leased")}
				}
				if rapid.IntRange(0, 9).Draw(t, "limited") > 0 {
					limits[name] = limit
				}
			}
			entry := rapid.IntRange(0, 5).Draw(t, "entry")
			l.Grant(now, string(rune('a'+entry)), rapid.Uint64Range(1, 2).Draw(t, "incarnation"), demands, limits)
			for _, name := range organisations {
				var demand, rates float64
				for _, lease := range l.leases {
					if lease.end < now {
						t.Fatalf("the lease of %v ended at %v, now is %v", lease.key, lease.end, now)
					}
					if part, ok := lease.parts[name]; ok {
						demand += part.demand
						rates += max(part.grantedRate, part.reportedRate)
					}
				}
				sum := l.sum(name)
				if math.Abs(sum.demand-demand) > 1e-3 || math.Abs(sum.usableRates-rates) > 1e-3 {
					t.Fatalf("%s: sums %+v, the leases' are %f and %f", name, *sum, demand, rates)
				}
			}
			if l.byEnd.Len() != len(l.leases) {
				t.Fatalf("%d leases by end, %d in all", l.byEnd.Len(), len(l.leases))
			}
		}
	})
}

// BenchmarkGrant measures one grant with 40 organisations, by the number of
// entries: it must not grow with them.
func BenchmarkGrant(b *testing.B) {
	limits := map[string]float64{}
	for i := range 40 {
		limits["organisation-"+strconv.Itoa(i)] = limit
	}
	for _, entries := range []int{8, 32, 85, 294, 689} {
		b.Run(strconv.Itoa(entries), func(b *testing.B) {
			l := NewLedger(0, slack)
			demands := make([]map[string]Demand, entries)
			for e := range demands {
				demands[e] = map[string]Demand{}
				for i := range 6 {
					demands[e]["organisation-"+strconv.Itoa((e+i*7)%40)] = Demand{Rate: 1000, LeasedRate: 100}
				}
			}
			now := clock.Instant(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 300 * time.Millisecond / time.Duration(entries)
				l.Grant(now, strconv.Itoa(i%entries), 1, demands[i%entries], limits)
			}
		})
	}
}

// TestWaitsForThePoolAreTimes guards against waits that overflow at the lowest rates: entries refuse
// an answer with a negative one.
func TestWaitsForThePoolAreTimes(t *testing.T) {
	for _, limit := range []float64{1e-6, 1e-300, math.MaxFloat64} {
		g := gomega.NewWithT(t)
		r := NewLedger(0, 140_000).Reserve(0, "mill", limit, 1e12)
		g.Expect(r.OK).To(gomega.BeFalse())
		g.Expect(r.RetryAfter).To(gomega.And(gomega.BeNumerically(">=", 0), gomega.BeNumerically("<=", maxWait)), "%g", limit)
	}
}

// TestOddDemandsCostOnlyTheirOwnPart guards against a report with a number that isn't a rate, after
// which no entry gets its part of the quota any more.
func TestOddDemandsCostOnlyTheirOwnPart(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), -1e18, math.MaxFloat64} {
		g := gomega.NewWithT(t)
		l, limits := NewLedger(0, 0), map[string]float64{"mill": 100}
		now := clock.Instant(0)
		for range 30 {
			now += 300 * time.Millisecond
			l.Grant(now, "odd", 1, map[string]Demand{"mill": {Rate: odd, LeasedRate: odd, Refunded: odd}}, limits)
			l.Grant(now, "sound", 1, map[string]Demand{"mill": {Rate: 30}}, limits)
		}
		// The odd entry ends, and the other one gets all.
		var rates map[string]float64
		for range 30 {
			now += 300 * time.Millisecond
			rates = l.Grant(now, "sound", 1, map[string]Demand{"mill": {Rate: 30, LeasedRate: rates["mill"]}}, limits)
		}
		g.Expect(rates["mill"]).To(gomega.BeNumerically("~", entryFraction*100, 1), "%g", odd)
	}
}

// TestOddNumbersLeaveNoTrace guards against a cost or a quota after which the organisation's
// requests are refused, once the number is gone.
func TestOddNumbersLeaveNoTrace(t *testing.T) {
	const usual = 335_543.0
	for name, odd := range map[string]struct{ limit, cost float64 }{
		"a cost from a header": {usual, 1 << 41}, "a cost from the configuration": {usual, 1 << 63}, "a quota": {math.MaxFloat64, 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := NewLedger(0, 0)
			now := clock.Instant(0)
			rates := map[string]map[string]float64{}
			run := func(limit, cost float64) (admitted int) {
				for range 30 {
					now += 300 * time.Millisecond
					for i, entry := range []string{"a", "b", "c"} {
						grant := l.Grant(now, entry, 1, map[string]Demand{"mill": {Rate: float64(i*i+1) * cost / 0.3, LeasedRate: rates[entry]["mill"]}}, map[string]float64{"mill": limit})
						rates[entry] = grant
						if l.Reserve(now, "mill", limit, cost).OK {
							admitted++
						}
					}
				}
				return admitted
			}
			run(odd.limit, odd.cost)
			g.Expect(run(usual, 200)).To(gomega.Equal(90))
			g.Expect(rates["a"]["mill"] + rates["b"]["mill"] + rates["c"]["mill"]).To(gomega.BeNumerically("~", entryFraction*usual, 0.02*usual))
		})
	}
}
