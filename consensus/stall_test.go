package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/consensus"
)

// stallingNode is a node whose loop stands still at times, as its process or its
// journal does: ticks and messages wait, and come all at once afterwards.
type stallingNode struct {
	node       *consensus.Node
	stalledFor int
	waiting    []func()
}

func (s *stallingNode) handle(do func()) {
	s.waiting = append(s.waiting, do)
	if s.stalledFor > 0 {
		return
	}
	for _, do := range s.waiting {
		do()
	}
	s.waiting = nil
}

// stallingCluster passes messages on within one tick.
type stallingCluster struct {
	nodes    map[consensus.ID]*stallingNode
	underWay []consensus.Message
}

func newStallingCluster(t *testing.T, random *rand.Rand) *stallingCluster {
	c := &stallingCluster{nodes: map[consensus.ID]*stallingNode{}}
	voters := consensus.Config{Voters: []consensus.ID{1, 2, 3}}
	for _, id := range voters.Voters {
		n, err := consensus.New(consensus.Options{
			ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxAppendBytes: 1 << 20, Random: random.IntN,
		}, consensus.Stored{Entries: []consensus.Entry{configEntry(1, 1, voters)}, State: consensus.HardState{Term: 1}})
		if err != nil {
			t.Fatal(err)
		}
		c.nodes[id] = &stallingNode{node: n}
	}
	return c
}

// tick advances all nodes by one tick, and delivers what was sent in the tick before.
func (c *stallingCluster) tick() {
	delivered := c.underWay
	c.underWay = nil
	for _, m := range delivered {
		to := c.nodes[m.To]
		to.handle(func() { to.node.Step(m) })
	}
	for id := consensus.ID(1); id <= 3; id++ {
		s := c.nodes[id]
		s.stalledFor--
		s.handle(s.node.Tick)
		if s.stalledFor <= 0 {
			c.underWay = append(c.underWay, flush(s.node)...)
		}
	}
}

// leader returns the leader among the nodes that don't stand still, which a majority
// of them follows.
func (c *stallingCluster) leader() consensus.ID {
	for id, s := range c.nodes {
		if s.stalledFor > 0 || !s.node.IsLeader() {
			continue
		}
		followers := 0
		for _, other := range c.nodes {
			if other.stalledFor <= 0 && other.node.Leader() == id {
				followers++
			}
		}
		if followers >= 2 {
			return id
		}
	}
	return consensus.None
}

// maxElectionTicks is the time within which a majority that is alive and in touch has
// to have a leader: the longest time until a node campaigns, twice, as the first
// campaign may fail.
const maxElectionTicks = 2 * 2 * electionTicks

// TestLeaderThatStandsStillIsReplaced has the leader, or several nodes a moment after
// each other, stand still for seconds.
func TestLeaderThatStandsStillIsReplaced(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 29))
			c := newStallingCluster(t, random)
			for range 10 {
				without := 0
				for without = 0; c.leader() == consensus.None; without++ {
					c.tick()
					g.Expect(without).To(gomega.BeNumerically("<=", maxElectionTicks), "ticks with a majority and without a leader")
				}
				for range random.IntN(4 * electionTicks) {
					c.tick()
				}
				leader := c.leader()
				if leader == consensus.None {
					continue
				}
				c.nodes[leader].stalledFor = 6*electionTicks + random.IntN(10*electionTicks)
				if random.IntN(2) == 0 {
					for id, s := range c.nodes {
						if id != leader {
							s.stalledFor = random.IntN(4 * electionTicks)
						}
					}
				}
				for c.stalled() > 1 {
					c.tick()
				}
			}
		})
	}
}

// stalled is the number of nodes that stand still.
func (c *stallingCluster) stalled() int {
	n := 0
	for _, s := range c.nodes {
		if s.stalledFor > 0 {
			n++
		}
	}
	return n
}
