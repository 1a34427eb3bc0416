package measure

import (
	"testing"
	"time"
)

// TestPromptTokensComputed compares the prompt tokens that engines compute with
// the minimum, at which each shared prefix is computed once by one engine. The
// load has 40 prefixes, which together fit into each engine's cache.
func TestPromptTokensComputed(t *testing.T) {
	for _, name := range policyNames {
		var ratio []float64
		for seed := range uint64(seedCount) {
			p := newPolicies[name]()
			f := newFleet([]policy{p}, engineCount, zones)
			if _, isDaemon := p.(*daemonPolicy); isDaemon {
				f.exchangeDemands()
			}
			trace := newTrace(seed, 1, mixedLoads(0.7))
			f.submitTrace(trace)
			f.run(traceDuration + 60*time.Second)
			computed, minimum := 0, 0
			seen := map[uint64]bool{}
			for _, r := range trace {
				computed += r.prefilledTokens
				prefix := r.prefixes[len(r.prefixes)-1]
				minimum += r.promptTokens
				if seen[prefix] {
					minimum -= sharedTokens
				}
				seen[prefix] = true
			}
			ratio = append(ratio, float64(computed)/float64(minimum))
		}
		addRow("prompt tokens computed, against each start computed once", name, "%s", medianAndWorst(ratio, false))
		if name == "ours" {
			checkLimit(t, "prompt tokens computed", median(ratio), "<=", 1.2)
		}
	}
}
