package fleet

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// memberOf is a member of a release.
func memberOf(release, id string, port uint16) upstream.Member {
	m := member(id, port, 1)
	m.Release = release
	return m
}

// TestStreamGoesOnAtItsReleaseOnly guards against incident ORDER: streams went on at
// upstreams of another release than the one that began them.
func TestStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := plainFleet()
		releases := map[string]string{}
		now, port := clock.Instant(second), uint16(0)
		begun := map[uint64]string{}
		running := map[uint64]string{}
		var open []uint64
		deliver := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Grant:
					if release, bound := begun[a.Ticket]; bound && a.Upstream.Release != release {
						t.Fatalf("ticket %d, begun at %q, goes on at %s of %q", a.Ticket, release, a.Upstream.ID, a.Upstream.Release)
					}
					running[a.Ticket] = a.Upstream.ID
				case Refuse:
					delete(running, a.Ticket)
				}
			}
		}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += second / 20
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0:
				port++
				id, release := fmt.Sprint("u", port), rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "release")
				releases[id] = release
				deliver(f.Merge(now, []upstream.Member{memberOf(release, id, port)}))
			case 1:
				id := uint64(step + 1)
				ticket := newTicket(id)
				ticket.MaxRuns = 5
				if rapid.Bool().Draw(t, "resumed") {
					ticket.Release, ticket.Bound = rapid.SampledFrom([]string{"", "v1", "v2", "v3"}).Draw(t, "origin"), true
					begun[id] = ticket.Release
				}
				open = append(open, id)
				deliver(f.Submit(now, ticket))
			case 2, 3:
				if len(open) == 0 {
					continue
				}
				id := rapid.SampledFrom(open).Draw(t, "ticket")
				if u, ok := running[id]; ok {
					if release, bound := f.Bind(id); !bound || release != releases[u] {
						t.Fatalf("bound to %q, the upstream is of %q", release, releases[u])
					}
					begun[id] = releases[u]
				}
			case 4:
				if len(open) == 0 {
					continue
				}
				id := rapid.SampledFrom(open).Draw(t, "ticket")
				delete(running, id)
				deliver(f.Failed(now, id, rapid.SampledFrom([]retry.Failure{retry.Broken, retry.Silent, retry.NotSent, retry.Refused}).Draw(t, "failure")))
			default:
				deliver(f.Tick(now))
			}
		}
	})
}

// TestStreamWhoseReleaseIsGoneIsRefused takes up a stream of a release without
// upstreams.
func TestStreamWhoseReleaseIsGoneIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(memberOf("v1", "u1", 1), memberOf("v2", "u2", 2))
	ask := func(id uint64, release string) string {
		ticket := newTicket(id)
		ticket.Release, ticket.Bound = release, true
		return destination(f.Submit(second, ticket))
	}
	g.Expect(ask(1, "v1")).To(gomega.Equal("u1"))
	g.Expect(ask(2, "v2")).To(gomega.Equal("u2"))
	g.Expect(ask(3, "v3")).To(gomega.Equal(result.NoUpstream.String()))
	leaving := memberOf("v1", "u1", 1)
	leaving.Sequence, leaving.Leaving = 2, true
	f.Merge(second, []upstream.Member{leaving})
	g.Expect(ask(4, "v1")).To(gomega.Equal(result.NoUpstream.String()))
	f.Bind(2)
	g.Expect(destination(f.Failed(second, 2, retry.Broken))).To(gomega.Equal(result.UpstreamUnknown.String()), "its only upstream broke off")
}
