package keeper

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// TestUnknownEntries guards against a keeper that goes on after a command that it can't
// apply, with a state that differs from the others'.
func TestUnknownEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newStateMachine(nil)
	later := wire.MustEncode(map[string]any{"z": map[string]any{"n": 1}})
	_, _, err := m.apply(consensus.Entry{Index: 1, Kind: consensus.Command, Data: later})
	g.Expect(err).To(gomega.HaveOccurred())
	_, _, err = m.apply(consensus.Entry{Index: 1, Kind: 99, Data: later})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
