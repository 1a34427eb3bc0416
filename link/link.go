// Package link keeps an entry up to date with the keepers: the configuration
// in force and how fresh it is, the directory of upstreams, quotas, and true
// time.
package link

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Times of the link.
const (
	// syncTimeout bounds one question: the keeper holds it for a third of a
	// second if there is no news.
	syncTimeout = time.Second
	// retryPause follows a failed question, so that a keeper that refuses
	// connections isn't asked in a busy loop.
	retryPause = 100 * time.Millisecond
	// accountInterval is the time between two reports to the leader.
	accountInterval = 300 * time.Millisecond
	accountTimeout  = 700 * time.Millisecond
	// tellInterval is the time between two reports of usage to the other
	// keepers: what an entry that is killed loses. tellMost bounds their
	// number, for the bytes: more than two of a deployment's voters and a
	// zone may be lost at once.
	tellInterval = 900 * time.Millisecond
	tellMost     = 8
	// firstInterval is that until the first answer.
	firstInterval = 50 * time.Millisecond
	// reserveTimeout bounds a request's wait for the leader's pool.
	reserveTimeout = 400 * time.Millisecond
	reservePause   = 40 * time.Millisecond
	// lines is the number of keepers that are asked side by side, so that one
	// which is frozen costs nothing.
	lines = 2
)

// Options are what a Link needs.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Seeds       []netip.AddrPort
	Client      *peer.Client
	Clock       clock.Clock
	// Members is called with what changed in a keeper's directory.
	Members func([]upstream.Member)
	// Table is called with each configuration that comes into force.
	Table func(*config.Table)
	// Report builds a report to the leader, and Granted takes in its answer
	// to what was asked at the instant.
	Report  func(now clock.Instant) control.AccountRequest
	Granted func(asked clock.Instant, reply control.AccountReply)
	// Usage builds a report of the usage alone.
	Usage func() control.AccountRequest
}

// Link is an entry's connection to the keepers.
type Link struct {
	options Options
	table   atomic.Pointer[config.Table]
	// confirmed is the latest instant at which the configuration is known to
	// have been the newest, in nanoseconds; 0 if it never was.
	confirmed atomic.Int64
	synced    atomic.Bool

	mu    sync.Mutex
	seeds []netip.AddrPort
	peers []control.Peer
	inUse [lines]netip.AddrPort
	// leader leads the keepers in the term, the newest that any of them told.
	leader netip.AddrPort
	term   uint64
	// failed is when a keeper failed to answer last.
	failed map[netip.AddrPort]clock.Instant
	// own and walls follow the time of day of this instance and of keepers.
	own   clock.Wall
	walls map[netip.AddrPort]*clock.Wall
}

