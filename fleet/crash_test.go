package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// contactTime is within which the entries must act on the evidence of all.
const contactTime = 3 * second

// TestPromptPartThatCrashesEnginesIsRefusedByAllEntries guards against incident
// BUDGET: requests that share one part of their prompts, no two alike, crashed
// one engine after the other, as no entry refused them.
func TestPromptPartThatCrashesEnginesIsRefusedByAllEntries(t *testing.T) {
	for _, c := range []struct {
		entries, engines int
		crashesPerSecond float64
	}{{6, 18, 1.2}, {6, 18, 4}, {1, 6, 0.7}, {40, 60, 3}} {
		for seed := uint64(1); seed <= 10; seed++ {
			// The popularity of a document decides how soon an answer clears it.
			documents := []int{3, 30, 300, 3000, 30000}[seed%5]
			t.Run(fmt.Sprintf("%d entries, %v a second, seed %d", c.entries, c.crashesPerSecond, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				sound := &requestKind{
					perSecond: 3 * float64(c.engines), target: 2 * second, commonTokens: 130, documents: documents, documentTokens: 300, ownTokens: 600, outputTokens: 300,
				}
				crashing := &requestKind{
					perSecond: c.crashesPerSecond, target: 2 * second, commonTokens: 130, documents: 1, documentTokens: 300, ownTokens: 600, outputTokens: 300,
					crashes: true, commonID: 1 << 32,
				}
				e := newEmulation(seed, c.entries, c.engines, sound, crashing)
				for len(e.crashes) < 5 && e.now < 60*second {
					e.simulate(0, 100*time.Millisecond)
				}
				g.Expect(len(e.crashes)).To(gomega.BeNumerically("<=", 8), "crashes until the fifth and 100 ms on")
				fifth := clock.Instant(60 * second)
				if len(e.crashes) >= 5 {
					fifth = e.crashes[4]
				}
				e.simulate(contactTime, 20*second)
				late := 0
				for _, at := range crashing.received {
					if at > fifth+contactTime {
						late++
					}
				}
				g.Expect(late).To(gomega.BeNumerically("<=", 3), "engines that received a crashing request, %d crashed", len(e.crashes))
				g.Expect(float64(sound.started)).To(gomega.BeNumerically(">=", 0.9*float64(sound.arrivals)), "sound requests with the same first part")
				g.Expect(float64(sound.quarantined)).To(gomega.BeNumerically("<=", 0.01*float64(sound.arrivals)), "sound requests that were blamed")
			})
		}
	}
}
