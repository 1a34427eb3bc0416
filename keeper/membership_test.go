package keeper

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/service"
)

type ids = []consensus.ID

func unknownZone(consensus.ID) string { return "" }

func TestMembershipDecisions(t *testing.T) {
	const replaceAfter = 30 * time.Second
	cases := []struct {
		name       string
		config     consensus.Config
		alive      ids
		missingFor time.Duration
		caughtUp   bool
		voters     ids
		learners   ids
		change     bool
	}{
		{"all members are alive", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 3}, 0, true, ids{1, 2, 3}, nil, false},
		{"a new keeper becomes a learner", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 3, 4}, 0, true, ids{1, 2, 3}, ids{4}, true},
		{"a voter is missing for a short time", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, replaceAfter / 2, true, ids{1, 2, 3}, ids{4}, false},
		{"a voter is missing for too long", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, replaceAfter, true, ids{1, 2, 4}, ids{}, true},
		{"the learner has not caught up", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, replaceAfter, false, ids{1, 2, 3}, ids{4}, false},
		{"no learner to replace the missing voter", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2}, replaceAfter, true, ids{1, 2, 3}, nil, false},
		{"a new keeper becomes a learner before it replaces a voter", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 4}, replaceAfter, true, ids{1, 2, 3}, ids{4}, true},
		{"a learner is missing for too long", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 3}, replaceAfter, true, ids{1, 2, 3}, ids{}, true},
		{"of two missing voters only one is replaced", consensus.Config{Voters: ids{1, 2, 3, 4, 5}, Learners: ids{6, 7}}, ids{1, 2, 3, 6, 7}, replaceAfter, true, ids{1, 2, 3, 6, 5}, ids{7}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			policy := newMembershipPolicy(replaceAfter, 3, unknownZone)
			caughtUp := func(consensus.ID) bool { return c.caughtUp }
			policy.decide(0, c.config, c.alive, caughtUp)
			voters, learners, change := policy.decide(c.missingFor, c.config, c.alive, caughtUp)
			g.Expect(voters).To(gomega.Equal(c.voters))
			g.Expect(len(learners)).To(gomega.Equal(len(c.learners)))
			for i := range learners {
				g.Expect(learners[i]).To(gomega.Equal(c.learners[i]))
			}
			g.Expect(change).To(gomega.Equal(c.change))
		})
	}
}

func TestAMemberThatComesBackIsNotReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := newMembershipPolicy(time.Minute, 3, unknownZone)
	config := consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}
	caughtUp := func(consensus.ID) bool { return true }
	policy.decide(0, config, ids{1, 2, 4}, caughtUp)
	policy.decide(30*time.Second, config, ids{1, 2, 3, 4}, caughtUp)
	_, _, change := policy.decide(61*time.Second, config, ids{1, 2, 4}, caughtUp)
	g.Expect(change).To(gomega.BeFalse())
}

// With five keepers or more, two disks may be lost at once; three voters don't
// tolerate that.
func TestVotersGrowWithTheKeepers(t *testing.T) {
	zones := map[consensus.ID]string{1: "a", 2: "a", 3: "b", 4: "a", 5: "b", 6: "c", 7: "d", 8: "c"}
	caughtUp := func(consensus.ID) bool { return true }
	for _, c := range []struct {
		name   string
		alive  ids
		voters ids
	}{
		{"four keepers: still three voters", ids{1, 2, 3, 6}, ids{1, 2, 3}},
		{"five keepers: five voters", ids{1, 2, 3, 4, 5}, ids{1, 2, 3, 5, 4}},
		{"zones with few voters come first", ids{1, 2, 3, 4, 5, 6, 7, 8}, ids{1, 2, 3, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			policy := newMembershipPolicy(time.Second, 5, func(id consensus.ID) string { return zones[id] })
			config := consensus.Config{Voters: ids{1, 2, 3}}
			for range 6 {
				voters, learners, change := policy.decide(0, config, c.alive, caughtUp)
				g.Expect(len(voters) - len(config.Voters)).To(gomega.BeElementOf(0, 1))
				if !change {
					break
				}
				config = consensus.Config{Voters: voters, Learners: learners}
			}
			g.Expect(config.Voters).To(gomega.Equal(c.voters))
		})
	}
}

func TestAVoterIsReplacedFromTheZoneWithTheFewest(t *testing.T) {
	g := gomega.NewWithT(t)
	zones := map[consensus.ID]string{1: "a", 2: "b", 3: "c", 4: "a", 5: "c"}
	policy := newMembershipPolicy(time.Second, 3, func(id consensus.ID) string { return zones[id] })
	config := consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4, 5}}
	caughtUp := func(consensus.ID) bool { return true }
	alive := ids{1, 2, 4, 5}
	policy.decide(0, config, alive, caughtUp)
	voters, _, _ := policy.decide(time.Second, config, alive, caughtUp)
	g.Expect(voters).To(gomega.Equal(ids{1, 2, 5}))
}

func TestMachineSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newStateMachine(nil)
	doc := service.Document{
		Name: "x", Kind: service.Plain, Zones: []string{"a"}, Classes: []string{"small"}, ReplicasHigh: 1,
		Ranks: []service.Rank{{Name: "urgent", FirstToken: time.Second}},
		Calls: []service.Call{{Name: "call", Path: "/", Rank: "urgent"}},
	}
	key := claim.Key{Caller: "c", Service: "x", Key: "k"}
	commands := []Command{
		{Change: &document.Change{ID: "1", Document: doc}},
		{Claim: &claim.Command{Claim: &claim.Claim{Key: key, CallHash: 1, Owner: "o"}}},
	}
	for i, c := range commands {
		reply, _, err := m.apply(consensus.Entry{Index: uint64(i + 1), Data: wire.MustEncode(&c)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.NotLeader).To(gomega.BeFalse())
	}
	data, err := m.snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	restored := newStateMachine(nil)
	g.Expect(restored.restore(data)).To(gomega.Succeed())
	restoredData, err := restored.snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(restoredData).To(gomega.Equal(data))
	// A repeated change gets its first reply.
	reply, accepted, err := restored.apply(consensus.Entry{Index: 3, Data: wire.MustEncode(&commands[0])})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(accepted).To(gomega.BeNil())
	g.Expect(reply.Change.Revision).To(gomega.Equal(uint64(1)))
}

func FuzzBatch(f *testing.F) {
	f.Add(wire.MustEncode(&Batch{Cluster: 1}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b Batch
		_ = wire.Decode(data, &b)
		var c Command
		_ = wire.Decode(data, &c)
		_ = newStateMachine(nil).restore(data)
	})
}
