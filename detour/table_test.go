package detour

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)
}

func helperIn(zone string, n int) Helper { return Helper{Address: address(1000 + n), Zone: zone} }

func tableWithHelpers() *Table {
	t := New()
	t.SetHelpers(0, []Helper{helperIn("a", 1), helperIn("a", 2), helperIn("b", 3), helperIn("c", 4)})
	return t
}

// TestDownUpstreamIsNoBrokenPath guards against an entry that takes an upstream that nobody
// reaches for one behind a broken path, and asks all helpers again for each request.
func TestDownUpstreamIsNoBrokenPath(t *testing.T) {
	g := gomega.NewWithT(t)
	table := tableWithHelpers()
	g.Expect(table.Helpers(0, address(1))).To(gomega.HaveLen(maxTried))
	table.Down(0, address(1))
	g.Expect(table.Helpers(downTime-1, address(1))).To(gomega.BeEmpty())
	g.Expect(table.Helpers(downTime, address(1))).To(gomega.HaveLen(maxTried))
	g.Expect(table.Direct(0, address(1))).To(gomega.BeTrue())
	g.Expect(table.Isolated()).To(gomega.BeFalse())
}

// TestIsolatedEntryUsesHelpersUntilItReachesAnUpstream guards against an entry that tries each
// upstream itself first while it reaches none, and against one that stays with its helpers.
func TestIsolatedEntryUsesHelpersUntilItReachesAnUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	table := tableWithHelpers()
	for n := 1; n <= isolationFaults; n++ {
		g.Expect(table.Direct(0, address(n))).To(gomega.BeTrue())
		g.Expect(table.Helped(0, address(n))).To(gomega.Equal(n == isolationFaults))
	}
	g.Expect(table.Direct(0, address(50))).To(gomega.BeFalse(), "an upstream that wasn't tried")
	now, probes := clock.Instant(0), 0
	for ; now < 10*time.Second; now += 100 * time.Millisecond {
		probes += len(table.Probes(now))
	}
	g.Expect(probes).To(gomega.BeNumerically("~", int(10*time.Second/probeInterval), 1))
	g.Expect(table.Reached(now, address(2))).To(gomega.BeTrue())
	g.Expect(table.Direct(now, address(50))).To(gomega.BeTrue())
	g.Expect(table.Direct(now, address(1))).To(gomega.BeFalse(), "its own path wasn't tried yet")
	due := map[netip.AddrPort]bool{}
	for end := now + probeInterval; now <= end; now += 100 * time.Millisecond {
		for _, a := range table.Probes(now) {
			due[a] = true
		}
	}
	g.Expect(due).To(gomega.HaveLen(isolationFaults - 1))
}

// TestLostPacketsIsolateNobody guards against an entry that counts as isolated since packets of
// its dials are lost now and then.
func TestLostPacketsIsolateNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	const loss = 0.03 // of a connection's first two packets, at 1% and more
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := tableWithHelpers()
		now := clock.Instant(0)
		for range 5000 {
			now += time.Duration(random.IntN(20)) * time.Millisecond
			for _, a := range append(table.Probes(now), address(random.IntN(22))) {
				if !table.Direct(now, a) {
					continue
				}
				if random.Float64() < loss {
					table.Helped(now, a)
				} else {
					table.Reached(now, a)
				}
			}
			g.Expect(table.Isolated()).To(gomega.BeFalse(), "seed %d", seed)
		}
	}
}

// TestSilentUpstreamsAreCheckedOnceASecond guards against many dials while all upstreams of a
// service stand still for a moment.
func TestSilentUpstreamsAreCheckedOnceASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	table, checks := tableWithHelpers(), 0
	for now := clock.Instant(time.Hour); now < time.Hour+1500*time.Millisecond; now += 100 * time.Millisecond {
		if len(table.Suspects(now, []netip.AddrPort{address(1), address(2)})) > 0 {
			checks++
		}
	}
	g.Expect(checks).To(gomega.Equal(2))
}

