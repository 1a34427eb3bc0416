package keeper

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/netip"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/wal"
)

// Times and sizes of the log.
const (
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	maxAppendBytes = 512 << 10
	// compactBytes is the length of the log on disk that is compacted.
	compactBytes = 8 << 20
	// compactKeep is the number of entries that stay for slow followers.
	compactKeep = 1000
	// maxPending bounds the proposals that wait.
	maxPending = 8192
	// advanceInterval is the time between two steps of the claims' time.
	advanceInterval = 10 * time.Second
	// watchInterval is the time between two looks at the members.
	watchInterval = 100 * time.Millisecond
)

// Options are what a Keeper needs.
type Options struct {
	Name     string
	Settings settings.Keeper
	// Address is the one that other nodes reach this one at, and Seeds are
	// the first ones to ask; together they tell who founds the cluster.
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	// Fault is called once when the disk fails, if set.
	Fault   func(error)
	Journal *wal.Journal
	Stored  consensus.Stored
	Gossip  *gossip.Host
	Server  *peer.Server
	Clock   clock.Clock
	Actors  *actor.ActorSystem
	Metrics metrics.Registry
}

// Keeper is the role that keeps the durable state.
type Keeper struct {
	options Options
	ref     *actors.Ref
	outbox  *outbox

	// The fields below belong to the actor.
	node     *consensus.Node
	machine  *machine
	pending  map[uint64]pending
	flushing bool
	failed   *result.Error
	reads    []read
	wasReady bool
	leading  bool
	watch    *watch
	// alive are the keepers that gossip knows; fresh are those of them that
	// belong to no cluster yet.
	alive, fresh []consensus.ID
	foreign      bool
	// zones holds the availability zones of members and of living keepers.
	zones map[consensus.ID]string
	// expedited says that a majority was in reach since the start.
	expedited   bool
	lastAdvance clock.Instant
	syncs       metrics.Timer
	batches     metrics.Histogram

	// asked holds the callers of Confirm that wait for the next round.
	asked chan chan<- bool
	view  *view
}

type pending struct {
	term  uint64
	reply chan<- Reply
}

type (
	tick     struct{}
	look     struct{ nodes []member.NodeInfo }
	flush    struct{}
	received struct{ batch Batch }
	propose  struct {
		command Command
		reply   chan<- Reply
	}
	transfer    struct{ done chan<- struct{} }
	statusQuery struct{ reply chan<- Status }
)

// Status describes a keeper.
type Status struct {
	consensus.Status
	Cluster  uint64 `json:"cluster"`
	Claims   int    `json:"claims"`
	LogBytes int64  `json:"logBytes"`
	Failed   string `json:"failed,omitempty"`
}

