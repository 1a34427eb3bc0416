package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// maxHeapGrowth is by how much one upstream that sends bytes without end may
// grow the heap.
const maxHeapGrowth = 20 << 20

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// writeEndlessly writes the block again and again until the client closes the
// connection, or until it has written so much that nobody can have bounded it.
func writeEndlessly(c net.Conn, start, block string) bool {
	const enough = 256 << 20
	if !writeCRLF(c, start) {
		return false
	}
	data := bytes.Repeat([]byte(strings.ReplaceAll(block, "\n", "\r\n")), 64<<10/len(block)+1)
	for written := 0; written < enough; {
		n, err := c.Write(data)
		written += n
		if err != nil {
			return false
		}
	}
	return false
}

// TestHeadsWithoutEnd has upstreams that send heads, informational responses
// and foreign bodies without end: each request has to fail long before its
// deadline, and the heap must not grow with what is sent.
func TestHeadsWithoutEnd(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\nX-Id: old\n"
	cases := []struct{ name, start, block string }{
		{"status line", "HTTP/1.1 200 ", "long "},
		{"no answer at all", "", "\x00\x01\x02\x03"},
		{"header lines", "HTTP/1.1 200 OK\n", "X-More: and more\n"},
		{"one header line", "HTTP/1.1 200 OK\nX-More: ", "more"},
		{"continued header line", "HTTP/1.1 200 OK\nX-More: a\n", " more\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\nX-Id: 1\n\n"},
		{"foreign responses", "", foreign + "Content-Length: 0\n\n"},
		{"foreign body of known length", foreign + "Content-Length: 99999999999\n\n", "more"},
		{"foreign body in chunks", foreign + "Transfer-Encoding: chunked\n\n", "4\nmore\n"},
		{"foreign body until the connection ends", foreign + "\n", "more"},
		{"foreign trailers", foreign + "Transfer-Encoding: chunked\n\n0\n", "X-More: and more\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			closed := make(chan struct{})
			s := startServer(t, func(c net.Conn, _ *http.Request) bool {
				defer close(closed)
				return writeEndlessly(c, tc.start, tc.block)
			})
			runtime.GC()
			before := heapBytes()
			began := time.Now()
			_, err := fetch(t, New(func() {}), s, newRequest("1"))
			grown := int64(heapBytes()) - int64(before)
			var e *Error
			g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
			g.Expect(e.Sent).To(gomega.BeTrue(), "the request may have run")
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
			g.Expect(grown).To(gomega.BeNumerically("<", maxHeapGrowth))
			g.Eventually(closed).Should(gomega.BeClosed())
		})
	}
}

// TestSlowForeignBodyIsGivenUp has an upstream that begins the response to
// another request and never ends it: the request must not wait for it until its
// own deadline.
func TestSlowForeignBodyIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: old\nContent-Length: 99\n\nsome")
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	began := time.Now()
	_, err := fetch(t, New(func() {}), s, newRequest("1"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*skipTimeout))
}

// TestInformationalResponsesAreNoForeignOnes sends more informational responses
// than foreign ones are allowed.
func TestInformationalResponsesAreNoForeignOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		return writeCRLF(c, strings.Repeat("HTTP/1.1 103 Early Hints\n\n", maxForeignResponses+3)+"HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok")
	})
	g.Expect(fetch(t, New(func() {}), s, newRequest("1"))).To(gomega.Equal("ok"))
}

// TestSkipReusesOnlyCleanConnections skips the body of a response whose head
// says all: a short one keeps the connection, an endless one must cost neither
// time nor memory.
func TestSkipReusesOnlyCleanConnections(t *testing.T) {
	cases := []struct {
		name, response string
		endless        bool
		idle           int
	}{
		{"short", "HTTP/1.1 503 Busy\nX-Id: 1\nContent-Length: 2\n\nno", false, 1},
		{"without end", "HTTP/1.1 503 Busy\nX-Id: 1\nTransfer-Encoding: chunked\n\n", true, 0},
		{"begun and silent", "HTTP/1.1 503 Busy\nX-Id: 1\nContent-Length: 2\n\nn", false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startServer(t, func(c net.Conn, _ *http.Request) bool {
				if tc.endless {
					return writeEndlessly(c, tc.response, "4\nmore\n")
				}
				return writeCRLF(c, tc.response)
			})
			c := New(func() {})
			began := time.Now()
			response, err := c.Do(context.Background(), s.address, newRequest("1"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			response.Skip()
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*skipTimeout))
			g.Expect(c.idle[s.address]).To(gomega.HaveLen(tc.idle))
		})
	}
}

