package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fairness"
	"github.com/hyssopladder/hyssopladder/result"
)

// Weights of the work of a request.
const (
	// outputCost is the cost of a generated token in prompt tokens: a step of a full
	// batch of 64 takes 5 ms, in which an engine reads about 4 prompt tokens per request.
	outputCost = 4.0
	// initialUncached is the part of the shared prompt tokens that is assumed not to be
	// cached until it is measured, and uncachedWeight the weight of one measurement.
	initialUncached = 0.3
	uncachedWeight  = 0.02
)

// localSignalTime is how long after a sign of saturation at this entry it reports the
// organisations' demand: a few reports of many entries.
const localSignalTime = 3 * time.Second

// fairState is what shares out one service among organisations at this entry.
type fairState struct {
	order   fairness.Order
	gate    fairness.Gate
	pace    fairness.Pace
	returns fairness.Returns
	// entries is the number of entries that share the service, 1 until it is known.
	entries int
	// demand is the work that arrived by organisation since the last report, carried and
	// answers what was answered, and refused the requests that would have waited too
	// long.
	demand           map[fairness.Key]float64
	carried          float64
	answers, refused int
	// signalAt is when this entry last saw the service saturated, if signalled.
	signalAt  clock.Instant
	signalled bool
	// maxRunning bounds this entry's requests at the upstreams; 0 if nothing does.
	maxRunning int
	// uncached is the part of shared prompt tokens that is not cached.
	uncached float64
	// answerTimes are the times of the last answers, and quickTime is about the shortest, without
	// the time in upstreams' queues; 0 before the first.
	answerTimes recentTimes
	quickTime   time.Duration
}

func (f *Fleet) newFairState() fairState {
	state := fairState{entries: 1, demand: map[fairness.Key]float64{}, uncached: initialUncached}
	if f.entriesKnown {
		state.entries = f.entries
	}
	return state
}

// turn is a ticket's place among those of other organisations.
type turn struct {
	// work is the expected work: in prompt tokens for an engine, in requests for a plain
	// service. Its measured slot time would grow with upstreams' queues, and demand and
	// capacity would be counted in units that change.
	work float64
	// tag is the start tag, once tagged is set.
	tag    float64
	tagged bool
	// started and carried say that the ticket's work counts as started and as answered.
	started, carried bool
	refusedFor       RefusalCause
	// shareFraction is the part of the organisation's work that fits, if it is above its
	// share.
	shareFraction float64
}

func (t *ticket) key() fairness.Key { return fairness.Key{Rank: t.Rank, Organisation: t.Organisation} }

// setWork estimates the ticket's work and counts it as demand.
func (s *service) setWork(t *ticket) {
	if s.config.Engine == nil {
		t.work = 1
	} else {
		shared := 0
		for _, p := range call.SharedParts(t.PromptParts) {
			shared += p.Tokens
		}
		// A request without tokens takes a slot too.
		const minTokens = 100.0
		t.work = max(minTokens, float64(max(t.PromptTokens-shared, 0))+s.fair.uncached*float64(shared)+outputCost*float64(t.OutputTokens))
		if memory := s.config.Engine.MemoryTokens; memory > 0 {
			// Callers name the lengths. What no engine can hold would keep the organisation's
			// later requests behind all others for as long.
			t.work = max(minTokens, min(t.work, outputCost*float64(memory)))
		}
	}
	s.fair.demand[t.key()] += t.work
}

// recordStart counts the start of a ticket.
func (s *service) recordStart(now clock.Instant, t *ticket) {
	if t.started || t.hedgeOf != nil {
		return
	}
	t.started = true
	s.fair.order.Started(t.key(), t.tag)
	s.fair.pace.Start(now, t.Rank)
	shared := 0
	for _, p := range call.SharedParts(t.PromptParts) {
		shared += p.Tokens
	}
	if shared > 0 {
		own := max(t.PromptTokens-shared, 0)
		uncached := min(max(float64(t.prefillTokens-own)/float64(shared), 0), 1)
		s.fair.uncached += uncachedWeight * (uncached - s.fair.uncached)
	}
}

