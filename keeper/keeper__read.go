package keeper

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// confirmTimeout bounds one confirmation. A round of messages between keepers
// takes a few milliseconds; after a longer one the caller asks again.
const confirmTimeout = 700 * time.Millisecond

// confirmInterval is the least time between two read rounds of one keeper. Each
// costs the leader a message to every other keeper and back, and with many
// entries some always wait for one.
const confirmInterval = 60 * time.Millisecond

type (
	// readRequest asks the leader for its commit index, to be confirmed by the
	// numbered read round.
	readRequest struct {
		round, index uint64
		reply        chan<- readReply
	}
	readReply struct {
		// Index is the commit index that a quorum confirmed, if OK is set.
		Index uint64 `json:"i,omitempty"`
		OK    bool   `json:"o,omitempty"`
	}
	// leaderQuery asks for the leader's address.
	leaderQuery struct{ reply chan<- netip.AddrPort }
)

// Check verifies a decoded reply.
func (r *readReply) Check() error { return nil }

// View is a keeper's state at one moment, for the other roles of its node.
type View struct {
	// Config is the newest document that this keeper has applied.
	Config config.Put
	// Applied is the index of the last applied entry.
	Applied uint64
	// Leading says that this keeper leads, in term Term.
	Leading bool
	Term    uint64
	// Leader is the address of the leader, if one is known.
	Leader netip.AddrPort
	// UsageWindow is the number of the newest recorded usage window.
	UsageWindow uint64
	// Level is that of the log in force.
	Level level.Level
	// Rollouts are those of all services, nil if this keeper has none. It is replaced with
	// each change and never modified.
	Rollouts *rollout.View
	// Restored counts the snapshots from which this keeper has restored its state.
	Restored int
	// Members are those of the log, as far as this keeper has read it.
	Members consensus.Config
}

// HasQuorum reports whether the keepers that run on the nodes are a quorum of the members.
func (v *View) HasQuorum(nodes []member.NodeInfo) bool {
	return v.Members.HasQuorum(func(id consensus.ID) bool {
		return slices.ContainsFunc(nodes, func(n member.NodeInfo) bool {
			other, ok := parseID(n.KeeperID)
			return ok && other == id
		})
	})
}

// viewPublisher holds the newest View and notifies those who wait for changes.
type viewPublisher struct {
	mu      sync.Mutex
	current View
	changed chan struct{}
}

func newViewPublisher(first View) *viewPublisher {
	return &viewPublisher{current: first, changed: make(chan struct{})}
}

// View returns the keeper's current View, and a channel that is closed when it
// changes.
func (k *Keeper) View() (View, <-chan struct{}) {
	k.view.mu.Lock()
	defer k.view.mu.Unlock()
	return k.view.current, k.view.changed
}

func (k *Keeper) publishView(s consensus.Status) {
	next := View{
		Config:      k.machine.configs.Newest(),
		Applied:     s.Applied,
		Leading:     k.node.IsLeader(),
		Term:        s.Term,
		Leader:      k.leaderAddress(),
		UsageWindow: k.machine.usage.Newest(),
		Level:       k.machine.level,
		Rollouts:    k.machine.rollouts(),
		Restored:    k.machine.restored,
		Members:     s.Config,
	}
	k.view.mu.Lock()
	defer k.view.mu.Unlock()
	current := k.view.current
	if current.Config.Number == next.Config.Number && current.Applied == next.Applied && current.Leading == next.Leading &&
		current.Term == next.Term && current.Leader == next.Leader && current.UsageWindow == next.UsageWindow &&
		current.Members.Equal(&next.Members) {
		// Level, Rollouts and Restored change with Applied only.
		return
	}
	if current.Leading != next.Leading || current.Term != next.Term || current.Leader != next.Leader {
		klog.InfoS("leadership changed", "instance", k.options.Name, "role", s.Role, "term", next.Term, "leader", next.Leader,
			"leading", next.Leading, "applied", next.Applied, "last", s.Last, "voters", s.Config.Voters)
	}
	k.view.current = next
	close(k.view.changed)
	k.view.changed = make(chan struct{})
}

// leaderAddress returns the address of the leader, if it is known. Only the
// actor may call it.
func (k *Keeper) leaderAddress() netip.AddrPort {
	leader := k.node.Leader()
	if leader == k.node.ID() {
		return k.options.Address
	}
	address, _ := k.outbox.addressOf(leader)
	return address
}

// Confirm waits until this keeper has applied every command that was
// acknowledged before the call. It returns false if no majority confirms that
// in time.
func (k *Keeper) Confirm(ctx context.Context) bool {
	reply := make(chan bool, 1)
	select {
	case k.confirmRequests <- reply:
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

// serveConfirms answers the callers of Confirm; one read round serves all that
// wait.
func (k *Keeper) serveConfirms(ctx context.Context) {
	pace.Batches(ctx, k.confirmRequests, confirmInterval, func(waiting []chan<- bool) {
		ok := k.confirm(ctx)
		for _, reply := range waiting {
			reply <- ok
		}
	})
}

// confirm asks the leader, which may be this keeper, for a confirmed index and
// waits until this keeper has applied it.
func (k *Keeper) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := k.confirmLocal(ctx)
	if !r.OK {
		leader, ok := actors.Ask(ctx, k.ref, func(reply chan<- netip.AddrPort) any { return leaderQuery{reply} })
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

// confirmLocal confirms the commit index by this keeper's own consensus node;
// it fails unless this keeper leads.
func (k *Keeper) confirmLocal(ctx context.Context) readReply {
	r, _ := actors.Ask(ctx, k.ref, func(reply chan<- readReply) any { return readRequest{reply: reply} })
	return r
}

func (k *Keeper) serveRead(ctx context.Context, _ []byte) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := k.confirmLocal(ctx)
	return &r, nil
}

func (k *Keeper) startRead(r readRequest) {
	round, index, ok := k.node.StartReadRound()
	if k.failure != nil || !ok {
		r.reply <- readReply{}
		return
	}
	r.round, r.index = round, index
	k.pendingReads = append(k.pendingReads, r)
}

// answerReads replies to the reads whose round a quorum has confirmed.
func (k *Keeper) answerReads() {
	if len(k.pendingReads) == 0 {
		return
	}
	confirmed := k.node.ConfirmedReadRound()
	unconfirmed := k.pendingReads[:0]
	for _, r := range k.pendingReads {
		if r.round > confirmed {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		r.reply <- readReply{Index: r.index, OK: true}
	}
	k.pendingReads = unconfirmed
}

var _ wire.Checker = (*readReply)(nil)
