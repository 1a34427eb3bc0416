package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// startHelper starts an entry that opens tunnels to the upstream.
func startHelper(t *testing.T, address netip.AddrPort) (*tunnels, netip.AddrPort) {
	t.Helper()
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	m := newMeters(metrics.NewRegistry())
	d := newDispatcher(t.Context(), clock.System(), fleet.New(fleet.Options{Zone: "a", Entries: 1, DrainWithin: time.Second}), func(context.Context, netip.AddrPort) (bool, error) { return false, nil })
	d.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		return f.Merge(now, []upstream.Member{{Announcement: upstream.Announcement{ID: "u", Incarnation: 1, Sequence: 1, Address: address, Zone: "a", Slots: 8, Services: []string{"s"}, Lease: time.Minute}}})
	})
	h := &tunnels{dispatcher: d, direct: exchange.DialDirect, broken: func(netip.AddrPort) bool { return false }, stopping: func() bool { return false }, meters: &m}
	server.Handle(tunnelPattern, h)
	return h, server.Address
}

// exchangeThrough sends a request through the helper and reads the answer.
func exchangeThrough(ctx context.Context, helper, address netip.AddrPort) (body string, framed bool, err error) {
	client := exchange.NewWithDial(func(ctx context.Context, a netip.AddrPort) (net.Conn, error) { return dialTunnel(ctx, helper, a) }, func() {})
	response, err := client.Do(ctx, address, &exchange.Request{Method: http.MethodPost, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }})
	if err != nil {
		return "", false, err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return string(data), response.Framed(), err
}

