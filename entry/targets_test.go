package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTargetsForgetOldAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	targets := newTargets()
	for range 4 {
		targets.add(0, "assistant", "urgent", false)
	}
	g.Expect(targets.inTime("assistant")).To(gomega.Equal(map[string]float64{"urgent": 0}))
	for range 10 {
		targets.add(10*time.Minute, "assistant", "urgent", true)
	}
	g.Expect(targets.inTime("assistant")["urgent"]).To(gomega.BeNumerically(">", 0.99))
	g.Expect(targets.inTime("booking")).To(gomega.BeEmpty())
}
