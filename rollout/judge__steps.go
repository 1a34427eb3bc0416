package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// trialSteps are the shares of the trial, with their durations as fractions of the rollout's
// time. Together they expose 0.06 of all requests, so that 0.04 are left for a fault that only
// shows at the full share.
var trialSteps = []struct{ share, duration float64 }{
	{0.02, 0.10}, {0.05, 0.13}, {0.10, 0.14}, {0.25, 0.055}, {0.50, 0.045},
}

// The trial ends in a step of a smaller share, in which the answers of the largest step arrive:
// at the full share a fault that shows only under load would exceed the bound before they do.
const (
	pauseStep  = 6
	pauseShare = 0.10
	fullStep   = 7
	// slowFactor is how many times slower the answers of a bad release are, and maxPause
	// the part of the rollout's time that waiting for them takes at most.
	slowFactor = 8
	maxPause   = 0.1
)

// Fractions of a rollout's time.
const (
	// anyUpstreams is when a trial begins with fewer upstreams than half of the old ones.
	anyUpstreams = 0.25
	// earliestFull and latestFull bound the beginning of the last step: a fault may show
	// only some seconds after the order, and the last step needs time for old requests to
	// end.
	earliestFull = 0.47
	latestFull   = 0.62
	// forcedFull is when a trial with little evidence goes on to the last step.
	forcedFull = 0.8
	// settled is when a rollout ends in any case, or settleTime before its deadline.
	settled    = 0.9
	settleTime = time.Second
	// maxStretch is how much longer a step lasts without evidence.
	maxStretch = 1.5
)

const (
	// minStep is the shortest time of a step: two reports of the entries.
	minStep = 250 * time.Millisecond
	// reactionTime is the time from a bad answer to the entries' learning of the revert: a
	// report's and a decision's interval, the commit and the message.
	reactionTime = 600 * time.Millisecond
	// sameRate and sameUpstreams bound the growth of the load of an upstream that counts as
	// none: the factor of the rate, and the fraction of the old upstreams.
	sameRate      = 1.3
	sameUpstreams = 0.8
	// reportTime is the time from an answer to its report, and commitTime that from a
	// decision to its effect at the entries.
	reportTime = 300 * time.Millisecond
	commitTime = 150 * time.Millisecond
	// healthyTime is how long a release has to stay healthy at the full share.
	healthyTime = time.Second
	// stepAnswers are the answers that end a step in its time, and rateRequests those that
	// make up a rate.
	stepAnswers  = 20
	rateRequests = 100
	// hurriedAttempts clear a release of four routes.
	hurriedAttempts = 80
	// goodAnswers allow the last step once the old release has no upstream.
	goodAnswers = 30
	// maxLeftOut is the fraction of the entries that may be silent while a step begins.
	maxLeftOut = 0.2
	// finalWait is the time before the deadline until which a new leader waits for reports.
	finalWait = 300 * time.Millisecond
)

// Fractions of the exposure bound.
const (
	// trialExposure is the most that the trial exposes, and leastExposure what it may expose
	// in any case, as it needs some evidence.
	trialExposure = 0.8
	leastExposure = 0.55
	// largestExposure is what the largest step of the trial may bring it to.
	largestExposure = 0.9
	// eagerExposure allows a larger share ahead of its time: with few requests the first
	// shares would bring no evidence.
	eagerExposure = 0.4
	// retryFactor is how many attempts a request may take at a bad release that has all.
	retryFactor = 1.5
	// laterRequests is the part of the present rate that is counted on until the deadline.
	laterRequests = 0.5
)

// decision is the situation of one rollout.
type decision struct {
	limits Limits
	now    clock.Instant
	*judgeCase
	state    ServiceState
	elapsed  time.Duration
	old, new counts
	// upstreams are those of the new release.
	upstreams, oldUpstreams int
	requests                float64
	rate                    float64
}

