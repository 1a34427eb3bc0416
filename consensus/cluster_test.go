package consensus_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/service"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// member is one node with its disk and state machine.
type member struct {
	id   consensus.ID
	node *consensus.Node
	disk consensus.Stored
	// diskFull says that nothing can be stored for now.
	diskFull bool
	store    *document.Store
	// proposals are those whose clients wait at this member, by log index.
	proposals map[uint64]proposal
	reads     []pendingRead
}

// pendingRead is a read round that isn't confirmed yet. acknowledged is the
// highest index that clients knew when the round began.
type pendingRead struct {
	term, round, index, acknowledged uint64
}

type proposal struct {
	term   uint64
	change document.Change
}

// cluster runs members over a network that loses, duplicates, delays and
// reorders messages.
type cluster struct {
	t       *rapid.T
	random  *rand.Rand
	members map[consensus.ID]*member
	nextID  consensus.ID
	network []consensus.Message
	// cutLinks are the links, as sender and receiver, that drop all messages.
	cutLinks map[[2]consensus.ID]bool
	lossy    bool
	// crashBeforeSync lets members crash at random between a step and its
	// sync.
	crashBeforeSync bool
	// lostDisks are the members that lost their disk and never return.
	lostDisks map[consensus.ID]bool

	appliedEntries map[uint64]consensus.Entry
	leaderByTerm   map[uint64]consensus.ID
	// firstReplies are the first replies that clients got, by change ID.
	firstReplies map[string]document.Reply
	changes      []document.Change
	// acknowledged is the highest index that was acknowledged to a client.
	acknowledged uint64
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{
		t:              t,
		random:         rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		members:        map[consensus.ID]*member{},
		cutLinks:       map[[2]consensus.ID]bool{},
		lostDisks:      map[consensus.ID]bool{},
		appliedEntries: map[uint64]consensus.Entry{},
		leaderByTerm:   map[uint64]consensus.ID{},
		firstReplies:   map[string]document.Reply{},
	}
	var voters []consensus.ID
	// Two spare members start outside the configuration.
	for range 2 {
		c.add()
	}
	for range size {
		voters = append(voters, c.add().id)
	}
	if err := c.members[voters[0]].node.Bootstrap(voters); err != nil {
		t.Fatal(err)
	}
	// A bootstrap is complete once its configuration is committed.
	c.flush(c.members[voters[0]], false)
	for c.leader() == nil {
		c.round()
	}
	return c
}

func (c *cluster) add() *member {
	c.nextID++
	m := &member{id: c.nextID}
	c.members[m.id] = m
	c.start(m)
	return m
}