// New starts a keeper from its journal; it ends with ctx.
func New(ctx context.Context, o Options) (*Keeper, error) {
	k := &Keeper{
		options: o,
		machine: newMachine(),
		pending: map[uint64]pending{},
		zones:   map[consensus.ID]string{},
		syncs:   metrics.GetOrRegisterTimer("keeper.sync", o.Metrics),
		batches: metrics.GetOrRegisterHistogram("keeper.entriesPerSync", o.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
	}
	node, err := consensus.New(consensus.Options{
		ID:             o.Journal.Identity().ID,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		Random:         mathrand.IntN,
	}, o.Stored)
	if err != nil {
		return nil, result.New(result.JournalDamaged, result.RanNo, "%v", err)
	}
	k.node = node
	k.watch = newWatch(o.Settings.ReplaceAfter, o.Settings.Voters, func(id consensus.ID) string { return k.zones[id] })
	if len(o.Stored.Snapshot.Data) > 0 {
		if err := k.machine.restore(o.Stored.Snapshot.Data); err != nil {
			return nil, result.New(result.JournalDamaged, result.RanNo, "snapshot: %v", err)
		}
		k.publishAll()
	}
	k.outbox = newOutbox(ctx, o.Server.Client)
	k.asked = make(chan chan<- bool, maxPending)
	k.view = newView()
	k.ref = actors.Spawn(ctx, o.Actors, "keeper", k.receive)
	o.Server.On(peer.Read, k.serveRead)
	o.Server.On(peer.Step, k.serveStep)
	o.Server.On(peer.Propose, k.servePropose)
	k.run(ctx)
	return k, nil
}

// run starts the keeper's clocks.
func (k *Keeper) run(ctx context.Context) {
	go func() {
		ticks, looks := time.NewTicker(tickInterval), time.NewTicker(watchInterval)
		defer ticks.Stop()
		defer looks.Stop()
		for {
			select {
			case <-ticks.C:
				k.ref.Send(tick{})
			case <-looks.C:
				k.ref.Send(look{k.options.Gossip.Nodes(ctx)})
			case <-ctx.Done():
				_ = k.options.Journal.Close()
				return
			}
		}
	}()
	go k.confirmAll(ctx)
}

func (k *Keeper) serveStep(_ context.Context, body []byte) (any, error) {
	var b Batch
	if err := wire.Decode(body, &b); err != nil {
		return nil, err
	}
	k.ref.Send(received{b})
	return struct{}{}, nil
}

func (k *Keeper) servePropose(ctx context.Context, body []byte) (any, error) {
	var c Command
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	return k.Propose(ctx, c), nil
}

// Propose has the command applied, if this keeper leads.
func (k *Keeper) Propose(ctx context.Context, c Command) Reply {
	reply, ok := actors.Ask(ctx, k.ref, func(reply chan<- Reply) any { return propose{c, reply} })
	if !ok {
		return Reply{NotLeader: true}
	}
	return reply
}

// Status describes the keeper.
func (k *Keeper) Status(ctx context.Context) Status {
	s, _ := actors.Ask(ctx, k.ref, func(reply chan<- Status) any { return statusQuery{reply} })
	return s
}

func (k *Keeper) receive(message any) {
	switch m := message.(type) {
	case tick:
		k.tick()
	case look:
		k.look(m.nodes)
	case received:
		k.received(m.batch)
	case propose:
		k.propose(m)
	case flush:
		k.flushing = false
		k.flush()
		return
	case transfer:
		k.node.TransferLeadership()
		m.done <- struct{}{}
	case read:
		k.startRead(m)
	case locate:
		m.reply <- k.leaderAddress()
		return
	case statusQuery:
		m.reply <- k.status()
		return
	}
	k.scheduleFlush()
}

// scheduleFlush puts a flush behind the messages that wait already, so that
// one sync serves them all.
func (k *Keeper) scheduleFlush() {
	if !k.flushing {
		k.flushing = true
		k.ref.Send(flush{})
	}
}

func (k *Keeper) status() Status {
	s := Status{
		Status:   k.node.Status(),
		Cluster:  k.options.Journal.Identity().Cluster,
		Claims:   k.machine.claims.Len(),
		LogBytes: k.options.Journal.Size(),
	}
	if k.failed != nil {
		s.Failed = k.failed.Error()
	}
	return s
}

func (k *Keeper) tick() {
	if k.failed != nil {
		return
	}
	k.node.Tick()
	if !k.node.IsLeader() {
		k.leading = false
		return
	}
	now := k.options.Clock()
	if !k.leading {
		k.leading = true
		k.lastAdvance = now
		k.watch.reset()
		klog.InfoS("keeper leads", "instance", k.options.Name, "term", k.node.Term())
	}
	if by := now - k.lastAdvance; by >= advanceInterval {
		k.lastAdvance = now
		if k.machine.claims.Len() > 0 {
			c := Command{Claim: &claim.Command{Advance: &claim.Advance{By: min(by, 2*advanceInterval)}}}
			k.node.Propose(wire.MustEncode(&c))
		}
	}
}

func (k *Keeper) received(b Batch) {
	if k.failed != nil {
		return
	}
	own := k.options.Journal.Identity().Cluster
	if own == 0 {
		if err := k.options.Journal.Join(b.Cluster); err != nil {
			k.fail(err)
			return
		}
		k.joined()
	} else if own != b.Cluster {
		klog.ErrorS(nil, "messages of another cluster dropped", "instance", k.options.Name, "own", own, "theirs", b.Cluster)
		return
	}
	for _, m := range b.Messages {
		k.node.Step(m)
	}
}

func (k *Keeper) propose(m propose) {
	switch {
	case k.failed != nil:
		m.reply <- Reply{NotLeader: true, Code: k.failed.Code, Detail: k.failed.Detail}
		return
	case len(k.pending) >= maxPending:
		m.reply <- Reply{NotLeader: true, Code: result.Overloaded, Detail: "too many proposals wait"}
		return
	}
	index, term, ok := k.node.Propose(wire.MustEncode(&m.command))
	if !ok {
		m.reply <- Reply{NotLeader: true, Leader: k.node.Leader()}
		return
	}
	k.pending[index] = pending{term, m.reply}
}

// randomNumber returns a random number above 0.
func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
