// Package tcpconn tells a connection that the other side has reset from one that
// it has closed.
package tcpconn

import (
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE of the kernel: both directions have ended. A socket that is
// still open here gets into this state by a reset or a timeout, and stays in
// CLOSE_WAIT if the other side has only closed.
const stateClosed = 7

// Conn is a TCP connection whose Read ends by io.EOF only if the other side has closed
// it. The kernel reports a reset only once: if that is to a writer, a reader of the
// connection itself gets io.EOF.
type Conn struct{ net.Conn }

// Read implements io.Reader.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		err = unix.ECONNRESET
	}
	return n, err
}

// wasReset reports whether the connection was reset. It is false if that can't be read.
func wasReset(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == stateClosed
	})
	return err == nil && reset
}
