package keeper

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/wal"
)

// notes are the state of a level 1 for tests: its command adds a note.
type notes struct {
	Notes []string `json:"n"`
}

func (*notes) Reads() level.Level        { return 1 }
func (*notes) NeedsAll(level.Level) bool { return false }
func (*notes) Check() error              { return nil }

func (*notes) Verify(LaterCommand) error { return nil }

func (n *notes) Apply(c LaterCommand) ([]byte, error) {
	n.Notes = append(n.Notes, string(c.Data))
	return nil, nil
}
func (n *notes) Snapshot() ([]byte, error) { return wire.Encode(n) }

func (n *notes) Restore(data []byte) error {
	*n = notes{}
	return wire.DecodeState(data, n)
}

func note(s string) Command { return Command{Later: &LaterCommand{Level: 1, Data: []byte(s)}} }

func raiseTo(to level.Level) []byte { return wire.MustEncode(&Command{Level: &RaiseLevel{To: to}}) }

// firstBatch is a Batch of builds that know no levels.
type firstBatch struct {
	Cluster  uint64              `json:"c"`
	Messages []consensus.Message `json:"m"`
}

func (b *firstBatch) Check() error {
	if b.Cluster == 0 {
		return errors.New("batch has no cluster")
	}
	return nil
}

// TestLevelZeroIsWrittenAsBefore guards against bytes at level 0 that builds before levels
// don't write, and so may not read.
func TestLevelZeroIsWrittenAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	messages := []consensus.Message{{Kind: consensus.Append, From: 1, To: 2}}
	g.Expect(wire.MustEncode(newBatch(7, 0, level.Highest, messages))).To(gomega.Equal(wire.MustEncode(firstBatch{7, messages})))
	plain, err := newStateMachine(nil).snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ready, err := newStateMachine(&notes{}).snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ready).To(gomega.Equal(plain))
	fields := map[string]any{}
	g.Expect(wire.DecodeState(plain, (*anyFields)(&fields))).To(gomega.Succeed())
	g.Expect(fields).To(gomega.And(gomega.HaveLen(4), gomega.HaveKey("d"), gomega.HaveKey("c"), gomega.HaveKey("f"), gomega.HaveKey("u")))
	fields = map[string]any{}
	g.Expect(wire.Decode(wire.MustEncode(member.NodeInfo{Name: "a", Reads: level.Highest}), (*anyFields)(&fields))).To(gomega.Succeed())
	g.Expect(fields).NotTo(gomega.Or(gomega.HaveKey("reads"), gomega.HaveKey("level")))
}

type anyFields map[string]any

func (*anyFields) Check() error { return nil }

