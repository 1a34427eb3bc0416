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

// Ranks of the measured service.
const (
	urgent = iota
	normal
	draft
	ranks
)

var rankNames = [ranks]string{"urgent", "normal", "draft"}

// limaDocument is the assistant of the first deployment.
func limaDocument() service.Document {
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

// Shape of a request.
const (
	meanTokens   = 48
	promptTokens = 600
	sharedTokens = 512
)

// capacity is the requests per second that the engines can run, with prompts
// that are cached.
func capacity(engines int) float64 {
	each := time.Duration(meanTokens)*decodeTime + time.Duration(promptTokens-sharedTokens)*prefillTime
	return float64(engines*slots) / each.Seconds()
}

// load describes the arrivals of one rank.
type load struct {
	rank int
	// rate is in requests per second.
	rate     float64
	from, to time.Duration
	callers  []string
}

// arrivals makes a Poisson trace of the loads. Each load draws from its own
// random stream, so that adding one leaves the others as they are.
func arrivals(seed uint64, entries int, loads []load) []*request {
	var trace []*request
	for i, l := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := l.from; ; {
			at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
			if at >= l.to {
				break
			}
			caller := l.callers[random.IntN(len(l.callers))]
			trace = append(trace, &request{
				at: at, rank: l.rank, caller: caller, weight: 1, entry: random.IntN(entries),
				prompt: promptTokens, prefixes: prompt(random.IntN(40)), tokens: 16 + random.IntN(2*(meanTokens-16)+1),
			})
		}
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].at < trace[j].at })
	for i, r := range trace {
		r.id = uint64(i + 1)
	}
	return trace
}

// prompt returns the prefix blocks of a prompt that shares its start with all
// others of its kind.
func prompt(kind int) []uint64 {
	blocks := make([]uint64, 0, sharedTokens/32)
	for i := range sharedTokens / 32 {
		blocks = append(blocks, uint64(kind)<<32|uint64(i)|1<<63)
	}
	return blocks
}

var fiveCallers = []string{"cooperative", "agency", "small1", "small2", "small3"}

// outcome counts what became of a rank's requests.
type outcome struct {
	asked, accepted, inTime, late int
	work                          float64
	waits                         []time.Duration
}

// inTimeShare is the part of all requests that was answered in time.
func (o *outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(o.asked, 1)) }

// acceptedInTime is the part of the accepted requests that was in time.
func (o *outcome) acceptedInTime() float64 { return float64(o.inTime) / float64(max(o.accepted, 1)) }

// judge sums up the requests that arrived within the window and that match.
func judge(trace []*request, d service.Document, from, to time.Duration, match func(*request) bool) outcome {
	var o outcome
	for _, r := range trace {
		if r.at < from || r.at >= to || !match(r) {
			continue
		}
		o.asked++
		if r.refused {
			continue
		}
		o.accepted++
		if r.firstToken > 0 && r.firstToken-r.at <= d.Ranks[r.rank].FirstToken {
			o.inTime++
		} else {
			o.late++
		}
		if r.finished > 0 {
			o.work += r.cost()
		}
		if r.started > 0 {
			o.waits = append(o.waits, r.started-r.at)
		}
	}
	return o
}

func ofRank(rank int) func(*request) bool { return func(r *request) bool { return r.rank == rank } }

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[min(int(q*float64(len(waits))), len(waits)-1)]
}

// spread is the median and the worst of several seeds.
func spread(values []float64, worstIsLow bool) string {
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

// hold checks a target that is met.
func hold(t *testing.T, what string, got float64, how string, want float64) {
	t.Helper()
	if how == ">=" && got < want || how == "<=" && got > want {
		t.Errorf("%s: %.3f, want %s %.3f", what, got, how, want)
	}
}
