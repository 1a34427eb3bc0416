package keeper

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/netip"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/level"
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
	// compactThresholdBytes is the size of the log on disk above which it is
	// compacted.
	compactThresholdBytes = 8 << 20
	// trailingEntries and trailingBytes bound the entries that a compaction keeps, so
	// that slow followers needn't load the snapshot.
	trailingEntries = 1000
	trailingBytes   = compactThresholdBytes / 4
	// maxPending bounds the pending proposals, and the waiting callers of
	// Confirm.
	maxPending = 8192
	// advanceInterval is how often the leader advances the time of the claims'
	// registry.
	advanceInterval = 10 * time.Second
	// membershipInterval is how often the keeper checks which keepers are
	// alive.
	membershipInterval = 100 * time.Millisecond
)

// Options are the settings and dependencies of a Keeper.
type Options struct {
	Name     string
	Settings settings.Keeper
	// Address is where other nodes reach this one, and Seeds are the first
	// nodes that it contacts. By both it knows whether it is the seed that
	// bootstraps the cluster.
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	// OnFailure, if set, is called once when the keeper stops after a failure,
	// such as a failed write to its disk.
	OnFailure func(error)
	Journal   *wal.Journal
	// Stored is what the journal held when it was opened.
	Stored  consensus.Stored
	Gossip  *gossip.Host
	Server  *peer.Server
	Clock   clock.Clock
	Actors  *actor.ActorSystem
	Metrics metrics.Registry
	// Later is what the keeper reads above level 0; nil if nothing.
	Later Later
}

// Keeper runs one node of the replicated log and applies its entries to the
// state machine. An actor handles its messages one at a time.
type Keeper struct {
	options Options
	ref     *actors.Ref
	outbox  *outbox

	// Only the actor uses the fields from here to syncedEntries.
	node    *consensus.Node
	machine *stateMachine
	// pending holds the proposals that wait for a reply, by their entry's index.
	pending        map[uint64]pendingProposal
	flushScheduled bool
	// failure is why the keeper has stopped; nil while it works.
	failure *result.Error
	// fullSince is when the disk became full, 0 while it isn't, and lastFull when
	// it last was.
	fullSince, lastFull clock.Instant
	// fullLoggedAt is when a full disk was last logged.
	fullLoggedAt clock.Instant
	// uncompactedSince is when the disk first had no room for a compaction that is due,
	// 0 if it had, and compactAt the time of the next try.
	uncompactedSince, compactAt clock.Instant
	// compactedSize is the size of the log after its last compaction, in bytes.
	compactedSize int64
	pendingReads  []readRequest
	// hasDocuments says that the log has been applied up to its commit index
	// once, so that the documents in force are known.
	hasDocuments bool
	// wasLeader says that this keeper led at the last tick.
	wasLeader  bool
	membership *membershipPolicy
	foundingState
	// alive lists this cluster's living keepers, as gossip reports them, and
	// those that belong to no cluster yet; unclustered lists only the latter.
	alive, unclustered []consensus.ID
	// foreignKeeper says that a keeper of another cluster is alive.
	foreignKeeper bool
	// reads holds the highest level that each keeper reads, as it last said; leftOut the
	// members that don't read the level of the log; levelNodes
	// what level.Raise has to know, and announcedLevel the level that gossip tells.
	reads          map[consensus.ID]level.Level
	leftOut        map[consensus.ID]bool
	levelNodes     []level.Node
	announcedLevel level.Level
	// zones holds the availability zone of each member and living keeper.
	zones map[consensus.ID]string
	// majoritySeen says that a majority of the voters has been alive at one
	// check since the start.
	majoritySeen  bool
	lastAdvance   clock.Instant
	syncTimes     metrics.Timer
	syncedEntries metrics.Histogram
	// tickDelays are the times from a tick to its handling; late says that the last
	// one was over slowBound.
	tickDelays metrics.Timer
	late       bool
	// diskFullMs is for how long the disk has been full, and stopped is 1 after a
	// failure.
	diskFullMs, stopped metrics.Gauge
	// levelGauge and readsGauge are the level in force and the highest that is read.
	levelGauge, readsGauge metrics.Gauge

	// confirmRequests holds the callers of Confirm that wait for the next read
	// round.
	confirmRequests chan chan<- bool
	view            *viewPublisher
}

type pendingProposal struct {
	term  uint64
	reply chan<- Reply
}

