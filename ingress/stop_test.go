package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// stopLimit is the time that a stop may take in these tests, and longTimeout a
// route's timeout that is longer.
const (
	stopLimit   = 5 * time.Second
	longTimeout = 4 * stopLimit
)

// stopConfig has a route for plain requests, one for streams, both of which may take
// longer than a stop, one for requests that end in time, two for
// streams that end badly, and one whose upstream runs one request at a time.
var stopConfig = fmt.Sprintf(`{"version":1,"routes":[
	{"name":"once","host":"h","pathPrefix":"/once/","kind":"non_idempotent","attempts":1,"timeoutMs":%[1]d,"sloMs":1000,"service":"s"},
	{"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","attempts":1,"timeoutMs":%[1]d,"sloMs":1000,"service":"s"},
	{"name":"short","host":"h","pathPrefix":"/short/","kind":"non_idempotent","attempts":1,"timeoutMs":1000,"sloMs":1000,"service":"s"},
	{"name":"broken","host":"h","pathPrefix":"/broken/","kind":"streaming","attempts":1,"timeoutMs":%[2]d,"sloMs":%[2]d,"service":"s"},
	{"name":"endless","host":"h","pathPrefix":"/endless/","kind":"streaming","attempts":1,"timeoutMs":%[2]d,"sloMs":%[2]d,"service":"s"},
	{"name":"full","host":"h","pathPrefix":"/full/","kind":"non_idempotent","attempts":1,"timeoutMs":%[1]d,"sloMs":%[1]d,"service":"full"}],
	"services":[{"name":"s"},{"name":"full"}],"tenants":[{"name":"o","apiKeys":["k"]}]}`, longTimeout.Milliseconds(), shortTimeout.Milliseconds())

// stopCase is an entry that is about to stop, with its upstreams.
type stopCase struct {
	t  *testing.T
	g  *gomega.WithT
	in *Ingress
	// reached are the paths of the requests that reached an upstream. It answers a
	// path, or ends its stream, once finish was called for it.
	mu      sync.Mutex
	reached []string
	ends    map[string]chan struct{}
	// config is the configuration in force.
	config *config.Put
	// usage is the number of requests in the newest report that held the usage only.
	usage uint64
	// drained is closed when Drain has returned.
	drained chan struct{}
	// endProcess closes all connections.
	endProcess func()
}

// setConfig brings a configuration into force.
func (s *stopCase) setConfig(number uint64, text string) {
	packed, err := pack.Deflate([]byte(text))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = &config.Put{Number: number, Packed: packed}
}

func (s *stopCase) end(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ends[path]; !ok {
		s.ends[path] = make(chan struct{})
	}
	return s.ends[path]
}

// finish lets its upstream answer the path, or end its stream.
func (s *stopCase) finish(path string) { close(s.end(path)) }

func (s *stopCase) reachedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.reached...)
}

// answer is what the upstreams do: they answer once finish was called.
func (s *stopCase) answer(c net.Conn, r *http.Request) {
	s.mu.Lock()
	s.reached = append(s.reached, r.URL.Path)
	s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Replica-Seal: s\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
	if endsBadly(c, r, head) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(event(1)))
		<-s.end(r.URL.Path)
		_, _ = io.WriteString(c, chunk(event(2))+lastChunk)
		return
	}
	<-s.end(r.URL.Path)
	_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nok")
}

