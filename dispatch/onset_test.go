package dispatch

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/share"
)

// sendDrafts submits drafts of one caller with the IDs from first to last, and returns how many
// requests are sent to upstreams by that.
func sendDrafts(d *Dispatcher, first, last uint64) int {
	const draft = 1
	sent := 0
	for id := first; id <= last; id++ {
		for _, a := range d.Submit(0, Ticket{ID: id, Service: "s", Caller: "c", Rank: draft, Cost: 10, Repeatable: true, Fingerprint: id}) {
			if _, ok := a.(Grant); ok {
				sent++
			}
		}
	}
	return sent
}

// TestOnsetOfAFloodLeavesShortQueues guards against a request of the highest rank that waits behind
// the drafts of all entries: those that know nothing of each other's demand yet send to the
// same free slots. An upstream may get one request of each entry beyond its slots.
func TestOnsetOfAFloodLeavesShortQueues(t *testing.T) {
	const upstreams, slots, draftsOfEach = 2, 2, 10
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
				sent += sendDrafts(d, 1, draftsOfEach)
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
	d.SetDemands(0, "e1", "s", []share.Report{report("e1", 1000), report("e2", 1000)})
	sent := sendDrafts(d, 1, waiting)
	g.Expect(sent).To(gomega.BeNumerically("<=", slots))
	d.SetDemands(0, "e1", "s", []share.Report{report("e1", 1), report("e2", 1)})
	sent += sendDrafts(d, waiting+1, waiting+2)
	const upstreams = 2
	g.Expect(sent).To(gomega.BeNumerically("<=", slots+upstreams))
}
