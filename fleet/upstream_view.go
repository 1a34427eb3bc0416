package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// upstreamView is one upstream as this entry sees it.
type upstreamView struct {
	upstream.Member
	// running is the number of this entry's requests there, backlogTokens their
	// prompt tokens before prefill, and memoryTokens the KV memory they occupy.
	running, backlogTokens, memoryTokens int
	// sent counts this entry's attempts there.
	sent uint64
	// otherWork is the last reported work of all other entries there.
	otherWork Work
	// lastProgress is when the upstream last sent bytes, or got a request while
	// it had none of this entry.
	lastProgress clock.Instant
	// failuresInRow is the number of failures since the last success, without
	// refusals and error answers. No work is sent before avoidUntil.
	failuresInRow int
	avoidUntil    clock.Instant
	// slowness is the ratio of the measured to the expected time to the first
	// token, which contains the pace.
	slowness float64
	paced
	// failureRate is a moving average of the fraction of failed answers.
	failureRate float64
	// limit is what the upstream says it takes from all entries.
	limit namedLimit
	notices
	// answeredAt is when an answer last ended, and answeredIn the time that it took.
	answeredAt clock.Instant
	answeredIn time.Duration
	// endedAt is when the upstream was first seen to have ended; 0 while it
	// hasn't.
	endedAt clock.Instant
	// replaced says that a newer upstream has announced the address or the ID.
	replaced bool
	// cachedPrefixes maps the hash of each prefix that is assumed to be cached
	// to its last use.
	cachedPrefixes map[uint64]clock.Instant
	// brokenAttempts are requests that broke off while it isn't known whether the
	// upstream crashed. Until probingUntil a Probe finds that out.
	brokenAttempts []brokenAttempt
	probingUntil   clock.Instant
	// crashed says that it refused a connection at crashedAt, after requests broke
	// off.
	crashed   bool
	crashedAt clock.Instant
}

type brokenAttempt struct {
	traits     []suspect.Trait
	sentAt, at clock.Instant
}

// Work is the work at one upstream: its running requests, their prompt tokens
// before prefill, and the KV memory they occupy.
type Work struct {
	Running       int `json:"r"`
	BacklogTokens int `json:"b,omitempty"`
	MemoryTokens  int `json:"t,omitempty"`
}

func newUpstreamView(now clock.Instant, m upstream.Member) *upstreamView {
	return &upstreamView{Member: m, lastProgress: now, slowness: 1, paced: paced{pace: 1}, cachedPrefixes: map[uint64]clock.Instant{}}
}

// Times for which no work is sent to an upstream after a failure.
const (
	// refusedBackoff follows a refusal: the upstream is full.
	refusedBackoff = 50 * time.Millisecond
	// minBackoff follows a failure and doubles with each further one, up to
	// maxBackoff, about the time that a crashed upstream takes to restart.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
)

func (u *upstreamView) usable(now clock.Instant) bool {
	return u.serves() && u.open(now)
}

// open reports whether the upstream may get a request now, if it serves.
func (u *upstreamView) open(now clock.Instant) bool { return now >= u.avoidUntil && !u.closed(now) }

func (u *upstreamView) serves() bool { return u.present() && !u.saidLeaving }

// present reports whether the upstream serves as far as the keepers know.
func (u *upstreamView) present() bool { return !u.Leaving && !u.Ended && !u.replaced }

func (u *upstreamView) start(now clock.Instant, t *ticket) {
	if u.running == 0 {
		u.lastProgress = now
	}
	u.running++
	u.sent++
	u.backlogTokens += t.prefillTokens
	u.memoryTokens += t.memoryTokens
	if t.trial = u.trialLimit > 0; t.trial {
		u.trials++
	}
	u.recordPrefixes(now, t.PromptParts)
}

// prefilled removes the ticket's prompt from the prefill backlog.
func (u *upstreamView) prefilled(t *ticket) {
	u.backlogTokens -= t.prefillTokens
}

func (u *upstreamView) end(_ clock.Instant, t *ticket) {
	u.running--
	u.memoryTokens -= t.memoryTokens
	if !t.answerBegan {
		u.backlogTokens -= t.prefillTokens
	}
}

func (u *upstreamView) succeeded() { u.failuresInRow = 0 }

func (u *upstreamView) failed(now clock.Instant, failure retry.Failure, _ int) {
	switch failure {
	case retry.Refused:
		u.avoidUntil = max(u.avoidUntil, now+refusedBackoff)
	case retry.Errored:
		// No backoff: the upstream is up, and its failureRate counts against it.
	default:
		backoff := min(minBackoff<<min(u.failuresInRow, 6), maxBackoff)
		u.failuresInRow++
		u.avoidUntil = max(u.avoidUntil, now+backoff)
		clear(u.cachedPrefixes)
	}
}

