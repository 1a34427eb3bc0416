package ingress

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// TestLastUsageReachesTheLeader guards against usage that is lost with an entry: the leader,
// which reports it to the platform, got none since the last report before the stop's end.
func TestLastUsageReachesTheLeader(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	caller := s.dial()
	caller.sendAndReach("/once/1")
	s.beginStop(t)
	s.waitClosed()
	s.finish("/once/1")
	response, _ := caller.receive(true)
	s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	s.g.Eventually(s.drained, stopLimit).Should(gomega.BeClosed())
	s.g.Expect(s.reportedUsage()).To(gomega.Equal(uint64(1)))
}

// TestUsageIsReportedThoughAStreamGoesOn guards against usage that is lost since a stream
// lasts until the end of the stop: the last report waited for all requests.
func TestUsageIsReportedThoughAStreamGoesOn(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	stream, sent := s.dial(), s.dial()
	stream.send(stopRequest("/stream/1"))
	_, _ = stream.receive(false)
	sent.sendAndReach("/once/sent")
	s.beginStop(t)
	s.g.Eventually(s.drained, 2*stopLimit).Should(gomega.BeClosed())
	s.g.Expect(s.reportedUsage()).To(gomega.Equal(uint64(2)))
}