func (j *Judge) decide(now clock.Instant, c *judgeCase, st ServiceState, known bool, elapsed time.Duration) (Command, bool) {
	d := decision{limits: j.limits, now: now, judgeCase: c, state: st, elapsed: elapsed}
	if st.Removed {
		return d.end(Reverted, "no configuration names the service any more")
	}
	d.old, d.new = c.tally.sum()
	d.upstreams, d.oldUpstreams = st.Upstreams[c.rollout.To], others(st.Upstreams, c.rollout.To)
	if !known && d.new.answered > 0 {
		d.upstreams = 1
	}
	d.requests = float64(c.sumRequests())
	d.rate = d.recentRate()
	mean := d.requests / max(elapsed, minStep).Seconds()
	c.tally.sameLoad = d.rate <= sameRate*mean && float64(d.upstreams) >= sameUpstreams*float64(d.oldUpstreams)
	finding, bad := c.tally.verdict(now, conviction, d.upstreams, c.lost())
	c.finding = finding
	if bad {
		return d.end(Reverted, finding.String())
	}
	within := c.rollout.Within
	forced := max(min(d.part(settled), within-settleTime), within/2)
	switch {
	case elapsed >= forced:
		return d.settle()
	case !known:
		return Command{}, false
	case c.rollout.Share >= 1:
		return d.finish()
	default:
		return d.step()
	}
}

// part returns a fraction of the rollout's time.
func (d *decision) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(d.rollout.Within))
}

// recentRate is the higher one of the rates of requests since the order and lately.
func (d *decision) recentRate() float64 {
	rate := d.requests / max(d.elapsed, minStep).Seconds()
	list := d.judgeCase.requests
	if first, last := list[0], list[len(list)-1]; last.at-first.at > rateWindow/2 {
		rate = max(rate, float64(last.n-first.n)/(last.at-first.at).Seconds())
	}
	return rate
}

func (d *decision) end(phase Phase, reason string) (Command, bool) {
	e := &End{Service: d.rollout.Service, Number: d.rollout.Number, Phase: phase, Reason: reason, Elapsed: d.elapsed}
	if phase == Succeeded {
		releases := map[string]bool{}
		for _, counts := range []map[string]int{d.state.Upstreams, d.state.Running} {
			for release := range counts {
				releases[release] = release != d.rollout.To
			}
		}
		maps.DeleteFunc(releases, func(_ string, old bool) bool { return !old })
		e.Superseded = slices.Sorted(maps.Keys(releases))
	}
	return Command{End: e}, true
}

func (d *decision) advance(step int, share float64) (Command, bool) {
	r := d.rollout
	return Command{Advance: &Advance{Service: r.Service, Number: r.Number, Step: step, Share: share, Elapsed: d.elapsed}}, true
}

// inTouch reports whether the evidence is that of nearly all entries.
func (d *decision) inTouch() bool {
	n := d.reporting(d.now)
	return n > 0 && float64(n) >= (1-maxLeftOut)*float64(d.state.Entries)
}

// suspected reports whether the release looks worse than the old one, though not so much that
// the rollout ends.
func (d *decision) suspected() (Finding, bool) {
	by := suspicion
	if d.elapsed >= d.part(forcedFull) && !d.cleared(0) {
		by = doubt
	}
	return d.tally.verdict(d.now, by, d.upstreams, d.lost())
}

// settle ends the rollout when its time is nearly over.
func (d *decision) settle() (Command, bool) {
	if !d.inTouch() && d.elapsed < d.rollout.Within-finalWait {
		return Command{}, false
	}
	if d.upstreams == 0 {
		return d.end(Reverted, "the release has no upstream")
	}
	if d.requests == 0 && d.old.sent == 0 && d.new.sent == 0 {
		return d.end(Succeeded, "no requests")
	}
	if finding, bad := d.suspected(); bad {
		return d.end(Reverted, finding.String())
	}
	if d.new.answered == 0 || d.unanswered() {
		return d.end(Reverted, fmt.Sprintf("%d of %d attempts were answered", d.new.answered, d.new.sent))
	}
	return d.end(Succeeded, fmt.Sprintf("%d of %d answers were bad", d.new.bad, d.new.answered))
}

// unanswered reports whether most attempts at the new release are without an answer.
func (d *decision) unanswered() bool {
	return d.new.sent >= stepAnswers && d.new.answered < d.new.sent/10
}

