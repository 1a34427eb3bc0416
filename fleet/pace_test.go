package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// learn makes the entries of an emulation learn from a leader's board, to which each reports
// every 0.3 s.
func (e *emulation) learn(board *capacity.Board) {
	for i, f := range e.entries {
		f.options.Name, f.options.LearnPlain = fmt.Sprint("entry-", i), true
		for _, u := range f.upstreams {
			f.initPace(f.service("s"), u)
		}
		e.schedulePaceReport(f, board)
	}
}

func (e *emulation) schedulePaceReport(f *Fleet, board *capacity.Board) {
	const delay = 2 * time.Millisecond
	e.schedule(time.Duration((0.9+0.2*e.random.Float64())*float64(300*time.Millisecond)), func() {
		report := f.Capacity()
		e.schedule(delay, func() {
			board.Observe(e.now, f.options.Name, 1, report)
			update := board.Since(report)
			e.schedule(delay, func() { f.SetPaces(e.now, update) })
		})
		e.schedulePaceReport(f, board)
	})
}

// largeLoad is the load of the herd tests: short and long prompts, some with common documents,
// at 65 entries with reports 0.3 s old before 60 engines in four zones.
func largeLoad(factor float64) []*requestKind {
	return []*requestKind{
		{perSecond: 60 * factor, rank: 6, target: 2500 * time.Millisecond, commonTokens: 528, documents: 165, documentTokens: 4700, ownTokens: 6600, outputTokens: 384},
		{perSecond: 160 * factor, rank: 0, target: 500 * time.Millisecond, commonTokens: 113, documents: 177, documentTokens: 78, ownTokens: 610, outputTokens: 294},
		{perSecond: 140 * factor, rank: 3, target: 600 * time.Millisecond, commonTokens: 386, documents: 164, documentTokens: 205, ownTokens: 1600, outputTokens: 24},
	}
}

type outcome struct {
	late, refused, queued, recomputed float64
	// missed is the part of the starts that missed their target by queueing at an engine while another
	// one of the entry's zone was idle.
	missed float64
}

func (e *emulation) outcome(warmUp, duration time.Duration) outcome {
	starts, queued, missed := 0, 0, 0
	e.onRun = func(t *emulatedTicket, n *engine) {
		starts++
		if n.prefillFreeAt-e.now < 30*time.Millisecond {
			return
		}
		for _, other := range e.engines {
			if other.prefillFreeAt <= e.now && other.running < engineSlots && other.member.Zone == t.entry.options.Zone {
				queued++
				if n.prefillFreeAt-t.arrivedAt > t.kind.target {
					missed++
				}
				return
			}
		}
	}
	e.simulate(warmUp, 0)
	starts, queued, missed = 0, 0, 0
	e.simulate(0, duration)
	late, answered := 0, 0
	for _, k := range e.kinds {
		late += k.late
		answered += k.answered
	}
	return outcome{
		late: float64(late) / float64(answered), refused: float64(e.refused) / float64(answered+e.refused),
		queued: float64(queued) / float64(starts), missed: float64(missed) / float64(starts), recomputed: float64(e.recomputedTokens) / float64(e.sharedTokens),
	}
}

func unevenPace(e *emulation, from clock.Instant, paces ...float64) {
	for i := range len(e.engines) {
		n := e.engines[fmt.Sprint("u", i)]
		before, pace := n.pace, paces[i%len(paces)]
		n.pace = func(now clock.Instant) float64 {
			if now < from && before != nil {
				return before(now)
			}
			return pace
		}
	}
}

// spells makes each engine 2.5 times slower for 0.6 s at a time, so that 15% are at any time.
func (e *emulation) spells() {
	for i := range len(e.engines) {
		n := e.engines[fmt.Sprint("u", i)]
		before, from, until := n.pace, clock.Instant(0), clock.Instant(0)
		n.pace = func(now clock.Instant) float64 {
			for now >= until {
				from = until + time.Duration(e.random.ExpFloat64()*float64(3400*time.Millisecond))
				until = from + 600*time.Millisecond
			}
			pace := 1.0
			if before != nil {
				pace = before(now)
			}
			if now >= from {
				pace *= 2.5
			}
			return pace
		}
	}
}