// TestBuildsWithoutLevelsRefuseLaterOnes guards against builds before levels that take what
// they don't read for something else, and diverge without a sign.
func TestBuildsWithoutLevelsRefuseLaterOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	var b firstBatch
	g.Expect(wire.Decode(wire.MustEncode(newBatch(7, 1, 1, nil)), &b)).NotTo(gomega.Succeed())
	for _, data := range [][]byte{raiseTo(1), wire.MustEncode(new(Command(note("x"))))} {
		// Such a build refuses a command without any of its own fields.
		fields := map[string]any{}
		g.Expect(wire.Decode(data, (*anyFields)(&fields))).To(gomega.Succeed())
		g.Expect(fields).NotTo(gomega.Or(gomega.HaveKey("d"), gomega.HaveKey("c"), gomega.HaveKey("p"), gomega.HaveKey("u")))
	}
	m := newStateMachine(&notes{})
	_, _, err := m.apply(consensus.Entry{Index: 1, Data: raiseTo(1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	data, err := m.snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var s machineSnapshot
	g.Expect(wire.DecodeState(data, &s)).To(gomega.Succeed())
	g.Expect(newStateMachine(nil).documents.Restore(s.Documents)).NotTo(gomega.Succeed())
	err = newStateMachine(nil).restore(data)
	g.Expect(result.From(journalError(result.RanNo, errors.Wrap(err, "snapshot"))).Code).To(gomega.Equal(result.LevelNotRead))
}

// TestBatchesBetweenLevels guards against a keeper that takes what it can't read, or a vote
// or a leader that can't read what is in force.
func TestBatchesBetweenLevels(t *testing.T) {
	for _, c := range []struct {
		name           string
		of, senders    level.Level
		reads, inForce level.Level
		readable       bool
	}{
		{"all is of level 0", 0, 0, 0, 0, true},
		{"a later build at level 0", 0, 1, 0, 0, true},
		{"an older sender, before the level rises", 0, 0, 1, 0, true},
		{"an older sender, after the level rose", 0, 0, 1, 1, false},
		{"a sender that has not learned of the level yet", 0, 1, 1, 1, true},
		{"a log above what the receiver reads", 1, 1, 0, 0, false},
		{"a log that the receiver reads", 1, 1, 1, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBatch(7, c.of, c.senders, nil)
			gomega.NewWithT(t).Expect(b.readable(c.reads, c.inForce)).To(gomega.Equal(c.readable))
		})
	}
}

// TestSnapshotKeepsTheLevel guards against a keeper that forgets with a compaction which
// level is in force, or the state above level 0.
func TestSnapshotKeepsTheLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newStateMachine(&notes{})
	for i, data := range [][]byte{raiseTo(1), wire.MustEncode(new(Command(note("x"))))} {
		g.Expect(levelOf(consensus.Entry{Data: data})).To(gomega.Equal(level.Level(1 - i)))
		_, _, err := m.apply(consensus.Entry{Index: uint64(i + 1), Data: data})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	data, err := m.snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	later := &notes{}
	restored := newStateMachine(later)
	g.Expect(restored.restore(data)).To(gomega.Succeed())
	g.Expect(restored.level).To(gomega.Equal(level.Level(1)))
	g.Expect(later.Notes).To(gomega.Equal([]string{"x"}))
}

// levelKeepers are keepers in this process that can be stopped, and started as other builds.
type levelKeepers struct {
	t        *testing.T
	settings settings.Keeper
	seeds    []netip.AddrPort
	nodes    map[int]*levelNode
	number   uint64
}

// levelNode is one keeper with its folder.
type levelNode struct {
	*Keeper
	host        *gossip.Host
	client      *Client
	path        string
	incarnation uint64
	stop        context.CancelFunc
}

func startLevelKeepers(t *testing.T, size int, later func(i int) Later) *levelKeepers {
	k := &levelKeepers{t: t, settings: settings.Keeper{InitialVoters: 3, Voters: 3, ReplaceAfter: time.Second}, nodes: map[int]*levelNode{}}
	for i := range size {
		k.add(i)
		gomega.NewWithT(t).Expect(k.start(i, later(i))).To(gomega.Succeed())
	}
	return k
}

func (k *levelKeepers) add(i int) { k.nodes[i] = &levelNode{path: k.t.TempDir()} }

// start starts a keeper from its folder.
func (k *levelKeepers) start(i int, later Later) error {
	g := gomega.NewWithT(k.t)
	n := k.nodes[i]
	ctx, stop := context.WithCancel(k.t.Context())
	server, err := peer.New(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	k.seeds = append(k.seeds, server.Address)
	system := actors.NewSystem()
	var fs wal.FS
	g.Eventually(func() error {
		fs, err = wal.OpenFolder(n.path)
		return err
	}, 5*time.Second).Should(gomega.Succeed())
	journal, stored, err := wal.Open(fs, func() consensus.ID { return consensus.ID(i + 1) })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.incarnation++
	host := gossip.New(ctx, gossip.Options{
		Node: member.NodeInfo{Name: fmt.Sprint(i), Address: server.Address}, Incarnation: n.incarnation, Seeds: k.seeds,
		Interval: 50 * time.Millisecond, Lease: time.Second, Clock: clock.System(), Actors: system, Server: server,
	})
	host.SetKeeper(journal.Identity().ID.String(), journal.Identity().Cluster)
	s := k.settings
	s.Bootstrap = i == 0
	keeper, err := New(ctx, Options{
		Name: fmt.Sprint(i), Settings: s, Address: server.Address, Seeds: k.seeds, Journal: journal, Stored: stored,
		Gossip: host, Server: server, Clock: clock.System(), Actors: system, Metrics: metrics.NewRegistry(), Later: later,
	})
	n.stop = stop
	if err != nil {
		stop()
		_ = journal.Close()
		return err
	}
	n.Keeper, n.host, n.client = keeper, host, NewClient(host, server.Client)
	return nil
}

// stop ends a keeper, which fails first, so that it uses its journal no more.
func (k *levelKeepers) stop(i int) {
	n := k.nodes[i]
	s := n.Status(k.t.Context())
	n.ref.Send(nodesUpdate{[]member.NodeInfo{{KeeperID: consensus.ID(99).String(), Cluster: max(s.Cluster, 1), Level: 99}}})
	gomega.NewWithT(k.t).Expect(k.status(i)().Failed).NotTo(gomega.BeEmpty())
	n.stop()
	n.Keeper = nil
}

// restart starts a keeper as another build.
func (k *levelKeepers) restart(i int, later Later) error {
	k.stop(i)
	return k.start(i, later)
}

func (k *levelKeepers) leader() *levelNode {
	for _, n := range k.nodes {
		if n.Keeper != nil {
			if s := n.Status(k.t.Context()); s.Failed == "" && s.Role == consensus.Leader.String() {
				return n
			}
		}
	}
	return nil
}

// propose proposes the command until a leader accepts it.
func (k *levelKeepers) propose(c Command) {
	gomega.NewWithT(k.t).Eventually(func() string {
		n := k.leader()
		if n == nil {
			return "no leader"
		}
		if reply := n.Propose(k.t.Context(), c); reply.NotLeader {
			return "refused: " + reply.Detail
		}
		return ""
	}, 10*time.Second).Should(gomega.BeEmpty())
}

func (k *levelKeepers) put() {
	k.number++
	k.propose(Command{Put: &config.Put{Number: k.number}})
}

// status returns a keeper's state without what changes by itself.
func (k *levelKeepers) status(i int) func() Status {
	return func() Status { return k.nodes[i].Status(k.t.Context()) }
}

func inForce(want level.Level) func(Status) bool {
	return func(s Status) bool { return s.Level == want }
}

func failedWith(code result.Code) func(Status) bool {
	return func(s Status) bool { return len(s.Failed) > 4 && s.Failed[:4] == fmt.Sprint(int(code)) }
}

// TestLevelRisesOnceAllReadIt guards against commands that are written while an older keeper
// votes, and a level that stays down when all have been replaced.
func TestLevelRisesOnceAllReadIt(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 3, func(int) Later { return nil })
	k.put()
	later := map[int]*notes{}
	for i := range 3 {
		for j := range 3 {
			g.Expect(k.status(j)().Level).To(gomega.BeZero(), "keeper %d, while only %d read level 1", j, i)
		}
		if n := k.leader(); n != nil {
			g.Expect(n.Propose(t.Context(), note("early")).NotLeader).To(gomega.BeTrue())
		}
		later[i] = &notes{}
		g.Expect(k.restart(i, later[i])).To(gomega.Succeed())
		k.put()
	}
	for i := range 3 {
		g.Eventually(k.status(i), 10*time.Second).Should(gomega.Satisfy(inForce(1)))
		g.Expect(k.status(i)().Reads).To(gomega.Equal(level.Level(1)))
		g.Expect(k.nodes[i].levelGauge.Value()).To(gomega.Equal(int64(1)))
		g.Expect(k.nodes[i].readsGauge.Value()).To(gomega.Equal(int64(1)))
	}
	k.propose(note("a"))
	k.put()
	// A new keeper that reads it is taken in, and learns the level and the state.
	k.add(3)
	g.Expect(k.start(3, &notes{})).To(gomega.Succeed())
	g.Eventually(k.status(3), 10*time.Second).Should(gomega.Satisfy(inForce(1)))
}

// TestOlderKeeperRefusesAHigherLevel guards against an older keeper that joins a cluster
// whose log it doesn't read, goes on in it after a rollback, or loses its folder by that.
func TestOlderKeeperRefusesAHigherLevel(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 3, func(int) Later { return &notes{} })
	for i := range 3 {
		g.Eventually(k.status(i), 10*time.Second).Should(gomega.Satisfy(inForce(1)))
	}
	k.propose(note("a"))
	// One that is new.
	k.add(3)
	g.Expect(k.start(3, nil)).To(gomega.Succeed())
	g.Eventually(k.status(3), 10*time.Second).Should(gomega.Satisfy(failedWith(result.LevelNotRead)))
	g.Expect(k.status(3)().Cluster).To(gomega.BeZero())
	// One that goes back, with its folder.
	k.stop(2)
	before := files(t, k.nodes[2].path)
	err := k.start(2, nil)
	g.Expect(result.From(err).Code).To(gomega.Equal(result.LevelNotRead), "%v", err)
	g.Expect(files(t, k.nodes[2].path)).To(gomega.Equal(before))
	k.put()
	// One that knows no levels, and so doesn't refuse.
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first := gossip.New(t.Context(), gossip.Options{
		Node: member.NodeInfo{Name: "first", Address: server.Address}, Incarnation: 1, Seeds: k.seeds,
		Interval: 50 * time.Millisecond, Lease: 3 * time.Second, Clock: clock.System(), Actors: actors.NewSystem(), Server: server,
	})
	first.SetKeeper(consensus.ID(9).String(), 0)
	g.Eventually(func() int { return len(k.nodes[0].host.Nodes(t.Context())) }, 5*time.Second).Should(gomega.BeNumerically(">", 3))
	g.Consistently(func() []consensus.ID {
		c := k.status(0)().Config
		return c.Members()
	}, 10*membershipInterval).ShouldNot(gomega.ContainElement(consensus.ID(9)))
	// Both go on as a build that reads it.
	later := &notes{}
	g.Expect(k.start(2, later)).To(gomega.Succeed())
	g.Expect(k.restart(3, &notes{})).To(gomega.Succeed())
	for i := range 4 {
		g.Eventually(k.status(i), 10*time.Second).Should(gomega.Satisfy(inForce(1)))
	}
	k.put()
}

