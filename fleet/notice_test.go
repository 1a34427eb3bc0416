package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// drainTime is the shortest drainMs of the published deployments.
const drainTime = 2 * second

// noticeLoad is about half of what the engines can do.
func noticeLoad(engines int) *requestKind {
	return &requestKind{
		perSecond: 4 * float64(engines), target: 2 * second, commonTokens: 130, documents: 300, documentTokens: 300, ownTokens: 600, outputTokens: 300,
	}
}

var noticeSizes = []struct{ entries, engines int }{{1, 4}, {6, 18}, {40, 60}, {100, 60}}

// TestTurnedAwayEntriesStayAway has a third of the engines turn requests away for some
// seconds, as they say in their refusals, while callers with shared prompts ask all entries.
func TestTurnedAwayEntriesStayAway(t *testing.T) {
	for _, c := range noticeSizes {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%d entries, seed %d", c.entries, seed), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				load := noticeLoad(c.engines)
				e := newEmulation(seed, c.entries, c.engines, load)
				e.simulate(0, 3*second)
				var closed []*engine
				for i := 0; i < c.engines; i += 3 {
					n := e.engines[fmt.Sprint("u", i)]
					n.closedUntil = e.now + time.Duration(3+i%5)*second
					closed = append(closed, n)
				}
				e.simulate(0, 10*second)
				for _, n := range closed {
					for entry, at := range n.told {
						late := 0
						for _, received := range n.receivedFrom[entry] {
							if received > at+second/2 && received < n.closedUntil {
								late++
							}
						}
						g.Expect(late).To(gomega.BeNumerically("<=", 2), "requests of an entry that was turned away")
					}
					first := received(n, n.closedUntil, n.closedUntil+100*time.Millisecond)
					g.Expect(first).To(gomega.BeNumerically("<=", max(2, float64(c.entries)/4)), "requests at the end of the time")
				}
				g.Expect(float64(load.started)).To(gomega.BeNumerically(">=", 0.9*float64(load.arrivals)), "requests, for which there is room elsewhere")
				e.simulate(5*second, 10*second)
				expectUsed(g, e, closed)
			})
		}
	}
}

// TestEnginesThatSayTheyLeaveGetNothing has engines say in their answers that they leave,
// while their announcements say that they are ready. They come back under their IDs.
func TestEnginesThatSayTheyLeaveGetNothing(t *testing.T) {
	for _, c := range noticeSizes {
		t.Run(fmt.Sprint(c.entries, " entries"), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			load := noticeLoad(c.engines)
			e := newEmulation(1, c.entries, c.engines, load)
			e.simulate(0, 3*second)
			var leaving []*engine
			for i := 0; i < c.engines; i += 3 {
				n := e.engines[fmt.Sprint("u", i)]
				n.leaving = true
				leaving = append(leaving, n)
			}
			for range 8 {
				e.simulate(0, second)
				for _, n := range leaving {
					// Heartbeats go on.
					n.member.Sequence++
					for _, f := range e.entries {
						e.execute(f, f.Merge(e.now, []upstream.Member{n.member}))
					}
				}
			}
			for _, n := range leaving {
				g.Expect(n.told).NotTo(gomega.BeEmpty())
				for entry, at := range n.told {
					for _, received := range n.receivedFrom[entry] {
						g.Expect(received).To(gomega.BeNumerically("<=", at), "%s got a request", n.member.ID)
					}
				}
				n.leaving = false
				n.member.Incarnation++
				for _, f := range e.entries {
					e.execute(f, f.Merge(e.now, []upstream.Member{n.member}))
				}
			}
			e.simulate(0, 10*second)
			expectUsed(g, e, leaving)
		})
	}
}

// expectUsed expects the engines to have got half of their part of the requests in the
// last ten seconds, and each of them some.
func expectUsed(g *gomega.WithT, e *emulation, engines []*engine) {
	all, theirs := 0.0, 0.0
	for _, n := range e.engines {
		all += received(n, e.now-10*second, e.now)
	}
	for _, n := range engines {
		got := received(n, e.now-10*second, e.now)
		g.Expect(got).To(gomega.BeNumerically(">", 0), "%s, which takes requests again", n.member.ID)
		theirs += got
	}
	g.Expect(theirs).To(gomega.BeNumerically(">=", 0.5*all*float64(len(engines))/float64(len(e.engines))))
}

