package ingress

import (
	"net"
	"net/http"
	"sync"
)

// connections tracks the callers' connections, so that a stopping entry closes
// only those from which no byte of a request was taken. The library's own
// shutdown may close a connection whose request it has just read.
type connections struct {
	net.Listener

	mu   sync.Mutex
	open map[*connection]bool
}

// connection knows whether a request is under way on it.
type connection struct {
	net.Conn
	owner *connections

	mu     sync.Mutex
	busy   bool
	closed bool
}

func newConnections(l net.Listener) *connections {
	return &connections{Listener: l, open: map[*connection]bool{}}
}

// Accept implements net.Listener.
func (l *connections) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: c, owner: l}
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn, nil
}

// Read implements net.Conn. Once bytes are handed out the connection is busy;
// after closeIdle has closed it, none are.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy = true
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// changed is the server's hook for the states of connections.
func (l *connections) changed(c net.Conn, s http.ConnState) {
	conn, ok := c.(*connection)
	if !ok || s != http.StateIdle {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = false
}

// closeIdle closes the connections without a request and returns how many are
// left.
func (l *connections) closeIdle() int {
	l.mu.Lock()
	all := make([]*connection, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	l.mu.Unlock()
	left := 0
	for _, c := range all {
		if c.closeIfIdle() {
			_ = c.Close()
		} else {
			left++
		}
	}
	return left
}

func (c *connection) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closed = true
	return true
}
