// Package rollout moves the traffic of a service from its present releases to a new one, step
// by step, and back if the new one is bad. A Store is the state that the keepers replicate, a
// Judge decides at the leader on the next step from the evidence that the entries report, and
// a Split decides at an entry which release a request may go to. Nothing here does I/O.
package rollout

import (
	"time"

	"github.com/pkg/errors"
)

// MaxTime bounds the time within which a rollout has to end.
const MaxTime = time.Hour

// Order asks to move a service's traffic to a release.
type Order struct {
	Service string `json:"s"`
	// To is the release that is to serve alone.
	To string `json:"t"`
	// Within is the time from At, when the order was accepted by the wall clock, within which
	// the rollout has to end.
	Within time.Duration `json:"w"`
	At     time.Time     `json:"a"`
}

// Check verifies a decoded order.
func (o *Order) Check() error {
	if o.Service == "" || o.To == "" || o.Within <= 0 || o.Within > MaxTime {
		return errors.Errorf("order without a service or a release, or with a time of %v, want more than 0 and at most %v", o.Within, MaxTime)
	}
	return nil
}

// Phase is how far a rollout is.
type Phase int

// The phases. Succeeded means that the new release serves alone, Reverted that it serves
// nothing any more.
const (
	Running Phase = iota + 1
	Succeeded
	Reverted
)

// String names the phase for operators and logs.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Succeeded:
		return "succeeded"
	case Reverted:
		return "reverted"
	default:
		return "unknown"
	}
}

// Rollout is the state of one order.
type Rollout struct {
	// Number identifies the order; it rises over all services.
	Number uint64 `json:"n"`
	Order  `json:"o"`
	Phase  Phase `json:"p"`
	Step   int   `json:"i,omitempty"`
	// Share is the fraction of the service's requests that the new release gets.
	Share float64 `json:"h,omitempty"`
	// Elapsed is the time since the order as of the last command.
	Elapsed time.Duration `json:"e,omitempty"`
	// Superseded are the releases that a rollout which succeeded has replaced.
	Superseded []string `json:"d,omitempty"`
	// Reason says why the rollout ended.
	Reason string `json:"r,omitempty"`
}

// View is the state of all services' rollouts: the last order of each.
type View struct {
	// Version rises with each change.
	Version  uint64    `json:"v"`
	Rollouts []Rollout `json:"r,omitempty"`
	// Reverted are by service the releases that no later order has asked for again.
	Reverted map[string][]string `json:"x,omitempty"`
}

// Of returns the rollout of the service, if there was any.
func (v *View) Of(service string) (Rollout, bool) {
	for _, r := range v.Rollouts {
		if r.Service == service {
			return r, true
		}
	}
	return Rollout{}, false
}

// Limits are a deployment's bounds of what a bad release may get.
type Limits struct {
	// ExposeShare is the fraction of the service's requests between order and deadline, and
	// ExposeSlack a number of requests beyond that.
	ExposeShare, ExposeSlack float64
	// RevertWithin is the time after the 50th bad answer from which on no request goes to the
	// release.
	RevertWithin time.Duration
}

// Enabled reports whether the deployment has rollouts.
func (l Limits) Enabled() bool { return l.ExposeShare > 0 && l.RevertWithin > 0 }
