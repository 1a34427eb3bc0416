package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// ServiceState is what the leader knows of a service.
type ServiceState struct {
	// Upstreams is the number of serving upstreams by release, and Running the number of
	// requests under way there, as all entries report them.
	Upstreams, Running map[string]int
	// Applied is the number of entries that have the newest view in force, of Entries.
	Applied, Entries int
	// Removed says that no configuration names the service any more.
	Removed bool
}

// others counts the upstreams, or the requests, of all releases but one.
func others(counts map[string]int, release string) (n int) {
	for r, count := range counts {
		if r != release {
			n += count
		}
	}
	return n
}

// Judge decides at the leader on the steps of all rollouts. It isn't safe for concurrent use.
type Judge struct {
	limits Limits
	cases  map[uint64]*judgeCase
}

// NewJudge returns a judge without evidence.
func NewJudge(l Limits) *Judge { return &Judge{limits: l, cases: map[uint64]*judgeCase{}} }

const (
	// maxCases bounds the rollouts, and maxIncarnations the earlier incarnations of an entry
	// whose late reports are told from new ones.
	maxCases        = maxServices
	maxIncarnations = 4
	// freshReport is the age up to which a report counts as recent: four reports may be lost.
	freshReport = 1500 * time.Millisecond
	// lossMemory is how long upstreams that are lost excuse failures.
	lossMemory = 4 * time.Second
	// repeatDelay is the time after which a command that had no effect is issued again.
	repeatDelay = 500 * time.Millisecond
	// rateWindow is the time over which the recent rate of requests is measured.
	rateWindow = 2 * time.Second
)

// judgeCase is the evidence on one rollout.
type judgeCase struct {
	rollout Rollout
	tally   *tally
	entries map[string]*entryCounts
	// stepSeenAt is when this judge first saw the step, and stepAnswered how many answers
	// of the new release it knew of then.
	stepSeenAt   clock.Instant
	stepAnswered uint32
	// issued is the last command, if its effect isn't seen yet.
	issued   Command
	issuedAt clock.Instant
	// upstreams are the recent numbers of the new release's upstreams, and requests those
	// of all requests.
	upstreams []sample
	requests  []sample
	finding   Finding
}

type sample struct {
	at clock.Instant
	n  int
}

// keep adds a sample and drops those before the start; one as old as the start stays.
func keep(list []sample, s sample, start clock.Instant) []sample {
	for len(list) > 1 && list[1].at <= start {
		list = list[1:]
	}
	return append(list, s)
}

// entryCounts is the last report of an entry.
type entryCounts struct {
	incarnation uint64
	past        []uint64
	requests    uint64
	routes      map[routeKey]*routeCounts
	reportedAt  clock.Instant
}

type routeKey struct {
	route string
	new   bool
}

type routeCounts struct {
	counts
	upstreams map[uint32]counts
}

// Observe adds an entry's report, which may be late or repeated.
func (j *Judge) Observe(now clock.Instant, entry string, incarnation uint64, r Report) {
	if !j.limits.Enabled() {
		return
	}
	for i := range r.Rollouts {
		report := &r.Rollouts[i]
		c := j.cases[report.Number]
		if c == nil {
			if len(j.cases) >= maxCases {
				continue
			}
			c = &judgeCase{tally: newTally(), entries: map[string]*entryCounts{}}
			j.cases[report.Number] = c
		}
		c.observe(now, entry, incarnation, report)
	}
}

func (c *judgeCase) observe(now clock.Instant, entry string, incarnation uint64, r *OrderReport) {
	e := c.entries[entry]
	switch {
	case e == nil:
		e = &entryCounts{}
		c.entries[entry] = e
	case e.incarnation == incarnation:
	case slices.Contains(e.past, incarnation):
		return
	default:
		past := append(e.past, e.incarnation)
		// The requests of the earlier incarnation still count for the bound.
		c.addRequests(entry, e.requests)
		e = &entryCounts{past: past[max(len(past)-maxIncarnations, 0):]}
		c.entries[entry] = e
	}
	first := e.routes == nil
	routes := make(map[routeKey]*routeCounts, len(r.Routes))
	type change struct {
		key       routeKey
		counts    counts
		upstreams map[uint32]counts
	}
	changes := make([]change, 0, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		key := routeKey{route.Route, route.New}
		now := &routeCounts{counts: decodeCounts(route.Sent, route.Answered, route.Bad, route.First, route.Times)}
		before := e.routes[key]
		if before == nil {
			before = &routeCounts{}
		}
		// An upstream may be left out of a report in which others are worse.
		now.upstreams = maps.Clone(before.upstreams)
		d, ok := now.since(&before.counts)
		if !ok {
			return
		}
		diff := change{key: key, counts: d}
		for _, u := range route.Upstreams {
			if now.upstreams == nil {
				now.upstreams = map[uint32]counts{}
			}
			if diff.upstreams == nil {
				diff.upstreams = map[uint32]counts{}
			}
			count, earlier := decodeCounts(0, u.Answered, u.Bad, u.First, u.Times), before.upstreams[u.Hash]
			now.upstreams[u.Hash] = count
			if d, ok := count.since(&earlier); ok {
				diff.upstreams[u.Hash] = d
			}
		}
		routes[key] = now
		changes = append(changes, diff)
	}
	// Routes never vanish from an entry's reports.
	if r.Requests < e.requests || len(routes) < len(e.routes) {
		return
	}
	e.incarnation, e.requests, e.routes, e.reportedAt = incarnation, r.Requests, routes, now
	for _, diff := range changes {
		c.add(now, first, diff.key, &diff.counts, diff.upstreams)
	}
}

