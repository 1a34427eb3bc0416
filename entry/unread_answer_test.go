package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// TestAnswersThatNobodyReadsEnd guards against a caller that reads nothing and keeps its connection,
// and what serves it, for ever.
func TestAnswersThatNobodyReadsEnd(t *testing.T) {
	const writeTimeout = 200 * time.Millisecond
	for name, write := range map[string]func(w http.ResponseWriter) error{
		"plain": func(w http.ResponseWriter) error {
			return (&plainResponse{status: http.StatusOK, body: make([]byte, maxResponseBytes)}).write(w, writeTimeout)
		},
		"chat": func(w http.ResponseWriter) error {
			s := newSink(w, &chatRequest{}, position{}, false, writeTimeout)
			for range 8 {
				_ = s.token(0, strings.Repeat("t", 1<<20), nil)
			}
			return s.end(8, &upstream.Announcement{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			returned := make(chan error, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { returned <- write(w) }))
			defer server.CloseClientConnections()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = c.Close() }()
			g.Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(gomega.Succeed())
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Eventually(returned, 10*writeTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
		})
	}
}
