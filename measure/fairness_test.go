package measure

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/share"
)

// Exchange of demands between entries.
const (
	demandInterval = 500 * time.Millisecond
	demandDelay    = 200 * time.Millisecond
)

// newEntries makes entries that exchange their demands.
func newEntries(n int) []policy {
	list := make([]policy, 0, n)
	for range n {
		list = append(list, newOurs(limaDocument(), "a"))
	}
	return list
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// exchange spreads the entries' demands, late.
func (f *fleet) exchange() {
	var reports []share.Report
	for i, p := range f.entries {
		reports = append(reports, p.(*ours).d.Demand(f.now, entryName(i))...)
	}
	f.at(f.now+demandDelay, func() {
		for i, p := range f.entries {
			p.(*ours).d.SetDemands(f.now, entryName(i), "assistant", reports)
		}
	})
	f.at(f.now+demandInterval, f.exchange)
}

// crowd is the load of four small callers, with or without a large one that
// asks 50 times its share.
func crowd(large bool) []load {
	each := capacity(engines) / 5
	var loads []load
	for _, c := range fiveCallers[1:] {
		loads = append(loads, load{normal, 0.8 * each, 0, duration, []string{c}})
	}
	if large {
		loads = append(loads, load{normal, 50 * each, 0, duration, fiveCallers[:1]})
	}
	return loads
}

func runCrowd(seed uint64, entries int, large bool) []*request {
	f := newFleet(newEntries(entries), engines, zones)
	f.exchange()
	trace := arrivals(seed, entries, crowd(large))
	f.arrive(trace)
	f.run(duration + 60*time.Second)
	return trace
}

func isSmall(r *request) bool { return r.caller != fiveCallers[0] }

func TestSmallCallers(t *testing.T) {
	d := limaDocument()
	for _, n := range []int{1, 2, 8, 64} {
		var served, ratio, largeWork, inTime []float64
		for seed := range uint64(seeds) {
			calm := judge(runCrowd(seed, n, false), d, warmUp, duration, isSmall)
			trace := runCrowd(seed, n, true)
			small := judge(trace, d, warmUp, duration, isSmall)
			big := judge(trace, d, warmUp, duration, func(r *request) bool { return !isSmall(r) })
			served = append(served, float64(small.accepted)/float64(small.asked))
			ratio = append(ratio, float64(quantile(small.waits, 0.99)+firstTokenTime)/float64(quantile(calm.waits, 0.99)+firstTokenTime))
			largeWork = append(largeWork, big.work/(small.work+big.work))
			inTime = append(inTime, float64(small.inTime+big.inTime)/float64(small.accepted+big.accepted))
		}
		row("a large caller at 50 times its share", fmt.Sprintf("ours, %d entries", n), "small served %s p99 against calm %s large's part of the work %s accepted in time %s",
			spread(served, true), spread(ratio, false), spread(largeWork, false), spread(inTime, true))
		if n <= 8 {
			hold(t, fmt.Sprintf("small callers served, %d entries", n), median(served), ">=", 0.95)
		}
	}
}

// firstTokenTime is the time from the start of a request to its first token.
const firstTokenTime = (promptTokens-sharedTokens)*prefillTime + decodeTime