func files(t *testing.T, path string) map[string]string {
	g := gomega.NewWithT(t)
	all := map[string]string{}
	for _, name := range []string{"identity", "log"} {
		data, err := os.ReadFile(filepath.Join(path, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		all[name] = string(data)
	}
	return all
}

// TestRollbackBeforeTheLevelRises guards against a cluster that can't be rolled back though
// nothing new has been written.
func TestRollbackBeforeTheLevelRises(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 3, func(i int) Later {
		if i == 2 {
			return nil
		}
		return &notes{}
	})
	k.put()
	for i := range 2 {
		g.Expect(k.restart(i, nil)).To(gomega.Succeed())
		k.put()
	}
	for i := range 3 {
		g.Expect(k.status(i)()).To(gomega.Satisfy(inForce(0)))
		g.Expect(k.status(i)().Failed).To(gomega.BeEmpty())
	}
}

// TestLostOlderKeeperDoesNotHoldTheLevel guards against a level that a lost machine of an
// older build holds down for ever, though another has taken its place.
func TestLostOlderKeeperDoesNotHoldTheLevel(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startLevelKeepers(t, 3, func(i int) Later {
		if i == 2 {
			return nil
		}
		return &notes{}
	})
	k.put()
	k.stop(2)
	k.put()
	k.add(3)
	g.Expect(k.status(0)().Level).To(gomega.BeZero())
	g.Expect(k.start(3, &notes{})).To(gomega.Succeed())
	for _, i := range []int{0, 1, 3} {
		g.Eventually(k.status(i), 15*time.Second).Should(gomega.Satisfy(inForce(1)))
	}
	// When it comes back it finds a higher level, and refuses to go on.
	g.Expect(k.start(2, nil)).To(gomega.Succeed())
	g.Eventually(k.status(2), 10*time.Second).Should(gomega.Satisfy(failedWith(result.LevelNotRead)))
	k.put()
}
