package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// fakeSplit allows what rollout.Split documents: a request of the new release's share (v2) may go
// to both, and another one only to the old one before the last step.
type fakeSplit struct {
	set                            map[string]bool
	assigned, sent, answered, gone []string
	// began is the time of the attempt that has begun to answer.
	began time.Duration
}

func (s *fakeSplit) Active(clock.Instant, string) bool                            { return true }
func (s *fakeSplit) Appeared(_ clock.Instant, _, _ string)                        {}
func (s *fakeSplit) Gone(_, release string)                                       { s.gone = append(s.gone, release) }
func (s *fakeSplit) Begin(_ clock.Instant, _, _, _, _ string, took time.Duration) { s.began = took }

func (s *fakeSplit) Sent(_ clock.Instant, _, _, _, u string) { s.sent = append(s.sent, u) }

func (s *fakeSplit) Assign(_ clock.Instant, service string) rollout.Assignment {
	s.assigned = append(s.assigned, service)
	return rollout.Assignment{Number: 1, New: s.set["new"] || s.set["last"], Canary: s.set["canary"]}
}

func (s *fakeSplit) Allows(_ clock.Instant, _ string, a rollout.Assignment, release string, bound bool, _ int) bool {
	return !s.set["nothing"] && (release == "v1" || !s.set["reverted"] && (a.New || s.set["last"] || bound))
}

func (s *fakeSplit) Prefers(_ string, a rollout.Assignment, release string) bool {
	return (release == "v2") == (a.New || s.set["last"])
}

func (s *fakeSplit) Answered(_ clock.Instant, service, route, _, u string, good bool, took time.Duration) {
	if took == rollout.Began {
		took = s.began
	}
	s.answered = append(s.answered, fmt.Sprint(service, "/", route, " ", u, " ", good, " ", took.Milliseconds()))
}

// play carries out the operations, each of which may have an argument and a time in milliseconds
// (name:argument@time), on a fleet of upstreams with one slot, whose releases begin their IDs. It
// returns where the requests went, and the split's reports.
func play(s *fakeSplit, upstreams, operations string) (went string) {
	f := plainFleet()
	f.options.Split, s.set = s, map[string]bool{}
	for i, id := range strings.Fields(upstreams) {
		m := memberOf(id[:2], id, uint16(i+1))
		m.Slots = 1
		f.Merge(0, []upstream.Member{m})
	}
	id := uint64(0)
	for _, operation := range strings.Fields(operations) {
		call, at, _ := strings.Cut(operation, "@")
		name, argument, _ := strings.Cut(call, ":")
		after, _ := time.ParseDuration("0" + at + "ms")
		now := second + after
		ticket := newTicket(id + 1)
		ticket.Route, ticket.MaxRuns = "r", 4
		switch name {
		case "submit", "stream", "bound":
			id++
			ticket.Stream, ticket.Binding = name == "stream", upstream.Binding{Release: argument, Bound: name == "bound"}
			went += " " + destination(f.Submit(now, ticket))
		case "broken", "errored", "refused", "notSent":
			went += " " + destination(f.Failed(now, id, map[string]retry.Failure{"broken": retry.Broken, "errored": retry.Errored, "refused": retry.Refused}[name]))
		case "hedge":
			went += " " + destination(f.Hedge(now, id, 99, second))
		case "hedgeBroken":
			f.HedgeFailed(now, 99, retry.Broken)
		case "hedgeDropped":
			f.Withdraw(now, 99)
		case "hedgeFirst":
			f.Replace(now, id, retry.Silent)
			id = 99
		case "progress":
			f.Progress(now, id)
		case "finish", "cut":
			f.Finish(now, id, name == "finish", true)
		case "withdraw":
			f.Withdraw(now, id)
		case "slow":
			f.upstreams[argument].slowness = maxSlowness
		case "stalled":
			f.upstreams[argument].running, f.upstreams[argument].Slots = 1, 4
		case "gone":
			f.upstreams[argument].Ended = true
		case "tick":
			for _, a := range f.Tick(now) {
				went += fmt.Sprint(" ", destination([]Action{a}), a.(Refuse).Err.RetryAfter, a.(Refuse).Err.Ran)
			}
		default:
			s.set[name] = !s.set[name]
			went += destination(f.SplitChanged(now))
		}
	}
	return strings.TrimPrefix(went, " ")
}

