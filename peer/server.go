package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/peer/rpc"
)

// Timeouts of the server.
const (
	readHeaderTimeout = 2 * time.Second
	serverIdleTimeout = time.Minute
	drainTimeout      = time.Second
)

// Server serves peers, upstreams and operators on one address.
type Server struct {
	// Address is where the server listens.
	Address netip.AddrPort
	// Client calls other nodes.
	Client  *Client
	mux     *http.ServeMux
	service *rpcService
	http    *http.Server
}

var _ kernel.Plugin = (*Server)(nil)

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
	s := &Server{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		Client:  NewClient(),
		mux:     http.NewServeMux(),
		service: &rpcService{handlers: map[Method]Handler{}},
	}
	twirpServer := rpc.NewPeerServer(s.service)
	s.mux.Handle(twirpServer.PathPrefix(), http.MaxBytesHandler(twirpServer, maxMessageBytes))
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() { _ = s.http.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	return s, nil
}

// On sets the handler of a method.
func (s *Server) On(m Method, h Handler) {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	s.service.handlers[m] = h
}

// Handle sets the handler of an HTTP pattern, as for net/http's ServeMux.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Drain implements kernel.Plugin.
func (s *Server) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx)
	return nil
}

// Dump implements kernel.Plugin.
func (s *Server) Dump() any { return map[string]string{"listen": s.Address.String()} }
