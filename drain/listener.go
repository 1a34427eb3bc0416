package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Listener tracks the callers' connections, so that a stopping entry
// closes only those from which no byte of a request was read.
// http.Server.Shutdown may close a connection whose request it has just read.
type Listener struct {
	net.Listener
	// Unwritten, if set, is told of a request whose handler has returned, and of whose
	// answer the rest can't be written.
	Unwritten func(request string, err error)

	mu   sync.Mutex
	open map[*trackedConn]bool
	// lingering is the number of open connections that linger, unless atOnce says that none
	// is to linger any more.
	lingering int
	atOnce    bool

	// slots has one for each connection that may be open; nil if there is no limit. ended is
	// closed with the listener.
	slots chan struct{}
	ended chan struct{}
	end   func()
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
	// lingering says that Close waits for the caller, ended that there is nothing to wait
	// for: the caller has closed the connection, it has failed, or it is to be reset.
	lingering, ended bool
	// returned is the request whose handler has returned, while the rest of its answer
	// is written.
	returned string
	// endsBody says that the close of the connection would end the answer's body.
	endsBody bool
}

// NewListener tracks the connections that l accepts.
func NewListener(l net.Listener) *Listener {
	return newListener(l, nil)
}

// NewLimitedListener is NewListener for maxConnections at once. A limit around or within the
// Listener would hide what connections can do besides reading and writing.
func NewLimitedListener(l net.Listener, maxConnections int) *Listener {
	return newListener(l, make(chan struct{}, maxConnections))
}

func newListener(l net.Listener, slots chan struct{}) *Listener {
	ended := make(chan struct{})
	return &Listener{Listener: l, open: map[*trackedConn]bool{}, slots: slots, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	defer l.end()
	return l.Listener.Close()
}

// acquire waits for a slot. It reports whether the listener is open.
func (l *Listener) acquire() bool {
	if l.slots == nil {
		return true
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.ended:
		return false
	}
}

func (l *Listener) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
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
	if n == 0 && c.interrupted && !c.lingering && c.hasUnread() {
		// They came before the end of the wait was seen.
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.mu.Unlock()
		n, err = c.Conn.Read(p)
		c.mu.Lock()
	}
	c.reading = false
	interrupted := c.interrupted
	c.interrupted = false
	switch {
	case c.lingering:
		return 0, net.ErrClosed
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
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = true
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

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		request, endsBody := c.returned, c.endsBody
		c.returned, c.ended = "", true
		c.mu.Unlock()
		if endsBody {
			// net/http closes the connection before the handler hears of the error.
			_ = c.SetLinger(0)
		}
		if request != "" && c.listener.Unwritten != nil {
			c.listener.Unwritten(request, err)
		}
	}
	return n, err
}

// Close implements net.Conn. It waits for the caller if that may still be sending.
func (c *trackedConn) Close() error {
	if c.beginLinger() {
		c.linger()
	}
	c.listener.mu.Lock()
	if c.listener.open[c] {
		delete(c.listener.open, c)
		defer c.listener.release()
		if c.lingering {
			c.listener.lingering--
		}
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets what Close does with unsent bytes, as for net.TCPConn.
func (c *trackedConn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
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
	conn.ahead, conn.returned, conn.endsBody = false, "", false
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext is the http.Server's hook that lets Returned find a request's connection.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CloseEndsBody says that the caller of the request with this context takes the close of the
// connection for the end of the answer. The connection is reset if a write fails.
func CloseEndsBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.endsBody = true
	}
}

// Returned says that the handler of the request with this context returns, and that the
// server has yet to write the rest of the answer.
func Returned(ctx context.Context, request string) {
	if c, ok := ctx.Value(connKey{}).(*trackedConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.returned = request
	}
}

// CloseIdle ends the wait for a request on the connections that wait for one, closes them
// and returns the number of those that aren't closed yet, without those that linger.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.open))
	for conn := range l.open {
		if !conn.lingering {
			conns = append(conns, conn)
		}
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

// hasUnread reports whether bytes have come that the server hasn't read yet.
func (c *trackedConn) hasUnread() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// interruptIfIdle ends the wait for a request, and reports whether it has ended without one.
// A close would drop what Read has just read.
func (c *trackedConn) interruptIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && c.reading && !c.interrupted && !c.hasUnread() {
		c.interrupted = c.Conn.SetReadDeadline(longAgo) == nil
	}
	return c.closed
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)
