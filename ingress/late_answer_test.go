package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hyssopladder/hyssopladder/config"
)

// TestRequestsThatAreWholeAfterTheirDeadlineAreRefused guards against a request that is read
// or waits until after its deadline, and whose connection is closed without an answer.
func TestRequestsThatAreWholeAfterTheirDeadlineAreRefused(t *testing.T) {
	for name, route := range map[string]config.Route{"plain": {Kind: config.NonIdempotent}, "stream": {Kind: config.Streaming}} {
		for _, late := range []time.Duration{0, 2 * time.Second} {
			t.Run(name+" "+late.String(), func(t *testing.T) {
				g := gomega.NewWithT(t)
				upstream := startUpstream(t, func(net.Conn, *http.Request) { t.Error("the request was sent after its deadline") })
				status, body, err := get(startEntry(t, route, -late, upstream))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.BeNumerically(">=", http.StatusInternalServerError), body)
			})
		}
	}
}

// sendUnread sends requests that are refused, more than the kernel holds refusals for, without
// reading any. It returns their number.
func (s *stopCase) sendUnread(id string) (requests int64) {
	const (
		readBuffer    = 4 << 10
		unreadRefused = 40_000
	)
	// A buffer that shrinks after the kernel has advertised its window can stall both directions.
	c := s.dialBy(&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBuffer) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}})
	s.g.Expect(c.SetDeadline(time.Time{})).To(gomega.Succeed())
	go func() {
		_, _ = io.WriteString(c, strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\n\r\n", unreadRefused))
	}()
	return unreadRefused
}

// TestRefusalsThatNobodyReadsEndTheirConnection guards against a caller that sends requests
// without reading the refusals, and whose connection stays for ever.
func TestRefusalsThatNobodyReadsEndTheirConnection(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	requests := s.sendUnread("-unread")
	// Whether a request is under way changes all the time while requests are refused.
	served := func() int64 { return s.in.meters.requests.Count() }
	last := int64(-1)
	s.g.Eventually(func() bool {
		before := last
		last = served()
		return last > 0 && last == before
	}, 4*stopLimit, 200*time.Millisecond).Should(gomega.BeTrue())
	s.g.Expect(last).To(gomega.BeNumerically("<", requests), "the answers fit into the kernel's buffers")
	s.g.Eventually(s.in.listener.Busy, 2*writeMargin).Should(gomega.BeZero())
}

// TestRefusalsDontWaitForBodies guards against a caller whose request is refused by its head,
// and that gets the refusal only once it has sent a body that nobody needs.
func TestRefusalsDontWaitForBodies(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	c := s.dial()
	text := stopRequest("/nowhere")
	c.send(text[:len(text)-1])
	s.g.Expect(c.SetReadDeadline(time.Now().Add(2 * unreadBodyTimeout))).To(gomega.Succeed())
	response, _ := c.receive(true)
	s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
}
