// Package ingress implements the role ingress: the HTTP reverse proxy that
// callers of a platform talk to. It matches a request to a route, checks the
// caller's key and the organisation's quota, lets package fleet choose an
// upstream, and relays the upstream's response. It retries on other upstreams
// where the route allows that. An instance in this role is called an entry here,
// as one in the role entry is, which package entry implements.
package ingress

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/logs"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/startup"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Limits of the listener for callers, and intervals of the entry.
const (
	// maxHeaderBytes is twice the largest limit in the published deployments:
	// the listener's limit can't follow a new configuration.
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	// unreadBodyTimeout is how long the refusal of a request whose body isn't needed may
	// wait for a small body, after which the connection can be used again.
	unreadBodyTimeout = time.Second
	// idleTimeout is longer than any idle timeout in a configuration, as
	// callers reuse a connection for up to four fifths of the configured time.
	idleTimeout = 2 * time.Minute
	// drainDelay is how long a stopping entry still accepts requests: the load
	// balancer checks readiness every second and acts on the second failure.
	drainDelay = 2300 * time.Millisecond
	// drainPollInterval is the time between two checks of the open connections
	// and requests while the entry stops.
	drainPollInterval = 20 * time.Millisecond
	// usageMargin is the last part of a stop, at whose beginning the usage is
	// reported though requests are under way: a call to the keepers fits into
	// it, and the requests that end drain.AnswerMargin before the stop's end
	// are counted.
	usageMargin = 250 * time.Millisecond
	// sweepInterval is the time between two checks for expired idle
	// connections to upstreams.
	sweepInterval = 2 * time.Second
)

// Options are the settings and dependencies of an Ingress.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Settings    settings.Ingress
	Peers       settings.Peer
	PeerClient  *peer.Client
	Clock       clock.Clock
	Metrics     metrics.Registry
	// DialUpstream opens the direct connections to upstreams.
	DialUpstream exchange.Dial
	// Server is where other entries ask for tunnels to upstreams.
	Server *peer.Server
}

// Ingress is the plug-in of the role that serves callers.
type Ingress struct {
	options        Options
	link           *link.Link
	dispatcher     *dispatcher
	upstreamClient *exchange.Client
	paths          *pathDialer
	tunnels        *tunnels
	listener       *drain.Listener
	stopping       atomic.Bool
	stop           drain.Stop
	meters         meters
	// rollouts is nil if the deployment has none.
	rollouts *rollouts

	mu sync.Mutex
	// quotas are the entry's parts of the quotas, by organisation.
	quotas map[string]*quota.LeasedBucket
	usage  *usage.Meter
	// gate holds requests back while the entry starts.
	gate *startup.Gate
	// origins are the streams that this entry has begun.
	origins *origin.Book
	// unreadable bounds the log lines on headers of upstreams that can't be read.
	unreadable *rate.Limiter
}

// unreadableLogInterval is the least time between two such lines.
const unreadableLogInterval = time.Second

// New listens for callers and for the load balancer's readiness checks, and
// serves until ctx ends.
func New(ctx context.Context, o Options) (*Ingress, error) {
	in := &Ingress{
		options: o,
		meters:  newMeters(o.Metrics),
		quotas:  map[string]*quota.LeasedBucket{},
		usage:   usage.NewMeter(),
		gate:    startup.New(o.Clock(), o.Settings.HoldAtStart),
		origins: origin.New(),
	}
	in.unreadable = rate.NewLimiter(rate.Every(unreadableLogInterval), 1)
	in.paths = newPathDialer(ctx, o.Clock, o.DialUpstream, &in.meters, in.pathHooks())
	in.upstreamClient = exchange.NewWithDial(in.paths.Dial, func() { in.meters.dials.Inc(1) })
	in.rollouts = newRollouts(o.Settings.Rollouts, o.Metrics, rand.Float64)
	in.dispatcher = newDispatcher(ctx, o.Clock, fleet.New(fleet.Options{
		Name: learningName(o), LearnPlain: o.Settings.LearnPlainPace, Zone: o.Zone, RetryRatio: o.Settings.RetryRatio, RetrySlack: o.Settings.RetrySlack, Entries: o.Settings.AssumedEntries,
		DrainWithin: o.Settings.DrainWithin, Random: rand.Float64, Split: in.rollouts.fleetSplit(),
	}), in.upstreamClient.Refuses)
	in.tunnels = &tunnels{dispatcher: in.dispatcher, direct: o.DialUpstream, broken: in.paths.BrokenTo, stopping: in.stopping.Load, meters: &in.meters}
	o.Server.Handle(tunnelPattern, in.tunnels)
	o.Server.Handle(placementPattern, http.HandlerFunc(in.servePlacement))
	go in.watchForSilence(ctx)
	in.link = link.New(ctx, link.Options{
		Name: o.Name, Zone: o.Zone, Incarnation: o.Incarnation, Seeds: o.Peers.Seeds, PeerClient: o.PeerClient, Clock: o.Clock,
		OnMembers: in.mergeMembers, OnConfig: in.applyConfig, BuildReport: in.buildReport, OnReply: in.applyReply, BuildUsageReport: in.buildUsageReport,
		OnRollouts: in.applyRollouts, OnRolloutsConfirmed: in.confirmRollouts,
	})
	in.registerGauges(o.Metrics)
	callerServer := &http.Server{
		Handler:           http.HandlerFunc(in.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          logs.NewServerLog(),
	}
	readinessServer := &http.Server{Handler: http.HandlerFunc(in.serveReadiness), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: logs.NewServerLog()}
	for _, s := range []struct {
		server *http.Server
		listen string
	}{{callerServer, o.Settings.Listen.String()}, {readinessServer, o.Settings.Ready.String()}} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.listen)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if s.server == callerServer {
			in.listener = drain.NewListener(l)
			in.listener.Unwritten = in.notWritten
			callerServer.ConnState, callerServer.ConnContext = in.listener.StateChanged, in.listener.ConnContext
			l = in.listener
		}
		go func() { _ = s.server.Serve(l) }()
		context.AfterFunc(ctx, func() {
			in.listener.CloseAtOnce()
			_ = s.server.Close()
		})
	}
	go func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				in.upstreamClient.CloseExpired(time.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	return in, nil
}

