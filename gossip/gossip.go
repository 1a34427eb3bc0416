// Package gossip hosts the table of shared soft state: it pushes changes to
// peers, compares digests with them, and tells subscribers what changed.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
)

// Shape of the exchange.
const (
	// fanOut is the number of peers that get a push in each round.
	fanOut = 2
	// directPeers is the number of peers up to which each node pushes to all
	// of them: the 21 control instances of the two-year size.
	directPeers = 21
	// compareEvery is the number of rounds between two comparisons.
	compareEvery = 5
	// renewEvery is the number of rounds between two pushes of renewals
	// alone.
	renewEvery = 2
	// pushBytes bounds the payload of one push.
	pushBytes = 256 << 10
	// callTimeout bounds one exchange.
	callTimeout = time.Second
)

// Change tells a subscriber about records.
type Change struct {
	// Changed are new versions.
	Changed []member.Record
	// Ended are records whose lease ran out.
	Ended []member.Record
}

// Options are what a Host needs.
type Options struct {
	Node        member.NodeInfo
	Incarnation uint64
	Seeds       []netip.AddrPort
	Interval    time.Duration
	Lease       time.Duration
	Clock       clock.Clock
	Actors      *actor.ActorSystem
	Server      *peer.Server
}

// Host owns the table.
type Host struct {
	options Options
	ref     *actors.Ref

	// The fields below belong to the actor.
	table  *member.Table
	random *rand.Rand
	round  int
	// direct says that this node pushes to all its peers.
	direct   bool
	sequence uint64
	leaving  bool
	// documents says that this node holds the documents in force; settled
	// that it has had the time to hear of the upstreams.
	documents, settled bool
	began              clock.Instant
	subscribers        []func(Change)
}

type (
	tick      struct{}
	inbound   struct{ records []member.Record }
	refresh   struct{}
	subscribe struct{ f func(Change) }
	setReady  struct{}
	setKeeper struct {
		id      string
		cluster uint64
	}
	setSeeds  struct{ seeds []netip.AddrPort }
	leave     struct{}
	exchanged struct {
		message member.Exchange
		reply   chan<- member.Answer
	}
	answered struct {
		from   netip.AddrPort
		answer member.Answer
	}
	query struct {
		f    func(now clock.Instant, t *member.Table)
		done chan<- struct{}
	}
	readyQuery struct{ reply chan<- bool }
)

// New starts gossip; it ends with ctx.
func New(ctx context.Context, o Options) *Host {
	h := &Host{
		options: o,
		table:   member.New(),
		random:  rand.New(rand.NewPCG(o.Incarnation, 0)),
	}
	h.began = o.Clock()
	h.ref = actors.Spawn(ctx, o.Actors, "gossip", h.receive)
	o.Server.On(peer.Exchange, h.serveExchange)
	h.ref.Send(refresh{})
	// The seeds hear of the node at once.
	h.ref.Send(tick{})
	go func() {
		t := time.NewTicker(o.Interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				h.ref.Send(tick{})
			case <-ctx.Done():
				return
			}
		}
	}()
	return h
}

// Address is where other nodes reach this one.
func (h *Host) Address() netip.AddrPort { return h.options.Node.Address }

// Publish merges records into the table and so spreads them.
func (h *Host) Publish(records ...member.Record) { h.ref.Send(inbound{records}) }

// Spread publishes records and hands them to every node that is alive at once,
// for news that can't wait. It returns when all have them, or with ctx.
func (h *Host) Spread(ctx context.Context, records ...member.Record) {
	h.Publish(records...)
	m := member.Exchange{From: h.options.Node.Name, Push: records}
	var wait sync.WaitGroup
	for _, n := range h.Nodes(ctx) {
		if n.Name == h.options.Node.Name {
			continue
		}
		wait.Go(func() {
			var a member.Answer
			if err := h.options.Server.Client.Call(ctx, n.Address, peer.Exchange, m, &a); err != nil {
				klog.V(2).InfoS("gossip failed", "instance", h.options.Node.Name, "peer", n.Address, "err", err)
			}
		})
	}
	wait.Wait()
}

