package entry_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// TestBrokenStreamsNeverLookWhole guards against a caller that closes its sending side after its
// request, and whose stream ends in order after half of the events, with an error as the last.
func TestBrokenStreamsNeverLookWhole(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	c := s.send(chatText)
	response, err := http.ReadResponse(c.reader, nil)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	s.g.Expect(c.Conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	events, err := io.ReadAll(response.Body)
	s.g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	s.g.Expect(string(events)).NotTo(gomega.ContainSubstring("status"))
}
