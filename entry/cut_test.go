package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// cutAnswer is an answer of which an upstream sends a part, before it closes the connection
// or resets it.
type cutAnswer struct {
	text, body string
	// endless says that the answer has neither a length nor chunks.
	endless bool
	// sent is the length of the part.
	sent  int
	reset bool
}

// whole is the body that counts as a whole one.
func (a cutAnswer) whole() (body string, ok bool) {
	if !a.endless {
		return a.body, a.sent == len(a.text)
	}
	bodyAt := len(a.text) - len(a.body)
	if a.reset || a.sent < bodyAt {
		return "", false
	}
	// A close ends it anywhere.
	return a.body[:a.sent-bodyAt], true
}

// eachCut runs a test for an answer in each framing, cut after each byte, by a close and
// by a reset.
func eachCut(t *testing.T, head, body string, test func(t *testing.T, u upstream.Announcement, e *Entry, a cutAnswer)) {
	t.Helper()
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var next atomic.Pointer[cutAnswer]
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				a := next.Load()
				_, _ = io.WriteString(c, a.text[:a.sent])
				if a.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			_ = c.Close()
		}
	}()
	e := &Entry{
		options: Options{Settings: settings.Entry{ProgressTimeout: 2 * time.Second, WriteTimeout: time.Second}}, upstreams: newUpstreamClient(),
		// Nothing is decided here.
		dispatch: &dispatchActor{clock: clock.System(), ref: actors.Spawn(t.Context(), actors.NewSystem(), "entry", func(any) {})},
		meters:   newMeters(metrics.NewRegistry()), inTime: newInTimeTracker(),
	}
	u := upstream.Announcement{ID: "u", Address: l.Addr().(*net.TCPAddr).AddrPort()}
	for framing, text := range map[string]string{
		"length":       fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":       fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		"until closed": head + "\r\n" + body,
	} {
		t.Run(framing, func(t *testing.T) {
			first := 0
			if framing != "length" {
				// Cut earlier, all framings are the same bytes.
				first = len(head) + 1
			}
			for sent := first; sent <= len(text); sent++ {
				for _, reset := range []bool{false, true} {
					a := cutAnswer{text: text, body: body, endless: framing == "until closed", sent: sent, reset: reset}
					next.Store(&a)
					test(t, u, e, a)
				}
			}
		})
	}
}

// TestCutPlainAnswersAreNeverWhole guards against an answer that ends within its head or its
// body, and that the caller gets as a whole one, or as one that hasn't run.
func TestCutPlainAnswersAreNeverWhole(t *testing.T) {
	for name, head := range map[string]string{
		"200": "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-More: a\r\n b\r\n",
		"500": "HTTP/1.1 500 Broken\r\n",
		"503": "HTTP/1.1 503 Full\r\n" + headerRan + ": no\r\n",
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s repeatable=%v", name, repeatable), func(t *testing.T) {
				eachCut(t, head, "answer", func(t *testing.T, u upstream.Announcement, e *Entry, a cutAnswer) {
					g := gomega.NewWithT(t)
					about := fmt.Sprintf("%q, reset=%v", a.text[:a.sent], a.reset)
					p := &plainCall{
						entry: e, call: service.Call{Repeatable: repeatable}, job: &job{}, path: "/",
						request: httptest.NewRequest(http.MethodPost, "/", nil), in: callerRequest{body: []byte("x")}, timeout: 2 * time.Second,
					}
					response, failure, err := p.attempt(t.Context(), u)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					body, whole := a.whole()
					switch {
					case name == "503" && a.sent >= strings.Index(a.text, "\r\n\r\n")+len("\r\n\r\n"):
						// The head says all, whatever becomes of the body.
						g.Expect(failure).To(gomega.Equal(retry.Refused), about)
					case name != "503" && whole:
						g.Expect(response).NotTo(gomega.BeNil(), about)
						g.Expect(fmt.Sprint(response.status)).To(gomega.Equal(name))
						g.Expect(string(response.body)).To(gomega.Equal(body))
					default:
						g.Expect(response).To(gomega.BeNil(), about)
						g.Expect(failure.MayHaveRun()).To(gomega.BeTrue(), about)
					}
				})
			})
		}
	}
}

// TestCutStreamsAreNeverWhole guards against a stream that ends within its head, an event or
// between events, and that looks complete: the first answer, and one that goes on with a
// stream.
func TestCutStreamsAreNeverWhole(t *testing.T) {
	for _, has := range []int{0, 1} {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			t.Run(fmt.Sprintf("after %d tokens, %q", has, lineEnd), func(t *testing.T) {
				body := ""
				for n := has; n < 2; n++ {
					body += fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", n, n)
				}
				body = strings.ReplaceAll(body+"id: 2\ndata: [DONE]\n\n", "\n", lineEnd)
				eachCut(t, "HTTP/1.1 200 OK\r\n", body, func(t *testing.T, u upstream.Announcement, e *Entry, a cutAnswer) {
					g := gomega.NewWithT(t)
					about := fmt.Sprintf("%q, reset=%v", a.text[:a.sent], a.reset)
					request, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					c := &chatCall{entry: e, request: request, call: service.Call{Repeatable: true}, job: &job{}, out: &bufferedSink{w: httptest.NewRecorder()}}
					number, _ := c.stream.Begin()
					for n := range has {
						g.Expect(c.stream.Accept(relay.Chunk{Attempt: number, Offset: n, Text: fmt.Sprint(n)})).To(gomega.Equal(relay.Emit))
						c.text.WriteString(fmt.Sprint(n))
					}
					number, offset := c.stream.Begin()
					failure, err := c.relayFrom(t.Context(), u, number, offset)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(strings.HasPrefix("01", c.text.String())).To(gomega.BeTrue(), about)
					// The last event ends the stream; a CR ends a line before its LF has come.
					lastEvent := strings.TrimSuffix(a.text[:strings.Index(a.text, "[DONE]")+len("[DONE]")+2*len(lineEnd)], "\n")
					if lineEnd == "\n" {
						lastEvent += "\n"
					}
					if a.sent < len(lastEvent) {
						g.Expect(c.stream.Ended()).To(gomega.BeFalse(), about)
						g.Expect(failure.MayHaveRun()).To(gomega.BeTrue(), about)
					}
					if a.sent == len(a.text) {
						g.Expect(c.stream.Ended()).To(gomega.BeTrue(), about)
					}
					if c.stream.Ended() {
						g.Expect(c.text.String()).To(gomega.Equal("01"), about)
					}
				})
			})
		}
	}
}
