package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// handing is a listener that hands out given connections.
type handing chan net.Conn

func (h handing) Accept() (net.Conn, error) {
	c, ok := <-h
	if !ok {
		return nil, io.EOF
	}
	return c, nil
}
func (h handing) Close() error   { return nil }
func (h handing) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopLeavesRequestsThatWereRead closes idle connections at each moment of
// a request's life. The library's shutdown closes one whose request it has
// read but not yet begun to serve.
func TestStopLeavesRequestsThatWereRead(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, callers := net.Pipe()
	h := make(handing, 1)
	h <- ours
	l := newConnections(h)
	c, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _, _ = callers.Write([]byte("GET / ")) }()
	buffer := make([]byte, 16)
	n, err := c.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">", 0))

	g.Expect(l.closeIdle()).To(gomega.Equal(1), "a request is being read")
	l.changed(c, http.StateActive)
	g.Expect(l.closeIdle()).To(gomega.Equal(1), "a request is served")
	l.changed(c, http.StateIdle)
	g.Expect(l.closeIdle()).To(gomega.Equal(0))

	// Bytes that arrive together with the end are not taken.
	_, err = c.Read(buffer)
	g.Expect(err).To(gomega.HaveOccurred())
}
