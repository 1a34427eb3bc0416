package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// dispatcher owns the fleet: it serialises the calls to it and delivers each
// action to the request that the action concerns.
type dispatcher struct {
	clock clock.Clock

	mu      sync.Mutex
	fleet   *fleet.Fleet
	lastID  uint64
	waiters map[uint64]chan fleet.Action
}

// tickInterval is the time between two checks of the waiting requests.
const tickInterval = 20 * time.Millisecond

func newDispatcher(ctx context.Context, c clock.Clock, f *fleet.Fleet) *dispatcher {
	d := &dispatcher{clock: c, fleet: f, waiters: map[uint64]chan fleet.Action{}}
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

// withdraw removes a ticket; one that is still open ends as withdrawn.
func (d *dispatcher) withdraw(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, id)
	for _, a := range d.fleet.Withdraw(d.clock(), id) {
		d.deliver(a)
	}
}
