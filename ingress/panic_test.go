package ingress

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/result"
)

// TestPanicsAreAnswered guards against a fault in the handler that closes the caller's
// connection without an answer, a log line with the request's ID or a count.
func TestPanicsAreAnswered(t *testing.T) {
	const stream = answerHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		kind  config.Kind
		fault func(in *Ingress, r *request)
		// ran is what the answer says; "" if the head of another one was sent.
		ran result.Ran
	}{
		"before-sending": {config.NonIdempotent, func(_ *Ingress, r *request) { r.route = nil }, result.RanNo},
		"in-the-dispatcher": {config.NonIdempotent, func(in *Ingress, _ *request) {
			in.dispatcher.run(func(clock.Instant, *fleet.Fleet) []fleet.Action { in.dispatcher.waiters = nil; return nil })
		}, result.RanNo},
		"after-sending":      {config.NonIdempotent, func(in *Ingress, _ *request) { in.paths = nil }, result.RanUnknown},
		"after-the-answer":   {config.NonIdempotent, func(in *Ingress, _ *request) { in.meters.firstByte = nil }, result.RanUnknown},
		"within-the-stream":  {config.Streaming, func(in *Ingress, _ *request) { in.meters.firstByte = nil }, ""},
		"aborted-on-purpose": {config.Streaming, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			upstream := startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, stream+chunk(event(1))+lastChunk) })
			in, _ := newIngress(t, config.Route{}, time.Second, upstream)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, httpRequest *http.Request) {
				r := &request{
					Request: call.Request{ID: name}, arrived: in.options.Clock(), deadline: in.options.Clock() + 5*time.Second,
					method: http.MethodGet, target: "/", host: "h", header: http.Header{"X-Request-Id": {requestID}}, service: "s",
					route: &config.Route{Kind: tc.kind, Timeout: 5 * time.Second, Target: time.Second, Attempts: 1},
				}
				defer in.answerPanic(w, httpRequest, r)
				if tc.fault == nil {
					panic(http.ErrAbortHandler)
				}
				r.ID = requestID
				tc.fault(in, r)
				in.forward(w, httpRequest, r)
			}))
			t.Cleanup(server.Close)
			status, body, err := get(server.URL)
			panics := in.meters.panics.Count()
			ended := metrics.GetOrRegisterCounter("ingress.ended.panicked", in.meters.registry).Count()
			if tc.fault == nil {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(panics).To(gomega.BeZero())
				return
			}
			g.Expect(panics).To(gomega.BeEquivalentTo(1))
			g.Expect(logLines(requestID)).To(gomega.ContainSubstring("handler panicked"))
			if tc.ran == "" {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(ended).To(gomega.BeEquivalentTo(1))
				return
			}
			g.Expect(ended).To(gomega.BeZero())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusInternalServerError))
			var e result.Error
			g.Expect(json.Unmarshal([]byte(body), &e)).To(gomega.Succeed())
			g.Expect(e.Code).To(gomega.Equal(result.Internal))
			g.Expect(e.Ran).To(gomega.Equal(tc.ran))
			// The dispatcher's lock is free again.
			in.dispatcher.run(func(clock.Instant, *fleet.Fleet) []fleet.Action { return nil })
		})
	}
}
