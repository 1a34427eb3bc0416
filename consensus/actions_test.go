package consensus_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
)

// actions returns the actions that the random test picks from. Their names
// stay: rapid picks by their sorted order, so a new name changes the run of a
// seed.
func (c *cluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "rounds") {
				c.round()
			}
		},
		"change": func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
			change := document.Change{
				ID:       fmt.Sprintf("change-%d", len(c.changes)),
				Expected: rapid.Uint64Range(0, uint64(len(c.changes))).Draw(t, "expected"),
				Any:      rapid.Bool().Draw(t, "any"),
				Document: testDocument(name, 1+len(c.changes)),
			}
			c.changes = append(c.changes, change)
			for _, m := range c.alive() {
				c.propose(m, change)
			}
		},
		"resend": func(t *rapid.T) {
			if len(c.changes) == 0 {
				t.Skip("no change yet")
			}
			c.propose(c.pickAlive(t), rapid.SampledFrom(c.changes).Draw(t, "change"))
		},
		"crash": func(t *rapid.T) { c.flush(c.pickAlive(t), true) },
		"restart": func(*rapid.T) {
			for id := consensus.ID(1); id <= c.nextID; id++ {
				if m := c.members[id]; m != nil && m.node == nil && !c.lostDisks[id] {
					c.start(m)
				}
			}
		},
		"compact": func(t *rapid.T) {
			m := c.pickAlive(t)
			if m.diskFull {
				t.Skip("a full disk")
			}
			data, err := m.store.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			s, err := m.node.Compact(data, rapid.Uint64Range(0, 3).Draw(t, "keep"), rapid.IntRange(0, 200).Draw(t, "keepBytes"))
			if err != nil {
				t.Skip(err.Error())
			}
			// The log on disk is replaced too, with the entries that weren't
			// stored yet.
			m.disk = consensus.Stored{Snapshot: s, State: m.node.State(), Entries: slices.Clone(m.node.Entries())}
		},
		"cut": func(t *rapid.T) {
			from, to := c.pickAlive(t), c.pickAlive(t)
			c.cutLinks[[2]consensus.ID{from.id, to.id}] = true
			if rapid.Bool().Draw(t, "both") {
				c.cutLinks[[2]consensus.ID{to.id, from.id}] = true
			}
		},
		"heal":  func(*rapid.T) { c.cutLinks = map[[2]consensus.ID]bool{} },
		"lossy": func(t *rapid.T) { c.lossy = rapid.Bool().Draw(t, "lossy") },
		"transfer": func(*rapid.T) {
			if m := c.leader(); m != nil {
				m.node.TransferLeadership()
			}
		},
		"loseDisk": func(t *rapid.T) {
			m := c.pickAlive(t)
			if !c.canLoseDisk(m.id) {
				t.Skip("no majority would be left")
			}
			c.lostDisks[m.id] = true
			m.node = nil
			c.add()
		},
		"repair":  func(*rapid.T) { c.replaceLostVoter() },
		"reshape": func(*rapid.T) { c.proposeRandomVoters() },
		"chaos": func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "rounds") {
				c.chaos()
			}
			c.crashBeforeSync = false
		},
	}
}

// replaceLostVoter adds a new member as a learner, or replaces a lost voter by
// a learner that has caught up.
func (c *cluster) replaceLostVoter() {
	m := c.leader()
	if m == nil {
		return
	}
	config := m.node.Config()
	for _, other := range c.alive() {
		if !slices.Contains(config.Members(), other.id) {
			_ = m.node.ProposeConfig(config.Voters, append(slices.Clone(config.Learners), other.id))
			return
		}
	}
	for _, learner := range config.Learners {
		if c.lostDisks[learner] || !m.node.CaughtUp(learner) {
			continue
		}
		for i, voter := range config.Voters {
			if c.lostDisks[voter] {
				voters := slices.Clone(config.Voters)
				voters[i] = learner
				learners := slices.DeleteFunc(slices.Clone(config.Learners), func(id consensus.ID) bool { return id == learner })
				_ = m.node.ProposeConfig(voters, learners)
				return
			}
		}
	}
}
