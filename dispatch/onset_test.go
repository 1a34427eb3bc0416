package dispatch

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/share"
)

// TestOnsetOfAFloodLeavesShortQueues guards against a request of the highest rank that waits behind
// the drafts of all entries: those that know nothing of each other's demand yet send to the
// same free slots. An upstream may get one request of each entry beyond its slots.
func TestOnsetOfAFloodLeavesShortQueues(t *testing.T) {
	const upstreams, slots, draft, draftsOfEach = 2, 2, 1, 10
	for _, entries := range []int{2, 4, 8} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var reports []share.Report
			for i := range entries {
				reports = append(reports, share.Report{Entry: fmt.Sprint("e", i), Service: "s"})
			}
			sent := 0
			for i := range entries {
				d := newDispatcher("x", "y")
				d.SetDemands(0, fmt.Sprint("e", i), "s", reports)
				for id := range uint64(draftsOfEach) {
					for _, a := range d.Submit(0, Ticket{ID: id + 1, Service: "s", Caller: "c", Rank: draft, Cost: 10, Repeatable: true, Fingerprint: id}) {
						if _, ok := a.(Grant); ok {
							sent++
						}
					}
				}
			}
			g.Expect(sent).To(gomega.BeNumerically("<=", upstreams*(slots+entries)))
		})
	}
}

// TestCallerBackWithinItsShareLeavesShortQueues guards against a backlog that is sent at once:
// what a caller had waiting since it was over its share no longer found an upstream that fitted
// once it wasn't, and went to any without regard to free slots.
func TestCallerBackWithinItsShareLeavesShortQueues(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, draft, waiting = 4, 1, 20
	d := newDispatcher("x", "y")
	report := func(entry string, rate float64) share.Report {
		return share.Report{Entry: entry, Service: "s", Demands: []share.Demand{{Key: share.Key{Rank: draft, Caller: "c"}, Rate: rate}}}
	}
	sent := 0
	submitDrafts := func(first, last uint64) {
		for id := first; id <= last; id++ {
			for _, a := range d.Submit(0, Ticket{ID: id, Service: "s", Caller: "c", Rank: draft, Cost: 10, Repeatable: true, Fingerprint: id}) {
				if _, ok := a.(Grant); ok {
					sent++
				}
			}
		}
	}
	d.SetDemands(0, "e1", "s", []share.Report{report("e1", 1000), report("e2", 1000)})
	submitDrafts(1, waiting)
	g.Expect(sent).To(gomega.BeNumerically("<=", slots))
	d.SetDemands(0, "e1", "s", []share.Report{report("e1", 1), report("e2", 1)})
	submitDrafts(waiting+1, waiting+2)
	const upstreams = 2
	g.Expect(sent).To(gomega.BeNumerically("<=", slots+upstreams))
}
