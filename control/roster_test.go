package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/upstream"
)

func announcement(id string, sequence uint64) upstream.Announcement {
	return upstream.Announcement{
		ID: id, Incarnation: 1, Sequence: sequence, Zone: "a", Slots: 4, Services: []string{"s"},
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
}

func ids(members []upstream.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

func TestRosterTellsChangesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRoster()
	g.Expect(r.apply(0, announcement("u1", 1))).To(gomega.BeTrue())
	g.Expect(r.apply(0, announcement("u2", 1))).To(gomega.BeTrue())
	seen := r.generation
	g.Expect(r.apply(time.Second, announcement("u1", 2))).To(gomega.BeFalse(), "a renewal is no news")
	g.Expect(r.since(seen)).To(gomega.BeEmpty())

	leaving := announcement("u1", 3)
	leaving.Leaving = true
	g.Expect(r.apply(time.Second, leaving)).To(gomega.BeTrue())
	g.Expect(ids(r.since(seen))).To(gomega.Equal([]string{"u1"}))
	g.Expect(ids(r.live())).To(gomega.Equal([]string{"u2"}))
}

func TestRosterMarksSilenceAndItsEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRoster()
	r.apply(0, announcement("u1", 1))
	g.Expect(r.watch(silentAfter)).To(gomega.BeFalse())
	g.Expect(r.watch(silentAfter + 1)).To(gomega.BeTrue())
	g.Expect(r.live()).To(gomega.BeEmpty())
	g.Expect(r.apply(silentAfter+2, announcement("u1", 2))).To(gomega.BeTrue(), "an upstream that speaks again is news")

	g.Expect(r.end(10*time.Second, "u1", 2)).To(gomega.BeFalse(), "another start of the upstream")
	g.Expect(r.end(10*time.Second, "u1", 1)).To(gomega.BeTrue())
	r.watch(10*time.Second + forgetAfter + 1)
	g.Expect(r.since(0)).To(gomega.BeEmpty())
}
