package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/config"
)

// framings write a body in each way in which it may end.
var framings = map[string]func(body string) string{
	"length":    func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunks":    func(body string) string { return "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + lastChunk },
	untilClosed: func(body string) string { return "\r\n" + body },
}

const untilClosed = "until closed"

// cutAnswer is an answer of which an upstream sends a part, before it closes the connection
// or resets it.
type cutAnswer struct {
	text, body, framing string
	// sent is the length of the part.
	sent  int
	reset bool
}

func (a cutAnswer) write(c net.Conn, _ *http.Request) {
	_, _ = io.WriteString(c, a.text[:a.sent])
	if a.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// whole is the body that the caller may get as a whole one.
func (a cutAnswer) whole() (body string, ok bool) {
	if a.framing != untilClosed {
		return a.body, a.sent == len(a.text)
	}
	bodyAt := len(a.text) - len(a.body)
	if a.reset || a.sent < bodyAt {
		return "", false
	}
	// A close ends it anywhere.
	return a.body[:a.sent-bodyAt], true
}

// eachCut runs a test for the answer cut after each byte, by a close and by a reset.
func eachCut(t *testing.T, name, head, body, framing string, test func(t *testing.T, a cutAnswer)) {
	t.Helper()
	text := head + framings[framing](body)
	t.Run(name+" "+framing, func(t *testing.T) {
		t.Parallel()
		first := 0
		if framing != "length" {
			// Cut earlier, all framings are the same bytes.
			first = len(head) + 1
		}
		for sent := first; sent <= len(text); sent++ {
			for _, reset := range []bool{false, true} {
				// The entry ends with its test.
				t.Run(fmt.Sprintf("%d reset=%v", sent, reset), func(t *testing.T) { test(t, cutAnswer{text, body, framing, sent, reset}) })
			}
		}
	})
}

// conversations has new entries and upstreams for each request. All use a few listeners,
// as the kernel is slow to find free ports for thousands.
type conversations struct {
	entry     string
	upstreams []netip.AddrPort
	mu        sync.Mutex
	entries   map[string]http.Handler
	answers   map[string][]func(c net.Conn, r *http.Request)
}

// headerCase names the conversation in requests.
const headerCase = "X-Case"

func newConversations(t *testing.T) *conversations {
	t.Helper()
	s := &conversations{entries: map[string]http.Handler{}, answers: map[string][]func(c net.Conn, r *http.Request){}}
	const maxUpstreams = 3
	for range maxUpstreams {
		s.upstreams = append(s.upstreams, startUpstream(t, func(c net.Conn, r *http.Request) {
			if answer := s.nextAnswer(r.Header.Get(headerCase)); answer != nil {
				answer(c, r)
			}
		}))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		entry := s.entries[r.Header.Get(headerCase)]
		s.mu.Unlock()
		entry.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.entry = server.URL
	return s
}

// nextAnswer takes the next answer of a conversation, nil if there is none.
func (s *conversations) nextAnswer(name string) func(c net.Conn, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := s.answers[name]
	if len(answers) == 0 {
		return nil
	}
	s.answers[name] = answers[1:]
	return answers[0]
}

// ask sends a request to a new entry. Upstreams give the answers, one each and in that
// order; left is the number of those that weren't asked for.
func (s *conversations) ask(t *testing.T, route config.Route, answers ...func(c net.Conn, r *http.Request)) (status int, body string, left int, err error) {
	t.Helper()
	s.mu.Lock()
	name := strconv.Itoa(len(s.entries))
	s.answers[name] = answers
	s.entries[name] = newEntry(t, route, 2*time.Second, s.upstreams[:len(answers)]...)
	s.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, s.entry, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerCase, name)
	// A client sends a request again by itself on a connection that it has used before.
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, body = response.StatusCode, string(data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return status, body, len(s.answers[name]), err
}

// TestCutPlainAnswersAreNeverWhole guards against an answer that ends within its head or its
// body, and that the caller gets as a success or as the upstream's own error.
func TestCutPlainAnswersAreNeverWhole(t *testing.T) {
	const body = "answer"
	s := newConversations(t)
	for status, head := range map[int]string{
		http.StatusOK:                  "HTTP/1.1 103 Hints\r\n\r\n" + answerHead,
		http.StatusInternalServerError: "HTTP/1.1 500 Broken\r\nX-Request-Id: " + requestID + "\r\n",
	} {
		for framing := range framings {
			eachCut(t, strconv.Itoa(status), head, body, framing, func(t *testing.T, a cutAnswer) {
				g := gomega.NewWithT(t)
				got, text, _, err := s.ask(t, config.Route{Kind: config.NonIdempotent}, a.write)
				g.Expect(err).NotTo(gomega.HaveOccurred(), "%q, reset=%v", a.text[:a.sent], a.reset)
				want, whole := a.whole()
				if !whole {
					g.Expect(got).To(gomega.Equal(http.StatusBadGateway), "%q, reset=%v: %q", a.text[:a.sent], a.reset, text)
					return
				}
				g.Expect(got).To(gomega.Equal(status))
				g.Expect(text).To(gomega.Equal(want))
			})
		}
	}
}

// TestCutAnswersAreReplaced guards against a cut answer that is passed on, or ends the
// request, where another upstream may run it.
func TestCutAnswersAreReplaced(t *testing.T) {
	const body = "answer"
	s := newConversations(t)
	for framing := range framings {
		eachCut(t, "200", answerHead, body, framing, func(t *testing.T, a cutAnswer) {
			g := gomega.NewWithT(t)
			got, text, left, err := s.ask(t, config.Route{Kind: config.Idempotent}, a.write, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, answerHead+framings["length"]("second"))
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(http.StatusOK))
			want, whole := a.whole()
			if !whole {
				want = "second"
			}
			g.Expect(text).To(gomega.Equal(want), "%q, reset=%v", a.text[:a.sent], a.reset)
			g.Expect(left == 1).To(gomega.Equal(whole))
		})
	}
}

// TestCutRefusalsMayHaveRun guards against a refusal of which a part of the head is missing,
// and after which the request goes to a second upstream, or counts as not run.
func TestCutRefusalsMayHaveRun(t *testing.T) {
	const body = "full"
	s := newConversations(t)
	const head = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: " + requestID + "\r\n"
	eachCut(t, "503", head, body, "length", func(t *testing.T, a cutAnswer) {
		g := gomega.NewWithT(t)
		got, _, left, err := s.ask(t, config.Route{Kind: config.NonIdempotent}, a.write, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, answerHead+framings["length"]("second"))
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if a.sent < len(a.text)-len(a.body) {
			g.Expect(got).To(gomega.Equal(http.StatusBadGateway), "%q, reset=%v", a.text[:a.sent], a.reset)
			g.Expect(left).To(gomega.Equal(1), "the request may have run twice")
			return
		}
		// The head says all, whatever becomes of the body.
		g.Expect(got).To(gomega.Equal(http.StatusOK))
		g.Expect(left).To(gomega.BeZero())
	})
}

// cutStreamEvents is the number of events in the streams that are cut.
const cutStreamEvents = 3

// eventsAfter is a stream from the event after the last one that the caller has.
func eventsAfter(last int) string {
	text := ""
	for n := last + 1; n <= cutStreamEvents; n++ {
		text += event(n)
	}
	return text
}

// TestCutStreamsAreNeverWhole guards against a stream that ends within its head or an event
// and looks complete: the answer of the first upstream, and that of a second one that goes
// on with the stream. Another upstream, if there is one, has to complete it.
func TestCutStreamsAreNeverWhole(t *testing.T) {
	s := newConversations(t)
	begin := func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, chunkedHead+chunk(event(1))) }
	goOn := func(c net.Conn, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		_, _ = io.WriteString(c, answerHead+framings["chunks"](eventsAfter(last)))
	}
	// has is the number of events that the caller has before the answer.
	for has := range 2 {
		for _, others := range []bool{false, true} {
			for framing := range framings {
				eachCut(t, fmt.Sprintf("after %d events, others=%v", has, others), answerHead, eventsAfter(has), framing, func(t *testing.T, a cutAnswer) {
					g := gomega.NewWithT(t)
					answers := []func(c net.Conn, r *http.Request){a.write}
					if has > 0 {
						answers = append([]func(c net.Conn, r *http.Request){begin}, answers...)
					}
					if others {
						answers = append(answers, goOn)
					}
					status, text, _, err := s.ask(t, resumable, answers...)
					got, whole := a.whole()
					// A close ends a stream, but not before or within an event.
					whole = whole && got != "" && strings.HasSuffix(got, "\n\n")
					about := fmt.Sprintf("%d events, %q, reset=%v, others=%v: %d %q %v", has, a.text[:a.sent], a.reset, others, status, text, err)
					switch {
					case whole:
						g.Expect(err).NotTo(gomega.HaveOccurred(), about)
						g.Expect(text).To(gomega.Equal(eventsAfter(0)[:len(event(1))*has]+got), about)
					case others:
						g.Expect(err).NotTo(gomega.HaveOccurred(), about)
						g.Expect(text).To(gomega.Equal(eventsAfter(0)), about)
					default:
						g.Expect(err != nil || status == http.StatusBadGateway).To(gomega.BeTrue(), about)
						g.Expect(status == http.StatusBadGateway || strings.HasPrefix(eventsAfter(0), text)).To(gomega.BeTrue(), about)
					}
				})
			}
		}
	}
}
