package control

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/quota"
)

// TestCallsOfAllEntriesStayBounded bounds what a leader has to answer in a second
// at the sizes of the deployments, up to that of the two-year plan.
func TestCallsOfAllEntriesStayBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const keepers, loops = 6, 2
	for _, entries := range []int{8, 32, 85, 294, 689} {
		reports := float64(entries) / reportInterval(entries).Seconds()
		polls := entries * loops / keepers
		answers := float64(polls) / holdTime(polls).Seconds()
		wakeUps := float64(polls) / wakeDelay(polls).Seconds()
		t.Logf("%d entries: %.0f reports, %.0f polls a second, at most %.0f with changes all the time", entries, reports, answers, wakeUps)
		g.Expect(reports).To(gomega.BeNumerically("<=", 800))
		g.Expect(answers).To(gomega.BeNumerically("<=", 400))
		g.Expect(wakeUps).To(gomega.BeNumerically("<=", 1000))
		g.Expect(2 * reportInterval(entries)).To(gomega.BeNumerically("<", quota.Lease))
	}
	g.Expect(reportInterval(8)).To(gomega.Equal(300 * time.Millisecond))
	g.Expect(holdTime(4)).To(gomega.Equal(300 * time.Millisecond))
	g.Expect(wakeDelay(4)).To(gomega.Equal(20 * time.Millisecond))
}
