// Package startup decides what an entry does with the requests that come before it can serve:
// after a loss of all power every entry starts at once, callers come back once, and a refusal
// that names too early a time costs them the request. It does no I/O; the time is passed in.
package startup

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Bounds of a start.
const (
	// phase is the time after its start for which an entry holds requests back. An entry that
	// can't serve for longer has lost the keepers, and refuses at once.
	phase = 5 * time.Second
	// holdFraction bounds the wait of one request as a fraction of the time that its caller
	// has left: the rest is for the answer, or for another entry.
	holdFraction = 0.5
	// maxHeld bounds the requests that are held at once, as their bodies are in memory.
	maxHeld = 128
	// usualTime is the time from a start to the first configuration while the keepers start
	// too: it contains an election.
	usualTime = 900 * time.Millisecond
	// minRetryAfter is the least time to come back, and retrySpread the time over which
	// those who are refused come back.
	minRetryAfter = 300 * time.Millisecond
	retrySpread   = 300 * time.Millisecond
)

// Gate holds requests back while an entry starts. It isn't safe for concurrent use.
type Gate struct {
	startedAt clock.Instant
	maxHold   time.Duration
	held      int
}

// New returns the gate of an entry that starts now and holds a request for maxHold at most; 0
// holds none.
func New(now clock.Instant, maxHold time.Duration) *Gate {
	return &Gate{startedAt: now, maxHold: maxHold}
}

// Until returns when the wait of a request ends that came at the instant arrived and whose caller
// waits for patience: what it needs may not be there yet though the entry serves.
func (g *Gate) Until(arrived clock.Instant, patience time.Duration) clock.Instant {
	return min(arrived+min(g.maxHold, time.Duration(holdFraction*float64(patience))), g.startedAt+phase)
}

// Hold returns how long a request may be held whose caller waits for the time remaining, and
// whether to hold it at all. A request that is held has to be released.
func (g *Gate) Hold(now clock.Instant, remaining time.Duration) (time.Duration, bool) {
	limit := g.Until(now, remaining) - now
	if limit <= 0 || g.held >= maxHeld {
		return 0, false
	}
	g.held++
	return limit, true
}

// Release ends the wait of a held request.
func (g *Gate) Release() { g.held-- }

// RetryAfter is the time after which the entry is expected to serve. random is uniform in
// [0, 1).
func (g *Gate) RetryAfter(now clock.Instant, random float64) time.Duration {
	return max(g.startedAt+usualTime-now, minRetryAfter) + time.Duration(random*float64(retrySpread))
}