// recordCarried counts a ticket whose answer begins. What was started but still waits at
// upstreams isn't carried yet.
func (s *service) recordCarried(t *ticket) {
	if t.carried {
		return
	}
	t.carried = true
	s.fair.carried += t.work
	s.fair.answers++
}

// recordEnd counts a ticket whose answer has ended. The time of an error answer says nothing of
// how long a slot is taken: it may come at once.
func (s *service) recordEnd(now clock.Instant, t *ticket, success bool) {
	s.recordCarried(t)
	if !success {
		return
	}
	took := now - t.sentAt
	t.upstream.answeredAt, t.upstream.answeredIn = now, took
	if s.fair.quickTime == 0 {
		s.fair.quickTime = took
	}
	const quickWeight = 0.01
	s.fair.quickTime = min(took, s.fair.quickTime+time.Duration(quickWeight*float64(took-s.fair.quickTime)))
	s.fair.answerTimes.add(took)
}

// withdrawTurn gives an organisation back the turn of a ticket that won't start, and
// reports whether others of it moved forward.
func (s *service) withdrawTurn(t *ticket) (moved bool) {
	if t.started || !t.tagged {
		return false
	}
	t.tagged = false
	s.fair.order.Left(t.key(), t.work)
	for _, q := range s.queue {
		if q.Rank == t.Rank && q.Organisation == t.Organisation && q.tag > t.tag && !q.started {
			q.tag -= t.work
			moved = true
		}
	}
	return moved
}

// aboveShare reports whether the ticket is to be refused because its organisation is
// above its share. A stream that goes on was admitted before.
func (f *Fleet) aboveShare(now clock.Instant, s *service, t *ticket) bool {
	if t.Bound {
		return false
	}
	if f.entries == 1 && len(s.queue) == 0 && s.freeSlots() > 0 {
		// Nobody else takes the free slots.
		return false
	}
	fraction, ok := s.fair.gate.Admit(now, t.key(), t.work)
	if !ok {
		t.shareFraction = fraction
	}
	return !ok
}

// refuseShare refuses a ticket whose organisation is above its share.
func (f *Fleet) refuseShare(now clock.Instant, s *service, t *ticket) {
	f.refuseFor(now, s, t, RefusedShare, s.expectedWait(now, t),
		result.New(result.Saturated, result.RanNo, "%q is saturated, and the organisation asks for more than its share of it: %.0f%% of its requests fit", t.Service, 100*t.shareFraction))
}

// returnAfter is when the caller of a refused ticket should come back: its place among
// those who were told to.
func (f *Fleet) returnAfter(now clock.Instant, s *service, t *ticket, wait time.Duration) time.Duration {
	// Callers come back within a third of the time that they have left.
	const leftFraction = 1.0 / 3
	// Most overload is a burst. In the second half of that time it is more likely to be
	// over: of those who come back after bursts of 0.25 and 0.5 s, 0.94 are served in the
	// emulation, and 0.87 if they come from the expected wait on.
	const returnAt = 0.5
	left := max(time.Duration(leftFraction*float64(t.Deadline-now)), 0)
	rate := s.fair.pace.Rates(now, t.Rank, s.assumedRate(now, t)).Total
	wait = max(wait, time.Duration(returnAt*float64(left)))
	return s.fair.returns.Place(now, t.Rank, rate, wait, left, f.random())
}

// freeSlots is the number of slots that no request occupies, as far as is known.
func (s *service) freeSlots() int {
	free := 0
	for _, u := range s.upstreams {
		if !u.serves() {
			continue
		}
		room := max(u.Slots-u.running-u.otherWork.Running, 0)
		if s.config.Engine != nil {
			// An engine with a prefill backlog has no room for more, whatever its slots.
			if room = min(room, 1); u.backlogTokens+u.otherWork.BacklogTokens > 0 {
				room = 0
			}
		}
		free += room
	}
	return free
}

