package keeper

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// watch follows which keepers are alive and decides about the members: new
// keepers become learners, and a learner that has caught up becomes a voter
// while there are too few, or in place of one that is gone for long. It is
// pure.
type watch struct {
	// replaceAfter is how long a member may be gone.
	replaceAfter time.Duration
	// voters is the number of voters wanted once as many keepers are alive.
	voters int
	// zoneOf returns the availability zone of a keeper, empty if unknown.
	zoneOf func(consensus.ID) string
	// missing tells since when a member has been gone.
	missing map[consensus.ID]clock.Instant
}

func newWatch(replaceAfter time.Duration, voters int, zoneOf func(consensus.ID) string) *watch {
	return &watch{replaceAfter: replaceAfter, voters: voters, zoneOf: zoneOf, missing: map[consensus.ID]clock.Instant{}}
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
	ready := func(l consensus.ID) bool {
		return slices.Contains(c.Learners, l) && slices.Contains(alive, l) && caughtUp(l)
	}
	// One voter at a time.
	switch out := slices.IndexFunc(voters, func(id consensus.ID) bool { return slices.Contains(gone, id) }); {
	case out >= 0:
		kept := slices.Delete(slices.Clone(voters), out, out+1)
		if spare := w.spare(kept, learners, ready); spare >= 0 {
			voters[out] = learners[spare]
			learners = slices.Delete(learners, spare, spare+1)
		}
	case len(voters) < w.target(len(alive)):
		if spare := w.spare(voters, learners, ready); spare >= 0 {
			voters = append(voters, learners[spare])
			learners = slices.Delete(learners, spare, spare+1)
		}
	}
	change = !slices.Equal(voters, c.Voters) || !slices.Equal(learners, c.Learners)
	return voters, learners, change
}

// target returns how many voters are wanted while so many keepers are alive:
// an odd number, since an even one bears the loss of no more.
func (w *watch) target(alive int) int {
	n := min(w.voters, alive)
	return n - (n+1)%2
}

// spare returns the index of the learner that is to vote, or -1: one in the
// zone with the fewest voters, so that the loss of a zone takes few.
func (w *watch) spare(voters, learners []consensus.ID, ready func(consensus.ID) bool) int {
	in := map[string]int{}
	for _, id := range voters {
		in[w.zoneOf(id)]++
	}
	best := -1
	for i, id := range learners {
		if ready(id) && (best < 0 || in[w.zoneOf(id)] < in[w.zoneOf(learners[best])]) {
			best = i
		}
	}
	return best
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
