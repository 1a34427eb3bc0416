package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/cuttest"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// ownAnswer is the text of the answer to a request that runs.
const ownAnswer = "own answer"

// startRefusingOnce starts an upstream that refuses its first request and runs all others. Its
// answers name their requests if named is set. runs counts the requests that ran.
func startRefusingOnce(t *testing.T, refusal string, named bool, runs *atomic.Int64) netip.AddrPort {
	t.Helper()
	return cuttest.StartCopying(t, func(number int64, r *http.Request) string {
		name := ""
		if named {
			name = headerRequest + ": " + r.Header.Get(headerRequest) + "\r\n"
		}
		if number == 1 {
			return refusal + name + "Content-Length: 0\r\n\r\n"
		}
		runs.Add(1)
		body := ownAnswer
		if r.URL.Path == "/v1/chat/completions" {
			body = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + ownAnswer + "\"}}]}\n\nid: 1\ndata: [DONE]\n\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", name, len(body), body)
	})
}

// refusals are the heads of first answers: some state that their request has not run.
var refusals = []string{
	"HTTP/1.1 503 Full\r\n" + headerRan + ": no\r\n",
	"HTTP/1.1 429 Full\r\n" + headerRan + ": no\r\n",
	"HTTP/1.1 400 Bad\r\n" + headerRan + ": no\r\n",
	"HTTP/1.1 503 Full\r\n",
	"HTTP/1.1 200 OK\r\n",
}

// TestCopiesAreNoAnswers guards against the copy of an earlier answer of a connection that is read
// as the answer to a request that runs: to the same one again, or to another one.
func TestCopiesAreNoAnswers(t *testing.T) {
	for _, refusal := range refusals {
		for _, named := range []bool{true, false} {
			for _, second := range []string{"e-1", "e-2"} {
				t.Run(fmt.Sprintf("%q named=%v then %s", refusal, named, second), func(t *testing.T) {
					g := gomega.NewWithT(t)
					var runs atomic.Int64
					address, client := startRefusingOnce(t, refusal, named, &runs), newUpstreamClient()
					ask := func(id string) (text string) {
						r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/", onceReader{strings.NewReader("x")})
						g.Expect(err).NotTo(gomega.HaveOccurred())
						r.ContentLength = 1
						r.Header.Set(headerRequest, id)
						trip, err := client.do(t.Context(), r)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						defer func() { _ = trip.response.Body.Close() }()
						body, err := io.ReadAll(trip.response.Body)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						return string(body)
					}
					g.Expect(ask("e-1")).To(gomega.BeEmpty())
					g.Expect(ask(second)).To(gomega.Equal(ownAnswer))
				})
			}
		}
	}
}

// TestRefusedRequestsRunOnce guards against a request that is refused, runs at the same upstream,
// and runs there again, or is called not run, as the copy of its refusal was read as its answer.
func TestRefusedRequestsRunOnce(t *testing.T) {
	for kind, path := range map[service.Kind]string{service.Model: "/v1/chat/completions", service.Plain: "/services/s/book"} {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s repeatable=%v", kind, repeatable), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				var runs atomic.Int64
				address := startRefusingOnce(t, refusals[0], true, &runs)
				document := testDocument(repeatable)
				if kind == service.Plain {
					document.Kind, document.Models = kind, nil
					document.Calls[0].Method, document.Calls[0].Path = http.MethodPost, "/book"
				}
				e := newTestEntry(t, document, address)
				// Each announcement comes after the upstream's backoff.
				var ahead atomic.Int64
				system := e.dispatch.clock
				e.dispatch.clock = func() clock.Instant { return system() + time.Duration(ahead.Load()) }
				answered, w := make(chan error, 1), httptest.NewRecorder()
				body := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
				r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
				r.Header.Set(headerCall, "ask")
				r.SetPathValue("service", "s")
				r.SetPathValue("path", "book")
				go func() {
					serve := map[service.Kind]requestHandler{service.Model: e.chat, service.Plain: e.plain}[kind]
					answered <- serve(patience(t), w, r, callerRequest{caller: "c", body: []byte(body)})
				}()
				announced := upstream.Announcement{
					ID: "u0", Incarnation: 1, Sequence: 1, Zone: "a", Class: "small", Kind: kind, Models: document.Models, Services: []string{"s"},
					Address: address, Lease: upstream.MaxLease, Slots: 1,
				}
				g.Eventually(func() chan error {
					ahead.Add(int64(2 * time.Second))
					announced.Sequence++
					e.dispatch.ref.Send(recordsChanged(gossip.Change{Changed: []member.Record{announced.Record()}}))
					return answered
				}, 5*testSilence).Should(gomega.Receive(gomega.BeNil()))
				g.Expect(w.Body.String()).To(gomega.ContainSubstring(ownAnswer))
				g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
			})
		}
	}
}
