package link

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/pace"
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

// TestFirstReportFollowsTheElection has an entry that starts before there is a
// leader, which takes an election: the first report must not wait out a backoff,
// as the entry has no quota until then. Calls that fail do back off.
func TestFirstReportFollowsTheElection(t *testing.T) {
	g := gomega.NewWithT(t)
	backoff := pace.Backoff{First: firstRetryDelay, Max: maxRetryDelay}
	for range 10 {
		g.Expect(reportWait(noLeaderKnown, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
	}
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(2 * firstRetryDelay))
	g.Expect(reportWait(reportAnswered, &backoff, 600*time.Millisecond, 20*time.Millisecond, 0.5)).To(gomega.Equal(580 * time.Millisecond))
	g.Expect(reportWait(reportFailed, &backoff, reportInterval, 0, 0.5)).To(gomega.Equal(firstRetryDelay))
}
