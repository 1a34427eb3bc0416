package exchange

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestUploadsOutliveSilences guards against a request that is given up while its upstream reads
// nothing of the body for a moment: a closed window counts as unacknowledged to the
// kernel, which ends the connection after its timeout.
func TestUploadsOutliveSilences(t *testing.T) {
	const body = 2 << 20
	for name, tc := range map[string]struct {
		silence time.Duration
		times   int
		window  int
	}{
		"three times, small window": {1900 * time.Millisecond, 3, 4 << 10},
		"three times":               {1900 * time.Millisecond, 3, 256 << 10},
		"once, long":                {3500 * time.Millisecond, 1, 256 << 10},
		"once, long, small window":  {3500 * time.Millisecond, 1, 4 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
				var err error
				controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, tc.window) })
				return errors.Join(controlErr, err)
			}}
			l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				for range tc.times {
					<-time.After(tc.silence)
					_, _ = io.CopyN(io.Discard, c, body/4)
				}
				_, _ = io.CopyN(io.Discard, c, int64(body-tc.times*body/4))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				_, _ = io.Copy(io.Discard, c)
			}()
			response, err := New(func() {}).Do(t.Context(), l.Addr().(*net.TCPAddr).AddrPort(), &Request{
				Method: http.MethodPost, Target: "/", Host: "h", Body: bytes.Repeat([]byte("x"), body), HasBody: true, Matches: func(*http.Response, bool) bool { return true },
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Close()
			text, err := io.ReadAll(response)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(text)).To(gomega.Equal("whole"))
		})
	}
}

// TestLostUploads guards against an upload that goes on to an upstream that is gone, or ends as
// the upstream's window is closed.
func TestLostUploads(t *testing.T) {
	for name, tc := range map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"bytes are acknowledged":              {unix.TCPInfo{Unacked: 10, Last_ack_recv: 100}, false},
		"bytes aren't acknowledged":           {unix.TCPInfo{Unacked: 10, Last_ack_recv: 3100}, true},
		"the window is closed":                {unix.TCPInfo{Last_ack_recv: 6400, Probes: 1}, false},
		"nothing answers the window's probes": {unix.TCPInfo{Last_ack_recv: 3100, Probes: 4}, true},
	} {
		gomega.NewWithT(t).Expect(lost(&tc.info)).To(gomega.Equal(tc.want), name)
	}
}

// TestTimeoutIsSetAfterUploads guards against a connection that is used again without the timeout
// for an upstream that is gone.
func TestTimeoutIsSetAfterUploads(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		<-time.After(2 * uploadCheckInterval)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	response, err := New(func() {}).Do(t.Context(), s.address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, asyncBodyBytes), HasBody: true, Matches: func(*http.Response, bool) bool { return true },
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Close()
	raw, err := response.conn.Conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() (timeout int) {
		g.Expect(raw.Control(func(fd uintptr) {
			timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(gomega.Succeed())
		return timeout
	}, 5*time.Second).Should(gomega.Equal(int(userTimeout.Milliseconds())))
}
