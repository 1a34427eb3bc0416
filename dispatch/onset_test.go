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
