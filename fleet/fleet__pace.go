package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
)

// reportAge is the mean age of the other entries' reports when the leader answers this one.
const reportAge = 150 * time.Millisecond

const (
	// maxEntryBias bounds the bias of an entry towards an upstream. It spreads near-ties: it is
	// less than half of otherZonePenalty, and than the bonus of 50 cached tokens.
	maxEntryBias = 6 * time.Millisecond
	// slownessMemory is the time after which slowness counts no more once the pace is known:
	// a spell is shorter, and one entry may see no answer of an upstream for ten seconds.
	slownessMemory = 1500 * time.Millisecond
	// Plain requests stay within the zone until its upstreams are used to spillFrom of what they
	// answer well, and go to all zones alike from spillFully on: traffic between zones is expensive.
	spillFrom  = 0.6
	spillFully = 0.9
	// overKneeFactor is how much longer an answer is expected to take above the knee.
	overKneeFactor = 2
)

// paced is what the leader has told of an upstream.
type paced struct {
	// pace is the factor by which its answers take longer than those of the service's median,
	// and knee the number of requests from all entries up to which it answers well; 0 if none
	// is known.
	pace float64
	knee int
	// slownessAt is when the slowness was last measured.
	slownessAt clock.Instant
	// otherWorkAt is when the work of the other entries was told. spread says that the entry
	// takes its age into account.
	otherWorkAt clock.Instant
	// usualOthers is a moving average of the other entries' requests.
	usualOthers float64
	spread      bool
	// bias is the entry's bias in the rankings of engines.
	bias time.Duration
	// answers are those of a plain upstream.
	answers plainAnswers
}

// candidate is an upstream that a ticket may be sent to.
type candidate struct {
	upstream *upstreamView
	estimate estimate
}

// otherBacklog is the prefill backlog of the other entries that is probably left. Entries hear
// of it when the engine is mostly done with it: if it counted in full, all of them would go to
// the engine that was idle at the time of the reports.
func (u *upstreamView) otherBacklog(now clock.Instant, s *service) int {
	backlog := u.otherWork.BacklogTokens
	if !u.spread || backlog == 0 {
		return backlog
	}
	return max(backlog-int(float64(now-u.otherWorkAt+reportAge)/float64(time.Millisecond)*s.prefillRate/u.pace), 0)
}

// batchedBefore is the number of requests in the engine's batch that counts in its ranking. Of
// those of the other entries, which have partly ended since the reports, only those that fill
// more than half of the slots count: differences below that are mostly noise, which sends all
// entries to the same engine.
func (u *upstreamView) batchedBefore() int {
	if !u.spread {
		return u.busy()
	}
	return u.running + max(min(u.otherWork.Running, u.busy()-u.Slots/2), 0)
}

// learns reports whether the entry measures answers and hears of paces.
func (f *Fleet) learns() bool { return f.options.Name != "" }

// learnsFor reports whether the entry does that for the upstreams of the service.
func (f *Fleet) learnsFor(s *service) bool {
	return f.learns() && (s.config.Engine != nil || f.options.LearnPlain)
}

// Capacity returns what was measured since the last report, for the leader; nil if the entry
// doesn't learn.
func (f *Fleet) Capacity() *capacity.Report {
	if !f.learns() {
		return nil
	}
	report := f.meter.Report()
	f.paces.Stamp(report)
	return report
}

// SetPaces applies the leader's reply to the report.
func (f *Fleet) SetPaces(now clock.Instant, update *capacity.Update) {
	if update == nil || !f.learns() {
		return
	}
	f.paces.Apply(now, *update)
	f.refreshPaces(now)
}

// refreshPaces brings the paces of all upstreams up to date.
func (f *Fleet) refreshPaces(now clock.Instant) {
	f.pacesAt = now
	for _, s := range f.services {
		if !f.learnsFor(s) {
			continue
		}
		was := s.uneven
		s.uneven, s.entries = false, f.entries
		for _, u := range s.upstreams {
			pace, knee := f.paces.Pace(now, u.ID, u.Incarnation)
			if pace != u.pace {
				// What was just measured against the pace of before stays the same against the new
				// one. An older measurement says less than the new pace, which is of all entries.
				if now-u.slownessAt < slownessMemory {
					u.slowness = min(max(u.slowness*u.pace/pace, minSlowness), maxSlowness)
				} else {
					u.slowness = 1
				}
				u.pace = pace
			}
			knew := u.knee > 0
			u.knee = 0
			if s.config.Engine == nil {
				u.knee = capacity.KneeSlots(knee, u.Slots)
			}
			if u.knee > 0 && !knew {
				u.answers.limitTo(u.knee, f.entries)
			}
			s.uneven = s.uneven || u.pace != 1 || u.knee > 0
		}
		if s.uneven != was && s.config.Engine == nil {
			// The expected times of plain requests differ.
			for _, u := range s.upstreams {
				u.slowness = 1
			}
		}
	}
}