// startStopCase starts an entry with its listeners, a keeper and two upstreams.
func startStopCase(t *testing.T) *stopCase {
	t.Helper()
	s := &stopCase{t: t, g: gomega.NewWithT(t), ends: map[string]chan struct{}{}, drained: make(chan struct{})}
	s.setConfig(1, stopConfig)
	start := func(id, name string, slots int) upstream.Member {
		return upstream.Member{Announcement: upstream.Announcement{
			ID: id, Kind: service.Plain, Incarnation: 1, Sequence: 1, Address: startUpstream(t, s.answer), Zone: "a", Slots: slots, Services: []string{name}, Lease: time.Minute,
		}}
	}
	members := []upstream.Member{start("u0", "s", 8), start("u1", "full", 1)}
	keeper, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	keeper.On(peer.Sync, func(ctx context.Context, body []byte) (any, error) {
		var request control.SyncRequest
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		reply := &control.SyncReply{
			Source: 1, Generation: 1, Quorum: control.QuorumConfirmed, Leader: keeper.Address, Term: 1, Wall: time.Now(),
			Peers: []control.Peer{{Address: keeper.Address, Zone: "a"}},
		}
		if request.Source == 1 {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
		} else {
			reply.Members = members
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		reply.ConfirmedConfig = s.config.Number
		if request.Config < s.config.Number {
			reply.Config = s.config
		}
		return reply, nil
	})
	keeper.On(peer.Origins, func(context.Context, []byte) (any, error) { return &origin.Reply{Complete: true}, nil })
	keeper.On(peer.Account, func(_ context.Context, body []byte) (any, error) {
		var request control.AccountRequest
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		if request.UsageOnly {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.usage = 0
			for _, w := range request.Usage {
				s.usage += w.Counts["o"]
			}
		}
		return &control.AccountReply{Leading: !request.UsageOnly, Leader: keeper.Address, Term: 1, Entries: 1}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	s.endProcess = cancel
	server, err := peer.New(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.in, err = New(ctx, Options{
		Name: "e", Zone: "a", Incarnation: 1, Clock: clock.System(), Metrics: metrics.NewRegistry(), PeerClient: server.Client,
		Peers: settings.Peer{Seeds: []netip.AddrPort{keeper.Address}}, Server: server, DialUpstream: exchange.DialDirect,
		Settings: settings.Ingress{
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Ready: netip.MustParseAddrPort("127.0.0.1:0"), RevokeWithin: time.Hour,
			RetryRatio: 1, RetrySlack: 100, AssumedEntries: 1, UsageWindow: time.Hour, DrainWithin: time.Second,
		},
	})
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Eventually(s.in.ready, stopLimit).Should(gomega.BeTrue())
	return s
}

// reportedUsage is the number of requests that the leader heard of in a report of its own
// for the usage.
func (s *stopCase) reportedUsage() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// stopCaller is a caller's connection.
type stopCaller struct {
	net.Conn
	s      *stopCase
	reader *bufio.Reader
}

func (s *stopCase) dial() *stopCaller { return s.dialBy(&net.Dialer{}) }

func (s *stopCase) dialBy(dialer *net.Dialer) *stopCaller {
	c, err := dialer.Dial("tcp", s.in.listener.Addr().String())
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	s.g.Expect(c.SetDeadline(time.Now().Add(2 * stopLimit))).To(gomega.Succeed())
	return &stopCaller{Conn: c, s: s, reader: bufio.NewReader(c)}
}

// request is the text of a request with a body of two bytes.
func stopRequest(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nX-Request-Id: " + strings.ReplaceAll(path, "/", "-") + "\r\nContent-Length: 2\r\n\r\nab"
}

func (c *stopCaller) send(text string) {
	_, err := io.WriteString(c, text)
	c.s.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// sendAndReach sends a request and waits until it has reached the upstream.
func (c *stopCaller) sendAndReach(path string) {
	c.send(stopRequest(path))
	c.s.g.Eventually(c.s.reachedPaths, stopLimit).Should(gomega.ContainElement(path))
}

// receive reads a response; its body is read too if whole is set.
func (c *stopCaller) receive(whole bool) (*http.Response, string) {
	response, err := http.ReadResponse(c.reader, nil)
	c.s.g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection ended without an answer")
	if !whole {
		return response, ""
	}
	body, err := io.ReadAll(response.Body)
	c.s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return response, string(body)
}

// beginStop begins to stop the entry. All connections end when Drain returns, as they do
// with the process.
func (s *stopCase) beginStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), stopLimit)
	go func() {
		defer cancel()
		defer close(s.drained)
		_ = s.in.Drain(ctx)
		s.endProcess()
	}()
	s.g.Eventually(s.in.ready, stopLimit).Should(gomega.BeFalse())
}

// waitClosed waits until the entry takes no more connections.
func (s *stopCase) waitClosed() {
	s.g.Eventually(func() error {
		c, err := net.Dial("tcp", s.in.listener.Addr().String())
		if err == nil {
			_ = c.Close()
		}
		return err
	}, stopLimit, 20*time.Millisecond).ShouldNot(gomega.Succeed())
}

// TestPipelinedRequestIsServedToItsEnd guards against a stop that closes the connection of
// a request which was read together with the one before it: no byte is read from the
// connection any more when it is served.
func TestPipelinedRequestIsServedToItsEnd(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	caller := s.dial()
	s.finish("/once/1")
	caller.send(stopRequest("/once/1") + stopRequest("/once/2"))
	_, _ = caller.receive(true)
	s.g.Eventually(s.reachedPaths, stopLimit).Should(gomega.ContainElement("/once/2"))
	s.beginStop(t)
	s.waitClosed()
	s.finish("/once/2")
	response, body := caller.receive(true)
	s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	s.g.Expect(body).To(gomega.Equal("ok"))
}
