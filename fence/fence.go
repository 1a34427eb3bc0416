// Package fence lets one planner at a time send commands to upstreams. The
// right is a lease with an epoch, the fencing token, that grows with each
// holder. Commands carry the epoch, and a new holder waits until no command of
// the previous holder can take effect any more, since some upstreams don't
// check the epoch.
//
// TermLease is for commands to receivers that do check the token, and whose token is
// the term of an elected leader.
//
// The package is a pure state machine: time is passed in.
package fence

import (
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Limits of a lease.
const (
	// CommandDeadline bounds the time from the sending of a command to its
	// effect.
	CommandDeadline = 2 * time.Second
	// Drift is the largest relative difference in speed between two clocks.
	Drift = 0.01
	// MaxLease bounds the duration of a lease.
	MaxLease = time.Minute
)

// AcquireRequest asks for the lease or renews it.
type AcquireRequest struct {
	Holder string        `json:"h"`
	Lease  time.Duration `json:"l"`
	// RenewEpoch is the epoch to renew; 0 in a request for a new one.
	RenewEpoch uint64 `json:"r,omitempty"`
	// ExpiredEpoch is the epoch that the sender takes over: it saw no renewal
	// for a whole lease and CommandDeadline.
	ExpiredEpoch uint64 `json:"g,omitempty"`
	// SeenRenewal is the last renewal of ExpiredEpoch that the sender saw.
	SeenRenewal uint64 `json:"s,omitempty"`
}

// Check validates a decoded request.
func (a *AcquireRequest) Check() error {
	if a.Holder == "" || a.Lease <= 0 || a.Lease > MaxLease {
		return errors.Errorf("invalid request for a lease of %v by holder %q", a.Lease, a.Holder)
	}
	return nil
}

// Grant is the reply to a request, and describes the current holder.
type Grant struct {
	Granted bool   `json:"g"`
	Epoch   uint64 `json:"e"`
	// Renewal counts the renewals of the epoch.
	Renewal uint64        `json:"n"`
	Holder  string        `json:"h"`
	Lease   time.Duration `json:"l"`
}

// LeaseRegister is the replicated state: the current holder. It has no clock;
// planners that want to take over measure the expiry with their own (see
// ExpiryWatch).
type LeaseRegister struct {
	current Grant
}

// Apply executes a request.
func (r *LeaseRegister) Apply(req AcquireRequest) Grant {
	switch {
	case req.RenewEpoch != 0 && req.RenewEpoch == r.current.Epoch && req.Holder == r.current.Holder:
		r.current.Renewal++
	case r.current.Epoch == 0 || (req.ExpiredEpoch == r.current.Epoch && req.SeenRenewal == r.current.Renewal):
		r.current = Grant{Epoch: r.current.Epoch + 1, Holder: req.Holder, Lease: req.Lease}
	default:
		return r.current
	}
	granted := r.current
	granted.Granted = true
	return granted
}

// Current returns the current holder.
func (r *LeaseRegister) Current() Grant { return r.current }

// Restore replaces the state by that of a snapshot.
func (r *LeaseRegister) Restore(current Grant) { r.current = current }

// LocalLease is a planner's own view of its lease.
type LocalLease struct {
	epoch   uint64
	expires clock.Instant
}

// RecordGrant records the grant for a request that was sent at the given
// instant. The lease starts at the request and is shortened by Drift.
func (l *LocalLease) RecordGrant(requested clock.Instant, g Grant) {
	if !g.Granted {
		return
	}
	l.epoch = g.Epoch
	l.expires = requested + time.Duration(float64(g.Lease)*(1-Drift))
}

// MaySend returns the epoch for a command sent now. It reports false unless
// the lease lasts for the whole CommandDeadline.
func (l *LocalLease) MaySend(now clock.Instant) (epoch uint64, ok bool) {
	return l.epoch, l.epoch != 0 && now+CommandDeadline <= l.expires
}

// ExpiryWatch follows the renewals of another holder to detect that its lease
// has expired.
type ExpiryWatch struct {
	lastSeen       Grant
	unchangedSince clock.Instant
	started        bool
}

// Observe records the current holder. It returns the request to take over if
// there is no holder, or the holder has not renewed for a whole lease and the
// deadline of its last command.
func (w *ExpiryWatch) Observe(now clock.Instant, current Grant, holder string, lease time.Duration) (AcquireRequest, bool) {
	if !w.started || current.Epoch != w.lastSeen.Epoch || current.Renewal != w.lastSeen.Renewal {
		w.lastSeen, w.unchangedSince, w.started = current, now, true
	}
	wait := time.Duration(float64(current.Lease+CommandDeadline) * (1 + Drift))
	if current.Epoch != 0 && now-w.unchangedSince < wait {
		return AcquireRequest{}, false
	}
	return AcquireRequest{Holder: holder, Lease: lease, ExpiredEpoch: current.Epoch, SeenRenewal: current.Renewal}, true
}
