package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/readahead"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Times of the tests of silent upstreams: silence is longer than progress, and short enough
// for a sound upstream.
const (
	testProgressTimeout = 200 * time.Millisecond
	testSilence         = 3 * testProgressTimeout
)

// newTestEntry is an entry with one document and the given upstreams of one slot each.
func newTestEntry(t *testing.T, document service.Document, upstreams ...netip.AddrPort) *Entry {
	t.Helper()
	d := &dispatchActor{clock: clock.System(), dispatcher: dispatch.New(dispatch.Options{Zone: "a", Costs: dispatch.DefaultCosts()}), jobs: map[uint64]*job{}, wake: make(chan struct{}, 1)}
	accepted := service.Accepted{Revision: 1, Document: document}
	d.documents.Store(&map[string]service.Accepted{document.Name: accepted})
	d.dispatcher.SetDocument(d.clock(), accepted)
	for i, address := range upstreams {
		d.dispatcher.Announce(d.clock(), upstream.Announcement{
			ID: fmt.Sprint("u", i), Incarnation: 1, Sequence: 1, Zone: "a", Class: "small", Kind: document.Kind, Models: document.Models, Services: []string{document.Name},
			Address: address, Lease: time.Hour, Slots: 1,
		})
	}
	d.ref = actors.Spawn(t.Context(), actors.NewSystem(), "entry", d.receive)
	return &Entry{
		options:   Options{Settings: settings.Entry{ProgressTimeout: testProgressTimeout, WriteTimeout: time.Second}},
		dispatch:  d,
		upstreams: newUpstreamClient(), responses: readahead.New(maxResponsesBytes, responsesWait),
		meters: newMeters(metrics.NewRegistry()),
		inTime: newInTimeTracker(),
	}
}

func testDocument(repeatable bool) service.Document {
	return service.Document{
		Name: "s", Kind: service.Model, Models: []string{"m"}, Zones: []string{"a"}, Classes: []string{"small"}, ReplicasHigh: 2,
		Ranks: []service.Rank{{Name: "urgent", Order: 1, FirstToken: testProgressTimeout, Floor: 0.5}},
		Calls: []service.Call{{Name: "ask", Rank: "urgent", Repeatable: repeatable}},
	}
}

// patience is the context of a caller that waits for a few times testSilence.
func patience(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*testSilence)
	t.Cleanup(cancel)
	return ctx
}

func serveUpstream(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestStreamsOutliveShortSilences guards against a stream that is given up since its upstream
// is silent for a moment, while no other one has room or the call may not be repeated.
func TestStreamsOutliveShortSilences(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		otherBusy  bool
	}{
		"the only upstream":             {true, false},
		"the other upstream is full":    {true, true},
		"a call that runs once at most": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			served := make(chan struct{}, 8)
			silent := serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				served <- struct{}{}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
				w.(http.Flusher).Flush()
				<-time.After(testSilence)
				_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\nid: 2\ndata: [DONE]\n\n")
			})
			upstreams := []netip.AddrPort{silent}
			if c.otherBusy {
				upstreams = append(upstreams, serveUpstream(t, func(http.ResponseWriter, *http.Request) { t.Error("the full upstream got the call") }))
			}
			e := newTestEntry(t, testDocument(c.repeatable), upstreams...)
			if c.otherBusy {
				e.dispatch.dispatcher.Submit(e.dispatch.clock(), dispatch.Ticket{ID: 1 << 40, Service: "s", Caller: "c", Cost: 1, Query: route.Query{Exclude: []string{"u0"}}})
			}
			w := httptest.NewRecorder()
			body := `{"model":"m","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			r.Header.Set(headerCall, "ask")
			err := e.chat(patience(t), w, r, callerRequest{caller: "c", body: []byte(body)})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Body.String()).To(gomega.ContainSubstring("[DONE]"))
			g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("event: error"))
			g.Expect(served).To(gomega.HaveLen(1), "the call ran once")
		})
	}
}

// TestStreamsLeaveDeadUpstreams has an upstream that never goes on, and one with room.
func TestStreamsLeaveDeadUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	const first, rest = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", "id: 1\ndata: [DONE]\n\n"
	ended := make(chan struct{})
	// The dispatcher may choose either one first.
	var calls atomic.Int32
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if calls.Add(1) > 1 {
			_, _ = io.WriteString(w, first+rest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, first)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}
	e := newTestEntry(t, testDocument(true), serveUpstream(t, answer), serveUpstream(t, answer))
	w := httptest.NewRecorder()
	body := `{"model":"m","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set(headerCall, "ask")
	g.Expect(e.chat(patience(t), w, r, callerRequest{caller: "c", body: []byte(body)})).To(gomega.Succeed())
	g.Expect(w.Body.String()).To(gomega.ContainSubstring("[DONE]"))
	g.Expect(strings.Count(w.Body.String(), `"content":"a"`)).To(gomega.Equal(1))
	<-ended
	g.Expect(calls.Load()).To(gomega.Equal(int32(2)))
}

// TestPlainCallsOutliveShortSilences guards against a call that is given up, and for one that
// may not be repeated fails, since its upstream was silent for a moment.
func TestPlainCallsOutliveShortSilences(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			served := make(chan struct{}, 8)
			silent := serveUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				served <- struct{}{}
				<-time.After(testSilence)
				_, _ = io.WriteString(w, "done")
			})
			document := testDocument(repeatable)
			document.Kind, document.Models = service.Plain, nil
			document.Calls[0].Method, document.Calls[0].Path = http.MethodPost, "/book"
			e := newTestEntry(t, document, silent)
			r := httptest.NewRequest(http.MethodPost, "/services/s/book", http.NoBody)
			r.SetPathValue("service", "s")
			r.SetPathValue("path", "book")
			w := httptest.NewRecorder()
			err := e.plain(patience(t), w, r, callerRequest{caller: "c"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(w.Body.String()).To(gomega.Equal("done"))
			g.Expect(served).To(gomega.HaveLen(1), "the call ran once")
		})
	}
}

// TestStreamsStayAtLeavingUpstreams guards against a stream that is given up since its upstream
// says that it leaves, while no other one may go on with it: the rest might still fit.
func TestStreamsStayAtLeavingUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	var e *Entry
	address := serveUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		w.(http.Flusher).Flush()
		// At this pace a hundred tokens don't fit.
		<-time.After(testProgressTimeout / 4)
		leaving := upstream.Announcement{
			ID: "u0", Incarnation: 1, Sequence: 2, Zone: "a", Class: "small", Kind: service.Model, Models: []string{"m"}, Services: []string{"s"},
			Address: r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr).AddrPort(), Lease: upstream.MaxLease, Slots: 1, Leaving: true, Notice: testSilence,
		}
		e.dispatch.ref.Send(recordsChanged(gossip.Change{Changed: []member.Record{leaving.Record()}}))
		select {
		case <-time.After(testProgressTimeout / 2):
			_, _ = io.WriteString(w, "id: 1\ndata: [DONE]\n\n")
		case <-r.Context().Done():
		}
	})
	e = newTestEntry(t, testDocument(true), address)
	w := httptest.NewRecorder()
	body := `{"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"x"}]}`
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set(headerCall, "ask")
	g.Expect(e.chat(patience(t), w, r, callerRequest{caller: "c", body: []byte(body)})).To(gomega.Succeed())
	g.Expect(w.Body.String()).To(gomega.ContainSubstring("[DONE]"))
	g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("event: error"))
}
