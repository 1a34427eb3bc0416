package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
)

// desk hosts the fleet's decisions: it serialises the calls and hands each
// request the actions that concern it.
type desk struct {
	clock clock.Clock

	mu      sync.Mutex
	fleet   *fleet.Fleet
	next    uint64
	waiters map[uint64]chan fleet.Action
}

// tickInterval is the time between two looks at what waits.
const tickInterval = 20 * time.Millisecond

func newDesk(ctx context.Context, c clock.Clock, f *fleet.Fleet) *desk {
	d := &desk{clock: c, fleet: f, waiters: map[uint64]chan fleet.Action{}}
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				d.do(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
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

// do runs f on the fleet and delivers its actions.
func (d *desk) do(f func(now clock.Instant, f *fleet.Fleet) []fleet.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(d.clock(), d.fleet) {
		d.deliver(a)
	}
}

func (d *desk) deliver(a fleet.Action) {
	var id uint64
	switch a := a.(type) {
	case fleet.Grant:
		id = a.Ticket
	case fleet.Refuse:
		id = a.Ticket
	}
	if w, ok := d.waiters[id]; ok {
		// One action at a time is due to a ticket, so that there is room.
		w <- a
	}
}

// submit offers a ticket and returns where its actions come.
func (d *desk) submit(t fleet.Ticket) (uint64, <-chan fleet.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	t.ID = d.next
	w := make(chan fleet.Action, 1)
	d.waiters[t.ID] = w
	for _, a := range d.fleet.Submit(d.clock(), t) {
		d.deliver(a)
	}
	return t.ID, w
}

// stalled reports whether the ticket's upstream has sent nothing to anyone.
func (d *desk) stalled(id uint64, patience time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Stalled(d.clock(), id, patience)
}

// leave forgets a ticket that is still open, as withdrawn.
func (d *desk) leave(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, id)
	for _, a := range d.fleet.Withdraw(d.clock(), id) {
		d.deliver(a)
	}
}