// start runs a member from the state on its disk.
func (c *cluster) start(m *member) {
	stored := m.disk
	stored.Unsettled = m.diskFull
	node, err := consensus.New(consensus.Options{
		ID:             m.id,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: 2000,
		Random:         c.random.IntN,
	}, stored)
	if err != nil {
		c.t.Fatalf("start %v: %v", m.id, err)
	}
	m.node = node
	m.store = document.New()
	m.reads = nil
	m.proposals = map[uint64]proposal{}
	if m.disk.Snapshot.Index > 0 {
		if err := m.store.Restore(m.disk.Snapshot.Data); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *cluster) alive() []*member {
	var list []*member
	for id := consensus.ID(1); id <= c.nextID; id++ {
		if m := c.members[id]; m != nil && m.node != nil {
			list = append(list, m)
		}
	}
	return list
}

func (c *cluster) leader() *member {
	for _, m := range c.alive() {
		if m.node.IsLeader() {
			return m
		}
	}
	return nil
}

// flush does the work of a member's Ready. A crash comes before the sync,
// after the early messages were sent.
func (c *cluster) flush(m *member, crash bool) {
	r := m.node.Ready()
	crash = crash || (c.crashBeforeSync && r.MustSync() && c.random.IntN(15) == 0)
	if err := m.node.Err(); err != nil {
		c.t.Fatalf("node %v: %v", m.id, err)
	}
	c.network = append(c.network, r.Early...)
	if crash {
		m.node = nil
		return
	}
	if m.diskFull && r.MustSync() {
		m.node.TransferLeadership()
		c.network = append(c.network, m.node.Unsaved(r)...)
		if r.Snapshot == nil {
			for _, e := range r.Committed {
				c.apply(m, e)
			}
			m.node.AdvanceUnsaved(r)
		}
		c.checkReads(m)
		return
	}
	m.disk.State = r.State
	if r.Snapshot != nil {
		m.disk.Snapshot = *r.Snapshot
		m.disk.Entries = nil
		if err := m.store.Restore(r.Snapshot.Data); err != nil {
			c.t.Fatal(err)
		}
	}
	if len(r.Entries) > 0 {
		keep := m.disk.Entries
		for len(keep) > 0 && keep[len(keep)-1].Index >= r.Entries[0].Index {
			keep = keep[:len(keep)-1]
		}
		m.disk.Entries = append(slices.Clone(keep), r.Entries...)
	}
	c.network = append(c.network, r.Messages...)
	for _, e := range r.Committed {
		c.apply(m, e)
	}
	m.node.Advance(r)
	c.checkLeaderUnique(m)
	c.checkReads(m)
}

// checkReads checks that a confirmed read round covers everything that was
// acknowledged before it began.
func (c *cluster) checkReads(m *member) {
	unconfirmed := m.reads[:0]
	for _, r := range m.reads {
		switch {
		case m.node.Term() != r.term || !m.node.IsLeader():
		case m.node.ConfirmedReadRound() < r.round:
			unconfirmed = append(unconfirmed, r)
		case r.index < r.acknowledged:
			c.t.Fatalf("node %v confirmed a read at index %d in term %d, but index %d was acknowledged before", m.id, r.index, r.term, r.acknowledged)
		}
	}
	m.reads = unconfirmed
}

// checkLeaderUnique checks that a term has at most one leader.
func (c *cluster) checkLeaderUnique(m *member) {
	s := m.node.Status()
	if s.Role != "leader" {
		return
	}
	if other, ok := c.leaderByTerm[s.Term]; ok && other != m.id {
		c.t.Fatalf("term %d has leaders %v and %v", s.Term, other, m.id)
	}
	c.leaderByTerm[s.Term] = m.id
}

func (c *cluster) apply(m *member, e consensus.Entry) {
	if first, ok := c.appliedEntries[e.Index]; ok && (first.Term != e.Term || !bytes.Equal(first.Data, e.Data)) {
		c.t.Fatalf("index %d was applied with two entries: %v and %v", e.Index, first, e)
	}
	c.appliedEntries[e.Index] = e
	if e.Kind != consensus.Command {
		return
	}
	var change document.Change
	if err := wire.Decode(e.Data, &change); err != nil {
		c.t.Fatal(err)
	}
	reply, _ := m.store.Apply(change)
	p, ok := m.proposals[e.Index]
	delete(m.proposals, e.Index)
	if !ok || p.term != e.Term {
		return
	}
	c.acknowledged = max(c.acknowledged, e.Index)
	if first, ok := c.firstReplies[change.ID]; ok && first != reply {
		c.t.Fatalf("change %s got two replies: %v and %v", change.ID, first, reply)
	}
	c.firstReplies[change.ID] = reply
}

// round advances the time of each member by 0 to 2 ticks and delivers
// messages.
func (c *cluster) round() {
	for _, m := range c.alive() {
		for range c.random.IntN(3) {
			m.node.Tick()
		}
		c.startRead(m)
		c.flush(m, false)
	}
	c.deliver()
}

// startRead starts a read round on a member that considers itself the leader.
func (c *cluster) startRead(m *member) {
	if round, index, ok := m.node.StartReadRound(); ok {
		m.reads = append(m.reads, pendingRead{m.node.Term(), round, index, c.acknowledged})
	}
}

// chaos is a round in which members crash and restart, links are cut and
// restored, and clients propose.
func (c *cluster) chaos() {
	c.crashBeforeSync = true
	for id := consensus.ID(1); id <= c.nextID; id++ {
		if m := c.members[id]; m.node == nil && !c.lostDisks[id] && c.random.IntN(4) == 0 {
			c.start(m)
		}
	}
	if alive := c.alive(); len(alive) > 0 {
		from, to := alive[c.random.IntN(len(alive))], alive[c.random.IntN(len(alive))]
		link := [2]consensus.ID{from.id, to.id}
		if c.cutLinks[link] {
			delete(c.cutLinks, link)
		} else if c.random.IntN(3) == 0 {
			c.cutLinks[link] = true
		}
		c.changes = append(c.changes, c.randomChange())
		c.propose(from, c.changes[len(c.changes)-1])
		if m := alive[c.random.IntN(len(alive))]; m.diskFull || c.random.IntN(4) == 0 {
			m.diskFull = !m.diskFull
		}
	}
	if c.random.IntN(10) == 0 {
		c.proposeRandomVoters()
	}
	if c.random.IntN(10) == 0 {
		c.cutLinks = map[[2]consensus.ID]bool{}
	}
	c.round()
}

func (c *cluster) randomChange() document.Change {
	return document.Change{
		ID:       fmt.Sprintf("change-%d", len(c.changes)),
		Any:      true,
		Document: testDocument("x", 1+len(c.changes)),
	}
}

// proposeRandomVoters proposes a random set of voters.
func (c *cluster) proposeRandomVoters() {
	var voters []consensus.ID
	for id := consensus.ID(1); id <= c.nextID; id++ {
		if !c.lostDisks[id] && c.random.IntN(2) == 0 {
			voters = append(voters, id)
		}
	}
	for _, m := range c.alive() {
		if len(voters) > 0 && m.node.IsLeader() {
			_ = m.node.ProposeConfig(voters, nil)
		}
	}
}

func (c *cluster) deliver() {
	batch := c.network
	c.network = nil
	c.random.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	for _, message := range batch {
		if c.cutLinks[[2]consensus.ID{message.From, message.To}] {
			continue
		}
		if c.lossy {
			switch c.random.IntN(10) {
			case 0:
				continue
			case 1, 2:
				c.network = append(c.network, message)
				continue
			case 3:
				c.network = append(c.network, message)
			}
		}
		m := c.members[message.To]
		if m == nil || m.node == nil {
			continue
		}
		copied := encodeAndDecode(c.t, message)
		m.node.Step(copied)
		c.flush(m, false)
	}
}

// encodeAndDecode returns a copy of the message as a receiver decodes it.
func encodeAndDecode(t *rapid.T, m consensus.Message) consensus.Message {
	var out consensus.Message
	if err := wire.Decode(wire.MustEncode(&m), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func testDocument(name string, replicas int) service.Document {
	return service.Document{
		Name: name, Kind: service.Plain, Zones: []string{"a"}, Classes: []string{"small"}, ReplicasHigh: replicas,
		Ranks: []service.Rank{{Name: "urgent", FirstToken: 1}},
		Calls: []service.Call{{Name: "call", Path: "/", Rank: "urgent"}},
	}
}

func (c *cluster) propose(m *member, change document.Change) {
	if index, term, ok := m.node.Propose(wire.MustEncode(&change)); ok {
		m.proposals[index] = proposal{term, change}
	}
}

func (c *cluster) pickAlive(t *rapid.T) *member {
	alive := c.alive()
	if len(alive) == 0 {
		t.Skip("no member is running")
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "member")]
}

// canLoseDisk reports whether every known configuration keeps a majority if
// the member loses its disk.
func (c *cluster) canLoseDisk(id consensus.ID) bool {
	if len(c.alive())+len(c.lostDisks) < len(c.members) {
		return false
	}
	countsAsLost := func(x consensus.ID) bool { return x == id || c.lostDisks[x] }
	for _, m := range c.members {
		if m.node == nil {
			continue
		}
		config := m.node.Config()
		for _, set := range [][]consensus.ID{config.Voters, config.Outgoing} {
			n := 0
			for _, x := range set {
				if countsAsLost(x) {
					n++
				}
			}
			if len(set) > 0 && n > (len(set)-1)/2 {
				return false
			}
		}
	}
	return true
}

// healAndCheck restarts the members and restores the network, then checks that
// the voters converge and that no acknowledged change is missing.
func (c *cluster) healAndCheck() {
	c.cutLinks = map[[2]consensus.ID]bool{}
	c.lossy = false
	for _, m := range c.members {
		m.diskFull = false
	}
	c.actions()["restart"](c.t)
	final := document.Change{ID: "final", Any: true, Document: testDocument("final", 1)}
	const maxRounds = 3000
	for i := 0; ; i++ {
		c.round()
		m := c.leader()
		if m == nil && i < maxRounds {
			continue
		}
		if m == nil {
			c.logStatuses()
			c.t.Fatalf("no leader after the network was restored")
		}
		if _, done := c.firstReplies["final"]; done && c.converged(m) {
			return
		}
		if i%50 == 0 {
			c.propose(m, final)
		}
		if i > maxRounds {
			c.logStatuses()
			c.t.Fatalf("the voters didn't converge: %+v", m.node.Status())
		}
	}
}

// converged reports whether every voter that has its disk has applied all
// acknowledged entries and holds the leader's documents.
func (c *cluster) converged(leader *member) bool {
	want, err := leader.store.Snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, id := range leader.node.Config().Voters {
		m := c.members[id]
		if c.lostDisks[id] {
			continue
		}
		if m.node.Status().Applied < c.acknowledged {
			return false
		}
		if got, _ := m.store.Snapshot(); !bytes.Equal(got, want) {
			return false
		}
	}
	for id, reply := range c.firstReplies {
		if reply.Code == 0 && !c.wasApplied(id) {
			c.t.Fatalf("change %s was accepted but is missing from the log", id)
		}
	}
	return true
}

func (c *cluster) wasApplied(id string) bool {
	for _, e := range c.appliedEntries {
		if e.Kind == consensus.Command && bytes.Contains(e.Data, []byte(id)) {
			return true
		}
	}
	return false
}

// TestClusterKeepsAcknowledgedChanges runs random faults and membership
// changes, and checks that members apply the same log and that no acknowledged
// change is lost.
func TestClusterKeepsAcknowledgedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size"))
		actions := c.actions()
		run := actions["run"]
		actions["run2"], actions["run3"], actions["change2"] = run, run, actions["change"]
		actions["chaos2"], actions["chaos3"] = actions["chaos"], actions["chaos"]
		t.Repeat(actions)
		c.healAndCheck()
	})
}

func (c *cluster) logStatuses() {
	for _, m := range c.alive() {
		c.t.Logf("%+v", m.node.Status())
	}
}
