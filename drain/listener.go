package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Listener tracks the callers' connections, so that a stopping entry
// closes only those from which no byte of a request was read.
// http.Server.Shutdown may close a connection whose request it has just read.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a caller's connection; busy says that a request is under way
// on it, closed that no more is read from it. reading says that the server waits
// for bytes: until then it may hold a request that it read with the one before.
// interrupted says that CloseIdle has ended the wait in place of readDeadline, and
// ahead that net/http has read the first byte of a request beside the one before it.
type trackedConn struct {
	net.Conn
	listener *Listener

	mu           sync.Mutex
	busy         bool
	reading      bool
	interrupted  bool
	ahead        bool
	closed       bool
	readDeadline time.Time
}

// NewListener tracks the connections that l accepts.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, open: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
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
// bytes; after CloseIdle has ended the wait for them, Read returns none.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, io.EOF
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	interrupted := c.interrupted
	c.interrupted = false
	switch {
	case n > 0:
		c.ahead = c.busy && len(p) == aheadBytes
		c.busy = true
		if interrupted {
			// The bytes came first.
			_ = c.Conn.SetReadDeadline(c.readDeadline)
		}
	case interrupted:
		// net/http answers other errors than the end of the connection.
		c.closed = true
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets what Close does with unsent bytes, as for net.TCPConn.
func (c *trackedConn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.Errorf("%T has no reset", c.Conn)
	}
	return l.SetLinger(seconds)
}

// aheadBytes is how much net/http reads at once to notice the end of a connection while a
// request is served; it reads all else into larger buffers.
const aheadBytes = 1

// StateChanged is the http.Server's ConnState hook: an idle connection has no
// request under way unless its first byte was read ahead, and one is on an active
// connection, also if no byte was read for it since the request before.
func (l *Listener) StateChanged(c net.Conn, s http.ConnState) {
	conn, ok := c.(*trackedConn)
	if !ok || s != http.StateIdle && s != http.StateActive {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = s == http.StateActive || conn.ahead
	conn.ahead = false
}

// CloseIdle ends the wait for a request on the connections that wait for one, closes them
// and returns the number of those that aren't closed yet.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.open))
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	remaining := 0
	for _, conn := range conns {
		if conn.interruptIfIdle() {
			_ = conn.Close()
		} else {
			remaining++
		}
	}
	return remaining
}

// Busy returns the number of connections that have a request under way.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for conn := range l.open {
		conn.mu.Lock()
		if conn.busy {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// interruptIfIdle ends the wait for a request, and reports whether it has ended without one.
// A close would drop what Read has just read.
func (c *trackedConn) interruptIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && c.reading && !c.interrupted {
		c.interrupted = c.Conn.SetReadDeadline(longAgo) == nil
	}
	return c.closed
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)
