package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// TestNamedLimitIsKept guards against incident LIMIT: an upstream that named a
// limit of requests per second in its answers got as many as before.
func TestNamedLimitIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		limit    = 10.0
		callers  = 300
		interval = 5 * time.Millisecond
	)
	var atLimited, atOther atomic.Int64
	answer := func(count *atomic.Int64, header string) func(c net.Conn, _ *http.Request) {
		return func(c net.Conn, _ *http.Request) {
			count.Add(1)
			_, _ = io.WriteString(c, answerHead+header+"Content-Length: 2\r\nConnection: close\r\n\r\nok")
		}
	}
	url := startEntry(t, config.Route{Kind: config.Idempotent}, 5*time.Second,
		startUpstream(t, answer(&atLimited, fmt.Sprintf("Server-Limit: %v\r\n", limit))), startUpstream(t, answer(&atOther, "")))
	began := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range callers {
		status, _, err := get(url)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		<-ticker.C
	}
	allowed := 1.5*limit*time.Since(began).Seconds() + 5
	g.Expect(float64(atLimited.Load())).To(gomega.BeNumerically("<=", allowed), "the other got %d", atOther.Load())
	g.Expect(atLimited.Load()).To(gomega.BeNumerically(">=", 5), "it may be used up to its limit")
}

// TestLimitOfAnotherUpstreamIsNotTheExpectedOnes guards against an upstream that gets fewer requests than
// it takes, at all entries: another one has an address at which it was expected, and names its
// own limit.
func TestLimitOfAnotherUpstreamIsNotTheExpectedOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	other := startUpstream(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected\r\nX-Request-Id: "+requestID+"\r\nServer-Limit: 1\r\nContent-Length: 0\r\n\r\n")
	})
	in, url := startIngress(t, config.Route{Kind: config.Idempotent}, 5*time.Second, other)
	status, _, err := get(url)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		g.Expect(f.Limits(now)).To(gomega.BeEmpty())
		return nil
	})
}
