package control

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/departure"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/wal"
)

// Times of the control server.
const (
	// announcementLease is how long an upstream stays registered without a
	// new announcement. It is longer than a network partition between the
	// upstream and all keepers, since entries may still reach the upstream.
	announcementLease = 40 * time.Second
	// broadcastTimeout bounds the wait for the other nodes before a leaving
	// upstream gets its answer, once a majority has recorded that it leaves.
	broadcastTimeout = 250 * time.Millisecond
	// departureTimeout bounds the wait for that majority. The upstream waits for one second at
	// most.
	departureTimeout = 800 * time.Millisecond
	// putTimeout bounds the wait for a majority to store a value. Operators
	// try another node after a second, or later for large documents.
	putTimeout = 3 * time.Second
	// confirmTimeout bounds the wait for a majority to confirm a read.
	confirmTimeout = 900 * time.Millisecond
	// sweepInterval is the time between two checks for silent upstreams.
	sweepInterval = 500 * time.Millisecond
	// peerCacheTime is how long a list of live keepers is reused. It is below
	// the time after which a silent keeper counts as gone.
	peerCacheTime = 250 * time.Millisecond
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
	// Folder is the keeper's data folder.
	Folder wal.FS
	// Rollouts bounds what a new release may get; without bounds there are no rollouts.
	Rollouts rollout.Limits
	Metrics  metrics.Registry
}

// Control serves operators, upstreams and entries on a keeper's instance.
type Control struct {
	options Options

	// newestConfig returns the number of the newest configuration that the keeper has.
	newestConfig func() uint64

	mu       sync.Mutex
	registry *registry
	// startedAt is when this keeper started.
	startedAt clock.Instant
	// leaderState belongs to the newest term in which this keeper led; nil
	// before the first.
	leaderState *leaderState
	usageCounts *usageCounts
	// oddReports bounds the log lines on parts of reports that can't be used.
	oddReports  *rate.Limiter
	entryClocks *entryClocks
	// origins are the streams that entries have begun.
	origins   *origin.Book
	originLog *spoolWriter
	// departures are those that the registry has heard of.
	departures *departureLog
	// changed is closed and replaced when the registry has changed.
	changed chan struct{}
	// wakePending says that changed will be closed after wakeDelay.
	wakePending bool
	// held is the number of sync requests that wait for an answer.
	held int
	// cachedPeers are the keepers that were alive at peersCachedAt; 0 means that
	// none were listed yet.
	cachedPeers   []Peer
	peersCachedAt clock.Instant
	// rollouts is nil if the deployment has none.
	rollouts *rollouts
	// rolloutsSentAt is when entries that hold no view of the rollouts were last sent one.
	rolloutsSentAt map[string]clock.Instant
}

