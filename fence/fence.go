// Package fence gives the authority to send orders to one planner at a time.
// Authority is a lease with an epoch that grows with each holder; orders carry
// the epoch, and a new holder waits until no order of the old one can take
// effect any more. It is pure: time is passed in.
package fence

import (
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Limits of a lease.
const (
	// OrderDeadline bounds the time from the sending of an order to its
	// effect.
	OrderDeadline = 2 * time.Second
	// Drift is how much faster one clock may run than another, as a part.
	Drift = 0.01
	// MaxLease bounds a lease.
	MaxLease = time.Minute
)

// Acquire asks for the authority, or renews it.
type Acquire struct {
	Holder string        `json:"h"`
	Lease  time.Duration `json:"l"`
	// Renew is the epoch that the holder has; 0 for a new one.
	Renew uint64 `json:"r,omitempty"`
	// Gone says that the asker has watched the epoch Renewed for the time of
	// a whole lease and the order deadline without a renewal.
	Gone uint64 `json:"g,omitempty"`
	// Seen is the renewal that was watched.
	Seen uint64 `json:"s,omitempty"`
}

// Check verifies a decoded request.
func (a *Acquire) Check() error {
	if a.Holder == "" || a.Lease <= 0 || a.Lease > MaxLease {
		return errors.Errorf("lease of %v for %q", a.Lease, a.Holder)
	}
	return nil
}

// Grant is the answer.
type Grant struct {
	Granted bool   `json:"g"`
	Epoch   uint64 `json:"e"`
	// Renewal counts the renewals of the epoch.
	Renewal uint64        `json:"n"`
	Holder  string        `json:"h"`
	Lease   time.Duration `json:"l"`
}

// Register is the replicated state: who holds the authority. It has no clock;
// those who want to take over watch it with theirs.
type Register struct {
	held Grant
}

// Apply carries out a request.
func (r *Register) Apply(a Acquire) Grant {
	switch {
	case a.Renew != 0 && a.Renew == r.held.Epoch && a.Holder == r.held.Holder:
		r.held.Renewal++
	case r.held.Epoch == 0 || (a.Gone == r.held.Epoch && a.Seen == r.held.Renewal):
		r.held = Grant{Epoch: r.held.Epoch + 1, Holder: a.Holder, Lease: a.Lease}
	default:
		return r.held
	}
	granted := r.held
	granted.Granted = true
	return granted
}

// Held returns who holds the authority.
func (r *Register) Held() Grant { return r.held }

// Restore replaces the state by that of a snapshot.
func (r *Register) Restore(held Grant) { r.held = held }

// Authority is a planner's own view of its lease.
type Authority struct {
	epoch uint64
	until clock.Instant
}

// Granted takes in a grant that was asked for at the given instant. The lease
// counts from the asking, and is shortened by the drift of clocks.
func (a *Authority) Granted(asked clock.Instant, g Grant) {
	if !g.Granted {
		return
	}
	a.epoch = g.Epoch
	a.until = asked + time.Duration(float64(g.Lease)*(1-Drift))
}

// MaySend returns the epoch for an order that is sent now, if the lease lasts
// for the whole deadline of the order.
func (a *Authority) MaySend(now clock.Instant) (epoch uint64, ok bool) {
	return a.epoch, a.epoch != 0 && now+OrderDeadline <= a.until
}

// Watch follows another holder's renewals to find out when it is gone.
type Watch struct {
	seen  Grant
	since clock.Instant
	began bool
}

// Observe takes in who holds the authority, and returns the request that takes
// it over if the holder has not renewed for a whole lease and the deadline of
// its last order.
func (w *Watch) Observe(now clock.Instant, held Grant, holder string, lease time.Duration) (Acquire, bool) {
	if !w.began || held.Epoch != w.seen.Epoch || held.Renewal != w.seen.Renewal {
		w.seen, w.since, w.began = held, now, true
	}
	wait := time.Duration(float64(held.Lease+OrderDeadline) * (1 + Drift))
	if held.Epoch != 0 && now-w.since < wait {
		return Acquire{}, false
	}
	return Acquire{Holder: holder, Lease: lease, Gone: held.Epoch, Seen: held.Renewal}, true
}
