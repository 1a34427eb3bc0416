package dispatch

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func document() service.Document {
	return service.Document{
		Name: "s", Kind: service.Model, Models: []string{"m"}, Zones: []string{"a", "b"}, Classes: []string{"small"}, ReplicasHigh: 9,
		Ranks: []service.Rank{{Name: "urgent", Order: 1, FirstToken: time.Second, Floor: 0.5}, {Name: "draft", Order: 2, FirstToken: time.Minute, Floor: 0.1}},
		Calls: []service.Call{{Name: "ask", Rank: "urgent", Repeatable: true}},
	}
}

func announcement(id string, incarnation, sequence uint64, lease time.Duration) upstream.Announcement {
	return upstream.Announcement{
		ID: id, Incarnation: incarnation, Sequence: sequence, Zone: "a", Class: "small", Kind: service.Model, Models: []string{"m"},
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Lease: lease, Slots: 2,
	}
}

func newDispatcher(upstreams ...string) *Dispatcher {
	d := New(Options{Zone: "a", Costs: DefaultCosts()})
	d.SetDocument(0, service.Accepted{Revision: 1, Document: document()})
	for _, id := range upstreams {
		d.Announce(0, announcement(id, 1, 1, time.Hour))
	}
	return d
}

func submit(d *Dispatcher, now clock.Instant, id uint64, repeatable bool) []Action {
	return d.Submit(now, Ticket{ID: id, Service: "s", Caller: "c", Cost: 10, Repeatable: repeatable, Fingerprint: id})
}

func granted(g *gomega.WithT, actions []Action) string {
	for _, a := range actions {
		if grant, ok := a.(Grant); ok {
			return grant.Upstream.ID
		}
	}
	g.Expect(actions).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(Grant{})))
	return ""
}

func refusedWith(actions []Action) result.Code {
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return r.Err.Code
		}
	}
	return 0
}

func TestRetryByKindOfFailure(t *testing.T) {
	cases := []struct {
		name       string
		failure    retry.Failure
		repeatable bool
		want       result.Code
	}{
		{"not sent", retry.NotSent, false, 0},
		{"refused", retry.Refused, false, 0},
		{"broken and not repeatable", retry.Broken, false, result.UpstreamUnknown},
		{"silent and not repeatable", retry.Silent, false, result.UpstreamUnknown},
		{"silent and repeatable", retry.Silent, true, 0},
		{"reclaimed", retry.Reclaimed, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := newDispatcher("x", "y")
			first := granted(g, submit(d, 0, 1, c.repeatable))
			actions := d.Failed(0, 1, c.failure)
			g.Expect(refusedWith(actions)).To(gomega.Equal(c.want))
			if c.want == 0 && c.failure != retry.Reclaimed {
				g.Expect(granted(g, actions)).NotTo(gomega.Equal(first))
			}
		})
	}
}

func TestAnEarlierAttemptMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("x", "y")
	granted(g, submit(d, 0, 1, true))
	granted(g, d.Failed(0, 1, retry.Silent))
	for d.pools["s"].retryBudget.Spend(0) {
		continue
	}
	actions := d.Failed(0, 1, retry.NotSent)
	g.Expect(refusedWith(actions)).To(gomega.Equal(result.UpstreamUnknown))
}

func TestReclaimsNeedNoRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("x")
	granted(g, submit(d, 0, 1, true))
	for d.pools["s"].retryBudget.Spend(0) {
		continue
	}
	granted(g, d.Failed(0, 1, retry.Reclaimed))
	g.Expect(refusedWith(d.Failed(0, 1, retry.Silent))).To(gomega.Equal(result.UpstreamUnknown))
}

