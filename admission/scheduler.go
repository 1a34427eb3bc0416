// Package admission decides which requests of a service are accepted, and in
// which order accepted ones get a free slot: by rank, with a floor for each
// rank, and within a rank by the callers' weights. It is pure: time and
// capacity are passed in.
package admission

import (
	"math"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/service"
)

// Limits of the queues of one service.
const (
	// MaxWaiting bounds the requests that wait.
	MaxWaiting = 1 << 14
	// safety is the part of a rank's target that predicted waiting may fill;
	// the rest is for the hop and the prefill.
	safety = 0.65
	// usageHalfLife is the half-life of the measured use of each rank.
	usageHalfLife = 4 * time.Second
	// creditSeconds bounds, in seconds of capacity, the credit that a rank
	// below its floor can save up.
	creditSeconds = 2
	// pruneInterval is the time between two clean-ups.
	pruneInterval = time.Second
	// activeTime is how long after its last request a caller counts as one
	// that may come back.
	activeTime = 15 * time.Second
)

// Request is what admission needs to know of a call.
type Request struct {
	ID     uint64
	Rank   int
	Caller string
	Weight float64
	// Cost is the expected work in tokens.
	Cost float64
	// Over says that the caller asks for more than its share.
	Over bool
	// Accepted is when the request was accepted.
	Accepted clock.Instant
}

// Capacity is what the scheduler can count on.
type Capacity struct {
	// Free is the number of slots that are free now.
	Free int
	// FreeOver is the part of Free that callers may use who ask for more than
	// their share.
	FreeOver int
	// Rate is the expected work per second, in tokens, of this entry's share
	// of the fleet.
	Rate float64
}

// Decision is the outcome of an offer.
type Decision struct {
	Accepted bool
	// Wait is the predicted time until the request starts.
	Wait time.Duration
	// RetryAfter is when a refused request may try again.
	RetryAfter time.Duration
}

// Scheduler orders the requests of one service. It isn't safe for concurrent
// use.
type Scheduler struct {
	ranks   []rankState
	waiting int
	pruned  clock.Instant
	last    clock.Instant
}

type rankState struct {
	target time.Duration
	floor  float64
	queue  *fairQueue
	// credit is the work by which the rank is behind its floor.
	credit float64
	// usage is the decayed work that was accepted, in tokens per second.
	usage float64
}

// New returns a scheduler for the ranks of a document, the most urgent first.
func New(ranks []service.Rank) *Scheduler {
	s := &Scheduler{}
	s.SetRanks(ranks)
	return s
}

// SetRanks takes over the targets and floors of a new revision. Waiting
// requests keep their position; those of a rank that is gone join the last.
func (s *Scheduler) SetRanks(ranks []service.Rank) {
	old := s.ranks
	s.ranks = make([]rankState, len(ranks))
	for i, r := range ranks {
		s.ranks[i] = rankState{target: r.FirstToken, floor: r.Floor, queue: newFairQueue()}
	}
	for i, o := range old {
		to := &s.ranks[min(i, len(ranks)-1)]
		to.usage += o.usage
		for {
			if _, ok := o.queue.head(true); !ok {
				break
			}
			r := o.queue.pop(true)
			r.Rank = min(i, len(ranks)-1)
			to.queue.push(r)
		}
	}
}

// Offer decides whether to accept a request, and queues it if so. It accepts
// only what is predicted to start within its rank's target.
func (s *Scheduler) Offer(now clock.Instant, r Request, c Capacity) Decision {
	s.decay(now)
	r.Rank = min(max(r.Rank, 0), len(s.ranks)-1)
	if now-s.pruned >= pruneInterval {
		s.pruned = now
		s.prune(now)
	}
	s.ranks[r.Rank].queue.see(r.Caller, r.Weight, now).ask(r.Cost, now)
	wait := s.predict(r, c)
	target := time.Duration(safety * float64(s.ranks[r.Rank].target))
	if wait > target || s.waiting >= MaxWaiting {
		return Decision{Wait: wait, RetryAfter: retryAfter(wait, target)}
	}
	r.Accepted = now
	rank := &s.ranks[r.Rank]
	rank.queue.push(r)
	rank.usage += r.Cost * math.Ln2 / usageHalfLife.Seconds()
	s.waiting++
	return Decision{Accepted: true, Wait: wait}
}

func retryAfter(wait, target time.Duration) time.Duration {
	const least, most = 100 * time.Millisecond, time.Minute
	return min(max(wait-target, least), most)
}

