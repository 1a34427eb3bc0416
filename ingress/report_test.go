package ingress

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/usage"
)

// TestReportsAreBuiltBeforeTheLinkIsReturned guards against an entry that crashes as it starts:
// a report is built before link.New has returned the link that the entry keeps.
func TestReportsAreBuiltBeforeTheLinkIsReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	keeper, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keeper.On(peer.Sync, func(context.Context, []byte) (any, error) {
		return &control.SyncReply{Source: 1, Leader: keeper.Address, Term: 1}, nil
	})
	reported := make(chan struct{}, 8)
	keeper.On(peer.Account, func(context.Context, []byte) (any, error) {
		select {
		case reported <- struct{}{}:
		default:
		}
		return &control.AccountReply{Leading: true}, nil
	})
	read := clock.System()
	o := Options{Clock: read, Settings: settings.Default().Ingress, Peers: settings.Peer{Advertise: keeper.Address}}
	upstreamClient := exchange.New(func() {})
	in := &Ingress{options: o, usage: usage.NewMeter()}
	in.paths = newPathDialer(t.Context(), read, nil, &in.meters, in.pathHooks())
	in.dispatcher = newDispatcher(t.Context(), read, fleet.New(fleet.Options{Zone: "a", Entries: 1}), upstreamClient.Refuses)
	l := link.New(t.Context(), link.Options{
		Name: "e", Zone: "a", Clock: read, PeerClient: peer.NewClient(), Seeds: []netip.AddrPort{keeper.Address},
		OnMembers: in.mergeMembers, OnConfig: in.applyConfig, BuildReport: in.buildReport, OnReply: in.applyReply, BuildUsageReport: in.buildUsageReport,
	})
	g.Eventually(reported, 5*time.Second).Should(gomega.Receive())
	l.ReportLastUsage(t.Context())
	g.Expect(reported).To(gomega.Receive())
}