// The messages of the keeper's actor; others are beside the code that sends them.
type (
	tick           struct{ sentAt clock.Instant }
	nodesUpdate    struct{ nodes []member.NodeInfo }
	flush          struct{}
	batchReceived  struct{ batch Batch }
	proposeRequest struct {
		command Command
		reply   chan<- Reply
	}
	transferRequest struct{ done chan<- struct{} }
	statusQuery     struct{ reply chan<- Status }
)

// Status is the state of a keeper for operators.
type Status struct {
	consensus.Status
	Cluster uint64 `json:"cluster"`
	// Level is in force, and Reads the highest that this keeper reads.
	Level    level.Level `json:"level,omitempty"`
	Reads    level.Level `json:"reads,omitempty"`
	Claims   int         `json:"claims"`
	LogBytes int64       `json:"logBytes"`
	// DiskFullMs is for how long the disk has had no room.
	DiskFullMs int64 `json:"diskFullMs,omitempty"`
	// Waiting says what a keeper without a cluster waits for.
	Waiting string `json:"waiting,omitempty"`
	Failed  string `json:"failed,omitempty"`
}

// New starts a keeper from its journal. The keeper ends with ctx.
func New(ctx context.Context, o Options) (*Keeper, error) {
	k := &Keeper{
		options:       o,
		machine:       newStateMachine(o.Later),
		pending:       map[uint64]pendingProposal{},
		zones:         map[consensus.ID]string{},
		reads:         map[consensus.ID]level.Level{},
		leftOut:       map[consensus.ID]bool{},
		syncTimes:     metrics.GetOrRegisterTimer("keeper.sync", o.Metrics),
		tickDelays:    metrics.GetOrRegisterTimer("keeper.tickDelay", o.Metrics),
		diskFullMs:    metrics.GetOrRegisterGauge("keeper.diskFullMs", o.Metrics),
		stopped:       metrics.GetOrRegisterGauge("keeper.stopped", o.Metrics),
		levelGauge:    metrics.GetOrRegisterGauge("keeper.level", o.Metrics),
		readsGauge:    metrics.GetOrRegisterGauge("keeper.levelRead", o.Metrics),
		syncedEntries: metrics.GetOrRegisterHistogram("keeper.entriesPerSync", o.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
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
	k.foundingState = newFoundingState(o)
	k.restoreFirstEntry()
	k.membership = newMembershipPolicy(o.Settings.ReplaceAfter, o.Settings.Voters, func(id consensus.ID) string { return k.zones[id] })
	if err := checkStored(k.machine.reads, o.Stored); err != nil {
		return nil, err
	}
	if len(o.Stored.Snapshot.Data) > 0 {
		if err := k.machine.restore(o.Stored.Snapshot.Data); err != nil {
			return nil, journalError(result.RanNo, errors.Wrap(err, "snapshot"))
		}
		k.publishAll()
	}
	k.outbox = newOutbox(ctx, o.Server.Client, k.machine.reads)
	k.announceLevel()
	k.confirmRequests = make(chan chan<- bool, maxPending)
	k.view = newViewPublisher(View{Rollouts: k.machine.rollouts(), Restored: k.machine.restored, Members: k.node.Config()})
	k.ref = actors.Spawn(ctx, o.Actors, "keeper", k.receive)
	o.Server.On(peer.Read, k.serveRead)
	o.Server.On(peer.Step, k.serveStep)
	o.Server.On(peer.Propose, k.servePropose)
	k.run(ctx)
	return k, nil
}

// run starts the goroutines for the timers and for Confirm.
func (k *Keeper) run(ctx context.Context) {
	go func() {
		ticks, nodeChecks := time.NewTicker(tickInterval), time.NewTicker(membershipInterval)
		defer ticks.Stop()
		defer nodeChecks.Stop()
		for {
			select {
			case <-ticks.C:
				k.ref.Send(tick{k.options.Clock()})
			case <-nodeChecks.C:
				k.ref.Send(nodesUpdate{k.options.Gossip.Nodes(ctx)})
			case <-ctx.Done():
				_ = k.options.Journal.Close()
				return
			}
		}
	}()
	go k.serveConfirms(ctx)
}

func (k *Keeper) serveStep(_ context.Context, body []byte) (any, error) {
	var b Batch
	if err := wire.Decode(body, &b); err != nil {
		return nil, err
	}
	if err := level.Check(k.machine.reads, b.Level); err != nil {
		return nil, err
	}
	k.ref.Send(batchReceived{b})
	return struct{}{}, nil
}

func (k *Keeper) servePropose(ctx context.Context, body []byte) (any, error) {
	var c Command
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	return k.Propose(ctx, c), nil
}

// Propose appends the command to the log, if this keeper leads, and returns its
// reply once it has been applied.
func (k *Keeper) Propose(ctx context.Context, c Command) Reply {
	reply, ok := actors.Ask(ctx, k.ref, func(reply chan<- Reply) any { return proposeRequest{c, reply} })
	if !ok {
		return Reply{NotLeader: true}
	}
	return reply
}

// Status returns the keeper's state; it is zero if ctx ends first.
func (k *Keeper) Status(ctx context.Context) Status {
	s, _ := actors.Ask(ctx, k.ref, func(reply chan<- Status) any { return statusQuery{reply} })
	return s
}

func (k *Keeper) receive(message any) {
	switch m := message.(type) {
	case tick:
		k.noteDelay(m.sentAt)
		k.tick()
	case nodesUpdate:
		k.updateNodes(m.nodes)
	case batchReceived:
		k.stepBatch(m.batch)
	case proposeRequest:
		k.propose(m)
	case flush:
		k.flushScheduled = false
		k.flush()
		return
	case transferRequest:
		k.node.TransferLeadership()
		m.done <- struct{}{}
	case readRequest:
		k.startRead(m)
	case leaderQuery:
		m.reply <- k.leaderAddress()
		return
	case statusQuery:
		m.reply <- k.status()
		return
	}
	k.scheduleFlush()
}

// scheduleFlush enqueues a flush behind the actor's waiting messages, so that
// one sync of the disk serves them all.
func (k *Keeper) scheduleFlush() {
	if !k.flushScheduled {
		k.flushScheduled = true
		k.ref.Send(flush{})
	}
}

func (k *Keeper) status() Status {
	s := Status{
		Status:     k.node.Status(),
		Cluster:    k.options.Journal.Identity().Cluster,
		Level:      k.machine.level,
		Reads:      k.machine.reads,
		Claims:     k.machine.claims.Len(),
		LogBytes:   k.options.Journal.Size(),
		DiskFullMs: k.fullFor().Milliseconds(),
		Waiting:    k.waiting,
	}
	if k.failure != nil {
		s.Failed = k.failure.Error()
	}
	return s
}

func (k *Keeper) tick() {
	if k.failure != nil {
		return
	}
	k.updateFullGauge()
	k.node.Tick()
	if !k.node.IsLeader() {
		k.wasLeader = false
		return
	}
	now := k.options.Clock()
	if !k.wasLeader {
		k.wasLeader = true
		k.lastAdvance = now
		k.membership.reset()
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

func (k *Keeper) stepBatch(b Batch) {
	if k.failure != nil {
		return
	}
	if !b.readable(k.machine.reads, k.machine.level) {
		return
	}
	own := k.options.Journal.Identity().Cluster
	if own == 0 {
		if !k.saved(k.options.Journal.Join(b.cluster())) {
			return
		}
		k.announceCluster()
	} else if own != b.cluster() {
		klog.ErrorS(nil, "dropping messages of another cluster", "instance", k.options.Name, "own", own, "theirs", b.cluster())
		return
	}
	for _, m := range b.Messages {
		k.node.Step(m)
	}
}

func (k *Keeper) propose(m proposeRequest) {
	switch {
	case k.failure != nil:
		m.reply <- Reply{NotLeader: true, Code: k.failure.Code, Detail: k.failure.Detail}
		return
	case m.command.Level != nil || m.command.needed() > k.machine.level:
		m.reply <- Reply{NotLeader: true, Code: result.LevelNotRead, Detail: "the command is of a level that is not in force"}
		return
	case k.waiting != "":
		m.reply <- Reply{NotLeader: true, Code: result.NoQuorum, Detail: k.waiting}
		return
	case k.refusesForFullDisk():
		m.reply <- Reply{NotLeader: true, Code: result.JournalFull, Detail: "the disk of this keeper is full"}
		return
	case len(k.pending) >= maxPending:
		m.reply <- Reply{NotLeader: true, Code: result.Overloaded, Detail: "too many proposals are pending"}
		return
	}
	if later := m.command.Later; later != nil {
		if err := k.machine.later.Verify(*later); err != nil {
			m.reply <- Reply{NotLeader: true, Code: result.BadRequest, Detail: err.Error()}
			return
		}
	}
	index, term, ok := k.node.Propose(wire.MustEncode(&m.command))
	if !ok {
		m.reply <- Reply{NotLeader: true, Leader: k.node.Leader()}
		return
	}
	k.pending[index] = pendingProposal{term, m.reply}
}

// randomID returns a random ID; 0 would mean none.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
