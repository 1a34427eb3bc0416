package keeper

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// build is a version of the program.
type build int

const (
	// firstBuild knows no levels; zeroBuild and laterBuild read levels 0 and 1.
	firstBuild build = iota
	zeroBuild
	laterBuild
)

func (b build) reads() level.Level {
	if b == laterBuild {
		return 1
	}
	return 0
}

// rolled is a keeper of a rollingCluster: its folder and, while it runs, its state.
type rolled struct {
	id       consensus.ID
	build    build
	disk     consensus.Stored
	lost     bool
	refused  bool
	node     *consensus.Node
	machine  *stateMachine
	notes    *notes
	policy   *membershipPolicy
	pending  map[uint64]acknowledgeable
	isolated bool
	// seen is what this keeper knows by gossip of what others read, perhaps of old.
	seen map[consensus.ID]level.Node
}

// acknowledgeable is a proposal whose client waits.
type acknowledgeable struct {
	term   uint64
	number uint64
	note   string
}

// rollingCluster runs keepers of several builds over a network that loses and delays.
type rollingCluster struct {
	t       *rapid.T
	random  *rand.Rand
	now     clock.Instant
	keepers []*rolled
	network []sentBatch
	applied map[uint64]string
	// acknowledgedPut is the highest number, and acknowledgedNotes all notes, that clients
	// know to be stored.
	acknowledgedPut, puts uint64
	acknowledgedNotes     []string
}

type sentBatch struct {
	from, to consensus.ID
	data     []byte
}

const rollingReplaceAfter = 2 * time.Second