// TestQuestionsAreBounded guards against an entry that asks upstreams of which it knows nothing
// bad, or asks many at once when many paths are broken.
func TestQuestionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := []netip.AddrPort{address(1), address(2), address(3), address(4), address(5)}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		table, asked := tableWithHelpers(), []clock.Instant{}
		ask := func(now clock.Instant, questions int) {
			for range questions {
				asked = append(asked, now)
			}
			if n := len(asked); n > maxQuestions {
				g.Expect(now-asked[n-1-maxQuestions]).To(gomega.BeNumerically(">=", questionWindow), "seed %d", seed)
			}
		}
		for now := clock.Instant(0); now < 20*time.Second; now += 50 * time.Millisecond {
			trouble := now > 2*time.Second
			for _, a := range table.Probes(now) {
				ask(now, 1)
				if random.IntN(3) == 0 {
					table.Reached(now, a)
				} else {
					table.Unanswered(now)
				}
			}
			if !trouble {
				table.Answered(now, address(random.IntN(30)), true)
				table.Connected(now, address(random.IntN(30)))
				continue
			}
			for _, a := range table.Suspects(now, silent) {
				ask(now, judgeQuestions)
				if random.IntN(2) == 0 {
					table.Judged(now, a)
				}
			}
			if random.IntN(10) == 0 {
				table.Helped(now, address(random.IntN(30)))
			}
		}
		g.Expect(asked[0]).To(gomega.BeNumerically(">", 2*time.Second), "nothing was wrong before")
	}
}

// TestPathsThatCarryAnswersAgainReturnTogether guards against an entry that goes on through
// helpers for as long as it takes to ask all upstreams, and against one that takes all paths
// for whole as a few are.
func TestPathsThatCarryAnswersAgainReturnTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	const broken = 160
	table := tableWithHelpers()
	for n := range broken {
		table.Judged(0, address(n))
	}
	g.Expect(table.Isolated()).To(gomega.BeTrue())
	for n := range 2 * returnAnswers {
		table.Reached(0, address(n))
		if n%2 == 1 {
			table.Unanswered(0)
		}
	}
	g.Expect(table.Broken()).To(gomega.Equal(broken - 2*returnAnswers))
	for n := range returnAnswers {
		table.Reached(time.Second, address(broken-1-n))
		table.Unanswered(time.Second - 1)
	}
	g.Expect(table.Broken()).To(gomega.BeZero(), "what was asked before says nothing of the paths now")
}

// TestDialsProveNothing guards against an entry that takes a path for whole as it accepts
// connections, and against one that stays with helpers as it judged one path only.
func TestDialsProveNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := tableWithHelpers()
	g.Expect(table.Judged(0, address(1))).To(gomega.BeTrue())
	table.Connected(0, address(1))
	table.Answered(0, address(1), true)
	g.Expect(table.Direct(0, address(1))).To(gomega.BeFalse())
	g.Expect(table.Direct(0, address(2))).To(gomega.BeFalse())
	table.Helped(0, address(2))
	g.Expect(table.Reached(0, address(2))).To(gomega.BeTrue())
	g.Expect(table.Direct(0, address(3))).To(gomega.BeTrue())
	g.Expect(table.Direct(0, address(1))).To(gomega.BeFalse())
}

// TestPathsAreJudgedFromOtherZones guards against entries of one zone that have all lost their ways
// and judge them by each other only.
func TestPathsAreJudgedFromOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	table := tableWithHelpers()
	for range 4 {
		zones := map[string]bool{}
		for range maxSuspects {
			zones[table.zoneOf(table.JudgeHelpers(0, address(1))[0])] = true
		}
		g.Expect(zones).To(gomega.HaveLen(2))
	}
}