// TestEntriesDontMeetAtOneEngine guards against entries that all go to the engine that was idle at
// the time of the last reports: 65 entries with reports 0.3 s old, 60 engines, 1,000 prompts of 1,600
// tokens a second that share nothing, 0.47 of the capacity, a target of 150 ms; and largeLoad, whose
// shared prompt parts must not be computed again more often.
func TestEntriesDontMeetAtOneEngine(t *testing.T) {
	g := gomega.NewWithT(t)
	var unique, shared [2]outcome
	for i := range 2 {
		for _, c := range []struct {
			result *outcome
			kinds  []*requestKind
		}{
			{&unique[i], []*requestKind{{perSecond: 1000, target: 150 * time.Millisecond, commonTokens: 1, documents: 1 << 30, documentTokens: 1, ownTokens: 1600, outputTokens: 300}}},
			{&shared[i], largeLoad(1.6)},
		} {
			e := newEmulation(5, 65, 60, c.kinds...)
			if i == 1 {
				e.learn(capacity.NewBoard(1))
			}
			*c.result = e.outcome(4*second, 8*second)
		}
	}
	t.Logf("unique prompts: %+v without, %+v with", unique[0], unique[1])
	t.Logf("shared prompts: %+v without, %+v with", shared[0], shared[1])
	g.Expect(unique[1].missed).To(gomega.BeNumerically("<", 0.01))
	g.Expect(unique[1].queued).To(gomega.BeNumerically("<", unique[0].queued/2))
	g.Expect(shared[1].late).To(gomega.BeNumerically("<", 0.01))
	g.Expect(shared[1].recomputed).To(gomega.BeNumerically("<=", shared[0].recomputed))
}

// TestEntriesBreakTiesDifferently guards against entries with the same view that choose the same
// engine: 30 entries before ten idle engines. A bias must not outweigh a zone or cached tokens.
func TestEntriesBreakTiesDifferently(t *testing.T) {
	g := gomega.NewWithT(t)
	chosen := map[string]int{}
	for i := range 30 {
		var members []upstream.Member
		for j := range 11 {
			members = append(members, member(fmt.Sprint("u", j), uint16(j+1), 1))
		}
		members[10].Zone = "b"
		f := engineFleet(8, 0, members...)
		f.options.Name = fmt.Sprint("entry-", i)
		for _, u := range f.upstreams {
			f.initPace(f.service("s"), u)
		}
		chosen[destination(f.Submit(second, newTicket(1)))]++

		cached := newTicket(2)
		cached.PromptTokens, cached.PromptParts = 100, []call.PromptPart{{ID: 7, Tokens: 60}, {ID: 8, Tokens: 40}}
		f.upstreams["u7"].recordPrefixes(second, cached.PromptParts)
		g.Expect(destination(f.Submit(second, cached))).To(gomega.Equal("u7"))
	}
	t.Log(chosen)
	g.Expect(len(chosen)).To(gomega.BeNumerically(">=", 8))
	g.Expect(chosen["u10"]).To(gomega.BeZero(), "of another zone")
}

// TestPacesOfUnevenEngines guards against paces that tell of queues and spells instead of the
// engines: largeLoad at 65 entries before 60 engines at 0.625, 1 and 1.67 of the median's time, each
// 2.5 times slower for 0.6 s at a time, 15% of them at any time. Even ones with the same spells must
// count as even and be served as without learning.
func TestPacesOfUnevenEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	run := func(learn bool, paces ...float64) (*emulation, outcome) {
		e := newEmulation(5, 65, 60, largeLoad(1)...)
		unevenPace(e, 0, paces...)
		e.spells()
		if learn {
			e.learn(capacity.NewBoard(1))
		}
		return e, e.outcome(8*second, 12*second)
	}
	paces := []float64{0.625, 1, 1.67}
	_, without := run(false, paces...)
	e, with := run(true, paces...)
	t.Logf("uneven: %+v without, %+v with", without, with)
	near := 0
	for i := range 60 {
		if math.Abs(math.Log(e.entries[0].upstreams[fmt.Sprint("u", i)].pace/paces[i%3])) < 0.22 {
			near++
		}
	}
	t.Logf("%d of 60 paces are right", near)
	g.Expect(near).To(gomega.BeNumerically(">=", 54))
	g.Expect(with.late).To(gomega.BeNumerically("<=", without.late+0.01))

	_, without = run(false, 1)
	e, with = run(true, 1)
	t.Logf("even: %+v without, %+v with", without, with)
	g.Expect(e.entries[0].Paces().Uneven).To(gomega.BeNumerically("<=", 2))
	g.Expect(with.late).To(gomega.BeNumerically("<=", without.late+0.01))
}

