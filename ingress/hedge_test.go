package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

// hookedWriter calls hook at the first use of the header.
type hookedWriter struct {
	*httptest.ResponseRecorder
	once sync.Once
	hook func()
}

func (w *hookedWriter) Header() http.Header {
	w.once.Do(w.hook)
	return w.ResponseRecorder.Header()
}

// silentForwarding is a resumable stream at its first upstream, which has been silent for
// longer than stallTimeout. The second upstream, which answers with the text, is of
// the release v2, the first one of v1.
func silentForwarding(t *testing.T, w http.ResponseWriter, second string) (d *forwarding, other fleet.Grant) {
	t.Helper()
	var now atomic.Int64
	now.Store(int64(time.Hour))
	read := func() clock.Instant { return clock.Instant(now.Load()) }
	upstreamClient := exchange.New(func() {})
	m := newMeters(metrics.NewRegistry())
	in := &Ingress{
		paths:          newPathDialer(t.Context(), read, exchange.DialDirect, &m, noPathHooks),
		options:        Options{Clock: read, Settings: settings.Ingress{UsageWindow: time.Second}},
		dispatcher:     newDispatcher(t.Context(), read, fleet.New(fleet.Options{Zone: "a", RetryRatio: 1, RetrySlack: 100, Entries: 1}), upstreamClient.Refuses),
		upstreamClient: upstreamClient,
		link:           link.New(t.Context(), link.Options{Clock: read, PeerClient: peer.NewClient(), BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} }}),
		meters:         newMeters(metrics.NewRegistry()),
		usage:          usage.NewMeter(),
		origins:        origin.New(),
		unreadable:     rate.NewLimiter(rate.Inf, 1),
	}
	addresses := []netip.AddrPort{
		startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }),
		startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, second) }),
	}
	var members []upstream.Member
	for i, release := range []string{"v1", "v2"} {
		members = append(members, upstream.Member{Announcement: upstream.Announcement{
			ID: release, Incarnation: 1, Sequence: 1, Address: addresses[i], Zone: []string{"a", "b"}[i], Release: release, Slots: 8, Services: []string{"s"}, Lease: time.Minute,
		}})
	}
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Merge(now, members) })
	route := resumable
	route.Attempts = 3
	d = &forwarding{in: in, w: w, stop: in.stop.Open(time.Hour+time.Minute, time.Second, func() {}), r: &request{
		Request: call.Request{ID: requestID}, arrived: read(), deadline: read() + time.Minute, method: http.MethodGet, target: "/", host: "h", header: http.Header{}, route: &route, service: "s",
	}}
	d.ticket, d.actions = in.dispatcher.submit(d.r.ticket())
	grant, ok := (<-d.actions).(fleet.Grant)
	if !ok || grant.Upstream.ID != "v1" {
		t.Fatalf("granted %v", grant.Upstream)
	}
	d.release = grant.Upstream.Release
	now.Add(int64(2 * stallTimeout))
	return d, fleet.Grant{Upstream: members[1].Announcement}
}

// TestEventsAreClaimedBeforeTheyAreSent guards against a stream that is joined of two runs: an
// event of the silent upstream was sent when its hedge had begun after the event before,
// and the hedge's events followed without that one.
func TestEventsAreClaimedBeforeTheyAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	w := httptest.NewRecorder()
	d := &forwarding{w: w, hedges: []*hedge{{won: true}}}
	rest, wrote, err := d.writeEvents([]byte(event(1)))
	g.Expect(err).To(gomega.MatchError(errReplaced))
	g.Expect(wrote).To(gomega.BeFalse())
	g.Expect(string(rest)).To(gomega.Equal(event(1)))
	g.Expect(w.Body.String()).To(gomega.BeEmpty())
	_, hasLast := d.events.position()
	g.Expect(hasLast).To(gomega.BeFalse())
}

// TestHeadIsClaimedInOneStep guards against a hedge that wins with another kind of response
// while the head of the silent upstream's stream goes out: its body followed that head.
func TestHeadIsClaimedInOneStep(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &hookedWriter{ResponseRecorder: httptest.NewRecorder()}
	const plain = answerHead + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"
	d, other := silentForwarding(t, w, plain)
	other.Upstream.Release = d.release
	h := &hedge{ticket: other.Ticket, grant: other, startedAt: d.in.options.Clock(), settled: make(chan struct{}), accepted: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(t.Context())
	response, _, o := d.open(h.ctx, h.ticket, other)
	g.Expect(o.cause).NotTo(gomega.HaveOccurred())
	h.response, d.hedges, d.giveUp = response, []*hedge{h}, func() {}
	w.hook = func() { d.settleHedge(h, outcome{}) }
	stream := &exchange.Response{Response: &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader(event(1))), ContentLength: int64(len(event(1))),
	}}
	g.Expect(d.relayStream(stream).done).To(gomega.BeTrue())
	g.Expect(h.won).To(gomega.BeFalse())
	g.Expect(w.Body.String()).To(gomega.Equal(event(1)))
}