// updateSpare gives the organisations above their share this entry's part of the free
// slots, and bounds the entry's requests at plain upstreams, until the next report of the
// others' work.
func (f *Fleet) updateSpare() {
	for _, s := range f.services {
		s.fair.maxRunning = 0
		if !s.fair.gate.Limits() {
			continue
		}
		part := float64(s.freeSlots()) / float64(f.entries)
		s.fair.gate.SetSpare(part)
		if s.config.Engine == nil && f.entries > 1 {
			slots, running, others := s.occupancy()
			equal := float64(slots) / float64(f.entries)
			growth := maxGrowth * min(float64(slots)/float64(max(running+others, 1)), 1)
			s.fair.maxRunning = int(math.Ceil(max(equal+min(equal, minRunning), growth*float64(running)+part)))
		}
	}
}

// Requests of organisations above their share start only while the entry has less than a
// bounded number at the plain upstreams of the service. Each entry knows the work of the
// others 0.3 s late, and all fill the same free slots otherwise: in the emulation of 64
// entries at 2.5 times the capacity, 0.65 (24 slots) and 0.88 (240 slots) of the requests of
// the organisations within their share are in time without the bound, and 0.99 with it.
const (
	// minRunning is the number of requests beyond an equal part of the slots that an entry
	// may have, but at most as many as that part is.
	minRunning = 1.0
	// maxGrowth is the growth of an entry's requests from one report to the next, while not
	// all slots are taken.
	maxGrowth = 1.25
)

// occupancy returns the service's slots, and this and the other entries' requests there.
func (s *service) occupancy() (slots, running, others int) {
	for _, u := range s.upstreams {
		running += u.running
		if u.serves() {
			slots += u.Slots
			others += u.otherWork.Running
		}
	}
	return slots, running, others
}

// mayStart reports whether the entry may have a further request at the service's upstreams.
func (s *service) mayStart(now clock.Instant) bool {
	if s.fair.maxRunning == 0 || !s.fair.gate.Saturated(now) {
		return true
	}
	_, running, _ := s.occupancy()
	return running < s.fair.maxRunning
}

// placementSpread is added to the ranking of a plain upstream, so that entries that share
// the upstreams don't all choose the same of those that look alike. One that has just
// answered quickly goes first, and upstreams of other zones don't gain by it.
func (f *Fleet) placementSpread(now clock.Instant, s *service, u *upstreamView) time.Duration {
	if s.config.Engine != nil || s.fair.entries < 2 || u.spread {
		return 0
	}
	spread := spreadFraction * float64(s.slotTime)
	if u.Zone != f.options.Zone {
		return time.Duration(spread / 2)
	}
	if age := now - u.answeredAt; age < freedFor && float64(u.answeredIn) < quickRatio*float64(s.fair.quickTime) {
		return 0
	}
	return time.Duration(f.random() * spread)
}

// plainRoom reports whether a plain upstream with so many requests in all may get another
// one: the upstream's own queue takes some beyond its slots. What other entries had lately
// counts for less where calls are shorter than reports, and not at all while this entry's
// requests are bounded: all entries would leave the same upstreams, and come back to them,
// at once.
func (s *service) plainRoom(u *upstreamView, running int) bool {
	factor := 2
	if s.otherTrust() < 1 {
		factor = 3
	}
	return u.running < u.Slots && (running < factor*u.Slots || s.fair.maxRunning > 0)
}

const (
	// spreadFraction is the highest spread, in parts of a call's time.
	spreadFraction = 0.5
	// freedFor is how long after an answer a slot of its upstream counts as free, if the
	// answer took less than quickRatio of a quick one: nothing waited there. In the
	// emulation of 64 entries beside an organisation at 2.5 times the capacity, 0.82 of
	// the capacity is answered in time without it and 0.92 with it.
	freedFor   = 100 * time.Millisecond
	quickRatio = 1.5
)

