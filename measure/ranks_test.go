package measure

import (
	"fmt"
	"testing"
	"time"
)

const (
	seedCount     = 5
	engineCount   = 12
	traceDuration = 60 * time.Second
	warmUp        = 10 * time.Second
)

var zones = []string{"a", "b", "c", "d"}

// newPolicies makes the policies that are compared, by the names that the table
// prints: "ours" is the daemon's.
var newPolicies = map[string]func() policy{
	"fifo round robin":  func() policy { return newFIFO(false) },
	"fifo least loaded": func() policy { return newFIFO(true) },
	"ours":              func() policy { return newDaemonPolicy(assistantDocument(), "a") },
}

var policyNames = []string{"fifo round robin", "fifo least loaded", "ours"}

// mixedLoads is a load of all ranks at the given multiple of the capacity.
func mixedLoads(capacityFactor float64) []load {
	rate := capacityFactor * capacity(engineCount)
	return []load{
		{urgent, 0.3 * rate, 0, traceDuration, callerNames},
		{normal, 0.4 * rate, 0, traceDuration, callerNames},
		{draft, 0.3 * rate, 0, traceDuration, callerNames},
	}
}

func simulate(p policy, seed uint64, loads []load) []*request {
	f := newFleet([]policy{p}, engineCount, zones)
	if _, isDaemon := p.(*daemonPolicy); isDaemon {
		f.exchangeDemands()
	}
	trace := newTrace(seed, 1, loads)
	f.submitTrace(trace)
	f.run(traceDuration + 120*time.Second)
	return trace
}

func TestServiceByRank(t *testing.T) {
	d := assistantDocument()
	for _, capacityFactor := range []float64{0.7, 1, 2, 5} {
		for _, name := range policyNames {
			var inTime [rankCount][]float64
			var acceptedInTime []float64
			for seed := range uint64(seedCount) {
				trace := simulate(newPolicies[name](), seed, mixedLoads(capacityFactor))
				late, accepted := 0, 0
				for r := range rankCount {
					o := summarize(trace, d, warmUp, traceDuration, hasRank(r))
					inTime[r] = append(inTime[r], o.inTimeFraction())
					late += o.late
					accepted += o.accepted
				}
				acceptedInTime = append(acceptedInTime, 1-float64(late)/float64(accepted))
			}
			addRow("rank", fmt.Sprintf("load %.1f, %s", capacityFactor, name), "urgent %s normal %s draft %s accepted in time %s",
				medianAndWorst(inTime[urgent], true), medianAndWorst(inTime[normal], true), medianAndWorst(inTime[draft], true), medianAndWorst(acceptedInTime, true))
			if name == "ours" {
				checkLimit(t, "accepted in time", median(acceptedInTime), ">=", 0.99)
			}
		}
	}
}

// floodLoads is a load of all ranks at 0.7 of the capacity, and from 15 s on a
// flood of one rank by one caller if capacityFactor isn't 0.
func floodLoads(rank int, capacityFactor float64) []load {
	loads := mixedLoads(0.7)
	if capacityFactor > 0 {
		loads = append(loads, load{rank, capacityFactor * capacity(engineCount), 15 * time.Second, traceDuration, callerNames[:1]})
	}
	return loads
}

// floodWindowStart is where the measured window begins, 5 s into the flood.
const floodWindowStart = 20 * time.Second

func TestFloods(t *testing.T) {
	d := assistantDocument()
	for _, name := range policyNames {
		var urgentLost, kept [2][]float64
		var floorFractions [rankCount][]float64
		for seed := range uint64(seedCount) {
			withoutFlood := summarize(simulate(newPolicies[name](), seed, floodLoads(draft, 0)), d, floodWindowStart, traceDuration, hasRank(urgent))
			withFlood := summarize(simulate(newPolicies[name](), seed, floodLoads(draft, 5)), d, floodWindowStart, traceDuration, hasRank(urgent))
			urgentLost[0] = append(urgentLost[0], 1-float64(withFlood.inTime)/float64(withoutFlood.inTime))
			trace := simulate(newPolicies[name](), seed, floodLoads(urgent, 5))
			for r := range rankCount {
				o := summarize(trace, d, floodWindowStart, traceDuration, hasRank(r))
				capacityWork := capacity(engineCount) * (meanTokens + 0.1*promptTokens) * (traceDuration - floodWindowStart).Seconds()
				demandedWork := 0.0
				for _, q := range trace {
					if q.rank == r && q.arrivedAt >= floodWindowStart && q.arrivedAt < traceDuration {
						demandedWork += q.cost()
					}
				}
				floorFractions[r] = append(floorFractions[r], o.work/min(demandedWork, d.Ranks[r].Floor*capacityWork))
			}
		}
		_ = kept
		addRow("flood of draft at 5 times capacity", name, "urgent work lost %s", medianAndWorst(urgentLost[0], false))
		addRow("flood of urgent at 5 times capacity", name, "part of the floor kept: urgent %s normal %s draft %s",
			medianAndWorst(floorFractions[urgent], true), medianAndWorst(floorFractions[normal], true), medianAndWorst(floorFractions[draft], true))
		if name == "ours" {
			checkLimit(t, "urgent work lost in a flood of drafts", median(urgentLost[0]), "<=", 0.01)
			for r := range rankCount {
				checkLimit(t, "floor of "+rankNames[r], median(floorFractions[r]), ">=", 0.9)
			}
		}
	}
}

func TestZoneReclaim(t *testing.T) {
	d := assistantDocument()
	for _, notice := range []time.Duration{5 * time.Second, 0} {
		for _, name := range policyNames {
			var inTime, unansweredCounts, prefillRatio []float64
			for seed := range uint64(seedCount) {
				p := newPolicies[name]()
				f := newFleet([]policy{p}, engineCount, zones)
				if _, isDaemon := p.(*daemonPolicy); isDaemon {
					f.exchangeDemands()
				}
				trace := newTrace(seed, 1, mixedLoads(0.7))
				f.submitTrace(trace)
				f.schedule(30*time.Second, func() {
					for _, e := range f.engines {
						if e.Zone == "a" {
							f.reclaim(e, notice)
						}
					}
				})
				f.run(traceDuration + 120*time.Second)
				o := summarize(trace, d, 30*time.Second, traceDuration, hasRank(urgent))
				inTime = append(inTime, o.inTimeFraction())
				unanswered, prefilled, needed := 0, 0, 0
				for _, r := range trace {
					if !r.refused && r.finishedAt == 0 {
						unanswered++
					}
					prefilled += r.prefilledTokens
					needed += r.outputTokens
				}
				unansweredCounts = append(unansweredCounts, float64(unanswered))
				prefillRatio = append(prefillRatio, float64(prefilled)/float64(needed))
			}
			addRow(fmt.Sprintf("a zone goes with %v notice at load 0.7", notice), name, "urgent in time %s accepted and unanswered %s", medianAndWorst(inTime, true), medianAndWorst(unansweredCounts, false))
			if name == "ours" {
				checkLimit(t, "accepted and unanswered", unansweredCounts[len(unansweredCounts)-1], "<=", 0)
			}
		}
	}
}
