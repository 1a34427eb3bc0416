package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/config"
)

// TestEarlyAnswersThatAreResetAreNotWhole guards against a part of an answer without a length that a caller
// takes for all of it: the upstream answers while the upload is still being written, and resets the connection. The caller
// uploads in chunks, and reads only after the reset; a long part has been sent on in part by then.
func TestEarlyAnswersThatAreResetAreNotWhole(t *testing.T) {
	// The long part doesn't fit the buffers of the connections: the entry waits for its caller when the
	// reset comes.
	const uploadBytes, short, long = 16 << 20, 1, 1_000_000
	for kind, route := range map[string]config.Route{"plain": {Kind: config.NonIdempotent}, "repeatable": {Kind: config.Idempotent}, "stream": {Kind: config.Streaming}} {
		for _, events := range []int{short, long} {
			t.Run(fmt.Sprint(kind, " of ", events, " events"), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				var part strings.Builder
				for n := 1; n <= events; n++ {
					part.WriteString(event(n))
				}
				lengths := make(chan int64, 3)
				upstream := startUpstream(t, func(c net.Conn, r *http.Request) {
					_ = c.SetWriteDeadline(time.Now().Add(time.Second))
					_, _ = io.WriteString(c, answerHead+"Content-Type: text/event-stream\r\n\r\n"+part.String())
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					lengths <- r.ContentLength
				})
				in, _ := newIngress(t, route, 3*time.Second, upstream)
				route := route
				route.Timeout, route.Target, route.Attempts = 3*time.Second, time.Second, 3
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err != nil {
						t.Error(err)
					}
					now := in.options.Clock()
					own := &request{
						Request: call.Request{ID: requestID}, arrived: now, deadline: now + route.Timeout,
						method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, route: &route, service: "s",
						body: body, hasBody: true, bodyRead: true,
					}
					in.forward(w, r, own)
				}))
				t.Cleanup(server.Close)
				request, err := http.NewRequest(http.MethodPost, server.URL, io.LimitReader(zeros{}, uploadBytes))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				request.Header.Set("X-Request-Id", requestID)
				response, err := callers.Do(request)
				if err != nil {
					return
				}
				defer func() { _ = response.Body.Close() }()
				g.Expect(<-lengths).To(gomega.BeEquivalentTo(uploadBytes))
				text, err := io.ReadAll(response.Body)
				if response.StatusCode == http.StatusOK {
					g.Expect(err).To(gomega.HaveOccurred(), "%d bytes look complete", len(text))
				}
			})
		}
	}
}

// zeros is the body of a request.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