// learningName is the name by which the fleet learns paces; "" if it doesn't.
func learningName(o Options) string {
	if o.Settings.LearnPace {
		return o.Name
	}
	return ""
}

// maxConfigAge is how long the entry trusts a configuration after a majority
// of the keepers confirmed it. It is nine tenths of RevokeWithin: the rest is
// for what happens after the entry's last check.
func (in *Ingress) maxConfigAge() time.Duration {
	const usableFraction = 0.9
	return time.Duration(usableFraction * float64(in.options.Settings.RevokeWithin))
}

// configFresh reports whether the configuration was confirmed recently enough
// to trust its keys, which may be revoked.
func (in *Ingress) configFresh() bool { return in.link.ConfigAge() < in.maxConfigAge() }

// ready reports whether the entry can serve callers.
func (in *Ingress) ready() bool {
	return !in.stopping.Load() && in.link.Synced() && in.configFresh()
}

func (in *Ingress) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		w.WriteHeader(http.StatusNotFound)
	case in.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Ingress) mergeMembers(members []upstream.Member) {
	for i := range members {
		m := &members[i]
		if m.Leaving || m.Ended {
			in.upstreamClient.CloseIdle(m.Address)
		}
	}
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Merge(now, members) })
}

func (in *Ingress) applyConfig(t *config.Table) {
	in.forgetQuotas(t.Revision)
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.SetConfig(now, t.Revision) })
}

// forgetQuotas forgets the quotas of organisations that the revision doesn't have.
func (in *Ingress) forgetQuotas(r *config.Revision) {
	present := make(map[string]bool, len(r.Organisations))
	for i := range r.Organisations {
		present[r.Organisations[i].Name] = true
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	maps.DeleteFunc(in.quotas, func(name string, _ *quota.LeasedBucket) bool { return !present[name] })
}

// reportedWindows is the number of past usage windows in each report, for a
// new leader that lacks them.
const reportedWindows = 4

// buildReport returns the entry's report to the leader.
func (in *Ingress) buildReport(now clock.Instant, wall time.Time) control.AccountRequest {
	report := in.buildUsageReport(wall)
	report.Demands, report.Loads = map[string]control.Demand{}, map[string]control.Load{}
	in.mu.Lock()
	for name, bucket := range in.quotas {
		demand := bucket.Report(now)
		report.Demands[name] = control.Demand{Rate: demand.Rate, LeasedRate: demand.LeasedRate, Refunded: demand.Refunded}
	}
	in.mu.Unlock()
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		for name, load := range f.Demands(now) {
			report.Loads[name] = control.Load{
				Arrivals: load.Arrivals, Urgent: load.Urgent, Prompt: load.PromptTokens, Output: load.OutputTokens,
				Waiting: load.Waiting, Running: load.Running, LateFraction: load.LateFraction, Fairness: &load.Fairness,
			}
		}
		report.Busy = f.Work()
		report.Suspects = f.Evidence(now)
		report.Limits = f.Limits(now)
		if in.rollouts != nil {
			report.Releases, report.RolloutVersion = in.rollouts.Report(now), in.rollouts.Version()
		}
		report.Capacity = f.Capacity()
		return nil
	})
	report.WantsHelpers = in.paths.WantsHelpers(now)
	if !in.stopping.Load() && !in.paths.Isolated() {
		report.Helper = in.tunnelAddress()
	}
	return report
}

// tunnelAddress is where other entries ask for tunnels.
func (in *Ingress) tunnelAddress() *netip.AddrPort {
	if in.options.Peers.Advertise.IsValid() {
		return &in.options.Peers.Advertise
	}
	return &in.options.Server.Address
}

// questionBytes is the least size of the head of a question to an upstream: a path that holds
// packets of the usual size carries no requests either.
const questionBytes = 2 << 10

func (in *Ingress) pathHooks() pathHooks {
	return pathHooks{
		question: in.question,
		onBroken: func(upstream netip.AddrPort) { in.upstreamClient.CloseIdle(upstream) },
		onChange: in.pathsChanged,
	}
}