func TestSuspects(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("x", "y", "z")
	granted(g, submit(d, 0, 1, true))
	actions := d.Failed(0, 1, retry.Broken)
	g.Expect(actions).To(gomega.ContainElement(ReportSuspect{Fingerprint: 1, Crashes: 1}))
	second := granted(g, actions)
	// No other request is sent to the upstream where the suspect runs alone.
	for id := uint64(2); id < 4; id++ {
		g.Expect(granted(g, submit(d, 0, id, true))).NotTo(gomega.Equal(second))
	}
	actions = d.Failed(0, 1, retry.Broken)
	g.Expect(refusedWith(actions)).To(gomega.Equal(result.Quarantined))
	g.Expect(refusedWith(submit(d, 0, 1, true))).To(gomega.Equal(result.Quarantined))
	// A suspect that is answered is cleared.
	d2 := newDispatcher("x", "y")
	granted(g, submit(d2, 0, 7, true))
	granted(g, d2.Failed(0, 7, retry.Broken))
	d2.Finish(0, 7)
	g.Expect(d2.suspects.suspected(0, 7)).To(gomega.BeFalse())
	// The quarantine ends.
	g.Expect(refusedWith(submit(d, QuarantineTime, 1, true))).NotTo(gomega.Equal(result.Quarantined))
}

// TestPartThatCrashesUpstreamsIsRefused guards against incident BUDGET in this
// core: requests that share one part of their prompts, no two alike, crashed two
// upstreams each.
func TestPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("u", "v", "w", "x", "y", "z")
	other := newDispatcher("u", "v", "w", "x", "y", "z")
	ask := func(d *Dispatcher, now clock.Instant, id uint64, parts ...uint64) []Action {
		return d.Submit(now, Ticket{ID: id, Service: "s", Caller: "c", Cost: 10, Repeatable: true, Fingerprint: id, Parts: parts})
	}
	tell := func(now clock.Instant, actions []Action) []Action {
		for _, a := range actions {
			if report, ok := a.(ReportEvidence); ok {
				other.MergeEvidence(now, report.Evidence)
			}
		}
		return actions
	}
	const commonPart, badPart, goodPart = 1, 66, 7
	crashes, now := 0, clock.Instant(0)
	for id := uint64(1); id <= 10; id++ {
		now += 5 * time.Second
		for _, u := range []string{"u", "v", "w", "x", "y", "z"} {
			d.Announce(now, announcement(u, 1+id, 1, time.Hour))
		}
		good := 100 + id
		granted(g, ask(d, now, good, commonPart, goodPart))
		now += time.Second
		tell(now, d.Finish(now, good))
		actions := ask(d, now, id, commonPart, badPart)
		for refusedWith(actions) == 0 {
			now += 3 * time.Second
			if !slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Grant); return ok }) {
				// A suspect waits for an upstream of its own.
				actions = tell(now, d.Tick(now))
				continue
			}
			crashes++
			actions = tell(now, d.Failed(now, id, retry.Broken))
		}
	}
	g.Expect(crashes).To(gomega.BeNumerically("<=", 4), "upstreams that crashed under ten requests")
	for name, d := range map[string]*Dispatcher{"the same entry": d, "another entry": other} {
		g.Expect(refusedWith(ask(d, now, 200, commonPart, badPart))).To(gomega.Equal(result.Suspected), name)
		granted(g, ask(d, now, 201, commonPart, goodPart))
	}
}

