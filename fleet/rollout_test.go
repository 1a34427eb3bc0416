package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// fakeSplit assigns what the test says, and allows what rollout.Split documents: a request of the
// new release's share may go to both, unless it was reverted, and another one only to the old one
// before the last step.
type fakeSplit struct {
	assignNew, reverted, last, nothing bool
	assigned                           int
	sent, answered                     []string
}

const oldRelease, newRelease = "v1", "v2"

func (s *fakeSplit) Active(clock.Instant, string) bool { return true }

func (s *fakeSplit) Appeared(_ clock.Instant, _, _ string) {}

func (s *fakeSplit) Assign(clock.Instant, string) rollout.Assignment {
	s.assigned++
	return rollout.Assignment{Number: 1, New: s.assignNew || s.last}
}

func (s *fakeSplit) Allows(_ clock.Instant, _ string, a rollout.Assignment, release string, bound bool, _ int) bool {
	switch {
	case s.nothing || release == newRelease && s.reverted:
		return false
	case release == newRelease:
		return a.New || s.last || bound
	}
	return true
}

func (s *fakeSplit) Prefers(_ string, a rollout.Assignment, release string) bool {
	return (release == newRelease) == (a.New || s.last)
}

func (s *fakeSplit) Sent(_ clock.Instant, service, route, _, upstream string) {
	s.sent = append(s.sent, service+" "+route+" "+upstream)
}

func (s *fakeSplit) Answered(_ clock.Instant, service, route, _, upstream string, good bool, took time.Duration) {
	s.answered = append(s.answered, fmt.Sprintf("%s %s %s %t %d", service, route, upstream, good, took.Milliseconds()))
}

// rolloutFleet has upstreams with one slot; their releases are the first two letters of their IDs.
func rolloutFleet(s *fakeSplit, ids ...string) *Fleet {
	f := plainFleet()
	f.options.Split = s
	for i, id := range ids {
		m := memberOf(id[:2], id, uint16(i+1))
		m.Slots = 1
		f.Merge(0, []upstream.Member{m})
	}
	return f
}

func rolloutTicket(id uint64) Ticket {
	t := newTicket(id)
	t.Route, t.MaxRuns = "r", 4
	return t
}

// TestReleaseOfARequest guards against requests that get to a release which the split keeps from
// them, and against some that aren't served though it lets them go elsewhere.
func TestReleaseOfARequest(t *testing.T) {
	noUpstream, saturated := result.NoUpstream.String(), result.Saturated.String()
	submit := func(f *Fleet, id uint64) string { return destination(f.Submit(second, rolloutTicket(id))) }
	fail := func(f *Fleet, id uint64) string { return destination(f.Failed(second, id, retry.Broken)) }
	bound := func(f *Fleet, id uint64, release string) string {
		ticket := rolloutTicket(id)
		ticket.Binding = upstream.BoundTo(release)
		return destination(f.Submit(second, ticket))
	}
	for name, c := range map[string]struct {
		split     fakeSplit
		upstreams []string
		do        func(f *Fleet, s *fakeSplit) []string
		want      []string
	}{
		"preferred over a better ranking": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v2a"},
			func(f *Fleet, _ *fakeSplit) []string {
				f.upstreams["v2a"].slowness = maxSlowness
				return []string{submit(f, 1)}
			},
			[]string{"v2a"},
		},
		"kept over retries, then fallen back": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v1b", "v2a", "v2b"},
			func(f *Fleet, s *fakeSplit) []string {
				first := submit(f, 1)
				s.assignNew = false
				return []string{first, fail(f, 1), fail(f, 1)}
			},
			[]string{"v2a", "v2b", "v1a"},
		},
		"kept over hedges": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v2a", "v2b"},
			func(f *Fleet, s *fakeSplit) []string {
				first := submit(f, 1)
				s.assignNew = false
				return []string{first, destination(f.Hedge(3*second, 1, 2, second))}
			},
			[]string{"v2a", "v2b"},
		},
		"new release without room": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v2a"},
			func(f *Fleet, _ *fakeSplit) []string { return []string{submit(f, 1), submit(f, 2), submit(f, 3)} },
			[]string{"v2a", "v1a", ""},
		},
		"new release stalled": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v2a", "v2b"},
			func(f *Fleet, _ *fakeSplit) []string {
				f.upstreams["v2b"].running, f.upstreams["v2b"].Slots = 1, 4
				return []string{submit(f, 1), destination(f.Hedge(3*second, 1, 2, second))}
			},
			[]string{"v2a", "v1a"},
		},
		"old release never to the new one": {
			fakeSplit{},
			[]string{"v1a", "v2a"},
			func(f *Fleet, _ *fakeSplit) []string { return []string{submit(f, 1), submit(f, 2), fail(f, 1)} },
			[]string{"v1a", "", result.UpstreamUnknown.String()},
		},
		"old release gone": {
			fakeSplit{},
			[]string{"v1a", "v2a"},
			func(f *Fleet, _ *fakeSplit) []string {
				gone := f.upstreams["v1a"].Member
				gone.Ended = true
				f.Merge(0, []upstream.Member{gone})
				return []string{submit(f, 1)}
			},
			[]string{noUpstream},
		},
		"last step": {
			fakeSplit{},
			[]string{"v1a", "v2a"},
			func(f *Fleet, s *fakeSplit) []string {
				first, waits := submit(f, 1), submit(f, 2)
				s.last = true
				return []string{first, waits, destination(f.SplitChanged(second)), submit(f, 3)}
			},
			[]string{"v1a", "", "v2a", ""},
		},
		"stream of the new release": {
			fakeSplit{},
			[]string{"v1a", "v2a"},
			func(f *Fleet, s *fakeSplit) []string {
				first := bound(f, 1, newRelease)
				f.Finish(second, 1, true, true)
				s.reverted = true
				return []string{first, bound(f, 2, newRelease), bound(f, 3, oldRelease)}
			},
			[]string{"v2a", noUpstream, "v1a"},
		},
		"reverted": {
			fakeSplit{assignNew: true},
			[]string{"v1a", "v2a"},
			func(f *Fleet, s *fakeSplit) []string {
				first := submit(f, 1)
				s.reverted = true
				stays := f.tickets[1].upstream.ID
				f.Finish(second, 1, true, true)
				return []string{first, stays, submit(f, 2), fail(f, 2)}
			},
			[]string{"v2a", "v2a", "v1a", result.UpstreamUnknown.String()},
		},
		"nothing allowed": {
			fakeSplit{nothing: true},
			[]string{"v1a", "v2a"},
			func(f *Fleet, _ *fakeSplit) []string {
				first, second := submit(f, 1), submit(f, 2)
				kept, late := destination(f.Tick(1700*time.Millisecond)), f.Tick(2*time.Second)
				refusal, _ := late[0].(Refuse)
				return []string{first, second, kept, destination(late), refusal.Err.RetryAfter.String(), string(refusal.Err.Ran)}
			},
			[]string{"", "", "", saturated, "1s", "no"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			split := c.split
			gomega.NewWithT(t).Expect(c.do(rolloutFleet(&split, c.upstreams...), &split)).To(gomega.Equal(c.want))
		})
	}
}

