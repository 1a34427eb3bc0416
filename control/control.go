package control

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Times of the control server.
const (
	// announcementLease is how long an upstream counts without news of it.
	// It outlives a cut between an upstream and all keepers, since entries
	// may still reach it.
	announcementLease = 40 * time.Second
	// holdTime is how long a question of an entry without news is held.
	holdTime = 300 * time.Millisecond
	// spreadTime bounds the wait for the other keepers before a leaving
	// upstream gets its answer: it waits for one second at most.
	spreadTime = 250 * time.Millisecond
	// putTime bounds the wait for a majority; operators ask another node
	// after a second, and longer for large documents.
	putTime = 3 * time.Second
	// readTime bounds the wait for a confirmation.
	readTime = 900 * time.Millisecond
	// watchInterval is the time between two looks for silent upstreams.
	watchInterval = 500 * time.Millisecond
	// gatherTime is how long a change waits for others before entries are
	// told: the upstreams of a zone that is reclaimed leave within a few
	// hundredths of a second, and each change wakes every entry.
	gatherTime = 20 * time.Millisecond
	// peersAge is how long the list of living keepers is used again: below
	// the time after which one counts as gone.
	peersAge = 250 * time.Millisecond
)

// Options are what a Control needs.
type Options struct {
	Name        string
	Incarnation uint64
	Gossip      *gossip.Host
	Keeper      *keeper.Keeper
	Client      *keeper.Client
	Server      *peer.Server
	Clock       clock.Clock
	Cloud       settings.Cloud
	// QuotaSlack is the number of units by which all entries together may
	// exceed an organisation's quota.
	QuotaSlack float64
}

// Control serves operators, upstreams and entries on a keeper's instance.
type Control struct {
	options Options

	mu     sync.Mutex
	roster *roster
	// began is when this keeper started.
	began   clock.Instant
	office  *office
	counts  *counts
	changed chan struct{}
	// gathering says that a wake-up is on its way.
	gathering bool
	// keepers are the living ones as of listed.
	keepers []Peer
	listed  clock.Instant
}

