package ingress

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// dispatcher owns the fleet: it serialises the calls to it and delivers each
// action to the request that the action concerns.
type dispatcher struct {
	clock clock.Clock

	mu      sync.Mutex
	fleet   *fleet.Fleet
	lastID  uint64
	waiters map[uint64]chan fleet.Action
	probes  chan fleet.Probe
}

// tickInterval is the time between two checks of the waiting requests.
const tickInterval = 20 * time.Millisecond

// Bounds of the probes of upstreams: those that run at once, and those that wait.
const (
	probeWorkers = 4
	maxProbes    = 64
)

// refusesFunc reports whether nothing listens at an address.
type refusesFunc func(ctx context.Context, address netip.AddrPort) (bool, error)

func newDispatcher(ctx context.Context, c clock.Clock, f *fleet.Fleet, refuses refusesFunc) *dispatcher {
	d := &dispatcher{clock: c, fleet: f, waiters: map[uint64]chan fleet.Action{}, probes: make(chan fleet.Probe, maxProbes)}
	for range probeWorkers {
		go func() {
			for {
				select {
				case p := <-d.probes:
					d.probe(ctx, p.Upstream, refuses)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				d.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
					if f.Open() == 0 {
						return nil
					}
					return f.Tick(now)
				})
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

// run calls f with the fleet and delivers the actions that f returns.
func (d *dispatcher) run(f func(now clock.Instant, f *fleet.Fleet) []fleet.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(d.clock(), d.fleet) {
		d.deliver(a)
	}
}

func (d *dispatcher) deliver(a fleet.Action) {
	var id uint64
	switch a := a.(type) {
	case fleet.Probe:
		select {
		case d.probes <- a:
		default:
			klog.InfoS("upstream not probed: too many probes wait", "upstream", a.Upstream.ID)
		}
		return
	case fleet.Crash:
		klog.InfoS("upstream crashed during a request", "upstream", a.Upstream.ID, "incarnation", a.Upstream.Incarnation,
			"hash", strconv.FormatUint(a.Request.Hash, 16), "crashes", a.Known, "counted", a.Counted)
		return
	case fleet.Quarantine:
		klog.InfoS("requests quarantined", "kind", a.Trait.Kind, "hash", strconv.FormatUint(a.Trait.Hash, 16), "crashes", a.Crashes)
		return
	case fleet.Reopened:
		klog.InfoS("upstream is used again", "upstream", a.Upstream.ID, "incarnation", a.Upstream.Incarnation)
		return
	case fleet.SaidLeaving, fleet.Closed:
		// Logged with the request whose answer said so.
		return
	case fleet.Grant:
		id = a.Ticket
	case fleet.Refuse:
		id = a.Ticket
	}
	if waiter, ok := d.waiters[id]; ok {
		// Never blocks: a ticket has at most one undelivered action, and the
		// channel buffers one.
		waiter <- a
	}
}

// probe dials the upstream after fleet.ProbeDelay and reports whether it refused.
func (d *dispatcher) probe(ctx context.Context, u upstream.Announcement, refuses refusesFunc) {
	select {
	case <-time.After(fleet.ProbeDelay):
	case <-ctx.Done():
		return
	}
	refused, err := refuses(ctx, u.Address)
	klog.InfoS("upstream probed as requests broke off", "upstream", u.ID, "incarnation", u.Incarnation, "address", u.Address, "refused", refused, "err", err)
	d.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		return f.Probed(now, u.ID, u.Incarnation, refused)
	})
}

// submit gives the ticket an ID, submits it to the fleet and returns the ID and
// the channel of its actions.
func (d *dispatcher) submit(t fleet.Ticket) (uint64, <-chan fleet.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	t.ID = d.lastID
	actions := make(chan fleet.Action, 1)
	d.waiters[t.ID] = actions
	for _, a := range d.fleet.Submit(d.clock(), t) {
		d.deliver(a)
	}
	return t.ID, actions
}

// stalled reports whether the ticket's upstream has sent nothing to any request
// of this entry for the timeout and another upstream may take the request.
func (d *dispatcher) stalled(id uint64, timeout time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Stalled(d.clock(), id, timeout)
}

// hedge sends the ticket's request to a second upstream too, if its own one has stalled
// for the timeout and another one takes it. It returns the grant of the second attempt
// and the channel of its further actions.
func (d *dispatcher) hedge(id uint64, timeout time.Duration) (grant fleet.Grant, actions <-chan fleet.Action, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hedgeID := d.lastID + 1
	for _, a := range d.fleet.Hedge(d.clock(), id, hedgeID, timeout) {
		if g, granted := a.(fleet.Grant); granted && g.Ticket == hedgeID {
			grant, ok = g, true
			continue
		}
		d.deliver(a)
	}
	if !ok {
		return fleet.Grant{}, nil, false
	}
	d.lastID = hedgeID
	waiter := make(chan fleet.Action, 1)
	d.waiters[hedgeID] = waiter
	return grant, waiter, true
}

// withdraw removes a ticket; one that is still open ends as withdrawn.
func (d *dispatcher) withdraw(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, id)
	for _, a := range d.fleet.Withdraw(d.clock(), id) {
		d.deliver(a)
	}
}
