package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/peer/rpc"
	"github.com/hyssopladder/hyssopladder/result"
)

// Timeouts of the server.
const (
	readHeaderTimeout = 2 * time.Second
	serverIdleTimeout = time.Minute
	drainTimeout      = time.Second
	// answerTimeout is the time that requests have to answer which still wait then.
	answerTimeout = 250 * time.Millisecond
	// maxStartWait bounds how long a request waits for a handler that no plug-in has set
	// yet while the node starts. It is shorter than the timeouts of calls between nodes.
	maxStartWait = 500 * time.Millisecond
	// startRetryAfter is when a caller that has waited in vain is asked to come back.
	startRetryAfter = time.Second
)

// Server serves peers, upstreams and operators on one address. It serves from its start on,
// as gossip and elections need it early; while the node starts, requests for which there is
// no handler yet wait for it.
type Server struct {
	// Address is where the server listens.
	Address netip.AddrPort
	// Client calls other nodes.
	Client  *Client
	mux     *http.ServeMux
	service *rpcService
	http    *http.Server
	start   *start
	// endWaits ends the contexts of all requests.
	endWaits func()
}

var (
	_ kernel.Plugin  = (*Server)(nil)
	_ kernel.Starter = (*Server)(nil)
)

func init() {
	kernel.Register(kernel.Registration{Name: "peer", Order: 10, New: newPlugin})
}

func newPlugin(ctx context.Context, host *kernel.Host) (kernel.Plugin, error) {
	s, err := New(ctx, host.Settings.Peer.Listen)
	if err != nil {
		return nil, err
	}
	kernel.Provide(host, s)
	return s, nil
}

// New listens on the address and serves until ctx ends.
func New(ctx context.Context, listen netip.AddrPort) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	starting := &start{done: make(chan struct{})}
	requests, endWaits := context.WithCancel(ctx)
	s := &Server{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		Client:  NewClient(),
		mux:     http.NewServeMux(),
		service: &rpcService{handlers: map[Method]Handler{}, start: starting},
		start:   starting,

		endWaits: endWaits,
	}
	twirpServer := rpc.NewPeerServer(s.service)
	s.mux.Handle(twirpServer.PathPrefix(), http.MaxBytesHandler(twirpServer, maxMessageBytes))
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	go func() { _ = s.http.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	return s, nil
}

// serve passes a request to its handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	served := func() bool {
		_, pattern := s.mux.Handler(r)
		return pattern != ""
	}
	if !served() && !s.start.wait(r.Context()) && !served() {
		problem.Write(w, result.New(result.NotReady, result.RanNo, "the node is starting").WithRetry(startRetryAfter))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Started implements kernel.Starter: from now on, what has no handler is unknown.
func (s *Server) Started() { s.start.once.Do(func() { close(s.start.done) }) }

// start is a node's start; done is closed when all plug-ins have set their handlers.
type start struct {
	done chan struct{}
	once sync.Once
}

// wait waits for the end of the start, and reports whether it has come within maxStartWait.
func (s *start) wait(ctx context.Context) bool {
	timeout := time.NewTimer(maxStartWait)
	defer timeout.Stop()
	select {
	case <-s.done:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// On sets the handler of a method.
func (s *Server) On(m Method, h Handler) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	s.service.handlers[m] = h
}

// Handle sets the handler of an HTTP pattern, as for net/http's ServeMux.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Drain implements kernel.Plugin. Requests that wait for longer than the drain, as for a
// majority, are ended while they can still be answered.
func (s *Server) Drain(ctx context.Context) error {
	wait := drainTimeout
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)-answerTimeout)
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if s.http.Shutdown(waiting) == nil {
		return nil
	}
	s.endWaits()
	answering, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_ = s.http.Shutdown(answering)
	return nil
}

// Dump implements kernel.Plugin.
func (s *Server) Dump() any { return map[string]string{"listen": s.Address.String()} }
