package link

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/upstream"
)

var (
	v1 = origin.Origin{Service: "s", Release: "v1"}
	v2 = origin.Origin{Service: "s", Release: "v2"}
)

// serveOrigins starts a keeper that answers requests for origins.
func serveOrigins(t *testing.T, answer func(origin.Request) (origin.Reply, error)) netip.AddrPort {
	t.Helper()
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	server.On(peer.Origins, func(_ context.Context, body []byte) (any, error) {
		var request origin.Request
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		reply, err := answer(request)
		return &reply, err
	})
	return server.Address
}

// linkOf returns a link that knows the keepers, without its loops.
func linkOf(keepers ...netip.AddrPort) *Link {
	l := &Link{options: Options{Clock: func() clock.Instant { return 0 }, PeerClient: peer.NewClient()}, roster: newRoster("a", nil)}
	for _, address := range keepers {
		l.roster.add(control.Peer{Address: address, Zone: "a"})
	}
	return l
}

// find asks for the origins of streams of the service s.
func (l *Link) find(ctx context.Context, streams ...origin.Stream) []Found {
	var batch []findRequest
	for _, s := range streams {
		batch = append(batch, findRequest{s, v1.Service, make(chan Found, 1)})
	}
	l.findOrigins(ctx, batch)
	var found []Found
	for _, r := range batch {
		found = append(found, <-r.done)
	}
	return found
}

// TestKeepersThatOthersNameAreAsked guards against streams that are joined from two
// releases: the keeper that heard of the second release isn't on the entry's list, as it
// joined while the entry was cut off or stood still, or was cut off itself for so long that
// the entry forgot it.
func TestKeepersThatOthersNameAreAsked(t *testing.T) {
	const stream = origin.Stream(7)
	answer := func(r origin.Reply) func(origin.Request) (origin.Reply, error) {
		return func(origin.Request) (origin.Reply, error) { return r, nil }
	}
	lost := func(origin.Request) (origin.Reply, error) { return origin.Reply{}, errors.New("cut off") }
	for name, c := range map[string]struct {
		unlisted func(origin.Request) (origin.Reply, error)
		want     Found
	}{
		"it knows the stream":          {answer(origin.Reply{Found: []origin.Group{{Origin: v2, Streams: []origin.Stream{stream}}}}), Found{Origin: v2, Known: true}},
		"it knows of another release":  {answer(origin.Reply{Serving: []origin.Origin{v1, v2}, Complete: true}), Found{Serving: []origin.Origin{v1, v2}, Complete: true}},
		"it doesn't answer":            {lost, Found{Serving: []origin.Origin{v1}}},
		"it has started lately":        {answer(origin.Reply{Serving: []origin.Origin{v1}}), Found{Serving: []origin.Origin{v1}}},
		"it knows of one release only": {answer(origin.Reply{Serving: []origin.Origin{v1}, Complete: true}), Found{Serving: []origin.Origin{v1}, Complete: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			unlisted := serveOrigins(t, c.unlisted)
			// The entry lists the first two; the second names a third, which names the last.
			third := serveOrigins(t, answer(origin.Reply{Serving: []origin.Origin{v1}, Complete: true, Keepers: []netip.AddrPort{unlisted}}))
			second := serveOrigins(t, answer(origin.Reply{Serving: []origin.Origin{v1}, Complete: true, Keepers: []netip.AddrPort{third}}))
			first := serveOrigins(t, answer(origin.Reply{Serving: []origin.Origin{v1}, Complete: true, Keepers: []netip.AddrPort{second}}))
			found := linkOf(first, second).find(t.Context(), stream)[0]
			found.Serving = slices.Compact(slices.SortedFunc(slices.Values(found.Serving), func(a, b origin.Origin) int { return strings.Compare(a.Release, b.Release) }))
			g.Expect(found).To(gomega.Equal(c.want))
		})
	}
}

