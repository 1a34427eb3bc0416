package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/usage"
)

func counted(number, n uint64) usage.Window {
	return usage.Window{Number: number, Counts: map[string]uint64{"mill": n}}
}

// An entry that stopped is counted by a keeper that leads only afterwards.
func TestCountsOutlastTheirEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCounts()
	stopped, next, other := reporter{"a", 1}, reporter{"a", 2}, reporter{"b", 1}
	c.report(time.Second, stopped, []usage.Window{counted(7, 10)})
	c.report(2*time.Second, stopped, []usage.Window{counted(7, 14), counted(8, 1)})
	c.report(5*time.Second, next, []usage.Window{counted(8, 3)})
	c.report(5*time.Second, other, []usage.Window{counted(7, 20), counted(8, 5)})
	// A report that was overtaken changes nothing.
	c.report(6*time.Second, stopped, []usage.Window{counted(7, 10)})
	g.Expect(c.window(7).Counts["mill"]).To(gomega.Equal(uint64(34)))
	g.Expect(c.window(8).Counts["mill"]).To(gomega.Equal(uint64(9)))
	g.Expect(c.window(9).Counts).To(gomega.BeEmpty())
	c.report(6*time.Second+usageMemory+1, other, nil)
	g.Expect(c.window(7).Counts["mill"]).To(gomega.Equal(uint64(20)))
}
