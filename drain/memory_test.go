package drain

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// silentConn is a connection whose caller says nothing until the test has ended.
type silentConn struct {
	net.Conn
	held chan struct{}
}

func (c silentConn) Read([]byte) (int, error) {
	<-c.held
	return 0, net.ErrClosed
}
func (silentConn) SetReadDeadline(time.Time) error { return nil }
func (silentConn) CloseWrite() error               { return nil }
func (silentConn) Close() error                    { return nil }

// TestLingeringConnectionsAreSmall guards against a small entry that runs out of memory as it
// refuses many callers which keep their connections: each held a large buffer.
func TestLingeringConnectionsAreSmall(t *testing.T) {
	const maxBytes = 16 << 20
	g := gomega.NewWithT(t)
	held := make(chan struct{})
	queue := make(connQueue, maxLingering)
	l := NewListener(queue)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := heap()
	for range maxLingering {
		queue <- silentConn{held: held}
		c, err := l.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = c.Close() }()
	}
	g.Eventually(l.Lingering).Should(gomega.Equal(maxLingering))
	grown := heap() - before
	close(held)
	g.Eventually(l.Lingering).Should(gomega.BeZero())
	g.Expect(grown).To(gomega.BeNumerically("<", maxBytes))
}