func newRollingCluster(t *rapid.T) *rollingCluster {
	c := &rollingCluster{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), applied: map[uint64]string{}}
	for range 3 {
		c.add(firstBuild + build(c.random.IntN(2)))
	}
	if err := c.keepers[0].node.Bootstrap([]consensus.ID{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	c.run(40)
	return c
}

func (c *rollingCluster) add(b build) {
	k := &rolled{id: consensus.ID(len(c.keepers) + 1), seen: map[consensus.ID]level.Node{}}
	c.keepers = append(c.keepers, k)
	c.start(k, b)
}

// start starts a keeper from its folder. One that reads less than its folder holds doesn't
// start; one that knows no levels stops at the first entry that it can't read.
func (c *rollingCluster) start(k *rolled, b build) {
	k.build, k.refused, k.node, k.pending = b, false, nil, map[uint64]acknowledgeable{}
	k.notes = &notes{}
	k.machine = newStateMachine(nil)
	if b == laterBuild {
		k.machine = newStateMachine(k.notes)
	}
	err := checkStored(b.reads(), k.disk)
	if err == nil && k.disk.Snapshot.Index > 0 {
		err = k.machine.restore(k.disk.Snapshot.Data)
	}
	if err != nil {
		if b == laterBuild {
			c.t.Fatalf("keeper %v reads level 1, and doesn't start: %v", k.id, err)
		}
		k.refused = true
		return
	}
	k.node, err = consensus.New(consensus.Options{ID: k.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxAppendBytes: 2000, Random: c.random.IntN}, k.disk)
	if err != nil {
		c.t.Fatal(err)
	}
	k.policy = newMembershipPolicy(rollingReplaceAfter, 3, unknownZone)
}

func (c *rollingCluster) stop(k *rolled) { k.node, k.pending = nil, map[uint64]acknowledgeable{} }

// flush stores, sends and applies, as Keeper.flush does.
func (c *rollingCluster) flush(k *rolled) {
	for k.node != nil {
		r := k.node.Ready()
		if err := k.node.Err(); err != nil {
			c.t.Fatalf("keeper %v: %v", k.id, err)
		}
		if r.Empty() {
			return
		}
		k.store(r)
		c.send(k, slices.Concat(r.Early, r.Messages))
		if r.Snapshot != nil {
			if err := k.machine.restore(r.Snapshot.Data); err != nil {
				c.t.Fatalf("keeper %v got a snapshot that it can't read: %v", k.id, err)
			}
		}
		for _, e := range r.Committed {
			c.apply(k, e)
		}
		k.node.Advance(r)
	}
}

func (k *rolled) store(r consensus.Ready) {
	k.disk.State = r.State
	if r.Snapshot != nil {
		k.disk.Snapshot, k.disk.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		for len(k.disk.Entries) > 0 && k.disk.Entries[len(k.disk.Entries)-1].Index >= e.Index {
			k.disk.Entries = k.disk.Entries[:len(k.disk.Entries)-1]
		}
		k.disk.Entries = append(k.disk.Entries[:len(k.disk.Entries):len(k.disk.Entries)], e)
	}
}

func (c *rollingCluster) apply(k *rolled, e consensus.Entry) {
	if _, _, err := k.machine.apply(e); err != nil {
		c.t.Fatalf("keeper %v of build %d got an entry that it can't read: %v", k.id, k.build, err)
	}
	if first, ok := c.applied[e.Index]; ok && first != string(e.Data) {
		c.t.Fatalf("keeper %v applied another entry %d", k.id, e.Index)
	}
	c.applied[e.Index] = string(e.Data)
	if p, ok := k.pending[e.Index]; ok && p.term == e.Term {
		if p.note != "" {
			c.acknowledgedNotes = append(c.acknowledgedNotes, p.note)
		}
		c.acknowledgedPut = max(c.acknowledgedPut, p.number)
	}
	delete(k.pending, e.Index)
}

func (c *rollingCluster) send(k *rolled, messages []consensus.Message) {
	of := levelInLog(k.machine, k.node)
	for _, m := range messages {
		b := newBatch(7, of, k.build.reads(), []consensus.Message{m})
		if k.build == firstBuild {
			c.network = append(c.network, sentBatch{k.id, m.To, wire.MustEncode(&firstBatch{7, b.Messages})})
			continue
		}
		c.network = append(c.network, sentBatch{k.id, m.To, wire.MustEncode(&b)})
	}
}

// deliver gives a batch to its receiver, as Keeper.serveStep and stepBatch do.
func (c *rollingCluster) deliver(s sentBatch) {
	k := c.keepers[s.to-1]
	if k.node == nil || k.isolated || c.keepers[s.from-1].isolated {
		return
	}
	var b Batch
	if k.build == firstBuild {
		var first firstBatch
		if wire.Decode(s.data, &first) != nil {
			return
		}
		b.Messages = first.Messages
	} else {
		if err := wire.Decode(s.data, &b); err != nil {
			c.t.Fatal(err)
		}
		if !b.readable(k.machine.reads, k.machine.level) {
			return
		}
	}
	for _, m := range b.Messages {
		for _, e := range m.Entries {
			var command Command
			if e.Kind == consensus.Command {
				if err := wire.Decode(e.Data, &command); err != nil {
					c.t.Fatal(err)
				}
			}
			if max(levelOf(e), command.needed()) > k.build.reads() {
				c.t.Fatalf("keeper %v of build %d got entry %d of level 1", k.id, k.build, e.Index)
			}
		}
		k.node.Step(m)
	}
	c.flush(k)
}

// gossip lets a keeper learn what the others read now.
func (c *rollingCluster) gossip(k *rolled) {
	for _, other := range c.keepers {
		if other.node == nil || other.isolated != k.isolated {
			seen := k.seen[other.id]
			seen.Alive = false
			k.seen[other.id] = seen
			continue
		}
		k.seen[other.id] = level.Node{Reads: other.build.reads(), Alive: true}
		if k.build != firstBuild && level.Check(k.build.reads(), other.machine.level) != nil {
			k.refused = true
		}
	}
	if k.refused {
		c.stop(k)
	}
}

// lead changes the members and raises the level, as Keeper.updateNodes does.
func (c *rollingCluster) lead(k *rolled) {
	if !k.node.IsLeader() {
		return
	}
	inLog := levelInLog(k.machine, k.node)
	members := k.node.Config()
	var alive []consensus.ID
	var nodes []level.Node
	for _, other := range c.keepers {
		seen := k.seen[other.id]
		if seen.Alive && (k.build == firstBuild || level.Check(seen.Reads, inLog) == nil) {
			alive = append(alive, other.id)
		}
		seen.Member = slices.Contains(members.Members(), other.id)
		nodes = append(nodes, seen)
	}
	voters, learners, due := k.policy.decide(c.now, members, alive, k.node.CaughtUp)
	if due {
		_ = k.node.ProposeConfig(voters, learners)
	}
	if k.build != firstBuild {
		raiseLevel(k.machine, k.node, nodes, !due)
	}
	if levelInLog(k.machine, k.node) == inLog {
		return
	}
	for _, id := range members.Members() {
		if seen := k.seen[id]; !seen.Alive || seen.Reads == 0 {
			c.t.Fatalf("keeper %v raised the level, while member %v is %+v", k.id, id, seen)
		}
	}
}

func (c *rollingCluster) tick() {
	c.now += tickInterval
	for _, k := range c.keepers {
		if k.node == nil {
			continue
		}
		k.node.Tick()
		if c.random.IntN(3) == 0 {
			c.gossip(k)
		}
		if k.node != nil {
			c.lead(k)
			c.flush(k)
		}
	}
	batches := c.network
	c.network = nil
	c.random.Shuffle(len(batches), func(i, j int) { batches[i], batches[j] = batches[j], batches[i] })
	for _, b := range batches {
		switch c.random.IntN(20) {
		case 0:
		case 1, 2, 3:
			c.network = append(c.network, b)
		default:
			c.deliver(b)
		}
	}
}

func (c *rollingCluster) run(ticks int) {
	for range ticks {
		c.tick()
	}
}

func (c *rollingCluster) propose() {
	for _, k := range c.keepers {
		if k.node == nil {
			continue
		}
		c.puts++
		p := acknowledgeable{number: c.puts}
		command := Command{Put: &config.Put{Number: c.puts}}
		if k.machine.level > 0 && c.random.IntN(2) == 0 {
			p = acknowledgeable{note: time.Duration(c.puts).String()}
			command = note(p.note)
		}
		if command.needed() > k.machine.level {
			continue
		}
		if index, term, ok := k.node.Propose(wire.MustEncode(&command)); ok {
			p.term = term
			k.pending[index] = p
			c.flush(k)
		}
	}
}

func (c *rollingCluster) compact(k *rolled) {
	data, err := k.machine.snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	if s, err := k.node.Compact(data, 2, 1000); err == nil {
		k.disk.Snapshot, k.disk.Entries = s, slices.Clone(k.node.Entries())
	}
}

// lose ends a keeper and its folder, if a majority of each set of voters that a keeper
// knows keeps its folder.
func (c *rollingCluster) lose(k *rolled) {
	for _, other := range c.keepers {
		if other.lost || other.node == nil {
			continue
		}
		members := other.node.Config()
		for _, set := range [][]consensus.ID{members.Voters, members.Outgoing} {
			kept := 0
			for _, id := range set {
				if id != k.id && !c.keepers[id-1].lost {
					kept++
				}
			}
			if len(set) > 0 && kept <= len(set)/2 {
				return
			}
		}
	}
	for _, other := range c.keepers {
		if !other.lost && other.node == nil && other != k {
			// What it knows of the voters can't be told.
			return
		}
	}
	c.stop(k)
	k.lost = true
	c.add(build(c.random.IntN(3)))
}

// TestLevelsWhileBuildsAreReplaced guards against entries that reach a keeper that can't
// read them, changes that are lost by an upgrade or a rollback, and a level that stays down.
func TestLevelsWhileBuildsAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRollingCluster(t)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			k := c.keepers[rapid.IntRange(0, len(c.keepers)-1).Draw(t, "keeper")]
			if k.lost {
				continue
			}
			switch rapid.SampledFrom([]string{"upgrade", "upgrade", "upgrade", "back", "first", "stop", "isolate", "lose", "lead", "compact", "add"}).Draw(t, "step") {
			case "upgrade":
				c.start(k, laterBuild)
			case "back":
				c.start(k, zeroBuild)
			case "first":
				c.start(k, firstBuild)
			case "stop":
				c.stop(k)
			case "isolate":
				k.isolated = !k.isolated
			case "lose":
				c.lose(k)
			case "lead":
				if k.node != nil {
					k.node.TransferLeadership()
					c.flush(k)
				}
			case "compact":
				if k.node != nil {
					c.compact(k)
				}
			case "add":
				if len(c.keepers) < 6 {
					c.add(build(c.random.IntN(3)))
				}
			}
			c.propose()
			c.run(rapid.IntRange(0, 60).Draw(t, "ticks"))
			c.propose()
		}
		c.finish()
	})
}

// finish makes all that are left read level 1, and checks what became of the cluster.
func (c *rollingCluster) finish() {
	for _, k := range c.keepers {
		k.isolated = false
		if !k.lost {
			c.start(k, laterBuild)
		}
	}
	behind := func() string {
		for _, k := range c.keepers {
			switch {
			case k.lost:
			case k.node == nil || k.machine.level != 1:
				return "the level has not risen"
			case k.machine.configs.Newest().Number < c.acknowledgedPut:
				return "an acknowledged configuration is lost"
			default:
				for _, n := range c.acknowledgedNotes {
					if !slices.Contains(k.notes.Notes, n) {
						return "an acknowledged note is lost"
					}
				}
			}
		}
		return ""
	}
	for range 600 {
		if behind() == "" {
			return
		}
		c.tick()
	}
	for _, k := range c.keepers {
		c.t.Logf("keeper %v: build %d, lost %v", k.id, k.build, k.lost)
		if k.node != nil {
			c.t.Logf("  level %d, in the log %d, %+v", k.machine.level, levelInLog(k.machine, k.node), k.node.Status())
		}
	}
	c.t.Fatal(behind())
}
