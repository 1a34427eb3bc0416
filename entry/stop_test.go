package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/entry"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// stopLimit is the time that a stop may take in these tests; calls may take longer.
const stopLimit = 4 * time.Second

// stopDocument is that of a service whose calls may take longer than a stop.
func stopDocument(kind service.Kind, name string) []byte {
	models := ""
	if kind == service.Model {
		models = "models = m\n"
	}
	return fmt.Appendf(nil, `[service]
name = %s
kind = %s
%szones = a
classes = small
replicasLow = 1
replicasHigh = 2
[rank normal]
order = 1
firstToken = 60s
floor = 0.5
[call once]
%srank = normal
repeatable = false
`, name, kind, models, map[service.Kind]string{service.Plain: "method = POST\npath = /\n"}[kind])
}

// stopCase is an entry that is about to stop, with an upstream for each service.
type stopCase struct {
	t     *testing.T
	g     *gomega.WithT
	entry *entry.Entry
	// reached are the paths of the requests that reached an upstream, which answers a
	// path, or ends its stream, once finish was called for it.
	mu      sync.Mutex
	reached []string
	ends    map[string]chan struct{}
	// drained is closed when Drain has returned, and endProcess ends the node.
	drained    chan struct{}
	endProcess func()
}

func (s *stopCase) end(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ends[path]; !ok {
		s.ends[path] = make(chan struct{})
	}
	return s.ends[path]
}

func (s *stopCase) finish(path string) { close(s.end(path)) }

func (s *stopCase) reachedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reached)
}

// ServeHTTP is what the upstreams do.
func (s *stopCase) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.reached = append(s.reached, r.URL.Path)
	s.mu.Unlock()
	token := func(n int) {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d\"}}]}\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	stream := r.URL.Path == chatPath
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		token(0)
	}
	select {
	case <-s.end(r.URL.Path):
	case <-s.t.Context().Done():
		return
	}
	if stream {
		token(1)
		_, _ = io.WriteString(w, "id: 2\ndata: [DONE]\n\n")
		return
	}
	_, _ = io.WriteString(w, "ok")
}

const chatPath = "/v1/chat/completions"

// startStopCase starts a node that is the only keeper too, and two upstreams: one for
// plain calls, which runs one at a time, and one for chat.
func startStopCase(t *testing.T) *stopCase {
	t.Helper()
	s := &stopCase{t: t, g: gomega.NewWithT(t), ends: map[string]chan struct{}{}, drained: make(chan struct{})}
	o := settings.Default()
	o.Node.Name, o.Node.Zone, o.Node.Roles, o.Node.DataFolder = "alone", "a", []string{settings.RoleEntry, settings.RoleKeeper}, t.TempDir()
	o.Keeper.Bootstrap, o.Keeper.InitialVoters = true, 1
	o.Entry.ProgressTimeout = time.Minute
	h, err := kernel.New(context.Background(), o)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.endProcess = sync.OnceFunc(h.Close)
	t.Cleanup(s.endProcess)
	s.entry, _ = kernel.Find[*entry.Entry](h)
	server, _ := kernel.Find[*peer.Server](h)
	for name, kind := range map[string]service.Kind{"plain": service.Plain, "talk": service.Model} {
		write := operator.DocumentWrite{Name: name, INI: stopDocument(kind, name), ChangeID: name, IfMatch: "*"}
		s.g.Eventually(func() error {
			_, err := operator.NewClient(server.Address).Apply(t.Context(), write)
			return err
		}, 5*stopLimit, 20*time.Millisecond).Should(gomega.Succeed())
		u := httptest.NewServer(s)
		t.Cleanup(u.Close)
		a := upstream.Announcement{
			ID: name, Incarnation: 1, Sequence: 1, Address: u.Listener.Addr().(*net.TCPAddr).AddrPort(), Zone: "a", Class: "small",
			Kind: kind, Lease: 20 * time.Second, Slots: 1,
		}
		if kind == service.Model {
			a.Models = []string{"m"}
		} else {
			a.Services = []string{name}
		}
		body, err := json.Marshal(a)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.Post("http://"+server.Address.String()+"/upstream/announce", "application/json", bytes.NewReader(body))
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusNoContent))
	}
	s.g.Eventually(func() int {
		usable := 0
		for _, service := range s.entry.Services(t.Context()) {
			for _, u := range service.Upstreams {
				if u.Usable {
					usable++
				}
			}
		}
		return usable
	}, 5*stopLimit, 20*time.Millisecond).Should(gomega.Equal(2))
	s.g.Eventually(func() bool { return s.entry.Ready(t.Context()) }, 5*stopLimit, 20*time.Millisecond).Should(gomega.BeTrue())
	return s
}

// beginStop begins to stop the entry. All its connections end when Drain returns, as they
// do with the process.
func (s *stopCase) beginStop() {
	ctx, cancel := context.WithTimeout(s.t.Context(), stopLimit)
	go func() {
		defer cancel()
		defer close(s.drained)
		_ = s.entry.Drain(ctx)
		s.endProcess()
	}()
	s.g.Eventually(func() bool { return s.entry.Ready(s.t.Context()) }, stopLimit).Should(gomega.BeFalse())
}

