package drain

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// A close with unread bytes resets the connection, and the caller may lose the answer or
// fail to write its request. RFC 9112 (9.6) asks for a close in two steps: the sending side
// first, the rest when the caller has closed its own.
const (
	// lingerSilence is how long a caller may send nothing, and lingerLimit how long it may
	// go on sending.
	lingerSilence = time.Second
	lingerLimit   = 5 * time.Second
	// maxLingerBytes bounds what is read of a caller, and maxLingering the connections that
	// linger at once.
	maxLingerBytes = 16 << 20
	maxLingering   = 1024

	lingerBufferBytes = 4 << 10
)

// CloseWrite closes the sending side.
func (c *trackedConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("%T can't be closed on one side", c.Conn)
	}
	return w.CloseWrite()
}

// beginLinger reports whether the close has to wait for the caller. A read that is under
// way means that the whole server is closed.
func (c *trackedConn) beginLinger() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering || c.ended || c.closed || c.reading || !c.listener.open[c] || c.listener.atOnce || c.listener.lingering >= maxLingering {
		return false
	}
	c.lingering, c.busy = true, false
	c.listener.lingering++
	return true
}

// linger closes the sending side, and reads until the caller closes its own.
func (c *trackedConn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerLimit)
	buffer := make([]byte, lingerBufferBytes)
	for left := maxLingerBytes; left > 0; {
		silentUntil := time.Now().Add(lingerSilence)
		if silentUntil.After(end) {
			silentUntil = end
		}
		if c.Conn.SetReadDeadline(silentUntil) != nil {
			return
		}
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// CloseAtOnce makes connections wait for no caller when they are closed from now on. It goes
// before the close of the server, which closes one connection after the other.
func (l *Listener) CloseAtOnce() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atOnce = true
}

// Lingering is the number of closed connections whose callers haven't closed theirs.
func (l *Listener) Lingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

var _ net.Conn = (*trackedConn)(nil)
