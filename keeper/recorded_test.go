package keeper

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/wal"
)

// openRecorded opens a copy of those of a recorded folder's files that are named.
func openRecorded(t *testing.T, folder string, names ...string) (wal.Identity, consensus.Stored) {
	t.Helper()
	g, copied := gomega.NewWithT(t), t.TempDir()
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(folder, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(os.WriteFile(filepath.Join(copied, name), data, 0o600)).To(gomega.Succeed())
	}
	fs, err := wal.OpenFolder(copied)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	journal, stored, err := wal.Open(fs, func() consensus.ID { return consensus.None })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = journal.Close() }()
	return journal.Identity(), stored
}

// TestRecordedStates guards against an update after which keepers read another state from
// their disks, or can't read it.
func TestRecordedStates(t *testing.T) {
	folders, err := filepath.Glob("../formats/testdata/*/keeper")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(len(folders)).To(gomega.BeNumerically(">=", 2))
	each := func(folder string, later func() Later) {
		t.Run(folder, func(t *testing.T) {
			g := gomega.NewWithT(t)
			identity, stored := openRecorded(t, folder, "identity", "log")
			g.Expect(identity.Cluster).NotTo(gomega.BeZero())
			fromLog, seen := newStateMachine(later()), map[string]bool{}
			for _, e := range stored.Entries {
				_, _, err := fromLog.apply(e)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if e.Kind != consensus.Command {
					continue
				}
				var c Command
				g.Expect(wire.Decode(e.Data, &c)).To(gomega.Succeed())
				g.Expect(wire.MustEncode(&c)).To(gomega.Equal(e.Data))
				seen["change"] = seen["change"] || c.Change != nil
				seen["put"] = seen["put"] || c.Put != nil
				seen["usage"] = seen["usage"] || c.Usage != nil
				seen["claim"] = seen["claim"] || c.Claim != nil && c.Claim.Claim != nil
				seen["settle"] = seen["settle"] || c.Claim != nil && c.Claim.Settle != nil
				seen["advance"] = seen["advance"] || c.Claim != nil && c.Claim.Advance != nil
			}
			g.Expect(seen).To(gomega.Equal(map[string]bool{"change": true, "put": true, "usage": true, "claim": true, "settle": true, "advance": true}))

			data, err := os.ReadFile(filepath.Join(folder, "snapshot"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(data).NotTo(gomega.BeEmpty())
			_, stored = openRecorded(t, folder, "identity", "snapshot", "log")
			restored := newStateMachine(later())
			g.Expect(restored.restore(stored.Snapshot.Data)).To(gomega.Succeed())
			again, err := restored.snapshot()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again).To(gomega.Equal(stored.Snapshot.Data))

			for _, m := range []*stateMachine{fromLog, restored} {
				g.Expect(m.documents.All()).To(gomega.HaveLen(2))
				g.Expect(m.claims.Len()).To(gomega.Equal(1))
				g.Expect(m.configs.Newest().Number).To(gomega.Equal(uint64(3)))
				g.Expect(m.usage.Newest()).NotTo(gomega.BeZero())
			}
		})
	}
	for _, folder := range folders {
		each(folder, func() Later { return nil })
		each(folder, func() Later { return NewRollouts() })
	}
}
