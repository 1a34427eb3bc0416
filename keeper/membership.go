package keeper

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// membershipPolicy decides which keepers are voters and learners: a new keeper
// becomes a learner, and a learner that has caught up becomes a voter while
// there are too few, or in place of one that has been missing for too long. It
// does no I/O; time is passed in.
type membershipPolicy struct {
	// replaceAfter is how long a member may be missing.
	replaceAfter time.Duration
	// maxVoters is the number of voters to have, if enough keepers are alive.
	maxVoters int
	// zoneOf returns the availability zone of a keeper, empty if unknown.
	zoneOf func(consensus.ID) string
	// missingSince holds the time at which each missing member was first found
	// missing.
	missingSince map[consensus.ID]clock.Instant
}

func newMembershipPolicy(replaceAfter time.Duration, voters int, zoneOf func(consensus.ID) string) *membershipPolicy {
	return &membershipPolicy{replaceAfter: replaceAfter, maxVoters: voters, zoneOf: zoneOf, missingSince: map[consensus.ID]clock.Instant{}}
}

// decide returns the voters and learners to propose, and whether they differ
// from those of c.
func (p *membershipPolicy) decide(now clock.Instant, c consensus.Config, alive []consensus.ID, caughtUp func(consensus.ID) bool) (voters, learners []consensus.ID, change bool) {
	expired := p.expired(now, c, alive)
	learners = slices.DeleteFunc(slices.Clone(c.Learners), func(id consensus.ID) bool { return slices.Contains(expired, id) })
	for _, id := range alive {
		if !slices.Contains(c.Members(), id) {
			learners = append(learners, id)
		}
	}
	voters = slices.Clone(c.Voters)
	ready := func(l consensus.ID) bool {
		return slices.Contains(c.Learners, l) && slices.Contains(alive, l) && caughtUp(l)
	}
	// Only one voter changes at a time.
	switch replaced := slices.IndexFunc(voters, func(id consensus.ID) bool { return slices.Contains(expired, id) }); {
	case replaced >= 0:
		remaining := slices.Delete(slices.Clone(voters), replaced, replaced+1)
		if promoted := p.promotable(remaining, learners, ready); promoted >= 0 {
			voters[replaced] = learners[promoted]
			learners = slices.Delete(learners, promoted, promoted+1)
		}
	case len(voters) < p.targetVoters(len(alive)):
		if promoted := p.promotable(voters, learners, ready); promoted >= 0 {
			voters = append(voters, learners[promoted])
			learners = slices.Delete(learners, promoted, promoted+1)
		}
	}
	change = !slices.Equal(voters, c.Voters) || !slices.Equal(learners, c.Learners)
	return voters, learners, change
}

// targetVoters returns the number of voters to have while so many keepers are
// alive. It is odd, since an even number tolerates no more losses than the odd
// one below it.
func (p *membershipPolicy) targetVoters(alive int) int {
	n := min(p.maxVoters, alive)
	return n - (n+1)%2
}

// promotable returns the index of the learner that becomes a voter, or -1. It
// prefers the zone with the fewest voters, so that the loss of one zone costs
// few.
func (p *membershipPolicy) promotable(voters, learners []consensus.ID, ready func(consensus.ID) bool) int {
	votersPerZone := map[string]int{}
	for _, id := range voters {
		votersPerZone[p.zoneOf(id)]++
	}
	best := -1
	for i, id := range learners {
		if ready(id) && (best < 0 || votersPerZone[p.zoneOf(id)] < votersPerZone[p.zoneOf(learners[best])]) {
			best = i
		}
	}
	return best
}

// expired lists the members that have been missing for replaceAfter or longer.
func (p *membershipPolicy) expired(now clock.Instant, c consensus.Config, alive []consensus.ID) []consensus.ID {
	var expired []consensus.ID
	members := c.Members()
	for id := range p.missingSince {
		if slices.Contains(alive, id) || !slices.Contains(members, id) {
			delete(p.missingSince, id)
		}
	}
	for _, id := range members {
		if slices.Contains(alive, id) {
			continue
		}
		since, ok := p.missingSince[id]
		if !ok {
			p.missingSince[id] = now
			continue
		}
		if now-since >= p.replaceAfter {
			expired = append(expired, id)
		}
	}
	return expired
}

// reset forgets the missing members; a new leader measures their absence anew.
func (p *membershipPolicy) reset() { clear(p.missingSince) }