// Subscribe calls f with everything held now and with all later changes. It
// runs on the host's actor and must not block.
func (h *Host) Subscribe(f func(Change)) { h.ref.Send(subscribe{f}) }

// SetReady says that this node holds the documents in force.
func (h *Host) SetReady() { h.ref.Send(setReady{}) }

// SetKeeper publishes the identity of this node's data folder.
func (h *Host) SetKeeper(id string, cluster uint64) { h.ref.Send(setKeeper{id, cluster}) }

// Leave announces that this node stops.
func (h *Host) Leave() { h.ref.Send(leave{}) }

// Ready reports whether this node holds the documents in force, from a ready
// peer or from a keeper of its own, and has heard of the upstreams: from a
// ready peer, or because it has listened for the time of a lease.
func (h *Host) Ready(ctx context.Context) bool {
	ready, _ := actors.Ask(ctx, h.ref, func(reply chan<- bool) any { return readyQuery{reply} })
	return ready
}

// View runs f with the table on the host's actor.
func (h *Host) View(ctx context.Context, f func(now clock.Instant, t *member.Table)) bool {
	_, ok := actors.Ask(ctx, h.ref, func(done chan<- struct{}) any { return query{f, done} })
	return ok
}

// Nodes returns the nodes that are alive.
func (h *Host) Nodes(ctx context.Context) []member.NodeInfo {
	var nodes []member.NodeInfo
	h.View(ctx, func(now clock.Instant, t *member.Table) { nodes = liveNodes(now, t) })
	return nodes
}

