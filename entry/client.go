package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/tcpconn"
)

// Limits of the connections to one upstream.
const (
	upstreamDialTimeout = 500 * time.Millisecond
	maxIdlePerUpstream  = 64
	upstreamIdleTimeout = 20 * time.Second
	keepAliveInterval   = 5 * time.Second
	// maxResponseHeadBytes bounds the status line and headers of a response.
	maxResponseHeadBytes = 64 << 10
)

// upstreamClient sends HTTP requests to upstreams. Each address has its own pool
// of connections, so that a connection without progress discards only that pool.
type upstreamClient struct {
	mu     sync.Mutex
	pooled map[netip.AddrPort]*http.Transport
	// unpooled never reuses a connection: net/http re-sends a request by
	// itself only on a reused one.
	unpooled *http.Transport
}

func newUpstreamClient() *upstreamClient {
	return &upstreamClient{
		pooled:   map[netip.AddrPort]*http.Transport{},
		unpooled: newTransport(true),
	}
}

func newTransport(singleUse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tcpconn.Conn{Conn: c}, nil
		},
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     upstreamIdleTimeout,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

func (c *upstreamClient) pool(address netip.AddrPort) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.pooled[address]
	if !ok {
		t = newTransport(false)
		c.pooled[address] = t
	}
	return t
}

// dropPool discards the pool of an address and closes its idle connections.
func (c *upstreamClient) dropPool(address netip.AddrPort) {
	c.mu.Lock()
	t := c.pooled[address]
	delete(c.pooled, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// roundTrip is the result of one HTTP request to an upstream.
type roundTrip struct {
	response *http.Response
	// connected is set if there was a connection, so that bytes may have been
	// sent.
	connected bool
}

// errOtherRequest reports a response that names another request.
var errOtherRequest = errors.New("the response belongs to another request")

// isOtherRequest reports whether a response's ID is that of another request of this entry.
// Upstreams may have IDs of their own.
func isOtherRequest(id, own string) bool {
	prefix := own[:strings.LastIndexByte(own, '-')+1]
	return id != own && prefix != "" && strings.HasPrefix(id, prefix)
}

// do sends a request. One that isn't repeatable is sent on a new connection of
// its own. Redirects aren't followed. A response that names another request, as a late
// copy on a reused connection does, is an error.
func (c *upstreamClient) do(ctx context.Context, address netip.AddrPort, r *http.Request, repeatable bool) (roundTrip, error) {
	transport := c.unpooled
	if repeatable {
		transport = c.pool(address)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && isOtherRequest(response.Header.Get(headerRequest), r.Header.Get(headerRequest)) {
		_ = response.Body.Close()
		c.dropPool(address)
		return roundTrip{connected: true}, errOtherRequest
	}
	return roundTrip{response: response, connected: connected.Load()}, err
}