// TestReleaseOfARequest guards against requests that get to a release which the split keeps from
// them, and against some that aren't served though it lets them go elsewhere.
func TestReleaseOfARequest(t *testing.T) {
	for _, c := range []struct{ name, upstreams, operations, want string }{
		{"preferred over a better ranking", "v1a v2a", "new slow:v2a submit", "v2a"},
		{"kept over retries, then fallen back", "v1a v1b v2a v2b", "new submit new broken broken", "v2a v2b v1a"},
		{"kept over hedges", "v1a v2a v2b", "new submit new hedge@2000", "v2a v2b"},
		{"no room", "v1a v2a", "new submit submit submit", "v2a v1a "},
		{"stalled", "v1a v2a v2b", "new stalled:v2b submit hedge@2000", "v2a v1a"},
		{"old release never to the new one", "v1a v2a", "submit hedge@2000 submit", "v1a  "},
		{"no retry of the old release at the new one", "v1a v2a", "submit refused", "v1a upstreamRefused"},
		{"old release gone", "v1a v2a", "gone:v1a submit", "noUpstream"},
		{"last step", "v1a v2a", "submit submit last submit", "v1a v2a "},
		{"streams stay", "v1a v2a", "bound:v2 finish bound:v1", "v2a v1a"},
		{"stream of a reverted release", "v2a", "reverted bound:v2", "noUpstream"},
		{"reverted", "v1a v2a", "new submit reverted finish submit broken", "v2a v1a upstreamUnknown"},
		{"nothing allowed", "v1a v2a", "nothing submit tick@700 tick@1000", " saturated1sno"},
		{"waiting at the end, the new release full", "v1a v2a", "new submit new submit submit last gone:v1a tick@100", "v2a v1a "},
	} {
		gomega.NewWithT(t).Expect(play(&fakeSplit{}, c.upstreams, c.operations)).To(gomega.Equal(c.want), c.name)
	}
}

// TestEvidenceOfAnAttempt guards against attempts that are counted twice, or by what isn't the
// upstream's doing, and against failures that aren't counted.
func TestEvidenceOfAnAttempt(t *testing.T) {
	for _, c := range []struct{ operations, want string }{
		{"submit progress@10 finish@30", "s/r v1a true 30"},
		{"stream progress@10 progress@20 finish@30", "s/r v1a true 10"},
		{"submit cut@30", "s/r v1a false 30"},
		{"stream progress@10 broken@30", "s/r v1a false 10"},
		{"submit errored@30 finish@50", "s/r v1a false 30, s/r v1b true 20"},
		{"submit broken@30", "s/r v1a false 30"},
		{"submit refused@30", ""},
		{"submit notSent@30", ""},
		{"submit withdraw@5000", ""},
		{"submit withdraw@9000", "s/r v1a false 9000"},
		{"submit hedge@2000 hedgeFirst@2100 finish@2200", "s/r v1a false 2100, s/r v1b true 200"},
		{"submit hedge@2000 hedgeDropped@2100 finish@2200", "s/r v1a true 2200"},
		{"submit hedge@2000 hedgeBroken@2100 finish@2200", "s/r v1b false 100, s/r v1a true 2200"},
	} {
		g, s := gomega.NewWithT(t), &fakeSplit{}
		went := play(s, "v1a v1b", c.operations+" withdraw@5000")
		g.Expect(strings.Join(s.answered, ", ")).To(gomega.Equal(c.want), c.operations)
		g.Expect(s.sent).To(gomega.Equal(strings.Fields(went)), c.operations)
		g.Expect(s.assigned).To(gomega.HaveLen(1), c.operations)
	}
}

// TestCanaryLoadsFewUpstreams guards against a release that is bad only under load and passes its
// trial, as the trial's requests are spread over all of its upstreams.
func TestCanaryLoadsFewUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots = 10
	split := &fakeSplit{set: map[string]bool{"new": true, "canary": true}}
	f := plainFleet()
	f.options.Split = split
	for i := range 12 {
		m := memberOf("v2", fmt.Sprint("v2-", i), uint16(i+1))
		m.Slots = slots
		f.Merge(0, []upstream.Member{m})
	}
	loaded := func(requests uint64) int {
		for id := range requests {
			f.Submit(0, Ticket{ID: id + 1, Service: "s", MaxRuns: 1, Target: time.Minute, Deadline: time.Minute})
		}
		n := 0
		for _, u := range f.upstreams {
			g.Expect(u.running).To(gomega.BeNumerically("<=", maxCanaryLoad*slots))
			if u.running > 0 {
				n++
			}
		}
		return n
	}
	g.Expect(loaded(canaryUpstreams * maxCanaryLoad * slots)).To(gomega.Equal(canaryUpstreams))
}

// TestReleasesThatAreGone guards against a split that takes a release for serving whose upstreams
// have ended.
func TestReleasesThatAreGone(t *testing.T) {
	g := gomega.NewWithT(t)
	split := &fakeSplit{set: map[string]bool{}}
	f := plainFleet()
	f.options.Split = split
	old := memberOf("v1", "v1-0", 1)
	f.Merge(0, []upstream.Member{old, memberOf("v2", "v2-0", 2)})
	g.Expect(split.gone).To(gomega.BeEmpty())
	old.Ended = true
	f.Merge(0, []upstream.Member{old})
	g.Expect(split.gone).To(gomega.Equal([]string{"v1"}))
}
