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

func nowhere(consensus.ID) string { return "" }

func TestWatchDecides(t *testing.T) {
	const patience = 30 * time.Second
	cases := []struct {
		name     string
		config   consensus.Config
		alive    ids
		missing  time.Duration
		caughtUp bool
		voters   ids
		learners ids
		change   bool
	}{
		{"nothing to do", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 3}, 0, true, ids{1, 2, 3}, nil, false},
		{"a new keeper learns", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 3, 4}, 0, true, ids{1, 2, 3}, ids{4}, true},
		{"a voter is gone for a moment", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, patience / 2, true, ids{1, 2, 3}, ids{4}, false},
		{"a voter is gone", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, patience, true, ids{1, 2, 4}, ids{}, true},
		{"the learner is behind", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 4}, patience, false, ids{1, 2, 3}, ids{4}, false},
		{"no learner", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2}, patience, true, ids{1, 2, 3}, nil, false},
		{"a newcomer learns first", consensus.Config{Voters: ids{1, 2, 3}}, ids{1, 2, 4}, patience, true, ids{1, 2, 3}, ids{4}, true},
		{"a learner is gone", consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}, ids{1, 2, 3}, patience, true, ids{1, 2, 3}, ids{}, true},
		{"two are gone: one at a time", consensus.Config{Voters: ids{1, 2, 3, 4, 5}, Learners: ids{6, 7}}, ids{1, 2, 3, 6, 7}, patience, true, ids{1, 2, 3, 6, 5}, ids{7}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWatch(patience, 3, nowhere)
			near := func(consensus.ID) bool { return c.caughtUp }
			w.decide(0, c.config, c.alive, near)
			voters, learners, change := w.decide(c.missing, c.config, c.alive, near)
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
	w := newWatch(time.Minute, 3, nowhere)
	config := consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4}}
	near := func(consensus.ID) bool { return true }
	w.decide(0, config, ids{1, 2, 4}, near)
	w.decide(30*time.Second, config, ids{1, 2, 3, 4}, near)
	_, _, change := w.decide(61*time.Second, config, ids{1, 2, 4}, near)
	g.Expect(change).To(gomega.BeFalse())
}

// Two disks may be lost at once where there are five keepers or more; three
// voters don't bear it.
func TestVotersGrowWithTheKeepers(t *testing.T) {
	zones := map[consensus.ID]string{1: "a", 2: "a", 3: "b", 4: "a", 5: "b", 6: "c", 7: "d", 8: "c"}
	near := func(consensus.ID) bool { return true }
	for _, c := range []struct {
		name   string
		alive  ids
		voters ids
	}{
		{"four keepers bear no more than three", ids{1, 2, 3, 6}, ids{1, 2, 3}},
		{"five vote", ids{1, 2, 3, 4, 5}, ids{1, 2, 3, 5, 4}},
		{"the zones with few voters first", ids{1, 2, 3, 4, 5, 6, 7, 8}, ids{1, 2, 3, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWatch(time.Second, 5, func(id consensus.ID) string { return zones[id] })
			config := consensus.Config{Voters: ids{1, 2, 3}}
			for range 6 {
				voters, learners, change := w.decide(0, config, c.alive, near)
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
	w := newWatch(time.Second, 3, func(id consensus.ID) string { return zones[id] })
	config := consensus.Config{Voters: ids{1, 2, 3}, Learners: ids{4, 5}}
	near := func(consensus.ID) bool { return true }
	alive := ids{1, 2, 4, 5}
	w.decide(0, config, alive, near)
	voters, _, _ := w.decide(time.Second, config, alive, near)
	g.Expect(voters).To(gomega.Equal(ids{1, 2, 5}))
}

func TestMachineSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMachine()
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
	again := newMachine()
	g.Expect(again.restore(data)).To(gomega.Succeed())
	second, err := again.snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.Equal(data))
	// The change that is sent again gets its first answer.
	reply, accepted, err := again.apply(consensus.Entry{Index: 3, Data: wire.MustEncode(&commands[0])})
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
		_ = newMachine().restore(data)
	})
}
