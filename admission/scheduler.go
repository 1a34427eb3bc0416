// Package admission decides which requests of a service an entry accepts, and
// in which order accepted requests get free upstream slots. The most urgent rank
// goes first, but each rank gets at least its floor, a fraction of the capacity;
// within a rank, callers are served in proportion to their weights. A caller
// whose demand, over all entries, exceeds its fair share is "over share" and may
// be kept from using some of the slots. The package has no clock and does no I/O:
// time and capacity are passed in.
package admission

import (
	"math"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/service"
)

// Limits of the queues of one service.
const (
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting = 1 << 14
	// waitFraction is the fraction of a rank's first-token target that the
	// predicted wait may use; the rest is for the network hop to the upstream
	// and the prefill.
	waitFraction = 0.65
	// rateHalfLife is the half-life of the decayed averages: the accepted work
	// of each rank and the demand of each caller.
	rateHalfLife = 4 * time.Second
	// maxCreditSeconds bounds the credit of a rank that is served less than its
	// floor, in seconds of work at its floor.
	maxCreditSeconds = 2
	// pruneInterval is the time between two removals of expired callers.
	pruneInterval = time.Second
	// callerExpiry is how long after its last request a caller still counts
	// towards the shares of its rank.
	callerExpiry = 15 * time.Second
)

// Request describes a call to the scheduler.
type Request struct {
	ID     uint64
	Rank   int
	Caller string
	Weight float64
	// Cost is the expected work, in tokens.
	Cost float64
	// OverShare says that the caller asks for more than its share.
	OverShare bool
	// AcceptedAt is set by Offer.
	AcceptedAt clock.Instant
}

// Capacity is the upstream capacity that is available to the entry.
type Capacity struct {
	// Free is the number of slots that are free now.
	Free int
	// FreeOverShare is how many of the free slots callers may use that ask for
	// more than their share.
	FreeOverShare int
	// Rate is the work that this entry's share of the service's upstreams is
	// expected to do, in tokens per second.
	Rate float64
}

// Decision is the outcome of an offer.
type Decision struct {
	Accepted bool
	// Wait is the predicted time until the request starts.
	Wait time.Duration
	// RetryAfter is how long the caller of a refused request should wait before
	// it tries again.
	RetryAfter time.Duration
}

// Scheduler accepts and queues the requests of one service. It isn't safe for
// concurrent use.
type Scheduler struct {
	ranks     []rankState
	waiting   int
	lastPrune clock.Instant
	lastDecay clock.Instant
}

type rankState struct {
	// target is the time to the first token that the rank promises.
	target time.Duration
	// floor is the fraction of the capacity that the rank gets at least.
	floor float64
	queue *fairQueue
	// credit is the work, in tokens, that the rank lacks to reach its floor.
	credit float64
	// acceptedRate is the decayed average of the accepted work, in tokens per
	// second.
	acceptedRate float64
}

// New returns a scheduler for the ranks of a document, the most urgent first.
func New(ranks []service.Rank) *Scheduler {
	s := &Scheduler{}
	s.SetRanks(ranks)
	return s
}

// SetRanks replaces the targets and floors by those of a new revision. Waiting
// requests keep their order; those of a removed rank move to the last one.
func (s *Scheduler) SetRanks(ranks []service.Rank) {
	old := s.ranks
	s.ranks = make([]rankState, len(ranks))
	for i, r := range ranks {
		s.ranks[i] = rankState{target: r.FirstToken, floor: r.Floor, queue: newFairQueue()}
	}
	for i, from := range old {
		to := &s.ranks[min(i, len(ranks)-1)]
		to.acceptedRate += from.acceptedRate
		for {
			if _, ok := from.queue.peek(true); !ok {
				break
			}
			r := from.queue.pop(true)
			r.Rank = min(i, len(ranks)-1)
			to.queue.push(r)
		}
	}
}

// Offer decides whether to accept a request, and queues it if so. It refuses a
// request that is predicted to wait for longer than waitFraction of its rank's
// target.
func (s *Scheduler) Offer(now clock.Instant, r Request, c Capacity) Decision {
	s.decay(now)
	r.Rank = min(max(r.Rank, 0), len(s.ranks)-1)
	if now-s.lastPrune >= pruneInterval {
		s.lastPrune = now
		s.prune(now)
	}
	s.ranks[r.Rank].queue.touch(r.Caller, r.Weight, now).addDemand(r.Cost, now)
	wait := s.predictWait(r, c)
	maxWait := time.Duration(waitFraction * float64(s.ranks[r.Rank].target))
	if wait > maxWait || s.waiting >= MaxWaiting {
		return Decision{Wait: wait, RetryAfter: retryAfter(wait, maxWait)}
	}
	r.AcceptedAt = now
	rank := &s.ranks[r.Rank]
	rank.queue.push(r)
	rank.acceptedRate += r.Cost * math.Ln2 / rateHalfLife.Seconds()
	s.waiting++
	return Decision{Accepted: true, Wait: wait}
}

func retryAfter(wait, maxWait time.Duration) time.Duration {
	const shortest, longest = 100 * time.Millisecond, time.Minute
	return min(max(wait-maxWait, shortest), longest)
}

