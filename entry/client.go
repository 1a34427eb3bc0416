package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/httpstatus"
	"github.com/hyssopladder/hyssopladder/common/tcpconn"
)

// Limits of the connections to one upstream.
const (
	upstreamDialTimeout = 500 * time.Millisecond
	keepAliveInterval   = 5 * time.Second
	// maxResponseHeadBytes bounds the status line and headers of a response.
	maxResponseHeadBytes = 64 << 10
)

// upstreamClient sends HTTP requests to upstreams, each on a connection of its own: net/http
// re-sends a request by itself on one that is used again, and an answer too many to an earlier
// request, such as a copy, would be read there as that to the next one. Its ID doesn't tell
// if the same request is sent again, nor if the upstream doesn't repeat IDs.
type upstreamClient struct {
	transport *http.Transport
}

func newUpstreamClient() *upstreamClient { return &upstreamClient{newTransport()} }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tcpconn.Conn{Conn: c}, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
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

// do sends a request. Redirects aren't followed. A response that names another request, or whose
// status can't be that of an answer, is an error.
func (c *upstreamClient) do(ctx context.Context, r *http.Request) (roundTrip, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && isOtherRequest(response.Header.Get(headerRequest), r.Header.Get(headerRequest)) {
		_ = response.Body.Close()
		return roundTrip{connected: true}, errOtherRequest
	}
	if err == nil && !httpstatus.Final(response.StatusCode) {
		_ = response.Body.Close()
		return roundTrip{connected: true}, errors.Errorf("response with status %03d, which is no answer", response.StatusCode)
	}
	return roundTrip{response: response, connected: connected.Load()}, err
}
