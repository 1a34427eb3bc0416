package peer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/settings"
)

// idlePlugin does nothing.
type idlePlugin struct{}

func (idlePlugin) Drain(context.Context) error { return nil }

func (idlePlugin) Dump() any { return nil }

// startLate is called as the last part of each node's start.
var startLate func(*kernel.Host) error

func init() {
	kernel.Register(kernel.Registration{Name: "late", Order: 45, New: func(_ context.Context, host *kernel.Host) (kernel.Plugin, error) {
		return idlePlugin{}, startLate(host)
	}})
}

// answer is an HTTP answer's status and time to come back.
type answer struct {
	status     int
	retryAfter string
}

// post sends a request to the path and returns once it is on its way; the channel receives
// the answer.
func post(t *testing.T, address netip.AddrPort, path string) <-chan answer {
	answers, wrote := make(chan answer, 1), make(chan struct{})
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(wrote) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, "http://"+address.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		if err != nil {
			answers <- answer{}
			return
		}
		_ = response.Body.Close()
		answers <- answer{response.StatusCode, response.Header.Get("Retry-After")}
	}()
	select {
	case <-wrote:
	case <-t.Context().Done():
	}
	return answers
}

// TestRequestsDuringTheStartFindTheirHandlers guards against a node that answers 404, which
// callers take for final, as it serves before its later plug-ins have set their handlers.
func TestRequestsDuringTheStartFindTheirHandlers(t *testing.T) {
	g := gomega.NewWithT(t)
	var server *Server
	var early <-chan answer
	called := make(chan error, 1)
	startLate = func(host *kernel.Host) error {
		var err error
		if server, err = kernel.Require[*Server](host); err != nil {
			return err
		}
		// A start that takes long is no reason to keep callers waiting.
		g.Expect(<-post(t, server.Address, "/upstreams/a")).To(gomega.Equal(answer{http.StatusServiceUnavailable, "1"}))
		g.Expect(server.Client.Call(t.Context(), server.Address, Read, struct{}{}, nil)).To(gomega.MatchError(gomega.ContainSubstring("unavailable")))
		early = post(t, server.Address, "/upstreams/a")
		go func() { called <- server.Client.Call(t.Context(), server.Address, Sync, struct{}{}, nil) }()
		server.Handle("POST /upstreams/{id}", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		server.On(Sync, func(context.Context, []byte) (any, error) { return struct{}{}, nil })
		return nil
	}
	host, err := kernel.New(t.Context(), settings.Settings{Peer: settings.Peer{Listen: netip.MustParseAddrPort("127.0.0.1:0")}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer host.Close()
	g.Expect(<-early).To(gomega.Equal(answer{status: http.StatusOK}))
	g.Expect(<-called).To(gomega.Succeed())
	// After the start it is true that what has no handler isn't served.
	g.Expect(<-post(t, server.Address, "/others/a")).To(gomega.Equal(answer{status: http.StatusNotFound}))
	g.Expect(server.Client.Call(t.Context(), server.Address, Read, struct{}{}, nil)).To(gomega.MatchError(gomega.ContainSubstring("unimplemented")))
}

// TestStopAnswersRequestsThatWait guards against a change of the configuration that waits for a
// majority, at a keeper that stops, and that gets neither an answer nor a refusal.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, endProcess := context.WithCancel(t.Context())
	defer endProcess()
	s, err := New(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Started()
	waits := make(chan struct{})
	s.Handle("POST /waits", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(waits)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	answered := post(t, s.Address, "/waits")
	<-waits
	g.Expect(s.Drain(ctx)).To(gomega.Succeed())
	endProcess()
	g.Eventually(answered).Should(gomega.Receive(gomega.Equal(answer{status: http.StatusServiceUnavailable})))
}
