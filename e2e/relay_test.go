package e2e

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// tcpRelay forwards TCP connections to a target. It can silence the connections
// that are open, or close all of them and refuse new ones.
type tcpRelay struct {
	listener net.Listener
	target   netip.AddrPort

	mu          sync.Mutex
	connections map[*relayedConnection]bool
	partitioned bool
}

// relayedConnection is one connection from a client a to the target b. Once
// silenced is closed it forwards nothing more.
type relayedConnection struct {
	a, b     net.Conn
	silenced chan struct{}
	once     sync.Once
}

// reserveAddress returns an address that is free at the time of the call.
func reserveAddress() netip.AddrPort {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func startRelay(target netip.AddrPort) *tcpRelay {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r := &tcpRelay{listener: l, target: target, connections: map[*relayedConnection]bool{}}
	ginkgo.DeferCleanup(func() {
		_ = l.Close()
		r.setPartitioned(true)
	})
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(connection)
		}
	}()
	return r
}

func (r *tcpRelay) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *tcpRelay) forward(a net.Conn) {
	b, err := net.Dial("tcp", r.target.String())
	if err != nil {
		_ = a.Close()
		return
	}
	c := &relayedConnection{a: a, b: b, silenced: make(chan struct{})}
	r.mu.Lock()
	if r.partitioned {
		r.mu.Unlock()
		c.close()
		return
	}
	r.connections[c] = true
	r.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { c.copy(b, a) })
	wait.Go(func() { c.copy(a, b) })
	wait.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

// copy forwards bytes until the connection is silenced or closed.
func (c *relayedConnection) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silenced:
			// Neither bytes nor the end of the connection are forwarded.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.close()
				return
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *relayedConnection) close() {
	_ = c.a.Close()
	_ = c.b.Close()
}

// silence stops forwarding on every open connection and returns their number; new
// connections work.
func (r *tcpRelay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.once.Do(func() { close(c.silenced) })
	}
	return len(r.connections)
}

// setPartitioned closes all connections and refuses new ones, or accepts them
// again.
func (r *tcpRelay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
	if partitioned {
		for l := range r.connections {
			l.close()
		}
	}
}