// finish ends the rollout in its last step, once nothing needs the old release.
func (d *decision) finish() (Command, bool) {
	if d.now-d.stepSeenAt < max(healthyTime, d.slowTime()+reactionTime) || !d.inTouch() || d.upstreams == 0 ||
		d.state.Applied < d.state.Entries || others(d.state.Running, d.rollout.To) > 0 ||
		d.new.answered-d.stepAnswered < stepAnswers || d.unanswered() {
		return Command{}, false
	}
	if _, bad := d.suspected(); bad || !d.cleared(d.stepSeenAt) {
		return Command{}, false
	}
	return d.end(Succeeded, fmt.Sprintf("%d of %d answers were bad", d.new.bad, d.new.answered))
}

// step returns the next step of the trial, or the last step, if it is due.
func (d *decision) step() (Command, bool) {
	if d.upstreams == 0 {
		return Command{}, false
	}
	share, step := d.rollout.Share, d.rollout.Step
	since := d.elapsed - d.rollout.Elapsed
	if exposed := d.projected(share, reportTime+commitTime); share > trialSteps[0].share &&
		(exposed > d.trialBudget(share) || since >= minStep && exposed > d.trialBudget(0)) {
		return d.retreat()
	}
	switch {
	case share > 0 && since < minStep:
		return Command{}, false
	case !d.inTouch() && d.elapsed < d.part(forcedFull):
		return Command{}, false
	}
	if finding, bad := d.suspected(); bad {
		if d.elapsed >= d.part(forcedFull) {
			return d.end(Reverted, finding.String())
		}
		return Command{}, false
	}
	if d.oldUpstreams == 0 && d.new.answered-d.new.bad >= goodAnswers {
		return d.advance(fullStep, 1)
	}
	if share == 0 {
		if 2*d.upstreams >= d.oldUpstreams || d.elapsed >= d.part(anyUpstreams) {
			return d.advance(1, trialSteps[0].share)
		}
		return Command{}, false
	}
	if step >= pauseStep {
		return d.afterTrial()
	}
	// If slow answers take most of the trial, the attempts that tell have to be made at once.
	hurry := d.new.sent < hurriedAttempts && d.elapsed+d.slowTime()+reactionTime >= d.part(earliestFull)
	due := hurry || d.stepDue(step, since)
	if step < len(trialSteps) {
		next := trialSteps[step]
		untilFull := max(d.part(latestFull)-d.elapsed, minStep)
		if d.projected(next.share, untilFull+reactionTime) <= eagerExposure*d.limits.bound(d.requests) ||
			due && d.affords(next.share) {
			return d.advance(step+1, next.share)
		}
	}
	if due && !hurry {
		return d.advance(pauseStep, d.pauseShare())
	}
	return Command{}, false
}

// affords reports whether the exposure allows a short step at the share.
func (d *decision) affords(share float64) bool {
	step := share * d.rate * (minStep + commitTime).Seconds()
	return d.projected(d.rollout.Share, reportTime)+step <= d.trialBudget(share)
}

// retreat lowers the share as the trial has no exposure left, but for the largest step: without
// it, a fault under load would show at the full share only.
func (d *decision) retreat() (Command, bool) {
	step, largest := d.rollout.Step, len(trialSteps)
	if step < largest && d.inTouch() && d.affords(trialSteps[largest-1].share) {
		if _, bad := d.suspected(); !bad {
			return d.advance(largest, trialSteps[largest-1].share)
		}
	}
	return d.advance(max(step+1, pauseStep), trialSteps[0].share)
}

// pauseShare is the share at which the answers of the largest step are awaited.
func (d *decision) pauseShare() float64 {
	untilFull := max(d.part(latestFull)-d.elapsed, d.answerTime()) + reactionTime
	if share := d.rollout.Share; d.projected(share, untilFull) <= eagerExposure*d.limits.bound(d.requests) {
		return share
	}
	if d.projected(pauseShare, d.answerTime()+reactionTime) <= d.trialBudget(pauseShare) {
		return pauseShare
	}
	return trialSteps[0].share
}

