package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// Split decides which releases of a service a request may go to, and is told what came of it.
// *rollout.Split describes its methods.
type Split interface {
	Active(now clock.Instant, service string) bool
	Appeared(now clock.Instant, service, release string)
	Gone(service, release string)
	Assign(now clock.Instant, service string) rollout.Assignment
	Allows(now clock.Instant, service string, a rollout.Assignment, release string, bound bool, attempt int) bool
	Prefers(service string, a rollout.Assignment, release string) bool
	Sent(now clock.Instant, service, route, release, upstream string)
	Begin(now clock.Instant, service, route, release, upstream string, took time.Duration)
	Answered(now clock.Instant, service, route, release, upstream string, good bool, took time.Duration)
}

var _ Split = (*rollout.Split)(nil)

// ReleaseChoice is how a rollout chose the release of a grant's upstream.
type ReleaseChoice struct {
	// Rollout is the order's number; 0 if none ran when the request came.
	Rollout uint64
	Reason  ReleaseReason
}

// ReleaseChoice is how the release of the grant's upstream was chosen.
func (g *Grant) ReleaseChoice() ReleaseChoice {
	if g.release == nil {
		return ReleaseChoice{}
	}
	return *g.release
}

// ReleaseReason says why a request was given to an upstream of its release.
type ReleaseReason string

const (
	// ReleaseAny means that the split has no say on the service.
	ReleaseAny ReleaseReason = ""
	// ReleaseByShare means that the request is one of the new release's share.
	ReleaseByShare ReleaseReason = "share"
	// ReleaseByRemainder means that it isn't.
	ReleaseByRemainder ReleaseReason = "remainder"
	// ReleaseByFallback means that the release to which the request was assigned had no room
	// or failed it.
	ReleaseByFallback ReleaseReason = "fallback"
	// ReleaseByStream means that the release has begun the request's stream.
	ReleaseByStream ReleaseReason = "stream"
)

// heldBackRetryAfter is the Retry-After of a request that no release may get: keepers confirm the
// state of the rollouts, or change it, within about a second.
const heldBackRetryAfter = time.Second

// otherReleasePenalty is for an upstream that isn't of the ticket's preferred release: more than any
// other difference of rankings.
const otherReleasePenalty = time.Hour

// gatedReleases is the number of releases of which a gate keeps the verdicts; a service has two or
// three at a time.
const gatedReleases = 4

// releaseGate is what the split says of a ticket, with the verdicts at an instant.
type releaseGate struct {
	split      Split
	assignment rollout.Assignment

	now      clock.Instant
	verdicts [gatedReleases]releaseVerdict
	known    int
}

type releaseVerdict struct {
	release            string
	allowed, preferred bool
}

// askSplit renews the ticket's gate, by which its upstreams are chosen.
func (f *Fleet) askSplit(now clock.Instant, t *ticket) {
	switch {
	case f.options.Split == nil:
	case !f.options.Split.Active(now, t.Service):
		t.gate = nil
	case t.gate == nil:
		t.gate = &releaseGate{split: f.options.Split, now: now}
	default:
		t.gate.now, t.gate.known = now, 0
	}
}

// assign assigns a new ticket to a release.
func (f *Fleet) assign(now clock.Instant, t *ticket) {
	if f.askSplit(now, t); t.gate != nil {
		t.gate.assignment = t.gate.split.Assign(now, t.Service)
	}
}

// verdict is what the split says of the release. All upstreams of a release have the same one.
func (t *ticket) verdict(release string) releaseVerdict {
	for i := range t.gate.known {
		if t.gate.verdicts[i].release == release {
			return t.gate.verdicts[i]
		}
	}
	v := releaseVerdict{
		release:   release,
		allowed:   t.gate.split.Allows(t.gate.now, t.Service, t.gate.assignment, release, t.Bound && t.Release == release, t.attempts),
		preferred: t.gate.split.Prefers(t.Service, t.gate.assignment, release),
	}
	if t.gate.known < gatedReleases {
		t.gate.verdicts[t.gate.known] = v
		t.gate.known++
	}
	return v
}

