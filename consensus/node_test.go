package consensus_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// restartedNode returns a node that starts from the term and entries.
func restartedNode(t *testing.T, id consensus.ID, term uint64, entries ...consensus.Entry) *consensus.Node {
	t.Helper()
	n, err := consensus.New(consensus.Options{
		ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxAppendBytes: 1000,
		Random: func(int) int { return 0 },
	}, consensus.Stored{State: consensus.HardState{Term: term}, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func configEntry(index, term uint64, c consensus.Config) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Kind: consensus.ConfigChange, Data: wire.MustEncode(&c)}
}

// flush completes the node's pending work and returns its messages.
func flush(n *consensus.Node) []consensus.Message {
	r := n.Ready()
	n.Advance(r)
	return append(r.Early, r.Messages...)
}

// elect makes node 1 of the voters 1, 2, 3 the leader with the vote of node 2.
func elect(n *consensus.Node) {
	for range electionTicks {
		n.Tick()
	}
	term := n.Term() + 1
	flush(n)
	n.Step(consensus.Message{Kind: consensus.PreVoteReply, From: 2, To: 1, Term: term})
	flush(n)
	n.Step(consensus.Message{Kind: consensus.VoteReply, From: 2, To: 1, Term: term})
	flush(n)
}

func TestEntryOfOlderTermIsNotCommittedByCountingReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	threeVoters := consensus.Config{Voters: []consensus.ID{1, 2, 3}}
	n := restartedNode(t, 1, 3, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 2})
	elect(n)
	g.Expect(n.Status().Role).To(gomega.Equal("leader"))
	n.Step(consensus.Message{Kind: consensus.AppendReply, From: 2, To: 1, Term: n.Term(), Index: 2})
	flush(n)
	g.Expect(n.Status().Commit).To(gomega.BeZero())
	n.Step(consensus.Message{Kind: consensus.AppendReply, From: 2, To: 1, Term: n.Term(), Index: 3})
	flush(n)
	g.Expect(n.Status().Commit).To(gomega.Equal(uint64(3)))
}

func TestRemovedVoterCampaignsUntilItsRemovalIsCommitted(t *testing.T) {
	g := gomega.NewWithT(t)
	n := restartedNode(t, 3, 2,
		configEntry(1, 1, consensus.Config{Voters: []consensus.ID{3}}),
		configEntry(2, 2, consensus.Config{Voters: []consensus.ID{2}, Outgoing: []consensus.ID{3}}),
		configEntry(3, 2, consensus.Config{Voters: []consensus.ID{2}}),
	)
	for range electionTicks {
		n.Tick()
	}
	sent := flush(n)
	g.Expect(sent).To(gomega.HaveLen(1))
	g.Expect(sent[0].Kind).To(gomega.Equal(consensus.PreVote))
	g.Expect(sent[0].To).To(gomega.Equal(consensus.ID(2)))
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	n := restartedNode(t, 1, 1, configEntry(1, 1, consensus.Config{Voters: []consensus.ID{1, 2, 3}}))
	elect(n)
	g.Expect(n.Status().Role).To(gomega.Equal("leader"))
	for range 2 * electionTicks {
		n.Tick()
	}
	g.Expect(n.Status().Role).NotTo(gomega.Equal("leader"))
	_, _, ok := n.Propose([]byte("late"))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestLateSnapshotDropsNoAcknowledgedEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	threeVoters := consensus.Config{Voters: []consensus.ID{1, 2, 3}}
	n := restartedNode(t, 1, 1, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 1}, consensus.Entry{Index: 3, Term: 1})
	n.Step(consensus.Message{Kind: consensus.Append, From: 2, To: 1, Term: 1, Index: 3, LogTerm: 1, Commit: 1})
	acknowledged := flush(n)
	g.Expect(acknowledged[0].Index).To(gomega.Equal(uint64(3)))
	late := &consensus.Snapshot{Index: 2, Term: 1, Config: threeVoters, Data: []byte("state")}
	n.Step(consensus.Message{Kind: consensus.InstallSnapshot, From: 2, To: 1, Term: 1, Snapshot: late})
	flush(n)
	g.Expect(n.Status().Last).To(gomega.Equal(uint64(3)))
	g.Expect(n.Status().Commit).To(gomega.Equal(uint64(2)))
	// A conflicting entry is replaced by the snapshot.
	other := restartedNode(t, 1, 1, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 1}, consensus.Entry{Index: 3, Term: 1})
	late.Term = 2
	other.Step(consensus.Message{Kind: consensus.InstallSnapshot, From: 2, To: 1, Term: 2, Snapshot: late})
	flush(other)
	g.Expect(other.Status().Last).To(gomega.Equal(uint64(2)))
}

