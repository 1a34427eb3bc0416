package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// TestOriginOfALongStreamIsKept has a stream that goes on for longer than origins are
// kept: its caller may still take it up.
func TestOriginOfALongStreamIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	var nanos atomic.Int64
	nanos.Store(int64(time.Hour))
	read := func() clock.Instant { return clock.Instant(nanos.Load()) }
	in := &Ingress{
		options: Options{Clock: read}, origins: origin.New(),
		link: link.New(t.Context(), link.Options{Clock: read, PeerClient: peer.NewClient(), BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} }}),
	}
	d := &forwarding{in: in, r: &request{Request: call.Request{ID: "r1"}}, origin: &origin.Origin{Service: "s", Release: "v1"}}
	d.tellOrigin()
	began := read()
	for read()-began < 5*origin.Retention {
		nanos.Add(int64(time.Second))
		d.keepOrigin()
		o, ok := in.origins.Find(read(), origin.StreamOf("", "r1"))
		g.Expect(ok).To(gomega.BeTrue(), "after %v", read()-began)
		g.Expect(o).To(gomega.Equal(*d.origin))
	}
	nanos.Add(int64(3 * origin.Retention))
	_, ok := in.origins.Find(read(), origin.StreamOf("", "r1"))
	g.Expect(ok).To(gomega.BeFalse())
}

// TestStreamIsNotJoinedFromAnOldDirectory guards against streams that go on at the only
// release that an entry has heard of, while another one has begun them: the entry was cut
// off from the keepers when that release announced itself.
func TestStreamIsNotJoinedFromAnOldDirectory(t *testing.T) {
	v1, v2 := origin.Origin{Service: "s", Release: "v1"}, origin.Origin{Service: "s", Release: "v2"}
	lost := func() (origin.Reply, error) { return origin.Reply{}, errors.New("cut off") }
	answer := func(r origin.Reply) func() (origin.Reply, error) {
		return func() (origin.Reply, error) { return r, nil }
	}
	only := answer(origin.Reply{Serving: []origin.Origin{v1}, Complete: true})
	for name, c := range map[string]struct {
		first, second func() (origin.Reply, error)
		want          origin.Origin
		source        originSource
	}{
		"no keeper answers":                    {lost, lost, origin.Origin{}, originUnknown},
		"one of two keepers answers":           {only, lost, origin.Origin{}, originUnknown},
		"a keeper has started lately":          {only, answer(origin.Reply{Serving: []origin.Origin{v1}}), origin.Origin{}, originUnknown},
		"a keeper has heard of a new release":  {only, answer(origin.Reply{Serving: []origin.Origin{v1, v2}, Complete: true}), origin.Origin{}, originUnknown},
		"all keepers know of one release only": {only, only, v1, originOnly},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var nanos atomic.Int64
			nanos.Store(int64(time.Hour))
			read := func() clock.Instant { return clock.Instant(nanos.Load()) }
			first, second := newStandInKeeper(t, c.first), newStandInKeeper(t, c.second)
			in := newFollowingIngress(t, read, first, second)
			for in.link.DirectoryFollowed() < origin.Retention {
				nanos.Add(int64(time.Second))
				first.syncs <- syncReplyOf(first, second)
				second.syncs <- syncReplyOf(first, second)
			}
			r := resumingRequest()
			o, source := in.originOf(t.Context(), r)
			g.Expect(source).To(gomega.Equal(c.source))
			g.Expect(o).To(gomega.Equal(c.want))
			if c.source == originUnknown {
				e := result.From(in.findOrigin(t.Context(), r))
				g.Expect(e.Code).To(gomega.Equal(result.OriginUnknown))
				g.Expect(e.RetryAfter).To(gomega.Equal(unknownOriginRetryAfter))
			}
		})
	}
}

