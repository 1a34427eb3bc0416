// Package gossip shares soft state among all nodes: which nodes are alive, which
// upstreams exist, and which documents are in force. A Host owns the node's
// member.Table. In each round it pushes changed records to peers; every few
// rounds it compares its digest with that of one peer, which repairs lost pushes.
// Subscribers receive what changed.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/founding"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
)

// Limits and intervals of gossip.
const (
	// fanOut is the number of peers that get each push, if there are more than
	// maxDirectPeers.
	fanOut = 2
	// maxDirectPeers is the number of peers up to which a node pushes to all
	// of them. It covers the 21 control instances expected within two years.
	maxDirectPeers = 21
	// replicas is the number of nodes that Replicate sends a record to.
	replicas = 3
	// compareEvery is the number of rounds between two comparisons.
	compareEvery = 5
	// renewEvery is the number of rounds between two pushes of renewals
	// alone.
	renewEvery = 2
	// maxPushBytes bounds the payload of one push, in bytes.
	maxPushBytes = 256 << 10
	// callTimeout bounds one exchange.
	callTimeout = time.Second
)

// Change holds the records that changed, for a subscriber.
type Change struct {
	// Changed are new or changed records.
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

// Host owns the table and exchanges its records with the other nodes.
type Host struct {
	options Options
	ref     *actors.Ref

	// The fields below belong to the actor.
	table  *member.Table
	random *rand.Rand
	round  int
	// pushesToAll says that the last push went to all peers.
	pushesToAll bool
	sequence    uint64
	leaving     bool
	// hasDocuments says that this node holds the documents in force, and
	// knowsUpstreams that it has the records of the upstreams: from a ready
	// peer, or because a whole lease has passed since startedAt.
	hasDocuments, knowsUpstreams bool
	startedAt                    clock.Instant
	subscribers                  []func(Change)
}

// The messages to the actor.
type (
	tick             struct{}
	publish          struct{ records []member.Record }
	refresh          struct{}
	subscribe        struct{ f func(Change) }
	setHasDocuments  struct{}
	setKeeperStopped struct{}
	setLevels        struct{ reads, inForce level.Level }
	setKeeper        struct {
		id      string
		cluster uint64
	}
	setFounding     struct{ state *founding.State }
	setSeeds        struct{ seeds []netip.AddrPort }
	leave           struct{}
	exchangeRequest struct {
		message member.Exchange
		reply   chan<- member.Answer
	}
	exchangeAnswer struct {
		from   netip.AddrPort
		answer member.Answer
	}
	viewTable struct {
		f    func(now clock.Instant, t *member.Table)
		done chan<- struct{}
	}
	readyQuery struct{ reply chan<- bool }
)

// New starts a Host, which stops with ctx.
func New(ctx context.Context, o Options) *Host {
	h := &Host{
		options: o,
		table:   member.New(),
		random:  rand.New(rand.NewPCG(o.Incarnation, 0)),
	}
	h.startedAt = o.Clock()
	h.ref = actors.Spawn(ctx, o.Actors, "gossip", h.receive)
	o.Server.On(peer.Exchange, h.serveExchange)
	h.ref.Send(refresh{})
	// The first tick sends the node's record to the seeds at once.
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

// Address returns the address at which other nodes reach this one.
func (h *Host) Address() netip.AddrPort { return h.options.Node.Address }

// Publish merges records into the table; the next rounds push them to peers. It drops
// invalid ones, as peers refuse a whole message for one of them.
func (h *Host) Publish(records ...member.Record) { h.ref.Send(publish{validRecords(records)}) }

func validRecords(records []member.Record) []member.Record {
	valid := make([]member.Record, 0, len(records))
	for _, r := range records {
		if err := r.Check(); err != nil {
			klog.ErrorS(err, "record not published", "kind", r.Kind, "id", r.ID)
			continue
		}
		valid = append(valid, r)
	}
	return valid
}

// Broadcast publishes an urgent record and also sends it directly to every live node. When all
// calls have ended or ctx ends it returns the nodes that have the record or a newer one, this
// one included.
func (h *Host) Broadcast(ctx context.Context, r member.Record) []member.NodeInfo {
	return h.BroadcastUntil(ctx, r, 0, func([]member.NodeInfo) bool { return false })
}

// BroadcastUntil is Broadcast that returns after patience as soon as the nodes that have the
// record are enough.
func (h *Host) BroadcastUntil(ctx context.Context, r member.Record, patience time.Duration, enough func(holders []member.NodeInfo) bool) []member.NodeInfo {
	h.Publish(r)
	return h.sendDirectly(ctx, h.Nodes(ctx), r, patience, enough)
}

// Replicate publishes an urgent record and also sends it directly to some live nodes. It reports
// whether another node has the record or a newer one, so that it outlives this one. A node
// that knows no other node, and has no seeds but itself, is the only one.
func (h *Host) Replicate(ctx context.Context, r member.Record) bool {
	h.Publish(r)
	var nodes []member.NodeInfo
	alone := false
	h.View(ctx, func(now clock.Instant, t *member.Table) {
		nodes = slices.DeleteFunc(liveNodes(now, t), func(n member.NodeInfo) bool { return n.Name == h.options.Node.Name })
		alone = len(h.pickPeers(now, 1)) == 0
		h.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	})
	nodes = nodes[:min(len(nodes), replicas)]
	return alone || len(h.sendDirectly(ctx, nodes, r, 0, func(holders []member.NodeInfo) bool { return len(holders) > 0 })) > 0
}

// sendDirectly sends a published record to nodes, and returns those that have it: when all calls
// have ended, when ctx ends, or after patience as soon as they are enough.
func (h *Host) sendDirectly(ctx context.Context, nodes []member.NodeInfo, r member.Record, patience time.Duration, enough func(holders []member.NodeInfo) bool) []member.NodeInfo {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *member.NodeInfo, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		if n.Name == h.options.Node.Name {
			answers <- n
			continue
		}
		go func() {
			var a member.Answer
			if err := h.options.Server.Client.Call(ctx, n.Address, peer.Exchange, member.Exchange{From: h.options.Node.Name, Push: []member.Record{r}}, &a); err != nil {
				klog.V(2).InfoS("record not sent", "instance", h.options.Node.Name, "peer", n.Address, "kind", r.Kind, "id", r.ID, "err", err)
				n = nil
			}
			answers <- n
		}()
	}
	wait := time.NewTimer(patience)
	defer wait.Stop()
	var holders []member.NodeInfo
	impatient := false
	for pending := len(nodes); pending > 0 && !(impatient && enough(holders)); {
		select {
		case n := <-answers:
			pending--
			if n != nil {
				holders = append(holders, *n)
			}
		case <-wait.C:
			impatient = true
		case <-ctx.Done():
			return holders
		}
	}
	return holders
}

// Subscribe calls f with all records of the table and with each later change. f
// runs on the host's actor and must not block.
func (h *Host) Subscribe(f func(Change)) { h.ref.Send(subscribe{f}) }

// SetHasDocuments marks that this node holds the documents in force.
func (h *Host) SetHasDocuments() { h.ref.Send(setHasDocuments{}) }

// SetKeeper publishes the identity of this node's data folder.
func (h *Host) SetKeeper(id string, cluster uint64) { h.ref.Send(setKeeper{id, cluster}) }

// SetLevels publishes the highest level that this node's keeper reads, and the one in force.
func (h *Host) SetLevels(reads, inForce level.Level) { h.ref.Send(setLevels{reads, inForce}) }

// SetFounding publishes this node's part in the founding of a cluster, without waiting for the
// next round; nil if it takes none.
func (h *Host) SetFounding(s *founding.State) { h.ref.Send(setFounding{s}) }

// SetKeeperStopped announces that this node's keeper has stopped after a failure.
func (h *Host) SetKeeperStopped() { h.ref.Send(setKeeperStopped{}) }

// Leave announces to the peers that this node stops.
func (h *Host) Leave() { h.ref.Send(leave{}) }

// Ready reports whether this node holds the documents in force, from a ready
// peer or from its own keeper, and knows the upstreams: from a ready peer, or
// because it has run for the time of a lease.
func (h *Host) Ready(ctx context.Context) bool {
	ready, _ := actors.Ask(ctx, h.ref, func(reply chan<- bool) any { return readyQuery{reply} })
	return ready
}

// View runs f with the table on the host's actor. It returns false if ctx ended
// first.
func (h *Host) View(ctx context.Context, f func(now clock.Instant, t *member.Table)) bool {
	_, ok := actors.Ask(ctx, h.ref, func(done chan<- struct{}) any { return viewTable{f, done} })
	return ok
}

// Nodes returns the nodes that are alive.
func (h *Host) Nodes(ctx context.Context) []member.NodeInfo {
	var nodes []member.NodeInfo
	h.View(ctx, func(now clock.Instant, t *member.Table) { nodes = liveNodes(now, t) })
	return nodes
}

// UnleftNodes returns the nodes that haven't said that they stop: those that are alive,
// and those that were lost lately. It returns false if ctx ended first.
func (h *Host) UnleftNodes(ctx context.Context) ([]member.NodeInfo, bool) {
	var nodes []member.NodeInfo
	if !h.View(ctx, func(_ clock.Instant, t *member.Table) { nodes = decodeNodes(t.Unleft(member.Node)) }) {
		return nil, false
	}
	return nodes, true
}

func liveNodes(now clock.Instant, t *member.Table) []member.NodeInfo {
	return decodeNodes(t.Live(now, member.Node))
}

func decodeNodes(records []member.Record) []member.NodeInfo {
	var nodes []member.NodeInfo
	for _, r := range records {
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
	answer, ok := actors.Ask(ctx, h.ref, func(reply chan<- member.Answer) any { return exchangeRequest{m, reply} })
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
	case publish:
		h.merge(now, m.records)
	case refresh:
		h.refresh(now)
	case subscribe:
		h.subscribers = append(h.subscribers, m.f)
		m.f(Change{Changed: h.table.All(now)})
	case setHasDocuments:
		h.hasDocuments = true
	case setKeeper:
		h.options.Node.KeeperID, h.options.Node.Cluster = m.id, m.cluster
		h.refresh(now)
	case setKeeperStopped:
		h.options.Node.KeeperStopped = true
		h.refresh(now)
	case setLevels:
		h.options.Node.Reads, h.options.Node.Level = m.reads, m.inForce
		h.refresh(now)
	case setFounding:
		h.options.Node.Founding = m.state
		h.refresh(now)
		h.push(now)
	case setSeeds:
		h.options.Seeds = m.seeds
	case leave:
		h.leaving = true
		h.refresh(now)
		h.push(now)
	case exchangeRequest:
		m.reply <- h.answerExchange(now, m.message)
	case exchangeAnswer:
		h.applyAnswer(now, m)
	case viewTable:
		m.f(now, h.table)
		m.done <- struct{}{}
	case readyQuery:
		m.reply <- h.ready()
	}
}

func (h *Host) ready() bool { return h.hasDocuments && h.knowsUpstreams }

func (h *Host) merge(now clock.Instant, records []member.Record) {
	changed := h.table.Merge(now, records)
	if len(changed) > 0 {
		h.notify(Change{Changed: changed})
	}
}

// mergePushed merges records that a peer sent. If each node pushes to all peers,
// renewals aren't passed on; comparisons make up for a lost push.
func (h *Host) mergePushed(now clock.Instant, records []member.Record) {
	if !h.pushesToAll {
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
	h.knowsUpstreams = h.knowsUpstreams || now-h.startedAt >= h.options.Lease
	h.round++
	if refreshEvery := max(int(h.options.Lease/h.options.Interval)/3, 1); h.round%refreshEvery == 0 {
		h.refresh(now)
	}
	if h.table.HasChangesToPush() || h.round%renewEvery == 0 {
		h.push(now)
	}
	switch {
	case !h.knowsUpstreams:
		// A node that has just started asks as many peers as there are
		// seeds until it knows the upstreams: after a restart of all nodes,
		// no other node may know this one yet.
		h.compare(max(len(h.options.Seeds), 1))
	case h.round%compareEvery == 0:
		h.compare(1)
	}
}

// push sends the records that changed lately to fanOut peers, or to all if there
// are at most maxDirectPeers.
func (h *Host) push(now clock.Instant) {
	peers := h.pickPeers(now, maxDirectPeers+1)
	h.pushesToAll = len(peers) <= maxDirectPeers
	records := h.table.NextPush(now, maxPushBytes, h.pushesToAll)
	if len(records) == 0 {
		return
	}
	if !h.pushesToAll {
		peers = peers[:fanOut]
	}
	for _, to := range peers {
		h.send(to, member.Exchange{From: h.options.Node.Name, Push: records, Ready: h.ready()})
	}
}

// compare sends the digest to a number of random peers.
func (h *Host) compare(peers int) {
	for _, to := range h.pickPeers(h.options.Clock(), peers) {
		m := member.Exchange{From: h.options.Node.Name, Compare: true, Ready: h.ready()}
		m.Digest, m.Intervals = h.table.IntervalDigest()
		h.send(to, m)
	}
}

// pickPeers returns at most n random peers out of the live nodes and the seeds.
// The seeds are included so that the two sides of a network partition find each
// other once it has ended.
func (h *Host) pickPeers(now clock.Instant, n int) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{h.options.Node.Address: true, h.options.Server.Address: true}
	var candidates []netip.AddrPort
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			candidates = append(candidates, a)
		}
	}
	for _, node := range liveNodes(now, h.table) {
		add(node.Address)
	}
	for _, seed := range h.options.Seeds {
		add(seed)
	}
	h.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// send calls a peer and passes its answer to the actor. A failed call isn't