func TestFollowerOfActiveLeaderIgnoresVotes(t *testing.T) {
	g := gomega.NewWithT(t)
	n := restartedNode(t, 1, 1, configEntry(1, 1, consensus.Config{Voters: []consensus.ID{1, 2, 3}}))
	n.Step(consensus.Message{Kind: consensus.Append, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1})
	flush(n)
	n.Step(consensus.Message{Kind: consensus.Vote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4})
	g.Expect(flush(n)).To(gomega.BeEmpty())
	g.Expect(n.Term()).To(gomega.Equal(uint64(1)))
}

func FuzzMessage(f *testing.F) {
	f.Add(wire.MustEncode(&consensus.Message{Kind: consensus.Append, From: 2, To: 1, Term: 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m consensus.Message
		if wire.Decode(data, &m) != nil {
			return
		}
		n := restartedNode(t, 1, 1, configEntry(1, 1, consensus.Config{Voters: []consensus.ID{1, 2, 3}}))
		n.Step(m)
		flush(n)
	})
}

// TestReadRoundNeedsAMajorityThatAnsweredIt guards against stale reads: only
// answers to this very round confirm it, and in a joint configuration both
// majorities are needed.
func TestReadRoundNeedsAMajorityThatAnsweredIt(t *testing.T) {
	g := gomega.NewWithT(t)
	n := restartedNode(t, 1, 1, configEntry(1, 1, consensus.Config{Voters: []consensus.ID{1, 2, 3}}))
	_, _, ok := n.StartReadRound()
	g.Expect(ok).To(gomega.BeFalse(), "the node isn't the leader")
	elect(n)
	_, _, ok = n.StartReadRound()
	g.Expect(ok).To(gomega.BeFalse(), "the leader has committed no entry of its term")
	answer := func(from consensus.ID, index, round uint64) {
		n.Step(consensus.Message{Kind: consensus.AppendReply, From: from, To: 1, Term: n.Term(), Index: index, Round: round})
		flush(n)
	}
	answer(2, 2, 0)
	first, index, ok := n.StartReadRound()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(index).To(gomega.Equal(uint64(2)))
	second, _, _ := n.StartReadRound()
	g.Expect(n.ConfirmedReadRound()).To(gomega.BeNumerically("<", first), "no member has answered the round")
	answer(3, 2, first)
	g.Expect(n.ConfirmedReadRound()).To(gomega.Equal(first))
	answer(2, 2, second)
	g.Expect(n.ConfirmedReadRound()).To(gomega.Equal(second))

	g.Expect(n.ProposeConfig([]consensus.ID{1, 4, 5}, nil)).To(gomega.Succeed())
	third, _, _ := n.StartReadRound()
	answer(2, 2, third)
	g.Expect(n.ConfirmedReadRound()).To(gomega.BeNumerically("<", third), "the new voters haven't answered")
	answer(4, 0, third)
	g.Expect(n.ConfirmedReadRound()).To(gomega.Equal(third))
}

// After a restart of all members with one disk lost, the two remaining voters
// reach each other at the same moment and campaign together. One of them must
// lead after a few rounds of messages, instead of both voting for themselves
// until a timeout.
func TestSimultaneousCampaignsElectALeaderAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	threeVoters := consensus.Config{Voters: []consensus.ID{1, 2, 3}}
	nodes := map[consensus.ID]*consensus.Node{
		1: restartedNode(t, 1, 2, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 2}),
		2: restartedNode(t, 2, 2, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 2}),
	}
	for nodes[1].Status().Role != "preCandidate" {
		nodes[1].Tick()
		nodes[2].Tick()
	}
	g.Expect(nodes[2].Status().Role).To(gomega.Equal("preCandidate"))
	leaders := func() int {
		n := 0
		for _, node := range nodes {
			if node.Status().Role == "leader" {
				n++
			}
		}
		return n
	}
	for range 6 {
		// The messages of both nodes cross on the network.
		inFlight := append(flush(nodes[1]), flush(nodes[2])...)
		for _, m := range inFlight {
			if to, ok := nodes[m.To]; ok {
				to.Step(m)
			}
		}
	}
	g.Expect(leaders()).To(gomega.Equal(1))
}

// A node that campaigns but reaches too few voters must not keep a node that
// reaches more of them from leading for longer than a heartbeat interval.
func TestFailedCampaignBlocksOthersOnlyBriefly(t *testing.T) {
	g := gomega.NewWithT(t)
	threeVoters := consensus.Config{Voters: []consensus.ID{1, 2, 3}}
	n := restartedNode(t, 1, 2, configEntry(1, 1, threeVoters), consensus.Entry{Index: 2, Term: 2})
	for n.Status().Role != "preCandidate" {
		n.Tick()
	}
	flush(n)
	ask := consensus.Message{Kind: consensus.PreVote, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 2}
	n.Step(ask)
	g.Expect(flush(n)[0].Reject).To(gomega.BeTrue())
	for range heartbeatTicks {
		n.Tick()
	}
	n.Step(ask)
	g.Expect(flush(n)[0].Reject).To(gomega.BeFalse())
}