// TestRequestThatCrashesUpstreamsAtOnceIsRefused guards against incident BUDGET of
// plain services in this core: copies of one request that ran at several upstreams at
// once passed for an outage each time, and were never refused.
func TestRequestThatCrashesUpstreamsAtOnceIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	upstreams := []string{"q", "r", "s", "t", "u", "v", "w", "x"}
	d := newDispatcher(upstreams...)
	const fingerprint = 99
	crashes, now := 0, clock.Instant(0)
	for round := range uint64(10) {
		now += 5 * time.Second
		for _, u := range upstreams {
			d.Announce(now, announcement(u, 2+round, 1, time.Hour))
		}
		var running []uint64
		for copies := range uint64(len(upstreams)) {
			id := 1 + 10*round + copies
			for _, a := range d.Submit(now, Ticket{ID: id, Service: "s", Caller: fmt.Sprint("c", copies), Cost: 10, Fingerprint: fingerprint}) {
				if grant, ok := a.(Grant); ok {
					running = append(running, grant.Ticket)
				}
			}
		}
		for _, id := range running {
			now += time.Millisecond
			crashes++
			d.Failed(now, id, retry.Broken)
		}
		if round == 0 {
			g.Expect(crashes).To(gomega.BeNumerically(">=", 3), "of requests that broke off")
			crashes = 0
		}
	}
	g.Expect(crashes).To(gomega.BeNumerically("<=", 3), "of requests that broke off, after the first round")
	g.Expect(refusedWith(d.Submit(now, Ticket{ID: 1000, Service: "s", Caller: "c", Cost: 10, Fingerprint: fingerprint}))).To(gomega.Equal(result.Quarantined))
	granted(g, d.Submit(now+time.Minute, Ticket{ID: 1001, Service: "s", Caller: "c", Cost: 10, Fingerprint: 7}))
}

// TestPartThatAnotherEntryAnsweredIsNotBlamedSoon has crashes beside requests with a
// part that another entry has got answers to just before.
func TestPartThatAnotherEntryAnsweredIsNotBlamedSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	d, other := newDispatcher("u", "v", "w", "x", "y", "z"), newDispatcher("u", "v", "w", "x", "y", "z")
	const part = 66
	ask := func(d *Dispatcher, now clock.Instant, id uint64, parts ...uint64) []Action {
		return d.Submit(now, Ticket{ID: id, Service: "s", Caller: "c", Cost: 10, Fingerprint: id, Parts: parts})
	}
	tell := func(now clock.Instant, to, from *Dispatcher, actions []Action) {
		for _, a := range actions {
			if report, ok := a.(ReportEvidence); ok {
				for _, reply := range to.MergeEvidence(now, report.Evidence) {
					from.MergeEvidence(now, reply.(ReportEvidence).Evidence)
				}
			}
		}
	}
	granted(g, ask(other, time.Second, 1, part))
	other.Finish(2*time.Second, 1)
	now := 10 * time.Second
	for id := uint64(10); id < 13; id++ {
		granted(g, ask(d, now, 100+id, 30))
		granted(g, ask(d, now, id, part))
		now += 3 * time.Second
		tell(now, other, d, d.Failed(now, id, retry.Broken))
		d.Finish(now+time.Second, 100+id)
		now += 2 * time.Second
	}
	granted(g, ask(d, now, 20, part))
}

// announcementOf is an announcement of a release.
func announcementOf(release, id string) upstream.Announcement {
	a := announcement(id, 1, 1, time.Hour)
	a.Release = release
	return a
}

// TestStreamGoesOnAtItsReleaseOnly guards against incident ORDER in this core: streams
// went on at upstreams of another release than the one that began them.
func TestStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher()
	for id, release := range map[string]string{"u": "v1", "v": "v2", "w": "v1", "x": "v2"} {
		d.Announce(0, announcementOf(release, id))
	}
	releases := map[string]string{"u": "v1", "v": "v2", "w": "v1", "x": "v2"}
	now := clock.Instant(0)
	for id := uint64(1); id <= 20; id++ {
		now += 30 * time.Second
		release := releases[granted(g, submit(d, now, id, true))]
		d.Bind(id, release)
		for range 2 {
			now += 5 * time.Second
			g.Expect(releases[granted(g, d.Failed(now, id, retry.Silent))]).To(gomega.Equal(release), "request %d", id)
		}
		d.Finish(now, id)
	}
	// A crash makes a suspect of the request, which has to run alone, of its release.
	now += time.Minute
	release := releases[granted(g, submit(d, now, 30, true))]
	d.Bind(30, release)
	g.Expect(releases[granted(g, d.Failed(now, 30, retry.Broken))]).To(gomega.Equal(release))
	d.Finish(now, 30)

	now += time.Minute
	ask := func(id uint64, release string) []Action {
		return d.Submit(now, Ticket{ID: id, Service: "s", Caller: "c", Cost: 10, Repeatable: true, Fingerprint: id, Query: route.Query{Binding: upstream.BoundTo(release)}})
	}
	g.Expect(releases[granted(g, ask(40, "v2"))]).To(gomega.Equal("v2"))
	g.Expect(refusedWith(ask(41, "v3"))).To(gomega.Equal(result.NoUpstream), "a stream whose release is gone")
	for _, id := range []string{"v", "x"} {
		leaving := announcementOf("v2", id)
		leaving.Sequence, leaving.Leaving = 2, true
		d.Announce(now, leaving)
	}
	g.Expect(refusedWith(d.Failed(now, 40, retry.Reclaimed))).To(gomega.Equal(result.UpstreamUnknown))
}

func TestOutageBlamesNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("v", "w", "x", "y", "z")
	for id := uint64(1); id <= 3; id++ {
		granted(g, submit(d, 0, id, true))
	}
	// The first is a suspect that runs alone when the upstreams of the others
	// crash.
	granted(g, d.Failed(0, 1, retry.Broken))
	d.Failed(0, 2, retry.Broken)
	d.Failed(0, 3, retry.Broken)
	g.Expect(refusedWith(d.Failed(0, 1, retry.Broken))).NotTo(gomega.Equal(result.Quarantined))
	for id := uint64(1); id <= 3; id++ {
		g.Expect(d.suspects.quarantined(0, id)).To(gomega.BeFalse())
	}
}

// oracle is the expected state of one ticket.
type oracle struct {
	repeatable bool
	// ended says that the ticket was answered, refused or withdrawn.
	mayHaveRun, running, ended bool
	upstream                   string
}

// TestTicketsAgainstOracle lets upstreams announce themselves, leave, restart and
// fail at random while tickets run: no new work goes to an upstream that is
// leaving or whose lease has expired, no ticket runs on two upstreams at once, a
// ticket that may have run and isn't repeatable isn't sent again, and every
// ticket ends once.
func TestTicketsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher()
		now := clock.Instant(0)
		tickets := map[uint64]*oracle{}
		leaving, expires := map[string]bool{}, map[string]clock.Instant{}
		sequence, id := uint64(1), uint64(0)
		check := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Grant:
					o := tickets[a.Ticket]
					switch {
					case o.ended || o.running:
						t.Fatalf("ticket %d was granted although ended is %t and running is %t", a.Ticket, o.ended, o.running)
					case o.mayHaveRun && !o.repeatable:
						t.Fatalf("ticket %d was sent a second time", a.Ticket)
					case leaving[a.Upstream.ID] || now >= expires[a.Upstream.ID]:
						t.Fatalf("ticket %d was sent to %s, which is leaving or has an expired lease", a.Ticket, a.Upstream.ID)
					}
					o.running, o.upstream = true, a.Upstream.ID
				case Refuse:
					o := tickets[a.Ticket]
					if o.ended {
						t.Fatalf("ticket %d ended twice", a.Ticket)
					}
					if o.mayHaveRun && a.Err.Ran == result.RanNo {
						t.Fatalf("ticket %d may have run, but its refusal says that it did not", a.Ticket)
					}
					o.ended, o.running = true, false
				case UpstreamLeaving:
					if o := tickets[a.Ticket]; !o.running || !leaving[o.upstream] {
						t.Fatalf("ticket %d on upstream %q: unexpected UpstreamLeaving", a.Ticket, o.upstream)
					}
				}
			}
		}
		running := func(t *rapid.T) uint64 {
			for try := range id {
				n := 1 + (try+rapid.Uint64Range(0, id).Draw(t, "from"))%id
				if o := tickets[n]; o.running {
					return n
				}
			}
			t.Skip("no ticket is running")
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "upstream")
				sequence++
				a := announcement(name, sequence/20+1, sequence, time.Duration(rapid.IntRange(1, 5).Draw(t, "lease"))*time.Second)
				a.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				if held, ok := d.directory.Get(name); ok && held.Incarnation == a.Incarnation && held.Leaving {
					d.Announce(now, a)
					return
				}
				leaving[name], expires[name] = a.Leaving, now+a.Lease
				check(d.Announce(now, a))
			},
			"submit": func(t *rapid.T) {
				id++
				tickets[id] = &oracle{repeatable: rapid.Bool().Draw(t, "repeatable")}
				check(d.Submit(now, Ticket{
					ID: id, Service: "s", Rank: rapid.IntRange(0, 1).Draw(t, "rank"), Caller: fmt.Sprint(id % 3), Cost: 10,
					Repeatable: tickets[id].repeatable, Fingerprint: id,
				}))
			},
			"fail": func(t *rapid.T) {
				n := running(t)
				f := rapid.SampledFrom([]retry.Failure{retry.NotSent, retry.Refused, retry.Broken, retry.Silent, retry.Reclaimed}).Draw(t, "failure")
				tickets[n].running = false
				tickets[n].mayHaveRun = tickets[n].mayHaveRun || f.MayHaveRun()
				check(d.Failed(now, n, f))
			},
			"finish": func(t *rapid.T) {
				n := running(t)
				tickets[n].running, tickets[n].ended = false, true
				check(d.Finish(now, n))
			},
			"withdraw": func(t *rapid.T) {
				if id == 0 {
					t.Skip("no ticket")
				}
				n := rapid.Uint64Range(1, id).Draw(t, "ticket")
				if tickets[n].ended {
					t.Skip("the ticket has ended")
				}
				tickets[n].ended, tickets[n].running = true, false
				check(d.Withdraw(now, n))
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond
				check(d.Tick(now))
			},
			"": func(t *rapid.T) {
				open := 0
				for _, o := range tickets {
					if !o.ended {
						open++
					}
				}
				if d.Open() != open {
					t.Fatalf("%d open tickets, want %d", d.Open(), open)
				}
			},
		})
	})
}

