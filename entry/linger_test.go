package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// refusedText is a request that its head refuses, without the body.
func refusedText(size int) string {
	return fmt.Sprintf("POST /services/plain/refused HTTP/1.1\r\nHost: h\r\nX-Caller: /\r\nContent-Length: %d\r\n\r\n", size)
}

// TestRefusalsDontWaitForBodies guards against a caller whose request is refused by its head,
// and that gets the refusal only once it has sent a body that nobody needs.
func TestRefusalsDontWaitForBodies(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	began := time.Now()
	status, _ := s.send(refusedText(1 << 10)).receive()
	s.g.Expect(status).To(gomega.Equal(http.StatusBadRequest))
	s.g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
}
