package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// The null hypothesis of the verdict: the new release is bad at most this often.
const (
	// rateFactor and rateMargin bound the new release's rate of bad answers by that of the
	// old one over the same seconds: a rate of zero among some hundred answers may be 2%.
	rateFactor = 1.5
	rateMargin = 0.02
	// unmatchedMargin takes the place of rateMargin in seconds without answers of the old
	// release, as in the last step: a fault of all upstreams can't be told from one of the
	// release there.
	unmatchedMargin = 0.05
	// slowRateFactor takes the place of rateFactor for slow answers, whose thresholds
	// allow for a difference already.
	slowRateFactor = 1.15
	// historyFactor is a further factor for reports that a new leader gets of the
	// time before it: the share has changed meanwhile, so that a short fault of all
	// upstreams weighs more on the release that had more requests then.
	historyFactor = 1.5
	// minMatched is how many answers of the old release make up a rate of a stratum and its
	// two neighbours.
	minMatched = 5
	// minReference is how many answers make up a median.
	minReference = 10
)

// Slow answers. A release whose caches are cold may be twice as slow, so that the share of new
// answers above a threshold is compared with that of old answers above half the threshold.
// Without answers of the old release at the same time, the load may have changed too (plain
// upstreams slow down by four above half of their slots): unless it is known not to, the
// threshold is doubled, and compared with a third. Differences of times are in buckets, two to a factor of two.
const (
	slowBuckets = 4 // 4 times the median
	// slowTests are at 4 times and 8 times the median: with widely spread times only the
	// second one tells releases apart.
	slowTests      = 2
	matchedDrop    = 2
	unmatchedShift = 2
	unmatchedDrop  = 3
	// minSlow and maxSlow are the times of slow answers, in medians.
	minSlow         = 4
	maxSlow         = 12
	halfBucket      = 0.5
	bucketsPerTwice = 2
)

// rule is the strength of a verdict.
type rule struct {
	// minBad is the least number of bad answers, and maxChance the probability that a
	// release within the null hypothesis has as many.
	minBad    uint32
	maxChance float64
	// maxRemainder is the probability above which the answers without the worst upstreams
	// don't convict a release.
	maxRemainder float64
}

var (
	// conviction ends a rollout at any time. It is tested ten times a second in five
	// windows on each route.
	conviction = rule{4, 1e-4, 0.01}
	// suspicion delays steps, and decides at the end, where it is tested once.
	suspicion = rule{2, 1e-3, 0.02}
	// doubt takes its place at the end if the answers are too few to clear the release.
	doubt = rule{2, 3e-2, 0.05}
)

// minExcluding is the number of upstreams from which on the worst is left out.
const minExcluding = 3

// tests are the kinds of bad answers that are tested: failures, and failures together with slow
// answers by each threshold.
const tests = 1 + slowTests

// sums are the counts of one window, with what the null hypothesis expects.
type sums struct {
	answered uint32
	bad      [tests]uint32
	expected [tests]float64
	// compared is the number of answers of the old release.
	compared  uint64
	upstreams map[uint32]*upstreamSums
}

type upstreamSums struct {
	answered uint32
	bad      [tests]uint32
}

func (s *sums) add(other *sums) {
	s.answered += other.answered
	s.compared += other.compared
	for i := range s.bad {
		s.bad[i] += other.bad[i]
		s.expected[i] += other.expected[i]
	}
	for hash, u := range other.upstreams {
		mine := s.upstream(hash)
		mine.answered += u.answered
		for i := range u.bad {
			mine.bad[i] += u.bad[i]
		}
	}
}

func (s *sums) upstream(hash uint32) *upstreamSums {
	u := s.upstreams[hash]
	if u == nil {
		if s.upstreams == nil {
			s.upstreams = map[uint32]*upstreamSums{}
		}
		u = &upstreamSums{}
		s.upstreams[hash] = u
	}
	return u
}

