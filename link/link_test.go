package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// TestLeaderOfTheHighestTermIsUsed guards against going back to an earlier
// leader, which a keeper in a minority partition may still name.
func TestLeaderOfTheHighestTermIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	l := &Link{}
	l.setLeader(before, 2)
	g.Expect(l.leader).To(gomega.Equal(before))
	l.setLeader(after, 3)
	l.setLeader(before, 2)
	g.Expect(l.leader).To(gomega.Equal(after))
	// A keeper that knows no leader changes nothing, whatever its term.
	l.setLeader(netip.AddrPort{}, 4)
	g.Expect(l.leader).To(gomega.Equal(after))
}

// TestFirstReportFollowsTheElection has an entry that starts before there is a
// leader, which takes an election: the first report must not wait out a backoff,
// as the entry has no quota until then. Calls that fail do back off.
func TestFirstReportFollowsTheElection(t *testing.T) {
	g := gomega.NewWithT(t)
	backoff := pace.Backoff{First: firstRetryDelay, Max: maxRetryDelay}
	for range 10 {
		g.Expect(reportWait(noLeaderKnown, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
	}
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(2 * firstRetryDelay))
	g.Expect(reportWait(reportAnswered, &backoff, 600*time.Millisecond, 20*time.Millisecond, 0.5)).To(gomega.Equal(580 * time.Millisecond))
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
}

// TestLinkAsksBeyondKeepersThatAreCutOff has the two keepers of an entry's zone go on
// answering, without a majority and listing only each other, while a third one, which is no
// seed, has the majority. The entry has to hear from that one.
func TestLinkAsksBeyondKeepersThatAreCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	var cut atomic.Bool
	var fromMajority atomic.Int64
	var peers []control.Peer
	serve := func(zone string, minority bool) {
		server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		peers = append(peers, control.Peer{Address: server.Address, Zone: zone})
		server.On(peer.Sync, func(_ context.Context, body []byte) (any, error) {
			var request control.SyncRequest
			if err := wire.Decode(body, &request); err != nil {
				return nil, err
			}
			reply := &control.SyncReply{Source: 1, Quorum: control.QuorumConfirmed, Peers: peers}
			if cut.Load() && minority {
				reply.Quorum, reply.Peers = control.QuorumMissed, peers[:2]
			}
			if cut.Load() && !minority {
				fromMajority.Add(1)
			}
			return reply, nil
		})
	}
	serve("a", true)
	serve("a", true)
	serve("b", false)
	const speedUp = 10
	start := time.Now()
	l := New(t.Context(), Options{
		Name: "e", Zone: "a", PeerClient: peer.NewClient(), Seeds: []netip.AddrPort{peers[0].Address, peers[1].Address},
		Clock:     func() clock.Instant { return time.Hour + speedUp*time.Since(start) },
		OnMembers: func([]upstream.Member) {}, BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} },
	})
	g.Eventually(func() []netip.AddrPort { return l.State().Keepers }, 5*time.Second).Should(gomega.HaveLen(3))
	g.Eventually(func() []netip.AddrPort { return l.State().Current }, 5*time.Second).ShouldNot(gomega.ContainElement(peers[2].Address))
	cut.Store(true)
	g.Eventually(fromMajority.Load, 5*time.Second).Should(gomega.BeNumerically(">", 0))
	g.Eventually(func() []netip.AddrPort { return l.State().Current }, 5*time.Second).Should(gomega.ContainElement(peers[2].Address))
	g.Expect(l.State().Keepers).To(gomega.HaveLen(3))
}
