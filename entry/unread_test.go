package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestPlainAnswersEndForCallersThatReadNothing guards against a caller that ties up its
// connection for ever by reading nothing of a large answer, and against a bound that a caller
// that reads slowly doesn't meet.
func TestPlainAnswersEndForCallersThatReadNothing(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, reads := range map[string]bool{"reads nothing": false, "reads slowly": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			done := make(chan error, 1)
			a := &plainResponse{status: http.StatusOK, header: http.Header{}, body: make([]byte, 2*maxResponseBytes)}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { done <- a.write(w, timeout) }))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if !reads {
				g.Eventually(done, 10*timeout).Should(gomega.Receive(gomega.HaveOccurred()))
				return
			}
			tick := time.NewTicker(timeout / 10)
			defer tick.Stop()
			began := time.Now()
			go func() {
				for {
					<-tick.C
					if _, err := io.CopyN(io.Discard, c, 512<<10); err != nil {
						return
					}
				}
			}()
			g.Eventually(done, time.Minute).Should(gomega.Receive(gomega.BeNil()))
			g.Expect(time.Since(began)).To(gomega.BeNumerically(">", timeout), "the whole answer took no longer than one write may")
		})
	}
}