// reference are the old release's median and rate, where there are no answers of the same time.
type reference struct {
	median float64
	timed  bool
	total  *counts
	// sameLoad says that the times may be compared although they aren't of the same seconds.
	sameLoad bool
}

func (r *routeTally) reference(sameLoad bool) reference {
	r.sameLoad = sameLoad
	var recent counts
	for i := range r.strata {
		recent.add(&r.strata[i].old)
	}
	if median, ok := recent.median(); ok {
		return reference{median, true, &r.total.old, sameLoad}
	}
	median, ok := r.total.old.median()
	return reference{median, ok, &r.total.old, sameLoad}
}

// sumStratum adds the stratum of an index to the sums. shifting says that the share may have
// changed in the window: then the slow answers may be those of more attempts than the fast ones.
// Over the whole rollout there are never more slow answers than belong to the attempts.
func (r *routeTally) sumStratum(into *sums, index int64, ref reference, shifting bool) {
	s := r.at(index)
	var old counts
	lagged, oldLagged := 0.0, 0.0
	for i := index - 1; i <= min(index+1, r.newest); i++ {
		old.add(&r.at(i).old)
		if shifting {
			sent, _ := r.lagged(i, ref)
			oldLagged += sent
		}
	}
	if shifting {
		_, lagged = r.lagged(index, ref)
	}
	into.compare(s, &old, ref, 1, lagged, oldLagged)
}

// lagged returns how many attempts were made when the slow answers of a stratum were asked for,
// on average. After a change of the share these aren't the attempts of its fast answers.
func (r *routeTally) lagged(index int64, ref reference) (old, fresh float64) {
	if !ref.timed {
		return 0, 0
	}
	median := medianTime(ref.median)
	first, last := int64(minSlow*median/bucketTime), int64((maxSlow*median+reportTime)/bucketTime)+1
	first, last = min(first, maxLag), min(last, maxLag)
	for lag := first; lag <= last; lag++ {
		s := r.at(index - lag)
		old += float64(s.old.sent)
		fresh += float64(s.new.sent)
	}
	n := float64(last - first + 1)
	return old / n, fresh / n
}

// compare adds a stratum, and what is expected of it by the old answers of the same time.
// lagged and oldLagged are the attempts that the slow answers among them belong to.
func (s *sums) compare(of *stratum, old *counts, ref reference, factor, lagged, oldLagged float64) {
	margin, shift, drop := rateMargin, 0, matchedDrop
	s.compared += uint64(of.old.answered)
	if old.answered < minMatched {
		old, margin = ref.total, unmatchedMargin
		if !ref.sameLoad {
			shift, drop = unmatchedShift, unmatchedDrop
		}
		oldLagged = 0
		s.compared += uint64(old.answered)
	}
	n, oldN := float64(of.new.answered), max(float64(old.answered), 1)
	slowN, oldSlowN := max(n, lagged), oldN
	if oldLagged >= minMatched {
		oldSlowN = min(oldN, oldLagged)
	}
	failures := min(factor*rateFactor*float64(old.bad)/oldN+margin, 1)
	s.answered += of.new.answered
	s.bad[0] += of.new.bad
	s.expected[0] += n * failures
	for hash, c := range of.upstreams {
		u := s.upstream(hash)
		u.answered += c.answered
		u.bad[0] += c.bad
	}
	for i := range slowTests {
		s.bad[i+1] += of.new.bad
		if !ref.timed {
			s.expected[i+1] += n * failures
			for hash, c := range of.upstreams {
				s.upstream(hash).bad[i+1] += c.bad
			}
			continue
		}
		from := int(math.Ceil(ref.median+halfBucket)) + slowBuckets + shift + i*bucketsPerTwice
		s.bad[i+1] += of.new.above(from)
		slow := factor * slowRateFactor * (float64(old.bad)/oldN + float64(old.above(from-drop))/oldSlowN)
		s.expected[i+1] += slowN * min(slow+margin, 1)
		for hash, c := range of.upstreams {
			s.upstream(hash).bad[i+1] += c.bad + c.above(from)
		}
	}
}

