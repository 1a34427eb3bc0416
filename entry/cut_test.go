package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/cuttest"
	"github.com/hyssopladder/hyssopladder/common/readahead"
	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// newCutEntry is an entry that only sends to upstreams.
func newCutEntry(dispatch *dispatchActor) *Entry {
	return &Entry{
		options: Options{Settings: settings.Entry{ProgressTimeout: 2 * time.Second, WriteTimeout: time.Second}}, upstreams: newUpstreamClient(), responses: readahead.New(maxResponsesBytes, responsesWait),
		dispatch: dispatch,
		meters:   newMeters(metrics.NewRegistry()), inTime: newInTimeTracker(),
	}
}

// newUndecided is a dispatcher that decides nothing.
func newUndecided(t *testing.T) *dispatchActor {
	t.Helper()
	return &dispatchActor{clock: clock.System(), ref: actors.Spawn(t.Context(), actors.NewSystem(), "entry", func(any) {})}
}

// TestCutPlainAnswersAreNeverWhole guards against an answer that ends within its head or its
// body, and that the caller gets as a whole one, or as one that hasn't run.
func TestCutPlainAnswersAreNeverWhole(t *testing.T) {
	undecided := newUndecided(t)
	for name, head := range map[string]string{
		"200": "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-More: a\r\n b\r\n",
		// A success that states that it has not run contradicts itself, and has run.
		"201": "HTTP/1.1 201 Made\r\n" + headerRan + ": no\r\n",
		"500": "HTTP/1.1 500 Broken\r\n",
		"503": "HTTP/1.1 503 Full\r\n" + headerRan + ": no\r\n",
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s repeatable=%v", name, repeatable), func(t *testing.T) {
				cuttest.Each(t, head, "answer", func(t *testing.T, server netip.AddrPort, cut *cuttest.Cut) {
					g := gomega.NewWithT(t)
					e, u, about := newCutEntry(undecided), upstream.Announcement{ID: "u", Address: server}, cut.String()
					p := &plainCall{
						entry: e, call: service.Call{Repeatable: repeatable}, job: &job{}, path: "/",
						request: httptest.NewRequest(http.MethodPost, "/", nil), in: callerRequest{body: []byte("x")}, timeout: 2 * time.Second,
					}
					response, failure, err := p.attempt(t.Context(), u)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					body, whole := cut.Whole()
					switch {
					case name == "503" && cut.Sent >= strings.Index(cut.Text, "\r\n\r\n")+len("\r\n\r\n"):
						// The head says all, whatever becomes of the body.
						g.Expect(failure).To(gomega.Equal(retry.Refused), about)
					case name != "503" && whole:
						g.Expect(response).NotTo(gomega.BeNil(), about)
						g.Expect(fmt.Sprint(response.status)).To(gomega.Equal(name))
						g.Expect(response.header).NotTo(gomega.HaveKey(headerRan))
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

// TestStatusesThatHTTPLacksAreNoAnswers guards against a caller that gets such a status, or an answer
// that stands in the body of one; and against one that is kept for a key.
func TestStatusesThatHTTPLacksAreNoAnswers(t *testing.T) {
	undecided := newUndecided(t)
	for _, status := range []int{0, 1, 99, 101, 600, 999} {
		for _, text := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(fmt.Sprintf("%03d with %d", status, len(text)), func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := cuttest.Serve(t, func(c net.Conn, _ *http.Request) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %03d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
				})
				p := &plainCall{
					entry: newCutEntry(undecided), job: &job{}, path: "/",
					request: httptest.NewRequest(http.MethodPost, "/", nil), in: callerRequest{body: []byte("x")}, timeout: 2 * time.Second,
				}
				response, failure, err := p.attempt(t.Context(), upstream.Announcement{ID: "u", Address: server})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(response).To(gomega.BeNil())
				g.Expect(failure.MayHaveRun()).To(gomega.BeTrue())
			})
		}
		kept, err := heldKeyResponse(claim.Reply{State: claim.Answered, Answer: &claim.Answer{Status: status}})
		g := gomega.NewWithT(t)
		g.Expect(kept).To(gomega.BeNil())
		g.Expect(result.From(err).Code).To(gomega.Equal(result.ClaimUnknown))
	}
}

// TestCutStreamsAreNeverWhole guards against a stream that ends within its head, an event or
// between events, and that looks complete: the first answer, and one that goes on with a
// stream.
func TestCutStreamsAreNeverWhole(t *testing.T) {
	undecided := newUndecided(t)
	for has, lineEnds := range [][]string{{"\n"}, {"\n", "\r\n"}} {
		for _, lineEnd := range lineEnds {
			t.Run(fmt.Sprintf("after %d tokens, %q", has, lineEnd), func(t *testing.T) {
				body := ""
				for n := has; n < 2; n++ {
					body += fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", n, n)
				}
				body = strings.ReplaceAll(body+"id: 2\ndata: [DONE]\n\n", "\n", lineEnd)
				cuttest.Each(t, "HTTP/1.1 200 OK\r\n", body, func(t *testing.T, server netip.AddrPort, cut *cuttest.Cut) {
					g := gomega.NewWithT(t)
					e, u, about := newCutEntry(undecided), upstream.Announcement{ID: "u", Address: server}, cut.String()
					request, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					c := &chatCall{entry: e, request: request, call: service.Call{Repeatable: true}, job: &job{}, out: &bufferedSink{w: httptest.NewRecorder()}}
					number, _ := c.stream.Begin()
					for n := range has {
						g.Expect(c.stream.Accept(relay.Chunk{Attempt: number, Offset: n, Text: fmt.Sprint(n)})).To(gomega.Equal(relay.Emit))
						c.text.WriteString(fmt.Sprint(n))
					}
					number, offset := c.stream.Begin()
					watch := e.watch(c.job, time.Minute, func() {})
					defer watch.stop()
					failure, err := c.relayFrom(t.Context(), watch, u, number, offset)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(strings.HasPrefix("01", c.text.String())).To(gomega.BeTrue(), about)
					// The last event ends the stream; a CR ends a line before its LF has come.
					lastEvent := strings.TrimSuffix(cut.Text[:strings.Index(cut.Text, "[DONE]")+len("[DONE]")+2*len(lineEnd)], "\n")
					if lineEnd == "\n" {
						lastEvent += "\n"
					}
					if cut.Sent < len(lastEvent) {
						g.Expect(c.stream.Ended()).To(gomega.BeFalse(), about)
						g.Expect(failure.MayHaveRun()).To(gomega.BeTrue(), about)
					}
					if cut.Sent == len(cut.Text) {
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