// pacesInterval is the time between two checks for paces that fade without a leader.
const pacesInterval = 500 * time.Millisecond

// tickPaces lets paces fade while no leader replies.
func (f *Fleet) tickPaces(now clock.Instant) {
	if f.learns() && now-f.pacesAt >= pacesInterval {
		f.refreshPaces(now)
	}
}

// initPace sets how an upstream of the service is ranked: a new one, a new run of one, or one whose
// service has changed.
func (f *Fleet) initPace(s *service, u *upstreamView) {
	if u.spread = f.learnsFor(s); u.spread {
		u.bias = time.Duration(float64(mixHash(xxhash.Sum64String(u.ID)^xxhash.Sum64String(f.options.Name))>>11) / (1 << 53) * float64(maxEntryBias))
	}
}

// recentSlowness is the slowness as it counts now.
func (s *service) recentSlowness(now clock.Instant, u *upstreamView) float64 {
	if !s.uneven || s.config.Engine != nil {
		return u.slowness
	}
	return 1 + (u.slowness-1)*max(1-float64(now-u.slownessAt)/float64(slownessMemory), 0)
}

// plainTime is the expected time of a plain answer at an upstream with so many requests,
// including the new one, if the upstreams of the service are uneven.
func (s *service) plainTime(u *upstreamView, requests float64) time.Duration {
	return u.timeAtLoad(s.slotTime, requests)
}

// timeAtLoad is the expected time of a plain answer with so many requests, if it takes slotTime
// in a slot of its own.
func (u *upstreamView) timeAtLoad(slotTime time.Duration, requests float64) time.Duration {
	expected := float64(slotTime) * max(requests/float64(max(u.Slots, 1)), 1)
	if u.knee > 0 && requests > float64(u.knee) {
		expected *= overKneeFactor
	}
	return time.Duration(expected)
}

// expectAnswer notes, as the ticket is sent, what the model expects of the upstream for it.
// The model is the same at every entry and time, so that a change is the upstream's.
func (s *service) expectAnswer(now clock.Instant, t *ticket, e estimate) {
	u := t.upstream
	t.load, t.expectedModel = 0, 0
	t.expectedAtPace = time.Duration(float64(e.firstToken) / s.recentSlowness(now, u))
	if u.Cold > 0 || u.failuresInRow > 0 || t.hedgeOf != nil {
		return
	}
	if s.config.Engine == nil {
		t.load = s.expectedBusy(now, u) + 1
		t.expectedModel = time.Duration(float64(capacity.PlainTime) * max(t.load/float64(max(u.Slots, 1)), 1))
		return
	}
	// What isn't certain is the entry's backlog, which is partly read already, and shared parts,
	// which other entries may have sent there.
	shared := 0
	for _, p := range call.SharedParts(t.PromptParts) {
		shared += p.Tokens
	}
	certain := max(t.PromptTokens-max(shared, e.cachedTokens), 0)
	uncertain := max(shared-e.cachedTokens, 0) + u.backlogTokens
	t.certainty = float64(certain) / float64(max(certain+uncertain, 1))
	t.expectedModel = modelTime(float64(certain) + float64(uncertain)/2)
	t.expectedWork = modelTime(float64(certain) + float64(uncertain-u.backlogTokens)/2)
	if t.certainty < minCertainty {
		t.certainty = 0
	}
}

// modelTime is the time in which the engine of the published figures reads the tokens.
func modelTime(tokens float64) time.Duration {
	return time.Duration(tokens / initialPrefillRate * float64(time.Millisecond))
}

// minCertainty is the least part of the tokens to be read before an answer that has to be
// certain for the answer to be measured.
const minCertainty = 0.6

// firstBytes measures the beginning of an answer.
func (f *Fleet) firstBytes(now clock.Instant, s *service, t *ticket) {
	u, took := t.upstream, now-t.sentAt
	if !s.uneven || s.config.Engine != nil {
		u.updateSlowness(took, t.expectedFirstToken)
	} else {
		u.slowness = s.recentSlowness(now, u)
		u.updateSlowness(took, time.Duration(float64(t.expectedAtPace)*u.slowness))
	}
	u.slownessAt = now
	if s.config.Engine != nil && t.expectedModel > 0 && f.learnsFor(s) {
		f.meter.Add(capacity.Answer{Service: s.name, Upstream: u.ID, Incarnation: u.Incarnation, Took: took, Expected: t.expectedModel, Work: t.expectedWork, Weight: t.certainty * t.certainty})
	}
}

