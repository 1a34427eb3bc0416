package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/httpstatus"
	"github.com/hyssopladder/hyssopladder/common/tcpconn"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/platform"
)

// A tunnel is a connection of one entry to an upstream by way of another entry, the helper.
// The entry that has the request does everything else: it chooses the upstream, counts, and
// retries. Bytes go to the upstream as they are. Those of the upstream come in
// chunks, so that a broken way looks different from an answer that ends with its connection.
// A tunnel ends at an upstream, never at another tunnel.
const (
	tunnelPattern = "POST /tunnel"
	// upstreamHeader names the address of the upstream.
	upstreamHeader = "Hyssopladder-Upstream"
	// tunnelDialTimeout bounds the way to the helper and its dial to the upstream.
	tunnelDialTimeout = 700 * time.Millisecond
	// maxTunnels bounds the tunnels through one entry. Each takes about 40 KB.
	maxTunnels = 256
	// maxTunnelHead bounds the head of a helper's answer, in bytes.
	maxTunnelHead = 16 << 10
	// tunnelCopyBytes is the size of one read in a tunnel.
	tunnelCopyBytes = 8 << 10
)

// errNotReached is the error of a helper that doesn't reach the upstream either.
var errNotReached = errors.New("the other entry doesn't reach the upstream")

// errNotAccepted is the error of a helper to which the upstream has said that it wants no
// requests.
var errNotAccepted = errors.New("the other entry may not use the upstream now")

// tunnelConn is the end of a tunnel at the entry that has the request.
type tunnelConn struct {
	net.Conn
	fromUpstream io.Reader
}

// SetLinger makes Close drop what is unsent, on the way to the other entry.
func (c *tunnelConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Read implements net.Conn. It returns io.EOF only after the upstream has closed the
// connection, and another error if the way to it broke.
func (c *tunnelConn) Read(p []byte) (int, error) { return c.fromUpstream.Read(p) }

// dialTunnel connects to an upstream through a helper.
func dialTunnel(ctx context.Context, helper, upstream netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	conn, err := exchange.DialDirect(ctx, helper)
	if err != nil {
		return nil, errors.Wrap(err, "other entry")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, reader, err := openTunnel(conn, helper, upstream)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "other entry")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return &tunnelConn{Conn: conn, fromUpstream: httputil.NewChunkedReader(reader)}, nil
	case http.StatusBadGateway:
		err = errNotReached
	case http.StatusConflict:
		err = errNotAccepted
	default:
		err = errors.Errorf("the other entry answered with status %d", response.StatusCode)
	}
	_ = conn.Close()
	return nil, err
}

// openTunnel asks for a tunnel. What follows the response is to be read from the reader.
func openTunnel(conn net.Conn, helper, upstream netip.AddrPort) (*http.Response, *bufio.Reader, error) {
	if _, err := fmt.Fprintf(conn, "POST /tunnel HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", helper, upstreamHeader, upstream); err != nil {
		return nil, nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxTunnelHead}
	reader := bufio.NewReader(limited)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	limited.N = math.MaxInt64
	return response, reader, err
}

// tunnels are those that other entries have through this one.
type tunnels struct {
	dispatcher *dispatcher
	direct     exchange.Dial
	// broken reports whether this entry doesn't reach the upstream itself.
	broken   func(upstream netip.AddrPort) bool
	stopping func() bool
	meters   *meters

	mu   sync.Mutex
	open int
	// idle is closed when open falls to 0; nil unless it is waited for.
	idle chan struct{}
}

