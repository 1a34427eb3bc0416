package keeper

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestLargeChangesAreCompactedSeldom guards against a log that is written anew after each
// flush, as the entries that a compaction keeps are above the threshold themselves.
func TestLargeChangesAreCompactedSeldom(t *testing.T) {
	for _, changeBytes := range []int64{100, 20 << 10, 1 << 20, 8 << 20} {
		g := gomega.NewWithT(t)
		const changes = 4000
		size, compactedSize, compactions := int64(0), int64(0), int64(0)
		for range changes {
			size += changeBytes
			if worthCompacting(size, compactedSize) {
				compactions++
				size = min(size, trailingBytes/changeBytes*changeBytes, trailingEntries*changeBytes)
				compactedSize = size
			}
		}
		g.Expect(compactions).To(gomega.BeNumerically("<=", changes*changeBytes/(compactThresholdBytes/2)+1), "changes of %d bytes", changeBytes)
		g.Expect(size).To(gomega.BeNumerically("<=", compactThresholdBytes+changeBytes))
	}
	g := gomega.NewWithT(t)
	g.Expect(worthCompacting(compactThresholdBytes+1, 0)).To(gomega.BeTrue())
	g.Expect(worthCompacting(compactThresholdBytes+1, compactThresholdBytes)).To(gomega.BeFalse(), "entries that aren't applied stay")
}