// plainBusy is the number of requests that count in the ranking of a plain upstream.
// Those of other entries count only as far as calls last longer than reports take: of
// calls of 100 ms none is left after 300 ms, and all entries would move to the upstream
// that was idle then. In the emulation of 64 entries and 60 upstreams at 0.87 of their
// capacity, 0.69 of the requests are answered in time if they count in full, and all without
// them.
func (s *service) plainBusy(u *upstreamView) float64 {
	return float64(u.running) + s.otherTrust()*float64(u.otherWork.Running)
}

// otherTrust is the weight of what other entries had at a plain upstream at their last
// reports, from 0 to 1.
func (s *service) otherTrust() float64 {
	// The interval of the reports of a few entries, and a multiple of it.
	const short, long = 300 * time.Millisecond, 1200 * time.Millisecond
	if s.fair.entries < 2 {
		return 1
	}
	return min(max(float64(s.fair.quickTime-short)/float64(long-short), 0), 1)
}

// SetShares applies the leader's decision on the organisations' shares; nil if it has made
// none. Entries then go on with the last one for a while.
func (f *Fleet) SetShares(now clock.Instant, reply *fairness.Reply) {
	if reply == nil {
		return
	}
	for name, s := range f.services {
		if decision, ok := reply.Services[name]; ok {
			s.fair.gate.Set(now, decision.Excesses)
		} else {
			s.fair.gate.Clear()
		}
	}
}

// expireShares ends the shares that no leader has renewed in time, with the bound that goes with
// them.
func (s *service) expireShares(now clock.Instant) {
	if !s.fair.gate.Saturated(now) {
		s.fair.gate.Clear()
		s.fair.maxRunning = 0
	}
}

// AboveShare is the number of organisations that are above their share of a service.
func (f *Fleet) AboveShare(now clock.Instant) int {
	n := 0
	for _, s := range f.services {
		n += s.fair.gate.Excesses(now)
	}
	return n
}

// minMeasured is the least time that a rate is measured over. The first report may follow the
// first request of a service at once: one request in a millisecond would be a rate of 1,000, and
// the leader takes the highest rate lately for the capacity.
const minMeasured = 250 * time.Millisecond

// fairnessReport returns what the leader needs to share out the service, and starts a new
// measurement. seconds is the time that it covers, and late the answers that missed their
// target.
func (s *service) fairnessReport(now clock.Instant, seconds, late float64) fairness.Report {
	state := &s.fair
	seconds = max(seconds, minMeasured.Seconds())
	r := fairness.Report{
		Carried: min(state.carried/seconds, fairness.MaxRate), Answers: float64(state.answers) / seconds,
		Refused: float64(state.refused) / seconds, Late: late / seconds,
		// Slots of plain upstreams that look free may be taken by now.
		Room: s.config.Engine != nil && s.freeSlots() > 0,
	}
	if len(s.queue) > 0 || state.refused > 0 || late > 0 {
		state.signalAt, state.signalled = now, true
	}
	if state.gate.Saturated(now) || state.signalled && now-state.signalAt <= localSignalTime {
		r.Demands = demandList(state.demand, seconds)
	}
	state.carried, state.answers, state.refused = 0, 0, 0
	clear(state.demand)
	return r
}

// demandList returns the largest demands, the largest first.
func demandList(work map[fairness.Key]float64, seconds float64) []fairness.Demand {
	list := make([]fairness.Demand, 0, len(work))
	for key, w := range work {
		list = append(list, fairness.Demand{Key: key, Rate: min(w/seconds, fairness.MaxRate)})
	}
	slices.SortFunc(list, func(a, b fairness.Demand) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), fairness.MaxDemands)]
}
