package fleet

import (
	"flag"
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const second = time.Second

func member(id string, port uint16, incarnation uint64) upstream.Member {
	return upstream.Member{Announcement: upstream.Announcement{
		ID: id, Incarnation: incarnation, Sequence: 1, Zone: "a", Slots: 4, Services: []string{"s"},
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
	}}
}

func plainFleet(members ...upstream.Member) *Fleet {
	f := New(Options{Zone: "a", RetryRatio: 0.2, RetrySlack: 50, Entries: 1})
	f.SetConfig(0, &config.Revision{Services: []config.Service{{Name: "s"}}})
	f.Merge(0, members)
	return f
}

func engineFleet(slots, memory int, members ...upstream.Member) *Fleet {
	f := New(Options{Zone: "a", RetryRatio: 0.2, RetrySlack: 50, Entries: 1})
	f.SetConfig(0, &config.Revision{Services: []config.Service{{Name: "s", Engine: &config.Engine{Slots: slots, MemoryTokens: memory}}}})
	f.Merge(0, members)
	return f
}

func newTicket(id uint64) Ticket {
	return Ticket{ID: id, Service: "s", MaxRuns: 2, Repeatable: true, Target: second, Deadline: 10 * second, Fingerprint: id}
}

// destination returns the upstream of the first Grant or Refuse's result code,
// or "" without either.
func destination(actions []Action) string {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			return a.Upstream.ID
		case Refuse:
			return a.Err.Code.String()
		}
	}
	return ""
}

func TestNobodyServes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet()
	g.Expect(destination(f.Submit(0, newTicket(1)))).To(gomega.Equal(result.NoUpstream.String()))
	leaving := member("u1", 1, 1)
	leaving.Leaving = true
	f.Merge(0, []upstream.Member{leaving})
	g.Expect(destination(f.Submit(0, newTicket(2)))).To(gomega.Equal(result.NoUpstream.String()))
}

func TestLeavingIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1))
	leaving := member("u1", 1, 1)
	leaving.Sequence, leaving.Leaving = 5, true
	f.Merge(0, []upstream.Member{leaving})
	late := member("u1", 1, 1)
	late.Sequence = 9
	f.Merge(0, []upstream.Member{late})
	g.Expect(destination(f.Submit(0, newTicket(1)))).To(gomega.Equal(result.NoUpstream.String()))
	f.Merge(0, []upstream.Member{member("u1", 1, 2)})
	g.Expect(destination(f.Submit(0, newTicket(2)))).To(gomega.Equal("u1"), "restarted under the same ID")
}

// TestAddressGoesToTheNewest reuses an address, where the announcement of its
// former owner arrives late.
func TestAddressGoesToTheNewest(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("new", 1, 9))
	f.Merge(0, []upstream.Member{member("old", 1, 3)})
	for i := uint64(1); i <= 4; i++ {
		g.Expect(destination(f.Submit(0, newTicket(i)))).To(gomega.Equal("new"))
	}
}

// TestUpstreamThatLeavesMakesRoomAtItsAddress guards against a sound upstream that gets nothing, as
// another one, which has left its address, is recorded with a later start.
func TestUpstreamThatLeavesMakesRoomAtItsAddress(t *testing.T) {
	left, sound := leaving(member("left", 1, 9)), member("sound", 1, 5)
	for name, order := range map[string][]upstream.Member{"left is known first": {left, sound}, "sound is known first": {sound, left}} {
		f := plainFleet(order[0])
		f.Merge(0, order[1:])
		gomega.NewWithT(t).Expect(destination(f.Submit(0, newTicket(1)))).To(gomega.Equal("sound"), name)
	}
}

// TestMovedUpstreamLeavesItsAddress guards against an upstream that gets no requests any more: one
// restarts under its ID at another address, and a third one starts at its former address.
func TestMovedUpstreamLeavesItsAddress(t *testing.T) {
	for _, c := range []struct {
		name             string
		moved, successor uint64
	}{
		{"the successor is newer", 2, 3},
		{"the successor is older", 3, 2},
		{"the upstream moves without a restart", 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := plainFleet(member("u1", 1, 1))
			moved, successor := member("u1", 2, c.moved), member("u2", 1, c.successor)
			moved.Sequence = 2
			f.Merge(0, []upstream.Member{moved})
			g.Expect(f.Accepts(0, member("u1", 1, 1).Address)).To(gomega.BeFalse())
			f.Merge(0, []upstream.Member{successor})
			g.Expect(f.Accepts(0, moved.Address)).To(gomega.BeTrue())
			g.Expect(f.Accepts(0, successor.Address)).To(gomega.BeTrue())
			g.Expect(f.upstreams["u1"].present()).To(gomega.BeTrue())
			g.Expect(f.upstreams["u2"].present()).To(gomega.BeTrue())
			g.Expect(f.idByAddress).To(gomega.HaveLen(2))
		})
	}
}

