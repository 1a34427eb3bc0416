package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/retry"
)

// meters count what happens to requests.
type meters struct {
	registry metrics.Registry
	dials    metrics.Counter
	requests metrics.Counter
	answered metrics.Counter
	first    metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r,
		dials:    metrics.GetOrRegisterCounter("ingress.dials", r),
		requests: metrics.GetOrRegisterCounter("ingress.requests", r),
		answered: metrics.GetOrRegisterCounter("ingress.answered", r),
		first:    metrics.GetOrRegisterTimer("ingress.firstByte", r),
	}
}

// gauges registers what is read when somebody asks.
func (in *Ingress) gauges(r metrics.Registry) {
	register := func(name string, f func() int64) {
		_ = r.Register(name, metrics.NewFunctionalGauge(f))
	}
	register("ingress.configurationAgeMs", func() int64 { return in.link.Age().Milliseconds() })
	register("ingress.revision", func() int64 {
		if t := in.link.Table(); t != nil {
			return int64(t.Revision.Number)
		}
		return 0
	})
	register("ingress.ready", func() int64 {
		if in.ready() {
			return 1
		}
		return 0
	})
	register("ingress.open", func() int64 {
		open := 0
		in.desk.do(func(_ clock.Instant, f *fleet.Fleet) []fleet.Action {
			open = f.Open()
			return nil
		})
		return int64(open)
	})
}

// failed counts how attempts ended.
func (m *meters) failed(how retry.Failure) {
	metrics.GetOrRegisterCounter("ingress.attemptFailed."+how.String(), m.registry).Inc(1)
}

func (m *meters) refused(code string) {
	metrics.GetOrRegisterCounter("ingress.refused."+code, m.registry).Inc(1)
}

func (m *meters) began(after time.Duration) { m.first.Update(after) }