// TestStreamsAreBoundWithTheirHead guards against a stream whose head is of one release and whose
// events are of another one: a hedge began between the head and the binding.
func TestStreamsAreBoundWithTheirHead(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := silentForwarding(t, httptest.NewRecorder(), chunkedHead+chunk(event(1)))
	g.Expect(d.claimHead(&exchange.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}})).To(gomega.BeTrue())
	g.Expect(d.startHedge(t.Context(), t.Context(), d.ticket)).To(gomega.BeNil(), "the second upstream is of another release")
}

// TestHedgesNeedAConfirmedConfiguration guards against a request that is sent to a second
// upstream after its key may have been revoked.
func TestHedgesNeedAConfirmedConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := silentForwarding(t, httptest.NewRecorder(), chunkedHead)
	d.r.org = &config.Organisation{Name: "o"}
	g.Expect(d.in.configFresh()).To(gomega.BeFalse())
	g.Expect(d.startHedge(t.Context(), t.Context(), d.ticket)).To(gomega.BeNil())
	d.r.org = nil
	h := d.startHedge(t.Context(), t.Context(), d.ticket)
	g.Expect(h).NotTo(gomega.BeNil(), "a request without a key")
	h.cancel()
}

// TestDroppedHedgesLeaveTheirUpstream guards against a stream that is cut off as its upstream
// breaks off just after a whole event: the upstream of the hedge that ended with the event
// still counted as trying, and no other one was left.
func TestDroppedHedgesLeaveTheirUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	d, other := silentForwarding(t, httptest.NewRecorder(), chunkedHead)
	g.Expect(d.startHedge(t.Context(), t.Context(), d.ticket)).NotTo(gomega.BeNil())
	forward, err := d.acceptEvent([]byte(event(1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(forward).To(gomega.BeTrue())
	d.in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action { return f.Failed(now, d.ticket, retry.Broken) })
	grant, ok := (<-d.actions).(fleet.Grant)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(grant.Upstream.ID).To(gomega.Equal(other.Upstream.ID))
}

// TestAdoptedHedgesAreGivenUp guards against a request that waits for a silent hedge until its
// deadline, as the next hedge began to answer just when the first attempt had broken off.
func TestAdoptedHedgesAreGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	d, _ := silentForwarding(t, httptest.NewRecorder(), chunkedHead)
	d.giveUp = func() {}
	for range 2 {
		h := &hedge{settled: make(chan struct{}), accepted: make(chan struct{})}
		h.ctx, h.cancel = context.WithCancel(t.Context())
		d.hedges = append(d.hedges, h)
	}
	next := d.hedges[1]
	adopted := d.adoptHedge(retry.Broken)
	g.Expect(adopted).NotTo(gomega.BeIdenticalTo(next))
	d.endOverlap(next)
	g.Expect(d.replaced()).To(gomega.BeTrue())
	g.Expect(adopted.ctx.Err()).To(gomega.MatchError(context.Canceled))
}

// TestFailedHedgesMayHaveRun guards against a refusal that says "not run" though an upstream that
// was asked beside a silent one may have run the request.
func TestFailedHedgesMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		second string
		want   bool
	}{
		"breaks off": {"", true},
		"refuses":    {strings.Replace(answerHead, "200 OK", "503 Full", 1) + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, other := silentForwarding(t, httptest.NewRecorder(), c.second)
			h := &hedge{ticket: other.Ticket, grant: other, startedAt: d.in.options.Clock(), settled: make(chan struct{}), accepted: make(chan struct{})}
			h.ctx, h.cancel = context.WithCancel(t.Context())
			d.hedges = []*hedge{h}
			_, _, o := d.open(h.ctx, h.ticket, other)
			g.Expect(o.cause).To(gomega.HaveOccurred())
			d.settleHedge(h, o)
			g.Expect(d.mayHaveRun.Load()).To(gomega.Equal(c.want))
		})
	}
}