// wholeAnswer measures a whole answer of a plain upstream, which has just ended.
func (f *Fleet) wholeAnswer(now clock.Instant, s *service, t *ticket) {
	if s.config.Engine != nil || t.expectedModel <= 0 || !f.learnsFor(s) {
		return
	}
	u := t.upstream
	// The load may change during the answer; u doesn't count the ticket any more.
	load := (t.load + s.expectedBusy(now, u) + 1) / 2
	s.recordPlainTime(now, t, load)
	f.meter.Add(capacity.Answer{
		Service: s.name, Upstream: u.ID, Incarnation: u.Incarnation, Load: capacity.LoadStep(load, u.Slots),
		Took: now - t.sentAt, Expected: t.expectedModel, Work: capacity.PlainTime / time.Duration(max(u.Slots, 1)), Weight: 1, Exact: true,
	})
}

// offer adds an upstream to those that a ticket may be sent to.
func (f *Fleet) offer(s *service, u *upstreamView, e estimate) {
	if s.config.Engine != nil {
		e.ranking += u.bias
	}
	f.candidates = append(f.candidates, candidate{u, e})
}

// pick returns the best of the offered upstreams, or nil, and forgets them. Engines are chosen
// by ranking. Of the plain upstreams that can answer in time, two are drawn by their free room, since
// all entries have the same view of them.
func (f *Fleet) pick(now clock.Instant, s *service, t *ticket) (*upstreamView, estimate) {
	offered := f.candidates
	f.candidates = offered[:0]
	if len(offered) == 0 {
		return nil, estimate{}
	}
	best := lowest(offered)
	if s.config.Engine == nil && f.learnsFor(s) {
		if offered = f.timely(now, s, t, offered); len(offered) == 0 {
			return nil, estimate{}
		}
		best = lowest(offered)
		if len(offered) > 1 {
			best = f.draw(now, s, offered, best)
		}
	}
	return offered[best].upstream, offered[best].estimate
}

// lowest returns the index of the candidate with the lowest ranking.
func lowest(offered []candidate) (best int) {
	for i := range offered {
		if offered[i].estimate.ranking < offered[best].estimate.ranking {
			best = i
		}
	}
	return best
}

// maxDrawn is the difference of rankings from which on an upstream isn't drawn beside another one.
const maxDrawn = canaryGroupPenalty / 2

// draw returns the index of one of the candidates; best is that with the lowest ranking.
func (f *Fleet) draw(now clock.Instant, s *service, offered []candidate, best int) int {
	f.weights = f.weights[:0]
	near, limits, busy := 0, 0.0, 0.0
	for i := range offered {
		u := offered[i].upstream
		if offered[i].estimate.ranking-offered[best].estimate.ranking >= maxDrawn {
			// A release that isn't preferred, or a group that a trial doesn't fill yet.
			f.weights = append(f.weights, 0)
			continue
		}
		f.weights = append(f.weights, s.room(now, u))
		if u.Zone == f.options.Zone && f.weights[i] > 0 {
			near++
			limits += float64(u.limitSoft())
			busy += s.expectedBusy(now, u)
		}
	}
	otherZones := 1.0
	if near > 0 {
		otherZones = min(max((busy/limits-spillFrom)/(spillFully-spillFrom), 0), 1)
	}
	total := 0.0
	for i := range offered {
		if offered[i].upstream.Zone != f.options.Zone {
			f.weights[i] *= otherZones
		}
		total += f.weights[i]
		f.weights[i] = total
	}
	if total <= 0 {
		return best
	}
	first, second := f.drawOne(total), f.drawOne(total)
	if s.recentLoad(now, offered[second].upstream) < s.recentLoad(now, offered[first].upstream) {
		return second
	}
	return first
}

// drawOne draws an index by the weights, whose running sums are in f.weights.
func (f *Fleet) drawOne(total float64) int {
	at := f.random() * total
	for i, sum := range f.weights {
		if at < sum {
			return i
		}
	}
	return len(f.weights) - 1
}

// Numbers of entries up to which the work of the others is known well enough to stop at an
// upstream's limit, and from which on it isn't: all entries would stop and go on at the same
// time. The limit then is twice the slots, and the upstream's own queue takes the excess.
const (
	fewEntries  = 4
	manyEntries = 16
)

