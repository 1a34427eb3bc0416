package ingress

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/exchange"
)

// TestReadyAnswersAreDeliveredLate guards against an answer that is whole, and that isn't
// written as the entry stood still until after the request's deadline.
func TestReadyAnswersAreDeliveredLate(t *testing.T) {
	g := gomega.NewWithT(t)
	body := strings.Repeat("x", maxBufferedBytes)
	upstream := startUpstream(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answerHead+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	})
	in, _ := newIngress(t, config.Route{}, time.Second)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := in.upstreamClient.Do(r.Context(), upstream, &exchange.Request{Method: r.Method, Target: "/", Host: "h", Matches: func(*http.Response, bool) bool { return true }})
		if err != nil {
			t.Error(err)
			return
		}
		defer response.Close()
		deadline := in.options.Clock() - time.Minute
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		d := &forwarding{in: in, r: &request{deadline: deadline, route: &config.Route{}}, w: w, stop: in.stop.Open(deadline, 0, func() {})}
		if err := d.copyResponse(response); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	status, answer, err := get(server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(answer == body).To(gomega.BeTrue(), "%d bytes", len(answer))
}