// TestSilentUpstreamsAreLeftForFreeSlotsOnly guards against requests that are given up since
// their upstream is silent for a moment: no other one had room, or several left for one slot.
func TestSilentUpstreamsAreLeftForFreeSlotsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("u1", "u2")
	at := map[string][]uint64{}
	for id := uint64(1); id <= 4; id++ {
		u := granted(g, submit(d, 0, id, true))
		at[u] = append(at[u], id)
	}
	g.Expect(at).To(gomega.HaveLen(2))
	silent, other := at["u1"], at["u2"]
	for _, id := range silent {
		g.Expect(d.Move(time.Second, id)).To(gomega.BeEmpty(), "the other upstream is full")
	}
	d.Finish(time.Second, other[0])
	g.Expect(granted(g, d.Move(time.Second, silent[0]))).To(gomega.Equal("u2"))
	g.Expect(d.Move(time.Second, silent[1])).To(gomega.BeEmpty(), "the free slot is taken")
	for _, id := range append(silent, other[1]) {
		g.Expect(d.Finish(time.Second, id)).To(gomega.BeEmpty())
	}
	for _, s := range d.State(time.Second) {
		for _, u := range s.Upstreams {
			g.Expect(u.Outstanding).To(gomega.BeZero(), u.ID)
		}
	}
}

// TestCallsThatMayNotBeRepeatedAreNotMoved guards against a second run.
func TestCallsThatMayNotBeRepeatedAreNotMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDispatcher("u1", "u2")
	granted(g, submit(d, 0, 1, false))
	g.Expect(d.Move(time.Minute, 1)).To(gomega.BeEmpty())
	g.Expect(d.Finish(time.Minute, 1)).To(gomega.BeEmpty())
}
