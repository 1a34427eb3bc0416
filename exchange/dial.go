package exchange

import (
	"context"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Dial opens a connection to an upstream. Only TCP connections are used again after an
// exchange.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// DialDirect connects to an address by TCP, within dialTimeout.
func DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn, userTimeout)
	return conn, nil
}

// keepAlive detects peers that vanished without closing the connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout bounds the time for which sent bytes may stay unacknowledged, unless the
// timeout is 0. If the option can't be set, the keep-alive probes still detect a dead
// connection.
func setUserTimeout(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// DetectDeadPeer makes an accepted connection break as one of DialDirect does if its peer
// vanishes.
func DetectDeadPeer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
		setUserTimeout(conn, userTimeout)
	}
}

// Abort closes a connection and drops what the kernel has yet to send: a request that is
// given up must not reach the upstream afterwards.
func Abort(conn net.Conn) {
	if a, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = a.SetLinger(0)
	}
	_ = conn.Close()
}
