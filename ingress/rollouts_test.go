package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// halfSplit gives every other request to the new release, v2, as long as the first view is in force
// and it has failed less often than stops.
type halfSplit struct {
	*rollout.Split
	requests, bad, stops int
	confirmed            atomic.Int64
}

func (s *halfSplit) Confirmed(at clock.Instant)        { s.confirmed.Store(int64(at)) }
func (s *halfSplit) Active(clock.Instant, string) bool { return s.Version() > 0 }
func (s *halfSplit) Report(clock.Instant) *rollout.Report {
	return &rollout.Report{Rollouts: []rollout.OrderReport{{Number: 1}}}
}

func (s *halfSplit) Prefers(_ string, a rollout.Assignment, release string) bool {
	return a.New == (release == "v2")
}

func (s *halfSplit) Assign(clock.Instant, string) rollout.Assignment {
	s.requests++
	return rollout.Assignment{Number: 1, New: s.requests%2 == 0}
}

func (s *halfSplit) Allows(_ clock.Instant, _ string, a rollout.Assignment, release string, _ bool, _ int) bool {
	return release == "v1" || s.Version() == 1 && a.New && s.bad < s.stops
}

func (s *halfSplit) Begin(_ clock.Instant, _, _, _, _ string, _ time.Duration) {}

func (s *halfSplit) Answered(_ clock.Instant, _, _, release, _ string, good bool, _ time.Duration) {
	if release == "v2" && !good {
		s.bad++
	}
}

// TestRolloutReachesRequests guards against a view of the keepers that doesn't reach the requests
// and against evidence that doesn't reach the keepers: a new release that fails gets its share,
// is stopped at the entry and then by the view, and no caller notices.
func TestRolloutReachesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var view atomic.Pointer[rollout.View]
	setView := func(version uint64, phase rollout.Phase) {
		view.Store(&rollout.View{Version: version, Rollouts: []rollout.Rollout{{Number: 1, Order: rollout.Order{Service: "s", To: "v2"}, Phase: phase, Share: 0.5}}})
	}
	setView(1, rollout.Running)
	keeper, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var handedOver, reported, toNew atomic.Int64
	keeper.On(peer.Sync, func(_ context.Context, body []byte) (any, error) {
		var request control.SyncRequest
		reply := &control.SyncReply{Source: 1, Leader: keeper.Address, Term: 1, Quorum: control.QuorumConfirmed}
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		if v := view.Load(); v.Version > request.Rollouts {
			handedOver.Add(1)
			reply.Rollouts = v
			return reply, nil
		}
		<-time.After(50 * time.Millisecond)
		return reply, nil
	})
	keeper.On(peer.Account, func(_ context.Context, body []byte) (any, error) {
		var request control.AccountRequest
		err := wire.Decode(body, &request)
		if request.Releases != nil {
			reported.Store(int64(request.RolloutVersion))
		}
		return &control.AccountReply{Leading: true}, err
	})
	in, handler := newIngress(t, config.Route{Name: "r", Kind: config.Idempotent}, 5*time.Second)
	in.options.Name, in.options.Peers = "e", settings.Peer{Advertise: keeper.Address}
	fake := &halfSplit{Split: rollout.NewSplit(rollout.Limits{ExposeShare: 0.1, ExposeSlack: 50, RevertWithin: 5 * time.Second}, func() float64 { return 0 }), stops: 3}
	in.rollouts = &rollouts{split: fake, registry: in.meters.registry}
	in.dispatcher = newDispatcher(t.Context(), clock.System(), fleet.New(fleet.Options{Zone: "a", RetryRatio: 1, RetrySlack: 100, Entries: 1, Split: in.rollouts.fleetSplit()}), in.upstreamClient.Refuses)
	for release, head := range map[string]string{"v1": answerHead, "v2": strings.Replace(answerHead, "200 OK", "500 Broken", 1)} {
		address := startUpstream(t, func(c net.Conn, _ *http.Request) {
			if release == "v2" {
				toNew.Add(1)
			}
			_, _ = io.WriteString(c, head+"Connection: close\r\nContent-Length: 0\r\n\r\n")
		})
		in.mergeMembers([]upstream.Member{{Announcement: upstream.Announcement{
			ID: release, Incarnation: 1, Sequence: 1, Address: address, Zone: "a", Release: release, Slots: 8, Services: []string{"s"}, Lease: time.Minute,
		}}})
	}
	in.link = link.New(t.Context(), link.Options{
		Name: "e", Zone: "a", Clock: clock.System(), PeerClient: peer.NewClient(), Seeds: []netip.AddrPort{keeper.Address},
		OnMembers: in.mergeMembers, OnConfig: in.applyConfig, BuildReport: in.buildReport, OnReply: in.applyReply, BuildUsageReport: in.buildUsageReport,
		OnRollouts: in.applyRollouts, OnRolloutsConfirmed: in.confirmRollouts,
	})
	// ask returns the number of requests that the new release has had then.
	ask := func(n int) int64 {
		for range n {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
		}
		return toNew.Load()
	}
	g.Eventually(reported.Load, 5*time.Second).Should(gomega.Equal(int64(1)))
	g.Expect(fake.confirmed.Load()).NotTo(gomega.BeZero())
	g.Expect(ask(4)).To(gomega.Equal(int64(2)), "its share")
	g.Expect(ask(8)).To(gomega.Equal(int64(3)), "stopped at the entry")
	for name, want := range map[string]int64{"sent": 3, "bad": 3, "stopped": 1} {
		g.Expect(metrics.GetOrRegisterCounter("ingress.rollout."+name+".s.v2", in.meters.registry).Count()).To(gomega.Equal(want), name)
	}
	fake.stops = 100
	g.Expect(ask(2)).To(gomega.Equal(int64(4)))
	setView(2, rollout.Reverted)
	g.Eventually(reported.Load, 5*time.Second).Should(gomega.Equal(int64(2)))
	g.Expect(ask(8)).To(gomega.Equal(int64(4)), "reverted")
	g.Expect(handedOver.Load()).To(gomega.BeNumerically("<=", 4), "once for each view and loop")
	g.Expect(in.Dump()).To(gomega.HaveKeyWithValue("rollouts", *view.Load()))
	g.Expect(in.buildUsageReport(time.Now()).RolloutVersion).To(gomega.BeZero())
}
