// Package retry decides whether a failed request may be sent to an upstream
// again: Allowed by the kind of failure, Budget by the number of recent retries.
package retry

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Failure is how an attempt to run a request on an upstream failed.
type Failure int

// The kinds of failure.
const (
	// NotSent means that no byte was sent to the upstream.
	NotSent Failure = iota
	// Refused means that the upstream answered that it did not run the request.
	Refused
	// Reclaimed means that the upstream announced that it is being shut down.
	Reclaimed
	// Broken means that the connection ended after bytes were sent: the
	// request may have run, and may have crashed the upstream.
	Broken
	// Silent means that the upstream stopped answering after bytes were sent:
	// the request may have run.
	Silent
	// Errored means that the upstream answered with an error of its own: the
	// request may have run.
	Errored
)

// String returns the failure's name.
func (f Failure) String() string {
	return [...]string{"notSent", "refused", "reclaimed", "broken", "silent", "errored"}[f]
}

// MayHaveRun reports whether the upstream may have run the request.
func (f Failure) MayHaveRun() bool {
	return f == Reclaimed || f == Broken || f == Silent || f == Errored
}

// MaxAttempts is the maximum number of attempts of one request.
const MaxAttempts = 8

// Allowed reports whether a request may be retried after the failure and the
// number of attempts. One that may have run is only retried if it is repeatable.
func Allowed(f Failure, repeatable bool, attempts int) bool {
	if attempts >= MaxAttempts {
		return false
	}
	return repeatable || !f.MayHaveRun()
}

// Budget limits retries to a fraction of the requests, so that retries can't
// multiply the load on failing upstreams. It is a token bucket that each request
// and, in some budgets, time fills.
type Budget struct {
	// ratio is the number of retries that each request adds.
	ratio  float64
	tokens float64
	// refillPerSecond is the number of retries that time adds.
	refillPerSecond float64
	capacity        float64
	lastRefill      clock.Instant
}

// Settings of NewBudget.
const (
	// minRetriesPerSecond is available without any traffic.
	minRetriesPerSecond = 2
	budgetCapacity      = 64
)

// NewBudget returns a budget of ratio retries per request, plus
// minRetriesPerSecond. It is half full at the clock's origin: the first Spend adds
// the retries of the whole time since then.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, tokens: budgetCapacity / 2, refillPerSecond: minRetriesPerSecond, capacity: budgetCapacity}
}

// NewBudgetPart returns one process's part of a budget that several processes
// share: ratio retries per request, and at most capacity saved up. It starts full.
// No retries are added by time, so that the sum over all parts stays within the
// shared budget however the requests are distributed.
func NewBudgetPart(ratio, capacity float64) *Budget {
	return &Budget{ratio: ratio, tokens: capacity, capacity: capacity}
}

// SetCapacity changes how many retries may be saved up. With fill, added capacity
// is available at once.
func (b *Budget) SetCapacity(capacity float64, fill bool) {
	if fill && capacity > b.capacity {
		b.tokens += capacity - b.capacity
	}
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Remaining is the number of retries that may be made now.
func (b *Budget) Remaining() float64 { return b.tokens }

// Deposit adds the retries that one request earns.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.capacity) }

// Spend takes one retry from the budget and reports whether one was left.
func (b *Budget) Spend(now clock.Instant) bool {
	elapsed := now - b.lastRefill
	b.lastRefill = now
	b.tokens = min(b.tokens+b.refillPerSecond*float64(elapsed)/float64(time.Second), b.capacity)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
