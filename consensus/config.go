package consensus

import (
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// maxMembers bounds a configuration.
const maxMembers = 64

// Config is the set of members. While Outgoing isn't empty the change is
// joint: decisions need a majority of Voters and one of Outgoing.
type Config struct {
	Voters   []ID `json:"v"`
	Outgoing []ID `json:"o,omitempty"`
	Learners []ID `json:"l,omitempty"`
}

// Check verifies a decoded configuration.
func (c *Config) Check() error {
	if len(c.Voters) > maxMembers || len(c.Outgoing) > maxMembers || len(c.Learners) > maxMembers {
		return errors.Errorf("more than %d members", maxMembers)
	}
	return nil
}

// Joint reports whether a change is under way.
func (c *Config) Joint() bool { return len(c.Outgoing) > 0 }

// IsVoter reports whether the ID votes.
func (c *Config) IsVoter(id ID) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Outgoing, id)
}

// Members returns all IDs without doubles, in order.
func (c *Config) Members() []ID {
	all := slices.Concat(c.Voters, c.Outgoing, c.Learners)
	slices.Sort(all)
	return slices.Compact(all)
}

// quorum reports whether the IDs for which have holds are a quorum.
func (c *Config) quorum(have func(ID) bool) bool {
	return majority(c.Voters, have) && (!c.Joint() || majority(c.Outgoing, have))
}

func majority(ids []ID, have func(ID) bool) bool {
	n := 0
	for _, id := range ids {
		if have(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// matched returns the highest index that a quorum holds.
func (c *Config) matched(match func(ID) uint64) uint64 {
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