// TestEvidenceOfAnAttempt guards against attempts that are counted twice, or by what isn't the
// upstream's doing, and against failures that aren't counted.
func TestEvidenceOfAnAttempt(t *testing.T) {
	at := func(ms int) clock.Instant { return second + time.Duration(ms)*time.Millisecond }
	for name, c := range map[string]struct {
		stream bool
		end    func(f *Fleet)
		want   []string
	}{
		"answered": {end: func(f *Fleet) {
			f.Progress(at(10), 1)
			f.Finish(at(30), 1, true, true)
		}, want: []string{"s r v1a true 30"}},
		"stream": {stream: true, end: func(f *Fleet) {
			f.Progress(at(10), 1)
			f.Progress(at(20), 1)
			f.Finish(at(30), 1, true, true)
		}, want: []string{"s r v1a true 10"}},
		"cut off": {end: func(f *Fleet) { f.Finish(at(30), 1, false, false) }, want: []string{"s r v1a false 30"}},
		"stream broken off": {stream: true, end: func(f *Fleet) {
			f.Progress(at(10), 1)
			f.Failed(at(30), 1, retry.Broken)
		}, want: []string{"s r v1a false 10"}},
		"5xx passed on": {end: func(f *Fleet) { f.Failed(at(30), 1, retry.Errored) }, want: []string{"s r v1a false 30"}},
		"broken":        {end: func(f *Fleet) { f.Failed(at(30), 1, retry.Broken) }, want: []string{"s r v1a false 30"}},
		"refused":       {end: func(f *Fleet) { f.Failed(at(30), 1, retry.Refused) }},
		"not sent":      {end: func(f *Fleet) { f.Failed(at(30), 1, retry.NotSent) }},
		"caller left":   {end: func(f *Fleet) { f.Withdraw(at(5000), 1) }},
		"deadline":      {end: func(f *Fleet) { f.Withdraw(10*second, 1) }, want: []string{"s r v1a false 9000"}},
		"silent, hedge answered": {end: func(f *Fleet) {
			f.Hedge(at(2000), 1, 2, second)
			f.Replace(at(2100), 1, retry.Silent)
			f.Finish(at(2200), 2, true, true)
		}, want: []string{"s r v1a false 2100", "s r v1b true 200"}},
		"hedge given up": {end: func(f *Fleet) {
			f.Hedge(at(2000), 1, 2, second)
			f.Withdraw(at(2100), 2)
			f.Finish(at(2200), 1, true, true)
		}, want: []string{"s r v1a true 2200"}},
		"hedge broken": {end: func(f *Fleet) {
			f.Hedge(at(2000), 1, 2, second)
			f.HedgeFailed(at(2100), 2, retry.Broken)
			f.Finish(at(2200), 1, true, true)
		}, want: []string{"s r v1b false 100", "s r v1a true 2200"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			split := &fakeSplit{}
			f := rolloutFleet(split, "v1a", "v1b")
			ticket := rolloutTicket(1)
			ticket.Stream, ticket.MaxRuns = c.stream, 2
			f.Submit(second, ticket)
			c.end(f)
			g.Expect(split.answered).To(gomega.Equal(c.want))
			g.Expect(split.sent[0]).To(gomega.Equal("s r v1a"))
			g.Expect(split.assigned).To(gomega.Equal(1))
			for id := range f.tickets {
				f.Withdraw(at(5000), id)
			}
			g.Expect(split.answered).To(gomega.HaveLen(len(c.want)), "once for each attempt")
		})
	}
}

// BenchmarkPlacementBySplit is BenchmarkPlacement with a split that has no say, and with one that has.
func BenchmarkPlacementBySplit(b *testing.B) {
	for name, split := range map[string]Split{"idle": rollout.NewSplit(rollout.Limits{}, nil), "active": &countingSplit{}} {
		b.Run(name, func(b *testing.B) { benchmarkPlacement(b, func(f *Fleet) { f.options.Split = split }) })
	}
}

// countingSplit is a fakeSplit that keeps no list.
type countingSplit struct{ fakeSplit }

func (*countingSplit) Sent(_ clock.Instant, _, _, _, _ string) {}

func (*countingSplit) Answered(_ clock.Instant, _, _, _, _ string, _ bool, _ time.Duration) {}