// Finding is the comparison of the releases that decided, or came closest to a decision.
type Finding struct {
	// Route is empty for all routes together. Window is the number of half seconds, 0 for
	// the whole rollout.
	Route  string `json:"route"`
	Window int64  `json:"window"`
	// Slow says that slow answers count as bad too.
	Slow     bool   `json:"slow"`
	Bad      uint32 `json:"bad"`
	Answered uint32 `json:"answered"`
	// Rate is the highest that the old release allows, and Chance the probability of so
	// many bad answers at that rate.
	Rate   float64 `json:"rate"`
	Chance float64 `json:"chance"`
}

// String describes the finding in an operator's terms.
func (f Finding) String() string {
	what, where, when := "failed", "on all routes", "since the order"
	if f.Slow {
		what = "failed or were slow"
	}
	if f.Route != "" {
		where = "on route " + f.Route
	}
	if f.Window > 0 {
		when = fmt.Sprintf("in %v", bucketTime*clock.Instant(f.Window))
	}
	return fmt.Sprintf("%d of %d answers %s %s %s, at most %.3f expected (probability %.1e)", f.Bad, f.Answered, what, where, when, f.Rate, f.Chance)
}

// clearance is what a bad release has beyond the rate that the null hypothesis allows, at least,
// and maxMissed the probability that such a one is cleared by all its answers; on one route,
// where there are fewer, maxRouteMissed.
const (
	clearance      = 0.20
	maxMissed      = 0.02
	maxRouteMissed = 0.1
	// clearedRoute is the part of the answers that a route needs to be cleared by itself.
	clearedRoute = 0.1
	// fewAnswers are so few that their age doesn't matter.
	fewAnswers = 100
)

// cleared reports whether the answers exclude, on each route, that the new release is bad. A slow
// answer takes up to slowTime, so that only attempts of that age tell how many are slow. If since
// is set, only what came later counts.
func (t *tally) cleared(now clock.Instant, slowTime time.Duration, since clock.Instant) bool {
	_, all := t.sum()
	if all.answered == 0 {
		return false
	}
	var total sums
	mature := uint32(0)
	for name := range t.routes {
		r, _ := t.route(now, name)
		var s sums
		ref := r.reference(t.sameLoad)
		last := r.newest - int64((slowTime+bucketTime-1)/bucketTime)
		sent, ringSent := uint32(0), uint32(0)
		for index := r.newest - liveSize + 1; index <= r.newest; index++ {
			n := r.at(index).new.sent
			ringSent += n
			if index <= max(r.newest-longestWindow, int64(since/bucketTime)) {
				continue
			}
			r.sumStratum(&s, index, ref, false)
			if index <= last {
				sent += n
			}
		}
		if since == 0 && all.answered < fewAnswers {
			s.add(&r.past)
			s.compare(&r.history, &r.history.old, ref, historyFactor, 0, 0)
			sent += r.total.new.sent - min(ringSent, r.total.new.sent)
		}
		if float64(r.total.new.answered) >= clearedRoute*float64(all.answered) && !s.cleared(sent, maxRouteMissed) {
			return false
		}
		mature += sent
		total.add(&s)
	}
	return total.cleared(mature, maxMissed)
}

// cleared tests failures among the answers, and failures with the answers above the lower
// threshold among the attempts that are old enough.
func (s *sums) cleared(mature uint32, missed float64) bool {
	for kind, n := range [...]uint32{s.answered, mature} {
		rate := min(s.expected[kind]/max(float64(s.answered), 1)+clearance, 1)
		// At most so many bad answers is at least so many good ones.
		if binomialTail(n, n-min(s.bad[kind], n), 1-rate) >= missed {
			return false
		}
	}
	return true
}

