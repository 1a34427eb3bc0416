package drain

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// connQueue is a listener that accepts the connections sent to the channel.
type connQueue chan net.Conn

func (q connQueue) Accept() (net.Conn, error) {
	c, ok := <-q
	if !ok {
		return nil, io.EOF
	}
	return c, nil
}
func (q connQueue) Close() error   { return nil }
func (q connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopKeepsConnectionsWithRequestsUnderWay calls CloseIdle while a request
// is read, while it is served, after it, and once the server waits for the next
// one. http.Server.Shutdown may close a connection whose request it has read but
// not yet begun to serve.
func TestStopKeepsConnectionsWithRequestsUnderWay(t *testing.T) {
	g := gomega.NewWithT(t)
	serverEnd, callerEnd := net.Pipe()
	queue := make(connQueue, 1)
	queue <- serverEnd
	l := NewListener(queue)
	c, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _, _ = callerEnd.Write([]byte("GET / ")) }()
	buffer := make([]byte, 16)
	n, err := c.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">", 0))

	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "a request is being read")
	l.StateChanged(c, http.StateActive)
	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "a request is served")
	l.StateChanged(c, http.StateIdle)
	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "the server may hold the next request")
	readErr := make(chan error, 1)
	go func() {
		_, err := c.Read(buffer)
		readErr <- err
	}()
	g.Eventually(l.CloseIdle).Should(gomega.Equal(0))

	// Bytes that arrive while the connection is closed aren't returned.
	g.Eventually(readErr).Should(gomega.Receive(gomega.HaveOccurred()))
	_, err = c.Read(buffer)
	g.Expect(err).To(gomega.HaveOccurred())
}