// TestHelpersThatFailComeLast guards against requests that wait for a helper that is gone.
func TestHelpersThatFailComeLast(t *testing.T) {
	g := gomega.NewWithT(t)
	table := tableWithHelpers()
	first := table.Helpers(0, address(1))[0]
	g.Expect(table.WantsHelpers(0)).To(gomega.BeFalse())
	table.HelperFailed(0, first)
	g.Expect(table.Helpers(0, address(1))).NotTo(gomega.ContainElement(first))
	g.Expect(table.WantsHelpers(0)).To(gomega.BeTrue())
	g.Expect(table.Helpers(helperRest, address(1))[:nearHelpers]).To(gomega.ContainElement(first))
	g.Expect(table.WantsHelpers(helperRest)).To(gomega.BeFalse())
}

// TestNearHelpersTakeTurns guards against one helper that carries all requests of an entry.
func TestNearHelpersTakeTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	table, firsts := tableWithHelpers(), map[netip.AddrPort]int{}
	for n := range 100 {
		firsts[table.Helpers(0, address(n))[0]]++
	}
	g.Expect(firsts).To(gomega.HaveLen(nearHelpers))
	for _, times := range firsts {
		g.Expect(times).To(gomega.Equal(50))
	}
}

// TestHelpersAreSpread guards against a few entries that help all others, and against helpers
// of one zone only, which may lose its paths as a whole.
func TestHelpersAreSpread(t *testing.T) {
	for _, size := range []struct{ entries, zones int }{{6, 3}, {8, 4}, {88, 4}, {294, 6}} {
		t.Run(fmt.Sprintf("%d entries in %d zones", size.entries, size.zones), func(t *testing.T) {
			g := gomega.NewWithT(t)
			zone := func(n int) string { return fmt.Sprint("z", n%size.zones) }
			firsts := map[netip.AddrPort]int{}
			for asker := range size.entries {
				var others []Helper
				for n := range size.entries {
					if n != asker {
						others = append(others, helperIn(zone(n), n))
					}
				}
				chosen := Choose(Asker{Name: fmt.Sprint("e", asker), Zone: zone(asker)}, others)
				g.Expect(len(chosen)).To(gomega.Equal(min(MaxHelpers, size.entries-1)))
				g.Expect(chosen[0].Zone).To(gomega.Equal(zone(asker)))
				zones := map[string]bool{}
				for _, h := range chosen {
					zones[h.Zone] = true
				}
				g.Expect(len(zones)).To(gomega.BeNumerically(">=", 3))
				firsts[chosen[0].Address]++
			}
			for _, n := range firsts {
				g.Expect(n).To(gomega.BeNumerically("<=", 8))
			}
		})
	}
}

// BenchmarkChoose guards against a leader whose processor is full with choices: each of 300
// entries asks about every five seconds.
func BenchmarkChoose(b *testing.B) {
	var candidates []Helper
	for n := range 300 {
		candidates = append(candidates, helperIn(fmt.Sprint("z", n%6), n))
	}
	for b.Loop() {
		Choose(Asker{Name: "e", Zone: "z1"}, candidates)
	}
}

// TestCrashedUpstreamsAskNoHelpers guards against entries that all ask others for upstreams
// that have crashed: with hundreds of entries that is more work than the requests.
func TestCrashedUpstreamsAskNoHelpers(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		upstreams, crashed = 160, 24
		requests           = 2000
		// maxAsked is the fraction of the failed dials: those that follow another one.
		maxAsked = 0.2
	)
	random := rand.New(rand.NewPCG(1, 1))
	table, failed, asked := tableWithHelpers(), 0, 0
	for range requests {
		for {
			n := random.IntN(upstreams)
			if n >= crashed {
				// Most requests find an open connection.
				if random.IntN(4) == 0 {
					table.Reached(0, address(n))
				} else {
					table.Answered(0, address(n), false)
				}
				break
			}
			failed++
			if table.Unreached(address(n)) {
				asked++
				table.Down(0, address(n))
			}
		}
	}
	g.Expect(float64(asked)).To(gomega.BeNumerically("<", maxAsked*float64(failed)), "%d of %d", asked, failed)
	for n := range minUnreached {
		g.Expect(table.Unreached(address(n))).To(gomega.Equal(n == minUnreached-1), "nothing is reached in between")
	}
}
