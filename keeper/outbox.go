package keeper

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/peer"
)

// Limits of what waits for one keeper.
const (
	maxQueued   = 512
	stepTimeout = 2 * time.Second
)

// outbox sends messages to keepers, one batch at a time each. What a slow or
// unreachable keeper leaves over is dropped; the log sends it again.
type outbox struct {
	ctx    context.Context
	client *peer.Client

	mu        sync.Mutex
	addresses map[consensus.ID]netip.AddrPort
	queues    map[consensus.ID]chan queued
}

type queued struct {
	cluster uint64
	message consensus.Message
}

func newOutbox(ctx context.Context, client *peer.Client) *outbox {
	return &outbox{
		ctx:       ctx,
		client:    client,
		addresses: map[consensus.ID]netip.AddrPort{},
		queues:    map[consensus.ID]chan queued{},
	}
}

// address sets where a keeper is reached.
func (o *outbox) address(id consensus.ID, a netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses[id] = a
}

func (o *outbox) lookUp(id consensus.ID) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.addresses[id]
	return a, ok
}

func (o *outbox) send(cluster uint64, m consensus.Message) {
	o.mu.Lock()
	q, ok := o.queues[m.To]
	if !ok {
		q = make(chan queued, maxQueued)
		o.queues[m.To] = q
		go o.deliver(m.To, q)
	}
	o.mu.Unlock()
	select {
	case q <- queued{cluster, m}:
	default:
	}
}

// deliver sends what waits for a keeper.
func (o *outbox) deliver(to consensus.ID, q <-chan queued) {
	for {
		select {
		case first := <-q:
			b := Batch{Cluster: first.cluster, Messages: []consensus.Message{first.message}}
			for more := true; more; {
				select {
				case next := <-q:
					b.Messages = append(b.Messages, next.message)
				default:
					more = false
				}
			}
			o.call(to, b)
		case <-o.ctx.Done():
			return
		}
	}
}

func (o *outbox) call(to consensus.ID, b Batch) {
	address, ok := o.lookUp(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, stepTimeout)
	defer cancel()
	if err := o.client.Call(ctx, address, peer.Step, b, nil); err != nil {
		klog.V(2).InfoS("keeper not reached", "keeper", to, "peer", address, "err", err)
	}
}

func parseID(s string) (consensus.ID, bool) {
	id, err := strconv.ParseUint(s, 16, 64)
	return consensus.ID(id), err == nil && id != 0
}
