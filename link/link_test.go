package link

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
)

// A keeper that is cut off with a minority names the leader before; nobody who
// knows a later one goes back to it.
func TestTheLeaderOfTheHighestTermIsFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	l := &Link{}
	l.follows(before, 2)
	g.Expect(l.leader).To(gomega.Equal(before))
	l.follows(after, 3)
	l.follows(before, 2)
	g.Expect(l.leader).To(gomega.Equal(after))
	// One that knows of no leader changes nothing.
	l.follows(netip.AddrPort{}, 4)
	g.Expect(l.leader).To(gomega.Equal(after))
}
