package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// meters count what happens to requests.
type meters struct {
	registry metrics.Registry
	dials    metrics.Counter
	requests metrics.Counter
	answered metrics.Counter
	moved    metrics.Counter
	first    metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r,
		dials:    metrics.GetOrRegisterCounter("ingress.dials", r),
		requests: metrics.GetOrRegisterCounter("ingress.requests", r),
		answered: metrics.GetOrRegisterCounter("ingress.answered", r),
		moved:    metrics.GetOrRegisterCounter("ingress.moved", r),
		first:    metrics.GetOrRegisterTimer("ingress.firstByte", r),
	}
}

func (m *meters) refused(code string) {
	metrics.GetOrRegisterCounter("ingress.refused."+code, m.registry).Inc(1)
}

func (m *meters) began(after time.Duration) { m.first.Update(after) }
