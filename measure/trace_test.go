package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/service"
)

// Ranks of the simulated service.
const (
	urgent = iota
	normal
	draft
	rankCount
)

var rankNames = [rankCount]string{"urgent", "normal", "draft"}

// assistantDocument is the document of the simulated service.
func assistantDocument() service.Document {
	return service.Document{
		Name: "assistant", Kind: service.Model, Models: []string{"rota-7b"},
		Zones: []string{"a", "b", "c", "d"}, Classes: []string{"small"}, ReplicasLow: 1, ReplicasHigh: 64,
		Ranks: []service.Rank{
			{Name: "urgent", Order: 1, FirstToken: time.Second, Floor: 0.5},
			{Name: "normal", Order: 2, FirstToken: 5 * time.Second, Floor: 0.2},
			{Name: "draft", Order: 3, FirstToken: 30 * time.Second, Floor: 0.1},
		},
		Calls: []service.Call{{Name: "ask", Rank: "normal", Repeatable: true}},
	}
}

// Sizes of a request, in tokens. meanTokens is the mean output; sharedTokens is
// the part of the prompt that it shares with others.
const (
	meanTokens   = 48
	promptTokens = 600
	sharedTokens = 512
)

// capacity is the requests per second that the engines can run if the shared
// part of each prompt is cached.
func capacity(engines int) float64 {
	perRequest := time.Duration(meanTokens)*decodeTime + time.Duration(promptTokens-sharedTokens)*prefillTime
	return float64(engines*slotsPerEngine) / perRequest.Seconds()
}

// load describes the arrivals of one rank.
type load struct {
	rank int
	// rate is in requests per second.
	rate       float64
	start, end time.Duration
	callers    []string
}

// newTrace returns a trace of the loads with Poisson arrivals. Each load draws
// from its own random stream, so that adding one leaves the others as they are.
func newTrace(seed uint64, entries int, loads []load) []*request {
	var trace []*request
	for i, l := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for arrivedAt := l.start; ; {
			arrivedAt += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
			if arrivedAt >= l.end {
				break
			}
			caller := l.callers[random.IntN(len(l.callers))]
			trace = append(trace, &request{
				arrivedAt: arrivedAt, rank: l.rank, caller: caller, weight: 1, entry: random.IntN(entries),
				promptTokens: promptTokens, prefixes: promptPrefix(random.IntN(40)), outputTokens: 16 + random.IntN(2*(meanTokens-16)+1),
			})
		}
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].arrivedAt < trace[j].arrivedAt })
	for i, r := range trace {
		r.id = uint64(i + 1)
	}
	return trace
}

// promptPrefix returns the blocks of the id-th shared prompt prefix.
func promptPrefix(id int) []uint64 {
	blocks := make([]uint64, 0, sharedTokens/32)
	for i := range sharedTokens / 32 {
		blocks = append(blocks, uint64(id)<<32|uint64(i)|1<<63)
	}
	return blocks
}

var callerNames = []string{"cooperative", "agency", "small1", "small2", "small3"}

// outcome counts requests by how they ended. work is the cost of the finished
// ones, waits are the times to their start.
type outcome struct {
	submitted, accepted, inTime, late int
	work                              float64
	waits                             []time.Duration
}

// inTimeFraction is the fraction of all requests whose first token was in time.
func (o *outcome) inTimeFraction() float64 { return float64(o.inTime) / float64(max(o.submitted, 1)) }

// acceptedInTimeFraction is the fraction of the accepted requests whose first
// token was in time.
func (o *outcome) acceptedInTimeFraction() float64 {
	return float64(o.inTime) / float64(max(o.accepted, 1))
}

// summarize counts the requests that match and arrived between start and end.
func summarize(trace []*request, d service.Document, start, end time.Duration, match func(*request) bool) outcome {
	var o outcome
	for _, r := range trace {
		if r.arrivedAt < start || r.arrivedAt >= end || !match(r) {
			continue
		}
		o.submitted++
		if r.refused {
			continue
		}
		o.accepted++
		if r.firstTokenAt > 0 && r.firstTokenAt-r.arrivedAt <= d.Ranks[r.rank].FirstToken {
			o.inTime++
		} else {
			o.late++
		}
		if r.finishedAt > 0 {
			o.work += r.cost()
		}
		if r.startedAt > 0 {
			o.waits = append(o.waits, r.startedAt-r.arrivedAt)
		}
	}
	return o
}

func hasRank(rank int) func(*request) bool { return func(r *request) bool { return r.rank == rank } }

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[min(int(q*float64(len(waits))), len(waits)-1)]
}

// medianAndWorst prints the median and the worst of several seeds' values.
func medianAndWorst(values []float64, worstIsLow bool) string {
	sort.Float64s(values)
	worst := values[len(values)-1]
	if worstIsLow {
		worst = values[0]
	}
	return fmt.Sprintf("%.3f (%.3f)", values[len(values)/2], worst)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// checkLimit fails the test if the value is beyond the limit; relation is ">="
// or "<=".
func checkLimit(t *testing.T, name string, got float64, relation string, limit float64) {
	t.Helper()
	if relation == ">=" && got < limit || relation == "<=" && got > limit {
		t.Errorf("%s: %.3f, want %s %.3f", name, got, relation, limit)
	}
}
