package entry

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// TestResetWhileSendingIsNoEnd guards against an answer without a length that is reset while
// the request's body is still being sent: the kernel reports the reset once, to the
// writer, and a reader that is faster than the writer finds an end like that of a
// connection that was closed.
func TestResetWhileSendingIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	c, err := newTransport().DialContext(t.Context(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	upstream, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const half = "HTTP/1.1 200 OK\r\n\r\nhalf"
	_, err = io.WriteString(upstream, half)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(upstream.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
	g.Expect(upstream.Close()).To(gomega.Succeed())
	for err = nil; err == nil; {
		_, err = io.WriteString(c, "x")
	}
	text, err := io.ReadAll(c)
	g.Expect(string(text)).To(gomega.Equal(half))
	g.Expect(err).To(gomega.HaveOccurred(), "the answer looks complete")
}

// zeros is a request body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestResetAnswersAreNeverWhole guards against the same in net/http, which closes the
// connection after a failed write: a reader may find its end before that, and then
// can't ask any more how it came about.
func TestResetAnswersAreNeverWhole(t *testing.T) {
	const requests, bodyBytes = 500, 32 << 20
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 1000))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	client, address := newUpstreamClient(), l.Addr().(*net.TCPAddr).AddrPort()
	for range requests {
		r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/", onceReader{zeros{}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r.ContentLength = bodyBytes
		trip, err := client.do(t.Context(), r)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(trip.response.Body)
		_ = trip.response.Body.Close()
		g.Expect(err).To(gomega.HaveOccurred(), "%q looks complete", text)
	}
}
