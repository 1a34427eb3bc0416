package exchange

import (
	"bytes"
	"context"
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

// TestRequestThatIsGivenUpDoesNotArriveLater guards against an upstream that gets a request
// after it was given up: the kernel goes on sending what is in its buffer when a
// connection is closed in order. The upstream's window is closed until then, as if the path
// were cut.
func TestRequestThatIsGivenUpDoesNotArriveLater(t *testing.T) {
	g := gomega.NewWithT(t)
	const smallWindow = 1 << 10
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindow) })
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	body := bytes.Repeat([]byte("x"), asyncBodyBytes-1)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = New(func() {}).Do(ctx, l.Addr().(*net.TCPAddr).AddrPort(), &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: body, HasBody: true, Matches: func(*http.Response, bool) bool { return true },
	})
	g.Expect(err).To(gomega.HaveOccurred())
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	received, err := io.ReadAll(conn)
	g.Expect(len(received)).To(gomega.BeNumerically("<", len(body)), "the rest was sent after the request had been given up")
	g.Expect(errors.Is(err, unix.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}
