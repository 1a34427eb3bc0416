package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Action is something that the caller of Fleet has to do.
type Action interface{ action() }

// Grant asks to send the ticket's request to an upstream.
type Grant struct {
	Ticket   uint64
	Upstream upstream.Announcement
	// Attempt counts the grants of the ticket, from 1.
	Attempt int
	// CachedTokens is the estimated number of prompt tokens in the upstream's
	// cache.
	CachedTokens int
	// Estimate is the expected time to the first token, with the penalties and
	// bonuses by which the upstream was chosen.
	Estimate time.Duration
	// release is nil if no order has a say on the service.
	release *ReleaseChoice
}

// Refuse asks to answer the ticket's request with an error.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
	// Cause is set if the service is saturated.
	Cause RefusalCause
}

// RefusalCause says why a request to a saturated service is refused; empty for other
// refusals.
type RefusalCause string

// The causes.
const (
	// RefusedQueueFull means that as many requests wait as may.
	RefusedQueueFull RefusalCause = "queueFull"
	// RefusedLate means that the request would miss its target.
	RefusedLate RefusalCause = "late"
	// RefusedShare means that the organisation is above its share.
	RefusedShare RefusalCause = "share"
)

// Probe asks to find out, after ProbeDelay, whether the upstream refuses
// connections, and to report that by Probed: requests broke off there.
type Probe struct {
	Upstream upstream.Announcement
}

// Crash says that an upstream crashed during a request. It needs no action.
type Crash struct {
	Upstream upstream.Announcement
	// Request is the request's trait, Known the number of its known crashes and
	// Counted how many of them count towards a quarantine.
	Request        suspect.Trait
	Known, Counted int
}

// Quarantine says that requests with the trait are refused from now on, since
// that many upstreams crashed during such requests. It needs no action.
type Quarantine struct {
	Trait   suspect.Trait
	Crashes int
}

// SaidLeaving says that the answer to a ticket said that its upstream leaves. It needs no
// action, and neither do the following ones.
type SaidLeaving struct{ Upstream upstream.Announcement }

// Closed says that the answer to a ticket asked for no requests for RetryAfter, and that
// its upstream gets none for the time For.
type Closed struct {
	Upstream        upstream.Announcement
	RetryAfter, For time.Duration
}

// Reopened says that an upstream that was closed is used as before.
type Reopened struct{ Upstream upstream.Announcement }

// ProbeDelay is the time from when a connection breaks off until a crashed
// upstream certainly refuses new ones.
const ProbeDelay = 50 * time.Millisecond

func (Grant) action()       {}
func (Refuse) action()      {}
func (Probe) action()       {}
func (Crash) action()       {}
func (Quarantine) action()  {}
func (SaidLeaving) action() {}
func (Closed) action()      {}
func (Reopened) action()    {}
