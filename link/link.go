// Package link is an entry's client of the keepers, the control plane's quorum.
// From any keeper it gets the configuration in force, when a majority confirmed
// that, changes of the directory of upstreams, and the time of day. To the
// leader it reports demand and usage, and gets quota for it.
package link

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Intervals, timeouts and numbers of calls to the keepers.
const (
	// syncTimeout bounds one Sync call, a long poll: without changes the keeper
	// answers within six tenths of a second.
	syncTimeout = time.Second
	// firstRetryDelay follows a failed call to a keeper and doubles with each
	// further one, up to maxRetryDelay: entries that start or lose a keeper
	// together must not keep it busy with calls that time out.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 600 * time.Millisecond
	// reportInterval is the time between two reports to the leader, unless the
	// leader asks for another one.
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 700 * time.Millisecond
	// usageReportRatio is the number of reports to the leader for each report of
	// usage to the keepers that don't lead: an entry that is killed loses as much
	// usage. maxUsageReports limits how many keepers get one, to save traffic. It
	// is large because more than two voters and a zone may be lost at once.
	usageReportRatio = 3
	maxUsageReports  = 8
	// reserveTimeout bounds a request's wait for the leader's pool.
	reserveTimeout    = 400 * time.Millisecond
	reserveRetryDelay = 40 * time.Millisecond
	// syncLoopCount is the number of keepers that are polled in parallel, so that
	// one that hangs delays nothing.
	syncLoopCount = 2
)

// Options are the settings, dependencies and callbacks of a Link.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Seeds       []netip.AddrPort
	PeerClient  *peer.Client
	Clock       clock.Clock
	// OnMembers is called with the upstreams that changed in a keeper's
	// directory.
	OnMembers func([]upstream.Member)
	// OnConfig is called with each configuration that comes into force.
	OnConfig func(*config.Table)
	// OnRollouts is called with each view of the rollouts that is newer than the one before,
	// and OnRolloutsConfirmed after it with the instant at which a keeper was asked whose
	// majority has no newer view. They are called one at a time; nil ones aren't.
	OnRollouts          func(rollout.View)
	OnRolloutsConfirmed func(askedAt clock.Instant)
	// BuildReport returns a report to the leader, where wall is the link's WallTime. OnReply
	// is called with the leader's reply and with the instant at which the report was built.
	// All callbacks may be called before New returns.
	BuildReport func(now clock.Instant, wall time.Time) control.AccountRequest
	OnReply     func(askedAt clock.Instant, reply control.AccountReply)
	// BuildUsageReport returns a report that holds nothing but the usage.
	BuildUsageReport func(wall time.Time) control.AccountRequest
}

// Link is an entry's connection to the keepers.
type Link struct {
	options Options
	table   atomic.Pointer[config.Table]
	// confirmedAt is the latest instant at which the configuration is known to
	// have been the newest, in nanoseconds; 0 if it never was.
	confirmedAt atomic.Int64
	synced      atomic.Bool
	rollouts    rolloutView
	// serving is closed once the entry has a configuration that a majority confirmed, and a
	// directory.
	serving     chan struct{}
	servingOnce sync.Once

	mu     sync.Mutex
	roster *roster
	// leader is the keepers' leader in the term, the highest term that any of
	// them reported with a leader.
	leader netip.AddrPort
	term   uint64
	// nextReport is the time between two reports, as the leader asked.
	nextReport time.Duration
	// ownWall and keeperWalls estimate the time of day of this instance's clock
	// and of the keepers' clocks.
	ownWall     clock.Wall
	keeperWalls map[netip.AddrPort]*clock.Wall
	// directorySince is when the directory began to be followed without a gap, and
	// directoryAt when a keeper was last asked that brought it up to date; 0 before the
	// first time.
	directorySince, directoryAt clock.Instant
	// triedAt is when a call for the directory last ended during which the entry didn't
	// stand still; 0 before the first. tried is closed and replaced then.
	triedAt clock.Instant
	tried   chan struct{}
	// tables are the configurations before the one in force.
	tables *config.History

	// begun are the streams to tell the keepers, by loop, and finds the origins to ask
	// for.
	begun [syncLoopCount]chan begunStream
	finds chan findRequest
}