// newFollowingIngress returns an entry that knows the keepers and an upstream of the
// service s, of release v1, and follows the keepers' directories.
func newFollowingIngress(t *testing.T, read clock.Clock, keepers ...*standInKeeper) *Ingress {
	t.Helper()
	upstreamClient := exchange.New(func() {})
	in := &Ingress{
		options: Options{Clock: read}, origins: origin.New(), upstreamClient: upstreamClient,
		dispatcher: newDispatcher(t.Context(), read, fleet.New(fleet.Options{Zone: "a", Entries: 1}), upstreamClient.Refuses),
	}
	var seeds []netip.AddrPort
	for _, k := range keepers {
		seeds = append(seeds, k.address)
	}
	in.link = link.New(t.Context(), link.Options{
		Name: "e", Zone: "a", Clock: read, PeerClient: peer.NewClient(), Seeds: seeds,
		OnMembers: in.mergeMembers, OnConfig: in.applyConfig, BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} },
	})
	in.mergeMembers([]upstream.Member{{Announcement: upstream.Announcement{
		ID: "u", Incarnation: 1, Sequence: 1, Address: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Slots: 1, Services: []string{"s"}, Release: "v1", Lease: time.Hour,
	}}})
	return in
}

// resumingRequest takes up the stream r1, which the service s may have begun.
func resumingRequest() *request {
	route := resumable
	route.Backends = []config.Backend{{Service: "s", Weight: 1}}
	return &request{Request: call.Request{ID: "r2", Resumes: true, ResumedID: "r1", LastEvent: 1}, route: &route, service: "s"}
}

// syncReplyOf lists the keepers.
func syncReplyOf(keepers ...*standInKeeper) control.SyncReply {
	reply := control.SyncReply{Source: 1}
	for _, k := range keepers {
		reply.Peers = append(reply.Peers, control.Peer{Address: k.address, Zone: "a"})
	}
	return reply
}

// standInKeeper answers each sync with the next reply, and knows no stream.
type standInKeeper struct {
	address netip.AddrPort
	syncs   chan control.SyncReply
	// asked gets a value for each sync, as long as there is room.
	asked chan struct{}
}