// TestServiceWhoseUpstreamsAllLeave goes on while they still serve, and then refuses at
// once.
func TestServiceWhoseUpstreamsAllLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
	f.options.DrainWithin = drainTime
	g.Expect(destination(f.Submit(0, newTicket(1)))).To(gomega.Equal("u1"))
	g.Expect(destination(f.Submit(0, newTicket(2)))).To(gomega.Equal("u2"))
	f.Told(second, 1, Notice{Leaving: true})
	g.Expect(destination(f.Submit(second, newTicket(3)))).To(gomega.Equal("u2"), "the one that stays")
	f.Told(second+second/2, 2, Notice{Leaving: true})
	g.Expect(destination(f.Submit(2*second, newTicket(4)))).To(gomega.Equal("u1"), "all leave, and still serve")
	g.Expect(destination(f.Submit(3*second, newTicket(5)))).To(gomega.Equal("u2"), "u1 has said so two seconds ago")
	actions := f.Submit(4*second, newTicket(6))
	g.Expect(destination(actions)).To(gomega.Equal(result.NoUpstream.String()))
	g.Expect(actions[0].(Refuse).Err.RetryAfter).To(gomega.Equal(noUpstreamRetryAfter))
	g.Expect(destination(f.Failed(4*second, 5, retry.Broken))).To(gomega.Equal(result.UpstreamUnknown.String()), "a retry isn't new work for u1")
	again := member("u1", 1, 2)
	f.Merge(4*second, []upstream.Member{again})
	g.Expect(destination(f.Submit(4*second, newTicket(7)))).To(gomega.Equal("u1"))
}

// TestServiceWhoseUpstreamsAllTurnWorkAway refuses at once what it can't place, and says
// when the first of them takes requests again.
func TestServiceWhoseUpstreamsAllTurnWorkAway(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
	refusal := func(actions []Action) (code string, after time.Duration) {
		for _, a := range actions {
			if r, ok := a.(Refuse); ok {
				return r.Err.Code.String(), r.Err.RetryAfter
			}
		}
		return destination(actions), 0
	}
	turnAway := func(now clock.Instant, id uint64, after time.Duration) []Action {
		f.Told(now, id, Notice{RetryAfter: after})
		return f.Failed(now, id, retry.Refused)
	}
	g.Expect(destination(f.Submit(0, newTicket(1)))).To(gomega.Equal("u1"))
	g.Expect(destination(turnAway(0, 1, 8*second))).To(gomega.Equal("u2"), "another one gets the request")
	waiting := newTicket(2)
	waiting.Target = 20 * second
	f.Submit(0, waiting)
	code, after := refusal(turnAway(0, 1, 3*second))
	g.Expect(code).To(gomega.Equal(result.UpstreamRefused.String()))
	g.Expect(after).To(gomega.Equal(3 * second))
	code, after = refusal(turnAway(0, 2, 5*time.Hour))
	g.Expect(code).To(gomega.Equal(result.UpstreamRefused.String()))
	g.Expect(after).To(gomega.Equal(8*second), "u2 has asked for hours; u1 comes first")

	code, after = refusal(f.Submit(second, newTicket(3)))
	g.Expect(code).To(gomega.Equal(result.Saturated.String()), "at once, as its target is a second")
	g.Expect(after).To(gomega.Equal(7 * second))
	patient := newTicket(4)
	patient.Target, patient.Deadline = 20*second, 30*second
	g.Expect(destination(f.Submit(second, patient))).To(gomega.BeEmpty(), "it can wait")
	g.Expect(destination(f.Tick(8*second - 1))).To(gomega.BeEmpty())
	g.Expect(destination(f.Tick(8 * second))).To(gomega.Equal("u1"))
	g.Expect(destination(f.Submit(8*second, newTicket(5)))).To(gomega.BeEmpty(), "one at a time at first")
	g.Expect(destination(f.Progress(8*second, 4))).To(gomega.Equal("u1"))

	g.Expect(destination(turnAway(8*second, 5, 2*second))).To(gomega.Equal(result.UpstreamRefused.String()))
	f.Told(8*second, 4, Notice{RetryAfter: second})
	code, after = refusal(f.Submit(8*second, newTicket(6)))
	g.Expect(code).To(gomega.Equal(result.Saturated.String()))
	g.Expect(after).To(gomega.Equal(2*second), "an earlier end doesn't replace a later one")
	f.Merge(9*second, []upstream.Member{member("u2", 2, 2)})
	g.Expect(destination(f.Submit(9*second, newTicket(7)))).To(gomega.Equal("u2"), "it has started again")
}
