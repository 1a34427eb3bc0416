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

// Timeouts of the server between nodes.
const (
	readHeaderTimeout = 2 * time.Second
	serverIdleTimeout = time.Minute
	closeTimeout      = time.Second
)

// Server is the listener for peers, upstreams and operators.
type Server struct {
	// Address is where the server listens.
	Address netip.AddrPort
	// Client calls other nodes.
	Client   *Client
	mux      *http.ServeMux
	contract *contract
	http     *http.Server
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
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	s := &Server{
		Address:  l.Addr().(*net.TCPAddr).AddrPort(),
		Client:   NewClient(),
		mux:      http.NewServeMux(),
		contract: &contract{handlers: map[Method]Handler{}},
	}
	twirpServer := rpc.NewPeerServer(s.contract)
	s.mux.Handle(twirpServer.PathPrefix(), http.MaxBytesHandler(twirpServer, maxMessageBytes))
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() { _ = s.http.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	return s, nil
}

// On sets the handler of a method.
func (s *Server) On(m Method, h Handler) {
	s.contract.mu.Lock()
	defer s.contract.mu.Unlock()
	s.contract.handlers[m] = h
}

// Handle serves a pattern of net/http's mux.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Drain implements kernel.Plugin.
func (s *Server) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx)
	return nil
}

// Dump implements kernel.Plugin.
func (s *Server) Dump() any { return map[string]string{"listen": s.Address.String()} }
