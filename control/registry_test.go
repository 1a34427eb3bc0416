package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/origin"
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

// TestOrdersWhileTheDirectoryFills starts a keeper beside its upstreams, which
// announce themselves one after the other: until that is over, more upstreams may
// be ordered, but none given back.
func TestOrdersWhileTheDirectoryFills(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Instant(time.Minute)
	d := &scaleDuty{duty: duty{control: &Control{startedAt: now}}, requests: map[scaleGroup]*scaleRequest{}}
	grownAt := now
	for range 4 {
		now += time.Second
		grownAt = now
		g.Expect(d.registryComplete(now, grownAt)).To(gomega.BeFalse())
	}
	g.Expect(d.registryComplete(now+registrySettleTime, grownAt)).To(gomega.BeTrue())
	g.Expect(d.registryComplete(now, now)).To(gomega.BeTrue(), "upstreams that were ordered don't count")
}

// TestSmallDecreasesAreNotOrdered compares orders by how much they change: each
// takes the platform's time.
func TestSmallDecreasesAreNotOrdered(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &scaleDuty{requests: map[scaleGroup]*scaleRequest{}}
	group := scaleGroup{"s", "a", true}
	d.requests[group] = &scaleRequest{count: 94, accepted: true, reached: true}
	now := clock.Instant(time.Minute)
	for count, due := range map[int]bool{95: true, 94: false, 93: false, 89: false, 88: true, 0: true} {
		g.Expect(d.due(now, scaleOrder{group, count, 94})).To(gomega.Equal(due), "from 94 to %d", count)
	}
	d.requests[group] = &scaleRequest{count: 5, accepted: true, reached: true}
	g.Expect(d.due(now, scaleOrder{group, 4, 5})).To(gomega.BeTrue(), "one of five")
}

// TestRegistryRemembersReplacedReleases guards against streams that are joined from two
// releases: an upstream starts again under its ID with another release, and a keeper that
// names only the new one tells an entry that missed the old one that there was no other.
func TestRegistryRemembersReplacedReleases(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRegistry()
	at := func(incarnation uint64, release string) upstream.Announcement {
		a := announcement("u1", 1)
		a.Incarnation, a.Release = incarnation, release
		return a
	}
	v1, v2 := origin.Origin{Service: "s", Release: "v1"}, origin.Origin{Service: "s", Release: "v2"}
	r.apply(time.Second, at(1, "v1"))
	g.Expect(r.serving(time.Second, []string{"s"})).To(gomega.ConsistOf(v1))
	r.apply(2*time.Second, at(2, "v2"))
	replacedAt := 4 * time.Second
	r.apply(replacedAt, at(3, "v1"))
	r.sweep(replacedAt)
	g.Expect(r.serving(replacedAt, []string{"s"})).To(gomega.ConsistOf(v1, v2), "streams that v2 began may still be taken up")
	g.Expect(r.serving(replacedAt, []string{"other"})).To(gomega.BeEmpty())
	r.apply(replacedAt+origin.Retention, at(3, "v1"))
	r.sweep(replacedAt + origin.Retention)
	g.Expect(r.serving(replacedAt+origin.Retention, []string{"s"})).To(gomega.ConsistOf(v1, v2))
	r.sweep(replacedAt + forgetAfter + 1)
	g.Expect(r.serving(replacedAt+forgetAfter+1, []string{"s"})).To(gomega.ConsistOf(v1), "nobody takes them up any more")
	g.Expect(r.replaced).To(gomega.BeEmpty())
}
