package fence

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// confirmValidity is how long a leader that a majority confirmed counts as the
// leader. It is shorter than the time that another one takes from its election
// to its first command.
const confirmValidity = 300 * time.Millisecond

// lateEffect is how long after its sending a command without a known outcome may
// still take effect.
const lateEffect = 6 * time.Second

// TermLease tells a node when it may send commands as the leader of a term. The
// commands carry the term as their token, and receivers refuse lower tokens than
// they have seen. That stops the leader before, but not two leaders that take
// turns: after a term in which the node sent commands, it sends none in a later
// term before a lease has passed, in which another leader may have sent some.
type TermLease struct {
	// lease is the time within which no command of another holder may lie
	// between two of this one.
	lease time.Duration
	term  uint64
	// confirmedAt is when the question was asked that a majority answered.
	confirmedAt clock.Instant
	// rejected is the newest term whose token a receiver has refused.
	rejected uint64
	// sentTerm is the term of the last command, and effectBy the instant until
	// which it may take effect.
	sentTerm uint64
	effectBy clock.Instant
}

// NewTermLease returns the lease of a node that has sent no commands.
func NewTermLease(lease time.Duration) *TermLease { return &TermLease{lease: lease} }

// Confirmed records that a majority confirmed the node as the leader of the term
// at some time after the instant.
func (t *TermLease) Confirmed(askedAt clock.Instant, term uint64) {
	t.term, t.confirmedAt = term, askedAt
}

// NeedsConfirmation reports whether the node has to be confirmed again before it
// may send a command in the term.
func (t *TermLease) NeedsConfirmation(now clock.Instant, term uint64) bool {
	return t.term != term || now-t.confirmedAt > confirmValidity
}

// MaySend reports whether the node may send a command in the term now.
func (t *TermLease) MaySend(now clock.Instant, term uint64) bool {
	return t.Awaited(now, term) == 0 && !t.NeedsConfirmation(now, term)
}

// Awaited is the time until the node may send commands in the term, if a majority
// confirms it then. It is negative if the node may send none in this term.
func (t *TermLease) Awaited(now clock.Instant, term uint64) time.Duration {
	switch {
	case term <= t.rejected:
		return -1
	case t.sentTerm == 0 || t.sentTerm == term:
		return 0
	default:
		return max(t.effectBy+t.lease-now, 0)
	}
}

// Sent records a command that was sent, and is called when the call has ended.
// answered says that its outcome is known, so that it has no effect later on.
func (t *TermLease) Sent(now clock.Instant, term uint64, answered bool) {
	if !answered {
		now += lateEffect
	}
	t.sentTerm, t.effectBy = term, max(t.effectBy, now)
}

// Rejected records that a receiver has seen a higher token than the term.
func (t *TermLease) Rejected(term uint64) { t.rejected = max(t.rejected, term) }
