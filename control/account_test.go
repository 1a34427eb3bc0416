package control

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/fairness"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/suspect"
)

// TestEvidenceAndLimitsReachAllEntries passes what three entries report through a
// leader, in the form in which it travels.
func TestEvidenceAndLimitsReachAllEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	const badPart = 66
	state := newLeaderState(0, 1, 0)
	entries := map[string]*suspect.Ledger{"a": suspect.New(), "b": suspect.New(), "c": suspect.New()}
	names := []string{"a", "b", "c"}
	now := clock.Instant(time.Second)
	shares := map[string]float64{}
	report := func(name string, limits ...limit.Observation) {
		now += 100 * time.Millisecond
		request := AccountRequest{
			Entry: name, Zone: "z", Incarnation: 1, Loads: map[string]Load{"s": {Arrivals: 5}}, Suspects: entries[name].Report(now), Limits: limits,
		}
		var received AccountRequest
		g.Expect(wire.Decode(wire.MustEncode(&request), &received)).To(gomega.Succeed())
		var reply AccountReply
		g.Expect(wire.Decode(wire.MustEncode(state.applyReport(now, received)), &reply)).To(gomega.Succeed())
		entries[name].Merge(now, reply.Suspects)
		for _, s := range reply.Limits {
			shares[name] = s.Share
		}
	}
	for i, name := range names {
		now += time.Second
		traits := suspect.Traits("s", uint64(i), []uint64{1, badPart})
		entries[name].Crashed(now, uint64(i), now-time.Second/10, now, traits)
		for _, other := range names {
			report(other)
		}
		entries[names[0]].Answered(now, suspect.Traits("s", uint64(100+i), []uint64{1, 30}))
	}
	for range 2 {
		for _, name := range names {
			report(name, limit.Observation{Upstream: "u", Incarnation: 1, Service: "s", Zone: "z", Rate: 1.5, Limited: true})
		}
	}
	sum := 0.0
	for _, name := range names {
		_, _, bad := entries[name].Quarantined(now, suspect.Traits("s", 200, []uint64{1, badPart}))
		_, _, sound := entries[name].Quarantined(now, suspect.Traits("s", 201, []uint64{1, 30}))
		g.Expect([]bool{bad, sound}).To(gomega.Equal([]bool{true, false}), "entry %s", name)
		sum += shares[name]
	}
	g.Expect(sum).To(gomega.Equal(1.5), "of one limit, at all entries")
}

// TestConfigurationsNameNoMoreOrganisationsThanReportsHold guards against a configuration that is
// accepted, and after which neither reports nor their answers can be read.
func TestConfigurationsNameNoMoreOrganisationsThanReportsHold(t *testing.T) {
	g := gomega.NewWithT(t)
	k := startControlNodes(t, rollout.Limits{}, rollout.Limits{}, rollout.Limits{})
	put := func(version, organisations int) func() int {
		tenants := make([]string, organisations)
		for i := range tenants {
			tenants[i] = fmt.Sprintf(`{"name":"o%d","apiKeys":["k%d"],"ratePerS":1}`, i, i)
		}
		return k.status(0, http.MethodPost, "/v1/config/put", fmt.Sprintf(`{"version":%d,"tenants":[%s]}`, version, strings.Join(tenants, ",")))
	}
	g.Eventually(put(2, maxItems), 10*time.Second).Should(gomega.Equal(http.StatusOK))
	g.Expect(put(3, maxItems+1)()).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(put(1, maxItems+1)()).To(gomega.Equal(http.StatusOK), "an older one changes nothing")
}

// TestOddValuesCostTheirOwnPart guards against a report or a reply that can't be read as a whole
// since one of the numbers that others name is odd.
func TestOddValuesCostTheirOwnPart(t *testing.T) {
	g := gomega.NewWithT(t)
	sound := fairness.Demand{Key: fairness.Key{Rank: 3, Organisation: "mill"}, Rate: 5}
	report := AccountRequest{
		Entry: "e", Demands: map[string]Demand{"mill": {Rate: 3}},
		Loads: map[string]Load{
			"s": {Arrivals: 7, Fairness: &fairness.Report{Carried: 2, Demands: []fairness.Demand{{Key: fairness.Key{Rank: -15}, Rate: 1}, sound, {Rate: math.NaN()}}}},
			"t": {Arrivals: 8, Fairness: &fairness.Report{Carried: math.Inf(1)}},
		},
		Limits:   []limit.Observation{{Upstream: "u", Rate: -1}, {Upstream: "v", Rate: 1, Limited: true}},
		Capacity: &capacity.Report{Samples: map[string][]capacity.Sample{"s": {{Upstream: "u", Weight: -1}}}},
		Releases: &rollout.Report{Rollouts: make([]rollout.OrderReport, 10_000)},
	}
	data, err := wire.Encode(&report)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var request AccountRequest
	g.Expect(wire.Decode(data, &request)).To(gomega.Succeed())
	g.Expect(request.odd).To(gomega.HaveOccurred())
	g.Expect(request.Demands).To(gomega.Equal(report.Demands))
	g.Expect(request.Loads["s"].Fairness).To(gomega.Equal(&fairness.Report{Carried: 2, Demands: []fairness.Demand{sound}}))
	g.Expect(request.Loads["t"]).To(gomega.Equal(Load{Arrivals: 8}))
	g.Expect(request.Limits).To(gomega.Equal(report.Limits[1:]))
	g.Expect(request.Capacity).To(gomega.BeNil())
	g.Expect(request.Releases).To(gomega.BeNil())

	excess := fairness.Excess{Key: sound.Key, Fraction: 0.5}
	answer := AccountReply{
		Leading: true, Rates: map[string]float64{"mill": 4},
		Limits:   []limit.Share{{Observation: limit.Observation{Upstream: "u", Rate: 1}, Share: 2}, {Observation: limit.Observation{Upstream: "v", Rate: 2}, Share: 1}},
		Fairness: &fairness.Reply{Services: map[string]fairness.Share{"s": {Excesses: []fairness.Excess{{Fraction: -1}, excess}}}},
		Paces:    &capacity.Update{Term: 1, Paces: []capacity.Pace{{Upstream: "u", Percent: -5}, {Upstream: "v", Percent: 100}}},
	}
	data, err = wire.Encode(&answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var reply AccountReply
	g.Expect(wire.Decode(data, &reply)).To(gomega.Succeed())
	g.Expect(reply.Odd()).To(gomega.HaveOccurred())
	g.Expect(reply.Rates).To(gomega.Equal(answer.Rates))
	g.Expect(reply.Limits).To(gomega.Equal(answer.Limits[1:]))
	g.Expect(reply.Fairness.Services["s"].Excesses).To(gomega.Equal([]fairness.Excess{excess}))
	g.Expect(reply.Paces.Paces).To(gomega.Equal(answer.Paces.Paces[1:]))
}
