package fairness

import (
	"cmp"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// TestRanksAreNoSizes guards against memory that grows with the value of a rank, or with the
// number of different ones.
func TestRanksAreNoSizes(t *testing.T) {
	many := make([]int, 20_000)
	for i := range many {
		many[i] = i * 3
	}
	for name, ranks := range map[string][]int{"large": {1 << 24}, "largest": {math.MaxInt, 0}, "negative": {math.MinInt, -5, 0}, "many": many} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var pace Pace
			var returns Returns
			var order Order
			now := clock.Instant(0)
			pace.SetWaiting(now, true)
			before := heapBytes()
			for _, rank := range ranks {
				now += 10 * time.Microsecond
				pace.Start(now, rank)
				order.Enter(Key{Rank: rank, Organisation: "mill"}, 1)
				at := returns.Place(now, rank, 100, time.Millisecond, time.Second, 0)
				g.Expect(at).To(gomega.And(gomega.BeNumerically(">=", time.Millisecond), gomega.BeNumerically("<=", maxWait)))
			}
			g.Expect(heapBytes()).To(gomega.BeNumerically("<", before+1<<20), "one megabyte")
			counted := pace.Rates(now, 0, 0).Total * (now.Seconds() + priorSeconds)
			g.Expect(counted).To(gomega.BeNumerically("~", len(ranks), 0.2*float64(len(ranks))), "all starts count")
			runtime.KeepAlive(&returns)
			runtime.KeepAlive(&order)
		})
	}
}

// heapBytes is the memory in use after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestSpreadRanksKeepTheirPlaces compares ranks that are far apart with neighbouring ones in the
// same order: places and rates are the same.
func TestSpreadRanksKeepTheirPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	spread := []int{math.MinInt, -7, 0, 1, 1000, math.MaxInt32, math.MaxInt}
	random := rand.New(rand.NewPCG(20261207, 1))
	var near, far Returns
	var nearPace, farPace Pace
	now := clock.Instant(0)
	for range 5000 {
		now += time.Duration(random.IntN(20)) * time.Millisecond
		waits := random.IntN(10) > 0
		nearPace.SetWaiting(now, waits)
		farPace.SetWaiting(now, waits)
		i, longest, point := random.IntN(len(spread)), time.Duration(random.IntN(6000))*time.Millisecond, random.Float64()
		g.Expect(far.Place(now, spread[i], 40, longest/2, longest, point)).To(gomega.Equal(near.Place(now, i, 40, longest/2, longest, point)))
		nearPace.Start(now, i)
		farPace.Start(now, spread[i])
		g.Expect(farPace.Rates(now, spread[i], 10)).To(gomega.Equal(nearPace.Rates(now, i, 10)))
	}
}

// TestOverflowingRanksKeepTheirOrder has more ranks than are told apart: a more urgent caller
// never gets a later place than a less urgent one that comes after it, and a waiting request
// isn't overtaken within its rank.
func TestOverflowingRanksKeepTheirOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var returns Returns
	var order Order
	lastTags := map[int]float64{}
	for i := range 4 * maxRanks {
		rank := (i * 37) % (2 * maxRanks)
		tag := order.Enter(Key{Rank: rank}, 1)
		if last, ok := lastTags[rank]; ok {
			g.Expect(tag).To(gomega.BeNumerically(">", last))
		}
		lastTags[rank] = tag
		returns.Place(0, rank, 1e4, 0, time.Hour, 0)
	}
	g.Expect(returns.steps).To(gomega.HaveLen(maxRanks))
	first := returns.Place(0, 3*maxRanks, 1e4, 0, time.Hour, 0)
	g.Expect(returns.Place(0, 5*maxRanks, 1e4, 0, time.Hour, 0)).To(gomega.BeNumerically(">", first), "the least urgent ones are spaced too")
	g.Expect(slices.IsSortedFunc(returns.steps, func(a, b returnStep) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.free, b.free)) })).To(gomega.BeTrue())
	for i := 1; i < len(returns.steps); i++ {
		g.Expect(returns.steps[i].free).To(gomega.BeNumerically(">=", returns.steps[i-1].free))
	}
}
