package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// TestLeaderNamesEntriesThatReachUpstreams guards against an entry without a path to upstreams
// that is sent to itself, to an entry that has none either, that stops, or is gone.
func TestLeaderNamesEntriesThatReachUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeaderState(0, 1, 0)
	address := func(port uint16) *netip.AddrPort {
		a := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		return &a
	}
	report := func(now clock.Instant, entry string, helper *netip.AddrPort, wants bool) *AccountReply {
		return s.applyReport(now, AccountRequest{Entry: entry, Zone: "a", Incarnation: 1, Helper: helper, WantsHelpers: wants})
	}
	report(0, "gone", address(1), false)
	now := clock.Instant(2 * reportMaxAge)
	report(now, "isolated", nil, false)
	report(now, "sound", address(2), false)
	g.Expect(report(now, "asker", address(3), false).Helpers).To(gomega.BeEmpty(), "it doesn't ask")
	helpers := report(now+time.Millisecond, "asker", nil, true).Helpers
	g.Expect(helpers).To(gomega.HaveLen(1))
	g.Expect(helpers[0].Address).To(gomega.Equal(*address(2)))
}