// ServeHTTP opens a tunnel for another entry.
func (t *tunnels) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upstream, err := netip.ParseAddrPort(r.Header.Get(upstreamHeader))
	if err != nil {
		http.Error(w, "the header "+upstreamHeader+" is no address", http.StatusBadRequest)
		return
	}
	accepts := false
	t.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		accepts = f.Accepts(now, upstream)
		return nil
	})
	switch {
	case !accepts:
		http.Error(w, "the upstream wants no requests of this entry now", http.StatusConflict)
		return
	case t.broken(upstream):
		http.Error(w, "upstream not reached", http.StatusBadGateway)
		return
	case t.stopping() || !t.begin():
		http.Error(w, "no further tunnels now", http.StatusServiceUnavailable)
		return
	}
	defer t.end()
	toUpstream, err := t.direct(r.Context(), upstream)
	if err != nil {
		klog.V(1).InfoS("upstream not reached for another entry", "address", upstream, "from", r.RemoteAddr, "err", err)
		http.Error(w, "upstream not reached", http.StatusBadGateway)
		return
	}
	defer func() { _ = toUpstream.Close() }()
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "the connection can't be taken over", http.StatusInternalServerError)
		return
	}
	toEntry, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = toEntry.Close() }()
	stop := context.AfterFunc(r.Context(), func() { _ = toEntry.Close() })
	defer stop()
	exchange.DetectDeadPeer(toEntry)
	t.meters.tunnelsServed.Inc(1)
	t.splice(toEntry, toUpstream, upstream)
}

// splice copies bytes in both directions until one side ends.
func (t *tunnels) splice(toEntry, toUpstream net.Conn, upstream netip.AddrPort) {
	go func() {
		// Plain readers and writers: the kernel may not splice connections everywhere.
		_, _ = io.CopyBuffer(struct{ io.Writer }{toUpstream}, struct{ io.Reader }{toEntry}, make([]byte, tunnelCopyBytes))
		// The entry has closed its end: the request was given up, or has been answered.
		exchange.Abort(toUpstream)
	}()
	out := bufio.NewWriterSize(toEntry, tunnelCopyBytes+64)
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	head := headWatcher{notify: func(n fleet.Notice) { t.told(upstream, n) }}
	buffer := make([]byte, tunnelCopyBytes)
	fromUpstream := tcpconn.Conn{Conn: toUpstream}
	for {
		if err := out.Flush(); err != nil {
			return
		}
		n, err := fromUpstream.Read(buffer)
		if n > 0 {
			head.write(buffer[:n])
			_, _ = fmt.Fprintf(out, "%x\r\n", n)
			_, _ = out.Write(buffer[:n])
			_, _ = out.WriteString("\r\n")
		}
		switch {
		case errors.Is(err, io.EOF):
			_, _ = out.WriteString("0\r\n\r\n")
			_ = out.Flush()
			return
		case err != nil:
			_ = out.Flush()
			return
		}
	}
}

// told applies a notice in an answer that passed through this entry: to the upstream it
// is this entry that was told.
func (t *tunnels) told(upstream netip.AddrPort, n fleet.Notice) {
	klog.InfoS("answer for another entry says how the upstream wants to be used", "address", upstream, "leaving", n.Leaving, "retryAfter", n.RetryAfter)
	t.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.ToldAt(now, upstream, n) })
}

// headWatcher looks for notices in the first head of an upstream's bytes.
type headWatcher struct {
	notify func(fleet.Notice)
	head   []byte
	done   bool
}

// maxWatchedHead bounds the bytes in which a headWatcher looks for the end of a head.
const maxWatchedHead = 16 << 10

func (h *headWatcher) write(p []byte) {
	if h.done {
		return
	}
	h.head = append(h.head, p...)
	for {
		end := bytes.Index(h.head, []byte("\r\n\r\n"))
		if end < 0 {
			h.done = len(h.head) > maxWatchedHead
			return
		}
		end += len("\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(h.head[:end])), nil)
		if err != nil {
			h.done = true
			return
		}
		h.head = h.head[end:]
		if httpstatus.Interim(response.StatusCode) {
			continue
		}
		h.done = true
		if !httpstatus.Final(response.StatusCode) {
			return
		}
		a := platform.DecodeResponse(response.StatusCode, response.Header)
		if !a.OtherUpstream && (a.Leaving || a.RetryAfter > 0) {
			h.notify(fleet.Notice{Leaving: a.Leaving, RetryAfter: a.RetryAfter})
		}
		return
	}
}

// begin counts a tunnel, unless there are too many.
func (t *tunnels) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= maxTunnels {
		return false
	}
	t.open++
	return true
}

func (t *tunnels) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open--; t.open == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// drain waits until no tunnel is open, or ctx ends.
func (t *tunnels) drain(ctx context.Context) {
	t.mu.Lock()
	if t.open == 0 {
		t.mu.Unlock()
		return
	}
	idle := make(chan struct{})
	t.idle = idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
