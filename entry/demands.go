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

// Times of the exchange of demands.
const (
	demandInterval = 500 * time.Millisecond
	demandLease    = 3 * time.Second
)

// demands exchanges with the other entries what callers ask for. It belongs to
// the host's actor.
type demands struct {
	entry       string
	incarnation uint64
	gossip      *gossip.Host
	sequence    uint64
	last        clock.Instant
	sent        map[string]sentReport
	// reports are those of all entries, by record ID.
	reports map[string]share.Report
}

type sentReport struct {
	items []share.Demand
	at    clock.Instant
}

func newDemands(entry string, incarnation uint64, g *gossip.Host) *demands {
	return &demands{
		entry:       entry,
		incarnation: incarnation,
		gossip:      g,
		sent:        map[string]sentReport{},
		reports:     map[string]share.Report{},
	}
}

// tick publishes this entry's demand and splits the capacity anew.
func (d *demands) tick(now clock.Instant, dispatcher *dispatch.Dispatcher) {
	if now-d.last < demandInterval {
		return
	}
	d.last = now
	services := map[string][]share.Report{}
	for _, own := range dispatcher.Demand(now, d.entry) {
		d.publish(now, own)
		services[own.Service] = nil
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

// publish sends a report if it changed or if its lease is half over.
func (d *demands) publish(now clock.Instant, r share.Report) {
	id := d.entry + "/" + r.Service
	d.reports[id] = r
	before, ok := d.sent[id]
	if ok && similar(before.items, r.Demands) && now-before.at < demandLease/2 {
		return
	}
	d.sent[id] = sentReport{r.Demands, now}
	d.sequence++
	d.gossip.Publish(member.Record{
		Key:       member.Key{Kind: member.Demand, ID: id},
		Version:   member.Version{Incarnation: d.incarnation, Sequence: d.sequence},
		Remaining: demandLease,
		Payload:   wire.MustEncode(&r),
	})
}

// take keeps another entry's report.
func (d *demands) take(r member.Record) {
	var report share.Report
	if err := wire.Decode(r.Payload, &report); err != nil {
		klog.ErrorS(err, "demand record dropped", "record", r.ID)
		return
	}
	if report.Entry != d.entry {
		d.reports[r.ID] = report
	}
}

func (d *demands) drop(r member.Record) {
	if _, own := d.sent[r.ID]; !own {
		delete(d.reports, r.ID)
	}
}

// similarPart is the change of a demand, as a part of it, that isn't worth a
// message.
const similarPart = 0.1

// similar reports whether two reports differ by little.
func similar(a, b []share.Demand) bool {
	if len(a) != len(b) {
		return false
	}
	rates := make(map[share.Key]float64, len(a))
	for _, i := range a {
		rates[i.Key] = i.Rate
	}
	for _, i := range b {
		rate, ok := rates[i.Key]
		if !ok || math.Abs(rate-i.Rate) > similarPart*max(rate, i.Rate) {
			return false
		}
	}
	return true
}