// errNoQuestion is the error of an upstream that is gone, leaves, wants no requests for a time, or
// is of a release that gets none.
var errNoQuestion = errors.New("the upstream isn't to be asked now")

// question returns a health check of the upstream, nil if its service has none.
func (in *Ingress) question(address netip.AddrPort) (*exchange.Request, error) {
	path, accepts := "", false
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		path, accepts = f.HealthPath(address), f.MayAsk(now, address)
		return nil
	})
	switch {
	case !accepts:
		return nil, errNoQuestion
	case path == "":
		return nil, nil
	}
	return &exchange.Request{
		Method: http.MethodGet, Target: path, Host: address.String(), Header: platform.EncodeHealthCheck(questionBytes),
		Matches: func(*http.Response, bool) bool { return true },
	}, nil
}

// pathsChanged is called when upstreams are reached by another way than before.
func (in *Ingress) pathsChanged(isolated bool) {
	if isolated {
		// Nothing may come back on connections that were opened before.
		in.upstreamClient.CloseAllIdle()
	}
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.PathsChanged(now) })
}

// silenceTimeout is how long all upstreams may be silent before their paths are checked.
const silenceTimeout = 600 * time.Millisecond

// watchForSilence checks the paths to upstreams while all of them are silent, until ctx
// ends.
func (in *Ingress) watchForSilence(ctx context.Context) {
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
				in.paths.Suspect(ctx, f.AllSilent(now, silenceTimeout))
				return nil
			})
		case <-ctx.Done():
			return
		}
	}
}

// buildUsageReport returns a report that holds nothing but the usage.
func (in *Ingress) buildUsageReport(wall time.Time) control.AccountRequest {
	report := control.AccountRequest{Entry: in.options.Name, Zone: in.options.Zone, Incarnation: in.options.Incarnation, Wall: wall}
	window := in.windowAt(wall)
	in.mu.Lock()
	defer in.mu.Unlock()
	report.Usage = in.usage.Since(window - min(window, reportedWindows))
	return report
}

// applyReply applies the leader's reply to a report that was built at askedAt.
func (in *Ingress) applyReply(askedAt clock.Instant, reply control.AccountReply) {
	now := in.options.Clock()
	if reply.Helpers != nil {
		in.paths.SetHelpers(now, reply.Helpers)
	}
	in.mu.Lock()
	for name, rate := range reply.Rates {
		bucket, ok := in.quotas[name]
		if !ok {
			bucket = quota.NewLeasedBucket(now)
			in.quotas[name] = bucket
		}
		bucket.Renew(now, askedAt, rate)
	}
	in.mu.Unlock()
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		f.SetEntries(reply.Entries)
		f.SetShares(now, reply.Fairness)
		f.SetOtherWork(now, reply.Others)
		f.SetLimits(now, reply.Limits)
		f.SetPaces(now, reply.Paces)
		return f.MergeEvidence(now, reply.Suspects)
	})
}

// currentWindow is the number of the current usage window, by the median clock
// of this instance and the keepers.
func (in *Ingress) currentWindow() uint64 { return in.windowAt(in.link.WallTime()) }

func (in *Ingress) windowAt(wall time.Time) uint64 {
	return uint64(wall.UnixNano() / int64(in.options.Settings.UsageWindow))
}

// Drain implements kernel.Plugin. The readiness check fails first; the entry
// accepts requests until the load balancer has acted on that. Requests that
// can't be answered before ctx ends are refused, or answered in place of the
// upstream.
func (in *Ingress) Drain(ctx context.Context) error {
	now := in.options.Clock()
	end := drain.EndOf(ctx, now)
	in.stop.Begin(now, end, drainDelay)
	in.stopping.Store(true)
	klog.InfoS("entry is stopping; waiting for the load balancer", "instance", in.options.Name)
	accepting, reported, remaining := true, false, 0
	for {
		now := in.options.Clock()
		in.stop.Expire(now)
		if accepting && !in.stop.Accepting(now) {
			accepting = false
			_ = in.listener.Close()
		}
		if !accepting {
			if remaining = in.listener.CloseIdle(); remaining == 0 && (in.listener.Lingering() == 0 || now >= end-usageMargin) {
				// All keepers get the last usage, as any may be the next leader.
				in.link.ReportLastUsage(ctx)
				in.tunnels.drain(ctx)
				return nil
			}
		}
		if !reported && now >= end-usageMargin {
			// Streams may go on beyond the last moment for a report.
			reported = true
			in.link.ReportLastUsage(ctx)
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return errors.Errorf("%d connections were still in use at the end of the drain", remaining)
		}
	}
}

// Dump implements kernel.Plugin.
func (in *Ingress) Dump() any {
	state := map[string]any{"ready": in.ready(), "configurationAge": in.link.ConfigAge().String(), "keepers": in.link.State()}
	if t := in.link.Table(); t != nil {
		state["revision"] = t.Revision.Number
	}
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		state["upstreams"] = f.State(now)
		state["open"] = f.Open()
		if in.rollouts != nil {
			state["rollouts"] = in.rollouts.view
		}
		return nil
	})
	return state
}