// allows reports whether the ticket may go to the upstream's release.
func (t *ticket) allows(u *upstreamView) bool {
	return t.gate == nil || t.verdict(u.Release).allowed
}

// prefers reports whether the upstream's release goes before others that are allowed.
func (t *ticket) prefers(u *upstreamView) bool {
	return t.gate == nil || t.verdict(u.Release).preferred
}

// goesFirst reports whether the upstream goes before those of other releases, whatever their
// rankings: it is of the preferred release, answers, and will do so in time.
func (s *service) goesFirst(now clock.Instant, u *upstreamView, t *ticket, e estimate) bool {
	return t.prefers(u) && !u.stalled(now) && s.meetsTarget(now, t, e)
}

// heldBack reports whether upstreams serve to which the ticket may go only once the split says
// otherwise. A stream isn't held back, as its release may never get requests again, and nor is a
// ticket that may go to a release whose upstreams are gone.
func (t *ticket) heldBack(s *service) bool {
	if t.gate == nil || t.Bound {
		return false
	}
	serving := false
	for _, u := range s.upstreams {
		if t.allows(u) {
			return false
		}
		serving = serving || u.serves() && !slices.Contains(t.failedOn, u.ID)
	}
	return serving
}

// heldBackError is the answer to a ticket that was held back for too long.
func heldBackError(t *ticket) *result.Error {
	return result.New(result.Saturated, result.RanNo, "no release of %q that serves may get the request now", t.Service).WithRetry(heldBackRetryAfter)
}

// inheritGate gives a hedge the assignment of its ticket.
func (t *ticket) inheritGate(of *ticket) {
	if of.gate != nil {
		gate := *of.gate
		t.gate = &gate
	}
}

// releaseChoice says how the release of the upstream was chosen, nil if no order had a say.
func (t *ticket) releaseChoice(u *upstreamView) *ReleaseChoice {
	if t.gate == nil {
		return nil
	}
	c := &ReleaseChoice{Rollout: t.gate.assignment.Number, Reason: ReleaseByRemainder}
	switch {
	case t.Bound:
		c.Reason = ReleaseByStream
	case !t.prefers(u):
		c.Reason = ReleaseByFallback
	case t.gate.assignment.New:
		c.Reason = ReleaseByShare
	}
	return c
}

// observeSent tells the split of an attempt that begins.
func (f *Fleet) observeSent(now clock.Instant, t *ticket, u *upstreamView) {
	if t.observed = t.gate != nil; t.observed {
		t.gate.split.Sent(now, t.Service, t.Route, u.Release, u.ID)
	}
}

// observeBegin tells the split of the first event of a stream.
func (f *Fleet) observeBegin(t *ticket) {
	if t.observed && t.Stream {
		f.options.Split.Begin(t.beganAt, t.Service, t.Route, t.upstream.Release, t.upstream.ID, t.beganAt-t.sentAt)
	}
}

// observeAnswer tells the split how the present attempt of the ticket ended, once.
func (f *Fleet) observeAnswer(now clock.Instant, t *ticket, good bool) {
	if !t.observed {
		return
	}
	t.observed = false
	took := now - t.sentAt
	if t.Stream && t.answerBegan {
		took = rollout.Began
	}
	f.options.Split.Answered(now, t.Service, t.Route, t.upstream.Release, t.upstream.ID, good, took)
}

// observeFailure tells the split of a failed attempt, unless the failure says nothing of the
// upstream's release: the request didn't run there.
func (f *Fleet) observeFailure(now clock.Instant, t *ticket, failure retry.Failure) {
	switch failure {
	case retry.Broken, retry.Silent, retry.Errored:
		f.observeAnswer(now, t, false)
	default:
		t.observed = false
	}
}

