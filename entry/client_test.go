package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startFlakyServer starts a server that answers its first request, and reads each
// later one but then closes the connection.
func startFlakyServer(t *testing.T, requests *atomic.Int64) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if requests.Add(1) > 1 {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.Close()
			}
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func send(g *gomega.WithT, client *upstreamClient, address netip.AddrPort, method, body string) error {
	r, err := http.NewRequest(method, "http://"+address.String()+"/", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if body != "" {
		r.Body = io.NopCloser(onceReader{bytes.NewReader([]byte(body))})
		r.ContentLength = int64(len(body))
	}
	// Under the name Idempotency-Key this header would make net/http re-send
	// a POST.
	r.Header.Set(headerUpstreamKey, "k")
	trip, err := client.do(context.Background(), r)
	if err == nil {
		_, _ = io.Copy(io.Discard, trip.response.Body)
		_ = trip.response.Body.Close()
	}
	return err
}

func TestClientNeverSendsTwiceByItself(t *testing.T) {
	cases := []struct {
		name, method, body string
	}{
		{"a booking", http.MethodPost, "booking"},
		{"a booking without a body", http.MethodPost, ""},
		{"a GET", http.MethodGet, ""},
		{"a DELETE", http.MethodDelete, ""},
		{"a repeatable call with a body", http.MethodPost, "question"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var requests atomic.Int64
			address := startFlakyServer(t, &requests)
			client := newUpstreamClient()
			g.Expect(send(g, client, address, c.method, c.body)).To(gomega.Succeed())
			g.Expect(send(g, client, address, c.method, c.body)).NotTo(gomega.Succeed())
			g.Expect(requests.Load()).To(gomega.Equal(int64(2)))
		})
	}
}

// TestLibraryWouldSendTwice shows the behaviour of net/http that upstreamClient
// prevents: a POST with the header Idempotency-Key is sent a second time.
func TestLibraryWouldSendTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int64
	address := startFlakyServer(t, &requests)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/", strings.NewReader("booking"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.Header.Set(headerKey, "k")
		if response, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	g.Expect(requests.Load()).To(gomega.BeNumerically(">", 2))
}

func TestStrippedHeadersIncludeKeysAndHopHeaders(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{headerKey, "X-" + headerKey, "Connection", "Transfer-Encoding"} {
		g.Expect(strippedHeaders).To(gomega.ContainElement(name))
	}
}

// TestResponseHeadsAreBounded has an upstream that sends headers without end: the
// call fails, and the heap must not grow with them.
func TestResponseHeadsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := io.WriteString(c, strings.Repeat("X-More: and more\r\n", 1000)); err != nil {
				return
			}
		}
	}()
	r, err := http.NewRequest(http.MethodGet, "http://upstream/", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.URL.Host = l.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	x, err := newUpstreamClient().do(ctx, r)
	runtime.ReadMemStats(&after)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(x.connected).To(gomega.BeTrue())
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", 8<<20))
}

// TestAnswerToAnotherRequestIsNone guards against the answer to another caller, which an upstream
// has mixed up.
func TestAnswerToAnotherRequestIsNone(t *testing.T) {
	for _, status := range []int{200, 204, 400, 404, 429, 500, 503} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerRequest, strings.Replace(r.Header.Get(headerRequest), "2", "1", 1))
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		client := newUpstreamClient()
		ask := func(id string) error {
			r, err := http.NewRequest(http.MethodGet, server.URL, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Header.Set(headerRequest, id)
			trip, err := client.do(t.Context(), r)
			if err != nil {
				g.Expect(trip.connected).To(gomega.BeTrue(), "it may have run")
				return err
			}
			g.Expect(trip.response.Header.Get(headerRequest)).To(gomega.Equal(id), "status %d", status)
			return trip.response.Body.Close()
		}
		g.Expect(ask("e-1")).To(gomega.Succeed())
		g.Expect(ask("e-2")).NotTo(gomega.Succeed())
		g.Expect(ask("e-3")).To(gomega.Succeed())
	}
}

func TestUpstreamsMayHaveIDsOfTheirOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, id := range []string{"", "e-a-7", "req_8c2f", "e-b-8"} {
		g.Expect(isOtherRequest(id, "e-a-7")).To(gomega.BeFalse(), id)
	}
	g.Expect(isOtherRequest("e-a-8", "e-a-7")).To(gomega.BeTrue())
	g.Expect(isOtherRequest("x", "")).To(gomega.BeFalse())
}
