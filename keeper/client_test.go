package keeper

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
)

// fixedNodes lists the same nodes at each call.
type fixedNodes []member.NodeInfo

func (n fixedNodes) Nodes(context.Context) []member.NodeInfo { return n }

// TestLastAttemptIsNotCutOff guards against a change that is answered "unknown" though no keeper has
// taken it: the end of the call cut off an attempt that had just begun.
func TestLastAttemptIsNotCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	const timeout = 2 * time.Second
	began := time.Now()
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server.On(peer.Propose, func(ctx context.Context, _ []byte) (any, error) {
		if time.Since(began) > timeout-timeout/lastAttemptPart {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if time.Since(began) > timeout-400*time.Millisecond {
			// The next attempt is due 20 ms before the end.
			<-time.After(timeout - 70*time.Millisecond - time.Since(began))
		}
		return Reply{NotLeader: true, Code: result.NoQuorum, Detail: "waiting"}, nil
	})
	c := NewClient(fixedNodes{{Name: "1", Address: server.Address, KeeperID: consensus.ID(1).String()}}, peer.NewClient())
	_, err = c.propose(t.Context(), Command{}, timeout)
	g.Expect(result.From(err).Ran).To(gomega.Equal(result.RanNo))
}

// TestClaimIsSettledWhileKeepersStandStill guards against keyed calls that are answered
// "unknown" while another keeper leads: a client spent the call's time on keepers that
// stand still, one of them twice.
func TestClaimIsSettledWhileKeepersStandStill(t *testing.T) {
	for _, standing := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 stand still", standing), func(t *testing.T) {
			g := gomega.NewWithT(t)
			const keepers = 5
			// electedAfter is when the last keeper leads; the others know it then.
			const electedAfter = 1200 * time.Millisecond
			began := time.Now()
			var nodes fixedNodes
			var asked [keepers]atomic.Int32
			for i := range keepers {
				server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				server.On(peer.Propose, func(ctx context.Context, _ []byte) (any, error) {
					asked[i].Add(1)
					switch {
					case i < standing:
						<-ctx.Done()
						return nil, ctx.Err()
					case time.Since(began) < electedAfter:
						return Reply{NotLeader: true}, nil
					case i < keepers-1:
						return Reply{NotLeader: true, Leader: consensus.ID(keepers)}, nil
					default:
						return Reply{Claim: &claim.Reply{Granted: true}}, nil
					}
				})
				nodes = append(nodes, member.NodeInfo{Name: fmt.Sprint(i), Address: server.Address, KeeperID: consensus.ID(i + 1).String()})
			}
			c := NewClient(nodes, peer.NewClient())
			c.setLeader(1)
			reply, err := c.Claim(t.Context(), claim.Claim{})
			g.Expect(err).NotTo(gomega.HaveOccurred(), "asked %v", &asked)
			g.Expect(reply.Granted).To(gomega.BeTrue())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", claimTimeout))
		})
	}
}
