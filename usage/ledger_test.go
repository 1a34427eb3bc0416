package usage

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestFirstCountIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	first := Window{Number: 7, Counts: map[string]uint64{"mill": 3}}
	g.Expect(l.Apply(first)).To(gomega.Equal(first))
	g.Expect(l.Apply(Window{Number: 7, Counts: map[string]uint64{"mill": 4}})).To(gomega.Equal(first))
	data, err := l.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	restored := NewLedger()
	g.Expect(restored.Restore(data)).To(gomega.Succeed())
	g.Expect(restored.Apply(Window{Number: 7, Counts: map[string]uint64{"mill": 5}})).To(gomega.Equal(first))
	g.Expect(restored.Newest()).To(gomega.Equal(uint64(7)))
}

func TestOldWindowsAreDeleted(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewLedger()
	for n := uint64(1); n <= maxWindowAge+10; n++ {
		l.Apply(Window{Number: n})
	}
	g.Expect(l.windows).NotTo(gomega.HaveKey(uint64(5)))
	g.Expect(l.windows).To(gomega.HaveKey(uint64(maxWindowAge + 9)))
}

func TestSinceReturnsWholeWindowsAndKeepsThem(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMeter()
	m.Count(1, "mill")
	m.Count(2, "mill")
	m.Count(2, "mill")
	m.Count(2, "orchard")
	want := []Window{{Number: 2, Counts: map[string]uint64{"mill": 2, "orchard": 1}}}
	g.Expect(m.Since(2)).To(gomega.Equal(want))
	g.Expect(m.Since(2)).To(gomega.Equal(want), "Since doesn't reset the counts")
}
