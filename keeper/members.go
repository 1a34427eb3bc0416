package keeper

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// watch follows which keepers are alive and decides about the members: new
// keepers become learners, and a voter that is gone for long is replaced by a
// learner that has caught up. It is pure.
type watch struct {
	// replaceAfter is how long a member may be gone.
	replaceAfter time.Duration
	// missing tells since when a member has been gone.
	missing map[consensus.ID]clock.Instant
}

func newWatch(replaceAfter time.Duration) *watch {
	return &watch{replaceAfter: replaceAfter, missing: map[consensus.ID]clock.Instant{}}
}

// decide returns the voters and learners to ask for, or false to leave things.
func (w *watch) decide(now clock.Instant, c consensus.Config, alive []consensus.ID, caughtUp func(consensus.ID) bool) (voters, learners []consensus.ID, change bool) {
	gone := w.gone(now, c, alive)
	learners = slices.DeleteFunc(slices.Clone(c.Learners), func(id consensus.ID) bool { return slices.Contains(gone, id) })
	for _, id := range alive {
		if !slices.Contains(c.Members(), id) {
			learners = append(learners, id)
		}
	}
	voters = slices.Clone(c.Voters)
	for i, id := range voters {
		if !slices.Contains(gone, id) {
			continue
		}
		spare := slices.IndexFunc(learners, func(l consensus.ID) bool {
			return slices.Contains(c.Learners, l) && slices.Contains(alive, l) && caughtUp(l)
		})
		if spare >= 0 {
			voters[i] = learners[spare]
			learners = slices.Delete(learners, spare, spare+1)
			// One voter at a time.
			break
		}
	}
	change = !slices.Equal(voters, c.Voters) || !slices.Equal(learners, c.Learners)
	return voters, learners, change
}

// gone lists the members that have been missing for too long.
func (w *watch) gone(now clock.Instant, c consensus.Config, alive []consensus.ID) []consensus.ID {
	var gone []consensus.ID
	members := c.Members()
	for id := range w.missing {
		if slices.Contains(alive, id) || !slices.Contains(members, id) {
			delete(w.missing, id)
		}
	}
	for _, id := range members {
		if slices.Contains(alive, id) {
			continue
		}
		since, ok := w.missing[id]
		if !ok {
			w.missing[id] = now
			continue
		}
		if now-since >= w.replaceAfter {
			gone = append(gone, id)
		}
	}
	return gone
}

// reset forgets what was seen; a new leader starts anew.
func (w *watch) reset() { clear(w.missing) }