// repeated: a later comparison makes up for it.
func (h *Host) send(to netip.AddrPort, m member.Exchange) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var a member.Answer
		if err := h.options.Server.Client.Call(ctx, to, peer.Exchange, m, &a); err != nil {
			klog.V(2).InfoS("gossip exchange failed", "instance", h.options.Node.Name, "peer", to, "err", err)
			return
		}
		h.ref.Send(exchangeAnswer{to, a})
	}()
}

func (h *Host) answerExchange(now clock.Instant, m member.Exchange) member.Answer {
	h.mergePushed(now, m.Push)
	answer := h.table.Answer(now, m)
	answer.Ready = h.ready()
	return answer
}

// applyAnswer merges a peer's answer, and sends the peer what it lacks and asks
// for what this node lacks.
func (h *Host) applyAnswer(now clock.Instant, m exchangeAnswer) {
	h.mergePushed(now, m.answer.Push)
	missing := h.table.Missing(m.answer.Digest)
	push := append(h.table.Select(now, m.answer.Want), h.table.Newer(now, m.answer.Digest)...)
	if m.answer.Compared && m.answer.Ready {
		h.knowsUpstreams = true
		h.hasDocuments = h.hasDocuments || len(missing) == 0
	}
	if len(push) == 0 && len(missing) == 0 {
		return
	}
	h.send(m.from, member.Exchange{From: h.options.Node.Name, Push: push, Want: missing, Ready: h.ready()})
}
