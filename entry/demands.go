package entry

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/share"
)

// Interval at which demand is published and capacity split, and lease of a
// published report.
const (
	demandInterval = 500 * time.Millisecond
	demandLease    = 3 * time.Second
)

// demandExchange publishes the demand of this entry's callers to the other
// entries by gossip, and stores theirs. Only the dispatch actor uses it.
type demandExchange struct {
	entry       string
	incarnation uint64
	gossip      *gossip.Host
	sequence    uint64
	lastTick    clock.Instant
	published   map[string]publishedReport
	// reports holds the reports of all entries, this one's too, by record ID.
	reports map[string]share.Report
}

type publishedReport struct {
	demands []share.Demand
	at      clock.Instant
}

func newDemandExchange(entry string, incarnation uint64, g *gossip.Host) *demandExchange {
	return &demandExchange{
		entry:       entry,
		incarnation: incarnation,
		gossip:      g,
		published:   map[string]publishedReport{},
		reports:     map[string]share.Report{},
	}
}

// tick publishes this entry's demand and has the dispatcher split the capacity
// again, by the reports of all entries.
func (d *demandExchange) tick(now clock.Instant, dispatcher *dispatch.Dispatcher) {
	if now-d.lastTick < demandInterval {
		return
	}
	d.lastTick = now
	services := map[string][]share.Report{}
	for _, report := range dispatcher.Demand(now, d.entry) {
		d.publish(now, report)
		services[report.Service] = nil
	}
	for _, r := range d.reports {
		if _, known := services[r.Service]; known {
			services[r.Service] = append(services[r.Service], r)
		}
	}
	for name, reports := range services {
		dispatcher.SetDemands(now, d.entry, name, reports)
	}
}

// publish sends a report if it changed or if half of its lease has passed.
func (d *demandExchange) publish(now clock.Instant, r share.Report) {
	id := d.entry + "/" + r.Service
	d.reports[id] = r
	previous, ok := d.published[id]
	if ok && similar(previous.demands, r.Demands) && now-previous.at < demandLease/2 {
		return
	}
	d.published[id] = publishedReport{r.Demands, now}
	d.sequence++
	d.gossip.Publish(member.Record{
		Key:       member.Key{Kind: member.Demand, ID: id},
		Version:   member.Version{Incarnation: d.incarnation, Sequence: d.sequence},
		Remaining: demandLease,
		Payload:   wire.MustEncode(&r),
	})
}

// store stores another entry's report.
func (d *demandExchange) store(r member.Record) {
	var report share.Report
	if err := wire.Decode(r.Payload, &report); err != nil {
		klog.ErrorS(err, "invalid demand record ignored", "record", r.ID)
		return
	}
	if report.Entry != d.entry {
		d.reports[r.ID] = report
	}
}

func (d *demandExchange) remove(r member.Record) {
	if _, own := d.published[r.ID]; !own {
		delete(d.reports, r.ID)
	}
}

// similarFraction is the relative change of a rate up to which no new report is
// sent.
const similarFraction = 0.1

// similar reports whether two lists have the same keys, with rates that differ by
// at most similarFraction.
func similar(a, b []share.Demand) bool {
	if len(a) != len(b) {
		return false
	}
	rates := make(map[share.Key]float64, len(a))
	for _, demand := range a {
		rates[demand.Key] = demand.Rate
	}
	for _, demand := range b {
		rate, ok := rates[demand.Key]
		if !ok || math.Abs(rate-demand.Rate) > similarFraction*max(rate, demand.Rate) {
			return false
		}
	}
	return true
}
