package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// startGossip starts the gossip of a node without rounds: it only sends what it is told to.
func startGossip(t *testing.T, name string, seeds ...netip.AddrPort) *gossip.Host {
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	h := gossip.New(t.Context(), gossip.Options{
		Node: member.NodeInfo{Name: name, Address: server.Address}, Incarnation: 1, Seeds: seeds,
		Interval: time.Hour, Lease: time.Minute, Clock: clock.System(), Actors: actors.NewSystem(), Server: server,
	})
	server.Started()
	return h
}

// TestDepartureIsAcknowledgedOnceAnotherNodeHasIt guards against an upstream that leaves, and of
// whose leaving nobody knows once the entry that acknowledged it is lost.
func TestDepartureIsAcknowledgedOnceAnotherNodeHasIt(t *testing.T) {
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	cases := []struct {
		name string
		// down and live say that the entry knows a node that is down, or one that lives.
		down, live, leaving bool
		status              int
	}{
		{"ready, the other node is down", true, false, false, http.StatusNoContent},
		{"leaving, the other node is down", true, false, true, http.StatusServiceUnavailable},
		{"leaving, there is no other node", false, false, true, http.StatusNoContent},
		{"leaving, the other node lives", false, true, true, http.StatusNoContent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var seeds []netip.AddrPort
			if c.down {
				seeds = append(seeds, unreachable)
			}
			var other *gossip.Host
			if c.live {
				other = startGossip(t, "other")
				seeds = append(seeds, other.Address())
			}
			e := &Entry{options: Options{Gossip: startGossip(t, "e", seeds...)}}
			if c.live {
				for _, h := range []*gossip.Host{other, e.options.Gossip} {
					g.Eventually(func() int { return len(h.Nodes(t.Context())) }, 5*time.Second, 10*time.Millisecond).Should(gomega.Equal(2))
				}
			}
			body, err := json.Marshal(upstream.Announcement{
				ID: "u", Incarnation: 1, Sequence: 1, Zone: "a", Kind: service.Plain, Services: []string{"s"},
				Address: unreachable, Lease: time.Second, Slots: 1, Leaving: c.leaving,
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			w := httptest.NewRecorder()
			e.announce(w, httptest.NewRequest(http.MethodPost, "/upstream/announce", bytes.NewReader(body)))
			g.Expect(w.Code).To(gomega.Equal(c.status))
			if c.live {
				var recorded member.Record
				other.View(t.Context(), func(_ clock.Instant, table *member.Table) {
					recorded, _ = table.Get(member.Key{Kind: member.Upstream, ID: "u"})
				})
				g.Expect(recorded.Leaving).To(gomega.BeTrue(), "at the other node")
			}
		})
	}
}
