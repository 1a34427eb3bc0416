package link

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// TestRolloutViewsAndConfirmationsOnlyRise guards against replies that the two loops get out of
// order: an older view came back into force, a confirmation was passed on before the view that it
// holds for, and one of a keeper without a majority counted.
func TestRolloutViewsAndConfirmationsOnlyRise(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	l := &Link{options: Options{
		OnRollouts:          func(v rollout.View) { got = append(got, fmt.Sprint("view ", v.Version)) },
		OnRolloutsConfirmed: func(at clock.Instant) { got = append(got, fmt.Sprint("confirmed ", at)) },
	}}
	for _, c := range []struct {
		askedAt time.Duration
		view    uint64
		quorum  control.Quorum
		want    []string
	}{
		{2, 5, control.QuorumConfirmed, []string{"view 5", "confirmed 2ns"}},
		{1, 4, control.QuorumConfirmed, nil},
		{3, 5, control.QuorumMissed, nil},
		{4, 0, control.QuorumConfirmed, []string{"confirmed 4ns"}},
		{5, 6, control.QuorumUnasked, []string{"view 6"}},
		{3, 7, control.QuorumConfirmed, []string{"view 7"}},
	} {
		got = nil
		reply := &control.SyncReply{Quorum: c.quorum}
		if c.view > 0 {
			reply.Rollouts = &rollout.View{Version: c.view}
		}
		l.applyRollouts(c.askedAt, reply)
		g.Expect(got).To(gomega.Equal(c.want), "%+v", c)
	}
	g.Expect(l.rolloutVersion()).To(gomega.Equal(uint64(7)))
}

// TestKeepersHearWhichViewIsInForce guards against an entry that names a view before it is in
// force, so that a reply without one confirms the view before, and against one without rollouts
// that names none: keepers would answer each of its calls at once.
func TestKeepersHearWhichViewIsInForce(t *testing.T) {
	for name, enabled := range map[string]bool{"with rollouts": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			keeper, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			asked := make(chan uint64, 1)
			keeper.On(peer.Sync, func(ctx context.Context, body []byte) (any, error) {
				var request control.SyncRequest
				if err := wire.Decode(body, &request); err != nil {
					return nil, err
				}
				if request.Rollouts >= 3 {
					select {
					case asked <- request.Rollouts:
					default:
					}
					<-ctx.Done()
				}
				return &control.SyncReply{Source: 1, Quorum: control.QuorumConfirmed, Rollouts: &rollout.View{Version: 3}}, nil
			})
			applying, applied := make(chan struct{}), make(chan struct{})
			o := Options{
				Name: "e", Zone: "a", PeerClient: peer.NewClient(), Seeds: []netip.AddrPort{keeper.Address}, Clock: clock.System(),
				BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} },
			}
			if enabled {
				o.OnRollouts = func(rollout.View) {
					close(applying)
					<-applied
				}
			}
			New(t.Context(), o)
			if enabled {
				g.Eventually(applying, 5*time.Second).Should(gomega.BeClosed())
				g.Expect(asked).NotTo(gomega.Receive())
				close(applied)
			}
			g.Eventually(asked, 5*time.Second).Should(gomega.Receive(gomega.Equal(uint64(3))))
		})
	}
}