// TestStreamsBeyondOneMessageAreAskedFor guards against streams that are joined from two
// releases: more of them than fit into one message are taken up at once, as after the entry
// stood still, and the keepers' answer was read for those that weren't asked for, too.
func TestStreamsBeyondOneMessageAreAskedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	keeper := serveOrigins(t, func(r origin.Request) (origin.Reply, error) {
		return origin.Reply{Found: []origin.Group{{Origin: v2, Streams: r.Find}}, Serving: []origin.Origin{v1}, Complete: true}, nil
	})
	var streams []origin.Stream
	for s := range origin.Stream(2*origin.MaxStreams + 1) {
		streams = append(streams, s)
	}
	unknown := 0
	for _, f := range linkOf(keeper).find(t.Context(), streams...) {
		if !f.Known || f.Origin != v2 {
			unknown++
		}
	}
	g.Expect(unknown).To(gomega.BeZero())
}

// TestDirectoryIsAsOldAsItsQuestion guards against a directory that counts as followed
// though it is older than maxDirectoryGap: the entry stood still while a keeper's answer
// waited for it, and was then cut off.
func TestDirectoryIsAsOldAsItsQuestion(t *testing.T) {
	g := gomega.NewWithT(t)
	var nanos atomic.Int64
	nanos.Store(int64(time.Hour))
	read := func() clock.Instant { return clock.Instant(nanos.Load()) }
	var standsStillFor time.Duration
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server.On(peer.Sync, func(context.Context, []byte) (any, error) {
		nanos.Add(int64(standsStillFor))
		return &control.SyncReply{Source: 1, Generation: 1}, nil
	})
	l := &Link{
		options: Options{Name: "e", Clock: read, PeerClient: peer.NewClient(), OnMembers: func([]upstream.Member) {}},
		roster:  newRoster("a", nil), keeperWalls: map[netip.AddrPort]*clock.Wall{}, tried: make(chan struct{}),
	}
	follow := func() {
		g.Expect(l.syncOnce(t.Context(), &directoryCursor{address: server.Address})).To(gomega.Succeed())
	}
	for began := read(); read()-began < origin.Retention; nanos.Add(int64(time.Second)) {
		follow()
	}
	g.Expect(l.DirectoryFollowed()).To(gomega.Equal(origin.Retention))

	standsStillFor = maxDirectoryGap - time.Second
	follow()
	g.Expect(l.DirectoryFollowed()).To(gomega.BeNumerically(">", origin.Retention))
	nanos.Add(int64(2 * time.Second))
	g.Expect(l.DirectoryFollowed()).To(gomega.BeZero(), "the directory is %v old", maxDirectoryGap+time.Second)

	standsStillFor = 0
	follow()
	g.Expect(l.DirectoryFollowed()).To(gomega.BeZero(), "it began to be followed just now")
	standsStillFor = time.Hour
	follow()
	g.Expect(l.DirectoryFollowed()).To(gomega.BeZero())
	standsStillFor = 0
	follow()
	nanos.Add(int64(time.Second))
	g.Expect(l.DirectoryFollowed()).To(gomega.Equal(time.Second), "since the first question after the stand-still")
}

// TestOnlyAStandStillMakesRequestsWait guards against requests that wait for the directory
// at an entry that runs, in touch or cut off from all keepers, and against the outcome of a
// call from before a stand-still that ends the wait for one after it.
func TestOnlyAStandStillMakesRequestsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Instant(time.Hour)
	l := &Link{options: Options{Clock: func() clock.Instant { return now }}, tried: make(chan struct{})}
	waits := func() bool {
		_, ok := l.stoodStill(now)
		return ok
	}
	g.Expect(waits()).To(gomega.BeFalse(), "nothing was ever heard")
	// The slowest calls fail after syncTimeout, and the longest delay follows.
	for range 20 {
		askedAt := now
		now += syncTimeout
		g.Expect(l.endTry(askedAt)).To(gomega.BeTrue())
		now += pace.Jitter(maxRetryDelay, 1)
		g.Expect(waits()).To(gomega.BeFalse())
	}
	askedAt := now
	now += syncTimeout / 2
	g.Expect(waits()).To(gomega.BeFalse())
	now += 2 * standStill
	g.Expect(waits()).To(gomega.BeTrue())
	tried, _ := l.stoodStill(now)
	g.Expect(l.endTry(askedAt)).To(gomega.BeFalse(), "the keeper was asked before")
	g.Expect(waits()).To(gomega.BeTrue())
	g.Expect(tried).NotTo(gomega.BeClosed())
	g.Expect(l.endTry(now)).To(gomega.BeTrue())
	g.Expect(waits()).To(gomega.BeFalse())
	g.Expect(tried).To(gomega.BeClosed())
}
