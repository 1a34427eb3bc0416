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
	if errors.Is(err, io.EOF) {
		err = endOf(c.Conn)
	}
	return n, err
}

// endOf is the error by which reading from a connection ends that has no more bytes. A
// connection that has been closed on this side meanwhile, as after a failed write,
// doesn't say why there are no more.
func endOf(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return err
	case errors.Is(infoErr, unix.ENOPROTOOPT) || errors.Is(infoErr, unix.ENOSYS):
		// A kernel without TCP_INFO doesn't tell.
		return io.EOF
	case infoErr != nil:
		return infoErr
	case info.State == stateClosed:
		return unix.ECONNRESET
	default:
		return io.EOF
	}
}