// predictWait predicts how long r waits for a slot. It is the longer of two
// times: that in which the caller's share of the rank's guaranteed rate works
// off the caller's backlog, whatever the other ranks ask for later; and that in
// which the rank works off its whole backlog at the rate that it gets at
// present. The cost of r itself isn't counted, as a caller without a backlog is
// served next.
func (s *Scheduler) predictWait(r Request, c Capacity) time.Duration {
	if s.waiting == 0 && c.Free > 0 {
		return 0
	}
	if c.Rate <= 0 {
		return math.MaxInt64
	}
	rank := &s.ranks[r.Rank]
	rate := s.guaranteedRate(r.Rank, c.Rate)
	callerSeconds := rank.queue.callerBacklog(r.Caller) / (rate * rank.queue.callerShare(r.Caller))
	rankSeconds := rank.queue.backlog / max(rate, min(s.availableRate(r.Rank, c.Rate), c.Rate))
	if seconds := max(callerSeconds, rankSeconds); seconds < float64(math.MaxInt64)/float64(2*time.Second) {
		return time.Duration(seconds * float64(time.Second))
	}
	return math.MaxInt64
}

// availableRate is the part of rate that the other ranks leave unused at present.
func (s *Scheduler) availableRate(rank int, rate float64) float64 {
	for i := range s.ranks {
		if i != rank {
			rate -= s.ranks[i].acceptedRate
		}
	}
	return rate
}

// guaranteedRate is the part of rate that the rank gets however much the other
// ranks ask for: its floor, and for the most urgent rank all that the floors of
// the others leave. A rank without a floor has no guarantee; the result is then
// what the others leave at present. It is above 0, as callers divide by it.
func (s *Scheduler) guaranteedRate(rank int, rate float64) float64 {
	const minFraction = 1e-6
	otherFloors := 0.0
	for i := range s.ranks {
		if i != rank {
			otherFloors += s.ranks[i].floor
		}
	}
	switch {
	case rank == 0:
		return max((1-otherFloors)*rate, s.ranks[0].floor*rate, minFraction*rate)
	case s.ranks[rank].floor > 0:
		return s.ranks[rank].floor * rate
	default:
		return max(s.availableRate(rank, rate), minFraction*rate)
	}
}

// Next removes and returns the request that gets the next free slot: one of the
// most urgent rank, unless another rank was served less than its floor.
func (s *Scheduler) Next(now clock.Instant, c Capacity) (Request, bool) {
	s.decay(now)
	if c.Free <= 0 {
		return Request{}, false
	}
	includeOverShare := c.FreeOverShare > 0
	rank := s.pickRank(includeOverShare)
	if rank < 0 {
		return Request{}, false
	}
	r := s.ranks[rank].queue.pop(includeOverShare)
	s.waiting--
	s.updateCredits(rank, r.Cost, c.Rate*maxCreditSeconds)
	return r, true
}

// pickRank returns the rank to serve next, or -1: the one with the most credit
// of those whose credit covers their next request, else the most urgent one.
func (s *Scheduler) pickRank(includeOverShare bool) int {
	mostUrgent, mostBehind := -1, -1
	for i := range s.ranks {
		rank := &s.ranks[i]
		head, ok := rank.queue.peek(includeOverShare)
		if !ok {
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = i
		}
		if rank.credit >= head.Cost && (mostBehind < 0 || rank.credit > s.ranks[mostBehind].credit) {
			mostBehind = i
		}
	}
	if mostBehind >= 0 {
		return mostBehind
	}
	return mostUrgent
}

// updateCredits accounts for a served request: every other rank with waiting
// requests gains its floor's fraction of the cost as credit; the served rank
// gains its own fraction too and loses the whole cost.
func (s *Scheduler) updateCredits(servedRank int, cost, maxCredit float64) {
	for i := range s.ranks {
		rank := &s.ranks[i]
		if i == servedRank {
			rank.credit = max(rank.credit-cost*(1-rank.floor), 0)
			continue
		}
		if rank.queue.length == 0 {
			rank.credit = 0
			continue
		}
		head, _ := rank.queue.peek(true)
		rank.credit = min(rank.credit+rank.floor*cost, max(maxCredit*rank.floor, head.Cost))
	}
}

// Remove removes a waiting request and reports whether it was waiting.
func (s *Scheduler) Remove(caller string, id uint64) bool {
	for i := range s.ranks {
		if s.ranks[i].queue.remove(caller, id) {
			s.waiting--
			return true
		}
	}
	return false
}

// Waiting is the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// WaitingIn is the number of waiting requests of a rank.
func (s *Scheduler) WaitingIn(rank int) int { return s.ranks[rank].queue.length }

// EachDemand calls f with the demand of each caller in each rank: the decayed
// average of the work that it asked for, in tokens per second.
func (s *Scheduler) EachDemand(now clock.Instant, f func(rank int, caller string, rate float64)) {
	for i := range s.ranks {
		for name, c := range s.ranks[i].queue.callers {
			f(i, name, c.currentDemand(now))
		}
	}
}

func (s *Scheduler) decay(now clock.Instant) {
	if now <= s.lastDecay {
		return
	}
	factor := math.Exp2(-float64(now-s.lastDecay) / float64(rateHalfLife))
	s.lastDecay = now
	for i := range s.ranks {
		s.ranks[i].acceptedRate *= factor
	}
}

func (s *Scheduler) prune(now clock.Instant) {
	for i := range s.ranks {
		s.ranks[i].queue.prune(now)
	}
}