// New starts the link; it ends with ctx.
func New(ctx context.Context, o Options) *Link {
	l := &Link{options: o, seeds: o.Seeds, failed: map[netip.AddrPort]clock.Instant{}, walls: map[netip.AddrPort]*clock.Wall{}}
	for _, seed := range o.Seeds {
		l.peers = append(l.peers, control.Peer{Address: seed})
	}
	for i := range lines {
		go l.follow(ctx, i)
	}
	go l.account(ctx)
	go func() {
		t := time.NewTicker(tellInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				l.Tell(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// SetSeeds changes the keepers to ask when no other is known.
func (l *Link) SetSeeds(seeds []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
	for _, seed := range seeds {
		if !slices.ContainsFunc(l.peers, func(p control.Peer) bool { return p.Address == seed }) {
			l.peers = append(l.peers, control.Peer{Address: seed})
		}
	}
}

// Table returns the configuration in force, or nil before the first.
func (l *Link) Table() *config.Table { return l.table.Load() }

// Age is how long ago the configuration was last known to be the newest.
func (l *Link) Age() time.Duration {
	at := l.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return l.options.Clock() - clock.Instant(at)
}

// Synced reports whether the link has both a configuration and a directory.
func (l *Link) Synced() bool { return l.synced.Load() && l.Table() != nil }

// Wall is true time, as the median of the time of day of this instance and of
// the keepers tells it, without their steps.
func (l *Link) Wall() time.Time {
	now := l.options.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Observe(now, time.Now())
	own, _ := l.own.Offset()
	offsets := []time.Duration{own}
	for _, w := range l.walls {
		if o, ok := w.Offset(); ok {
			offsets = append(offsets, o)
		}
	}
	return clock.Median(now, offsets)
}

// position is what the entry holds of one keeper's directory.
type position struct {
	address            netip.AddrPort
	source, generation uint64
}

// follow asks one keeper after the other for news.
func (l *Link) follow(ctx context.Context, line int) {
	var at position
	for ctx.Err() == nil {
		address, ok := l.choose(line)
		if ok {
			if address != at.address {
				at = position{address: address}
			}
			if err := l.sync(ctx, &at); err == nil {
				continue
			} else if ctx.Err() == nil {
				klog.InfoS("keeper lost", "keeper", address, "err", err)
				l.fail(address)
				at = position{}
			}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// choose picks a keeper for the line: the present one while it answers, then
// one of the own zone, then any that no other line uses.
func (l *Link) choose(line int) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type candidate struct {
		address netip.AddrPort
		price   float64
	}
	best := candidate{price: 1e9}
	now := l.options.Clock()
	for _, p := range l.peers {
		price := rand.Float64()
		for other, used := range l.inUse {
			if other != line && used == p.Address {
				price += 100
			}
		}
		if failed, ok := l.failed[p.Address]; ok {
			price += 50 / (1 + (now - failed).Seconds())
		}
		if p.Zone != l.options.Zone {
			price += 2
		}
		if l.inUse[line] == p.Address {
			price--
		}
		if price < best.price {
			best = candidate{p.Address, price}
		}
	}
	l.inUse[line] = best.address
	return best.address, best.address.IsValid()
}

func (l *Link) fail(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[address] = l.options.Clock()
	if l.leader == address {
		l.leader = netip.AddrPort{}
	}
}

func (l *Link) sync(ctx context.Context, at *position) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	asked := l.options.Clock()
	q := control.SyncRequest{Entry: l.options.Name, Config: l.number(), Source: at.source, Generation: at.generation}
	var r control.SyncReply
	if err := l.options.Client.Call(ctx, at.address, peer.Sync, &q, &r); err != nil {
		return err
	}
	if len(r.Members) > 0 {
		l.options.Members(r.Members)
	}
	at.source, at.generation = r.Source, r.Generation
	if err := l.adopt(r.Config); err != nil {
		return err
	}
	l.confirm(asked, r.ConfirmedConfig)
	l.synced.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failed, at.address)
	l.follows(r.Leader, r.Term)
	if len(r.Peers) > 0 {
		l.peers = l.known(r.Peers)
	}
	w, ok := l.walls[at.address]
	if !ok {
		w = &clock.Wall{}
		l.walls[at.address] = w
	}
	w.Observe(l.options.Clock(), r.Wall)
	return nil
}

// follows takes in who leads, unless a later leader is known: a keeper that is
// cut off from the others may still name the one before. The lock is held.
func (l *Link) follows(leader netip.AddrPort, term uint64) {
	if leader.IsValid() && term >= l.term {
		l.leader, l.term = leader, term
	}
}

// Tell reports the usage to the keepers that don't lead, and returns when all
// have answered or failed.
func (l *Link) Tell(ctx context.Context) {
	l.mu.Lock()
	var keepers []netip.AddrPort
	for _, p := range l.peers {
		if p.Address != l.leader && len(keepers) < tellMost {
			keepers = append(keepers, p.Address)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, accountTimeout)
	defer cancel()
	q := l.options.Usage()
	q.UsageOnly = true
	var wait sync.WaitGroup
	for _, address := range keepers {
		wait.Go(func() {
			var r control.AccountReply
			if err := l.options.Client.Call(ctx, address, peer.Account, &q, &r); err != nil {
				klog.V(2).InfoS("usage not told", "keeper", address, "err", err)
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.follows(r.Leader, r.Term)
		})
	}
	wait.Wait()
}

// known joins the keepers that are alive with the seeds, which are asked when
// nothing else answers.
func (l *Link) known(peers []control.Peer) []control.Peer {
	list := append([]control.Peer(nil), peers...)
	for _, seed := range l.seeds {
		listed := false
		for _, p := range peers {
			listed = listed || p.Address == seed
		}
		if !listed && len(peers) < lines {
			list = append(list, control.Peer{Address: seed})
		}
	}
	return list
}

func (l *Link) number() uint64 {
	if t := l.Table(); t != nil {
		return t.Revision.Number
	}
	return 0
}

// adopt puts a newer configuration in force.
func (l *Link) adopt(p *config.Put) error {
	if p == nil {
		return nil
	}
	body, err := pack.Inflate(p.Packed, config.MaxDocumentBytes)
	if err != nil {
		return err
	}
	r, err := platform.DecodeConfig(body)
	if err != nil {
		return errors.Wrapf(err, "revision %d", p.Number)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Number <= l.number() {
		return nil
	}
	t := config.NewTable(r)
	l.table.Store(t)
	l.options.Table(t)
	klog.InfoS("configuration in force", "revision", r.Number, "routes", len(r.Routes), "organisations", len(r.Organisations))
	return nil
}

// confirm notes that the newest number was confirmed after the instant.
func (l *Link) confirm(asked clock.Instant, newest uint64) {
	if newest == 0 || newest > l.number() {
		return
	}
	for {
		old := l.confirmed.Load()
		if int64(asked) <= old || l.confirmed.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

// Reserve asks the leader's pool for the cost of one request. While no leader
// answers it tries again for a moment: an election is shorter than that.
func (l *Link) Reserve(ctx context.Context, organisation string, cost float64) (control.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	q := &control.ReserveRequest{Organisation: organisation, Cost: cost}
	for {
		l.mu.Lock()
		leader := l.leader
		l.mu.Unlock()
		var r control.ReserveReply
		err := errors.New("no leader is known")
		if leader.IsValid() {
			err = l.options.Client.Call(ctx, leader, peer.Reserve, q, &r)
		}
		if err == nil {
			return r, nil
		}
		select {
		case <-time.After(reservePause):
		case <-ctx.Done():
			return r, err
		}
	}
}

// account reports to the leader, whoever that is.
func (l *Link) account(ctx context.Context) {
	t := time.NewTicker(firstInterval)
	defer t.Stop()
	first := true
	for {
		select {
		case <-t.C:
			if l.report(ctx) && first {
				first = false
				t.Reset(accountInterval)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Link) report(ctx context.Context) bool {
	l.mu.Lock()
	leader := l.leader
	l.mu.Unlock()
	if !leader.IsValid() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, accountTimeout)
	defer cancel()
	asked := l.options.Clock()
	q := l.options.Report(asked)
	var r control.AccountReply
	if err := l.options.Client.Call(ctx, leader, peer.Account, &q, &r); err != nil {
		klog.InfoS("leader not reached", "leader", leader, "err", err)
		return false
	}
	if r.Leading {
		l.options.Granted(asked, r)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follows(r.Leader, r.Term)
	return false
}
