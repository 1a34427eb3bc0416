package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/share"
)

// Entries report their demands to each other every demandInterval; a report
// arrives after demandDelay.
const (
	demandInterval = 500 * time.Millisecond
	demandDelay    = 200 * time.Millisecond
)

// newDaemonPolicies returns the policies of n entries.
func newDaemonPolicies(n int) []policy {
	list := make([]policy, 0, n)
	for range n {
		list = append(list, newDaemonPolicy(assistantDocument(), "a"))
	}
	return list
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// exchangeDemands delivers all entries' demand reports to all entries, and
// repeats itself.
func (f *fleet) exchangeDemands() {
	var reports []share.Report
	for i, p := range f.entries {
		reports = append(reports, p.(*daemonPolicy).dispatcher.Demand(f.now, entryName(i))...)
	}
	f.schedule(f.now+demandDelay, func() {
		for i, p := range f.entries {
			p.(*daemonPolicy).dispatcher.SetDemands(f.now, entryName(i), "assistant", reports)
		}
	})
	f.schedule(f.now+demandInterval, f.exchangeDemands)
}

// callerLoads is the load of four small callers, each below its fair share,
// with or without a large caller that sends 50 times its share.
func callerLoads(withLarge bool) []load {
	fairShare := capacity(engineCount) / 5
	var loads []load
	for _, c := range callerNames[1:] {
		loads = append(loads, load{normal, 0.8 * fairShare, 0, traceDuration, []string{c}})
	}
	if withLarge {
		loads = append(loads, load{normal, 50 * fairShare, 0, traceDuration, callerNames[:1]})
	}
	return loads
}

func simulateCallers(seed uint64, entries int, withLarge bool) []*request {
	f := newFleet(newDaemonPolicies(entries), engineCount, zones)
	f.exchangeDemands()
	trace := newTrace(seed, entries, callerLoads(withLarge))
	f.submitTrace(trace)
	f.run(traceDuration + 60*time.Second)
	return trace
}

func isSmallCaller(r *request) bool { return r.caller != callerNames[0] }

func TestSmallCallersKeepTheirShare(t *testing.T) {
	d := assistantDocument()
	for _, n := range []int{1, 2, 8, 64} {
		var served, waitRatio, largeWorkFraction, inTime []float64
		for seed := range uint64(seedCount) {
			withoutLarge := summarize(simulateCallers(seed, n, false), d, warmUp, traceDuration, isSmallCaller)
			trace := simulateCallers(seed, n, true)
			small := summarize(trace, d, warmUp, traceDuration, isSmallCaller)
			large := summarize(trace, d, warmUp, traceDuration, func(r *request) bool { return !isSmallCaller(r) })
			served = append(served, float64(small.accepted)/float64(small.submitted))
			waitRatio = append(waitRatio, float64(quantile(small.waits, 0.99)+firstTokenTime)/float64(quantile(withoutLarge.waits, 0.99)+firstTokenTime))
			largeWorkFraction = append(largeWorkFraction, large.work/(small.work+large.work))
			inTime = append(inTime, float64(small.inTime+large.inTime)/float64(small.accepted+large.accepted))
		}
		addRow("a large caller at 50 times its share", fmt.Sprintf("ours, %d entries", n), "small served %s p99 against calm %s large's part of the work %s accepted in time %s",
			medianAndWorst(served, true), medianAndWorst(waitRatio, false), medianAndWorst(largeWorkFraction, false), medianAndWorst(inTime, true))
		if n <= 8 {
			checkLimit(t, fmt.Sprintf("small callers served, %d entries", n), median(served), ">=", 0.95)
		}
	}
}

// firstTokenTime is the time from the start of a request to its first token,
// with the prompt's shared prefix cached.
const firstTokenTime = (promptTokens-sharedTokens)*prefillTime + decodeTime
