package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/peer"
)

// confirmTimeout bounds one confirmation: a round of messages between keepers
// takes a few milliseconds, and one that takes longer than this is asked again
// by whoever needs it.
const confirmTimeout = 700 * time.Millisecond

type (
	// read asks the leader for a confirmed index.
	read struct {
		round, index uint64
		reply        chan<- readReply
	}
	readReply struct {
		// Index is the commit index that a quorum confirmed, if OK is set.
		Index uint64 `json:"i,omitempty"`
		OK    bool   `json:"o,omitempty"`
	}
	locate struct{ reply chan<- netip.AddrPort }
)

// Check verifies a decoded reply.
func (r *readReply) Check() error { return nil }

// View is what a keeper knows at one moment.
type View struct {
	// Config is the newest document that this keeper has applied.
	Config config.Put
	// Applied is the index up to which the log is applied.
	Applied uint64
	// Leading says that this keeper leads, in term Term.
	Leading bool
	Term    uint64
	// Leader is the address of the leader, if one is known.
	Leader netip.AddrPort
	// Usage is the number of the newest usage window on record.
	Usage uint64
}

// view publishes the newest View.
type view struct {
	mu      sync.Mutex
	now     View
	changed chan struct{}
}

func newView() *view { return &view{changed: make(chan struct{})} }

// View returns what the keeper knows now, and a channel that is closed when
// that changes.
func (k *Keeper) View() (View, <-chan struct{}) {
	k.view.mu.Lock()
	defer k.view.mu.Unlock()
	return k.view.now, k.view.changed
}

func (k *Keeper) publishView(s consensus.Status) {
	next := View{
		Config:  k.machine.configs.Newest(),
		Applied: s.Applied,
		Leading: k.node.IsLeader(),
		Term:    s.Term,
		Leader:  k.leaderAddress(),
		Usage:   k.machine.usage.Newest(),
	}
	k.view.mu.Lock()
	defer k.view.mu.Unlock()
	now := k.view.now
	if now.Config.Number == next.Config.Number && now.Applied == next.Applied && now.Leading == next.Leading &&
		now.Term == next.Term && now.Leader == next.Leader && now.Usage == next.Usage {
		return
	}
	if now.Leading != next.Leading || now.Term != next.Term || now.Leader != next.Leader {
		klog.InfoS("leadership changed", "instance", k.options.Name, "role", s.Role, "term", next.Term, "leader", next.Leader,
			"leading", next.Leading, "applied", next.Applied, "last", s.Last, "voters", s.Config.Voters)
	}
	k.view.now = next
	close(k.view.changed)
	k.view.changed = make(chan struct{})
}

// leaderAddress runs on the actor.
func (k *Keeper) leaderAddress() netip.AddrPort {
	leader := k.node.Leader()
	if leader == k.node.ID() {
		return k.options.Address
	}
	address, _ := k.outbox.lookUp(leader)
	return address
}

// Confirm returns once this keeper's state is known to contain all that was
// acknowledged before the call. It reports false if no majority confirmed it
// in time.
func (k *Keeper) Confirm(ctx context.Context) bool {
	reply := make(chan bool, 1)
	select {
	case k.asked <- reply:
	default:
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
		return false
	}
}

// confirmAll serves the callers of Confirm, all that wait by one question.
func (k *Keeper) confirmAll(ctx context.Context) {
	for {
		var waiting []chan<- bool
		select {
		case first := <-k.asked:
			waiting = append(waiting, first)
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			select {
			case next := <-k.asked:
				waiting = append(waiting, next)
			default:
				more = false
			}
		}
		ok := k.confirm(ctx)
		for _, reply := range waiting {
			reply <- ok
		}
	}
}

func (k *Keeper) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := k.readLocal(ctx)
	if !r.OK {
		leader, ok := actors.Ask(ctx, k.ref, func(reply chan<- netip.AddrPort) any { return locate{reply} })
		if !ok || !leader.IsValid() || leader == k.options.Address {
			return false
		}
		if err := k.options.Server.Client.Call(ctx, leader, peer.Read, struct{}{}, &r); err != nil || !r.OK {
			return false
		}
	}
	for {
		v, changed := k.View()
		if v.Applied >= r.Index {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// readLocal asks the own log; it fails unless this keeper leads.
func (k *Keeper) readLocal(ctx context.Context) readReply {
	r, _ := actors.Ask(ctx, k.ref, func(reply chan<- readReply) any { return read{reply: reply} })
	return r
}

func (k *Keeper) serveRead(ctx context.Context, _ []byte) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := k.readLocal(ctx)
	return &r, nil
}

func (k *Keeper) startRead(r read) {
	round, index, ok := k.node.StartReadRound()
	if k.failed != nil || !ok {
		r.reply <- readReply{}
		return
	}
	r.round, r.index = round, index
	k.reads = append(k.reads, r)
}

// answerReads answers the reads whose round a quorum has confirmed.
func (k *Keeper) answerReads() {
	if len(k.reads) == 0 {
		return
	}
	confirmed := k.node.ConfirmedReadRound()
	left := k.reads[:0]
	for _, r := range k.reads {
		if r.round > confirmed {
			left = append(left, r)
			continue
		}
		r.reply <- readReply{Index: r.index, OK: true}
	}
	k.reads = left
}

var _ wire.Checker = (*readReply)(nil)