// verdict returns the least likely finding, and whether it breaks the rule. upstreams is the
// number of the release's upstreams, lost that of those lost lately, whose failures are no
// evidence against the release.
func (t *tally) verdict(now clock.Instant, by rule, upstreams, lost int) (Finding, bool) {
	worst, found := Finding{Chance: 1}, false
	excluded := 0
	if upstreams+lost >= minExcluding {
		excluded = min(1+lost, max((upstreams+lost)/2, 1))
	}
	consider := func(route string, window int64, s *sums) {
		for kind := range tests {
			f, bad := s.test(kind, by, excluded)
			if bad && !found || bad == found && f.Chance < worst.Chance {
				f.Route, f.Window, f.Slow = route, window, kind > 0
				worst, found = f, bad
			}
		}
	}
	routes := make([]string, 0, len(t.routes))
	for name := range t.routes {
		t.route(now, name)
		routes = append(routes, name)
	}
	slices.Sort(routes)
	totals := make([]sums, len(windows)+1)
	for _, name := range routes {
		r := t.routes[name]
		if r.total.new.answered == 0 {
			continue
		}
		var s sums
		ref, from := r.reference(t.sameLoad), r.newest+1
		for i, window := range windows {
			for ; from > r.newest-window+1; from-- {
				if r.at(from-1).new.answered > 0 {
					r.sumStratum(&s, from-1, ref, true)
				}
			}
			consider(name, window, &s)
			totals[i].add(&s)
		}
		s = sums{}
		for index := r.newest - liveSize + 1; index <= r.newest; index++ {
			if r.at(index).new.answered > 0 {
				r.sumStratum(&s, index, ref, false)
			}
		}
		s.add(&r.past)
		if r.history.new.answered > 0 {
			s.compare(&r.history, &r.history.old, ref, historyFactor, 0, 0)
		}
		consider(name, 0, &s)
		totals[len(windows)].add(&s)
	}
	if len(routes) > 1 {
		for i := range totals {
			window := int64(0)
			if i < len(windows) {
				window = windows[i]
			}
			consider("", window, &totals[i])
		}
	}
	return worst, found
}

// test tests one kind of bad answers.
func (s *sums) test(kind int, by rule, excluded int) (Finding, bool) {
	// Streams that break off count as answered when they began, which may be in an earlier window.
	f := Finding{Bad: s.bad[kind], Answered: max(s.answered, s.bad[kind]), Chance: 1}
	if f.Bad < by.minBad {
		return f, false
	}
	// With few answers of the old release its rate may be higher than it seems.
	f.Rate = min(s.expected[kind]/float64(f.Answered)+1/float64(s.compared+2), 1)
	f.Chance = binomialTail(f.Answered, f.Bad, f.Rate)
	if f.Chance >= by.maxChance {
		return f, false
	}
	if excluded == 0 {
		return f, true
	}
	list := make([]*upstreamSums, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *upstreamSums) int {
		return cmp.Or(cmp.Compare(b.bad[kind], a.bad[kind]), cmp.Compare(a.answered, b.answered))
	})
	answered, bad := f.Answered, f.Bad
	for _, u := range list[:min(excluded, len(list))] {
		bad -= min(u.bad[kind], bad)
		answered = max(answered-min(u.answered, answered), bad)
	}
	return f, bad > 0 && binomialTail(answered, bad, f.Rate) < by.maxRemainder
}

// binomialTail is the probability of at least k successes in n trials.
func binomialTail(n, k uint32, p float64) float64 {
	switch {
	case k == 0 || float64(k) <= float64(n)*p || p >= 1:
		return 1
	case k > n || p <= 0:
		return 0
	}
	logGamma := func(x float64) float64 {
		v, _ := math.Lgamma(x + 1)
		return v
	}
	nf, kf := float64(n), float64(k)
	term := math.Exp(logGamma(nf) - logGamma(kf) - logGamma(nf-kf) + kf*math.Log(p) + (nf-kf)*math.Log1p(-p))
	// Above the mean the terms fall faster than geometrically.
	sum := term
	for i := k; i < n && term > sum*1e-9; i++ {
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
		sum += term
	}
	return min(sum, 1)
}
