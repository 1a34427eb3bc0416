package control

import (
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// rolloutClock measures the time since the orders of rollouts, and since their ends. Time is
// passed in.
type rolloutClock struct {
	mu     sync.Mutex
	orders map[string]*orderTimes
}

// orderTimes are the times of a service's last order.
type orderTimes struct {
	number uint64
	// began is the instant of the order, and ended that at which this keeper saw its end.
	began, ended clock.Instant
	over         bool
}

func newRolloutClock() *rolloutClock { return &rolloutClock{orders: map[string]*orderTimes{}} }

// observe notes the orders and commands of a view. An order that is found may be older than
// this keeper's sight of it: its time is measured by the wall clock, once, and no further than
// the wall clock can be right: not below the time of the last command, and not above
// twice the time of the whole rollout. Later steps of the wall clock have no effect.
func (c *rolloutClock) observe(now clock.Instant, wall time.Time, found bool, v *rollout.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range v.Rollouts {
		r := &v.Rollouts[i]
		o, ok := c.orders[r.Service]
		if !ok || o.number != r.Number {
			elapsed := r.Elapsed
			if found {
				elapsed = min(wall.Sub(r.At), 2*r.Within)
			}
			o = &orderTimes{number: r.Number, began: now - elapsed}
			c.orders[r.Service] = o
		}
		// The time of a command is a lower bound, also for a keeper that got the order late.
		o.began = min(o.began, now-r.Elapsed)
		if r.Phase != rollout.Running && !o.over {
			o.over, o.ended = true, now
		}
	}
}

// elapsed returns the time since an order, at its end if it is over.
func (c *rolloutClock) elapsed(now clock.Instant, r rollout.Rollout) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.orders[r.Service]
	if !ok || o.number != r.Number || r.Phase != rollout.Running {
		return r.Elapsed
	}
	return max(now-o.began, r.Elapsed)
}

// sinceEnd returns the time since this keeper saw the end of a rollout; 0 before.
func (c *rolloutClock) sinceEnd(now clock.Instant, r rollout.Rollout) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.orders[r.Service]
	if !ok || o.number != r.Number || !o.over {
		return 0
	}
	return now - o.ended
}
