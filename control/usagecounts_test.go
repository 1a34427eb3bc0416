package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/usage"
)

func usageWindow(number, n uint64) usage.Window {
	return usage.Window{Number: number, Counts: map[string]uint64{"mill": n}}
}

// A keeper that becomes the leader after an entry has stopped must still bill
// what the entry served.
func TestUsageCountsRemainAfterTheirEntryStops(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newUsageCounts()
	stopped, next, other := entryKey{"a", 1}, entryKey{"a", 2}, entryKey{"b", 1}
	c.applyReport(time.Second, stopped, []usage.Window{usageWindow(7, 10)})
	c.applyReport(2*time.Second, stopped, []usage.Window{usageWindow(7, 14), usageWindow(8, 1)})
	c.applyReport(5*time.Second, next, []usage.Window{usageWindow(8, 3)})
	c.applyReport(5*time.Second, other, []usage.Window{usageWindow(7, 20), usageWindow(8, 5)})
	// An older report that arrives late changes nothing.
	c.applyReport(6*time.Second, stopped, []usage.Window{usageWindow(7, 10)})
	g.Expect(c.sumWindow(7).Counts["mill"]).To(gomega.Equal(uint64(34)))
	g.Expect(c.sumWindow(8).Counts["mill"]).To(gomega.Equal(uint64(9)))
	g.Expect(c.sumWindow(9).Counts).To(gomega.BeEmpty())
	c.applyReport(6*time.Second+usageRetention+1, other, nil)
	g.Expect(c.sumWindow(7).Counts["mill"]).To(gomega.Equal(uint64(20)))
}
