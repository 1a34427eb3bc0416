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

func TestRegistryListsOnlyChangedUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistry()
	g.Expect(r.apply(0, announcement("u1", 1))).To(gomega.BeTrue())
	g.Expect(r.apply(0, announcement("u2", 1))).To(gomega.BeTrue())
	seen := r.generation
	g.Expect(r.apply(time.Second, announcement("u1", 2))).To(gomega.BeFalse(), "a renewal changes nothing for entries")
	g.Expect(r.changedSince(seen)).To(gomega.BeEmpty())

	leaving := announcement("u1", 3)
	leaving.Leaving = true
	g.Expect(r.apply(time.Second, leaving)).To(gomega.BeTrue())
	g.Expect(ids(r.changedSince(seen))).To(gomega.Equal([]string{"u1"}))
	g.Expect(ids(r.usable())).To(gomega.Equal([]string{"u2"}))
}

func TestRegistryMarksSilentAndEndedUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistry()
	r.apply(0, announcement("u1", 1))
	g.Expect(r.sweep(silentAfter)).To(gomega.BeFalse())
	g.Expect(r.sweep(silentAfter + 1)).To(gomega.BeTrue())
	g.Expect(r.usable()).To(gomega.BeEmpty())
	g.Expect(r.apply(silentAfter+2, announcement("u1", 2))).To(gomega.BeTrue(), "an announcement ends the silence")

	g.Expect(r.markEnded(10*time.Second, "u1", 2)).To(gomega.BeFalse(), "another incarnation of the upstream")
	g.Expect(r.markEnded(10*time.Second, "u1", 1)).To(gomega.BeTrue())
	r.sweep(10*time.Second + forgetAfter + 1)
	g.Expect(r.changedSince(0)).To(gomega.BeEmpty())
}
