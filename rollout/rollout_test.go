package rollout

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261206") }

// maxWrong bounds the wrong ends at 20 requests a second or more, by whether the release is bad,
// as one of so many runs.
var maxWrong = map[bool]int{false: 1000, true: 50}

// drawScenario draws a rollout with or without faults. The number of requests of one run is
// bounded by 15,000.
func drawScenario(t *rapid.T) scenario {
	s := scenario{
		entries: rapid.IntRange(1, 64).Draw(t, "entries"),
		old:     rapid.IntRange(1, 60).Draw(t, "old"),
		routes:  rapid.IntRange(1, 4).Draw(t, "routes"),
		within:  time.Duration(rapid.IntRange(8, 60).Draw(t, "within")) * time.Second,
		median:  time.Duration(rapid.IntRange(10, 300).Draw(t, "median")) * ms,
		spread:  rapid.Float64Range(0.1, 0.6).Draw(t, "spread"),
		appear:  time.Duration(rapid.IntRange(0, 5000).Draw(t, "appear")) * ms,
		rate:    float64(rapid.SampledFrom([]int{1, 3, 8, 20, 50, 100, 200, 300, 1000}).Draw(t, "rate")), badRoute: -1,
		seed: rapid.Uint64().Draw(t, "seed"),
	}
	s.new = rapid.IntRange((s.old+1)/2, min(s.old+4, 40)+20).Draw(t, "new")
	s.within = max(min(s.within, time.Duration(15_000/s.rate)*time.Second), 8*time.Second)
	// A slow answer has to end well before the rollout does.
	s.median = min(s.median, s.within/6/8)
	part := func(label string, low, high float64) time.Duration {
		return time.Duration(rapid.Float64Range(low, high).Draw(t, label) * float64(s.within))
	}
	switch rapid.IntRange(0, 5).Draw(t, "bad") {
	case 0, 1: // good
	default:
		if rapid.Bool().Draw(t, "slow") {
			s.slow = 0.5
		} else {
			s.fail = rapid.Float64Range(0.3, 0.5).Draw(t, "fail")
		}
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			s.badFrom = part("badFrom", 0, 0.3)
		case 1:
			s.badAbove = rapid.Float64Range(0.05, 0.4).Draw(t, "badAbove")
			s.median = min(s.median, s.within/20/8)
		case 2:
			s.badRoute = 0
		}
	}
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		s.leaderChanges = []time.Duration{part("change", 0, 0.9)}
	case 1:
		s.leaderChanges = []time.Duration{part("change", 0, 0.4), part("change", 0.4, 0.9)}
	case 2:
		s.powerOff = part("powerOff", 0.01, 0.7)
	case 3:
		s.cutOff = part("cutOff", 0.01, 0.9)
	case 4:
		// With fewer upstreams the crash of one can't be told from a bad release.
		if s.new >= minExcluding {
			s.crash = part("crash", 0.01, 0.9)
		}
	case 5:
		s.burst = part("burst", 0.01, 0.9)
	}
	return s
}

// TestRolloutsOnAModel plays random rollouts. It guards against a bad release that gets more
// than its bound or goes on after its revert, rollouts that end twice or late, and verdicts
// against good releases and for bad ones.
func TestRolloutsOnAModel(t *testing.T) {
	type count struct{ runs, wrong int }
	counts := map[[2]bool]*count{} // by bad, and by 20 requests a second or more
	longest, outer := 0, t
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		m := play(s)
		longest = max(longest, m.bytes)
		if m.ends != 1 || m.ended > s.within {
			t.Errorf("ended %d times, at %v of %v", m.ends, m.ended, s.within)
		}
		key := [2]bool{s.bad(), s.rate >= 20}
		if counts[key] == nil {
			counts[key] = &count{}
		}
		counts[key].runs++
		if (m.end.Phase == Succeeded) == s.bad() {
			counts[key].wrong++
			outer.Logf("%v (%s) at %v, %d of %d requests: %+v", m.end.Phase, m.end.Reason, m.ended, m.exposed, m.requests, s)
			return
		}
		for _, fault := range m.faults {
			t.Errorf("%s", fault)
		}
		if bound := testLimits.bound(float64(m.requests)); s.bad() && float64(m.exposed) > bound {
			t.Errorf("%d attempts at a bad release, bound %.0f: %s at %v", m.exposed, bound, m.end.Reason, m.ended)
		}
	})
	for key, c := range counts {
		t.Logf("bad %v, 20 requests a second or more %v: %d of %d with the wrong end", key[0], key[1], c.wrong, c.runs)
		if key[1] && c.wrong*maxWrong[key[0]] > c.runs {
			t.Errorf("more than one of %d", maxWrong[key[0]])
		}
	}
	t.Logf("longest report: %d bytes", longest)
}
