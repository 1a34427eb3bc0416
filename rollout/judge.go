package rollout

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// ServiceState is what the leader knows of a service.
type ServiceState struct {
	// Upstreams is the number of serving upstreams by release, and Running the number of
	// requests under way there, as all entries report them.
	Upstreams, Running map[string]int
	// Applied is the number of entries that have the newest view in force, of Entries.
	Applied, Entries int
	// Removed says that no configuration names the service any more.
	Removed bool
}

// Judge decides at the leader on the steps of all rollouts. It isn't safe for concurrent use.
type Judge struct {
	limits Limits
}

// NewJudge returns a judge without evidence.
func NewJudge(l Limits) *Judge { return &Judge{limits: l} }

// Observe adds an entry's report, which may be late or repeated.
func (j *Judge) Observe(_ clock.Instant, _ string, _ uint64, _ Report) {}

// Decide returns the commands that are due. elapsed is the time since an order.
func (j *Judge) Decide(_ clock.Instant, _ View, _ map[string]ServiceState, _ func(Rollout) time.Duration) []Command {
	return nil
}
