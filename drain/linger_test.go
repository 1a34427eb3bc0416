package drain

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// lingerPair is a connection that a Listener has accepted, and its caller's end.
func lingerPair(t *testing.T) (l *Listener, accepted net.Conn, caller *net.TCPConn) {
	t.Helper()
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = inner.Close() })
	l = NewListener(inner)
	c, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	accepted, err = l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return l, accepted, c.(*net.TCPConn)
}

// TestCloseWaitsForTheCaller guards against a close that fails the writes of a caller which is
// still sending, and against one that waits for ever for a caller which isn't.
func TestCloseWaitsForTheCaller(t *testing.T) {
	for name, tc := range map[string]struct {
		act     func(g *gomega.WithT, caller *net.TCPConn)
		atLeast time.Duration
		atMost  time.Duration
	}{
		"closes": {func(g *gomega.WithT, caller *net.TCPConn) {
			_, err := io.Copy(caller, io.LimitReader(zeros{}, 1<<20))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			rest, err := io.ReadAll(caller)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(rest)).To(gomega.Equal("answer"))
			g.Expect(caller.Close()).To(gomega.Succeed())
		}, 0, lingerSilence},
		"says nothing":   {func(*gomega.WithT, *net.TCPConn) {}, lingerSilence, 2 * lingerSilence},
		"sends for ever": {func(_ *gomega.WithT, caller *net.TCPConn) { go func() { _, _ = io.Copy(caller, zeros{}) }() }, 0, lingerLimit + lingerSilence},
		"resets": {func(g *gomega.WithT, caller *net.TCPConn) {
			g.Expect(caller.SetLinger(0)).To(gomega.Succeed())
			g.Expect(caller.Close()).To(gomega.Succeed())
		}, 0, lingerSilence},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			l, c, caller := lingerPair(t)
			_, err := io.WriteString(c, "answer")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			closed := make(chan time.Duration, 1)
			go func() {
				began := time.Now()
				_ = c.Close()
				closed <- time.Since(began)
			}()
			g.Eventually(l.Lingering).Should(gomega.Equal(1))
			g.Expect(l.CloseIdle()).To(gomega.BeZero(), "a stop doesn't wait for a request on it")
			tc.act(g, caller)
			var took time.Duration
			g.Eventually(closed, lingerLimit+lingerSilence).Should(gomega.Receive(&took))
			g.Expect(took).To(gomega.And(gomega.BeNumerically(">=", tc.atLeast), gomega.BeNumerically("<", tc.atMost)))
			g.Expect(l.Lingering()).To(gomega.BeZero())
		})
	}
}

// zeros never ends.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestCloseOfAnEndedConnectionDoesntWait guards against connections that stay for callers that
// are gone, that are reset on purpose, or that are closed with the whole server.
func TestCloseOfAnEndedConnectionDoesntWait(t *testing.T) {
	for name, before := range map[string]func(g *gomega.WithT, c net.Conn, caller net.Conn){
		"caller has closed": func(g *gomega.WithT, c net.Conn, caller net.Conn) {
			_ = caller.Close()
			_, err := c.Read(make([]byte, 1))
			g.Expect(err).To(gomega.MatchError(io.EOF))
		},
		"to be reset": func(g *gomega.WithT, c net.Conn, _ net.Conn) {
			g.Expect(c.(*trackedConn).SetLinger(0)).To(gomega.Succeed())
		},
		"server waits for a request": func(g *gomega.WithT, c net.Conn, _ net.Conn) {
			go func() { _, _ = c.Read(make([]byte, 1)) }()
			g.Eventually(func() bool {
				c := c.(*trackedConn)
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.reading
			}).Should(gomega.BeTrue())
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, c, caller := lingerPair(t)
			before(g, c, caller)
			began := time.Now()
			_ = c.Close()
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", lingerSilence/2))
		})
	}
}
