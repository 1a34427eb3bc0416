package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// granted returns the grants among the actions.
func granted(actions []Action) (grants []Grant) {
	for _, a := range actions {
		if g, ok := a.(Grant); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// TestOneRetryHedgesOneOfManySilentRequests guards against requests that all leave a silent
// upstream for the one retry that is left: all but one of them failed.
func TestOneRetryHedgesOneOfManySilentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Options{Zone: "a", RetryRatio: 0, RetrySlack: 1, Entries: 1})
	f.Merge(0, []upstream.Member{member("u1", 1, 1)})
	const requests = 4
	for id := uint64(1); id <= requests; id++ {
		g.Expect(destination(f.Submit(0, newTicket(id)))).To(gomega.Equal("u1"))
	}
	f.Merge(0, []upstream.Member{member("u2", 2, 1)})
	now, hedges := 2*second, 0
	for id := uint64(1); id <= requests; id++ {
		hedges += len(granted(f.Hedge(now, id, 100+id, second)))
	}
	g.Expect(hedges).To(gomega.Equal(1))
	for id := uint64(1); id <= requests; id++ {
		g.Expect(f.Progress(now, id)).To(gomega.BeEmpty())
		g.Expect(f.Finish(now, id, true, true)).To(gomega.BeEmpty(), "request %d is still at its upstream", id)
	}
}

// TestFullUpstreamsHedgeNothing guards against requests that leave a silent upstream while no
// other one has room for them.
func TestFullUpstreamsHedgeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
	for id := uint64(1); id <= 8; id++ {
		f.Submit(0, newTicket(id))
	}
	for id := uint64(1); id <= 8; id++ {
		g.Expect(f.Hedge(2*second, id, 100+id, second)).To(gomega.BeEmpty())
	}
}

// TestHedgesAreAccountedFor fuzzes hedged requests: however they and their hedges end, no
// upstream keeps work of requests that have ended, no request has two hedges, no request
// is tried or run more often than it may be, and none runs twice at one upstream at once.
func TestHedgesAreAccountedFor(t *testing.T) {
	failures := []retry.Failure{retry.NotSent, retry.Refused, retry.Broken, retry.Silent, retry.Errored}
	rapid.Check(t, func(rt *rapid.T) {
		f := plainFleet(member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1), member("u4", 4, 1))
		now, lastID := clock.Instant(0), uint64(0)
		hedgeOf := map[uint64]uint64{}
		// request is the first attempt's ticket, and at the upstream of an attempt; runs
		// are the attempts of a request that may have run.
		request, at, runs, maxRuns := map[uint64]uint64{}, map[uint64]string{}, map[uint64]int{}, map[uint64]int{}
		// running are the tickets and hedges with an attempt under way.
		running := map[uint64]bool{}
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Grant:
					of := request[a.Ticket]
					for other := range running {
						if other != a.Ticket && request[other] == of && at[other] == a.Upstream.ID {
							rt.Fatalf("request %d runs twice at %s", of, a.Upstream.ID)
						}
					}
					running[a.Ticket], at[a.Ticket] = true, a.Upstream.ID
					if runs[of]++; runs[of] > maxRuns[of] {
						rt.Fatalf("run %d of %d", runs[of], maxRuns[of])
					}
					if a.Attempt > retry.MaxAttempts {
						rt.Fatalf("attempt %d", a.Attempt)
					}
				case Refuse:
					delete(running, a.Ticket)
				}
			}
		}
		pick := func() (uint64, bool) {
			ids := make([]uint64, 0, len(running))
			for id := uint64(1); id <= lastID; id++ {
				if running[id] {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(rt, "id"), true
		}
		hasHedge := func(id uint64) (uint64, bool) {
			for h, of := range hedgeOf {
				if of == id {
					return h, true
				}
			}
			return 0, false
		}
		// failed counts an attempt that has failed.
		failed := func(id uint64, failure retry.Failure) {
			delete(running, id)
			if !failure.MayHaveRun() {
				runs[request[id]]--
			}
		}
		// unlink takes an attempt out of those that run beside each other.
		unlink := func(id uint64) {
			of, isHedge := hedgeOf[id]
			delete(hedgeOf, id)
			if h, hedged := hasHedge(id); hedged && isHedge {
				hedgeOf[h] = of
			} else if hedged {
				delete(hedgeOf, h)
			}
		}
		endHedgesOf := func(id uint64) {
			for h, hedged := hasHedge(id); hedged; h, hedged = hasHedge(id) {
				apply(f.Withdraw(now, h))
				delete(running, h)
				unlink(h)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(rt, "submit") == 0 {
				lastID++
				ticket := newTicket(lastID)
				ticket.Deadline, ticket.Target = now+time.Minute, time.Minute
				ticket.MaxRuns = rapid.IntRange(2, 5).Draw(rt, "maxRuns")
				request[lastID], maxRuns[lastID] = lastID, ticket.MaxRuns
				apply(f.Submit(now, ticket))
				continue
			}
			id, ok := pick()
			if !ok {
				continue
			}
			failure := rapid.SampledFrom(failures).Draw(rt, "failure")
			_, isHedge := hedgeOf[id]
			_, hedged := hasHedge(id)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				apply(f.Progress(now, id))
			case 1:
				request[lastID+1] = request[id]
				actions := f.Hedge(now, id, lastID+1, second)
				grants := granted(actions)
				if hedged && len(grants) > 0 {
					rt.Fatalf("a second hedge of %d", id)
				}
				apply(actions)
				if len(grants) > 0 {
					lastID++
					hedgeOf[lastID] = id
				}
			case 2:
				if isHedge {
					failed(id, failure)
					unlink(id)
					apply(f.HedgeFailed(now, id, failure))
				}
			case 3:
				if hedged && !isHedge && rapid.Bool().Draw(rt, "replace") {
					failed(id, failure)
					unlink(id)
					apply(f.Replace(now, id, failure))
				} else if !isHedge {
					// Its hedges may still end.
					failed(id, failure)
					apply(f.Failed(now, id, failure))
					endHedgesOf(id)
				}
			case 4:
				if !isHedge {
					delete(running, id)
					apply(f.Finish(now, id, true, true))
					endHedgesOf(id)
				}
			default:
				delete(running, id)
				apply(f.Withdraw(now, id))
				if isHedge {
					unlink(id)
				} else {
					endHedgesOf(id)
				}
			}
		}
		for id := uint64(1); id <= lastID; id++ {
			apply(f.Withdraw(now, id))
		}
		for _, u := range f.upstreams {
			if left := fmt.Sprint(u.running, u.backlogTokens, u.memoryTokens, u.trials); left != "0 0 0 0" {
				rt.Fatalf("%s keeps work of requests that have ended: %s", u.ID, left)
			}
		}
		if f.Open() != 0 {
			rt.Fatalf("%d tickets are left", f.Open())
		}
	})
}

