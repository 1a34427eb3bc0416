package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// perUpstream is the number of requests per second that an emulated upstream serves.
const perUpstream = float64(plainSlots) / (float64(plainTime) / float64(second))

// hotLoads is one organisation at a multiple of the capacity, and five at a fifth of
// their share each.
func hotLoads(upstreams int, multiple float64) []*plainLoad {
	capacity := float64(upstreams) * perUpstream
	loads := []*plainLoad{{organisation: "hot", perSecond: multiple * capacity}}
	for i := range 5 {
		loads = append(loads, &plainLoad{organisation: fmt.Sprint("small-", i), perSecond: capacity / 6 / 5})
	}
	return loads
}

// inTime returns the fraction of the first requests that were answered in time, and their
// number.
func inTime(loads ...*plainLoad) (fraction float64, answered int) {
	arrivals := 0
	for _, l := range loads {
		arrivals += l.arrivals
		answered += l.inTime
	}
	return float64(answered) / float64(max(arrivals, 1)), answered
}

func percentile(times []time.Duration, fraction float64) time.Duration {
	slices.Sort(times)
	return times[int(fraction*float64(len(times)-1))]
}

// hotCase is a number of entries before upstreams, and the demand of one organisation as a multiple
// of the capacity.
type hotCase struct {
	entries, upstreams int
	multiple           float64
}

// play returns the fraction of the small organisations' requests that are answered in time, the
// part of the capacity that is answered in time, and the load of the hot organisation.
func (c hotCase) play(t *testing.T) (small, all float64, hot *plainLoad) {
	loads := hotLoads(c.upstreams, c.multiple)
	e := newPlainEmulation(1, c.entries, c.upstreams, loads...)
	counted := 10 * second
	if c.entries > 8 {
		counted = 3 * second
	}
	e.run(8*second, counted)
	small, _ = inTime(loads[1:]...)
	_, answered := inTime(loads...)
	all, hot = float64(answered)/(float64(c.upstreams)*perUpstream*counted.Seconds()), loads[0]
	t.Logf("%+v: small %.3f, all %.3f of the capacity, hot: %d in time, %d late, refused %v, 0.99 of them within %v", c, small, all, hot.inTime, hot.late, hot.causes, percentile(hot.held, 0.99))
	return small, all, hot
}

// leastCapacity is the part of the capacity that is to be answered in time beside a hot organisation.
const leastCapacity = 0.9

// TestSmallOrganisationsAreServedBesideAHotOne sends 2.5 and 10 times the capacity from one
// organisation. It guards against one organisation that takes the share of the others, and
// against upstreams that are left idle by the shares.
func TestSmallOrganisationsAreServedBesideAHotOne(t *testing.T) {
	for _, multiple := range []float64{2.5, 10} {
		for _, c := range []hotCase{{1, 6, multiple}, {3, 6, multiple}, {8, 6, multiple}, {64, 60, multiple}} {
			g := gomega.NewWithT(t)
			small, all, _ := c.play(t)
			g.Expect(small).To(gomega.BeNumerically(">=", 0.97))
			if c.entries <= 8 || multiple < 10 {
				// TestCapacityBesideAHotOrganisation has the other case.
				g.Expect(all).To(gomega.BeNumerically(">=", leastCapacity))
			}
		}
	}
}

// TestCapacityBesideAHotOrganisation guards against upstreams that idle while 64 entries hold back an
// organisation that asks for ten times the capacity.
func TestCapacityBesideAHotOrganisation(t *testing.T) {
	_, all, _ := hotCase{64, 60, 10}.play(t)
	gomega.NewWithT(t).Expect(all).To(gomega.BeNumerically(">=", leastCapacity))
}

// TestRefusalsBesideAHotOrganisationAreImmediate guards against refusals that come after a wait.
func TestRefusalsBesideAHotOrganisationAreImmediate(t *testing.T) {
	for _, multiple := range []float64{2.5, 10} {
		for _, c := range []hotCase{{1, 6, multiple}, {3, 6, multiple}, {8, 6, multiple}, {64, 60, multiple}} {
			_, _, hot := c.play(t)
			gomega.NewWithT(t).Expect(percentile(hot.held, 0.99)).To(gomega.BeNumerically("<", 50*time.Millisecond))
		}
	}
}

// TestManySmallAgainstOneLarge guards against shares that are too small for organisations
// with few requests each: forty of them ask for 0.8 of the capacity in all.
func TestManySmallAgainstOneLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	const upstreams = 6
	loads := []*plainLoad{{organisation: "large", perSecond: 2 * upstreams * perUpstream}}
	for i := range 40 {
		loads = append(loads, &plainLoad{organisation: fmt.Sprint("small-", i), perSecond: 0.02 * upstreams * perUpstream})
	}
	e := newPlainEmulation(2, 3, upstreams, loads...)
	e.run(6*second, 8*second)
	small, _ := inTime(loads[1:]...)
	t.Logf("small %.3f, large %d in time, refused %v", small, loads[0].inTime, loads[0].causes)
	g.Expect(small).To(gomega.BeNumerically(">=", 0.95))
	g.Expect(loads[0].inTime).To(gomega.BeNumerically(">", 0.05*upstreams*perUpstream*8), "it gets what the others leave")
}

