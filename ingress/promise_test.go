package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// TestSuccessesAreNoRefusals guards against a caller that is told that its request hasn't run
// though its upstream answers with a signed success, which also states that.
func TestSuccessesAreNoRefusals(t *testing.T) {
	for kind, route := range map[string]config.Route{"plain": {Kind: config.NonIdempotent}, "stream": {Kind: config.Streaming}} {
		for _, signed := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, " signed=", signed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				head, want := "X-Replica-Seal: s\r\n", http.StatusOK
				if !signed {
					head, want = "", http.StatusBadGateway
				}
				upstream := startUpstream(t, func(c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Not-Run: 1\r\nX-Request-Id: "+requestID+"\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(event(1))+lastChunk)
				})
				status, body, err := get(startEntry(t, route, 2*time.Second, upstream))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(status).To(gomega.Equal(want), body)
			})
		}
	}
}

// TestUnsignedAnswersAreNotPassedOn guards against a caller that takes the status of something else
// than an upstream for the entry's own: that its key is unknown, or its path.
func TestUnsignedAnswersAreNotPassedOn(t *testing.T) {
	for kind, route := range map[string]config.Route{"plain": {Kind: config.NonIdempotent}, "stream": {Kind: config.Streaming}} {
		for _, status := range []int{200, 204, 302, 304, 400, 401, 403, 404, 413, 422, 499} {
			for _, signed := range []bool{false, true} {
				t.Run(fmt.Sprint(kind, status, signed), func(t *testing.T) {
					g := gomega.NewWithT(t)
					seal, want := "", http.StatusBadGateway
					if signed {
						seal, want = "X-Replica-Seal: s\r\n", status
					}
					upstream := startUpstream(t, func(c net.Conn, _ *http.Request) {
						_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, requestID, seal))
					})
					got, body, err := get(startEntry(t, route, 2*time.Second, upstream))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(got).To(gomega.Equal(want), body)
				})
			}
		}
	}
}

// TestAnswersPromiseOnlyWhatUpstreamsState guards against a caller that is told by its status
// that a request hasn't run, as its upstream chose that status after it had run the request.
func TestAnswersPromiseOnlyWhatUpstreamsState(t *testing.T) {
	for kind, route := range map[string]config.Route{
		"non-idempotent": {Kind: config.NonIdempotent}, "idempotent": {Kind: config.Idempotent}, "stream": {Kind: config.Streaming}, "resumable": resumable,
	} {
		for _, status := range []int{408, 429, 503} {
			for _, headers := range []string{"X-Replica-Seal: s\r\n", "", "X-Replica-Seal: s\r\nRetry-After: 1\r\n", "X-Replica-Seal: s\r\nContent-Type: text/event-stream\r\n"} {
				for framing, body := range map[string]string{"length": "Content-Length: 4\r\n\r\nfull", "chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunk("full") + lastChunk, "until closed": "\r\nfull", "cut off": "Content-Length: 9\r\n\r\nfull"} {
					t.Run(fmt.Sprintf("%s %d %q %s", kind, status, headers, framing), func(t *testing.T) {
						t.Parallel()
						g := gomega.NewWithT(t)
						var runs atomic.Int64
						upstream := startUpstream(t, func(c net.Conn, _ *http.Request) {
							runs.Add(1)
							_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\n%s%s", status, requestID, headers, body))
						})
						in, url := startIngress(t, route, 2*time.Second, upstream)
						response, err := callers.Get(url)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						defer func() { _ = response.Body.Close() }()
						text, err := io.ReadAll(response.Body)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway), string(text))
						g.Expect(response.Header).NotTo(gomega.HaveKey("X-Replica-Seal"), "the signature is of another status")
						g.Expect(string(text)).To(gomega.ContainSubstring(`"ran":"unknown"`))
						g.Expect(runs.Load()).To(gomega.BeEquivalentTo(1))
						g.Expect(in.meters.unstated.Count()).To(gomega.BeEquivalentTo(1))
						// Whether another upstream may run it depends on nothing but the route.
						sound := startUpstream(t, func(c net.Conn, _ *http.Request) {
							runs.Add(1)
							_, _ = io.WriteString(c, chunkedHead+chunk(event(1))+lastChunk)
						})
						wanted := map[bool]int{true: http.StatusOK, false: http.StatusBadGateway}[route.Repeatable()]
						got, _, err := get(startEntry(t, route, 2*time.Second, upstream, sound))
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(got).To(gomega.Equal(wanted))
						if !route.Repeatable() {
							g.Expect(runs.Load()).To(gomega.BeEquivalentTo(2))
						}
					})
				}
			}
		}
	}
}

// noStatuses are three digits that net/http's parser takes for a status, and HTTP doesn't have.
var noStatuses = []string{"000", "001", "099", "600", "999"}

// TestStatusesThatHTTPLacksAreNoAnswers guards against a caller that gets such a status, or waits until
// its deadline for the answer that would follow if it were an interim one.
func TestStatusesThatHTTPLacksAreNoAnswers(t *testing.T) {
	for kind, route := range map[string]config.Route{"plain": {Kind: config.NonIdempotent}, "repeatable": {Kind: config.Idempotent}, "stream": {Kind: config.Streaming}} {
		for _, status := range noStatuses {
			for _, text := range []string{"", "HTTP/1.1 200 OK\r\nX-Replica-Seal: s\r\nX-Request-Id: " + requestID + "\r\nContent-Length: 0\r\n\r\n"} {
				t.Run(fmt.Sprint(kind, " ", status, " with ", len(text)), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					upstream := startUpstream(t, func(c net.Conn, _ *http.Request) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nX-Request-Id: %s\r\nX-Replica-Seal: s\r\nContent-Length: %d\r\n\r\n%s", status, requestID, len(text), text)
						_, _ = io.Copy(io.Discard, c)
					})
					got, body, err := get(startEntry(t, route, 3*time.Second, upstream))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(got).To(gomega.Equal(http.StatusBadGateway), body)
				})
			}
		}
	}
}

// TestWatchedHeadEndsWithAStatusThatHTTPLacks guards against a helper of a tunnel that takes the body of such
// a response for the head of the next one.
func TestWatchedHeadEndsWithAStatusThatHTTPLacks(t *testing.T) {
	const notice = "HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\n\r\n"
	told := func(before string) (told bool) {
		w := headWatcher{notify: func(fleet.Notice) { told = true }}
		w.write([]byte(before + notice))
		return told
	}
	g := gomega.NewWithT(t)
	g.Expect(told("HTTP/1.1 103 Early Hints\r\n\r\n")).To(gomega.BeTrue())
	for _, status := range noStatuses {
		g.Expect(told("HTTP/1.1 "+status+" Status\r\n\r\n")).To(gomega.BeFalse(), status)
	}
}