// addRequests keeps the requests of an incarnation that has ended, as an entry of its own.
func (c *judgeCase) addRequests(entry string, n uint64) {
	const ended = "\x00ended"
	e := c.entries[entry+ended]
	if e == nil {
		e = &entryCounts{reportedAt: -freshReport}
		c.entries[entry+ended] = e
	}
	e.requests += n
}

func (c *judgeCase) add(now clock.Instant, first bool, key routeKey, d *counts, upstreams map[uint32]counts) {
	route, _ := c.tally.route(now, key.route)
	s := route.at(route.newest)
	if first {
		s = &route.history
	}
	if !key.new {
		s.old.add(d)
		route.total.old.add(d)
		return
	}
	s.new.add(d)
	route.total.new.add(d)
	for hash, u := range upstreams {
		s.upstream(hash).add(&u)
	}
}

// sumRequests returns the requests of the service since the order.
func (c *judgeCase) sumRequests() (n uint64) {
	for _, e := range c.entries {
		n += e.requests
	}
	return n
}

// reporting counts the entries with a recent report.
func (c *judgeCase) reporting(now clock.Instant) (n int) {
	for _, e := range c.entries {
		if now-e.reportedAt <= freshReport {
			n++
		}
	}
	return n
}

// Decide returns the commands that are due. elapsed is the time since an order.
func (j *Judge) Decide(now clock.Instant, v View, state map[string]ServiceState, elapsed func(Rollout) time.Duration) []Command {
	if !j.limits.Enabled() {
		return nil
	}
	running := make(map[uint64]bool, len(v.Rollouts))
	var commands []Command
	for _, r := range v.Rollouts {
		if r.Phase != Running {
			continue
		}
		running[r.Number] = true
		c := j.cases[r.Number]
		if c == nil {
			c = &judgeCase{tally: newTally(), entries: map[string]*entryCounts{}}
			j.cases[r.Number] = c
		}
		st, known := state[r.Service]
		c.see(now, r, st)
		command, due := j.decide(now, c, st, known, max(elapsed(r), r.Elapsed))
		if due && !c.repeats(now, command) {
			c.issued, c.issuedAt = command, now
			commands = append(commands, command)
		}
	}
	maps.DeleteFunc(j.cases, func(number uint64, _ *judgeCase) bool { return !running[number] })
	return commands
}

// see notes what has changed of the rollout.
func (c *judgeCase) see(now clock.Instant, r Rollout, st ServiceState) {
	if c.rollout.Number == 0 || c.rollout.Step != r.Step {
		_, answers := c.tally.sum()
		c.stepSeenAt, c.stepAnswered = now, answers.answered
		c.issued = Command{}
	}
	c.rollout = r
	c.upstreams = keep(c.upstreams, sample{now, st.Upstreams[r.To]}, now-lossMemory)
	c.requests = keep(c.requests, sample{now, int(min(c.sumRequests(), math.MaxInt32))}, now-rateWindow)
}

// lost is the number of the new release's upstreams that were lost lately.
func (c *judgeCase) lost() int {
	most := 0
	for _, s := range c.upstreams {
		most = max(most, s.n)
	}
	return most - c.upstreams[len(c.upstreams)-1].n
}

// repeats reports whether the command was issued a moment ago, so that it may still take effect.
func (c *judgeCase) repeats(now clock.Instant, command Command) bool {
	if now-c.issuedAt >= repeatDelay {
		return false
	}
	if a, b := command.Advance, c.issued.Advance; a != nil {
		// An end that was issued stands.
		return c.issued.End != nil || b != nil && a.Step == b.Step
	}
	a, b := command.End, c.issued.End
	return b != nil && a.Phase == b.Phase
}

// Evidence describes what the judge knows of a rollout, for logs and operators.
type Evidence struct {
	Number uint64 `json:"number"`
	// Requests are those of the service since the order.
	Requests uint64 `json:"requests"`
	// Exposed are the attempts at the new release, and ExposureBound how many are allowed as
	// of now.
	Exposed       uint32  `json:"exposed"`
	ExposureBound float64 `json:"exposureBound"`
	// Reporting are the entries whose reports are recent.
	Reporting int `json:"reporting"`
	// Releases has the counts of the new release under its name, and those of all others
	// under "".
	Releases map[string]ReleaseEvidence `json:"releases"`
	// Finding is the comparison that came closest to a verdict.
	Finding Finding `json:"finding"`
}

// ReleaseEvidence are the counts of a release since the order.
type ReleaseEvidence struct {
	Sent     uint32 `json:"sent"`
	Answered uint32 `json:"answered"`
	Bad      uint32 `json:"bad"`
	// Median is that of the good answers' times, 0 with less than 10.
	Median time.Duration `json:"median"`
}

// Evidence describes the evidence on the running rollout of a service.
func (j *Judge) Evidence(now clock.Instant, service string) (Evidence, bool) {
	for _, c := range j.cases {
		if c.rollout.Service != service || c.rollout.Phase != Running {
			continue
		}
		old, fresh := c.tally.sum()
		requests := c.sumRequests()
		return Evidence{
			Number: c.rollout.Number, Requests: requests,
			Exposed: fresh.sent, ExposureBound: j.limits.bound(float64(requests)),
			Reporting: c.reporting(now),
			Releases:  map[string]ReleaseEvidence{"": describe(&old), c.rollout.To: describe(&fresh)},
			Finding:   c.finding,
		}, true
	}
	return Evidence{}, false
}

func describe(c *counts) ReleaseEvidence {
	e := ReleaseEvidence{Sent: c.sent, Answered: c.answered, Bad: c.bad}
	if median, ok := c.median(); ok {
		e.Median = medianTime(median).Round(time.Millisecond)
	}
	return e
}

// bound is how many attempts a bad release may get of so many requests.
func (l Limits) bound(requests float64) float64 { return l.ExposeShare*requests + l.ExposeSlack }
