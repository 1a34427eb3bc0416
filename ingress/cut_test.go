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

	"github.com/hyssopladder/hyssopladder/common/cuttest"
	"github.com/hyssopladder/hyssopladder/config"
)

// eachCut runs a test for each cut of an answer.
func eachCut(t *testing.T, name, head, body string, test func(t *testing.T, c *cuttest.Cut)) {
	t.Helper()
	for framing, cuts := range cuttest.Of(head, body) {
		t.Run(name+" "+framing, func(t *testing.T) {
			t.Parallel()
			for _, c := range cuts {
				// The entry ends with its test.
				t.Run(fmt.Sprintf("%d reset=%v", c.Sent, c.Reset), func(t *testing.T) { test(t, c) })
			}
		})
	}
}

// answer is what an upstream does with a request.
type answer func(c net.Conn, r *http.Request)

// cutOff is the answer that is cut.
func cutOff(cut *cuttest.Cut) answer { return func(c net.Conn, _ *http.Request) { cut.Write(c) } }

// inChunks answers by a whole body.
func inChunks(body string) answer {
	return func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, chunkedHead+chunk(body)+lastChunk) }
}

// conversations has new entries and upstreams for each request. All use a few listeners,
// as the kernel is slow to find free ports for thousands.
type conversations struct {
	entry     string
	upstreams []netip.AddrPort
	mu        sync.Mutex
	entries   map[string]http.Handler
	answers   map[string][]answer
}

// headerCase names the conversation in requests.
const headerCase = "X-Case"

func newConversations(t *testing.T) *conversations {
	t.Helper()
	s := &conversations{entries: map[string]http.Handler{}, answers: map[string][]answer{}}
	const maxUpstreams = 3
	for range maxUpstreams {
		s.upstreams = append(s.upstreams, startUpstream(t, func(c net.Conn, r *http.Request) {
			if next := s.nextAnswer(r.Header.Get(headerCase)); next != nil {
				next(c, r)
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
func (s *conversations) nextAnswer(name string) answer {
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
func (s *conversations) ask(t *testing.T, route config.Route, answers ...answer) (status int, body string, left int, err error) {
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
	t.Parallel()
	s := newConversations(t)
	for status, head := range map[int]string{
		http.StatusOK:                  "HTTP/1.1 103 Hints\r\n\r\n" + answerHead,
		http.StatusInternalServerError: "HTTP/1.1 500 Broken\r\nX-Request-Id: " + requestID + "\r\n",
	} {
		eachCut(t, strconv.Itoa(status), head, "answer", func(t *testing.T, cut *cuttest.Cut) {
			g := gomega.NewWithT(t)
			got, text, _, err := s.ask(t, config.Route{Kind: config.NonIdempotent}, cutOff(cut))
			g.Expect(err).NotTo(gomega.HaveOccurred(), cut.String())
			want, whole := cut.Whole()
			if !whole {
				g.Expect(got).To(gomega.Equal(http.StatusBadGateway), "%s: %q", cut, text)
				return
			}
			g.Expect(got).To(gomega.Equal(status))
			g.Expect(text).To(gomega.Equal(want))
		})
	}
}

// TestCutAnswersAreReplaced guards against a cut answer that is passed on, or ends the
// request, where another upstream may run it.
func TestCutAnswersAreReplaced(t *testing.T) {
	t.Parallel()
	s := newConversations(t)
	eachCut(t, "200", answerHead, "answer", func(t *testing.T, cut *cuttest.Cut) {
		g := gomega.NewWithT(t)
		got, text, left, err := s.ask(t, config.Route{Kind: config.Idempotent}, cutOff(cut), inChunks("second"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(http.StatusOK))
		want, whole := cut.Whole()
		if !whole {
			want = "second"
		}
		g.Expect(text).To(gomega.Equal(want), cut.String())
		g.Expect(left == 1).To(gomega.Equal(whole))
	})
}

// TestCutRefusalsMayHaveRun guards against a refusal of which a part of the head is missing,
// and after which the request goes to a second upstream, or counts as not run.
func TestCutRefusalsMayHaveRun(t *testing.T) {
	t.Parallel()
	s := newConversations(t)
	eachCut(t, "503", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: "+requestID+"\r\n", "full", func(t *testing.T, cut *cuttest.Cut) {
		g := gomega.NewWithT(t)
		got, _, left, err := s.ask(t, config.Route{Kind: config.NonIdempotent}, cutOff(cut), inChunks("second"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if cut.Sent < strings.Index(cut.Text, "\r\n\r\n")+len("\r\n\r\n") {
			g.Expect(got).To(gomega.Equal(http.StatusBadGateway), cut.String())
			g.Expect(left).To(gomega.Equal(1), "the request may have run twice")
			return
		}
		// The head says all, whatever becomes of the body.
		g.Expect(got).To(gomega.Equal(http.StatusOK))
		g.Expect(left).To(gomega.BeZero())
	})
}

// eventsAfter is a stream of two events from the one after the last that the caller has.
func eventsAfter(last int) string {
	const events = 2
	text := ""
	for n := last + 1; n <= events; n++ {
		text += event(n)
	}
	return text
}

// TestCutStreamsAreNeverWhole guards against a stream that ends within its head or an event
// and looks complete: the answer of the first upstream, and that of a second one that goes
// on with the stream. Another upstream, if there is one, has to complete it.
func TestCutStreamsAreNeverWhole(t *testing.T) {
	t.Parallel()
	s := newConversations(t)
	stream := eventsAfter(0)
	begin := func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, chunkedHead+chunk(event(1))) }
	goOn := func(c net.Conn, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		inChunks(eventsAfter(last))(c, r)
	}
	// has is the number of events that the caller has before the answer.
	for has := range 2 {
		for _, others := range []bool{false, true} {
			eachCut(t, fmt.Sprintf("after %d events, others=%v", has, others), answerHead, eventsAfter(has), func(t *testing.T, cut *cuttest.Cut) {
				g := gomega.NewWithT(t)
				answers := []answer{cutOff(cut)}
				if has > 0 {
					answers = []answer{begin, cutOff(cut)}
				}
				if others {
					answers = append(answers, goOn)
				}
				status, text, _, err := s.ask(t, resumable, answers...)
				got, whole := cut.Whole()
				// A close ends a stream, but not before or within an event.
				whole = whole && strings.HasSuffix(got, "\n\n")
				about := fmt.Sprintf("%s: %d %q %v", cut, status, text, err)
				switch {
				case whole:
					g.Expect(err).NotTo(gomega.HaveOccurred(), about)
					g.Expect(text).To(gomega.Equal(stream[:len(event(1))*has]+got), about)
				case others:
					g.Expect(err).NotTo(gomega.HaveOccurred(), about)
					g.Expect(text).To(gomega.Equal(stream), about)
				case status != http.StatusBadGateway:
					g.Expect(err).To(gomega.HaveOccurred(), about)
					g.Expect(strings.HasPrefix(stream, text)).To(gomega.BeTrue(), about)
				}
			})
		}
	}
}
