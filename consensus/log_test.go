package consensus

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestTrailingEntriesAreBounded counts the entries that stay behind a snapshot, in number
// and in bytes.
func TestTrailingEntriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		l := &log{baseIndex: rapid.Uint64Range(0, 5).Draw(t, "base")}
		for i, size := range rapid.SliceOfN(rapid.IntRange(0, 100), 1, 50).Draw(t, "sizes") {
			l.entries = append(l.entries, Entry{Index: l.baseIndex + uint64(i) + 1, Data: make([]byte, size)})
		}
		index := rapid.Uint64Range(l.baseIndex, l.last()).Draw(t, "index")
		maxEntries, maxBytes := rapid.Uint64Range(0, 60).Draw(t, "entries"), rapid.IntRange(0, 3000).Draw(t, "bytes")
		kept := l.trailing(index, maxEntries, maxBytes)
		size := func(count uint64) (bytes int) {
			for i := index - count; i < index; i++ {
				bytes += len(l.entries[i-l.baseIndex].Data) + entryOverhead
			}
			return bytes
		}
		g.Expect(kept).To(gomega.BeNumerically("<=", min(maxEntries, index-l.baseIndex)))
		g.Expect(size(kept)).To(gomega.BeNumerically("<=", maxBytes))
		if kept < min(maxEntries, index-l.baseIndex) {
			g.Expect(size(kept+1)).To(gomega.BeNumerically(">", maxBytes), "one more fits")
		}
	})
}