// takesMore reports whether a plain upstream takes a request more. Above its knee it answers fewer
// requests in a second than at it, and what is behind its slots waits for this upstream alone, so
// that both wait here.
func (s *service) takesMore(now clock.Instant, u *upstreamView) bool {
	limit, most := float64(u.limitSoft()), float64(2*u.Slots)
	if float64(u.running+1) <= limit/float64(max(s.entries, 1)) {
		// The entry's even part is never too much, whatever the reports say.
		return true
	}
	if u.knee > 0 && s.entries <= u.knee {
		// Above a knee all answers are slow, so that entries keep to their parts of it.
		return false
	}
	blind := min(max(float64(s.entries-fewEntries)/(manyEntries-fewEntries), 0), 1)
	return s.expectedBusy(now, u)+1 <= limit+blind*(most-limit)+limitMargin
}

// limitMargin is the part of a request by which the expected work may exceed the limit.
const limitMargin = 0.25

// usualWeight is the weight of one report in usualOthers: it averages over five reports, which is
// 1.5 s.
const usualWeight = 0.2

// expectedBusy is the number of requests that are probably at a plain upstream now: those of the
// other entries were reported some time ago, and have partly been replaced by the usual number
// since. If the reported number counted as it is, all entries would leave an upstream that was
// full, and come back when it is empty, at the same time.
func (s *service) expectedBusy(now clock.Instant, u *upstreamView) float64 {
	usual := u.usualOthers
	if rest := float64(u.otherWork.Running) - usual; rest != 0 {
		usual += rest * math.Exp(-float64(now-u.otherWorkAt+reportAge)/max(float64(s.slotTime)*u.pace, 1))
	}
	return float64(u.running) + usual
}

// busy is the number of requests of all entries at the upstream, as far as this one knows.
func (u *upstreamView) busy() int { return u.running + u.otherWork.Running }

// limitSoft is the number of requests up to which the upstream answers well.
func (u *upstreamView) limitSoft() int {
	if u.knee > 0 {
		return u.knee
	}
	return max(u.Slots, 1)
}

// minRoom is the least room of an upstream that takes a request, as a part of its limit.
const minRoom = 0.05

// recentLoad is the part of the upstream's limit that requests take which are known to be there
// beside the usual ones of the other entries. The usual ones say nothing about the moment: if the
// lower of two averages decided, all entries would go to the same upstreams until it has changed.
func (s *service) recentLoad(now clock.Instant, u *upstreamView) float64 {
	return (s.expectedBusy(now, u) - u.usualOthers) / float64(u.limitSoft())
}

// room is how many requests a second the upstream should get, in units of those of one slot at the
// median. It is 0 for one that fails. Requests there count half:
// if they counted in full, entries would answer a difference of one request with one of several
// at high load, 1.5 s late, and the loads would swing.
func (s *service) room(now clock.Instant, u *upstreamView) float64 {
	limit, busy, slowness := float64(u.limitSoft()), s.expectedBusy(now, u), 1.0
	if s.uneven {
		slowness = s.recentSlowness(now, u)
	}
	if u.Silent || u.failuresInRow > 0 || u.failureRate > s.failureRate+failureMargin || u.stalled(now) {
		return 0
	}
	room := max(limit-busy/2, minRoom*limit)
	if s.paceTime > 0 {
		return room * float64(s.paceTime) / float64(max(s.expectedTime(now, u, 1), 1))
	}
	return room / (u.pace * slowness)
}

// PaceSummary describes the paces that the entry uses, for metrics.
type PaceSummary struct {
	// Uneven is the number of upstreams that are faster or slower than the median of their
	// service, and Knees that of those with a knee.
	Uneven, Knees int
	// Fastest and Slowest are the lowest and the highest time of an answer, in percent of the
	// median's.
	Fastest, Slowest int
}

// Paces summarises the paces that the entry uses.
func (f *Fleet) Paces() PaceSummary {
	p := PaceSummary{Fastest: 100, Slowest: 100}
	for _, s := range f.services {
		for _, u := range s.upstreams {
			if !u.present() {
				continue
			}
			if u.pace != 1 {
				p.Uneven++
			}
			if u.knee > 0 {
				p.Knees++
			}
			percent := int(math.Round(u.pace * 100))
			p.Fastest, p.Slowest = min(p.Fastest, percent), max(p.Slowest, percent)
		}
	}
	return p
}
