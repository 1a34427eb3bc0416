// Package entry takes callers' requests, has the dispatcher decide about them,
// relays them to upstreams and answers.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/netutil"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

// Timeouts of the callers' listener.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	// drainNotice is how long a draining entry goes on accepting, so that
	// the balancer sees that it isn't ready first.
	drainNotice = 500 * time.Millisecond
	dumpTimeout = time.Second
)

// Options are what an Entry needs.
type Options struct {
	Node     member.NodeInfo
	Settings settings.Entry
	Gossip   *gossip.Host
	Server   *peer.Server
	Metrics  metrics.Registry
	Claims   Claims
}

// Entry is the role that serves callers.
type Entry struct {
	// Address is where callers connect.
	Address  netip.AddrPort
	options  Options
	host     *host
	clients  *clients
	http     *http.Server
	draining atomic.Bool
	settling sync.WaitGroup
	streams  streamCounter
	meters   meters
	targets  *targets
}

var _ kernel.Plugin = (*Entry)(nil)

func init() {
	kernel.Register(kernel.Registration{Name: "entry", Order: 40, Roles: []string{settings.RoleEntry}, New: newPlugin})
}

func newPlugin(ctx context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, g, err := gossip.Require(h)
	if err != nil {
		return nil, err
	}
	claims, err := kernel.Require[*keeper.Client](h)
	if err != nil {
		return nil, err
	}
	n := h.Settings.Node
	node := member.NodeInfo{Name: n.Name, Region: n.Region, Zone: n.Zone}
	e, err := New(ctx, Options{
		Node:     node,
		Settings: h.Settings.Entry,
		Gossip:   g,
		Server:   server,
		Metrics:  h.Metrics,
		Claims:   claims,
	}, newHost(ctx, node, h.Incarnation, h.Clock, h.Actors, g))
	if err != nil {
		return nil, err
	}
	kernel.Provide(h, e)
	return e, nil
}

// New listens for callers and serves them until ctx ends.
func New(ctx context.Context, o Options, h *host) (*Entry, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Settings.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	e := &Entry{
		Address: l.Addr().(*net.TCPAddr).AddrPort(),
		options: o,
		host:    h,
		clients: newClients(),
		streams: streamCounter{limit: o.Settings.MaxStreamsPerCaller, open: map[string]int{}},
		meters:  newMeters(o.Metrics),
		targets: newTargets(),
	}
	o.Server.Handle("POST /upstream/announce", http.HandlerFunc(e.announce))
	e.http = &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    o.Settings.MaxHeaderBytes,
	}
	go func() { _ = e.http.Serve(netutil.LimitListener(l, o.Settings.MaxConnections)) }()
	context.AfterFunc(ctx, func() { _ = e.http.Close() })
	return e, nil
}

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve(e.chat))
	mux.HandleFunc("/services/{service}/{path...}", e.serve(e.plain))
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// Services describes the services as this entry sees them.
func (e *Entry) Services(ctx context.Context) []dispatch.ServiceState {
	services := e.host.state(ctx)
	for i := range services {
		services[i].InTime = e.targets.inTime(services[i].Service)
	}
	return services
}

// InForce returns the revision of a document that this entry serves by.
func (e *Entry) InForce(name string) uint64 {
	a, _ := e.host.document(name)
	return a.Revision
}

// Ready reports whether the balancer may send callers here.
func (e *Entry) Ready(ctx context.Context) bool {
	return !e.draining.Load() && e.options.Gossip.Ready(ctx)
}

func (e *Entry) readyz(w http.ResponseWriter, r *http.Request) {
	if !e.Ready(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain implements kernel.Plugin: the entry tells the balancer that it isn't
// ready, goes on serving for a moment, and then ends when what is under way
// has ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	klog.InfoS("entry draining", "instance", e.options.Node.Name, "open", e.streams.total())
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	e.http.SetKeepAlivesEnabled(false)
	err := e.http.Shutdown(ctx)
	e.waitSettled(ctx)
	return errors.Wrap(err, "drain callers")
}

// Dump implements kernel.Plugin.
func (e *Entry) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	const maxUpstreams = 256
	services := e.Services(ctx)
	for i := range services {
		s := &services[i]
		s.Upstreams = s.Upstreams[:min(len(s.Upstreams), maxUpstreams)]
	}
	return map[string]any{
		"listen":   e.Address.String(),
		"draining": e.draining.Load(),
		"open":     e.streams.total(),
		"services": services,
	}
}

// streamCounter bounds the open requests of each caller.
type streamCounter struct {
	mu    sync.Mutex
	limit int
	open  map[string]int
	all   int
}

func (s *streamCounter) begin(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[caller] >= s.limit {
		return false
	}
	s.open[caller]++
	s.all++
	return true
}

func (s *streamCounter) end(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all--
	if s.open[caller]--; s.open[caller] <= 0 {
		delete(s.open, caller)
	}
}

func (s *streamCounter) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}

// meters are the entry's metrics.
type meters struct {
	accepted, refusedCount, answered, failed metrics.Counter
	resumed, recomputed                      metrics.Counter
	firstToken                               metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		accepted:     metrics.GetOrRegisterCounter("entry.accepted", r),
		refusedCount: metrics.GetOrRegisterCounter("entry.refused", r),
		answered:     metrics.GetOrRegisterCounter("entry.answered", r),
		failed:       metrics.GetOrRegisterCounter("entry.failed", r),
		resumed:      metrics.GetOrRegisterCounter("entry.resumed", r),
		recomputed:   metrics.GetOrRegisterCounter("entry.tokensRecomputed", r),
		firstToken:   metrics.GetOrRegisterTimer("entry.firstToken", r),
	}
}
