package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
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
				e.simulateUntilCrashes(5, 60*second, 100*time.Millisecond)
				g.Expect(len(e.crashes)).To(gomega.BeNumerically("<=", 8), "crashes until the fifth and 100 ms on")
				fifth := clock.Instant(60 * second)
				if len(e.crashes) >= 5 {
					fifth = e.crashes[4]
				}
				e.simulate(contactTime, 20*second)
				g.Expect(crashing.receivedAfter(fifth+contactTime)).To(gomega.BeNumerically("<=", 3), "engines that received a crashing request, %d crashed", len(e.crashes))
				g.Expect(float64(sound.started)).To(gomega.BeNumerically(">=", 0.9*float64(sound.arrivals)), "sound requests with the same first part")
				g.Expect(float64(sound.quarantined)).To(gomega.BeNumerically("<=", 0.01*float64(sound.arrivals)), "sound requests that were blamed")
			})
		}
	}
}

// TestRequestThatCrashesUpstreamsIsRefusedByAllEntries guards against incident BUDGET
// of plain services: one request that came again at any entry, also several times at
// once, ended all upstreams of its service over and over.
func TestRequestThatCrashesUpstreamsIsRefusedByAllEntries(t *testing.T) {
	for _, c := range []struct {
		entries, upstreams int
		perSecond          float64
		burst              int
	}{{6, 4, 0.7, 1}, {6, 4, 4, 1}, {6, 4, 30, 1}, {6, 4, 1, 4}, {6, 4, 3, 8}, {40, 12, 2, 12}} {
		for seed := uint64(1); seed <= 10; seed++ {
			t.Run(fmt.Sprintf("%d entries, %v a second in bursts of %d, seed %d", c.entries, c.perSecond, c.burst, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				sound := &requestKind{perSecond: 5 * float64(c.upstreams), target: 2 * second, commonTokens: 130, documents: 30, documentTokens: 300, ownTokens: 600, outputTokens: 10}
				crashing := &requestKind{
					perSecond: c.perSecond, target: 2 * second, documents: 1, crashes: true, same: true, burst: c.burst, crashAfter: 60 * time.Millisecond,
				}
				e := newEmulation(seed, c.entries, c.upstreams, sound, crashing)
				e.simulateUntilCrashes(suspect.QuarantineCrashes, 60*second, 10*time.Millisecond)
				g.Expect(len(e.crashes)).To(gomega.BeNumerically(">=", suspect.QuarantineCrashes))
				third := e.crashes[suspect.QuarantineCrashes-1]
				e.simulate(contactTime, 20*second)
				g.Expect(crashing.receivedAfter(third+contactTime)).To(gomega.BeNumerically("<=", 3), "upstreams that received the crashing request, %d crashed", len(e.crashes))
				g.Expect(float64(sound.quarantined)).To(gomega.BeNumerically("<=", 0.01*float64(sound.arrivals)), "sound requests that were blamed")
			})
		}
	}
}

// TestRarePartsBesideABadOneAreServed has a caller whose prompts begin with a part
// of few requests, some of which contain a part that crashes engines: the sound
// ones must not be refused with them.
func TestRarePartsBesideABadOneAreServed(t *testing.T) {
	for _, perSecond := range []float64{0.3, 0.6, 1.5, 4} {
		for seed := uint64(1); seed <= 10; seed++ {
			t.Run(fmt.Sprintf("%v a second, seed %d", perSecond, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				kind := func(perSecond float64, documents int, commonID uint64) *requestKind {
					return &requestKind{
						perSecond: perSecond, target: 2 * second, commonTokens: 130, documents: documents, documentTokens: 300, ownTokens: 600, outputTokens: 300,
						commonID: commonID,
					}
				}
				const rarePart = 77
				most, rare, crashing := kind(54, 300, 0), kind(perSecond, 10, rarePart), kind(0, 1, rarePart)
				crashing.perSecond, crashing.crashes = 1e-9, true
				e := newEmulation(seed, 6, 18, most, rare, crashing)
				e.simulate(0, 20*second)
				crashing.perSecond = 1.2
				e.scheduleArrivals(crashing)
				e.simulateUntilCrashes(5, 40*second, 100*time.Millisecond)
				e.simulate(2*contactTime, 40*second)
				g.Expect(float64(rare.started)).To(gomega.BeNumerically(">=", 0.5*float64(rare.arrivals)), "of the requests with the rare part; %d were suspected", rare.quarantined)
			})
		}
	}
}

// TestBrokenAnswerClearsNothing ends requests with the bad part by answers that broke
// off after their head had reached the caller.
func TestBrokenAnswerClearsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(8, 100_000, member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1), member("u4", 4, 1))
	ask := func(now clock.Instant, id, part uint64) string {
		t := newTicket(id)
		t.Repeatable = false
		t.PromptParts = []call.PromptPart{{ID: part, Tokens: 10}, {ID: 1 << 40, Tokens: 10}}
		return destination(f.Submit(now, t))
	}
	now := clock.Instant(second)
	for id := uint64(1); id <= suspect.QuarantineCrashes; id++ {
		at := ask(now, id, 66)
		now += second / 10
		f.Failed(now, id, retry.Broken)
		f.Probed(now, at, 1, true)
		now += second / 10
		ask(now, 100+id, 7)
		f.Finish(now+second/10, 100+id, true, true)
		now += second
		ask(now, 200+id, 8)
		f.Finish(now, 200+id, false, false)
		ask(now, 300+id, 66)
		f.Finish(now+second/10, 300+id, false, false)
		now += second
	}
	g.Expect(ask(now, 999, 66)).To(gomega.Equal(result.Suspected.String()))
}
