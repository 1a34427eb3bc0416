package control

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
)

// TestKeepersNameThoseThatTheyLost guards against streams that are joined from two
// releases: a keeper that is cut off from the others, and goes on with an entry and the
// upstreams of a new release, was no longer named to entries on the other side, which took
// the answers of all others for complete.
func TestKeepersNameThoseThatTheyLost(t *testing.T) {
	g := gomega.NewWithT(t)
	var nanos atomic.Int64
	nanos.Store(int64(time.Hour))
	read := func() clock.Instant { return clock.Instant(nanos.Load()) }
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const lease = 3 * time.Second
	host := gossip.New(t.Context(), gossip.Options{
		Node:     member.NodeInfo{Name: "k1", Address: server.Address, KeeperID: "1"},
		Interval: time.Hour, Lease: lease, Clock: read, Actors: actors.NewSystem(), Server: server,
	})
	port := uint16(0)
	node := func(name, keeperID string, leaving bool) netip.AddrPort {
		port++
		address := netip.AddrPortFrom(server.Address.Addr(), port)
		host.Publish(member.Record{
			Key:       member.Key{Kind: member.Node, ID: name},
			Version:   member.Version{Incarnation: 1, Sequence: 1, Leaving: leaving},
			Remaining: lease,
			Payload:   wire.MustEncode(member.NodeInfo{Name: name, Address: address, KeeperID: keeperID}),
		})
		return address
	}
	lost := node("k2", "2", false)
	node("k3", "3", true)
	node("e1", "", false)
	c := &Control{options: Options{Gossip: host, Clock: read}, registry: newRegistry(), origins: origin.New(), startedAt: read(), newestConfig: func() uint64 { return 7 }}
	ask := func() *origin.Reply {
		reply, err := c.serveOrigins(t.Context(), wire.MustEncode(&origin.Request{Find: []origin.Stream{1}, Services: []string{"s"}}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return reply.(*origin.Reply)
	}
	g.Expect(ask().Keepers).To(gomega.ConsistOf(server.Address, lost), "those that left can't hear of a release")
	nanos.Add(int64(origin.Retention))
	live := host.Nodes(t.Context())
	g.Expect(live).To(gomega.BeEmpty(), "no lease was renewed")
	g.Expect(ask().Keepers).To(gomega.ConsistOf(server.Address, lost), "one that was lost may go on")
	g.Expect(ask().Complete).To(gomega.BeTrue())
	g.Expect(ask().Config).To(gomega.Equal(uint64(7)))

	c.origins.Record(read(), 1, origin.Origin{Service: "s", Release: "v1"})
	g.Expect(ask().Keepers).To(gomega.BeEmpty(), "an origin that is known needs no other keeper")
}
