package departure

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/upstream"
)

func state(incarnation uint64, port uint16) *upstream.Announcement {
	return &upstream.Announcement{ID: "u", Incarnation: incarnation, Sequence: 7, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
}

// TestRecord guards against a departure that is recorded for another start than the one that leaves,
// or not at all, so that a late heartbeat brings the upstream back.
func TestRecord(t *testing.T) {
	const first, second, now = 1000, 2000, 3000
	cases := []struct {
		name     string
		notice   Notice
		known    *upstream.Announcement
		recorded bool
		// start, leaving and port are those of the record.
		start   uint64
		leaving bool
		port    uint16
	}{
		{"nothing is known", Notice{Incarnation: second}, nil, false, 0, false, 0},
		{"the start that is known", Notice{Incarnation: first}, state(first, 1), true, first, true, 1},
		{"no start is named", Notice{}, state(first, 1), true, now, true, 1},
		{"no start is named, and the clock is behind", Notice{}, state(now+1, 1), true, now + 1, true, 1},
		{"the upstream never names its starts", Notice{}, state(0, 1), true, 0, true, 1},
		{"no start is named in a whole notice", Notice{State: state(0, 2)}, state(first, 1), true, now, true, 2},
		{"a start that nothing is known of", Notice{Incarnation: second}, state(first, 1), true, second, true, 1},
		{"an upstream that nothing is known of", Notice{Incarnation: second, State: state(second, 2)}, nil, true, second, true, 2},
		{"an unknown start that tells its state", Notice{Incarnation: second, State: state(second, 2)}, state(first, 1), true, second, true, 2},
		{"a start that another one has followed", Notice{Incarnation: first, State: state(first, 1)}, state(second, 2), true, second, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, ok := c.notice.Record(c.known, time.UnixMilli(now))
			g.Expect(ok).To(gomega.Equal(c.recorded))
			g.Expect(a.Incarnation).To(gomega.Equal(c.start))
			g.Expect(a.Leaving).To(gomega.Equal(c.leaving))
			g.Expect(a.Address.Port()).To(gomega.Equal(c.port))
		})
	}
}
