// Package ingress serves the callers of a platform: it matches requests to
// routes, checks keys and quotas, has the fleet decide where they go, and
// relays the answers.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Limits of the callers' listener.
const (
	// maxHeaderBytes is twice the largest limit that a published deployment
	// states, so that a new configuration needs no new listener.
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	// idleTimeout is longer than any that a configuration states, since
	// callers reuse connections up to four fifths of that.
	idleTimeout = 2 * time.Minute
	// stopNotice is how long a stopping entry goes on taking requests: the
	// balancer asks every second and acts on the second miss.
	stopNotice = 2300 * time.Millisecond
	// drainInterval is the time between two looks at the connections that are
	// left at a stop.
	drainInterval = 20 * time.Millisecond
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = 2 * time.Second
)

// Options are what an Ingress needs.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Settings    settings.Ingress
	Peers       settings.Peer
	Client      *peer.Client
	Clock       clock.Clock
	Metrics     metrics.Registry
}

// Ingress is the role that serves callers.
type Ingress struct {
	options  Options
	link     *link.Link
	desk     *desk
	client   *exchange.Client
	callers  *connections
	stopping atomic.Bool
	meters   meters

	mu     sync.Mutex
	purses map[string]*quota.LeasedBucket
	usage  *usage.Meter
}

// New listens for callers and for the balancer, and serves until ctx ends.
func New(ctx context.Context, o Options) (*Ingress, error) {
	in := &Ingress{
		options: o,
		desk: newDesk(ctx, o.Clock, fleet.New(fleet.Options{
			Zone: o.Zone, RetryRatio: o.Settings.RetryRatio, RetrySlack: o.Settings.RetrySlack, Entries: o.Settings.AssumedEntries,
		})),
		meters: newMeters(o.Metrics),
		purses: map[string]*quota.LeasedBucket{},
		usage:  usage.NewMeter(),
	}
	in.client = exchange.New(func() { in.meters.dials.Inc(1) })
	in.link = link.New(ctx, link.Options{
		Name: o.Name, Zone: o.Zone, Incarnation: o.Incarnation, Seeds: o.Peers.Seeds, Client: o.Client, Clock: o.Clock,
		Members: in.learnMembers, Table: in.adopt, Report: in.report, Granted: in.granted, Usage: in.reportUsage,
	})
	in.gauges(o.Metrics)
	callers := &http.Server{
		Handler:           http.HandlerFunc(in.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          nil,
	}
	balancer := &http.Server{Handler: http.HandlerFunc(in.readiness), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	for _, s := range []struct {
		server *http.Server
		listen string
	}{{callers, o.Settings.Listen.String()}, {balancer, o.Settings.Ready.String()}} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.listen)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if s.server == callers {
			in.callers = newConnections(l)
			callers.ConnState = in.callers.changed
			l = in.callers
		}
		go func() { _ = s.server.Serve(l) }()
		context.AfterFunc(ctx, func() { _ = s.server.Close() })
	}
	go func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				in.client.Sweep(time.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	return in, nil
}

// freshFor is how long a configuration counts as fresh after a majority
// confirmed it: a tenth is left for what happens after the last look.
func (in *Ingress) freshFor() time.Duration {
	const part = 0.9
	return time.Duration(part * float64(in.options.Settings.RevokeWithin))
}

// fresh reports whether keys may be trusted.
func (in *Ingress) fresh() bool { return in.link.Age() < in.freshFor() }

// ready reports whether callers can be served.
func (in *Ingress) ready() bool {
	return !in.stopping.Load() && in.link.Synced() && in.fresh()
}

func (in *Ingress) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		w.WriteHeader(http.StatusNotFound)
	case in.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Ingress) learnMembers(members []upstream.Member) {
	for i := range members {
		m := &members[i]
		if m.Leaving || m.Ended {
			in.client.Drop(m.Address)
		}
	}
	in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Merge(now, members) })
}

func (in *Ingress) adopt(t *config.Table) {
	in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.SetConfig(now, t.Revision) })
}

// usageWindows is how many windows a report repeats, for a leader that is new.
const usageWindows = 4

// report builds the entry's report to the leader.
func (in *Ingress) report(now clock.Instant) control.AccountRequest {
	q := in.reportUsage()
	q.Demands, q.Loads = map[string]control.Demand{}, map[string]control.Load{}
	in.mu.Lock()
	for name, p := range in.purses {
		a := p.Report(now)
		q.Demands[name] = control.Demand{Asked: a.Rate, Rate: a.LeasedRate, Returned: a.Refunded}
	}
	in.mu.Unlock()
	in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		for name, d := range f.Demands(now) {
			q.Loads[name] = control.Load{
				Arrivals: d.Arrivals, Urgent: d.Urgent, Prompt: d.Prompt, Output: d.Output,
				Waiting: d.Waiting, Running: d.Running, Late: d.Late,
			}
		}
		q.Busy = f.Busy()
		return nil
	})
	return q
}

// reportUsage builds a report of the usage alone.
func (in *Ingress) reportUsage() control.AccountRequest {
	q := control.AccountRequest{Entry: in.options.Name, Zone: in.options.Zone, Incarnation: in.options.Incarnation, Wall: in.link.Wall()}
	window := in.window()
	in.mu.Lock()
	defer in.mu.Unlock()
	q.Usage = in.usage.Since(window - min(window, usageWindows))
	return q
}

// granted takes in the leader's answer to a report.
func (in *Ingress) granted(asked clock.Instant, r control.AccountReply) {
	now := in.options.Clock()
	in.mu.Lock()
	for name, rate := range r.Rates {
		p, ok := in.purses[name]
		if !ok {
			p = quota.NewLeasedBucket(now)
			in.purses[name] = p
		}
		p.Renew(now, asked, rate)
	}
	in.mu.Unlock()
	in.desk.do(func(_ clock.Instant, f *fleet.Fleet) []fleet.Action {
		f.SetEntries(r.Entries)
		f.SetOthers(r.Others)
		return nil
	})
}

// window is the number of the present usage window, in true time.
func (in *Ingress) window() uint64 {
	return uint64(in.link.Wall().UnixNano() / int64(in.options.Settings.UsageWindow))
}

// Drain implements kernel.Plugin: the balancer hears first that the entry
// stops; requests are taken until it has acted on that.
func (in *Ingress) Drain(ctx context.Context) error {
	in.stopping.Store(true)
	klog.InfoS("entry stops", "instance", in.options.Name)
	select {
	case <-time.After(stopNotice):
	case <-ctx.Done():
	}
	_ = in.callers.Listener.Close()
	for {
		left := in.callers.closeIdle()
		if left == 0 {
			// The next leader may be any keeper.
			in.link.Tell(ctx)
			return nil
		}
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
			return errors.Errorf("%d requests were still under way", left)
		}
	}
}

// Dump implements kernel.Plugin.
func (in *Ingress) Dump() any {
	state := map[string]any{"ready": in.ready(), "configurationAge": in.link.Age().String()}
	if t := in.link.Table(); t != nil {
		state["revision"] = t.Revision.Number
	}
	in.desk.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		state["upstreams"] = f.State(now)
		state["open"] = f.Open()
		return nil
	})
	return state
}