// TestRetryByKindOfFailure fails the first attempt with each kind of failure.
func TestRetryByKindOfFailure(t *testing.T) {
	cases := []struct {
		failure    retry.Failure
		repeatable bool
		want       string
	}{
		{retry.NotSent, false, "u2"},
		{retry.Refused, false, "u2"},
		{retry.Broken, false, result.UpstreamUnknown.String()},
		{retry.Silent, false, result.UpstreamUnknown.String()},
		{retry.Errored, false, result.UpstreamUnknown.String()},
		{retry.Broken, true, "u2"},
		{retry.Silent, true, "u2"},
		{retry.Errored, true, "u2"},
	}
	for _, c := range cases {
		g := gomega.NewWithT(t)
		f := plainFleet(member("u1", 1, 1))
		ticket := newTicket(1)
		ticket.Repeatable = c.repeatable
		f.Submit(0, ticket)
		f.Merge(0, []upstream.Member{member("u2", 2, 1)})
		g.Expect(destination(f.Failed(0, 1, c.failure))).To(gomega.Equal(c.want), "%+v", c)
	}
}

// TestAttemptsCountRunsOnly has two upstreams refuse before one breaks.
func TestAttemptsCountRunsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1), member("u4", 4, 1))
	ticket := newTicket(1)
	ticket.MaxRuns = 1
	f.Submit(0, ticket)
	g.Expect(destination(f.Failed(0, 1, retry.Refused))).To(gomega.HavePrefix("u"))
	g.Expect(destination(f.Failed(0, 1, retry.NotSent))).To(gomega.HavePrefix("u"))
	g.Expect(destination(f.Failed(0, 1, retry.Broken))).To(gomega.Equal(result.UpstreamUnknown.String()))
}

// TestBudgetHoldsOverAllEntries sends requests through eight entries, and each
// attempt fails: the retries stay within the shared budget in any window.
func TestBudgetHoldsOverAllEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		entries = 8
		ratio   = 0.2
		slack   = 50.0
		window  = 10 * second
	)
	var fleets []*Fleet
	for range entries {
		f := New(Options{Zone: "a", RetryRatio: ratio, RetrySlack: slack, Entries: entries})
		f.SetConfig(0, &config.Revision{Services: []config.Service{{Name: "s"}}})
		for i := uint16(1); i <= 40; i++ {
			f.Merge(0, []upstream.Member{member(fmt.Sprint("u", i), i, 1)})
		}
		fleets = append(fleets, f)
	}
	var requests, retries []clock.Instant
	now := clock.Instant(0)
	for id := uint64(1); id <= 3000; id++ {
		now += 10 * time.Millisecond
		f := fleets[id%entries]
		ticket := newTicket(id)
		ticket.MaxRuns, ticket.Deadline = 5, now+second
		requests = append(requests, now)
		for at := destination(f.Submit(now, ticket)); at != "" && at[0] == 'u' && len(at) <= 3; {
			if at = destination(f.Failed(now, id, retry.Refused)); at != "" && at[0] == 'u' && len(at) <= 3 {
				retries = append(retries, now)
			}
		}
	}
	count := func(instants []clock.Instant, from, to clock.Instant) float64 {
		n := 0.0
		for _, at := range instants {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := clock.Instant(0); from < now; from += second {
		g.Expect(count(retries, from, from+window)).To(gomega.BeNumerically("<=", ratio*count(requests, from, from+window)+slack), "from %v", from)
	}
	g.Expect(len(retries)).To(gomega.BeNumerically(">", 100), "the budget is used")
}

// TestUrgentFirst fills the only upstream and then queues tickets of two ranks,
// the urgent ones last: these are granted first.
func TestUrgentFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(1, 0, func() upstream.Member { m := member("u1", 1, 1); m.Slots = 1; return m }())
	f.service("s").slotTime = 10 * time.Millisecond
	f.Submit(0, newTicket(1))
	for id := uint64(2); id <= 5; id++ {
		ticket := newTicket(id)
		ticket.Rank = int(5-id) / 2
		g.Expect(f.Submit(0, ticket)).To(gomega.BeEmpty())
	}
	var order []uint64
	running := uint64(1)
	for range 4 {
		for _, a := range f.Finish(0, running, true, true) {
			if grant, ok := a.(Grant); ok {
				running = grant.Ticket
				order = append(order, running)
			}
		}
	}
	g.Expect(order).To(gomega.Equal([]uint64{4, 5, 2, 3}))
}

