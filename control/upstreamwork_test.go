package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// TestWorkOfOthersIsTheSumOfTheirReports compares the replies to random reports
// with a plain sum, for few upstreams and for more than fit into one reply.
func TestWorkOfOthersIsTheSumOfTheirReports(t *testing.T) {
	for _, upstreams := range []int{3, maxUpstreamsPerReply, 3*maxUpstreamsPerReply + 5} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(7, uint64(upstreams)))
			w := newUpstreamWork()
			newest := map[entryKey]map[string]fleet.Work{}
			reportedAt := map[entryKey]clock.Instant{}
			now := clock.Instant(0)
			for range 60 {
				now += time.Duration(random.IntN(600)) * time.Millisecond
				from := entryKey{fmt.Sprint("e", random.IntN(5)), 1}
				busy := map[string]fleet.Work{}
				for range random.IntN(2 * upstreams) {
					busy[fmt.Sprintf("u%04d", random.IntN(upstreams))] = fleet.Work{Running: 1 + random.IntN(5), MemoryTokens: random.IntN(1000)}
				}
				newest[from], reportedAt[from] = busy, now
				w.applyReport(now, from, busy)
				want := map[string]fleet.Work{}
				entries := 0
				for other, held := range newest {
					if now-reportedAt[other] > reportMaxAge {
						continue
					}
					entries++
					if other == from {
						continue
					}
					for id, b := range held {
						sum := want[id]
						sum.Running += b.Running
						sum.MemoryTokens += b.MemoryTokens
						want[id] = sum
					}
				}
				got := map[string]fleet.Work{}
				for range 2*upstreams/maxUpstreamsPerReply + 2 {
					o := w.others(from)
					g.Expect(len(o.ByUpstream)).To(gomega.BeNumerically("<=", maxUpstreamsPerReply))
					for id := range got {
						if o.Covers(id) {
							delete(got, id)
						}
					}
					for id, b := range o.ByUpstream {
						g.Expect(o.Covers(id)).To(gomega.BeTrue())
						got[id] = b
					}
				}
				g.Expect(got).To(gomega.Equal(want))
				g.Expect(w.entryCount()).To(gomega.Equal(entries))
			}
		})
	}
}

// TestAccountReplyStaysWithinItsByteLimit guards the control traffic of 27 KB/s
// at three replies a second, for 2,400 upstreams that other entries use.
func TestAccountReplyStaysWithinItsByteLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newUpstreamWork()
	busy := map[string]fleet.Work{}
	for i := range 2400 {
		busy[fmt.Sprintf("i-%010x", i*7919)] = fleet.Work{Running: 12, BacklogTokens: 9000, MemoryTokens: 70_000}
	}
	w.applyReport(0, entryKey{"other", 1}, busy)
	w.applyReport(0, entryKey{"own", 1}, nil)
	reply := AccountReply{Others: w.others(entryKey{"own", 1})}
	g.Expect(len(wire.MustEncode(&reply))).To(gomega.BeNumerically("<", 9<<10))
}

func BenchmarkAccountOf300Entries(b *testing.B) {
	w := newUpstreamWork()
	random := rand.New(rand.NewPCG(1, 1))
	reports := make([]map[string]fleet.Work, 300)
	for i := range reports {
		reports[i] = map[string]fleet.Work{}
		for range 60 {
			reports[i][fmt.Sprintf("i-%010x", random.IntN(3000)*7919)] = fleet.Work{Running: 1 + random.IntN(3), MemoryTokens: 5000}
		}
		w.applyReport(0, entryKey{fmt.Sprint(i), 1}, reports[i])
	}
	for i := 0; b.Loop(); i++ {
		from := entryKey{fmt.Sprint(i % 300), 1}
		w.applyReport(0, from, reports[(i+i/300)%300])
		_ = wire.MustEncode(&AccountReply{Others: w.others(from)})
	}
}