// Bounds of cachedPrefixes.
const (
	maxCachedPrefixes = 4096
	// cacheTTL is how long a prefix counts as cached after its last use.
	cacheTTL = 60 * time.Second
)

// recordPrefixes records the prefixes that the upstream caches with the request.
func (u *upstreamView) recordPrefixes(now clock.Instant, parts []call.PromptPart) {
	if len(u.cachedPrefixes)+len(parts) > maxCachedPrefixes {
		for hash, used := range u.cachedPrefixes {
			if now-used > cacheTTL/4 {
				delete(u.cachedPrefixes, hash)
			}
		}
		if len(u.cachedPrefixes)+len(parts) > maxCachedPrefixes {
			clear(u.cachedPrefixes)
		}
	}
	eachPrefix(parts, func(hash uint64, _ int) bool {
		u.cachedPrefixes[hash] = now
		return true
	})
}

// cachedTokens estimates the prompt tokens in the upstream's cache.
func (u *upstreamView) cachedTokens(now clock.Instant, parts []call.PromptPart) int {
	cached := 0
	eachPrefix(parts, func(hash uint64, tokens int) bool {
		used, ok := u.cachedPrefixes[hash]
		if !ok || now-used > cacheTTL {
			return false
		}
		cached = tokens
		return true
	})
	return cached
}

// eachPrefix calls visit with the hash and the length in tokens of each prefix
// of the parts, the shortest first, until visit returns false.
func eachPrefix(parts []call.PromptPart, visit func(hash uint64, tokens int) bool) {
	hash, total := uint64(0), 0
	for _, p := range parts {
		hash = mixHash(hash ^ p.ID)
		total += p.Tokens
		if !visit(hash, total) {
			return
		}
	}
}

func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// estimate is what is expected of sending a ticket to an upstream.
type estimate struct {
	// firstToken is the expected time to the first token, and ranking that time
	// with penalties and bonuses; the upstream with the lowest one is chosen.
	ranking, firstToken time.Duration
	cachedTokens        int
}

// Penalties and bonuses of a ranking.
const (
	// otherZonePenalty keeps work within the zone, as traffic between zones is
	// expensive: an upstream elsewhere must be this much faster to be chosen.
	otherZonePenalty = 15 * time.Millisecond
	// silentPenalty is for an upstream whose announcements stopped,
	// failingPenalty for one that fails or stalls, and coldPenalty for one that
	// is still warming up.
	silentPenalty  = time.Second
	failingPenalty = 2 * time.Second
	coldPenalty    = 50 * time.Millisecond
	// slowPenalty is for an upstream that takes twice the expected time; it
	// grows with slowness and applies above slowThreshold. It comes on top of
	// the longer expected time, as later events are slow too.
	slowPenalty   = 150 * time.Millisecond
	slowThreshold = 1.6
	// cacheHitWeight multiplies the prefill time that a cache hit saves, beyond
	// the gain for the request itself: requests behind it wait for the prefill
	// too, and a prefix computed elsewhere is computed twice. In the emulation,
	// with 165 documents of 4,700 tokens, 51% of the shared tokens are
	// recomputed at weight 0, 29% at 2, and 12% at 8.
	// maxCacheHitFraction bounds the bonus to a fraction of the request's
	// target, so that requests for a very popular document spread over upstreams.
	cacheHitWeight      = 8.0
	maxCacheHitFraction = 0.25
	// batchDelay is the delay of the first event by each other request in the
	// batch, as larger batches have longer steps.
	batchDelay = 2 * time.Millisecond
	// outdatedLimitBonus is for an upstream whose limit has to be heard again.
	outdatedLimitBonus = time.Second
	// failureMargin is how far an upstream's failure rate may exceed that of
	// its service without a penalty.
	failureMargin = 0.3
)

// stallTimeout is how long an upstream with running requests may send nothing:
// engines send events several times a second, and plain services answer sooner.
const stallTimeout = 800 * time.Millisecond

// stalled reports whether the upstream has requests but sends nothing.
func (u *upstreamView) stalled(now clock.Instant) bool {
	return u.running > 0 && now-u.lastProgress > stallTimeout
}

// Bounds of an upstream's slowness, and the weight of one measurement.
const (
	minSlowness    = 0.7
	maxSlowness    = 8
	slownessWeight = 0.15
	// slownessOffset is added to both times, so that noise in small ones has
	// little effect.
	slownessOffset = 60 * time.Millisecond
)

