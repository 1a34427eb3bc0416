package link

import (
	"sync"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
)

// rolloutView is which view of the rollouts the entry holds. Its lock is held during the
// callbacks: a version that is named to a keeper has to be in force, as a reply without a view
// confirms that version.
type rolloutView struct {
	mu      sync.Mutex
	version uint64
	// confirmedAt is when the keeper was asked whose majority confirmed last.
	confirmedAt clock.Instant
}

// rolloutVersion is the version of the view that the entry holds.
func (l *Link) rolloutVersion() uint64 {
	l.rollouts.mu.Lock()
	defer l.rollouts.mu.Unlock()
	return l.rollouts.version
}

// applyRollouts hands over the view in a keeper's reply to a call at askedAt, and then its
// confirmation. Replies to the loops may come out of order: an older view or confirmation
// changes nothing. A keeper that confirmed answers with the view at the confirmation or a
// later one, or with none if the entry has it, so that the confirmation holds for the view
// in force here, which is at least as new.
func (l *Link) applyRollouts(askedAt clock.Instant, reply *control.SyncReply) {
	l.rollouts.mu.Lock()
	defer l.rollouts.mu.Unlock()
	if v := reply.Rollouts; v != nil && v.Version > l.rollouts.version {
		if l.options.OnRollouts != nil {
			l.options.OnRollouts(*v)
		}
		l.rollouts.version = v.Version
	}
	if reply.Quorum == control.QuorumConfirmed && askedAt > l.rollouts.confirmedAt {
		if l.options.OnRolloutsConfirmed != nil {
			l.options.OnRolloutsConfirmed(askedAt)
		}
		l.rollouts.confirmedAt = askedAt
	}
}
