package ingress

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/result"
)

// TestHalfClosedCallersAreTold guards against a caller that closes its sending side after its
// whole request, and gets neither an answer nor a refusal.
func TestHalfClosedCallersAreTold(t *testing.T) {
	for path, ran := range map[string]result.Ran{"/full/running": result.RanUnknown, "/full/waiting": result.RanNo} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			if ran == result.RanNo {
				s.dial().sendAndReach("/full/first")
			}
			c := s.dial()
			if ran == result.RanNo {
				c.send(stopRequest(path))
				s.g.Eventually(s.in.listener.Busy, stopLimit).Should(gomega.Equal(2))
			} else {
				c.sendAndReach(path)
			}
			s.g.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
			s.g.Expect(c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(gomega.Succeed())
			response, body := c.receive(true)
			s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
			var e result.Error
			s.g.Expect(json.Unmarshal([]byte(body), &e)).To(gomega.Succeed())
			s.g.Expect(e.Code).To(gomega.Equal(result.Expired))
			s.g.Expect(e.Ran).To(gomega.Equal(ran))
			_, err := c.reader.Peek(1)
			s.g.Expect(err).To(gomega.MatchError(io.EOF))
			s.g.Expect(s.ended("callerGone")).To(gomega.BeEquivalentTo(1))
			s.g.Expect(s.ended("writeFailed")).To(gomega.BeZero())
		})
	}
}
