package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/tcpconn"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/drain"
)

// TestBrokenAnswersAreResetForOldCallers guards against a caller that knows no chunks, as one
// of HTTP/1.0, and that takes the close of its connection for the end of an answer that
// has broken off.
func TestBrokenAnswersAreResetForOldCallers(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1)
	for name, tc := range map[string]struct {
		route  config.Route
		answer string
		whole  bool
	}{
		"stream":            {resumable, chunkedHead + chunk(event(1)), false},
		"large body":        {config.Route{Kind: config.NonIdempotent}, chunkedHead + chunk(large), false},
		"whole stream":      {resumable, chunkedHead + chunk(event(1)) + lastChunk, true},
		"whole, large body": {config.Route{Kind: config.NonIdempotent}, chunkedHead + chunk(large) + lastChunk, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			upstream := startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, tc.answer) })
			server := httptest.NewUnstartedServer(newEntry(t, tc.route, 2*time.Second, upstream))
			server.Listener = drain.NewListener(server.Listener)
			server.Start()
			t.Cleanup(server.Close)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "GET / HTTP/1.0\r\nX-Request-Id: %s\r\n\r\n", requestID)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			text, err := io.ReadAll(tcpconn.Conn{Conn: c})
			g.Expect(string(text[:min(len(text), 20)])).To(gomega.HavePrefix("HTTP/1."))
			if tc.whole {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.HaveOccurred(), "%d bytes look complete: %q", len(text), text[:min(len(text), 200)])
			}
		})
	}
}

// TestUnwrittenAnswersAreResetForOldCallers guards against an answer that a caller without
// chunks was too slow to read, and that looks complete.
func TestUnwrittenAnswersAreResetForOldCallers(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	c := s.dial()
	c.send("GET /endless/stream HTTP/1.0\r\nHost: h\r\nAuthorization: Token k\r\nX-Request-Id: -endless-old\r\n\r\n")
	s.g.Eventually(func() int64 { return s.ended("writeFailed") }, 2*stopLimit).Should(gomega.BeEquivalentTo(1))
	text, err := io.ReadAll(tcpconn.Conn{Conn: c.Conn})
	s.g.Expect(text).NotTo(gomega.BeEmpty())
	s.g.Expect(err).To(gomega.HaveOccurred(), "%d bytes look complete", len(text))
}
