package measure

import (
	"fmt"
	"testing"
	"time"
)

const (
	seeds    = 5
	engines  = 12
	duration = 60 * time.Second
	warmUp   = 10 * time.Second
)

var zones = []string{"a", "b", "c", "d"}

// makers are the policies that are compared.
var makers = map[string]func() policy{
	"fifo round robin":  func() policy { return newFIFO(false) },
	"fifo least loaded": func() policy { return newFIFO(true) },
	"ours":              func() policy { return newOurs(limaDocument(), "a") },
}

var makerNames = []string{"fifo round robin", "fifo least loaded", "ours"}

// mixed is a load of all ranks at a part of the capacity.
func mixed(factor float64) []load {
	all := factor * capacity(engines)
	return []load{
		{urgent, 0.3 * all, 0, duration, fiveCallers},
		{normal, 0.4 * all, 0, duration, fiveCallers},
		{draft, 0.3 * all, 0, duration, fiveCallers},
	}
}

func runLoads(p policy, seed uint64, loads []load) []*request {
	f := newFleet([]policy{p}, engines, zones)
	if _, isOurs := p.(*ours); isOurs {
		f.exchange()
	}
	trace := arrivals(seed, 1, loads)
	f.arrive(trace)
	f.run(duration + 120*time.Second)
	return trace
}

func TestServiceByRank(_ *testing.T) {
	d := limaDocument()
	for _, factor := range []float64{0.7, 1, 2, 5} {
		for _, name := range makerNames {
			var shares [ranks][]float64
			var accepted []float64
			for seed := range uint64(seeds) {
				trace := runLoads(makers[name](), seed, mixed(factor))
				late, kept := 0, 0
				for r := range ranks {
					o := judge(trace, d, warmUp, duration, ofRank(r))
					shares[r] = append(shares[r], o.inTimeShare())
					if seed == 0 {
						fmt.Printf("   rank %d asked %d accepted %d late %d work %.2f\n", r, o.asked, o.accepted, o.late, o.work/(50*capacity(engines)*(48+60)))
					}
					late += o.late
					kept += o.accepted
				}
				accepted = append(accepted, 1-float64(late)/float64(kept))
			}
			fmt.Printf("%-18s load %.1f urgent %s normal %s draft %s accepted in time %s\n", name, factor,
				spread(shares[urgent], true), spread(shares[normal], true), spread(shares[draft], true), spread(accepted, true))
		}
	}
}
