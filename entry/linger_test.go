package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// refusedText is a request that its head refuses, without the body.
func refusedText(size int) string {
	return fmt.Sprintf("POST /services/plain/refused HTTP/1.1\r\nHost: h\r\nX-Caller: /\r\nContent-Length: %d\r\n\r\n", size)
}

// TestRefusalsOutliveUnreadBodies guards against callers that write all of a request before
// they read, and whose connection is reset while they do.
func TestRefusalsOutliveUnreadBodies(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	for _, size := range []int{1 << 10, 300 << 10, 3 << 20} {
		body := strings.Repeat("x", size)
		c := s.send(refusedText(size) + body[1:])
		_, err := c.reader.Peek(1)
		s.g.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
		_, err = io.WriteString(c, body[:1])
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		status, text := c.receive()
		s.g.Expect(status).To(gomega.Equal(http.StatusBadRequest), text)
		if size > 256<<10 {
			_, err = c.reader.Peek(1)
			s.g.Expect(err).To(gomega.MatchError(io.EOF), "not closed in order")
		}
	}
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