// TestLateCopyNeverReachesTheNextCaller sends a second copy of a response just
// when the connection is used again, before and together with the next
// response. The second request must get its own response or an error.
func TestLateCopyNeverReachesTheNextCaller(t *testing.T) {
	copyOfFirst := "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nfirst"
	withoutID := "HTTP/1.1 400 Bad\nContent-Length: 5\n\nnoID!"
	cases := []struct{ name, late, next string }{
		{"before the next response", copyOfFirst, "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 6\n\nsecond"},
		{"cut in the middle of its head", "HTTP/1.1 200 OK\nX-", "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 6\n\nsecond"},
		{"cut in the middle of its body", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nfir", "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 6\n\nsecond"},
		{"without an ID", withoutID, "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 6\n\nsecond"},
		{"instead of the next response", copyOfFirst, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := startServer(t, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("X-Id") == "1" {
					return writeCRLF(c, copyOfFirst)
				}
				return writeCRLF(c, tc.late+tc.next) && tc.next != ""
			})
			c := New(func() {})
			g.Expect(fetch(t, c, s, newRequest("1"))).To(gomega.Equal("first"))
			second := newRequest("2")
			second.Matches = func(r *http.Response, used bool) bool {
				id := r.Header.Get("X-Id")
				return id == "2" || id == "" && !used
			}
			body, err := fetch(t, c, s, second)
			g.Expect(s.accepted.Load()).To(gomega.Equal(int64(1)), "the connection was used again")
			if err != nil {
				var e *Error
				g.Expect(errors.As(err, &e)).To(gomega.BeTrue(), "%v", err)
				g.Expect(e.Sent).To(gomega.BeTrue(), "the request may have run")
				return
			}
			g.Expect(body).To(gomega.Equal("second"))
		})
	}
}

// TestEndlessBodyIsReadInPieces reads an endless body: the caller decides when
// to stop, and the client buffers none of it.
func TestEndlessBodyIsReadInPieces(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, _ *http.Request) bool {
		return writeEndlessly(c, "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n", "4\nmore\n")
	})
	response, err := New(func() {}).Do(context.Background(), s.address, newRequest("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	runtime.GC()
	before := heapBytes()
	_, err = io.CopyN(io.Discard, response, 32<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(int64(heapBytes()) - int64(before)).To(gomega.BeNumerically("<", maxHeapGrowth))
	response.Close()
}

// TestBytesWithoutARequestAreNotRead guards against a client that keeps, or takes for an answer,
// what an upstream sends without end on an idle connection.
func TestBytesWithoutARequestAreNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	const answer = "HTTP/1.1 200 OK\nX-Id: %s\nContent-Length: 2\n\nok"
	idle, unasked := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Id")
		if id == "2" {
			return writeCRLF(c, fmt.Sprintf(answer, id))
		}
		defer close(unasked)
		writeCRLF(c, fmt.Sprintf(answer, id))
		<-idle
		return writeEndlessly(c, "", fmt.Sprintf(answer, "2"))
	})
	c := New(func() {})
	g.Expect(fetch(t, c, s, newRequest("1"))).To(gomega.Equal("ok"))
	close(idle)
	runtime.GC()
	before := heapBytes()
	g.Consistently(unasked).ShouldNot(gomega.BeClosed(), "the upstream can't get rid of its bytes")
	g.Expect(int64(heapBytes()) - int64(before)).To(gomega.BeNumerically("<", maxHeapGrowth))
	g.Expect(fetch(t, c, s, newRequest("2"))).To(gomega.Equal("ok"))
	g.Expect(s.accepted.Load()).To(gomega.Equal(int64(2)), "a new connection")
	g.Eventually(unasked).Should(gomega.BeClosed())
}
