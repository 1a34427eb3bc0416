// Package retry decides whether a request may be tried again.
package retry

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Failure says how an attempt ended.
type Failure int

// The ways in which an attempt fails.
const (
	// NotSent means that no byte went to the upstream.
	NotSent Failure = iota
	// Refused means that the upstream said it did not run the request.
	Refused
	// Reclaimed means that the upstream announced its end.
	Reclaimed
	// Broken means that the connection ended after bytes were sent: the
	// request may have run, and the upstream may have died of it.
	Broken
	// Silent means that nothing more came after bytes were sent: the request
	// may have run.
	Silent
	// Errored means that the upstream answered with a failure of its own.
	Errored
)

// String returns the failure's name.
func (f Failure) String() string {
	return [...]string{"notSent", "refused", "reclaimed", "broken", "silent", "errored"}[f]
}

// Ran reports what is known about the request's execution after f.
func (f Failure) Ran() bool { return f == Reclaimed || f == Broken || f == Silent || f == Errored }

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 8

// Allowed reports whether a request may be tried again after the failure. A
// request that may have run is only repeated if it is repeatable.
func Allowed(f Failure, repeatable bool, attempts int) bool {
	if attempts >= MaxAttempts {
		return false
	}
	return repeatable || !f.Ran()
}

// Budget bounds retries to a part of the requests, so that retries can't
// multiply the load on a failing fleet.
type Budget struct {
	ratio  float64
	tokens float64
	// floor is the number of retries per second whatever the traffic, and
	// saved the largest number that can be saved up.
	floor float64
	saved float64
	last  clock.Instant
}

// Retries that a service has per second whatever its traffic, and the
// largest number that it can save up.
const (
	floorPerSecond = 2
	maxSaved       = 64
)

// NewBudget returns a budget of ratio retries per request.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: maxSaved / 2, floor: floorPerSecond, saved: maxSaved}
}

// NewPart returns one process's part of a budget that many share: ratio
// retries per request, of which saved may be saved up. The sum over all parts
// stays within the shared budget however the requests are spread.
func NewPart(ratio, saved float64) *Budget {
	return &Budget{ratio: ratio, tokens: saved, saved: saved}
}

// SetSaved changes how many retries may be saved up; with fill what that adds
// is there at once.
func (b *Budget) SetSaved(saved float64, fill bool) {
	if fill && saved > b.saved {
		b.tokens += saved - b.saved
	}
	b.saved = saved
	b.tokens = min(b.tokens, saved)
}

// Left is the number of retries that may be made now.
func (b *Budget) Left() float64 { return b.tokens }

// Deposit counts a request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.saved) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend(now clock.Instant) bool {
	elapsed := now - b.last
	b.last = now
	b.tokens = min(b.tokens+b.floor*float64(elapsed)/float64(time.Second), b.saved)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