// updateSlowness compares the measured time to the first token with the
// expected one, which contains the current slowness.
func (u *upstreamView) updateSlowness(took, expected time.Duration) {
	ratio := float64(took+slownessOffset) / float64(time.Duration(float64(expected)/u.slowness)+slownessOffset)
	u.slowness += slownessWeight * (min(max(ratio, minSlowness), maxSlowness) - u.slowness)
}

// maxMemoryFraction is the fraction of an engine's KV memory that is allotted;
// the rest is left for answers that are longer than expected.
const maxMemoryFraction = 0.85

// preferredCachedFraction is the fraction of a prompt's shared tokens that the
// preferred upstream is assumed to have cached.
const preferredCachedFraction = 0.9

// choose returns the usable upstream with room that has the lowest ranking, those of the
// ticket's preferred release first, or nil.
func (f *Fleet) choose(now clock.Instant, s *service, t *ticket) (*upstreamView, estimate) {
	f.askSplit(now, t)
	f.rank(now, s, t)
	return f.pick(now, s, t)
}

// rank offers the upstreams that the ticket may be sent to now, with their estimates.
func (f *Fleet) rank(now clock.Instant, s *service, t *ticket) {
	canary := s.canaryGroups(t)
	allLeave := !s.anyServing(t)
	preferred, sharedTokens := s.preferred(now, t)
	for _, u := range s.upstreams {
		if f.exclusion(now, s, t, u, allLeave) != "" {
			continue
		}
		e := s.estimate(now, f.options.Zone, u, t)
		e.ranking += f.placementSpread(now, s, u)
		cached := e.cachedTokens
		if likely := int(preferredCachedFraction * float64(sharedTokens)); u == preferred && cached < likely {
			// All entries compute the same preferred upstream, so that others
			// have probably sent this prefix there.
			e.ranking -= s.prefillTime(likely - cached)
			cached = likely
		}
		e.ranking -= s.cacheHitBonus(t, cached)
		if u.limitOutdated(now) {
			e.ranking -= outdatedLimitBonus
		}
		switch {
		case t.gate == nil:
		case !s.goesFirst(now, u, t, e):
			e.ranking += otherReleasePenalty
		case canary != nil:
			e.ranking = canaryRanking(u, t, e, canary[u])
		}
		f.offer(s, u, e)
	}
}

// Exclusion says why a ticket may not be sent to an upstream now; "" if it may.
type Exclusion string

// The exclusions.
const (
	// ExcludedGone means that the upstream leaves, has ended or was replaced.
	ExcludedGone Exclusion = "gone"
	// ExcludedBackoff follows a failure or a refusal, and ExcludedClosed an answer that asked
	// for no requests.
	ExcludedBackoff Exclusion = "backoff"
	ExcludedClosed  Exclusion = "closed"
	// ExcludedTicket means that the ticket failed there, or has begun at another release.
	ExcludedTicket Exclusion = "ticket"
	// ExcludedLimit means that this entry's part of the upstream's limit is used up.
	ExcludedLimit Exclusion = "limit"
	// ExcludedRoom means that the upstream has no room.
	ExcludedRoom Exclusion = "noRoom"
	// ExcludedRelease means that a rollout keeps the ticket from the upstream's release.
	ExcludedRelease Exclusion = "release"
)

// exclusion reports why the ticket may not be sent to the upstream. allLeave says that all
// upstreams that serve have said that they leave.
func (f *Fleet) exclusion(now clock.Instant, s *service, t *ticket, u *upstreamView, allLeave bool) Exclusion {
	switch {
	case !u.serves() && !(allLeave && f.lastResort(u, t)):
		return ExcludedGone
	case now < u.avoidUntil:
		return ExcludedBackoff
	case u.closed(now):
		return ExcludedClosed
	case t.gate != nil && !t.allows(u):
		return ExcludedRelease
	case !t.mayRunOn(u):
		return ExcludedTicket
	case !u.hasLimitLeft(now):
		return ExcludedLimit
	case !s.hasRoom(now, u, t):
		return ExcludedRoom
	}
	return ""
}

// chooseSilent returns the upstream with room that has the lowest ranking among those that
// the ticket may be sent to again, or nil.
func (f *Fleet) chooseSilent(now clock.Instant, s *service, t *ticket) (best *upstreamView, bestEstimate estimate) {
	if len(t.silentOn) == 0 {
		return nil, estimate{}
	}
	for _, u := range s.upstreams {
		if !t.mayReturnTo(now, u) || !u.hasLimitLeft(now) || !s.hasRoom(now, u, t) {
			continue
		}
		if e := s.estimate(now, f.options.Zone, u, t); best == nil || e.ranking < bestEstimate.ranking {
			best, bestEstimate = u, e
		}
	}
	if best != nil {
		t.silentOn = slices.DeleteFunc(t.silentOn, func(id string) bool { return id == best.ID })
	}
	return best, bestEstimate
}

