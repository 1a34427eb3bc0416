package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// server answers each request on each connection by a script.
type server struct {
	address  netip.AddrPort
	accepted atomic.Int64
	requests atomic.Int64
}

// serve runs answer for each request; it reports whether the connection goes
// on.
func serve(t *testing.T, answer func(c net.Conn, r *http.Request) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().(*net.TCPAddr).AddrPort()}
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
					if !answer(c, r) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a//b/../c?x=%2F", Host: "mill.example", Header: http.Header{"X-Id": {id}},
		Belongs: func(r *http.Response) bool { return r.Header.Get("X-Id") == id },
	}
}

func fetch(t *testing.T, c *Client, s *server, r *Request) (string, error) {
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

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func TestTargetGoesOutAsItCame(t *testing.T) {
	g := gomega.NewWithT(t)
	var target, host string
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		target, host = r.RequestURI, r.Host
		return write(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok")
	})
	c := New(func() {})
	g.Expect(fetch(t, c, s, request("1"))).To(gomega.Equal("ok"))
	g.Expect(target).To(gomega.Equal("/a//b/../c?x=%2F"))
	g.Expect(host).To(gomega.Equal("mill.example"))
}

// TestConnectionsAreKeptOnlyWhenTheirStateIsKnown sends two requests one after
// the other and counts the connections.
func TestConnectionsAreKeptOnlyWhenTheirStateIsKnown(t *testing.T) {
	cases := []struct {
		name, answer string
		connections  int64
	}{
		{"by length", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok", 1},
		{"in chunks", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", 1},
		{"closing", "HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\nContent-Length: 2\n\nok", 2},
		{"no time to keep it", "HTTP/1.1 200 OK\nX-Id: 1\nKeep-Alive: timeout=1\nContent-Length: 2\n\nok", 2},
		{"bytes after the answer", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok and more", 2},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := serve(t, func(c net.Conn, _ *http.Request) bool { return write(c, k.answer) })
			c := New(func() {})
			for range 2 {
				g.Expect(fetch(t, c, s, request("1"))).To(gomega.Equal("ok"))
			}
			g.Expect(s.accepted.Load()).To(gomega.Equal(k.connections))
		})
	}
}

// TestForeignAnswersArePassedOver has the answer to an earlier request come
// late, where the next one is expected.
func TestForeignAnswersArePassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		return write(c, "HTTP/1.1 200 OK\nX-Id: old\nContent-Length: 3\n\nold") && write(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 3\n\nnew")
	})
	g.Expect(fetch(t, New(func() {}), s, request("1"))).To(gomega.Equal("new"))
}

func TestErrorsTellWhatWasSent(t *testing.T) {
	refused := func() netip.AddrPort {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	cases := []struct {
		name   string
		server *server
		sent   bool
	}{
		{"nobody listens", &server{address: refused()}, false},
		{"closed without an answer", serve(t, func(net.Conn, *http.Request) bool { return false }), true},
		{"no answer in the protocol", serve(t, func(c net.Conn, _ *http.Request) bool { return write(c, "what\n\n") && false }), true},
		{"half a head", serve(t, func(c net.Conn, _ *http.Request) bool { return write(c, "HTTP/1.1 200 OK\nX-Id:") && false }), true},
		{"foreign answers only", serve(t, func(c net.Conn, _ *http.Request) bool {
			return write(c, strings.Repeat("HTTP/1.1 200 OK\nX-Id: old\nContent-Length: 0\n\n", maxForeign+1))
		}), true},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := fetch(t, New(func() {}), k.server, request("1"))
			var e *Error
			g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
			g.Expect(e.Sent).To(gomega.Equal(k.sent))
			g.Expect(k.server.requests.Load()).To(gomega.BeNumerically("<=", 1), "a request is never sent twice")
		})
	}
}

// TestHalfAnswersAreNoAnswers cuts the body in each way of framing it.
func TestHalfAnswersAreNoAnswers(t *testing.T) {
	for _, head := range []string{"Content-Length: 9", "Transfer-Encoding: chunked"} {
		g := gomega.NewWithT(t)
		s := serve(t, func(c net.Conn, _ *http.Request) bool {
			return write(c, "HTTP/1.1 200 OK\nX-Id: 1\n"+head+"\n\n9\nhal") && false
		})
		_, err := fetch(t, New(func() {}), s, request("1"))
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF), head)
	}
}

// TestEndOfTheContextClosesTheConnection gives up on an upstream that never
// answers: the upstream sees the end.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := New(func() {}).Do(ctx, s.address, request("1"))
		done <- err
	}()
	g.Eventually(s.requests.Load).Should(gomega.Equal(int64(1)))
	cancel()
	g.Eventually(ended).Should(gomega.BeClosed())
	g.Eventually(done).Should(gomega.Receive(gomega.HaveOccurred()))
}

// TestEarlyAnswerToALongBody answers before the body is read and never reads
// it: the answer arrives, and the connection isn't used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		write(c, "HTTP/1.1 413 Too Large\nX-Id: 1\nContent-Length: 2\n\nno")
		// The rest of the body stays unread until the caller hangs up.
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1))
		return false
	})
	c := New(func() {})
	r := request("1")
	r.Method, r.Body, r.HasBody = http.MethodPost, make([]byte, 4<<20), true
	g.Expect(fetch(t, c, s, r)).To(gomega.Equal("no"))
	g.Expect(c.idle).To(gomega.BeEmpty())
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "1")
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = h.Serve(l) }()
	defer func() { _ = h.Close() }()
	c := New(func() {})
	address := l.Addr().(*net.TCPAddr).AddrPort()
	b.ReportAllocs()
	for b.Loop() {
		response, err := c.Do(context.Background(), address, request("1"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			b.Fatal(err)
		}
		response.Close()
	}
}
