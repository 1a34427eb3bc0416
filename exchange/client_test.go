package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// testServer counts the connections and requests that it gets.
type testServer struct {
	address  netip.AddrPort
	accepted atomic.Int64
	requests atomic.Int64
}

// startServer starts a server that calls respond for each request; respond
// returns whether to keep the connection.
func startServer(t *testing.T, respond func(c net.Conn, r *http.Request) bool) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &testServer{address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.requests.Add(1)
					if !respond(c, r) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a//b/../c?x=%2F", Host: "mill.example", Header: http.Header{"X-Id": {id}}, ID: id,
		Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("X-Id") == id },
	}
}

func fetch(t *testing.T, c *Client, s *testServer, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := c.Do(ctx, s.address, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func writeCRLF(c net.Conn, text string) bool {
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func TestTargetIsSentUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var target, host string
	s := startServer(t, func(c net.Conn, r *http.Request) bool {
		target, host = r.RequestURI, r.Host
		return writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok")
	})
	c := New(func() {})
	g.Expect(fetch(t, c, s, newRequest("1"))).To(gomega.Equal("ok"))
	g.Expect(target).To(gomega.Equal("/a//b/../c?x=%2F"))
	g.Expect(host).To(gomega.Equal("mill.example"))
}

// TestConnectionsAreKeptOnlyWhenTheirStateIsKnown sends two requests one after
// the other and counts the connections: the second request may use the first
// connection only if the first response has left it clean.
func TestConnectionsAreKeptOnlyWhenTheirStateIsKnown(t *testing.T) {
	cases := []struct {
		name, response string
		connections    int64
	}{
		{"by length", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok", 1},
		{"in chunks", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", 1},
		{"connection: close", "HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\nContent-Length: 2\n\nok", 2},
		{"idle timeout within the margin", "HTTP/1.1 200 OK\nX-Id: 1\nKeep-Alive: timeout=1\nContent-Length: 2\n\nok", 2},
		{"bytes after the answer", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok and more", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startServer(t, func(c net.Conn, r *http.Request) bool {
				return writeCRLF(c, strings.Replace(tc.response, "X-Id: 1", "X-Id: "+r.Header.Get("X-Id"), 1))
			})
			c := New(func() {})
			for _, id := range []string{"1", "2"} {
				g.Expect(fetch(t, c, s, newRequest(id))).To(gomega.Equal("ok"))
			}
			g.Expect(s.accepted.Load()).To(gomega.Equal(tc.connections))
		})
	}
}

// TestForeignResponsesAreSkipped sends the late response to an earlier request
// before the response to the present one.
func TestForeignResponsesAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		return writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: old\nContent-Length: 3\n\nold") && writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 3\n\nnew")
	})
	g.Expect(fetch(t, New(func() {}), s, newRequest("1"))).To(gomega.Equal("new"))
}

func TestErrorsReportWhetherBytesWereSent(t *testing.T) {
	closedAddress := func() netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	cases := []struct {
		name   string
		server *testServer
		sent   bool
	}{
		{"nobody listens", &testServer{address: closedAddress()}, false},
		{"closed without a response", startServer(t, func(net.Conn, *http.Request) bool { return false }), true},
		{"response isn't HTTP", startServer(t, func(c net.Conn, _ *http.Request) bool { return writeCRLF(c, "what\n\n") && false }), true},
		{"truncated headers", startServer(t, func(c net.Conn, _ *http.Request) bool { return writeCRLF(c, "HTTP/1.1 200 OK\nX-Id:") && false }), true},
		{"foreign responses only", startServer(t, func(c net.Conn, _ *http.Request) bool {
			return writeCRLF(c, strings.Repeat("HTTP/1.1 200 OK\nX-Id: old\nContent-Length: 0\n\n", maxForeignResponses+1))
		}), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := fetch(t, New(func() {}), tc.server, newRequest("1"))
			var e *Error
			g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
			g.Expect(e.Sent).To(gomega.Equal(tc.sent))
			g.Expect(tc.server.requests.Load()).To(gomega.BeNumerically("<=", 1), "a request is never sent twice")
		})
	}
}

// TestTruncatedResponsesAreErrors cuts the body off, with each framing.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for _, head := range []string{"Content-Length: 9", "Transfer-Encoding: chunked"} {
		g := gomega.NewWithT(t)
		s := startServer(t, func(c net.Conn, _ *http.Request) bool {
			return writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: 1\n"+head+"\n\n9\nhal") && false
		})
		_, err := fetch(t, New(func() {}), s, newRequest("1"))
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF), head)
	}
}

// TestCancelledContextClosesTheConnection cancels a request to an upstream that
// never responds: the upstream has to see the connection close.
func TestCancelledContextClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := New(func() {}).Do(ctx, s.address, newRequest("1"))
		done <- err
	}()
	g.Eventually(s.requests.Load).Should(gomega.Equal(int64(1)))
	cancel()
	g.Eventually(ended).Should(gomega.BeClosed())
	g.Eventually(done).Should(gomega.Receive(gomega.HaveOccurred()))
}

// TestEarlyResponseToALongBody responds without reading the body: the response
// has to arrive, and the connection isn't reused.
func TestEarlyResponseToALongBody(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		writeCRLF(c, "HTTP/1.1 413 Too Large\nX-Id: 1\nContent-Length: 2\n\nno")
		// The rest of the body stays unread until the client closes the
		// connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
		return false
	})
	c := New(func() {})
	r := newRequest("1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, 4<<20), true
	g.Expect(fetch(t, c, s, r)).To(gomega.Equal("no"))
	g.Expect(c.idle).To(gomega.BeEmpty())
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = httpServer.Serve(l) }()
	defer func() { _ = httpServer.Close() }()
	dials := 0
	c := New(func() { dials++ })
	address := l.Addr().(*net.TCPAddr).AddrPort()
	b.ReportAllocs()
	for id := 0; b.Loop(); id++ {
		response, err := c.Do(context.Background(), address, newRequest(strconv.Itoa(id)))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			b.Fatal(err)
		}
		response.Close()
	}
	b.ReportMetric(float64(dials)/float64(b.N), "dials/op")
}

// TestIdleTimeoutsDontOverflow guards against connections that are never used again as their
// upstream names a long time.
func TestIdleTimeoutsDontOverflow(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=30": 29 * time.Second, "timeout=10000000000": maxIdleSeconds*time.Second - idleMargin, "timeout=9223372036854775807": maxIdleSeconds*time.Second - idleMargin,
		"timeout=-9223372036854775808": 0, "timeout=1, max=5": 0, "max=5": defaultIdleTimeout,
	} {
		gomega.NewWithT(t).Expect(idleTimeout(http.Header{"Keep-Alive": {text}})).To(gomega.Equal(want), text)
	}
}
