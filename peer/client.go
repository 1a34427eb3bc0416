// Package peer carries messages between nodes by twirp.
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
	// dialTimeout is many round trips between regions; an instance without
	// power answers nothing, and the caller has others to ask.
	dialTimeout     = 300 * time.Millisecond
	maxIdlePerPeer  = 4
	idleTimeout     = 30 * time.Second
	maxMessageBytes = 64 << 20
)

// Method names one call of the contract.
type Method int

// The methods.
const (
	Exchange Method = iota
	Step
	Propose
	Read
	Sync
	Account
	Reserve
)

// Client calls peers by address. A call that times out drops every pooled
// connection to that address, so that the next one dials anew.
type Client struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*remote
}

type remote struct {
	transport *http.Transport
	contract  rpc.Peer
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{peers: map[netip.AddrPort]*remote{}} }

func (c *Client) remote(address netip.AddrPort) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.peers[address]
	if !ok {
		t := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,
		}
		r = &remote{
			transport: t,
			contract:  rpc.NewPeerProtobufClient("http://"+address.String(), &http.Client{Transport: t}),
		}
		c.peers[address] = r
	}
	return r
}

// Call sends a message and decodes the answer, within the deadline of ctx. A
// nil answer ignores what comes back.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, m Method, message any, answer wire.Checker) error {
	body, err := wire.Encode(message)
	if err != nil {
		return err
	}
	r := c.remote(address)
	frame, err := r.call(ctx, m, &rpc.Frame{Body: body})
	if err != nil {
		if ctx.Err() != nil {
			c.drop(address)
		}
		return errors.Wrapf(err, "peer %s", address)
	}
	if answer == nil {
		return nil
	}
	return wire.Decode(frame.GetBody(), answer)
}

func (r *remote) call(ctx context.Context, m Method, f *rpc.Frame) (*rpc.Frame, error) {
	switch m {
	case Exchange:
		return r.contract.Exchange(ctx, f)
	case Step:
		return r.contract.Step(ctx, f)
	case Propose:
		return r.contract.Propose(ctx, f)
	case Read:
		return r.contract.Read(ctx, f)
	case Sync:
		return r.contract.Sync(ctx, f)
	case Account:
		return r.contract.Account(ctx, f)
	case Reserve:
		return r.contract.Reserve(ctx, f)
	default:
		return nil, errors.Errorf("method %d", int(m))
	}
}

// drop forgets the connections to an address.
func (c *Client) drop(address netip.AddrPort) {
	c.mu.Lock()
	r := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if r != nil {
		r.transport.CloseIdleConnections()
	}
}

// Handler answers one method's messages.
type Handler func(ctx context.Context, body []byte) (any, error)

// contract implements the generated interface by handlers.
type contract struct {
	mu       sync.RWMutex
	handlers map[Method]Handler
}

var _ rpc.Peer = (*contract)(nil)

func (c *contract) serve(ctx context.Context, m Method, f *rpc.Frame) (*rpc.Frame, error) {
	c.mu.RLock()
	h := c.handlers[m]
	c.mu.RUnlock()
	if h == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this node has no such role")
	}
	answer, err := h(ctx, f.GetBody())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	body, err := wire.Encode(answer)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.Frame{Body: body}, nil
}

func (c *contract) Exchange(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Exchange, f)
}

func (c *contract) Step(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Step, f)
}

func (c *contract) Propose(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Propose, f)
}

func (c *contract) Read(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Read, f)
}

func (c *contract) Sync(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Sync, f)
}

func (c *contract) Account(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Account, f)
}

func (c *contract) Reserve(ctx context.Context, f *rpc.Frame) (*rpc.Frame, error) {
	return c.serve(ctx, Reserve, f)
}