// TestLateWorkIsRefusedAtOnce gives an engine such a long prefill that a new
// request can't start in time: it is refused within 600 ms.
func TestLateWorkIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(64, 0, func() upstream.Member { m := member("u1", 1, 1); m.Slots = 64; return m }())
	long := newTicket(1)
	long.PromptTokens, long.Target = 200_000, 10*second
	g.Expect(destination(f.Submit(0, long))).To(gomega.Equal("u1"))
	short := newTicket(2)
	short.PromptTokens, short.Target = 500, 500*time.Millisecond
	actions := append(f.Submit(0, short), f.Tick(600*time.Millisecond)...)
	g.Expect(destination(actions)).To(gomega.Equal(result.Saturated.String()))
}

// TestFewLongAnswersLeaveTimeToWait guards against requests that are refused while they could still
// be answered in time, as one of forty answers takes three times the target and the others take
// some milliseconds.
func TestFewLongAnswersLeaveTimeToWait(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1))
	now := clock.Instant(second)
	for id := range uint64(400) {
		took := 5 * time.Millisecond
		if id%40 == 39 {
			took = 1500 * time.Millisecond
		}
		f.Submit(now, newTicket(id))
		now += took
		f.Finish(now, id, true, true)
	}
	waiting := &ticket{Ticket: Ticket{Target: 500 * time.Millisecond}, arrivedAt: now}
	g.Expect(f.services["s"].latestStart(waiting) - now).To(gomega.Equal(waiting.Target - minServiceTime))
}

// TestMemoryReserveStaysFree sends long requests to an engine until it
// has no room: a reserve of its KV memory must stay free.
func TestMemoryReserveStaysFree(t *testing.T) {
	g := gomega.NewWithT(t)
	const memory = 100_000
	f := engineFleet(64, memory, func() upstream.Member { m := member("u1", 1, 1); m.Slots = 64; return m }())
	tokens := 0
	for id := uint64(1); id < 30; id++ {
		ticket := newTicket(id)
		ticket.PromptTokens, ticket.OutputTokens, ticket.Target = 9_000, 1_000, 100*second
		if destination(f.Submit(0, ticket)) == "u1" {
			tokens += 10_000
		}
	}
	g.Expect(tokens).To(gomega.BeNumerically("<=", maxMemoryFraction*memory))
	g.Expect(tokens).To(gomega.BeNumerically(">", memory/2))
}

// TestEntriesAgreeOnAPrefix schedules requests with shared documents at entries
// without reports of each other: each document goes to one upstream.
func TestEntriesAgreeOnAPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	var members []upstream.Member
	for i := uint16(1); i <= 8; i++ {
		m := member(fmt.Sprint("u", i), i, 1)
		m.Slots = 64
		members = append(members, m)
	}
	used := map[string]bool{}
	for document := uint64(1); document <= 40; document++ {
		places := map[string]bool{}
		for range 6 {
			f := engineFleet(64, 0, members...)
			ticket := newTicket(1)
			ticket.PromptTokens = 8000
			ticket.PromptParts = []call.PromptPart{{ID: 7, Tokens: 500}, {ID: document, Tokens: 5000}, {ID: 1e6 + document, Tokens: 2500}}
			places[destination(f.Submit(0, ticket))] = true
		}
		g.Expect(places).To(gomega.HaveLen(1))
		for place := range places {
			used[place] = true
		}
	}
	g.Expect(len(used)).To(gomega.BeNumerically(">=", 6), "documents spread over the upstreams")
}

