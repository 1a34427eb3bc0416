package tcpconn

import (
	"io"
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	here, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	there, err = l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	return here, there
}

// TestResetThatAWriterSawIsNoEnd guards against a reset that the kernel reports to a writer,
// and that a reader then takes for the end of all that was sent.
func TestResetThatAWriterSawIsNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := pair(t)
	_, err := there.Write([]byte("half"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(there.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
	g.Expect(there.Close()).To(gomega.Succeed())
	for err = nil; err == nil; {
		_, err = here.Write([]byte("x"))
	}
	text, err := io.ReadAll(Conn{here})
	g.Expect(string(text)).To(gomega.Equal("half"))
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestCloseIsAnEnd guards against an answer that counts as broken off though its connection
// was closed in order.
func TestCloseIsAnEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	here, there := pair(t)
	_, err := there.Write([]byte("whole"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(there.Close()).To(gomega.Succeed())
	text, err := io.ReadAll(Conn{here})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.Equal("whole"))
}

// TestConnectionClosedHereHasNoEnd guards against a connection that another goroutine closes
// after a failed write, between a read without bytes and the question why there are none.
func TestConnectionClosedHereHasNoEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	here, _ := pair(t)
	g.Expect(here.Close()).To(gomega.Succeed())
	g.Expect(endOf(here)).To(gomega.MatchError(net.ErrClosed))
}
