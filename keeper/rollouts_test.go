package keeper

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// TestRolloutsOutliveRestartsAndSnapshots guards against an order that is lost, or differs
// between keepers, after a restart from the disks, at a keeper that was away and is sent a
// snapshot, and at one that joins; against a keeper without rollouts among others that is
// sent what it can't read, or whose folder can't be used with rollouts later; and against an
// unreadable command that is written.
func TestRolloutsOutliveRestartsAndSnapshots(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 3, func(i int) Later {
		if i == 2 {
			return nil
		}
		return NewRollouts()
	})
	k.put()
	start := rollout.Command{Start: &rollout.Order{Service: "s", To: "v2", Within: time.Minute, At: time.Unix(1_700_000_000, 0).UTC()}}
	_, err := k.nodes[0].client.Rollout(t.Context(), start)
	refusal := result.From(err)
	g.Expect(refusal.Code).To(gomega.Equal(result.RolloutsNotReady), "%v", err)
	g.Expect(refusal.Ran).To(gomega.Equal(result.RanNo))

	g.Expect(k.restart(2, NewRollouts())).To(gomega.Succeed())
	for i := range 3 {
		g.Eventually(k.status(i), 10*time.Second).Should(gomega.Satisfy(inForce(RolloutLevel)))
	}
	for _, want := range []rollout.Outcome{rollout.Accepted, rollout.Repeated} {
		outcome, err := k.nodes[2].client.Rollout(t.Context(), start)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome).To(gomega.Equal(want))
	}
	// Every keeper would stop at it, now and with each start.
	for i := range 3 {
		g.Expect(k.nodes[i].Propose(t.Context(), note("no rollout")).Code).To(gomega.Equal(result.BadRequest))
	}
	held := func(i int) func() rollout.View {
		return func() rollout.View {
			v, _ := k.nodes[i].View()
			return *v.Rollouts
		}
	}
	want := rollout.View{Version: 1, Rollouts: []rollout.Rollout{{Number: 1, Order: *start.Start, Phase: rollout.Running}}}

	for i := range 3 {
		k.stop(i)
	}
	for i := range 3 {
		g.Expect(k.start(i, NewRollouts())).To(gomega.Succeed())
	}
	for i := range 3 {
		g.Eventually(held(i), 10*time.Second).Should(gomega.Equal(want))
	}

	// While keeper 2 is away the others compact the log beyond what it has.
	k.stop(2)
	for range 20 {
		k.number++
		k.propose(Command{Put: &config.Put{Number: k.number, Packed: make([]byte, 480<<10)}})
	}
	restored := func(i int) func() int {
		return func() int {
			v, _ := k.nodes[i].View()
			return v.Restored
		}
	}
	k.add(3)
	for _, i := range []int{2, 3} {
		g.Expect(k.start(i, NewRollouts())).To(gomega.Succeed())
		g.Eventually(restored(i), 15*time.Second).Should(gomega.BeNumerically(">", 0))
		g.Eventually(held(i)).Should(gomega.Equal(want))
		g.Expect(k.status(i)().Level).To(gomega.Equal(RolloutLevel))
	}
	g.Expect(k.restart(0, NewRollouts())).To(gomega.Succeed())
	g.Expect(held(0)()).To(gomega.Equal(want), "at once, from the snapshot in its folder")
}
