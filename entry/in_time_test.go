package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestInTimeFractionForgetsOldAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newInTimeTracker()
	for range 4 {
		tracker.add(0, "assistant", "urgent", false)
	}
	g.Expect(tracker.fractions("assistant")).To(gomega.Equal(map[string]float64{"urgent": 0}))
	for range 10 {
		tracker.add(10*time.Minute, "assistant", "urgent", true)
	}
	g.Expect(tracker.fractions("assistant")["urgent"]).To(gomega.BeNumerically(">", 0.99))
	g.Expect(tracker.fractions("booking")).To(gomega.BeEmpty())
}