func liveNodes(now clock.Instant, t *member.Table) []member.NodeInfo {
	var nodes []member.NodeInfo
	for _, r := range t.Live(now, member.Node) {
		var n member.NodeInfo
		if err := wire.Decode(r.Payload, &n); err != nil {
			klog.ErrorS(err, "node record dropped", "node", r.ID)
			continue
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func (h *Host) serveExchange(ctx context.Context, body []byte) (any, error) {
	var m member.Exchange
	if err := wire.Decode(body, &m); err != nil {
		return nil, err
	}
	answer, ok := actors.Ask(ctx, h.ref, func(reply chan<- member.Answer) any { return exchanged{m, reply} })
	if !ok {
		return nil, context.Cause(ctx)
	}
	return answer, nil
}

func (h *Host) receive(message any) {
	now := h.options.Clock()
	switch m := message.(type) {
	case tick:
		h.tick(now)
	case inbound:
		h.merge(now, m.records)
	case refresh:
		h.refresh(now)
	case subscribe:
		h.subscribers = append(h.subscribers, m.f)
		m.f(Change{Changed: h.table.All(now)})
	case setReady:
		h.documents = true
	case setKeeper:
		h.options.Node.KeeperID, h.options.Node.Cluster = m.id, m.cluster
		h.refresh(now)
	case setSeeds:
		h.options.Seeds = m.seeds
	case leave:
		h.leaving = true
		h.refresh(now)
		h.push(now)
	case exchanged:
		m.reply <- h.exchange(now, m.message)
	case answered:
		h.answered(now, m)
	case query:
		m.f(now, h.table)
		m.done <- struct{}{}
	case readyQuery:
		m.reply <- h.ready()
	}
}

func (h *Host) ready() bool { return h.documents && h.settled }

func (h *Host) merge(now clock.Instant, records []member.Record) {
	changed := h.table.Merge(now, records)
	if len(changed) > 0 {
		h.notify(Change{Changed: changed})
	}
}

// mergePushed takes in what a peer sent. Where each node pushes to all, what
// only renews a lease isn't passed on; comparisons make up for a lost push.
func (h *Host) mergePushed(now clock.Instant, records []member.Record) {
	if !h.direct {
		h.merge(now, records)
		return
	}
	if changed := h.table.MergeDirect(now, records); len(changed) > 0 {
		h.notify(Change{Changed: changed})
	}
}

func (h *Host) notify(c Change) {
	for _, f := range h.subscribers {
		f(c)
	}
}

// refresh renews the node's own record.
func (h *Host) refresh(now clock.Instant) {
	h.sequence++
	h.merge(now, []member.Record{{
		Key:       member.Key{Kind: member.Node, ID: h.options.Node.Name},
		Version:   member.Version{Incarnation: h.options.Incarnation, Leaving: h.leaving, Sequence: h.sequence},
		Remaining: h.options.Lease,
		Payload:   wire.MustEncode(h.options.Node),
	}})
}

func (h *Host) tick(now clock.Instant) {
	if ended := h.table.Expire(now); len(ended) > 0 {
		h.notify(Change{Ended: ended})
	}
	h.settled = h.settled || now-h.began >= h.options.Lease
	h.round++
	if refreshEvery := max(int(h.options.Lease/h.options.Interval)/3, 1); h.round%refreshEvery == 0 {
		h.refresh(now)
	}
	if h.table.HasChangesToPush() || h.round%renewEvery == 0 {
		h.push(now)
	}
	switch {
	case !h.settled:
		// A node that has just started asks every seed until it knows the
		// others: after a restart of all it can't wait to be told.
		h.compare(max(len(h.options.Seeds), 1))
	case h.round%compareEvery == 0:
		h.compare(1)
	}
}

// push sends what changed lately, to all peers if they are few.
func (h *Host) push(now clock.Instant) {
	targets := h.targets(now, directPeers+1)
	h.direct = len(targets) <= directPeers
	hot := h.table.NextPush(now, pushBytes, h.direct)
	if len(hot) == 0 {
		return
	}
	if !h.direct {
		targets = targets[:fanOut]
	}
	for _, to := range targets {
		h.send(to, member.Exchange{From: h.options.Node.Name, Push: hot, Ready: h.ready()})
	}
}

// compare sends the digest to some peers.
func (h *Host) compare(peers int) {
	for _, to := range h.targets(h.options.Clock(), peers) {
		m := member.Exchange{From: h.options.Node.Name, Compare: true, Ready: h.ready()}
		m.Digest, m.Intervals = h.table.IntervalDigest()
		h.send(to, m)
	}
}

// targets picks peers at random, among them the seeds, so that two parts of a
// healed network find each other again.
func (h *Host) targets(now clock.Instant, n int) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{h.options.Node.Address: true, h.options.Server.Address: true}
	var all []netip.AddrPort
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			all = append(all, a)
		}
	}
	for _, node := range liveNodes(now, h.table) {
		add(node.Address)
	}
	for _, seed := range h.options.Seeds {
		add(seed)
	}
	h.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (h *Host) send(to netip.AddrPort, m member.Exchange) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var a member.Answer
		if err := h.options.Server.Client.Call(ctx, to, peer.Exchange, m, &a); err != nil {
			klog.V(2).InfoS("gossip failed", "instance", h.options.Node.Name, "peer", to, "err", err)
			return
		}
		h.ref.Send(answered{to, a})
	}()
}

func (h *Host) exchange(now clock.Instant, m member.Exchange) member.Answer {
	h.mergePushed(now, m.Push)
	answer := h.table.Answer(now, m)
	answer.Ready = h.ready()
	return answer
}

func (h *Host) answered(now clock.Instant, m answered) {
	h.mergePushed(now, m.answer.Push)
	missing := h.table.Missing(m.answer.Digest)
	push := append(h.table.Select(now, m.answer.Want), h.table.Newer(now, m.answer.Digest)...)
	if m.answer.Compared && m.answer.Ready {
		h.settled = true
		h.documents = h.documents || len(missing) == 0
	}
	if len(push) == 0 && len(missing) == 0 {
		return
	}
	h.send(m.from, member.Exchange{From: h.options.Node.Name, Push: push, Want: missing, Ready: h.ready()})
}