// predict bounds the waiting time of r by what the rank is guaranteed,
// whatever the other ranks ask for later: a caller waits until its own backlog
// is done at its own share, and the rank's until it is done at the rate that
// the rank has at present. The request itself isn't counted: a caller without
// a backlog gets the next turn.
func (s *Scheduler) predict(r Request, c Capacity) time.Duration {
	if s.waiting == 0 && c.Free > 0 {
		return 0
	}
	if c.Rate <= 0 {
		return math.MaxInt64
	}
	rank := &s.ranks[r.Rank]
	rate := s.guaranteed(r.Rank, c.Rate)
	own := rank.queue.callerWork(r.Caller) / (rate * rank.queue.callerShare(r.Caller))
	all := rank.queue.work / max(rate, min(s.left(r.Rank, c.Rate), c.Rate))
	if seconds := max(own, all); seconds < float64(math.MaxInt64)/float64(2*time.Second) {
		return time.Duration(seconds * float64(time.Second))
	}
	return math.MaxInt64
}

// left is the work per second that the other ranks leave at present.
func (s *Scheduler) left(rank int, rate float64) float64 {
	for i := range s.ranks {
		if i != rank {
			rate -= s.ranks[i].usage
		}
	}
	return rate
}

// guaranteed is the work per second that the rank gets even when all others
// ask for more than there is: its floor, and for the most urgent rank all that
// the floors of the others leave. A rank without a floor counts on what is
// left at present.
func (s *Scheduler) guaranteed(rank int, rate float64) float64 {
	const least = 1e-6
	others := 0.0
	for i := range s.ranks {
		if i != rank {
			others += s.ranks[i].floor
		}
	}
	switch {
	case rank == 0:
		return max((1-others)*rate, s.ranks[0].floor*rate, least*rate)
	case s.ranks[rank].floor > 0:
		return s.ranks[rank].floor * rate
	default:
		return max(s.left(rank, rate), least*rate)
	}
}

// Next takes the request that gets the next free slot: the most urgent, unless
// a rank has fallen behind its floor.
func (s *Scheduler) Next(now clock.Instant, c Capacity) (Request, bool) {
	s.decay(now)
	if c.Free <= 0 {
		return Request{}, false
	}
	withOver := c.FreeOver > 0
	rank := s.pick(withOver)
	if rank < 0 {
		return Request{}, false
	}
	r := s.ranks[rank].queue.pop(withOver)
	s.waiting--
	s.settleCredit(rank, r.Cost, c.Rate*creditSeconds)
	return r, true
}

func (s *Scheduler) pick(withOver bool) int {
	urgent, behind := -1, -1
	for i := range s.ranks {
		rank := &s.ranks[i]
		head, ok := rank.queue.head(withOver)
		if !ok {
			continue
		}
		if urgent < 0 {
			urgent = i
		}
		if rank.credit >= head.Cost && (behind < 0 || rank.credit > s.ranks[behind].credit) {
			behind = i
		}
	}
	if behind >= 0 {
		return behind
	}
	return urgent
}

// settleCredit gives every waiting rank its floor's part of the served work
// and takes the work from the rank that was served.
func (s *Scheduler) settleCredit(served int, cost, most float64) {
	for i := range s.ranks {
		rank := &s.ranks[i]
		if i == served {
			rank.credit = max(rank.credit-cost*(1-rank.floor), 0)
			continue
		}
		if rank.queue.length == 0 {
			rank.credit = 0
			continue
		}
		head, _ := rank.queue.head(true)
		rank.credit = min(rank.credit+rank.floor*cost, max(most*rank.floor, head.Cost))
	}
}

// Remove takes a waiting request out and reports whether it was there.
func (s *Scheduler) Remove(caller string, id uint64) bool {
	for i := range s.ranks {
		if s.ranks[i].queue.remove(caller, id) {
			s.waiting--
			return true
		}
	}
	return false
}

// Waiting is the number of requests that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// WaitingIn is the number of requests that wait in a rank.
func (s *Scheduler) WaitingIn(rank int) int { return s.ranks[rank].queue.length }

// Asked is the work per second, in tokens, that callers asked for lately.
func (s *Scheduler) Asked(now clock.Instant, f func(rank int, caller string, rate float64)) {
	for i := range s.ranks {
		for name, c := range s.ranks[i].queue.callers {
			f(i, name, c.askedNow(now))
		}
	}
}

func (s *Scheduler) decay(now clock.Instant) {
	if now <= s.last {
		return
	}
	factor := math.Exp2(-float64(now-s.last) / float64(usageHalfLife))
	s.last = now
	for i := range s.ranks {
		s.ranks[i].usage *= factor
	}
}

func (s *Scheduler) prune(now clock.Instant) {
	for i := range s.ranks {
		s.ranks[i].queue.prune(now)
	}
}
