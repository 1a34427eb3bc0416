package link

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
)

// TestLeaderOfTheHighestTermIsUsed guards against going back to an earlier
// leader, which a keeper in a minority partition may still name.
func TestLeaderOfTheHighestTermIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	l := &Link{}
	l.setLeader(before, 2)
	g.Expect(l.leader).To(gomega.Equal(before))
	l.setLeader(after, 3)
	l.setLeader(before, 2)
	g.Expect(l.leader).To(gomega.Equal(after))
	// A keeper that knows no leader changes nothing, whatever its term.
	l.setLeader(netip.AddrPort{}, 4)
	g.Expect(l.leader).To(gomega.Equal(after))
}