// TestHedgesCountAsRunsFromTheirStart guards against a request that is repeated while its hedge
// still ends: the hedge wasn't counted yet, so that the request ran at more upstreams than it
// may, or a second time at the one of its hedge.
func TestHedgesCountAsRunsFromTheirStart(t *testing.T) {
	for maxRuns, want := range map[int]string{2: "upstreamUnknown", 3: "u3"} {
		g := gomega.NewWithT(t)
		f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
		ticket := newTicket(1)
		ticket.MaxRuns = maxRuns
		g.Expect(destination(f.Submit(0, ticket))).To(gomega.Equal("u1"))
		g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
		f.Merge(2*second, []upstream.Member{member("u3", 3, 1)})
		g.Expect(destination(f.Failed(2*second, 1, retry.Broken))).To(gomega.Equal(want), "%d runs", maxRuns)
		f.Withdraw(2*second, 2)
		g.Expect(granted(f.Failed(2*second, 1, retry.Broken))).To(gomega.BeEmpty(), "%d runs", maxRuns)
	}
}

// TestRefusalsKnowOfHedges guards against a refusal that says that a request hasn't run, and
// gives its quota back, though the request ran at its second upstream.
func TestRefusalsKnowOfHedges(t *testing.T) {
	ends := map[string]func(f *Fleet){
		"broke off":   func(f *Fleet) { f.HedgeFailed(2*second, 2, retry.Broken) },
		"was dropped": func(f *Fleet) { f.Withdraw(2*second, 2) },
		"still runs":  func(*Fleet) {},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
			f.Submit(0, newTicket(1))
			g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
			end(f)
			f.Merge(2*second, []upstream.Member{leaving(member("u2", 2, 1))})
			actions := f.Failed(2*second, 1, retry.Refused)
			g.Expect(actions).To(gomega.HaveLen(1))
			refusal, ok := actions[0].(Refuse)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(refusal.Err.Ran).To(gomega.Equal(result.RanUnknown))
		})
	}
}