// New starts the loops that call the keepers; they end with ctx.
func New(ctx context.Context, o Options) *Link {
	l := &Link{options: o, roster: newRoster(o.Zone, o.Seeds), nextReport: reportInterval, keeperWalls: map[netip.AddrPort]*clock.Wall{}, tried: make(chan struct{}), serving: make(chan struct{}), tables: config.NewHistory(origin.Retention)}
	for i := range syncLoopCount {
		go l.syncLoop(ctx, i)
	}
	l.startOrigins(ctx)
	go l.probeLoop(ctx)
	go l.reportLoop(ctx)
	go func() {
		for {
			select {
			case <-time.After(pace.Jitter(usageReportRatio*l.reportInterval(), rand.Float64())):
				l.ReportUsage(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// SetSeeds changes the seeds, the keepers that are called when no other is
// known.
func (l *Link) SetSeeds(seeds []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.setSeeds(seeds)
}

// Table returns the configuration in force, or nil before the first.
func (l *Link) Table() *config.Table { return l.table.Load() }

// LedOnlyTo reports whether requests to the host and path could go to no other service
// than this one within origin.Retention, before the configuration in force.
func (l *Link) LedOnlyTo(host, path, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tables.LedOnlyTo(l.options.Clock(), host, path, service)
}

// ConfigAge is how long ago the configuration was last known to be the newest;
// the longest time.Duration if it never was.
func (l *Link) ConfigAge() time.Duration {
	confirmedAt := l.confirmedAt.Load()
	if confirmedAt == 0 {
		return time.Duration(1<<63 - 1)
	}
	return l.options.Clock() - clock.Instant(confirmedAt)
}

// State is a Link's state for the dump of the node.
type State struct {
	// Keepers are those that are known to be alive, Current those that are polled, and
	// Minority those that reach no majority.
	Keepers  []netip.AddrPort `json:"keepers"`
	Current  []netip.AddrPort `json:"current"`
	Minority []netip.AddrPort `json:"minority,omitempty"`
	Leader   netip.AddrPort   `json:"leader"`
	Term     uint64           `json:"term"`
}

// State returns the link's present state.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := State{Current: slices.Clone(l.roster.current[:]), Leader: l.leader, Term: l.term}
	now := l.options.Clock()
	for _, p := range l.roster.keepers {
		s.Keepers = append(s.Keepers, p.Address)
		if l.roster.inMinority(now, p.Address) {
			s.Minority = append(s.Minority, p.Address)
		}
	}
	return s
}

// Serving returns a channel that is closed once the entry has had a directory and a
// configuration that a majority confirmed.
func (l *Link) Serving() <-chan struct{} { return l.serving }

// noteServing closes serving if the entry can serve.
func (l *Link) noteServing() {
	if l.Synced() && l.confirmedAt.Load() > 0 {
		l.servingOnce.Do(func() { close(l.serving) })
	}
}

// Synced reports whether the link has both a configuration and a directory.
func (l *Link) Synced() bool { return l.synced.Load() && l.Table() != nil }

// WallTime is the time of day: the median of this instance's clock and the
// keepers' clocks, each without its steps.
func (l *Link) WallTime() time.Time {
	now := l.options.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownWall.Observe(now, time.Now())
	own, _ := l.ownWall.Offset()
	offsets := []time.Duration{own}
	for _, wall := range l.keeperWalls {
		if offset, ok := wall.Offset(); ok {
			offsets = append(offsets, offset)
		}
	}
	return clock.Median(now, offsets)
}

// directoryCursor is the state up to which the entry has a keeper's directory:
// the keeper's run (source) and the number of its changes (generation).
type directoryCursor struct {
	address            netip.AddrPort
	source, generation uint64
}

// syncLoop keeps calling Sync. It chooses the keeper anew before each call, and
// starts from an empty directoryCursor when the keeper changes or fails.
func (l *Link) syncLoop(ctx context.Context, loop int) {
	var cursor directoryCursor
	backoff := pace.Backoff{First: firstRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		address, ok := l.chooseKeeper(loop)
		if ok {
			if address != cursor.address {
				cursor = directoryCursor{address: address}
			}
			if err := l.syncOnce(ctx, &cursor); err == nil {
				backoff.Succeeded()
				continue
			} else if ctx.Err() == nil {
				klog.InfoS("keeper lost", "keeper", address, "err", err)
				l.markFailed(address)
				cursor = directoryCursor{}
			}
		}
		select {
		case <-time.After(backoff.Failed(rand.Float64())):
		case <-ctx.Done():
		}
	}
}

// chooseKeeper picks the keeper that a sync loop polls next.
func (l *Link) chooseKeeper(loop int) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	previous := l.roster.current[loop]
	address, cost := l.roster.choose(now, loop, rand.Float64)
	if address != previous {
		klog.InfoS("keeper chosen", "loop", loop, "keeper", address, "previous", previous, "cost", cost, "inMinority", l.roster.inMinority(now, previous),
			"candidates", len(l.roster.keepers), "configurationAge", l.ConfigAge())
	}
	return address, address.IsValid()
}

func (l *Link) markFailed(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.failed(l.options.Clock(), address)
	if l.leader == address {
		l.leader = netip.AddrPort{}
	}
}

// callSync calls a keeper with the request, to which it adds what this entry is and holds.
func (l *Link) callSync(ctx context.Context, address netip.AddrPort, request control.SyncRequest) (*control.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request.Entry, request.Config, request.Rollouts = l.options.Name, l.revisionNumber(), l.rolloutVersion()
	var reply control.SyncReply
	err := l.options.PeerClient.Call(ctx, address, peer.Sync, &request, &reply)
	return &reply, err
}

// applyReply applies what a keeper's reply to a call at askedAt says of the configuration
// and of the keepers.
func (l *Link) applyReply(askedAt clock.Instant, address netip.AddrPort, reply *control.SyncReply) error {
	if err := l.applyConfig(reply.Config); err != nil {
		return err
	}
	l.confirm(askedAt, reply.ConfirmedConfig)
	l.noteServing()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLeader(reply.Leader, reply.Term)
	now := l.options.Clock()
	l.roster.answered(now, askedAt, address, reply.Quorum)
	before := len(l.roster.keepers)
	l.roster.list(now, reply.Peers, reply.Quorum == control.QuorumConfirmed)
	if after := len(l.roster.keepers); after != before {
		klog.InfoS("keepers listed", "by", address, "quorum", reply.Quorum, "leader", reply.Leader, "term", reply.Term, "listed", len(reply.Peers), "keepers", after, "before", before)
	}
	l.forgetClocks()
	return nil
}

// forgetClocks drops the clocks of keepers that are gone, which nothing corrects
// any more. The caller holds l.mu.
func (l *Link) forgetClocks() {
	maps.DeleteFunc(l.keeperWalls, func(address netip.AddrPort, _ *clock.Wall) bool {
		return !l.roster.knows(address)
	})
}

// setLeader sets the leader unless one of a higher term is known: a keeper in a
// minority partition may still name an earlier leader. The caller holds l.mu.
func (l *Link) setLeader(leader netip.AddrPort, term uint64) {
	if leader.IsValid() && term >= l.term {
		l.leader, l.term = leader, term
	}
}

// ReportUsage reports the usage to the keepers that don't lead, and returns when
// all have answered or failed.
func (l *Link) ReportUsage(ctx context.Context) { l.reportUsage(ctx, false) }

// ReportLastUsage reports the usage of an entry that stops to the leader too, which gets
// no further report.
func (l *Link) ReportLastUsage(ctx context.Context) { l.reportUsage(ctx, true) }

func (l *Link) reportUsage(ctx context.Context, toLeader bool) {
	l.mu.Lock()
	var keepers []netip.AddrPort
	for _, p := range l.roster.keepers {
		if p.Address != l.leader && len(keepers) < maxUsageReports {
			keepers = append(keepers, p.Address)
		}
	}
	if toLeader && l.leader.IsValid() {
		keepers = append(keepers, l.leader)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report := l.options.BuildUsageReport(l.WallTime())
	report.UsageOnly = true
	var wait sync.WaitGroup
	for _, address := range keepers {
		wait.Go(func() {
			var reply control.AccountReply
			if err := l.options.PeerClient.Call(ctx, address, peer.Account, &report, &reply); err != nil {
				klog.V(2).InfoS("usage report to keeper failed", "keeper", address, "err", err)
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.setLeader(reply.Leader, reply.Term)
		})
	}
	wait.Wait()
}

func (l *Link) revisionNumber() uint64 {
	if t := l.Table(); t != nil {
		return t.Revision.Number
	}
	return 0
}

// applyConfig puts the configuration in force if it is newer than the present
// one.
func (l *Link) applyConfig(put *config.Put) error {
	if put == nil {
		return nil
	}
	body, err := pack.Inflate(put.Packed, config.MaxDocumentBytes)
	if err != nil {
		return err
	}
	revision, err := platform.DecodeConfig(body)
	if err != nil {
		return errors.Wrapf(err, "revision %d", put.Number)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.Number <= l.revisionNumber() {
		return nil
	}
	table := config.NewTable(revision)
	if before := l.table.Swap(table); before != nil {
		l.tables.Replaced(l.options.Clock(), before)
	}
	l.options.OnConfig(table)
	klog.InfoS("configuration in force", "revision", revision.Number, "routes", len(revision.Routes), "organisations", len(revision.Organisations), "keysRequired", table.RequiresKeys())
	return nil
}

// confirm records that a majority of the keepers confirmed newest, a revision
// number, after askedAt. It counts only if the entry has that revision.
func (l *Link) confirm(askedAt clock.Instant, newest uint64) {
	if newest == 0 || newest > l.revisionNumber() {
		return
	}
	for {
		old := l.confirmedAt.Load()
		if int64(askedAt) <= old || l.confirmedAt.CompareAndSwap(old, int64(askedAt)) {
			return
		}
	}
}

// Reserve takes the cost of one request from the leader's quota pool. While no
// leader answers it retries for reserveTimeout, which outlasts an election.
func (l *Link) Reserve(ctx context.Context, organisation string, cost float64) (control.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	request := &control.ReserveRequest{Organisation: organisation, Cost: cost}
	for {
		l.mu.Lock()
		leader := l.leader
		l.mu.Unlock()
		var reply control.ReserveReply
		err := errors.New("no leader is known")
		if leader.IsValid() {
			err = l.options.PeerClient.Call(ctx, leader, peer.Reserve, request, &reply)
		}
		if err == nil {
			return reply, nil
		}
		select {
		case <-time.After(reserveRetryDelay):
		case <-ctx.Done():
			return reply, err
		}
	}
}

// reportInterval is the time between two reports to the leader.
func (l *Link) reportInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextReport
}

// reportLoop reports demand and usage to the current leader at each interval.
func (l *Link) reportLoop(ctx context.Context) {
	backoff := pace.Backoff{First: firstRetryDelay, Max: maxRetryDelay}
	for {
		began := l.options.Clock()
		outcome := l.reportOnce(ctx)
		wait := reportWait(outcome, &backoff, l.reportInterval(), l.options.Clock()-began, rand.Float64())
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// reportOutcome is how a report to the leader ended.
type reportOutcome int

const (
	// reportAnswered means that the leader answered, reportFailed that a call
	// failed or its receiver doesn't lead, and noLeaderKnown that nothing was
	// sent.
	reportAnswered reportOutcome = iota + 1
	reportFailed
	noLeaderKnown
)

// reportWait is the time until the next report, after one that took as long as
// elapsed. random is uniform in [0, 1).
func reportWait(outcome reportOutcome, backoff *pace.Backoff, interval, elapsed time.Duration, random float64) time.Duration {
	switch outcome {
	case reportAnswered:
		backoff.Succeeded()
		return pace.Jitter(interval, random) - elapsed
	case noLeaderKnown:
		// Nothing was sent, so that there is nobody to spare. Until a leader
		// grants quota, the entry serves little.
		return firstRetryDelay
	default:
		return backoff.Failed(random)
	}
}

// reportOnce sends one report.
func (l *Link) reportOnce(ctx context.Context) reportOutcome {
	l.mu.Lock()
	leader := l.leader
	l.mu.Unlock()
	if !leader.IsValid() {
		return noLeaderKnown
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	askedAt := l.options.Clock()
	report := l.options.BuildReport(askedAt, l.WallTime())
	var reply control.AccountReply
	if err := l.options.PeerClient.Call(ctx, leader, peer.Account, &report, &reply); err != nil {
		klog.InfoS("report to leader failed; retrying at the next interval", "leader", leader, "err", err)
		return reportFailed
	}
	if reply.Leading {
		if err := reply.Odd(); err != nil {
			klog.InfoS("part of the leader's reply can't be used", "leader", leader, "err", err)
		}
		l.options.OnReply(askedAt, reply)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply.Leading {
		l.nextReport = reportInterval
		if reply.NextReport > 0 {
			l.nextReport = reply.NextReport
		}
		return reportAnswered
	}
	l.setLeader(reply.Leader, reply.Term)
	return reportFailed
}
