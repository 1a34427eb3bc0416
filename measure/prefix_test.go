package measure

import (
	"testing"
	"time"
)

// TestTokensComputedTwice counts the prompt tokens that engines compute though
// another engine, or the same one earlier, had them: with five times as many
// prompt starts as engines, each of which fits into a cache once.
func TestTokensComputedTwice(t *testing.T) {
	for _, name := range makerNames {
		var ratio []float64
		for seed := range uint64(seeds) {
			p := makers[name]()
			f := newFleet([]policy{p}, engines, zones)
			if _, isOurs := p.(*ours); isOurs {
				f.exchange()
			}
			trace := arrivals(seed, 1, mixed(0.7))
			f.arrive(trace)
			f.run(duration + 60*time.Second)
			computed, unavoidable := 0, 0
			seen := map[uint64]bool{}
			for _, r := range trace {
				computed += r.recomputed
				last := r.prefixes[len(r.prefixes)-1]
				unavoidable += r.prompt
				if seen[last] {
					unavoidable -= sharedTokens
				}
				seen[last] = true
			}
			ratio = append(ratio, float64(computed)/float64(unavoidable))
		}
		row("prompt tokens computed, against each start computed once", name, "%s", spread(ratio, false))
		if name == "ours" {
			hold(t, "prompt tokens computed", median(ratio), "<=", 1.2)
		}
	}
}