// TestSlowAndSilentUpstreamsAreAvoided makes one of two engines eight times slower,
// and then lets the chosen one send nothing: new requests go to the other.
func TestSlowAndSilentUpstreamsAreAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(8, 0, member("slow", 1, 1), member("good", 2, 1))
	now := clock.Instant(0)
	places := map[string]int{}
	for id := uint64(1); id <= 60; id++ {
		now += 700 * time.Millisecond
		ticket := newTicket(id)
		ticket.PromptTokens, ticket.Deadline = 1000, now+10*second
		at := destination(f.Submit(now, ticket))
		took := 30 * time.Millisecond
		if at == "slow" {
			took *= 8
		}
		f.Progress(now+took, id)
		f.Finish(now+took, id, true, true)
		if id > 20 {
			places[at]++
		}
	}
	g.Expect(places["good"]).To(gomega.BeNumerically(">=", 38))

	now += second
	ticket := newTicket(100)
	at := destination(f.Submit(now, ticket))
	now += 2 * second
	g.Expect(f.Stalled(now, 100, second)).To(gomega.BeTrue())
	g.Expect(destination(f.Submit(now, newTicket(101)))).NotTo(gomega.Equal(at))
}

// TestSilentUpstreamIsKeptWithoutAnother leaves a request at its silent upstream
// if no other may run it: a late answer is better than none.
func TestSilentUpstreamIsKeptWithoutAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet(member("u1", 1, 1))
	f.Submit(0, newTicket(1))
	g.Expect(f.Stalled(5*second, 1, second)).To(gomega.BeFalse(), "there is no other upstream")
	f.Merge(0, []upstream.Member{member("u2", 2, 1)})
	g.Expect(f.Stalled(5*second, 1, second)).To(gomega.BeTrue())
	once := newTicket(2)
	once.MaxRuns = 1
	f.Submit(0, once)
	g.Expect(f.Stalled(5*second, 2, second)).To(gomega.BeFalse(), "it may run only once")
}

// TestCrashingRequestIsRefused crashes each upstream that runs a certain request:
// it is quarantined, while other requests on those upstreams are served.
func TestCrashingRequestIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := plainFleet()
	now := clock.Instant(0)
	crash := func(round uint64) {
		f.Merge(now, []upstream.Member{member("u1", 1, round)})
		bad, neighbour := newTicket(2*round), newTicket(2*round+1)
		bad.Fingerprint, bad.Repeatable = 666, false
		f.Submit(now, bad)
		f.Submit(now, neighbour)
		f.Failed(now, 2*round, retry.Broken)
		f.Failed(now, 2*round+1, retry.Broken)
		now += second
		probe := newTicket(1000 + round)
		f.Submit(now, probe)
		f.Failed(now, 1000+round, retry.NotSent)
		now += 10 * second
	}
	for round := uint64(1); round <= suspect.QuarantineCrashes; round++ {
		crash(round)
	}
	f.Merge(now, []upstream.Member{member("u1", 1, 50)})
	bad := newTicket(5000)
	bad.Fingerprint = 666
	g.Expect(destination(f.Submit(now, bad))).To(gomega.Equal(result.Suspected.String()))
	neighbour := newTicket(5001)
	neighbour.Fingerprint = 3
	g.Expect(destination(f.Submit(now, neighbour))).To(gomega.Equal("u1"))
}

