package drain

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// slowListener accepts connections whose reads wait, as those of a busy instance do.
type slowListener struct {
	net.Listener
	read chan struct{}
}

type slowConn struct {
	*net.TCPConn
	read chan struct{}
}

var _ syscall.Conn = slowConn{}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c.(*net.TCPConn), l.read}, nil
}

func (c slowConn) Read(p []byte) (int, error) {
	<-c.read
	return c.TCPConn.Read(p)
}

// TestStopKeepsConnectionsWithUnreadRequests guards against a stop that closes a connection on
// which a whole request has come that the server is about to read.
func TestStopKeepsConnectionsWithUnreadRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, text := range map[string]string{"request": request, "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = inner.Close() }()
			read := make(chan struct{})
			l := NewListener(slowListener{inner, read})
			caller, err := net.Dial("tcp", inner.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = caller.Close() }()
			accepted, err := l.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.WriteString(caller, text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			got := make(chan string, 1)
			go func() {
				buffer := make([]byte, 2*len(request))
				n, _ := accepted.Read(buffer)
				got <- string(buffer[:n])
			}()
			g.Eventually(func() bool {
				c := accepted.(*trackedConn)
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.reading
			}).Should(gomega.BeTrue())
			// The wait is ended; whether bytes came first is known when the read returns.
			g.Expect(l.CloseIdle()).To(gomega.Equal(1))
			close(read)
			g.Eventually(got).Should(gomega.Receive(gomega.Equal(text)))
			if text == "" {
				g.Expect(l.CloseIdle()).To(gomega.BeZero())
			} else {
				g.Expect(l.CloseIdle()).To(gomega.Equal(1))
			}
		})
	}
}

// TestStopKeepsRequestsThatCameBeforeTheEndOfTheWait guards against a whole request that gets
// neither an answer nor a refusal: it has come after a stop ended the wait for it, and before the
// server has seen that, which takes a while on a busy instance.
func TestStopKeepsRequestsThatCameBeforeTheEndOfTheWait(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = inner.Close() }()
	read := make(chan struct{})
	l := NewListener(slowListener{inner, read})
	caller, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got := make(chan string, 1)
	go func() {
		buffer := make([]byte, 2*len(request))
		n, _ := accepted.Read(buffer)
		got <- string(buffer[:n])
	}()
	c := accepted.(*trackedConn)
	g.Eventually(func() bool {
		g.Expect(l.CloseIdle()).To(gomega.Equal(1))
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.interrupted
	}).Should(gomega.BeTrue())
	_, err = io.WriteString(caller, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(c.hasUnread).Should(gomega.BeTrue())
	close(read)
	g.Eventually(got).Should(gomega.Receive(gomega.Equal(request)))
	g.Expect(l.CloseIdle()).To(gomega.Equal(1))
}
