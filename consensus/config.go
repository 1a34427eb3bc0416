package consensus

import (
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// maxMembers bounds the members of a configuration.
const maxMembers = 64

// Config is the set of members. During a membership change Outgoing holds the
// previous voters, and every decision needs a majority of Voters and a
// majority of Outgoing (joint consensus).
type Config struct {
	Voters   []ID `json:"v"`
	Outgoing []ID `json:"o,omitempty"`
	Learners []ID `json:"l,omitempty"`
}

// Check validates a decoded configuration.
func (c *Config) Check() error {
	if len(c.Voters) > maxMembers || len(c.Outgoing) > maxMembers || len(c.Learners) > maxMembers {
		return errors.Errorf("more than %d members", maxMembers)
	}
	return nil
}

// Joint reports whether a membership change is in progress.
func (c *Config) Joint() bool { return len(c.Outgoing) > 0 }

// IsVoter reports whether id is an incoming or outgoing voter.
func (c *Config) IsVoter(id ID) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Outgoing, id)
}

// Equal reports whether two configurations have the same members.
func (c *Config) Equal(other *Config) bool {
	return slices.Equal(c.Voters, other.Voters) && slices.Equal(c.Outgoing, other.Outgoing) && slices.Equal(c.Learners, other.Learners)
}

// Members returns the IDs of all members, sorted and without duplicates.
func (c *Config) Members() []ID {
	all := slices.Concat(c.Voters, c.Outgoing, c.Learners)
	slices.Sort(all)
	return slices.Compact(all)
}

// HasQuorum reports whether the IDs for which included returns true form a
// quorum.
func (c *Config) HasQuorum(included func(ID) bool) bool {
	return hasMajority(c.Voters, included) && (!c.Joint() || hasMajority(c.Outgoing, included))
}

func hasMajority(ids []ID, included func(ID) bool) bool {
	n := 0
	for _, id := range ids {
		if included(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// quorumIndex returns the highest index that a quorum has reached; match
// returns the index of each member.
func (c *Config) quorumIndex(match func(ID) uint64) uint64 {
	index := majorityIndex(c.Voters, match)
	if c.Joint() {
		index = min(index, majorityIndex(c.Outgoing, match))
	}
	return index
}

func majorityIndex(ids []ID, match func(ID) uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	indexes := make([]uint64, 0, len(ids))
	for _, id := range ids {
		indexes = append(indexes, match(id))
	}
	sort.Slice(indexes, func(i, j int) bool { return indexes[i] > indexes[j] })
	return indexes[len(ids)/2]
}

func decodeConfig(data []byte) (Config, error) {
	var c Config
	err := wire.Decode(data, &c)
	return c, err
}
