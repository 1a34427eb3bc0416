package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/detour"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/suspect"
)

// leaderState is what a leader derives from the entries' reports. Each term
// starts with an empty one.
type leaderState struct {
	term uint64
	// startedAt is when the state began to be collected.
	startedAt clock.Instant
	ledger    *quota.Ledger
	// reports holds the newest report of each entry.
	reports   map[entryKey]*entryReport
	lastSweep clock.Instant
	work      *upstreamWork
	// suspects is what the entries have seen of upstreams' crashes.
	suspects *suspect.Ledger
	// named are the limits that upstreams name.
	named *limit.Board
	// shares are those of the organisations in saturated services.
	shares organisationShares
	// paces is what the entries measured of the upstreams.
	paces *capacity.Board
	// limits are the quotas of revision in units per second, by organisation.
	revision *config.Revision
	limits   map[string]float64
	// lastArrivals is when each service last had requests.
	lastArrivals map[string]clock.Instant
	// judge decides on the rollouts, by the reports of this term.
	judge rolloutJudge
}

// entryKey identifies one run of an entry.
type entryKey struct {
	entry       string
	incarnation uint64
}

type entryReport struct {
	AccountRequest
	receivedAt clock.Instant
	// promptRates are the prompt tokens per second by service, smoothed
	// because one report covers only a few requests.
	promptRates map[string]float64
}

func newLeaderState(now clock.Instant, term uint64, slack float64) *leaderState {
	return &leaderState{term: term, startedAt: now, ledger: quota.NewLedger(now, slack), reports: map[entryKey]*entryReport{}, work: newUpstreamWork(), suspects: suspect.New(), named: limit.NewBoard(), shares: newOrganisationShares(), paces: capacity.NewBoard(term), lastArrivals: map[string]clock.Instant{}}
}

// reportMaxAge is how long an entry's report counts towards the load.
const reportMaxAge = 2 * time.Second

// reportRetention is how long the report of an entry that is gone is kept.
const reportRetention = 30 * time.Second

// reportSweepInterval is the time between two sweeps for entries that are gone,
// which visit all entries.
const reportSweepInterval = 250 * time.Millisecond

// promptSmoothing is the weight of a new report in promptRates: it averages
// over about ten reports, which is three seconds.
const promptSmoothing = 0.1

// oddReportInterval is the least time between two log lines on parts that can't be used.
const oddReportInterval = time.Second

// serveAccount records an entry's usage and, if this keeper leads, applies the
// rest of its report and grants quotas.
func (c *Control) serveAccount(_ context.Context, body []byte) (any, error) {
	var request AccountRequest
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	if request.odd != nil && c.oddReports.Allow() {
		klog.InfoS("part of an entry's report can't be used", "entry", request.Entry, "err", request.odd)
	}
	v, _ := c.options.Keeper.View()
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := entryKey{request.Entry, request.Incarnation}
	c.usageCounts.applyReport(now, entry, request.Usage, v.UsageWindow)
	c.entryClocks.observe(now, entry, request.Wall)
	if !v.Leading || request.UsageOnly {
		return &AccountReply{Leader: v.Leader, Term: v.Term}, nil
	}
	state := c.leaderStateFor(now, v)
	if err := state.setConfig(v.Config); err != nil {
		return nil, err
	}
	if request.Releases != nil {
		state.judge.Observe(now, request.Entry, request.Incarnation, *request.Releases)
	}
	reply := state.applyReport(now, request)
	if runs(v.Rollouts) {
		reply.NextReport = rolloutReportInterval
	}
	return reply, nil
}

// serveReserve takes a request's cost from its organisation's pool, if this
// keeper leads.
func (c *Control) serveReserve(_ context.Context, body []byte) (any, error) {
	var request ReserveRequest
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	v, _ := c.options.Keeper.View()
	if !v.Leading {
		return nil, errors.New("this keeper isn't the leader")
	}
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.leaderStateFor(now, v)
	if err := state.setConfig(v.Config); err != nil {
		return nil, err
	}
	limit, ok := state.limits[request.Organisation]
	if !ok {
		return &ReserveReply{OK: true}, nil
	}
	reservation := state.ledger.Reserve(now, request.Organisation, limit, request.Cost)
	return &ReserveReply{OK: reservation.OK, RetryAfter: reservation.RetryAfter, Limit: limit, Remaining: reservation.Remaining}, nil
}

// leaderStateFor returns the state of the view's term, and creates it if need
// be. The caller holds the lock.
func (c *Control) leaderStateFor(now clock.Instant, view keeper.View) *leaderState {
	if c.leaderState == nil || c.leaderState.term != view.Term {
		c.leaderState = newLeaderState(now, view.Term, c.options.QuotaSlack)
		c.leaderState.judge = rollout.NewJudge(c.options.Rollouts)
		klog.InfoS("leader starts to collect the entries' reports", "instance", c.options.Name, "term", view.Term)
	}
	return c.leaderState
}

// setConfig decodes a configuration and its quotas, if its number differs from
// that of the current one.
func (s *leaderState) setConfig(put config.Put) error {
	if put.Number == 0 || (s.revision != nil && s.revision.Number == put.Number) {
		return nil
	}
	r, err := decodePut(put)
	if err != nil {
		return err
	}
	s.revision = r
	s.limits = make(map[string]float64, len(r.Organisations))
	for _, org := range r.Organisations {
		if org.Rate > 0 {
			s.limits[org.Name] = org.Rate
		}
	}
	return nil
}

