package consensus

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// ErrBusy reports that a change of members is under way.
var ErrBusy = errors.New("a change of members is under way")

// ErrNotLeader reports that another node leads.
var ErrNotLeader = errors.New("this node doesn't lead")

// ProposeConfig changes the members. New voters take over in one joint step.
func (n *Node) ProposeConfig(voters, learners []ID) error {
	switch {
	case !n.IsLeader() || n.transfer != None:
		return ErrNotLeader
	case n.config.Joint() || n.commit < n.configIndex:
		return ErrBusy
	case len(voters) == 0 || len(voters)+len(learners) > maxMembers:
		return errors.Errorf("%d voters and %d learners", len(voters), len(learners))
	}
	next := Config{Voters: sorted(voters), Learners: sorted(learners)}
	if !slices.Equal(next.Voters, sorted(n.config.Voters)) {
		next.Outgoing = n.config.Voters
	}
	n.appendConfig(next)
	return nil
}

func sorted(ids []ID) []ID {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return slices.Compact(ids)
}

// appendConfig adds a configuration to the log; it holds from then on.
func (n *Node) appendConfig(c Config) {
	n.config, n.configIndex = c, n.log.last()+1
	n.trackMembers()
	n.appendEntry(ConfigChange, wire.MustEncode(&c))
}

// CaughtUp reports whether a learner holds nearly all of the leader's log.
func (n *Node) CaughtUp(id ID) bool {
	const near = 64
	p := n.progress[id]
	return n.role == Leader && p != nil && p.installing == 0 && p.match+near >= n.log.last()
}

// Config returns the members.
func (n *Node) Config() Config { return n.config }