// TestCountsNeverDrift runs random operations: when all tickets have ended, no
// upstream has running requests, backlog or memory left.
func TestCountsNeverDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := engineFleet(4, 50_000, member("u1", 1, 1), member("u2", 2, 1), member("u3", 3, 1))
		now := clock.Instant(0)
		open := map[uint64]bool{}
		record := func(actions []Action) {
			for _, a := range actions {
				if r, ok := a.(Refuse); ok {
					delete(open, r.Ticket)
				}
			}
		}
		next := uint64(0)
		pick := func() uint64 {
			if next == 0 {
				return 0
			}
			return uint64(rapid.IntRange(1, int(next)).Draw(t, "ticket"))
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0, 1:
				next++
				ticket := newTicket(next)
				ticket.PromptTokens, ticket.OutputTokens, ticket.Rank = rapid.IntRange(0, 20_000).Draw(t, "prompt"), 500, rapid.IntRange(0, 2).Draw(t, "rank")
				ticket.Deadline = now + 5*second
				open[next] = true
				record(f.Submit(now, ticket))
			case 2:
				record(f.Progress(now, pick()))
			case 3:
				id := pick()
				record(f.Finish(now, id, rapid.Bool().Draw(t, "success"), true))
				delete(open, id)
			case 4:
				record(f.Failed(now, pick(), retry.Failure(rapid.IntRange(0, int(retry.Errored)).Draw(t, "failure"))))
			case 5:
				id := pick()
				record(f.Withdraw(now, id))
				delete(open, id)
			case 6:
				n := rapid.IntRange(1, 3).Draw(t, "upstream")
				m := member(fmt.Sprint("u", n), uint16(n), uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")))
				record(f.Merge(now, []upstream.Member{m}))
			}
			record(f.Tick(now))
			if f.Open() != len(open) {
				t.Fatalf("%d open tickets, want %d", f.Open(), len(open))
			}
		}
		for id := range open {
			f.Withdraw(now, id)
		}
		for _, s := range f.State(now) {
			if s.Running != 0 || s.BacklogTokens != 0 || s.MemoryTokens != 0 {
				t.Fatalf("work is left after all tickets ended: %+v", s)
			}
		}
	})
}

// TestEndedUpstreamsAreForgotten replaces upstreams for a long day: only those
// that serve, and those that ended lately, may take memory.
func TestEndedUpstreamsAreForgotten(t *testing.T) {
	for name, serviceOf := range map[string]func(i int) string{
		"of one service":      func(int) string { return "s" },
		"of unknown services": func(i int) string { return "s" + strconv.Itoa(i) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := New(Options{Zone: "a"})
			now := clock.Instant(time.Minute)
			const interval = 10 * time.Second
			for i := range 500 {
				now += interval
				m := upstream.Member{Announcement: upstream.Announcement{
					ID: "u" + strconv.Itoa(i), Incarnation: uint64(i + 1), Sequence: 1, Services: []string{serviceOf(i)},
					Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)), Slots: 1, Lease: time.Minute,
				}}
				f.Merge(now, []upstream.Member{m})
				m.Ended = true
				f.Merge(now+time.Second, []upstream.Member{m})
			}
			kept := int(endedRetention/interval) + 2
			g.Expect(len(f.upstreams)).To(gomega.BeNumerically("<=", kept))
			g.Expect(len(f.idByAddress)).To(gomega.BeNumerically("<=", kept))
			g.Expect(len(f.services)).To(gomega.BeNumerically("<=", kept))
			g.Expect(len(f.service("s").upstreams)).To(gomega.BeNumerically("<=", kept))
		})
	}
}

// TestRequestsWithoutAnyUpstreamAreRefused guards against a request that waits for an upstream
// after the last one is gone, or is told to come back as late as a long queue would ask for.
func TestRequestsWithoutAnyUpstreamAreRefused(t *testing.T) {
	ended := member("u1", 1, 1)
	ended.Ended = true
	replaced := member("u2", 2, 1)
	replaced.Address, replaced.Services = ended.Address, []string{"other"}
	for name, m := range map[string]upstream.Member{"it has ended": ended, "it leaves": leaving(member("u1", 1, 1)), "its address is another one's": replaced} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := plainFleet(member("u1", 1, 1))
			// The running ones go on.
			last := uint64(0)
			for waits := false; !waits; {
				last++
				ticket := newTicket(last)
				ticket.Target, ticket.Deadline = time.Hour, time.Hour
				waits = len(f.Submit(0, ticket)) == 0
			}
			g.Expect(f.Merge(0, []upstream.Member{m})).To(gomega.BeEmpty())
			actions := f.Tick(0)
			g.Expect(actions).To(gomega.HaveLen(1))
			refusal, ok := actions[0].(Refuse)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(refusal.Ticket).To(gomega.Equal(last))
			g.Expect(refusal.Err.Code).To(gomega.Equal(result.NoUpstream))
			g.Expect(refusal.Err.Ran).To(gomega.Equal(result.RanNo))
			g.Expect(refusal.Err.RetryAfter).To(gomega.Equal(time.Second))
			for id := uint64(1); id < last; id++ {
				f.Finish(0, id, true, true)
			}
			g.Expect(f.Open()).To(gomega.BeZero())
		})
	}
}