func newStandInKeeper(t *testing.T, findOrigins func() (origin.Reply, error)) *standInKeeper {
	t.Helper()
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	k := &standInKeeper{address: server.Address, syncs: make(chan control.SyncReply), asked: make(chan struct{}, 4)}
	server.On(peer.Sync, func(ctx context.Context, _ []byte) (any, error) {
		select {
		case k.asked <- struct{}{}:
		default:
		}
		select {
		case reply := <-k.syncs:
			return &reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	server.On(peer.Origins, func(context.Context, []byte) (any, error) {
		reply, err := findOrigins()
		return &reply, err
	})
	return k
}

// TestStreamIsNotJoinedAfterAStandStill guards against streams that go on at the release
// that an entry knew before it stood still, while another one joined meanwhile and has
// begun them: the entry wakes with its old directory and its old list of keepers.
func TestStreamIsNotJoinedAfterAStandStill(t *testing.T) {
	v1, v2 := origin.Origin{Service: "s", Release: "v1"}, origin.Origin{Service: "s", Release: "v2"}
	only := origin.Reply{Serving: []origin.Origin{v1}, Complete: true}
	both := origin.Reply{Serving: []origin.Origin{v1, v2}, Complete: true}
	known := origin.Reply{Found: []origin.Group{{Origin: v2, Streams: []origin.Stream{origin.StreamOf("", "r1")}}}}
	for name, c := range map[string]struct {
		// before is how long the entry stands still before the request comes, and asked
		// how long while its question is with the keepers. An instance whose clock doesn't
		// count the time sees neither.
		before, asked time.Duration
		first, second origin.Reply
		want          origin.Origin
		source        originSource
	}{
		"a keeper knows the stream":                              {5 * time.Second, 0, only, known, v2, originKeeper},
		"a keeper knows the release":                             {5 * time.Second, 0, only, both, origin.Origin{}, originUnknown},
		"for long, and a keeper knows the release":               {time.Hour, 0, only, both, origin.Origin{}, originUnknown},
		"the clock doesn't count it, a keeper knows the release": {0, 0, only, both, origin.Origin{}, originUnknown},
		"for long, and no keeper has heard of the release yet":   {11 * time.Second, 0, only, only, origin.Origin{}, originUnknown},
		"for long, while the question is under way":              {0, 11 * time.Second, only, only, origin.Origin{}, originUnknown},
		// The stream began before the question, so that the keepers' answers needn't be new.
		"briefly, while the question is under way": {0, 5 * time.Second, only, only, v1, originOnly},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var nanos, askedFor atomic.Int64
			nanos.Store(int64(time.Hour))
			read := func() clock.Instant { return clock.Instant(nanos.Load()) }
			first := newStandInKeeper(t, func() (origin.Reply, error) {
				nanos.Add(askedFor.Load())
				return c.first, nil
			})
			second := newStandInKeeper(t, func() (origin.Reply, error) { return c.second, nil })
			in := newFollowingIngress(t, read, first, second)
			for in.link.DirectoryFollowed() < origin.Retention {
				nanos.Add(int64(time.Second))
				first.syncs <- syncReplyOf(first, second)
				second.syncs <- syncReplyOf(first, second)
			}
			nanos.Add(int64(c.before))
			askedFor.Store(int64(c.asked))
			o, source := in.originOf(t.Context(), resumingRequest())
			g.Expect(source).To(gomega.Equal(c.source))
			g.Expect(o).To(gomega.Equal(c.want))
			if c.source == originUnknown {
				e := result.From(in.findOrigin(t.Context(), resumingRequest()))
				g.Expect(e.Code).To(gomega.Equal(result.OriginUnknown))
				g.Expect(e.RetryAfter).To(gomega.Equal(unknownOriginRetryAfter))
			}
		})
	}
}

// TestNoStreamGoesOnByADirectoryFromBeforeAStandStill guards against streams that are joined
// from two releases: while the entry stood still, an upstream started again under its ID
// with another release, and the entry sends a stream there in the moment before it hears
// of that.
func TestNoStreamGoesOnByADirectoryFromBeforeAStandStill(t *testing.T) {
	const document = `{"version":1,"routes":[{"name":"ask","host":"mill.example","pathPrefix":"/","kind":"streaming","timeoutMs":5000,"sloMs":500,` +
		`"service":"s","attempts":2,"public":true,"resumable":true}],"services":[{"name":"s"}]}`
	packed, err := pack.Deflate([]byte(document))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for name, c := range map[string]struct {
		standStill time.Duration
		// own says that the entry began the stream, resumes that the caller takes it up.
		own, resumes bool
		want         string
	}{
		"a stream that the entry began":    {5 * time.Second, true, true, "v1 on "},
		"a stream that another one began":  {5 * time.Second, false, true, "v1 on "},
		"a new stream":                     {5 * time.Second, false, false, "v2 on u"},
		"a new stream after a longer time": {time.Hour, false, false, "v2 on u"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var nanos atomic.Int64
			nanos.Store(int64(time.Hour))
			read := func() clock.Instant { return clock.Instant(nanos.Load()) }
			v1, stream := origin.Origin{Service: "s", Release: "v1"}, origin.StreamOf("", "r1")
			keeper := newStandInKeeper(t, func() (origin.Reply, error) {
				return origin.Reply{Found: []origin.Group{{Origin: v1, Streams: []origin.Stream{stream}}}}, nil
			})
			in := newFollowingIngress(t, read, keeper)
			first := syncReplyOf(keeper)
			first.Config = &config.Put{Number: 1, Packed: packed}
			keeper.syncs <- first
			keeper.syncs <- syncReplyOf(keeper)
			// The entry's two loops have asked twice, so that the keeper holds a question of
			// each while the entry stands still.
			for range 4 {
				<-keeper.asked
			}
			if c.own {
				in.origins.Record(read(), stream, v1)
			}
			nanos.Add(int64(c.standStill))
			go func() {
				keeper.syncs <- syncReplyOf(keeper)
				after := syncReplyOf(keeper)
				after.Members = []upstream.Member{{Announcement: upstream.Announcement{
					ID: "u", Incarnation: 2, Sequence: 1, Address: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Slots: 1, Kind: service.Plain, Services: []string{"s"}, Release: "v2", Lease: time.Minute,
				}}}
				for range 2 {
					select {
					case keeper.syncs <- after:
					case <-t.Context().Done():
					}
				}
			}()
			httpRequest := httptest.NewRequest(http.MethodPost, "/ask", nil)
			httpRequest.Host = "mill.example"
			httpRequest.Header.Set("X-Request-Id", "r2")
			if c.resumes {
				httpRequest.Header.Set("Last-Event-Id", "1")
				httpRequest.Header.Set("Resumes", "r1")
			}
			r := in.newRequest(httpRequest)
			g.Expect(in.accept(httptest.NewRecorder(), httpRequest, r)).To(gomega.Succeed())
			_, actions := in.dispatcher.submit(r.ticket())
			release, id := r.binding.Release, ""
			if grant, ok := (<-actions).(fleet.Grant); ok {
				release, id = grant.Upstream.Release, grant.Upstream.ID
			}
			g.Expect(release + " on " + id).To(gomega.Equal(c.want))
		})
	}
}

