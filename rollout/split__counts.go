package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Began is passed to Answered as the time of an attempt whose time was given to Began.
const Began time.Duration = -1

const (
	// verdictInterval bounds how often an entry tests its own counts.
	verdictInterval = 100 * time.Millisecond
	// reportedUpstreams bounds the upstreams in a report on one service, and lateBuckets is
	// how far above the median answers make an upstream one of them: twice the time.
	reportedUpstreams = 12
	lateBuckets       = 2
	// maxUpstreams bounds the upstreams of a route that are counted apart.
	maxUpstreams = 512
)

// splitCounts is what an entry has seen of a running rollout.
type splitCounts struct {
	requests uint64
	tally    *tally
	// upstreams are those of the new release by route.
	upstreams map[string]map[uint32]*counts
	// names is the number of upstreams that requests were sent to.
	names     map[uint32]struct{}
	checkedAt clock.Instant
}

func newSplitCounts() *splitCounts {
	return &splitCounts{tally: newTally(), upstreams: map[string]map[uint32]*counts{}, names: map[uint32]struct{}{}}
}

// upstream returns the counts of an upstream of the new release; nil beyond the bound.
func (c *splitCounts) upstream(route string, hash uint32) *counts {
	list := c.upstreams[route]
	if list == nil {
		list = map[uint32]*counts{}
		c.upstreams[route] = list
	}
	u := list[hash]
	if u == nil && len(list) < maxUpstreams {
		u = &counts{}
		list[hash] = u
	}
	return u
}

func hashUpstream(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// counting returns the state of a service whose rollout runs, nil without.
func (s *Split) counting(service string) *splitService {
	if state := s.services[service]; state != nil && state.rollout.Phase == Running {
		return state
	}
	return nil
}

// Sent records an attempt at an upstream.
func (s *Split) Sent(now clock.Instant, service, route, release, upstream string) {
	state := s.counting(service)
	if state == nil {
		return
	}
	tally, _ := state.work.tally.route(now, route)
	stratum := tally.at(tally.newest)
	if release != state.rollout.To {
		stratum.old.sent++
		tally.total.old.sent++
		return
	}
	stratum.new.sent++
	tally.total.new.sent++
	if names := state.work.names; len(names) < maxUpstreams {
		names[hashUpstream(upstream)] = struct{}{}
	}
}

// Begin records the first event of a stream, so that its time counts before the stream ends.
// Answered is then called at the end with Began as its time.
func (s *Split) Begin(now clock.Instant, service, route, release, upstream string, took time.Duration) {
	s.record(now, service, route, release, upstream, true, max(took, 0))
}

// Answered records the end of an attempt. took is the time to the first event of a stream, or
// to the whole of another answer, or Began if Begin was told it; good is false for failures of
// the upstream.
func (s *Split) Answered(now clock.Instant, service, route, release, upstream string, good bool, took time.Duration) {
	if took != Began || !good {
		s.record(now, service, route, release, upstream, good, took)
	}
}

func (s *Split) record(now clock.Instant, service, route, release, upstream string, good bool, took time.Duration) {
	state := s.counting(service)
	if state == nil {
		return
	}
	tally, name := state.work.tally.route(now, route)
	stratum := tally.at(tally.newest)
	if release != state.rollout.To {
		stratum.old.record(good, took)
		tally.total.old.record(good, took)
		return
	}
	stratum.new.record(good, took)
	tally.total.new.record(good, took)
	hash := hashUpstream(upstream)
	if u := state.work.upstream(name, hash); u != nil {
		u.record(good, took)
		stratum.upstream(hash).record(good, took)
	}
	s.check(now, state)
}

// record adds one answer. An answer that broke off after it began was counted with its time.
func (c *counts) record(good bool, took time.Duration) {
	if took != Began {
		c.answered++
	}
	if good {
		c.times[timeBucket(took)]++
	} else if c.bad < c.answered {
		c.bad++
	}
}

// check stops the new release at this entry if the entry's own counts convict it.
func (s *Split) check(now clock.Instant, state *splitService) {
	if state.stopped || now-state.work.checkedAt < verdictInterval {
		return
	}
	state.work.checkedAt = now
	_, state.stopped = state.work.tally.verdict(now, conviction, len(state.work.names), 0)
}

// Report returns the counts of all attempts, so that lost and repeated reports cost nothing. It
// is nil without a running rollout.
func (s *Split) Report(now clock.Instant) *Report {
	var report *Report
	for name := range s.services {
		state := s.counting(name)
		if state == nil {
			continue
		}
		if report == nil {
			report = &Report{}
		}
		s.check(now, state)
		report.Rollouts = append(report.Rollouts, state.report())
	}
	if report != nil {
		slices.SortFunc(report.Rollouts, func(a, b OrderReport) int { return cmp.Compare(a.Number, b.Number) })
	}
	return report
}

func (s *splitService) report() OrderReport {
	report := OrderReport{Number: s.rollout.Number, Requests: s.work.requests, Stopped: s.stopped}
	worst := s.work.worst()
	for name, route := range s.work.tally.routes {
		for _, side := range []struct {
			counts *counts
			new    bool
		}{{&route.total.old, false}, {&route.total.new, true}} {
			c := side.counts
			if c.sent == 0 && c.answered == 0 {
				continue
			}
			r := RouteReport{Route: name, New: side.new, Sent: uint64(c.sent), Answered: uint64(c.answered), Bad: uint64(c.bad)}
			r.First, r.Times = encodeTimes(&c.times)
			if side.new {
				r.Upstreams = worst[name]
			}
			report.Routes = append(report.Routes, r)
		}
	}
	slices.SortFunc(report.Routes, func(a, b RouteReport) int { return cmp.Compare(a.Route, b.Route) })
	return report
}

// worst returns by route the upstreams with the most bad and late answers: the judge tests
// whether the others convict the release too, and needs no counts of those without any.
func (c *splitCounts) worst() map[string][]UpstreamReport {
	type candidate struct {
		route string
		hash  uint32
		grave uint32
	}
	var list []candidate
	for route, upstreams := range c.upstreams {
		median, timed := c.tally.routes[route].total.old.median()
		for hash, u := range upstreams {
			grave := u.bad
			if timed {
				grave += u.above(int(median+1) + lateBuckets)
			}
			if grave > 0 {
				list = append(list, candidate{route, hash, grave})
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.grave, a.grave), cmp.Compare(a.route, b.route), cmp.Compare(a.hash, b.hash))
	})
	worst := map[string][]UpstreamReport{}
	for _, w := range list[:min(len(list), reportedUpstreams)] {
		u := c.upstreams[w.route][w.hash]
		report := UpstreamReport{Hash: w.hash, Answered: uint64(u.answered), Bad: uint64(u.bad)}
		report.First, report.Times = encodeTimes(&u.times)
		worst[w.route] = append(worst[w.route], report)
	}
	return worst
}