// applyReport stores an entry's report and returns the reply with its grants.
func (s *leaderState) applyReport(now clock.Instant, request AccountRequest) *AccountReply {
	key := entryKey{request.Entry, request.Incarnation}
	report, ok := s.reports[key]
	if !ok {
		report = &entryReport{promptRates: map[string]float64{}}
		s.reports[key] = report
	}
	report.AccountRequest, report.receivedAt = request, now
	// These are stored in work, usageCounts, suspects, named, judge and paces.
	report.Busy, report.Usage, report.Suspects, report.Limits, report.Releases, report.Capacity = nil, nil, nil, nil, nil, nil
	for name, load := range request.Loads {
		report.promptRates[name] += promptSmoothing * (load.Prompt - report.promptRates[name])
	}
	s.sweepReports(now)
	demands := make(map[string]quota.Demand, len(request.Demands))
	for name, d := range request.Demands {
		demands[name] = quota.Demand{Rate: d.Rate, LeasedRate: d.LeasedRate, Refunded: d.Refunded}
	}
	s.work.applyReport(now, key, request.Busy)
	s.suspects.Merge(now, request.Suspects)
	s.named.Observe(now, request.Limits)
	s.shares.observe(now, key, report.Loads)
	reply := &AccountReply{
		Leading: true,
		Term:    s.term,
		Rates:   s.ledger.Grant(now, request.Entry, request.Incarnation, demands, s.limits),
		Lease:   quota.Lease,
		Others:  s.work.others(key),
		Entries: s.work.entryCount(),

		Suspects: s.suspects.Shared(now, request.Suspects),
		Limits:   s.named.Shares(now, request.Entry, func() []limit.Entry { return s.reportingEntries(now) }),
		Fairness: s.shares.reply(now),
	}
	reply.Paces = s.updatePaces(now, &request)
	reply.NextReport = reportInterval(reply.Entries)
	if request.WantsHelpers {
		reply.Helpers = detour.Choose(detour.Asker{Name: request.Entry, Zone: request.Zone}, s.helpers(now, key))
	}
	if s.revision != nil {
		reply.Config = s.revision.Number
	}
	return reply
}

// updatePaces applies what an entry measured and returns what it lacks.
func (s *leaderState) updatePaces(now clock.Instant, request *AccountRequest) *capacity.Update {
	if request.Capacity == nil {
		return nil
	}
	s.paces.Observe(now, request.Entry, request.Incarnation, request.Capacity)
	for _, c := range s.paces.Changes() {
		klog.InfoS("upstream's pace changed", "upstream", c.Upstream, "incarnation", c.Incarnation, "service", c.Service, "percent", c.Percent, "was", c.Was,
			"knee", c.Knee, "wasKnee", c.WasKnee, "windows", c.Windows, "error", c.Error, "term", s.term)
	}
	return s.paces.Since(request.Capacity)
}

// reportingEntries lists the entries that have reported lately, with their demand.
func (s *leaderState) reportingEntries(now clock.Instant) []limit.Entry {
	entries := make([]limit.Entry, 0, len(s.reports))
	for key, r := range s.reports {
		if now-r.receivedAt > reportMaxAge {
			continue
		}
		e := limit.Entry{Name: key.entry, Zone: r.Zone, Arrivals: make(map[string]float64, len(r.Loads))}
		for name, load := range r.Loads {
			e.Arrivals[name] = load.Arrivals
		}
		entries = append(entries, e)
	}
	return entries
}

// helpers lists the other entries that have lately offered to open tunnels.
func (s *leaderState) helpers(now clock.Instant, asker entryKey) []detour.Helper {
	var helpers []detour.Helper
	for key, r := range s.reports {
		if key.entry != asker.entry && r.Helper != nil && now-r.receivedAt <= reportMaxAge {
			helpers = append(helpers, detour.Helper{Address: *r.Helper, Zone: r.Zone})
		}
	}
	return helpers
}

// sweepReports removes the reports of entries that are gone.
func (s *leaderState) sweepReports(now clock.Instant) {
	if now-s.lastSweep < reportSweepInterval {
		return
	}
	s.lastSweep = now
	for key, report := range s.reports {
		if now-report.receivedAt > reportRetention {
			delete(s.reports, key)
		}
	}
}

// sumLoads sums up the recent reports' loads by service, and notes which
// services have requests.
func (s *leaderState) sumLoads(now clock.Instant) map[string]Load {
	sums := map[string]Load{}
	for _, r := range s.reports {
		if now-r.receivedAt > reportMaxAge {
			continue
		}
		for name, l := range r.Loads {
			sum := sums[name]
			sum.Arrivals += l.Arrivals
			sum.Urgent += l.Urgent
			sum.Prompt += r.promptRates[name]
			sum.Output += l.Output
			sum.Waiting += l.Waiting
			sum.Running += l.Running
			sums[name] = sum
		}
	}
	for name, l := range sums {
		if l.Arrivals > 0 {
			s.lastArrivals[name] = now
		}
	}
	return sums
}

// isIdle reports whether a service has had no requests for a while, so that
// its demand isn't known.
func (s *leaderState) isIdle(now clock.Instant, service string) bool {
	const idleAfter = 10 * time.Second
	at, ok := s.lastArrivals[service]
	return !ok || now-at > idleAfter
}
