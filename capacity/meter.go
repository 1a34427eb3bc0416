package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Answer is one answer that an entry has measured.
type Answer struct {
	Service, Upstream string
	Incarnation       uint64
	// Load is that of a Sample.
	Load int
	// Took is the measured time, and Expected the time that a model expects of any upstream at
	// this load, apart from the time that is the same for all requests.
	Took, Expected time.Duration
	// Work is the time for which the upstream is busy with this answer alone, as the model expects
	// it: at plain services PlainTime by the slots.
	Work time.Duration
	// Weight is how much the answer counts, from 0 to 1; at 0 only its work does.
	Weight float64
	// Exact says that Expected is the whole time. Otherwise the answer counts less the shorter
	// Expected is.
	Exact bool
}

const (
	// firstStep is the time to the first token that doesn't depend on the prompt: one step of an
	// engine, and the way to it and back.
	firstStep = 6 * time.Millisecond
	// halfWeight is the expected time from which on an answer counts by more than half: noise
	// in the way there is a few milliseconds.
	halfWeight = 20 * time.Millisecond
)

type meterKey struct {
	service, upstream string
	incarnation       uint64
	load              int
}

type meterSum struct {
	items []item
	work  time.Duration
}

// maxMeasured bounds the answers of an upstream at a load that one report sums up.
const maxMeasured = 32

// Meter sums up an entry's answers between two reports. It isn't safe for concurrent use.
type Meter struct {
	items  map[meterKey]*meterSum
	number uint64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{items: map[meterKey]*meterSum{}} }

// Add adds an answer. Answers at a further upstream or load are left out if there are
// MaxSamples already.
func (m *Meter) Add(a Answer) {
	weight, expected := a.Weight, a.Expected
	if !a.Exact {
		weight *= float64(a.Expected) / float64(a.Expected+halfWeight)
		expected += firstStep
	}
	key := meterKey{a.Service, a.Upstream, a.Incarnation, a.Load}
	sum, ok := m.items[key]
	if !ok {
		if len(m.items) >= MaxSamples {
			return
		}
		sum = &meterSum{}
		m.items[key] = sum
	}
	sum.work += a.Work
	if a.Took > 0 && expected > 0 && weight > 0 && len(sum.items) < maxMeasured {
		sum.items = append(sum.items, item{weight: weight, log: math.Log(float64(a.Took) / float64(expected))})
	}
}

// Report returns what was added since the last report.
func (m *Meter) Report() *Report {
	m.number++
	report := &Report{Number: m.number}
	if len(m.items) == 0 {
		return report
	}
	report.Samples = map[string][]Sample{}
	for key, sum := range m.items {
		part := 0.5
		if key.load == 0 {
			part = lowPart
		}
		weight, log := 0, 0.0
		if len(sum.items) > 0 {
			weight = min(max(int(math.Round(weightOf(sum.items)*weightUnit)), 1), maxWeight)
			log = math.Round(quantile(sum.items, part) * logUnit)
		}
		report.Samples[key.service] = append(report.Samples[key.service], Sample{
			Upstream: key.upstream, Incarnation: key.incarnation, Load: key.load,
			Weight: weight, Log: int(min(max(log, -maxLog), maxLog)), Work: int(min(sum.work.Milliseconds(), maxWork)),
		})
	}
	for _, samples := range report.Samples {
		slices.SortFunc(samples, func(a, b Sample) int {
			return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Load, b.Load))
		})
	}
	clear(m.items)
	return report
}