// waitClosed waits until the entry takes no more connections.
func (s *stopCase) waitClosed() {
	s.g.Eventually(func() error {
		c, err := net.Dial("tcp", s.entry.Address.String())
		if err == nil {
			_ = c.Close()
		}
		return err
	}, stopLimit, 20*time.Millisecond).ShouldNot(gomega.Succeed())
}

// stopCaller is a caller's connection.
type stopCaller struct {
	net.Conn
	s      *stopCase
	reader *bufio.Reader
}

// send sends a text on a new connection.
func (s *stopCase) send(text string) *stopCaller {
	c, err := net.Dial("tcp", s.entry.Address.String())
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	s.g.Expect(c.SetDeadline(time.Now().Add(2 * stopLimit))).To(gomega.Succeed())
	_, err = io.WriteString(c, text)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return &stopCaller{Conn: c, s: s, reader: bufio.NewReader(c)}
}

// postText is the text of a request.
func postText(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Call: once\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func plainText(path string) string { return postText("/services/plain"+path, "ab") }

var chatText = postText(chatPath, `{"model":"m","stream":true,"messages":[{"role":"user","content":"c"}]}`)

func (s *stopCase) waitReached(path string) {
	s.g.Eventually(s.reachedPaths, stopLimit).Should(gomega.ContainElement(path))
}

func (c *stopCaller) receive() (status int, body string) {
	response, err := http.ReadResponse(c.reader, nil)
	c.s.g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection ended without an answer")
	data, err := io.ReadAll(response.Body)
	c.s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(data)
}

// expect reads a response with an error.
func (c *stopCaller) expect(code result.Code, ran result.Ran) {
	status, body := c.receive()
	var e result.Error
	c.s.g.Expect(json.Unmarshal([]byte(body), &e)).To(gomega.Succeed(), body)
	c.s.g.Expect([]any{status, e.Code, e.Ran}).To(gomega.Equal([]any{code.Info().Status, code, ran}), body)
	c.s.g.Expect(e.RetrySeconds > 0).To(gomega.Equal(ran == result.RanNo), "a time to come back")
}

// TestRequestThatIsWholeLateInAStopIsRefused guards against a call that is passed on late
// in a stop and lost with the process, or gets no answer, as it was slow in coming.
func TestRequestThatIsWholeLateInAStopIsRefused(t *testing.T) {
	text := plainText("/late")
	for name, first := range map[string]int{"head": len(text) / 2, "body": len(text) - 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			caller := s.send(text[:first])
			// The entry has read what was sent before.
			s.finish("/other")
			status, _ := s.send(plainText("/other")).receive()
			s.g.Expect(status).To(gomega.Equal(http.StatusOK))
			s.beginStop()
			s.waitClosed()
			_, _ = io.WriteString(caller, text[first:])
			caller.expect(result.Draining, result.RanNo)
			s.g.Expect(s.reachedPaths()).To(gomega.ConsistOf("/other"))
		})
	}
}

// TestEveryCallGetsAnAnswerBeforeTheEnd guards against calls that are cut off with the
// process: one that was sent on gets an answer that doesn't claim it hasn't run, one that
// waits for an upstream a refusal, and a stream goes on.
func TestEveryCallGetsAnAnswerBeforeTheEnd(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	stream := s.send(chatText)
	response, err := http.ReadResponse(stream.reader, nil)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	sent := s.send(plainText("/sent"))
	s.waitReached("/sent")
	waiting := s.send(plainText("/waiting"))
	s.g.Eventually(s.open, stopLimit).Should(gomega.Equal(3))
	s.beginStop()
	waiting.expect(result.Draining, result.RanNo)
	sent.expect(result.UpstreamUnknown, result.RanUnknown)
	s.g.Expect(s.drained).NotTo(gomega.BeClosed())
	s.g.Expect(s.reachedPaths()).To(gomega.ConsistOf(chatPath, "/sent"))
	s.finish(chatPath)
	events, err := io.ReadAll(response.Body)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Expect(strings.Count(string(events), "data: ")).To(gomega.Equal(3), string(events))
	s.g.Eventually(s.drained, stopLimit).Should(gomega.BeClosed())
}

// open is the number of open requests.
func (s *stopCase) open() int { return s.entry.Dump().(map[string]any)["open"].(int) }

// TestWholeChatGetsAnAnswerBeforeTheEnd guards against a chat call, answered as a whole,
// that is cut off with the process before the caller has anything.
func TestWholeChatGetsAnAnswerBeforeTheEnd(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	// The answer is sent as a whole, and never ends.
	caller := s.send(postText(chatPath, `{"model":"m","messages":[{"role":"user","content":"c"}]}`))
	s.waitReached(chatPath)
	s.beginStop()
	caller.expect(result.UpstreamUnknown, result.RanUnknown)
	s.g.Expect(s.drained).NotTo(gomega.BeClosed())
}

// TestPipelinedCallIsServedToItsEnd guards against a stop that closes the connection of a
// call which was read together with the one before it.
func TestPipelinedCallIsServedToItsEnd(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	s.finish("/1")
	caller := s.send(plainText("/1") + plainText("/2"))
	_, _ = caller.receive()
	s.waitReached("/2")
	s.beginStop()
	s.waitClosed()
	s.finish("/2")
	status, body := caller.receive()
	s.g.Expect([]any{status, body}).To(gomega.Equal([]any{http.StatusOK, "ok"}))
}
