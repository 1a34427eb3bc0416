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

// upload writes a body that may not fit into the upstream's buffers.
func (c *connection) upload(body []byte) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		_, err := c.Write(body)
		return err
	}
	var written atomic.Bool
	time.AfterFunc(uploadCheckInterval, func() { watchUpload(tcp, &written) })
	_, err := c.Write(body)
	written.Store(true)
	return err
}

// watchUpload takes the place of TCP_USER_TIMEOUT until all that was written has arrived:
// that also ends connections to an upstream that is there and reads nothing for a moment.
// It aborts the connection if the other side is gone, and returns when the connection has
// been closed.
func watchUpload(tcp *net.TCPConn, written *atomic.Bool) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	t := time.NewTicker(uploadCheckInterval)
	defer t.Stop()
	for watched := false; ; watched = true {
		done := written.Load()
		left, info, err := sendState(raw)
		switch {
		case err != nil || done && left == 0:
			if watched {
				setUserTimeout(tcp, userTimeout)
			}
			return
		case !watched:
			setUserTimeout(tcp, 0)
		case lost(info):
			Abort(tcp)
			return
		}
		<-t.C
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
