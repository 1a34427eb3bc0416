package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the connections to one upstream.
const (
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamIdle        = 64
	upstreamIdleTimeout = 20 * time.Second
	keepAliveInterval   = 5 * time.Second
)

// clients holds the HTTP clients to the upstreams. Each address has its own
// pool, so that a silent connection costs only the pool it belongs to.
type clients struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*http.Transport
	// fresh never reuses a connection: the library re-sends a request by
	// itself only on a reused one.
	fresh *http.Transport
}

func newClients() *clients {
	return &clients{
		pools: map[netip.AddrPort]*http.Transport{},
		fresh: newTransport(true),
	}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: upstreamIdle,
		IdleConnTimeout:     upstreamIdleTimeout,
	}
}

func (c *clients) pool(address netip.AddrPort) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.pools[address]
	if !ok {
		t = newTransport(false)
		c.pools[address] = t
	}
	return t
}

// dropPool drops the pooled connections to an address.
func (c *clients) dropPool(address netip.AddrPort) {
	c.mu.Lock()
	t := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// exchange is one HTTP attempt at an upstream.
type exchange struct {
	response *http.Response
	// connected says that a connection stood, so that bytes may have been
	// sent.
	connected bool
}

// do sends the request. A request that may not be repeated goes out on a
// connection of its own, made for it. Redirects aren't followed.
func (c *clients) do(ctx context.Context, address netip.AddrPort, r *http.Request, repeatable bool) (exchange, error) {
	transport := c.fresh
	if repeatable {
		transport = c.pool(address)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return exchange{response: response, connected: connected.Load()}, err
}
