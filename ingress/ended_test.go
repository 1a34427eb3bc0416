package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// logged collects the log lines of all tests of the package.
var logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// logTo collects log lines and prints them.
type logTo struct{}

func (logTo) Write(p []byte) (int, error) {
	logged.mu.Lock()
	defer logged.mu.Unlock()
	logged.text.Write(p)
	return os.Stderr.Write(p)
}

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	// A line goes to the outputs of its severity and of all below.
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", logTo{})
	os.Exit(m.Run())
}

// logLines returns the log lines on the request.
func logLines(request string) string {
	klog.Flush()
	logged.mu.Lock()
	defer logged.mu.Unlock()
	var lines []string
	for line := range strings.Lines(logged.text.String()) {
		if strings.Contains(line, fmt.Sprintf(" request=%q", request)) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// ended is how often the entry counted a cause.
func (s *stopCase) ended(cause string) int64 {
	return metrics.GetOrRegisterCounter("ingress.ended."+cause, s.in.options.Metrics).Count()
}

// TestEveryEndWithoutAnAnswerIsLoggedAndCounted guards against ends of callers' connections
// that neither the logs nor the metrics tell apart.
func TestEveryEndWithoutAnAnswerIsLoggedAndCounted(t *testing.T) {
	for cause, tc := range map[string]struct {
		path string
		act  func(s *stopCase, c *stopCaller)
	}{
		"callerGone": {"/once/gone", func(_ *stopCase, c *stopCaller) {
			c.sendAndReach("/once/gone")
			_ = c.Close()
		}},
		"cutOff": {"/broken/stream", func(s *stopCase, c *stopCaller) {
			c.send(stopRequest("/broken/stream"))
			_, err := io.ReadAll(c)
			s.g.Expect(err).NotTo(gomega.HaveOccurred())
		}},
		"writeFailed": {"/endless/stream", func(_ *stopCase, c *stopCaller) {
			c.send(stopRequest("/endless/stream"))
		}},
		"writeFailed after the handler": {"/unread", func(s *stopCase, _ *stopCaller) {
			s.sendUnread("-unread")
		}},
	} {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			c := s.dial()
			tc.act(s, c)
			counted, _, _ := strings.Cut(cause, " ")
			s.g.Eventually(func() int64 { return s.ended(counted) }, 4*stopLimit).Should(gomega.BeEquivalentTo(1))
			s.g.Expect(logLines(strings.ReplaceAll(tc.path, "/", "-"))).To(gomega.ContainSubstring("cause=%q", counted))
			for _, other := range []string{"callerGone", "cutOff", "writeFailed"} {
				if other != counted {
					s.g.Expect(s.ended(other)).To(gomega.BeZero(), other)
				}
			}
		})
	}
}

// endsBadly is what upstreams do with paths whose answers end badly.
func endsBadly(c net.Conn, r *http.Request, head string) bool {
	switch r.URL.Path {
	case "/broken/stream":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(event(1)))
		return true
	case "/endless/stream":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for n := 1; ; n++ {
			if _, err := io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 64<<10)))); err != nil {
				return true
			}
		}
	}
	return false
}

// shortTimeout is that of routes whose answers end badly.
const shortTimeout = time.Second
