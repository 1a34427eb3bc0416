package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/fairness"
)

// shareReport is the report of one of the entries, with sixteen organisations at two
// services, of which the first asks for most.
func shareReport(entry int, services ...string) AccountRequest {
	request := AccountRequest{Entry: fmt.Sprint("entry-", entry), Zone: "z", Incarnation: 1, Loads: map[string]Load{}}
	for _, service := range services {
		r := &fairness.Report{Carried: 10.5, Answers: 10.5, Refused: 1.25}
		for i := range 16 {
			rate := 0.2
			if i == 0 {
				rate = 60
			}
			r.Demands = append(r.Demands, fairness.Demand{Key: fairness.Key{Organisation: fmt.Sprintf("organisation-%02d", i)}, Rate: rate})
		}
		request.Loads[service] = Load{Arrivals: 30, Waiting: 5, Running: 3, Fairness: r}
	}
	return request
}

// TestSharesReachTheEntries passes reports and replies in the form in which they travel. It
// guards against an organisation above its share that no entry hears of, against a share
// that outlives the saturation, and against a leader of an older build that ends shares.
func TestSharesReachTheEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	state := newLeaderState(0, 1, 0)
	now := clock.Instant(time.Second)
	exchange := func(request AccountRequest) AccountReply {
		var received AccountRequest
		g.Expect(wire.Decode(wire.MustEncode(&request), &received)).To(gomega.Succeed())
		var reply AccountReply
		g.Expect(wire.Decode(wire.MustEncode(state.applyReport(now, received)), &reply)).To(gomega.Succeed())
		return reply
	}
	g.Expect(exchange(shareReport(0, "s")).Fairness).To(gomega.BeNil(), "a new leader hasn't decided")
	var reply AccountReply
	for range 8 {
		now += 300 * time.Millisecond
		for entry := range 3 {
			reply = exchange(shareReport(entry, "s"))
		}
	}
	g.Expect(reply.Fairness.Services["s"].Excesses).To(gomega.HaveLen(1))
	excess := reply.Fairness.Services["s"].Excesses[0]
	g.Expect(excess.Organisation).To(gomega.Equal("organisation-00"))
	g.Expect(excess.Fraction).To(gomega.BeNumerically("<", 0.2))
	for range 14 {
		now += 300 * time.Millisecond
		reply = exchange(AccountRequest{Entry: "entry-0", Zone: "z", Incarnation: 1, Loads: map[string]Load{"s": {Arrivals: 1, Fairness: &fairness.Report{Carried: 10, Answers: 10}}}})
	}
	g.Expect(reply.Fairness).NotTo(gomega.BeNil())
	g.Expect(reply.Fairness.Services).To(gomega.BeEmpty())

	old, err := wire.Encode(&struct {
		Leading bool `json:"l"`
	}{true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var fromOld AccountReply
	g.Expect(wire.Decode(old, &fromOld)).To(gomega.Succeed())
	g.Expect(fromOld.Fairness).To(gomega.BeNil())
	with, without := shareReport(0, "s", "t"), shareReport(0)
	t.Logf("16 organisations at 2 services take %d bytes of a report", len(wire.MustEncode(&with))-len(wire.MustEncode(&without)))
}

// TestInvalidSharesAreRefused guards against figures that the shares can't be computed from.
func TestInvalidSharesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, spoil := range map[string]func(*fairness.Report){
		"not a number":     func(r *fairness.Report) { r.Demands[0].Rate = math.NaN() },
		"negative rate":    func(r *fairness.Report) { r.Carried = -1 },
		"infinite rate":    func(r *fairness.Report) { r.Late = math.Inf(1) },
		"negative rank":    func(r *fairness.Report) { r.Demands[0].Rank = -1 },
		"too many demands": func(r *fairness.Report) { r.Demands = make([]fairness.Demand, fairness.MaxDemands+1) },
	} {
		request := shareReport(0, "s")
		spoil(request.Loads["s"].Fairness)
		g.Expect(request.Check()).To(gomega.Succeed(), name)
		g.Expect(request.odd).To(gomega.HaveOccurred(), name)
		if left := request.Loads["s"].Fairness; left != nil {
			g.Expect(left.Check()).To(gomega.Succeed(), name)
			g.Expect(left.Demands).To(gomega.HaveLen(len(shareReport(0, "s").Loads["s"].Fairness.Demands)-1), name)
		}
	}
	for _, fraction := range []float64{-0.1, 1.1, math.NaN()} {
		reply := AccountReply{Fairness: &fairness.Reply{Services: map[string]fairness.Share{"s": {Excesses: []fairness.Excess{{Fraction: fraction}}}}}}
		g.Expect(reply.Check()).To(gomega.Succeed())
		g.Expect(reply.Odd()).To(gomega.HaveOccurred())
		g.Expect(reply.Fairness.Services["s"].Excesses).To(gomega.BeEmpty())
	}
}

// BenchmarkShareReport measures a report and its reply, with their encoding, at 65 entries,
// 16 organisations and 2 services.
func BenchmarkShareReport(b *testing.B) {
	for name, services := range map[string][]string{"with shares": {"s", "t"}, "without": nil} {
		b.Run(name, func(b *testing.B) {
			state := newLeaderState(0, 1, 0)
			var bodies [][]byte
			for entry := range 65 {
				request := shareReport(entry, services...)
				bodies = append(bodies, wire.MustEncode(&request))
			}
			now := clock.Instant(0)
			for i := 0; b.Loop(); i++ {
				now += 300 * time.Millisecond / 65
				var received AccountRequest
				if err := wire.Decode(bodies[i%65], &received); err != nil {
					b.Fatal(err)
				}
				wire.MustEncode(state.applyReport(now, received))
			}
		})
	}
}
