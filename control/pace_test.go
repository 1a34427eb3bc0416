package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

// TestLeaderRepliesWithPaces guards against measurements that get lost on their way through the
// messages, and against replies that an entry doesn't expect which measures nothing.
func TestLeaderRepliesWithPaces(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeaderState(0, 3, 0)
	meters, table := []*capacity.Meter{capacity.NewMeter(), capacity.NewMeter()}, capacity.NewTable()
	now := time.Second
	for range 40 {
		now += 300 * time.Millisecond
		for i, entry := range []string{"a", "b"} {
			for u, took := range map[string]time.Duration{"u0": 100, "u1": 100, "u2": 300} {
				meters[i].Add(capacity.Answer{Service: "s", Upstream: u, Incarnation: 1, Weight: 1, Took: took * time.Millisecond, Expected: 100 * time.Millisecond, Exact: true})
			}
			report := meters[i].Report()
			if i == 0 {
				table.Stamp(report)
			}
			body, err := wire.Encode(&AccountRequest{Entry: entry, Zone: "z", Incarnation: 1, Capacity: report})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var request AccountRequest
			g.Expect(wire.Decode(body, &request)).To(gomega.Succeed())
			body, err = wire.Encode(s.applyReport(now, request))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var reply AccountReply
			g.Expect(wire.Decode(body, &reply)).To(gomega.Succeed())
			if i == 0 {
				table.Apply(now, *reply.Paces)
			}
		}
	}
	pace, _ := table.Pace(now, "u2", 1)
	g.Expect(pace).To(gomega.BeNumerically("~", 3, 0.1))
	g.Expect(s.applyReport(now, AccountRequest{Entry: "old", Zone: "z", Incarnation: 1}).Paces).To(gomega.BeNil())
	bad := AccountRequest{Entry: "a", Capacity: &capacity.Report{Samples: map[string][]capacity.Sample{"s": {{}}}}}
	g.Expect(bad.Check()).To(gomega.Succeed())
	g.Expect(bad.Capacity).To(gomega.BeNil())
	g.Expect(bad.odd).To(gomega.HaveOccurred())
}