// observeWithdrawal tells the split of an attempt that had no whole answer when the request's
// deadline passed, if it had the time in which answers are due. Other attempts that are
// withdrawn are the caller's doing, or another attempt has answered.
func (f *Fleet) observeWithdrawal(now clock.Instant, t *ticket) {
	if now >= t.Deadline && now-t.sentAt >= max(t.Target, minServiceTime) {
		f.observeAnswer(now, t, false)
	}
	t.observed = false
}

// appeared tells the split which releases serve, and which don't any more.
func (f *Fleet) appeared(now clock.Instant) {
	if f.options.Split == nil {
		return
	}
	for _, s := range f.services {
		var serving []string
		for _, u := range s.upstreams {
			if u.serves() && !slices.Contains(serving, u.Release) {
				serving = append(serving, u.Release)
				f.options.Split.Appeared(now, s.name, u.Release)
			}
		}
		for _, release := range s.serving {
			if !slices.Contains(serving, release) {
				f.options.Split.Gone(s.name, release)
			}
		}
		s.serving = serving
	}
}

// SplitChanged schedules the waiting tickets anew after a change of the split.
func (f *Fleet) SplitChanged(now clock.Instant) []Action {
	f.scheduleAll(now)
	return f.takeActions()
}

// MayAsk reports whether the upstream at the address may get a request of this entry's own, such
// as a health check. A release gets none before a rollout gives it traffic, as these count too.
func (f *Fleet) MayAsk(now clock.Instant, address netip.AddrPort) bool {
	u, ok := f.atAddress(address)
	if !ok || !f.Accepts(now, address) {
		return false
	}
	split := f.options.Split
	return split == nil || len(u.Services) == 0 || !split.Active(now, u.Services[0]) ||
		split.Allows(now, u.Services[0], rollout.Assignment{}, u.Release, false, 0)
}

// Bounds of the load of an upstream in a canary phase.
const (
	// canaryUpstreams are loaded at a time, so that one that fails by itself isn't taken for
	// a bad release.
	canaryUpstreams = 3
	// maxCanaryLoad is the fraction of an upstream's slots that a canary phase fills, and
	// maxCanaryDelay that of a request's target after which the first token may be expected.
	maxCanaryLoad  = 0.8
	maxCanaryDelay = 0.6
)

// canaryGroupPenalty is above all rankings of upstreams that would serve in time.
const canaryGroupPenalty = 10 * time.Second

// canaryGroups numbers the groups in which a canary phase's requests fill the upstreams that may get
// them, the same at every entry; nil for other requests. Spread over all upstreams, the share of
// a canary phase would never load one as the whole service does.
func (s *service) canaryGroups(t *ticket) map[*upstreamView]int {
	if t.gate == nil || !t.gate.assignment.Canary {
		return nil
	}
	type candidate struct {
		upstream *upstreamView
		order    uint64
	}
	var list []candidate
	for _, u := range s.upstreams {
		if u.serves() && t.prefers(u) {
			list = append(list, candidate{u, mixHash(xxhash.Sum64String(u.ID) ^ t.gate.assignment.Number)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	groups := make(map[*upstreamView]int, len(list))
	for i, c := range list {
		groups[c.upstream] = i / canaryUpstreams
	}
	return groups
}

// canaryRanking returns the ranking of an upstream of the group for a request of a canary phase. Groups
// that aren't full go before others, and within a group the usual ranking decides.
func canaryRanking(u *upstreamView, t *ticket, e estimate, group int) time.Duration {
	running := u.running + u.otherWork.Running
	if float64(running+1) > maxCanaryLoad*float64(u.Slots) || t.Target > 0 && e.firstToken > time.Duration(maxCanaryDelay*float64(t.Target)) {
		return e.ranking
	}
	return e.ranking - otherReleasePenalty/2 + time.Duration(group)*canaryGroupPenalty
}