// New registers the handlers and starts the background work, which ends with
// ctx.
func New(ctx context.Context, o Options) *Control {
	c := &Control{options: o, startedAt: o.Clock(), registry: newRegistry(), usageCounts: newUsageCounts(), oddReports: rate.NewLimiter(rate.Every(oddReportInterval), 1), entryClocks: newEntryClocks(), origins: origin.New(), changed: make(chan struct{}), rolloutsSentAt: map[string]clock.Instant{}}
	c.newestConfig = func() uint64 {
		v, _ := o.Keeper.View()
		return v.Config.Number
	}
	c.originLog = newOriginLog(ctx, o.Folder, o.Clock, c.origins)
	departures, stored := newDepartureLog(ctx, o.Folder, o.Clock)
	c.departures = departures
	o.Gossip.Subscribe(c.applyGossip)
	o.Gossip.Publish(stored...)
	o.Server.On(peer.Sync, c.serveSync)
	o.Server.On(peer.Account, c.serveAccount)
	o.Server.On(peer.Reserve, c.serveReserve)
	o.Server.On(peer.Origins, c.serveOrigins)
	o.Server.Handle(platform.HeartbeatPattern, http.HandlerFunc(c.serveHeartbeat))
	o.Server.Handle(platform.DeregisterPattern, http.HandlerFunc(c.serveDeregister))
	o.Server.Handle(platform.PutConfigPattern, http.HandlerFunc(c.servePutConfig))
	o.Server.Handle(platform.GetConfigPattern, http.HandlerFunc(c.serveGetConfig))
	if o.Rollouts.Enabled() {
		c.rollouts = newRollouts(ctx, c)
	}
	if o.Cloud.Address.IsValid() {
		cloud := platform.NewCloud(o.Cloud.Address)
		if slices.Contains(o.Cloud.Duties, platform.DutyUsage) {
			go newUsageDuty(c, cloud).run(ctx)
		}
		if slices.Contains(o.Cloud.Duties, platform.DutyScale) {
			go newScaleDuty(c, cloud).run(ctx)
		}
	}
	go func() {
		t := time.NewTicker(sweepInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				c.updateRegistry(func(now clock.Instant) bool { return c.registry.sweep(now) })
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// updateRegistry runs f with the lock held. If f reports a change, the held
// sync requests are answered after wakeDelay.
func (c *Control) updateRegistry(f func(now clock.Instant) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f(c.options.Clock()) && !c.wakePending {
		c.wakePending = true
		time.AfterFunc(wakeDelay(c.held), c.wakeEntries)
	}
}

func (c *Control) wakeEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakePending = false
	close(c.changed)
	c.changed = make(chan struct{})
}

// applyGossip merges changed and ended upstream records into the registry.
func (c *Control) applyGossip(change gossip.Change) {
	c.updateRegistry(func(now clock.Instant) bool {
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
			if c.registry.apply(now, a) {
				changed = true
				if a.Leaving {
					c.departures.add(&r)
				}
				klog.InfoS("upstream changed", "upstream", a.ID, "service", a.Services, "address", a.Address,
					"zone", a.Zone, "release", a.Release, "incarnation", a.Incarnation, "number", a.Sequence, "leaving", a.Leaving, "notice", a.Notice)
			}
		}
		for _, r := range change.Ended {
			if r.Kind == member.Upstream && c.registry.markEnded(now, r.ID, r.Incarnation) {
				changed = true
				klog.InfoS("upstream's lease ran out", "upstream", r.ID, "incarnation", r.Incarnation)
			}
		}
		return changed
	})
}

func (c *Control) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		writeError(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	a, err := platform.DecodeHeartbeat(r.PathValue("id"), body, announcementLease)
	if err != nil {
		klog.InfoS("announcement refused", "upstream", r.PathValue("id"), "err", err)
		writeError(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	if c.movesAway(&a) {
		klog.InfoS("announcement refused: its upstream serves another service, and no configuration has this one", "upstream", a.ID, "service", a.Services)
		writeError(w, result.New(result.AnnouncementInvalid, result.RanNo, "unknown service %q", a.Services))
		return
	}
	if a.Leaving {
		if err := c.recordDeparture(r.Context(), &departure.Notice{ID: a.ID, Incarnation: a.Incarnation, State: &a}); err != nil {
			writeError(w, result.From(err))
			return
		}
	} else {
		c.options.Gossip.Publish(a.Record())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.HeartbeatResponse)
}

// movesAway reports whether the announcement moves a known upstream from a service of the
// configuration to one that isn't there: it comes from another writer.
func (c *Control) movesAway(a *upstream.Announcement) bool {
	c.mu.Lock()
	known, ok := c.registry.upstreams[a.ID]
	moves := ok && !known.Ended && !slices.Equal(known.Services, a.Services)
	var services []string
	if moves {
		services = known.Services
	}
	c.mu.Unlock()
	if !moves {
		return false
	}
	v, _ := c.options.Keeper.View()
	revision, err := decodePut(v.Config)
	has := func(service string) bool { return hasService(revision, service) }
	return err == nil && revision != nil && slices.ContainsFunc(services, has) && !slices.ContainsFunc(a.Services, has)
}

func (c *Control) serveDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatBytes))
	if err != nil {
		writeError(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	notice, err := platform.DecodeDeregistration(id, body, announcementLease)
	if err != nil {
		writeError(w, result.New(result.AnnouncementInvalid, result.RanNo, "%v", err))
		return
	}
	if err := c.recordDeparture(r.Context(), &notice); err != nil {
		writeError(w, result.From(err))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// recordDeparture records that a start of an upstream accepts no new work. It returns an error
// unless a majority of the keepers has the record, so that it outlives this one.
func (c *Control) recordDeparture(ctx context.Context, n *departure.Notice) error {
	c.mu.Lock()
	known := c.registry.get(n.ID)
	c.mu.Unlock()
	a, ok := n.Record(known, c.wallTime(c.options.Clock()))
	if !ok {
		// Another keeper may know the upstream, or this one will once
		// gossip has brought the record.
		klog.InfoS("departure not recorded", "upstream", n.ID, "named", n.Incarnation)
		return result.New(result.NoUpstream, result.RanNo, "upstream %q isn't known here", n.ID).WithRetry(time.Second)
	}
	a.Lease = announcementLease
	began := c.options.Clock()
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	v, _ := c.options.Keeper.View()
	holders := c.options.Gossip.BroadcastUntil(ctx, a.Record(), broadcastTimeout, v.HasQuorum)
	recorded := v.HasQuorum(holders)
	if again := known != nil && known.Leaving; !again || !recorded {
		klog.InfoS("departure", "upstream", n.ID, "incarnation", a.Incarnation, "named", n.Incarnation, "leaving", a.Leaving,
			"recorded", recorded, "holders", len(holders), "voters", len(v.Members.Voters), "took", c.options.Clock()-began)
	}
	if !recorded {
		metrics.GetOrRegisterCounter("control.departuresUnrecorded", c.options.Metrics).Inc(1)
		return result.New(result.NoQuorum, result.RanNo, "no majority of keepers recorded that upstream %q leaves", n.ID).WithRetry(time.Second)
	}
	metrics.GetOrRegisterCounter("control.departures", c.options.Metrics).Inc(1)
	return nil
}

func (c *Control) servePutConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxDocumentBytes))
	if err != nil {
		writeError(w, result.New(result.ConfigInvalid, result.RanNo, "%v", err))
		return
	}
	revision, err := platform.DecodeConfig(body)
	if err != nil {
		klog.InfoS("configuration refused", "bytes", len(body), "err", err)
		writeError(w, result.From(err))
		return
	}
	if n := len(revision.Organisations); n > maxItems && c.isNewer(revision) {
		klog.InfoS("configuration refused", "bytes", len(body), "organisations", n)
		writeError(w, result.New(result.ConfigInvalid, result.RanNo, "configuration with %d organisations, want at most %d", n, maxItems))
		return
	}
	packed, err := pack.Deflate(body)
	if err != nil {
		writeError(w, result.From(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
	defer cancel()
	outcome, err := c.options.Client.Put(ctx, config.Put{Number: revision.Number, Digest: config.DigestOf(body), Packed: packed})
	klog.InfoS("configuration put", "revision", revision.Number, "routes", len(revision.Routes), "outcome", int(outcome), "err", err)
	switch {
	case err != nil:
		writeError(w, result.From(err))
	case outcome == config.Conflict:
		writeError(w, result.New(result.ConfigConflict, result.RanNo, "revision %d was accepted with different content", revision.Number))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// isNewer reports whether the revision would replace the one that this keeper knows.
func (c *Control) isNewer(r *config.Revision) bool {
	v, _ := c.options.Keeper.View()
	return r.Number > v.Config.Number
}

func (c *Control) serveGetConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	if !c.options.Keeper.Confirm(ctx) {
		writeError(w, result.New(result.NoQuorum, result.RanNo, "no majority of keepers confirmed the newest configuration").WithRetry(time.Second))
		return
	}
	v, _ := c.options.Keeper.View()
	if v.Config.Number == 0 {
		writeError(w, result.New(result.NotReady, result.RanNo, "there is no configuration yet").WithRetry(time.Second))
		return
	}
	body, err := pack.Inflate(v.Config.Packed, config.MaxDocumentBytes)
	if err != nil {
		klog.ErrorS(err, "stored configuration can't be read", "revision", v.Config.Number)
		writeError(w, result.From(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, e *result.Error) { problem.Write(w, e) }

// serveSync answers an entry as soon as the registry or the configuration is
// newer than what the entry holds, and otherwise after a while. A probe is answered when
// the question to the majority is settled.
func (c *Control) serveSync(ctx context.Context, body []byte) (any, error) {
	var request SyncRequest
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	confirmed := make(chan bool, 1)
	go func() { confirmed <- c.options.Keeper.Confirm(ctx) }()
	c.mu.Lock()
	c.held++
	hold := time.NewTimer(holdTime(c.held))
	c.mu.Unlock()
	defer func() {
		hold.Stop()
		c.mu.Lock()
		c.held--
		c.mu.Unlock()
	}()
	confirmedConfig, quorum, expired := uint64(0), QuorumUnasked, false
	for {
		v, viewChanged := c.options.Keeper.View()
		c.mu.Lock()
		reply := SyncReply{Source: c.options.Incarnation, Generation: c.registry.generation}
		changed := c.changed
		switch {
		case request.Probe:
		case request.Source != reply.Source:
			reply.Members = c.registry.changedSince(0)
		case request.Generation < reply.Generation:
			reply.Members = c.registry.changedSince(request.Generation)
		}
		c.mu.Unlock()
		if v.Config.Number > request.Config {
			reply.Config = &v.Config
		}
		if v.Rollouts != nil && v.Rollouts.Version > request.Rollouts {
			reply.Rollouts = v.Rollouts
		}
		settled := request.Probe && quorum != QuorumUnasked
		if expired || settled || !request.Probe && (len(reply.Members) > 0 || reply.Config != nil || reply.Rollouts != nil && c.sendsRollouts(&request)) {
			reply.ConfirmedConfig, reply.Quorum = confirmedConfig, quorum
			reply.Leader, reply.Term = v.Leader, v.Term
			reply.Peers = c.livePeers(ctx)
			reply.Wall = time.Now()
			return &reply, nil
		}
		select {
		case ok := <-confirmed:
			quorum = QuorumMissed
			if ok {
				// The confirmed configuration is applied by now.
				v, _ = c.options.Keeper.View()
				confirmedConfig, quorum = v.Config.Number, QuorumConfirmed
			}
		case <-changed:
		case <-viewChanged:
		case <-hold.C:
			expired = true
			if quorum == QuorumUnasked {
				quorum = QuorumMissed
			}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// sendsRollouts reports whether an entry is sent a view of the rollouts at once. One that
// holds none may not know of them, and would ask again at once for ever; it is
// answered at once only if it was sent none for as long as a request is held.
func (c *Control) sendsRollouts(request *SyncRequest) bool {
	if request.Rollouts > 0 {
		return true
	}
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.rolloutsSentAt[request.Entry]; ok && now-at < maxHoldTime {
		return false
	}
	maps.DeleteFunc(c.rolloutsSentAt, func(_ string, at clock.Instant) bool { return now-at >= maxHoldTime })
	c.rolloutsSentAt[request.Entry] = now
	return true
}

// livePeers returns the keepers that were alive at most peerCacheTime ago.
func (c *Control) livePeers(ctx context.Context) []Peer {
	now := c.options.Clock()
	c.mu.Lock()
	cached, fresh := c.cachedPeers, c.peersCachedAt != 0 && now-c.peersCachedAt < peerCacheTime
	c.mu.Unlock()
	if fresh {
		return cached
	}
	var peers []Peer
	for _, node := range c.options.Gossip.Nodes(ctx) {
		if node.KeeperID != "" {
			peers = append(peers, Peer{Address: node.Address, Zone: node.Zone})
		}
	}
	c.mu.Lock()
	c.cachedPeers, c.peersCachedAt = peers, now
	c.mu.Unlock()
	return peers
}