// TestUnansweredHedgesGoElsewhere guards against a request that spends all its runs on one
// second upstream that answers nothing.
func TestUnansweredHedgesGoElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1))
	ticket := newTicket(1)
	ticket.MaxRuns = 3
	g.Expect(destination(f.Submit(0, ticket))).To(gomega.Equal("u1"))
	g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
	g.Expect(f.HedgeFailed(2*second, 2, retry.Silent)).To(gomega.BeEmpty())
	g.Expect(destination(f.Hedge(2*second, 1, 3, second))).To(gomega.Equal("u3"))
}

// TestHedgesOfHedgesGoOn guards against an attempt that is forgotten, or runs at an upstream that
// has the request already, as one of the attempts between it and the first one ends.
func TestHedgesOfHedgesGoOn(t *testing.T) {
	for name, end := range map[string]func(f *Fleet){
		"fails":       func(f *Fleet) { f.HedgeFailed(4*second, 2, retry.Broken) },
		"isn't run":   func(f *Fleet) { f.HedgeFailed(4*second, 2, retry.Refused) },
		"was dropped": func(f *Fleet) { f.Withdraw(4*second, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := plainFleet(member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1), member("u4", 4, 1))
			ticket := newTicket(1)
			ticket.MaxRuns = 4
			g.Expect(destination(f.Submit(0, ticket))).To(gomega.Equal("u1"))
			g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
			g.Expect(destination(f.Hedge(4*second, 2, 3, second))).To(gomega.Equal("u3"))
			end(f)
			g.Expect(granted(f.Hedge(4*second, 1, 4, second))).To(gomega.BeEmpty(), "there is a hedge")
			f.Replace(4*second, 1, retry.Broken)
			f.Merge(4*second, []upstream.Member{leaving(member("u4", 4, 1))})
			g.Expect(granted(f.Hedge(6*second, 3, 5, second))).To(gomega.BeEmpty(), "all others have had the request")
			g.Expect(f.Open()).To(gomega.Equal(1))
			f.Finish(6*second, 3, true, true)
			g.Expect(f.Open()).To(gomega.BeZero())
			g.Expect(f.Work()).To(gomega.BeEmpty())
		})
	}
}

// TestHedgesOfHedgesAreBound guards against a stream that goes on at a third upstream of another
// release than the one that has begun it.
func TestHedgesOfHedgesAreBound(t *testing.T) {
	g := gomega.NewWithT(t)
	other := member("u3", 3, 1)
	other.Release = "v2"
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1), other)
	ticket := newTicket(1)
	ticket.MaxRuns = 3
	g.Expect(destination(f.Submit(0, ticket))).To(gomega.Equal("u1"))
	g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
	_, running := f.Bind(1)
	g.Expect(running).To(gomega.BeTrue())
	g.Expect(f.Hedge(4*second, 2, 3, second)).To(gomega.BeEmpty())
}

// TestSilentUpstreamsGetARequestBack guards against a request that fails as the upstream which
// took it over broke off, though the one before only was silent for a moment. Upstreams
// that haven't had it go first, and one that fell silent gets it back once.
func TestSilentUpstreamsGetARequestBack(t *testing.T) {
	for _, third := range []string{"u1", "u3"} {
		g := gomega.NewWithT(t)
		f := plainFleet(member("u1", 1, 1), member("u2", 2, 1))
		ticket := newTicket(1)
		ticket.MaxRuns = 4
		g.Expect(destination(f.Submit(0, ticket))).To(gomega.Equal("u1"))
		g.Expect(destination(f.Hedge(2*second, 1, 2, second))).To(gomega.Equal("u2"))
		f.Replace(2*second, 1, retry.Silent)
		if third == "u3" {
			f.Merge(2*second, []upstream.Member{member("u3", 3, 1)})
		}
		g.Expect(destination(f.Failed(2*second, 2, retry.Broken))).To(gomega.Equal(third))
		if third == "u3" {
			g.Expect(destination(f.Failed(2*second, 2, retry.Broken))).To(gomega.Equal("u1"))
		}
		g.Expect(granted(f.Failed(2*second, 2, retry.Broken))).To(gomega.BeEmpty())
	}
}

func leaving(m upstream.Member) upstream.Member {
	m.Leaving, m.Sequence = true, m.Sequence+1
	return m
}
