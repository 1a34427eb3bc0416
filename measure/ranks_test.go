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

func TestServiceByRank(t *testing.T) {
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
					late += o.late
					kept += o.accepted
				}
				accepted = append(accepted, 1-float64(late)/float64(kept))
			}
			row("rank", fmt.Sprintf("load %.1f, %s", factor, name), "urgent %s normal %s draft %s accepted in time %s",
				spread(shares[urgent], true), spread(shares[normal], true), spread(shares[draft], true), spread(accepted, true))
			if name == "ours" {
				hold(t, "accepted in time", median(accepted), ">=", 0.99)
			}
		}
	}
}

// flood is a calm load of all ranks with a flood of one in the middle.
func flood(rank int, factor float64) []load {
	loads := mixed(0.7)
	if factor > 0 {
		loads = append(loads, load{rank, factor * capacity(engines), 15 * time.Second, duration, fiveCallers[:1]})
	}
	return loads
}

const floodFrom = 20 * time.Second

func TestFloods(t *testing.T) {
	d := limaDocument()
	for _, name := range makerNames {
		var lost, kept [2][]float64
		var floors [ranks][]float64
		for seed := range uint64(seeds) {
			calm := judge(runLoads(makers[name](), seed, flood(draft, 0)), d, floodFrom, duration, ofRank(urgent))
			low := judge(runLoads(makers[name](), seed, flood(draft, 5)), d, floodFrom, duration, ofRank(urgent))
			lost[0] = append(lost[0], 1-float64(low.inTime)/float64(calm.inTime))
			trace := runLoads(makers[name](), seed, flood(urgent, 5))
			for r := range ranks {
				o := judge(trace, d, floodFrom, duration, ofRank(r))
				work := capacity(engines) * (meanTokens + 0.1*promptTokens) * (duration - floodFrom).Seconds()
				asked := 0.0
				for _, q := range trace {
					if q.rank == r && q.at >= floodFrom && q.at < duration {
						asked += q.cost()
					}
				}
				floors[r] = append(floors[r], o.work/min(asked, d.Ranks[r].Floor*work))
			}
		}
		_ = kept
		row("flood of draft at 5 times capacity", name, "urgent work lost %s", spread(lost[0], false))
		row("flood of urgent at 5 times capacity", name, "part of the floor kept: urgent %s normal %s draft %s",
			spread(floors[urgent], true), spread(floors[normal], true), spread(floors[draft], true))
		if name == "ours" {
			hold(t, "urgent work lost in a flood of drafts", median(lost[0]), "<=", 0.01)
			for r := range ranks {
				hold(t, "floor of "+rankNames[r], median(floors[r]), ">=", 0.9)
			}
		}
	}
}

func TestZoneReclaim(t *testing.T) {
	d := limaDocument()
	for _, notice := range []time.Duration{5 * time.Second, 0} {
		for _, name := range makerNames {
			var inTime, lost, twice []float64
			for seed := range uint64(seeds) {
				p := makers[name]()
				f := newFleet([]policy{p}, engines, zones)
				if _, isOurs := p.(*ours); isOurs {
					f.exchange()
				}
				trace := arrivals(seed, 1, mixed(0.7))
				f.arrive(trace)
				f.at(30*time.Second, func() {
					for _, e := range f.engines {
						if e.Zone == "a" {
							f.reclaim(e, notice)
						}
					}
				})
				f.run(duration + 120*time.Second)
				o := judge(trace, d, 30*time.Second, duration, ofRank(urgent))
				inTime = append(inTime, o.inTimeShare())
				unanswered, computed, needed := 0, 0, 0
				for _, r := range trace {
					if !r.refused && r.finished == 0 {
						unanswered++
					}
					computed += r.recomputed
					needed += r.tokens
				}
				lost = append(lost, float64(unanswered))
				twice = append(twice, float64(computed)/float64(needed))
			}
			row(fmt.Sprintf("a zone goes with %v notice at load 0.7", notice), name, "urgent in time %s accepted and unanswered %s", spread(inTime, true), spread(lost, false))
			if name == "ours" {
				hold(t, "accepted and unanswered", lost[len(lost)-1], "<=", 0)
			}
		}
	}
}
