package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/fairness"
)

// TestLostLeader guards against shares that end at once, or never, when the leader is lost,
// and against a new leader that ends them because it knows nothing yet.
func TestLostLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := hotLoads(6, 2.5)
	e := newPlainEmulation(5, 3, 6, loads...)
	e.runUntil(7 * second)
	f := e.entries[0]
	g.Expect(f.AboveShare(e.now)).To(gomega.Equal(1))
	e.board = fairness.NewBoard()
	e.runUntil(e.now + 700*time.Millisecond)
	g.Expect(f.AboveShare(e.now)).To(gomega.Equal(1), "a new leader has not decided yet")
	e.runUntil(e.now + 2*second)
	g.Expect(f.AboveShare(e.now)).To(gomega.Equal(1), "the new leader has decided")
	e.lost = true
	e.runUntil(e.now + fairness.ShareAge - second)
	g.Expect(f.AboveShare(e.now)).To(gomega.Equal(1), "the last shares hold for a while")
	e.runUntil(e.now + 2*second)
	g.Expect(f.AboveShare(e.now)).To(gomega.BeZero(), "then the queue decides")
	e.run(0, 6*second)
	small, _ := inTime(loads[1:]...)
	t.Logf("without a leader: small %.3f", small)
	g.Expect(small).To(gomega.BeNumerically(">=", 0.8), "turns go on")
}

// TestReportsThatArriveTwiceChangeNothing guards against demand that counts twice.
func TestReportsThatArriveTwiceChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	results := func(doubled bool) (counts []int) {
		loads := hotLoads(6, 2.5)
		e := newPlainEmulation(6, 3, 6, loads...)
		e.doubled = doubled
		e.run(3*second, 3*second)
		for _, l := range loads {
			counts = append(counts, l.inTime, l.late, l.refused)
		}
		return counts
	}
	g.Expect(results(true)).To(gomega.Equal(results(false)))
}

// TestCutOffEntry cuts one of three entries off from the leader. It guards against an entry
// that keeps refusing, or starves small organisations, by what it last heard.
func TestCutOffEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := hotLoads(6, 2.5)
	e := newPlainEmulation(7, 3, 6, loads...)
	e.runUntil(6 * second)
	e.cutOff[0] = true
	e.run(fairness.ShareAge+second, 5*second)
	small, _ := inTime(loads[1:]...)
	_, answered := inTime(loads...)
	all := float64(answered) / (6 * perUpstream * 5)
	t.Logf("small %.3f, all %.3f of the capacity", small, all)
	g.Expect(e.entries[0].AboveShare(e.now)).To(gomega.BeZero())
	g.Expect(small).To(gomega.BeNumerically(">=", 0.85))
	g.Expect(all).To(gomega.BeNumerically(">=", 0.8))
}

// TestUnusedCapacityReturnsWithinASecond ends the load of the other organisations. It
// guards against a share that outlives the competition.
func TestUnusedCapacityReturnsWithinASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := hotLoads(6, 2.5)
	for _, l := range loads[1:] {
		l.perSecond *= 5
		l.until = 6 * second
	}
	e := newPlainEmulation(8, 3, 6, loads...)
	e.runUntil(7 * second)
	g.Expect(e.entries[0].AboveShare(e.now)).To(gomega.BeNumerically(">", 0))
	e.run(second, 3*second)
	all := float64(loads[0].inTime) / (6 * perUpstream * 3)
	t.Logf("%.3f of the capacity, refused %v", all, loads[0].causes)
	g.Expect(all).To(gomega.BeNumerically(">=", 0.9))
}

// TestErrorAnswersAreNotQuickOnes guards against an upstream that fails at once and counts as one
// with a free slot, and against answers of the usual time that no longer count as quick after it.
func TestErrorAnswersAreNotQuickOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("i", 1, 1))
	for id, success := range []bool{true, false} {
		f.Submit(second, newTicket(uint64(id)))
		f.Finish(second+time.Duration(100-99*id)*time.Millisecond, uint64(id), success, true)
	}
	fair := &f.services["s"].fair
	g.Expect([]time.Duration{fair.quickTime, fair.answerTimes.usual, f.upstreams["i"].answeredIn}).To(gomega.HaveEach(100 * time.Millisecond))
}

// TestFirstReportIsNoPeak guards against a report right after the first request of a service, whose
// rates the leader would take for a capacity that the service doesn't have.
func TestFirstReportIsNoPeak(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("i", 1, 1))
	f.Submit(second, newTicket(1))
	f.Finish(second+time.Millisecond, 1, true, true)
	g.Expect(f.Demands(second + 2*time.Millisecond)["s"].Fairness.Carried).To(gomega.BeNumerically("<=", 4))
}

// TestBoundEndsWithTheShares guards against an entry that goes on without regard to the others'
// work at plain upstreams when the leader is lost, or is of a build without shares.
func TestBoundEndsWithTheShares(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("i", 1, 1))
	f.SetEntries(2)
	f.SetShares(second, &fairness.Reply{Services: map[string]fairness.Share{"s": {Excesses: []fairness.Excess{{Key: fairness.Key{Organisation: "large"}}}}}})
	bound := func(now time.Duration) int {
		f.Tick(now)
		f.SetShares(now, nil)
		f.SetOtherWork(now, OtherWork{})
		return f.services["s"].fair.maxRunning
	}
	g.Expect(bound(second + fairness.ShareAge)).To(gomega.BeNumerically(">", 0))
	g.Expect(bound(second + fairness.ShareAge + 1)).To(gomega.BeZero())
}

// TestReportOfAHugeRequestIsValid guards against a caller who names a length that nobody has, and
// by whose request the leader refuses all that the entry reports.
func TestReportOfAHugeRequestIsValid(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(1, 1000, member("i", 1, 1))
	huge := newTicket(1)
	huge.PromptTokens, huge.OutputTokens = 1<<40, 1<<40
	f.Submit(second, huge)
	f.Progress(second, 1)
	f.Submit(second, newTicket(2))
	r := f.Demands(2 * second)["s"].Fairness
	g.Expect(r.Demands).NotTo(gomega.BeEmpty())
	g.Expect(r.Check()).To(gomega.Succeed())
	g.Expect(r.Demands[0].Rate).To(gomega.BeNumerically("<=", 2*outputCost*1000), "no more than engines can hold")
}

// TestFullQueueTakesTheMoreUrgent guards against urgent requests that are refused because less
// urgent ones fill the queue.
func TestFullQueueTakesTheMoreUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("i", 1, 1))
	refused := func(id uint64, rank int) (ids []uint64) {
		for _, a := range f.Submit(second, Ticket{ID: id, Service: "s", Rank: rank, MaxRuns: 1, Target: time.Hour, Deadline: time.Hour}) {
			if r, ok := a.(Refuse); ok {
				ids = append(ids, r.Ticket)
			}
		}
		return ids
	}
	id := uint64(1)
	for ; len(f.services["s"].queue) < maxQueued; id++ {
		g.Expect(refused(id, 1)).To(gomega.BeEmpty())
	}
	g.Expect(refused(id, 1)).To(gomega.Equal([]uint64{id}))
	g.Expect(refused(id+1, 0)).To(gomega.Equal([]uint64{id - 1}))
	g.Expect(f.services["s"].queue).To(gomega.HaveLen(maxQueued))
}
