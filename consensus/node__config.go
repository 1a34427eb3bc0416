package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// ErrChangeInProgress reports that the previous membership change isn't
// finished.
var ErrChangeInProgress = errors.New("a membership change is in progress")

// ErrNotLeader reports that this node isn't the leader.
var ErrNotLeader = errors.New("this node isn't the leader")

// ProposeConfig starts a membership change. A new set of voters takes over by
// way of one joint configuration.
func (n *Node) ProposeConfig(voters, learners []ID) error {
	switch {
	case !n.IsLeader() || n.transferTarget != None:
		return ErrNotLeader
	case n.config.Joint() || n.commit < n.configIndex:
		return ErrChangeInProgress
	case len(voters) == 0 || len(voters)+len(learners) > maxMembers:
		return errors.Errorf("invalid configuration: %d voters and %d learners", len(voters), len(learners))
	}
	next := Config{Voters: sortedUnique(voters), Learners: sortedUnique(learners)}
	if !slices.Equal(next.Voters, sortedUnique(n.config.Voters)) {
		next.Outgoing = n.config.Voters
	}
	n.appendConfig(next)
	return nil
}

func sortedUnique(ids []ID) []ID {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// appendConfig appends a configuration to the log. It is in force at once,
// before it is committed.
func (n *Node) appendConfig(c Config) {
	n.config, n.configIndex = c, n.log.last()+1
	n.trackMembers()
	n.appendEntry(ConfigChange, wire.MustEncode(&c))
}

// CaughtUp reports whether a learner holds nearly all of the leader's log.
func (n *Node) CaughtUp(id ID) bool {
	const caughtUpDistance = 64 // entries
	p := n.progress[id]
	return n.role == Leader && p != nil && p.snapshotTicksLeft == 0 && p.match+caughtUpDistance >= n.log.last()
}

// Config returns the current configuration.
func (n *Node) Config() Config { return n.config }
