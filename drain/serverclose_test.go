package drain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestServerClosesPipelinedConnectionsAtOnce guards against the close of a server that waits for one
// caller after the other: nothing is read of a connection on which the next request has
// come while one is served.
func TestServerClosesPipelinedConnectionsAtOnce(t *testing.T) {
	const (
		callers = 3
		request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	)
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := NewListener(inner)
	serving, end := make(chan struct{}, callers), make(chan struct{})
	server := &http.Server{ConnState: l.StateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		serving <- struct{}{}
		<-end
	})}
	defer close(end)
	go func() { _ = server.Serve(l) }()
	for range callers {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Eventually(serving).Should(gomega.Receive())
		_, err = io.WriteString(c, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(func() int { return reading(l) }).Should(gomega.BeZero())
	began := time.Now()
	l.CloseAtOnce()
	_ = server.Close()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", lingerSilence/2))
}

// reading is the number of connections on which the server waits for bytes.
func reading(l *Listener) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for conn := range l.open {
		conn.mu.Lock()
		if conn.reading {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}