// TestStreamIsNotJoinedAcrossServices guards against streams that go on at another service
// than the one that began them: the route led there until lately, at this entry or at
// others that have a newer configuration, and no keeper knows the stream.
func TestStreamIsNotJoinedAcrossServices(t *testing.T) {
	document := func(number int, service string) *config.Put {
		packed, err := pack.Deflate(fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"ask","host":"mill.example","pathPrefix":"/","kind":"streaming","timeoutMs":5000,"sloMs":500,`+
			`"service":%q,"attempts":2,"public":true,"resumable":true}],"services":[{"name":"s"},{"name":"other"}]}`, number, service))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		return &config.Put{Number: uint64(number), Packed: packed}
	}
	for name, c := range map[string]struct {
		// configs are the entry's configurations, one after the other, and since is how long
		// it has had the last. newest is the one that the keeper has.
		configs []*config.Put
		since   time.Duration
		newest  uint64
		want    result.Code
	}{
		"the route led to another service a moment ago": {[]*config.Put{document(1, "other"), document(2, "s")}, 2 * time.Second, 2, result.OriginUnknown},
		"it led there before that, too":                 {[]*config.Put{document(1, "s"), document(2, "other"), document(3, "s")}, 2 * time.Second, 3, result.OriginUnknown},
		"a keeper has a newer configuration":            {[]*config.Put{document(1, "s")}, 2 * time.Second, 2, result.OriginUnknown},
		"it led there long ago":                         {[]*config.Put{document(1, "other"), document(2, "s")}, origin.Retention + 2*time.Second, 2, 0},
		"it always led to this service":                 {[]*config.Put{document(1, "s"), document(2, "s")}, 2 * time.Second, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var nanos atomic.Int64
			nanos.Store(int64(time.Hour))
			read := func() clock.Instant { return clock.Instant(nanos.Load()) }
			keeper := newStandInKeeper(t, func() (origin.Reply, error) {
				return origin.Reply{Serving: []origin.Origin{{Service: "s", Release: "v1"}}, Complete: true, Config: c.newest}, nil
			})
			in := newFollowingIngress(t, read, keeper)
			follow := func(d time.Duration) {
				for range d / time.Second {
					nanos.Add(int64(time.Second))
					keeper.syncs <- syncReplyOf(keeper)
					keeper.syncs <- syncReplyOf(keeper)
				}
			}
			follow(2 * origin.Retention)
			for _, put := range c.configs {
				reply := syncReplyOf(keeper)
				reply.Config = put
				keeper.syncs <- reply
				g.Eventually(func() uint64 {
					if table := in.link.Table(); table != nil {
						return table.Revision.Number
					}
					return 0
				}).Should(gomega.Equal(put.Number))
			}
			follow(c.since)
			httpRequest := httptest.NewRequest(http.MethodPost, "/ask", nil)
			httpRequest.Host = "mill.example"
			httpRequest.Header.Set("X-Request-Id", "r2")
			httpRequest.Header.Set("Last-Event-Id", "1")
			httpRequest.Header.Set("Resumes", "r1")
			r := in.newRequest(httpRequest)
			err := in.accept(httptest.NewRecorder(), httpRequest, r)
			if c.want != 0 {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(result.From(err).Code).To(gomega.Equal(c.want))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.binding).To(gomega.Equal(upstream.BoundTo("v1")))
		})
	}
}
