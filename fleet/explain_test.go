package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// TestExplainIsWhatHappens guards against an explanation that differs from where the request then
// goes, or that changes it.
func TestExplainIsWhatHappens(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far, gone := member("near", 1, 1), member("far", 2, 1), member("gone", 3, 1)
	near.Slots, far.Slots, gone.Slots, far.Zone, gone.Leaving = 1, 1, 1, "b", true
	f := plainFleet(near, far, gone)
	request := func(id uint64) Ticket {
		return Ticket{ID: id, Service: "s", MaxRuns: 1, Target: second, Deadline: time.Minute}
	}
	for id, want := range []string{"near", "far"} {
		p := f.Explain(0, request(0))
		g.Expect(f.Explain(0, request(0))).To(gomega.Equal(p))
		g.Expect([]string{string(p.Decision), p.Upstream}).To(gomega.Equal([]string{string(DecisionSend), want}))
		g.Expect(destination(f.Submit(0, request(uint64(id+1))))).To(gomega.Equal(want))
	}
	p := f.Explain(0, request(0))
	g.Expect(p.Decision).To(gomega.Equal(DecisionWait))
	excluded := map[string]Exclusion{}
	for _, c := range p.Candidates {
		excluded[c.Upstream] = c.Excluded
	}
	g.Expect(excluded).To(gomega.Equal(map[string]Exclusion{"near": ExcludedRoom, "far": ExcludedRoom, "gone": ExcludedGone}))
	g.Expect(f.Open()).To(gomega.Equal(2), "tickets")
	bound := request(0)
	bound.Binding = upstream.BoundTo("other")
	g.Expect(f.Explain(0, bound).Decision).To(gomega.Equal(DecisionRefuse))
	g.Expect(f.Explain(0, Ticket{Service: "unknown"}).Decision).To(gomega.Equal(DecisionRefuse))
}