// New starts to serve; it ends with ctx.
func New(ctx context.Context, o Options) *Control {
	c := &Control{options: o, began: o.Clock(), roster: newRoster(), counts: newCounts(), changed: make(chan struct{})}
	o.Gossip.Subscribe(c.learn)
	o.Server.On(peer.Sync, c.serveSync)
	o.Server.On(peer.Account, c.serveAccount)
	o.Server.On(peer.Reserve, c.serveReserve)
	o.Server.Handle(platform.HeartbeatPattern, http.HandlerFunc(c.heartbeat))
	o.Server.Handle(platform.DeregisterPattern, http.HandlerFunc(c.deregister))
	o.Server.Handle(platform.PutConfigPattern, http.HandlerFunc(c.putConfig))
	o.Server.Handle(platform.GetConfigPattern, http.HandlerFunc(c.getConfig))
	if o.Cloud.Address.IsValid() {
		go newDuties(c, platform.NewCloud(o.Cloud.Address)).run(ctx)
	}
	go func() {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				c.update(func(now clock.Instant) bool { return c.roster.watch(now) })
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// update runs f on the roster and wakes the entries that wait, a little later,
// if it changed.
func (c *Control) update(f func(now clock.Instant) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f(c.options.Clock()) && !c.gathering {
		c.gathering = true
		time.AfterFunc(gatherTime, c.wake)
	}
}

func (c *Control) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gathering = false
	close(c.changed)
	c.changed = make(chan struct{})
}

// learn takes in what gossip says of upstreams.
func (c *Control) learn(change gossip.Change) {
	c.update(func(now clock.Instant) bool {
		changed := false
		for _, r := range change.Changed {
			if r.Kind != member.Upstream {
				continue
			}
			a, err := upstream.FromRecord(r)
			if err != nil {
				klog.ErrorS(err, "upstream record dropped", "instance", c.options.Name, "upstream", r.ID)
				continue
			}
			if c.roster.apply(now, a) {
				changed = true
				klog.InfoS("upstream changed", "upstream", a.ID, "service", a.Services, "address", a.Address,
					"zone", a.Zone, "incarnation", a.Incarnation, "number", a.Sequence, "leaving", a.Leaving, "notice", a.Notice)
			}
		}
		for _, r := range change.Ended {
			if r.Kind == member.Upstream && c.roster.end(now, r.ID, r.Incarnation) {
				changed = true
				klog.InfoS("upstream's lease ran out", "upstream", r.ID, "incarnation", r.Incarnation)
			}
		}
		return changed
	})
}

func (c *Control) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		refuse(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	a, err := platform.DecodeHeartbeat(r.PathValue("id"), body, announcementLease)
	if err != nil {
		klog.InfoS("announcement refused", "upstream", r.PathValue("id"), "err", err)
		refuse(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	c.announce(r.Context(), a)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.HeartbeatAnswer)
}

// announce shares an announcement. That an upstream leaves is handed to every
// keeper before the upstream hears that it is known.
func (c *Control) announce(ctx context.Context, a upstream.Announcement) {
	if !a.Leaving {
		c.options.Gossip.Publish(a.Record())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	c.options.Gossip.Spread(ctx, a.Record())
}

func (c *Control) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		refuse(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	incarnation, err := platform.DecodeDeregistration(body)
	if err != nil {
		refuse(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	c.mu.Lock()
	a, ok := c.roster.get(id)
	c.mu.Unlock()
	switch {
	case !ok:
		// Another keeper may know it, or this one when the news arrives.
		refuse(w, result.New(result.NoUpstream, result.RanNo, "upstream %q isn't known here", id).WithRetry(time.Second))
		return
	case incarnation == 0 || incarnation == a.Incarnation:
		a.Leaving, a.Lease = true, announcementLease
		c.announce(r.Context(), a)
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Control) putConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxBody))
	if err != nil {
		refuse(w, result.New(result.ConfigInvalid, result.RanNo, "%v", err))
		return
	}
	revision, err := platform.DecodeConfig(body)
	if err != nil {
		klog.InfoS("configuration refused", "bytes", len(body), "err", err)
		refuse(w, result.From(err))
		return
	}
	packed, err := pack.Deflate(body)
	if err != nil {
		refuse(w, result.From(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTime)
	defer cancel()
	outcome, err := c.options.Client.Put(ctx, config.Put{Number: revision.Number, Digest: config.DigestOf(body), Packed: packed})
	klog.InfoS("configuration put", "revision", revision.Number, "routes", len(revision.Routes), "outcome", int(outcome), "err", err)
	switch {
	case err != nil:
		refuse(w, result.From(err))
	case outcome == config.Conflict:
		refuse(w, result.New(result.ConfigConflict, result.RanNo, "revision %d was accepted with another content", revision.Number))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (c *Control) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTime)
	defer cancel()
	if !c.options.Keeper.Confirm(ctx) {
		refuse(w, result.New(result.NoQuorum, result.RanNo, "no majority of keepers confirmed the newest configuration").WithRetry(time.Second))
		return
	}
	v, _ := c.options.Keeper.View()
	if v.Config.Number == 0 {
		refuse(w, result.New(result.NotReady, result.RanNo, "there is no configuration yet").WithRetry(time.Second))
		return
	}
	body, err := pack.Inflate(v.Config.Packed, config.MaxBody)
	if err != nil {
		klog.ErrorS(err, "stored configuration can't be read", "revision", v.Config.Number)
		refuse(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func refuse(w http.ResponseWriter, e *result.Error) { problem.Write(w, e) }

// serveSync answers an entry when there is news for it, or after a while.
func (c *Control) serveSync(ctx context.Context, body []byte) (any, error) {
	var q SyncRequest
	if err := wire.Decode(body, &q); err != nil {
		return nil, err
	}
	confirmed := make(chan bool, 1)
	go func() { confirmed <- c.options.Keeper.Confirm(ctx) }()
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	newest, over := uint64(0), false
	for {
		v, viewChanged := c.options.Keeper.View()
		c.mu.Lock()
		reply := SyncReply{Source: c.options.Incarnation, Generation: c.roster.generation}
		changed := c.changed
		if q.Source != reply.Source {
			reply.Members = c.roster.since(0)
		} else if q.Generation < reply.Generation {
			reply.Members = c.roster.since(q.Generation)
		}
		c.mu.Unlock()
		if v.Config.Number > q.Config {
			reply.Config = &v.Config
		}
		if over || len(reply.Members) > 0 || reply.Config != nil {
			reply.Newest = newest
			reply.Leader, reply.Term = v.Leader, v.Term
			reply.Peers = c.peers(ctx)
			reply.Wall = time.Now()
			return &reply, nil
		}
		select {
		case ok := <-confirmed:
			if ok {
				// What a majority confirmed is applied by now.
				v, _ = c.options.Keeper.View()
				newest = v.Config.Number
			}
		case <-changed:
		case <-viewChanged:
		case <-hold.C:
			over = true
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// peers lists the keepers that are alive.
func (c *Control) peers(ctx context.Context) []Peer {
	now := c.options.Clock()
	c.mu.Lock()
	held, fresh := c.keepers, c.keepers != nil && now-c.listed < peersAge
	c.mu.Unlock()
	if fresh {
		return held
	}
	var keepers []Peer
	for _, n := range c.options.Gossip.Nodes(ctx) {
		if n.KeeperID != "" {
			keepers = append(keepers, Peer{Address: n.Address, Zone: n.Zone})
		}
	}
	c.mu.Lock()
	c.keepers, c.listed = keepers, now
	c.mu.Unlock()
	return keepers
}
