package operator

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
)

// TestRepliesWithoutEnd guards against an operator's command that keeps all that a node sends.
func TestRepliesWithoutEnd(t *testing.T) {
	const maxHeapGrowth = 3 * maxReplyBytes
	for name, head := range cuttest.EndlessHeads {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := NewClient(cuttest.StartEndless(t, head, cuttest.Repeat("more")))
			g.Expect(cuttest.HeapPeak(func() {
				_, err := c.Apply(t.Context(), DocumentWrite{Name: "d"})
				g.Expect(err).To(gomega.HaveOccurred())
			})).To(gomega.BeNumerically("<", maxHeapGrowth))
		})
	}
}
