// Package entry is the role that serves callers over HTTP. It accepts chat
// completions and the requests of plain services (any other HTTP service), asks
// the dispatcher when and on which upstream each may run, relays it there and
// sends the response back. A chat stream that breaks is resumed on another
// upstream; a call with an idempotency key runs under a claim, at most once.
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
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/logs"
	"github.com/hyssopladder/hyssopladder/common/readahead"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

// Timeouts of the listener for callers, of a drain and of a dump.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	// unreadBodyTimeout is how long the refusal of a request whose body isn't needed may
	// wait for a small body, after which the connection can be used again.
	unreadBodyTimeout = time.Second
	idleTimeout       = 2 * time.Minute
	// drainDelay is how long a draining entry keeps accepting requests, so
	// that the load balancer first sees that it isn't ready.
	drainDelay = 500 * time.Millisecond
	// drainPollInterval is the time between two checks of the open connections
	// and requests while the entry drains.
	drainPollInterval = 20 * time.Millisecond
	dumpTimeout       = time.Second
)

// Options configure an Entry.
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
	// Address is the address that callers connect to.
	Address        netip.AddrPort
	options        Options
	dispatch       *dispatchActor
	upstreams      *upstreamClient
	responses      *readahead.Pool
	listener       *drain.Listener
	draining       atomic.Bool
	stop           drain.Stop
	pendingSettles sync.WaitGroup
	openRequests   openRequests
	meters         meters
	inTime         *inTimeTracker
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
	}, newDispatchActor(ctx, node, h.Incarnation, h.Clock, h.Actors, g))
	if err != nil {
		return nil, err
	}
	kernel.Provide(h, e)
	return e, nil
}

// New listens for callers and serves them until ctx ends.
func New(ctx context.Context, o Options, h *dispatchActor) (*Entry, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Settings.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	e := &Entry{
		Address:      l.Addr().(*net.TCPAddr).AddrPort(),
		options:      o,
		listener:     drain.NewLimitedListener(l, o.Settings.MaxConnections),
		dispatch:     h,
		upstreams:    newUpstreamClient(),
		responses:    readahead.New(maxResponsesBytes, responsesWait),
		openRequests: openRequests{perCallerLimit: o.Settings.MaxStreamsPerCaller, byCaller: map[string]int{}},
		meters:       newMeters(o.Metrics),
		inTime:       newInTimeTracker(),
	}
	o.Server.Handle("POST /upstream/announce", http.HandlerFunc(e.announce))
	server := &http.Server{
		Handler:           e.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    o.Settings.MaxHeaderBytes,
		ConnState:         e.listener.StateChanged,
		ErrorLog:          logs.NewServerLog(),
	}
	go func() { _ = server.Serve(e.listener) }()
	context.AfterFunc(ctx, func() {
		e.listener.CloseAtOnce()
		_ = server.Close()
	})
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

// Services returns the state of each service as this entry sees it.
func (e *Entry) Services(ctx context.Context) []dispatch.ServiceState {
	services := e.dispatch.state(ctx)
	for i := range services {
		services[i].InTime = e.inTime.fractions(services[i].Service)
	}
	return services
}

// InForce returns the revision of the named document that this entry applies,
// or 0 if it has none.
func (e *Entry) InForce(name string) uint64 {
	a, _ := e.dispatch.document(name)
	return a.Revision
}

// Ready reports whether the load balancer may send callers to this entry.
func (e *Entry) Ready(ctx context.Context) bool {
	return !e.draining.Load() && e.options.Gossip.Ready(ctx)
}

func (e *Entry) readyz(w http.ResponseWriter, r *http.Request) {
	if !e.Ready(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain implements kernel.Plugin. The entry reports to the load balancer that it
// isn't ready, accepts requests for drainDelay more, and then waits until the
// open requests have ended and their claims are settled. Requests that can't be
// answered before ctx ends are refused, or answered in place of the upstream.
func (e *Entry) Drain(ctx context.Context) error {
	now := e.dispatch.clock()
	e.stop.Begin(now, drain.EndOf(ctx, now), drainDelay)
	e.draining.Store(true)
	klog.InfoS("entry draining", "instance", e.options.Node.Name, "open", e.openRequests.total())
	err := e.waitAnswered(ctx)
	e.waitSettled(ctx)
	return errors.Wrap(err, "drain callers")
}

// waitAnswered waits until no connection has a request under way any more.
func (e *Entry) waitAnswered(ctx context.Context) error {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for accepting, remaining := true, 0; ; {
		now := e.dispatch.clock()
		e.stop.Expire(now)
		if accepting && !e.stop.Accepting(now) {
			accepting = false
			_ = e.listener.Close()
		}
		if !accepting {
			if remaining = e.listener.CloseIdle(); remaining == 0 && e.listener.Lingering() == 0 {
				return nil
			}
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			if !accepting && remaining == 0 {
				return nil
			}
			return errors.Errorf("%d connections were still in use at the end of the drain", remaining)
		}
	}
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
		"open":     e.openRequests.total(),
		"services": services,
	}
}

// openRequests counts the open requests and limits them per caller.
type openRequests struct {
	mu             sync.Mutex
	perCallerLimit int
	byCaller       map[string]int
	sum            int
}

func (s *openRequests) begin(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCaller[caller] >= s.perCallerLimit {
		return false
	}
	s.byCaller[caller]++
	s.sum++
	return true
}

func (s *openRequests) end(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum--
	if s.byCaller[caller]--; s.byCaller[caller] <= 0 {
		delete(s.byCaller, caller)
	}
}

func (s *openRequests) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// meters holds the entry's metrics.
type meters struct {
	accepted, refused, answered, failed metrics.Counter
	resumed, recomputed                 metrics.Counter
	// panics counts requests whose handler panicked.
	panics     metrics.Counter
	firstToken metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		accepted:   metrics.GetOrRegisterCounter("entry.accepted", r),
		refused:    metrics.GetOrRegisterCounter("entry.refused", r),
		answered:   metrics.GetOrRegisterCounter("entry.answered", r),
		failed:     metrics.GetOrRegisterCounter("entry.failed", r),
		resumed:    metrics.GetOrRegisterCounter("entry.resumed", r),
		recomputed: metrics.GetOrRegisterCounter("entry.tokensRecomputed", r),
		panics:     metrics.GetOrRegisterCounter("entry.panics", r),
		firstToken: metrics.GetOrRegisterTimer("entry.firstToken", r),
	}
}
