package consensus_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/consensus"
)

// TestRepeatedTransfersReachALivingVoter guards against a leader with a full disk that
// hands over again and again to a voter that is dead or has a full disk too, and so refuses
// changes for as long as its disk is full, or that goes on leading without a majority.
func TestRepeatedTransfersReachALivingVoter(t *testing.T) {
	cases := []struct {
		name string
		// answers lists the voters that answer the leader's heartbeats.
		answers []consensus.ID
		want    []consensus.ID
	}{
		{"the first of two is dead", []consensus.ID{3}, []consensus.ID{3}},
		{"the second of two is dead", []consensus.ID{2}, []consensus.ID{2}},
		{"neither takes over", []consensus.ID{2, 3}, []consensus.ID{2, 3}},
		{"both are dead", nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := restartedNode(t, 1, 2, configEntry(1, 1, consensus.Config{Voters: []consensus.ID{1, 2, 3}}))
			elect(n)
			answer := func(from, index uint64) {
				n.Step(consensus.Message{Kind: consensus.AppendReply, From: consensus.ID(from), To: 1, Term: n.Term(), Index: index})
			}
			answer(2, 2)
			answer(3, 2)
			flush(n)
			asked := map[consensus.ID]bool{}
			for range 2*electionTicks + 2*heartbeatTicks {
				n.Tick()
				n.TransferLeadership()
				for _, m := range flush(n) {
					if m.Kind == consensus.TimeoutNow {
						asked[m.To] = true
					}
				}
				for _, id := range c.answers {
					answer(uint64(id), 2)
				}
			}
			if len(c.answers) == 0 {
				g.Expect(n.Status().Role).To(gomega.Equal("follower"))
			}
			for _, id := range c.want {
				g.Expect(asked).To(gomega.HaveKey(id))
			}
		})
	}
}