// TestBurstOfTheLeastUrgent sends five times the capacity of the least urgent rank beside
// half of the capacity of the most urgent one. It guards against a request that starts while
// a more urgent one that could still be answered in time waits at the entry.
func TestBurstOfTheLeastUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	const upstreams = 6
	urgent := &plainLoad{organisation: "urgent", perSecond: 0.5 * upstreams * perUpstream}
	burst := &plainLoad{organisation: "burst", rank: 5, perSecond: 5 * upstreams * perUpstream, from: 2 * second, until: 5 * second}
	e := newPlainEmulation(3, 3, upstreams, urgent, burst)
	inversions := 0
	e.onStart = func(entry int, r *plainRequest) {
		s := e.entries[entry].service("s")
		for _, q := range s.queue {
			if q.Rank < r.load.rank && !s.isHopeless(e.now, q) {
				inversions++
			}
		}
	}
	e.run(0, 8*second)
	fraction, _ := inTime(urgent)
	t.Logf("urgent %.3f, burst %d in time, refused %v", fraction, burst.inTime, burst.causes)
	g.Expect(inversions).To(gomega.BeZero())
	g.Expect(fraction).To(gomega.BeNumerically(">=", 0.97))
	g.Expect(burst.inTime).To(gomega.BeNumerically(">", 0.3*upstreams*perUpstream*3), "it gets what the urgent ones leave")
}

// TestRefusedCallersAreServedWhenTheyComeBack sends bursts of three times the capacity that
// end within the time after which callers come back. It guards against callers who come back
// as told only to be refused again.
func TestRefusedCallersAreServedWhenTheyComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	told, served := 0, 0
	for _, entries := range []int{1, 3, 8} {
		for _, duration := range []time.Duration{second / 4, second / 2} {
			const upstreams = 6
			steady := &plainLoad{organisation: "steady", perSecond: 0.4 * upstreams * perUpstream}
			burst := &plainLoad{organisation: "steady", perSecond: 3 * upstreams * perUpstream, from: 4 * second, until: 4*second + duration, returns: true}
			e := newPlainEmulation(4, entries, upstreams, steady, burst)
			e.run(0, 8*second)
			t.Logf("%d entries, burst of %v: %d refused, %d came back as told, %d of them were served in time", entries, duration, burst.refused, burst.told, burst.toldInTime)
			told, served = told+burst.told, served+burst.toldInTime
		}
	}
	g.Expect(told).To(gomega.BeNumerically(">", 150))
	g.Expect(float64(served) / float64(told)).To(gomega.BeNumerically(">=", 0.9))
}

// TestOneOrganisationAloneHasNoShare guards against shares without competition.
func TestOneOrganisationAloneHasNoShare(t *testing.T) {
	g := gomega.NewWithT(t)
	load := &plainLoad{organisation: "only", perSecond: 2.5 * 6 * perUpstream}
	e := newPlainEmulation(9, 3, 6, load)
	e.run(0, 6*second)
	g.Expect(load.causes[RefusedShare]).To(gomega.BeZero())
	g.Expect(load.refused).To(gomega.BeNumerically(">", 0))
}

// TestExpectedWaits compares the waits that are expected of requests in bursts with what
// comes. It guards against refusals of requests that would start in time, and against
// waits in vain: both are errors at the threshold of the target.
func TestExpectedWaits(t *testing.T) {
	for _, entries := range []int{1, 3, 8} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			const upstreams = 6
			const threshold = plainTarget - plainTime
			var loads []*plainLoad
			for from := clock.Instant(0); from < 20*second; from += 2 * second {
				loads = append(loads, &plainLoad{
					organisation: "a", perSecond: 2.2 * upstreams * perUpstream, from: from, until: from + 500*time.Millisecond, target: 30 * second,
				})
			}
			loads = append(loads, &plainLoad{organisation: "a", perSecond: 0.6 * upstreams * perUpstream, target: 30 * second})
			e := newPlainEmulation(10, entries, upstreams, loads...)
			waited, pessimistic, optimistic := 0, 0, 0
			e.onStart = func(_ int, r *plainRequest) {
				if !r.waited {
					return
				}
				waited++
				took := e.now - r.arrivedAt
				switch {
				case r.estimated > threshold && took <= threshold:
					pessimistic++
				case r.estimated <= threshold && took > threshold:
					optimistic++
				}
			}
			e.run(0, 20*second)
			t.Logf("%d waited; would be refused though they start in time: %.3f; wait in vain: %.3f", waited, float64(pessimistic)/float64(waited), float64(optimistic)/float64(waited))
			g.Expect(waited).To(gomega.BeNumerically(">", 100))
			g.Expect(float64(pessimistic) / float64(waited)).To(gomega.BeNumerically("<", 0.1))
			g.Expect(float64(optimistic) / float64(waited)).To(gomega.BeNumerically("<", 0.1))
		})
	}
}
