// Package peer carries messages between nodes by twirp, an RPC protocol on
// HTTP. A Client calls other nodes' methods; a Server answers them with the
// handlers that the node's plug-ins set, and serves HTTP for upstreams and
// operators on the same address. Messages are encoded by package wire.
package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/peer/rpc"
)

// Limits of the connections to one peer.
const (
	// dialTimeout is many round trips between regions. An instance that has
	// lost power doesn't answer at all, and the caller has other nodes to ask.
	dialTimeout     = 300 * time.Millisecond
	maxIdlePerPeer  = 4
	idleTimeout     = 30 * time.Second
	maxMessageBytes = 64 << 20
	maxHeadBytes    = 16 << 10
)

// Method identifies a method of rpc.Peer.
type Method int

// The methods, as peer.proto describes them.
const (
	Exchange Method = iota
	Step
	Propose
	Read
	Sync
	Account
	Reserve
	Origins
)

// Client calls other nodes by address. A call that times out drops every pooled
// connection to its address, so that the next call dials anew.
type Client struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*peerConn
}

// peerConn holds the pooled connections to one peer and the stub that calls it
// by them.
type peerConn struct {
	transport *http.Transport
	stub      rpc.Peer
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{peers: map[netip.AddrPort]*peerConn{}} }

func (c *Client) connTo(address netip.AddrPort) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		t := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: maxHeadBytes,
		}
		p = &peerConn{
			transport: t,
			stub:      rpc.NewPeerProtobufClient("http://"+address.String(), &http.Client{Transport: boundedTransport{t}}),
		}
		c.peers[address] = p
	}
	return p
}

// boundedTransport bounds the bodies of responses, which twirp reads whole.
type boundedTransport struct{ transport *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxMessageBytes)
	}
	return response, err
}

// Call sends a request and decodes the reply, within the deadline of ctx. If
// reply is nil, what the peer returns is ignored.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, m Method, request any, reply wire.Checker) error {
	body, err := wire.Encode(request)
	if err != nil {
		return err
	}
	p := c.connTo(address)
	frame, err := p.call(ctx, m, &rpc.Frame{Body: body})
	if err != nil {
		if ctx.Err() != nil {
			c.drop(address)
		}
		return errors.Wrapf(err, "peer %s", address)
	}
	if reply == nil {
		return nil
	}
	return wire.Decode(frame.GetBody(), reply)
}

func (p *peerConn) call(ctx context.Context, m Method, f *rpc.Frame) (*rpc.Frame, error) {
	switch m {
	case Exchange:
		return p.stub.Exchange(ctx, f)
	case Step:
		return p.stub.Step(ctx, f)
	case Propose:
		return p.stub.Propose(ctx, f)
	case Read:
		return p.stub.Read(ctx, f)
	case Sync:
		return p.stub.Sync(ctx, f)
	case Account:
		return p.stub.Account(ctx, f)
	case Reserve:
		return p.stub.Reserve(ctx, f)
	case Origins:
		return p.stub.Origins(ctx, f)
	default:
		return nil, errors.Errorf("unknown method %d", int(m))
	}
}

// drop forgets an address and closes its idle connections.
func (c *Client) drop(address netip.AddrPort) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.transport.CloseIdleConnections()
	}
}

// Handler answers the calls of one method: it decodes body and returns the reply
// to encode.
type Handler func(ctx context.Context, body []byte) (any, error)

// rpcService implements rpc.Peer by one handler for each method.
type rpcService struct {
	mu       sync.RWMutex
	handlers map[Method]Handler
	start    *start
}

var _ rpc.Peer = (*rpcService)(nil)

func (s *rpcService) serve(ctx context.Context, m Method, f *rpc.Frame) (*rpc.Frame, error) {
	h := s.handler(m)
	if h == nil {
		started := s.start.wait(ctx)
		if h = s.handler(m); h == nil && !started {
			return nil, twirp.NewError(twirp.Unavailable, "the node is starting")
		}
	}
	if h == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no role of this node serves the method")
	}
	reply, err := h(ctx, f.GetBody())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	body, err := wire.Encode(reply)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.Frame{Body: body}, nil
}

func (s *rpcService) handler(m Method) Handler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.handlers[m]
}

func (s *rpcService) Exchange(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Exchange, f)
}

func (s *rpcService) Step(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Step, f)
}

func (s *rpcService) Propose(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Propose, f)
}

func (s *rpcService) Read(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Read, f)
}

func (s *rpcService) Sync(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Sync, f)
}

func (s *rpcService) Account(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Account, f)
}

func (s *rpcService) Reserve(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Reserve, f)
}

func (s *rpcService) Origins(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return s.serve(ctx, Origins, f)
}
