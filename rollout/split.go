package rollout

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Report is what an entry has seen of the releases of running rollouts since it started.
type Report struct{}

// Check verifies a decoded report.
func (r *Report) Check() error { return nil }

// Assignment is the release that a request was given when it came.
type Assignment struct {
	// Number is that of the rollout, 0 if none ran.
	Number uint64
	// New says that the request is one of the share of the new release.
	New bool
}

// Split decides at an entry which release a request may go to. It isn't safe for concurrent
// use.
type Split struct {
	limits Limits
	random func() float64
	view   View
}

// NewSplit returns a split without rollouts. random returns numbers that are uniform in [0, 1).
func NewSplit(l Limits, random func() float64) *Split { return &Split{limits: l, random: random} }

// SetView applies the keepers' view, unless a newer one is in force.
func (s *Split) SetView(_ clock.Instant, v View) {
	if v.Version > s.view.Version {
		s.view = v
	}
}

// Version is that of the view in force.
func (s *Split) Version() uint64 { return s.view.Version }

// Confirmed records that a majority of the keepers had no newer view at the instant.
func (s *Split) Confirmed(_ clock.Instant) {}

// Active reports whether the split has any say on the service's requests now.
func (s *Split) Active(_ clock.Instant, _ string) bool { return false }

// Appeared records that an upstream of the release serves the service.
func (s *Split) Appeared(_ clock.Instant, _, _ string) {}

// Assign assigns a new request of the service; it is called once for each.
func (s *Split) Assign(_ clock.Instant, _ string) Assignment { return Assignment{} }

// Allows reports whether the request may be sent to an upstream of the release now. bound says
// that the release has begun its stream, and attempt counts the upstreams that it was sent to
// before.
func (s *Split) Allows(_ clock.Instant, _ string, _ Assignment, _ string, _ bool, _ int) bool {
	return true
}

// Prefers reports whether the release goes before the others that are allowed.
func (s *Split) Prefers(_ string, _ Assignment, _ string) bool { return true }

// Sent records an attempt at an upstream.
func (s *Split) Sent(_ clock.Instant, _, _, _, _ string) {}

// Answered records the end of an attempt. took is the time to the first event of a stream, or
// to the whole of another answer; good is false for failures of the upstream.
func (s *Split) Answered(_ clock.Instant, _, _, _, _ string, _ bool, _ time.Duration) {}

// Report returns the counts of all attempts, so that lost and repeated reports cost nothing. It
// is nil without a running rollout.
func (s *Split) Report(_ clock.Instant) *Report { return nil }