// TestPlainUpstreamsArePacedOnRequest guards against plain upstreams that are chosen by learned
// paces, which serves less in time with many entries, where only those of engines are to be.
func TestPlainUpstreamsArePacedOnRequest(t *testing.T) {
	for _, c := range []struct{ plain, learnPlain, learns bool }{{false, false, true}, {false, true, true}, {true, false, false}, {true, true, true}} {
		g := gomega.NewWithT(t)
		f := New(Options{Name: "entry", Zone: "a", LearnPlain: c.learnPlain})
		service := config.Service{Name: "s"}
		if !c.plain {
			service.Engine = &config.Engine{Slots: 8}
		}
		// A directory may come before the configuration.
		f.Merge(0, []upstream.Member{member("u0", 1, 1)})
		f.SetConfig(0, &config.Revision{Services: []config.Service{service}})
		f.Merge(0, []upstream.Member{member("u1", 2, 1)})
		for _, u := range f.upstreams {
			g.Expect(u.spread).To(gomega.Equal(c.learns), "%+v %s", c, u.ID)
		}
	}
}

// TestAnEntryWithoutWordActsAsBefore guards against an entry that changes its ways without a pace: the
// slowness of an upstream stays what it is until a pace comes, is measured against the pace then, and
// the pace fades without a leader.
func TestAnEntryWithoutWordActsAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	f := engineFleet(8, 0, member("u0", 1, 1), member("u1", 2, 1))
	f.options.Name = "entry"
	u := f.upstreams["u0"]
	u.slowness = 2
	f.SetPaces(second, nil)
	g.Expect(u.slowness).To(gomega.Equal(2.0))
	f.SetPaces(second, &capacity.Update{Term: 1, Version: 1, Paces: []capacity.Pace{{Upstream: "u0", Incarnation: 1, Percent: 160}}})
	g.Expect(u.pace).To(gomega.Equal(1.6))
	g.Expect(u.slowness * u.pace).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(f.State(3 * second)).To(gomega.ContainElement(gomega.And(gomega.HaveField("ID", "u0"), gomega.HaveField("PaceAge", 2*second), gomega.HaveField("Pace", 1.6))))
	f.Tick(25 * second)
	g.Expect(u.pace).To(gomega.Equal(1.0))
	g.Expect(u.slowness).To(gomega.Equal(1.0), "measured long ago")

	prompt := &ticket{Ticket: Ticket{ID: 1, Service: "s", PromptTokens: 5000}}
	before := f.service("s").estimate(25*second, "a", u, prompt).firstToken
	f.SetPaces(25*second, &capacity.Update{Term: 1, Version: 2, Paces: []capacity.Pace{{Upstream: "u0", Incarnation: 1, Percent: 50}}})
	g.Expect(f.service("s").estimate(25*second, "a", u, prompt).firstToken).To(gomega.Equal(before / 2))
	off := engineFleet(8, 0, member("u0", 1, 1))
	off.SetPaces(second, &capacity.Update{Term: 1, Version: 1, Paces: []capacity.Pace{{Upstream: "u0", Incarnation: 1, Percent: 160}}})
	g.Expect(off.Capacity()).To(gomega.BeNil(), "with learnPace = false")
	g.Expect(off.upstreams["u0"].pace).To(gomega.Equal(1.0))
}

// BenchmarkChoose is a decision between 60 upstreams with 512 requests waiting.
func BenchmarkChoose(b *testing.B) {
	for _, plain := range []bool{false, true} {
		b.Run(fmt.Sprintf("plain=%v", plain), func(b *testing.B) {
			var members []upstream.Member
			update := capacity.Update{Term: 1, Version: 1}
			for i := range 60 {
				m := member(fmt.Sprint("u", i), uint16(i+1), 1)
				m.Slots = 64
				members = append(members, m)
				update.Paces = append(update.Paces, capacity.Pace{Upstream: m.ID, Incarnation: 1, Percent: 60 + i})
			}
			f := plainFleet(members...)
			if !plain {
				f = engineFleet(64, 0, members...)
			}
			f.options.Name, f.options.LearnPlain, f.options.Random = "entry", true, rand.New(rand.NewPCG(1, 1)).Float64
			for _, u := range f.upstreams {
				f.initPace(f.service("s"), u)
			}
			f.SetPaces(second, &update)
			s := f.service("s")
			for i := range 512 {
				s.queue = append(s.queue, &ticket{Ticket: newTicket(uint64(i))})
			}
			t := s.queue[511]
			for b.Loop() {
				f.choose(second, s, t)
			}
		})
	}
}
