package control

import (
	"runtime"
	"strconv"
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
	c.applyReport(time.Second, stopped, []usage.Window{usageWindow(7, 10)}, 0)
	c.applyReport(2*time.Second, stopped, []usage.Window{usageWindow(7, 14), usageWindow(8, 1)}, 0)
	c.applyReport(5*time.Second, next, []usage.Window{usageWindow(8, 3)}, 0)
	c.applyReport(5*time.Second, other, []usage.Window{usageWindow(7, 20), usageWindow(8, 5)}, 0)
	// An older report that arrives late changes nothing.
	c.applyReport(6*time.Second, stopped, []usage.Window{usageWindow(7, 10)}, 0)
	g.Expect(c.sumWindow(7).Counts["mill"]).To(gomega.Equal(uint64(34)))
	g.Expect(c.sumWindow(8).Counts["mill"]).To(gomega.Equal(uint64(9)))
	g.Expect(c.sumWindow(9).Counts).To(gomega.BeEmpty())
	c.applyReport(6*time.Second+usageRetention+1, other, nil, 0)
	g.Expect(c.sumWindow(7).Counts["mill"]).To(gomega.Equal(uint64(20)))
}

// TestUsageOfManyHoursTakesNoRoom plays a day of windows of 5 s of 88 entries and 16
// organisations, and guards against counts that are kept for as long as their entry reports.
func TestUsageOfManyHoursTakesNoRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	const windows, entries, organisations, length = 24 * 720, 88, 16, 5 * time.Second
	c := newUsageCounts()
	report := func(number, count uint64) usage.Window {
		w := usage.Window{Number: number, Counts: make(map[string]uint64, organisations)}
		for i := range organisations {
			w.Counts["o"+strconv.Itoa(i)] = count
		}
		return w
	}
	before := heapBytes()
	for number := uint64(1); number <= windows; number++ {
		now := time.Duration(number) * length
		// In the first hour no window can be recorded.
		recorded := uint64(0)
		if number > 720 {
			recorded = number - 2
		}
		list := []usage.Window{report(number-1, 5), report(number, 3)}
		for e := range uint64(entries) {
			c.applyReport(now, entryKey{"e", e}, list, recorded)
		}
		if number == 720 {
			t.Logf("%d bytes while none can be recorded", heapBytes()-before)
			g.Expect(heapBytes()-before).To(gomega.BeNumerically("<", 28<<20), "a tenth of a keeper's memory")
			g.Expect(c.sumWindow(number - keptWindows + 1).Counts).To(gomega.HaveKeyWithValue("o0", uint64(5*entries)))
		}
	}
	g.Expect(heapBytes() - before).To(gomega.BeNumerically("<", 2<<20))
	g.Expect(c.sumWindow(windows).Counts).To(gomega.HaveKeyWithValue("o15", uint64(3*entries)))
	g.Expect(c.sumWindow(windows-resendWindows).Counts).To(gomega.HaveKeyWithValue("o15", uint64(5*entries)), "may be reported again")
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestNewLeadersReportWhatNobodyRecorded guards against windows of a time without a leader that
// are never reported.
func TestNewLeadersReportWhatNobodyRecorded(t *testing.T) {
	for _, c := range []struct{ lastFinal, recorded, before uint64 }{
		{1000, 0, 997}, {1000, 1000, 997}, {1000, 998, 997}, {1000, 990, 989}, {1000, 5, 760}, {1000, 2000, 997}, {2, 0, 0}, {2, 1, 0},
	} {
		gomega.NewWithT(t).Expect(sentBefore(c.lastFinal, c.recorded)).To(gomega.Equal(c.before), "%+v", c)
	}
}
