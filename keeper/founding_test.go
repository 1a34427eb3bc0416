package keeper

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/founding"
	"github.com/hyssopladder/hyssopladder/wal"
)

// TestVotersGoOnAfterACrashWhileFounding guards against a cluster without a log: its voters ended
// between joining it and storing the first entry.
func TestVotersGoOnAfterACrashWhileFounding(t *testing.T) {
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 0, nil)
	k.add(0)
	fs, err := wal.OpenFolder(k.nodes[0].path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	journal, _, err := wal.Open(fs, func() consensus.ID { return 1 })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ballot := founding.Ballot{Round: 1, Proposer: 1}
	const cluster = 9
	word := founding.Word{Promised: ballot, Accepted: ballot, Proposal: &founding.Proposal{
		Plan: founding.Plan{Cluster: cluster, Voters: []consensus.ID{1}}, Quorum: []consensus.ID{1},
	}}
	g.Expect(journal.GiveWord(word)).To(gomega.Succeed())
	g.Expect(journal.Join(cluster)).To(gomega.Succeed())
	g.Expect(journal.Close()).To(gomega.Succeed())

	g.Expect(k.start(0, nil)).To(gomega.Succeed())
	_, err = k.nodes[0].client.Put(t.Context(), config.Put{Number: 1, Packed: []byte("x")})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(k.status(0)().Cluster).To(gomega.BeEquivalentTo(cluster))
}
