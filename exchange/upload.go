package exchange

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// uploadCheckInterval is the time between two checks of the upstream of an upload.
	uploadCheckInterval = 250 * time.Millisecond
	// maxLostProbes is how many probes of a closed window may stay unanswered in a row. The
	// kernel sends them after 0.2 s, and then at twice the interval each.
	maxLostProbes = 4
)

// upload writes a body that may not fit into the upstream's buffers. TCP_USER_TIMEOUT also
// ends connections to an upstream that is there and reads nothing for a moment, so that
// it is off until the upstream's kernel has the whole body.
func (c *connection) upload(body []byte) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		_, err := c.Write(body)
		return err
	}
	setUserTimeout(tcp, 0)
	var written atomic.Bool
	go watchUpload(tcp, &written)
	_, err := c.Write(body)
	written.Store(true)
	return err
}

// watchUpload aborts the connection if the other side is gone. It returns when the connection
// has been closed, or when all that was written has arrived.
func watchUpload(tcp *net.TCPConn, written *atomic.Bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	t := time.NewTicker(uploadCheckInterval)
	defer t.Stop()
	for range t.C {
		done := written.Load()
		left, info, err := sendState(raw)
		switch {
		case err != nil:
			return
		case done && left == 0:
			setUserTimeout(tcp, userTimeout)
			return
		case lost(info):
			Abort(tcp)
			return
		}
	}
}

// sendState returns how many bytes the other side has yet to acknowledge, and the state of
// the connection.
func sendState(raw syscall.RawConn) (left int, info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		if left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}
	})
	if controlErr != nil {
		err = controlErr
	}
	return left, info, err
}

// lost reports whether the other side of a connection is gone: it acknowledges neither bytes
// nor the probes of its closed window.
func lost(info *unix.TCPInfo) bool {
	silent := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Unacked > 0 && silent > userTimeout || info.Probes >= maxLostProbes
}