// TestTunnelsThatBreakLookBroken guards against an answer that looks complete although the way
// between the two entries broke, at any byte of it. An answer that ends with its
// connection has nothing else that says so.
func TestTunnelsThatBreakLookBroken(t *testing.T) {
	const answer = answerHead + "\r\nthe whole body"
	address := startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
	_, helper := startHelper(t, address)
	body, framed, err := exchangeThrough(t.Context(), helper, address)
	g := gomega.NewWithT(t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(framed).To(gomega.BeFalse())
	g.Expect(body).To(gomega.Equal("the whole body"))

	// A relay between the entries ends after so many bytes of the helper's.
	var limit atomic.Int64
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				far, err := net.Dial("tcp4", helper.String())
				if err != nil {
					return
				}
				defer func() { _ = far.Close() }()
				go func() { _, _ = io.Copy(far, c) }()
				_, _ = io.CopyN(c, far, limit.Load())
			}()
		}
	}()
	through := l.Addr().(*net.TCPAddr).AddrPort()
	limit.Store(1 << 20)
	_, _, err = exchangeThrough(t.Context(), through, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	whole := len("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + len(chunk(answer)) + len("0\r\n")
	for n := range whole {
		limit.Store(int64(n))
		_, _, err := exchangeThrough(t.Context(), through, address)
		g.Expect(err).To(gomega.HaveOccurred(), "after %d bytes", n)
	}
}

// TestBrokenUpstreamsLookBrokenThroughTunnels guards against an answer that looks complete
// although its upstream reset the connection.
func TestBrokenUpstreamsLookBrokenThroughTunnels(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startUpstream(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answerHead+"\r\nhalf")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, helper := startHelper(t, address)
	_, _, err := exchangeThrough(t.Context(), helper, address)
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestTunnelsEndWithTheirRequest guards against an upstream that goes on with a request that
// was given up, and against tunnels that stay open.
func TestTunnelsEndWithTheirRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	address := startUpstream(t, func(c net.Conn, _ *http.Request) {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	})
	h, helper := startHelper(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := exchangeThrough(ctx, helper, address)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(ended, time.Second).Should(gomega.BeClosed())
	drained, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	h.drain(drained)
	g.Expect(drained.Err()).NotTo(gomega.HaveOccurred())
}

// TestTunnelsKeepToWhatUpstreamsWant guards against requests of another entry that reach an
// upstream by way of this one after the upstream has told it that it leaves, or wants no
// requests; also if the answer that said so went to the other entry.
func TestTunnelsKeepToWhatUpstreamsWant(t *testing.T) {
	for name, header := range map[string]string{"leaves": "Server-Leaving: 1", "is closed for a time": "Retry-After: 5"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var arrived atomic.Int64
			address := startUpstream(t, func(c net.Conn, _ *http.Request) {
				arrived.Add(1)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n", requestID, header)
			})
			_, helper := startHelper(t, address)
			_, _, err := exchangeThrough(t.Context(), helper, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(func() error {
				_, err := dialTunnel(t.Context(), helper, address)
				return err
			}, time.Second).Should(gomega.MatchError(errNotAccepted))
			g.Expect(arrived.Load()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// TestTunnelsLeadToUpstreamsOnly guards against tunnels to other addresses, and from one entry
// to the next.
func TestTunnelsLeadToUpstreamsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	down := netip.MustParseAddrPort("127.0.0.1:9")
	_, helper := startHelper(t, down)
	_, err := dialTunnel(t.Context(), helper, down)
	g.Expect(errors.Is(err, errNotReached)).To(gomega.BeTrue())
	_, err = dialTunnel(t.Context(), helper, helper)
	g.Expect(errors.Is(err, errNotAccepted)).To(gomega.BeTrue())
	for _, header := range []string{"", "x", "127.0.0.1", "[::1]:80:1", strings.Repeat("9", 1<<10)} {
		conn, err := net.Dial("tcp4", helper.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = fmt.Fprintf(conn, "POST /tunnel HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", upstreamHeader, header)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		_ = conn.Close()
	}
}

// TestHelpersWithoutEnd guards against an entry that keeps all that another process sends at the
// address of an entry that is gone.
func TestHelpersWithoutEnd(t *testing.T) {
	for name, head := range map[string]string{"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX-More: ", "no answer": ""} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			block, closed := bytes.Repeat([]byte("more"), 16<<10), make(chan struct{})
			helper := startUpstream(t, func(c net.Conn, _ *http.Request) {
				defer close(closed)
				_, err := io.WriteString(c, head)
				for err == nil {
					_, err = c.Write(block)
				}
			})
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := dialTunnel(t.Context(), helper, helper)
			runtime.ReadMemStats(&after)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(int64(after.TotalAlloc) - int64(before.TotalAlloc)).To(gomega.BeNumerically("<", maxHeapGrowth))
			g.Eventually(closed).Should(gomega.BeClosed())
		})
	}
}

// TestTunnelsAreBounded guards against an entry whose memory ends by the requests of others.
func TestTunnelsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &tunnels{}
	for range maxTunnels {
		g.Expect(h.begin()).To(gomega.BeTrue())
	}
	g.Expect(h.begin()).To(gomega.BeFalse())
	h.end()
	g.Expect(h.begin()).To(gomega.BeTrue())
}

// BenchmarkWholePaths compares a dial by the paths' dialer with the dial alone: an entry whose
// paths are whole must not pay for the others.
func BenchmarkWholePaths(b *testing.B) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	direct := func(context.Context, netip.AddrPort) (net.Conn, error) { return near, nil }
	m := newMeters(metrics.NewRegistry())
	paths := newPathDialer(b.Context(), clock.System(), direct, &m, noPathHooks)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	for name, dial := range map[string]exchange.Dial{"direct": direct, "paths": paths.Dial} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = dial(b.Context(), address)
			}
		})
	}
}

// TestResetWhileSendingIsNoEndOfATunnel guards against an answer that looks complete although
// its upstream reset the connection while the request's body was still passing the helper:
// the kernel reports the reset once, to the helper's writer.
func TestResetWhileSendingIsNoEndOfATunnel(t *testing.T) {
	g := gomega.NewWithT(t)
	headRead := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answerHead+"\r\nhalf")
		<-headRead
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_, helper := startHelper(t, address)
	client := exchange.NewWithDial(func(ctx context.Context, a netip.AddrPort) (net.Conn, error) { return dialTunnel(ctx, helper, a) }, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, address, &exchange.Request{
		Method: http.MethodPost, Target: "/", Host: "h", HasBody: true, Body: make([]byte, 32<<20), Matches: func(*http.Response, bool) bool { return true },
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Close()
	close(headRead)
	body, err := io.ReadAll(response)
	g.Expect(err).To(gomega.HaveOccurred(), "%q looks complete", body)
}
