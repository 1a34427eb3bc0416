package keeper

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/peer"
)

// Limits of the messages to one keeper.
const (
	maxQueued   = 512
	stepTimeout = 2 * time.Second
)

// outbox sends messages to keepers, to each one batch at a time. Messages that
// a slow or unreachable keeper doesn't take are dropped; consensus sends them
// again.
type outbox struct {
	ctx    context.Context
	client *peer.Client
	// reads is the highest level that this keeper reads.
	reads level.Level

	mu        sync.Mutex
	addresses map[consensus.ID]netip.AddrPort
	queues    map[consensus.ID]chan queuedMessage
}

type queuedMessage struct {
	cluster uint64
	level   level.Level
	message consensus.Message
}

func newOutbox(ctx context.Context, client *peer.Client, reads level.Level) *outbox {
	return &outbox{
		ctx:       ctx,
		client:    client,
		reads:     reads,
		addresses: map[consensus.ID]netip.AddrPort{},
		queues:    map[consensus.ID]chan queuedMessage{},
	}
}

// setAddress sets the address of a keeper.
func (o *outbox) setAddress(id consensus.ID, a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[id] = a
}

func (o *outbox) addressOf(id consensus.ID) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.addresses[id]
	return a, ok
}

func (o *outbox) send(cluster uint64, of level.Level, m consensus.Message) {
	o.mu.Lock()
	q, ok := o.queues[m.To]
	if !ok {
		q = make(chan queuedMessage, maxQueued)
		o.queues[m.To] = q
		go o.deliver(m.To, q)
	}
	o.mu.Unlock()
	select {
	case q <- queuedMessage{cluster, of, m}:
	default:
	}
}

// deliver sends the queued messages of one keeper in batches.
func (o *outbox) deliver(to consensus.ID, q <-chan queuedMessage) {
	for {
		select {
		case first := <-q:
			messages, of := []consensus.Message{first.message}, first.level
			for more := true; more; {
				select {
				case next := <-q:
					messages, of = append(messages, next.message), max(of, next.level)
				default:
					more = false
				}
			}
			o.call(to, newBatch(first.cluster, of, o.reads, messages))
		case <-o.ctx.Done():
			return
		}
	}
}

func (o *outbox) call(to consensus.ID, b Batch) {
	address, ok := o.addressOf(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, stepTimeout)
	defer cancel()
	if err := o.client.Call(ctx, address, peer.Step, b, nil); err != nil {
		klog.V(2).InfoS("keeper not reached; dropping messages", "keeper", to, "peer", address, "err", err)
	}
}

func parseID(s string) (consensus.ID, bool) {
	id, err := strconv.ParseUint(s, 16, 64)
	return consensus.ID(id), err == nil && id != 0
}
