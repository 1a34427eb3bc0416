package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// paceTime is the time constant with which past starts are forgotten.
	paceTime = time.Second
	// priorSeconds is the weight of the assumed rate, as a time for which it would have
	// been measured.
	priorSeconds = 0.25
	// minPart is the least part of the starts that is assumed to be left for a rank: more
	// urgent ones may ask for less at any time.
	minPart = 0.05
	// nextStart is the expected time to the next start, in mean intervals between
	// starts: about the median if they come at random. The mean, 1, refuses at rates of
	// a few starts per target what mostly starts in time.
	nextStart = 0.5
	// forgottenStarts is the number of starts below which a rank is forgotten.
	forgottenStarts = 1e-3
)

// maxRanks bounds the ranks of a service that are told apart at one entry. Operators choose
// their number; where there are more, the least urgent ones count together.
const maxRanks = 256

// Pace measures the rate at which one entry starts the requests of a service while some
// of them wait. The rate at other times is that of the callers, not of the service. It
// isn't safe for concurrent use.
type Pace struct {
	at clock.Instant
	// waiting says that requests have waited since at.
	waiting bool
	// busy is the time in seconds for which requests waited, and starts the starts of the ranks
	// that had any in that time, the most urgent first. Both are decayed.
	busy   float64
	starts []rankStarts
}

// rankStarts is the decayed number of starts of a rank.
type rankStarts struct {
	rank   int
	starts float64
}

// SetWaiting records whether requests wait from now on.
func (p *Pace) SetWaiting(now clock.Instant, waiting bool) {
	p.advance(now)
	p.waiting = waiting
}

// Start counts the start of a request.
func (p *Pace) Start(now clock.Instant, rank int) {
	p.advance(now)
	if !p.waiting {
		return
	}
	i, known := slices.BinarySearchFunc(p.starts, rank, func(s rankStarts, rank int) int { return cmp.Compare(s.rank, rank) })
	if !known {
		p.starts = slices.Insert(p.starts, i, rankStarts{rank: rank})
	}
	p.starts[i].starts++
	if last := len(p.starts) - 1; last >= maxRanks {
		p.starts[last-1].starts += p.starts[last].starts
		p.starts = p.starts[:last]
	}
}

func (p *Pace) advance(now clock.Instant) {
	elapsed := now - p.at
	if elapsed <= 0 {
		return
	}
	p.at = now
	if p.busy == 0 && !p.waiting {
		return
	}
	seconds := elapsed.Seconds()
	factor := math.Exp(-seconds / paceTime.Seconds())
	p.busy *= factor
	for i := range p.starts {
		p.starts[i].starts *= factor
	}
	p.starts = slices.DeleteFunc(p.starts, func(s rankStarts) bool { return s.starts < forgottenStarts })
	if p.waiting {
		// The time that has just passed decays too.
		p.busy += (1 - factor) * paceTime.Seconds()
	}
	if p.busy < 1e-6 {
		p.busy = 0
		p.starts = p.starts[:0]
	}
}

// Rates are starts per second: of all ranks, and of those before a rank.
type Rates struct{ Total, Before float64 }

// Rates returns the measured rates. assumed is the total that counts while little is
// measured.
func (p *Pace) Rates(now clock.Instant, rank int, assumed float64) Rates {
	p.advance(now)
	var r Rates
	for _, s := range p.starts {
		r.Total += s.starts
		if s.rank < rank {
			r.Before += s.starts
		}
	}
	r.Total = (r.Total + assumed*priorSeconds) / (p.busy + priorSeconds)
	r.Before /= p.busy + priorSeconds
	return r
}

// Wait estimates the time until a request starts that has before more urgent requests
// ahead of it, and ahead of its own rank.
func (r Rates) Wait(before, ahead int) time.Duration {
	if r.Total <= 0 {
		return maxWait
	}
	seconds := float64(before)/r.Total + (float64(ahead)+nextStart)/max(r.Total-r.Before, minPart*r.Total)
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxWait bounds estimates.
const maxWait = time.Hour