// afterTrial begins the last step. While the evidence doesn't suffice, it raises the share again
// as far as the exposure allows.
func (d *decision) afterTrial() (Command, bool) {
	step, share := d.rollout.Step, d.rollout.Share
	if d.elapsed-d.rollout.Elapsed < d.answerTime() && d.elapsed < d.part(forcedFull) {
		return Command{}, false
	}
	if d.elapsed >= d.part(earliestFull) && d.mayTakeAll() {
		return d.advance(max(step+1, fullStep), 1)
	}
	for _, s := range trialSteps {
		if s.share > share && d.projected(s.share, d.answerTime()+reactionTime) <= d.trialBudget(0) {
			return d.advance(step+1, s.share)
		}
	}
	return Command{}, false
}

// cleared reports whether the evidence excludes that the release is bad; all of it, or what came
// after since.
func (d *decision) cleared(since clock.Instant) bool {
	return d.tally.cleared(d.now, min(d.slowTime()+reportTime, longestWindow*bucketTime), since)
}

// slowTime is how long a slow answer of a bad release takes.
func (d *decision) slowTime() time.Duration {
	if median, ok := d.old.median(); ok {
		return slowFactor * medianTime(median)
	}
	return 0
}

// answerTime is the time within which a slow answer to a request sent now is known here.
func (d *decision) answerTime() time.Duration {
	return min(d.slowTime()+reactionTime, d.part(maxPause))
}

// trialBudget is what the trial may expose up to the share, so that enough is left for a fault
// that shows only at the full share. The largest step may take of that for
// a moment: it shows most such faults.
func (d *decision) trialBudget(share float64) float64 {
	bound := d.expectedBound()
	if share >= trialSteps[len(trialSteps)-1].share {
		return largestExposure * bound
	}
	return min(trialExposure*bound, max(bound-d.rate*reactionTime.Seconds(), leastExposure*bound))
}

// stepDue reports whether a step of the trial has lasted long enough. Its time is such that the
// trial ends in time from the step's beginning on.
func (d *decision) stepDue(step int, since time.Duration) bool {
	current, rest := trialSteps[step-1], 0.0
	for _, s := range trialSteps[step-1:] {
		rest += s.duration
	}
	left := max(latestFull-float64(d.rollout.Elapsed)/float64(d.rollout.Within), 0)
	duration := max(d.part(current.duration*min(left/rest, 1)), minStep)
	enough := d.new.answered-d.stepAnswered >= stepAnswers
	return enough && since >= duration || float64(since) >= maxStretch*float64(duration) || d.elapsed >= d.part(latestFull)
}

// projected is the exposure at the end of a time at a share. A rate that rests on few requests
// may be higher than it seems.
func (d *decision) projected(share float64, time time.Duration) float64 {
	rate := d.rate
	if d.requests < rateRequests {
		rate = max(rate, (d.requests+2*math.Sqrt(d.requests)+2)/max(d.elapsed, minStep).Seconds())
	}
	return float64(d.new.sent) + share*rate*time.Seconds()
}

// expectedBound is the exposure bound with part of the requests that are still to come.
func (d *decision) expectedBound() float64 {
	mean := d.requests / max(d.elapsed, minStep).Seconds()
	return d.limits.bound(d.requests + laterRequests*mean*max(d.rollout.Within-d.elapsed, 0).Seconds())
}

// mayTakeAll reports whether the new release may get all requests: if the evidence clears it, or
// the exposure stays within its bound whatever comes.
func (d *decision) mayTakeAll() bool {
	heard := d.new.answered >= d.new.sent/4
	switch {
	case heard && d.cleared(0):
		return true
	case d.elapsed < d.part(latestFull):
		return false
	case d.projected(retryFactor, d.rollout.Within-d.elapsed) <= trialExposure*d.limits.bound(d.requests):
		return true
	default:
		return d.elapsed >= d.part(forcedFull) && heard && d.new.answered > 0 &&
			d.projected(1, d.part(settled)-d.elapsed) <= d.expectedBound()
	}
}