// preferred returns the upstream that rendezvous hashing assigns to the shared
// parts of the prompt, the same at every entry, and the tokens of these parts.
func (s *service) preferred(now clock.Instant, t *ticket) (*upstreamView, int) {
	sharedParts := call.SharedParts(t.PromptParts)
	if len(sharedParts) == 0 {
		return nil, 0
	}
	seed, tokens := uint64(0), 0
	eachPrefix(sharedParts, func(hash uint64, total int) bool {
		seed, tokens = hash, total
		return true
	})
	var best *upstreamView
	var highest uint64
	bestFirst := false
	for _, u := range s.upstreams {
		if !u.serves() || u.closed(now) || !u.hasLimitLeft(now) || !t.allows(u) {
			continue
		}
		first := t.prefers(u)
		if h := mixHash(xxhash.Sum64String(u.ID) ^ seed); best == nil || first && !bestFirst || first == bestFirst && h > highest {
			best, highest, bestFirst = u, h, first
		}
	}
	return best, tokens
}

func (s *service) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRate * float64(time.Millisecond))
}

// cacheHitBonus is the part of the ranking that favours cached tokens.
func (s *service) cacheHitBonus(t *ticket, cached int) time.Duration {
	if s.config.Engine == nil {
		return 0
	}
	bonus := time.Duration(cacheHitWeight * float64(s.prefillTime(cached)))
	if t.Target > 0 {
		bonus = min(bonus, time.Duration(maxCacheHitFraction*float64(t.Target)))
	}
	return bonus
}

// estimate returns the expected time to the first token of the ticket at the
// upstream, and the ranking with its penalties.
func (s *service) estimate(now clock.Instant, zone string, u *upstreamView, t *ticket) estimate {
	e := estimate{cachedTokens: min(u.cachedTokens(now, t.PromptParts), t.PromptTokens)}
	if s.config.Engine != nil {
		e.ranking = s.prefillTime(u.backlogTokens + u.otherBacklog(now, s) + t.PromptTokens - e.cachedTokens)
		e.ranking += time.Duration(u.batchedBefore()) * batchDelay
	} else if s.uneven {
		e.ranking = s.plainTime(u, s.expectedBusy(now, u)+1)
	} else if u.spread {
		e.ranking = time.Duration(float64(s.slotTime) * s.expectedBusy(now, u) / float64(max(u.Slots, 1)))
	} else {
		e.ranking = time.Duration(float64(s.slotTime) * s.plainBusy(u) / float64(max(u.Slots, 1)))
	}
	slowness := s.recentSlowness(now, u)
	e.ranking = time.Duration(float64(e.ranking) * slowness * u.pace)
	e.firstToken = e.ranking
	if u.Zone != zone {
		e.ranking += otherZonePenalty
	}
	if u.Silent {
		e.ranking += silentPenalty
	}
	if slowness > slowThreshold {
		e.ranking += time.Duration((slowness - 1) * float64(slowPenalty))
	}
	if u.Cold > 0 {
		e.ranking += coldPenalty
	}
	if u.failuresInRow > 0 || u.failureRate > s.failureRate+failureMargin || u.stalled(now) {
		e.ranking += failingPenalty
	}
	return e
}

// hasRoom reports whether the upstream can probably start the ticket at once.
func (s *service) hasRoom(now clock.Instant, u *upstreamView, t *ticket) bool {
	running := u.running + u.otherWork.Running
	if s.config.Engine == nil {
		// Plain calls are shorter than the interval of reports, so that the
		// work of other entries is outdated. The limit for all entries together
		// is therefore twice the slots; the upstream's own queue takes the excess.
		if u.spread {
			return u.running < u.Slots && (s.takesMore(now, u) || s.fair.maxRunning > 0)
		}
		return s.plainRoom(u, running)
	}
	if running >= u.Slots {
		return false
	}
	engine := *s.config.Engine
	return engine.MemoryTokens <= 0 || s.fitsMemory(engine, u, t)
}

func (s *service) fitsMemory(engine config.Engine, u *upstreamView, t *ticket) bool {
	used := u.memoryTokens + u.otherWork.MemoryTokens
	return used == 0 || float64(used+t.PromptTokens+t.OutputTokens) <= maxMemoryFraction*float64(engine.MemoryTokens)
}
