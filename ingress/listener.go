package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// trackingListener tracks the callers' connections, so that a stopping entry
// closes only those from which no byte of a request was read.
// http.Server.Shutdown may close a connection whose request it has just read.
type trackingListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a caller's connection; busy says that a request is under way
// on it, closed that closeIdle has closed it.
type trackedConn struct {
	net.Conn
	listener *trackingListener

	mu     sync.Mutex
	busy   bool
	closed bool
}

func newTrackingListener(l net.Listener) *trackingListener {
	return &trackingListener{Listener: l, open: map[*trackedConn]bool{}}
}

// connKey is the key of a request's trackedConn in its context.
type connKey struct{}

// track makes the server report to the listener when requests begin and end. net/http
// reports no new state for a request that was read together with the one before, so that
// the handler reports each one.
func (l *trackingListener) track(s *http.Server) {
	s.ConnState = l.stateChanged
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok && !c.begin() {
			// The request crossed the end of the connection; it isn't served.
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// begin marks the connection as busy, and reports whether it is still open.
func (c *trackedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closed
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: c, listener: l}
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn, nil
}

// Read implements net.Conn. The connection is busy once Read has returned
// bytes; after closeIdle has closed it, Read returns none.
func (c *trackedConn) Read(p []byte) (int, error) {
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
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// stateChanged is the http.Server's ConnState hook: an idle connection has no
// request under way.
func (l *trackingListener) stateChanged(c net.Conn, s http.ConnState) {
	conn, ok := c.(*trackedConn)
	if !ok || s != http.StateIdle {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = false
}

// closeIdle closes the connections that have no request under way and returns
// the number of those that remain.
func (l *trackingListener) closeIdle() int {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.open))
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	remaining := 0
	for _, conn := range conns {
		if conn.closeIfIdle() {
			_ = conn.Close()
		} else {
			remaining++
		}
	}
	return remaining
}

func (c *trackedConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closed = true
	return true
}
