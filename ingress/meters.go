package ingress

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/retry"
)

// meters are the metrics of requests and attempts.
type meters struct {
	registry metrics.Registry
	dials    metrics.Counter
	requests metrics.Counter
	answered metrics.Counter
	limited  metrics.Counter
	// leaving and closed count the upstreams that said so, unreadable the headers of
	// answers that name nothing.
	leaving, closed, unreadable metrics.Counter
	// unstated counts upstreams' answers with a status that promises that the request has not
	// run, without their statement.
	unstated metrics.Counter
	// skipped counts responses to other requests that were read before an answer, passedOver the
	// connections that weren't used as they had carried the request before.
	skipped, passedOver metrics.Counter

	// hedged counts second attempts beside silent upstreams, and hedgesUsed those whose
	// response was relayed.
	hedged, hedgesUsed metrics.Counter
	// tunnels counts the connections to upstreams through other entries, and
	// tunnelsServed those that others had through this one.
	tunnels, tunnelsServed metrics.Counter
	// questions counts the health checks that judge a path.
	questions metrics.Counter

	// held counts requests that wait while the entry starts.
	held metrics.Counter

	// panics counts requests whose handler panicked.
	panics metrics.Counter

	firstByte metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		registry: r,
		dials:    metrics.GetOrRegisterCounter("ingress.dials", r),
		requests: metrics.GetOrRegisterCounter("ingress.requests", r),
		answered: metrics.GetOrRegisterCounter("ingress.answered", r),
		limited:  metrics.GetOrRegisterCounter("ingress.limited", r),
		leaving:  metrics.GetOrRegisterCounter("ingress.upstreamLeaving", r),
		closed:   metrics.GetOrRegisterCounter("ingress.upstreamClosed", r),

		held: metrics.GetOrRegisterCounter("ingress.heldAtStart", r),

		hedged:     metrics.GetOrRegisterCounter("ingress.hedged", r),
		hedgesUsed: metrics.GetOrRegisterCounter("ingress.hedgesUsed", r),
		tunnels:    metrics.GetOrRegisterCounter("ingress.tunnels", r),

		tunnelsServed: metrics.GetOrRegisterCounter("ingress.tunnelsServed", r),
		questions:     metrics.GetOrRegisterCounter("ingress.pathQuestions", r),

		unreadable: metrics.GetOrRegisterCounter("ingress.unreadableHeader", r),
		unstated:   metrics.GetOrRegisterCounter("ingress.unstatedRefusal", r),
		skipped:    metrics.GetOrRegisterCounter("ingress.skippedResponse", r),
		passedOver: metrics.GetOrRegisterCounter("ingress.connectionPassedOver", r),
		panics:     metrics.GetOrRegisterCounter("ingress.panics", r),
		firstByte:  metrics.GetOrRegisterTimer("ingress.firstByte", r),
	}
}

// observeTrace counts what an exchange met on its connection.
func (m *meters) observeTrace(t exchange.Trace) {
	m.skipped.Inc(int64(t.Skipped))
	m.passedOver.Inc(int64(t.PassedOver))
}

// registerGauges registers the gauges, which are computed when they are read.
func (in *Ingress) registerGauges(r metrics.Registry) {
	register := func(name string, value func() int64) {
		_ = r.Register(name, metrics.NewFunctionalGauge(value))
	}
	register("ingress.configurationAgeMs", func() int64 { return in.link.ConfigAge().Milliseconds() })
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
	register("ingress.brokenPaths", func() int64 { return int64(in.paths.Broken()) })
	register("ingress.isolated", func() int64 {
		if in.paths.Isolated() {
			return 1
		}
		return 0
	})
	registerCount := func(name string, count func(now clock.Instant, f *fleet.Fleet) int) {
		register(name, func() int64 {
			n := 0
			in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
				n = count(now, f)
				return nil
			})
			return int64(n)
		})
	}
	registerCount("ingress.suspects", func(now clock.Instant, f *fleet.Fleet) int { return f.Suspects(now) })
	registerCount("ingress.aboveShare", func(now clock.Instant, f *fleet.Fleet) int { return f.AboveShare(now) })
	// Paces are in percent of the median of the service.
	registerCount("ingress.unevenUpstreams", func(_ clock.Instant, f *fleet.Fleet) int { return f.Paces().Uneven })
	registerCount("ingress.upstreamsWithKnee", func(_ clock.Instant, f *fleet.Fleet) int { return f.Paces().Knees })
	registerCount("ingress.fastestPace", func(_ clock.Instant, f *fleet.Fleet) int { return f.Paces().Fastest })
	registerCount("ingress.slowestPace", func(_ clock.Instant, f *fleet.Fleet) int { return f.Paces().Slowest })
	registerCount("ingress.open", func(_ clock.Instant, f *fleet.Fleet) int { return f.Open() })
}

// attemptFailed counts a failed attempt by its failure.
func (m *meters) attemptFailed(failure retry.Failure) {
	metrics.GetOrRegisterCounter("ingress.attemptFailed."+failure.String(), m.registry).Inc(1)
}

// endCause is why a caller's connection ends without a whole answer.
type endCause string

const (
	// endGone means that the caller has closed its connection, or its sending side.
	endGone endCause = "callerGone"
	// endCutOff means that an answer that has begun can't be completed.
	endCutOff endCause = "cutOff"
	// endUnwritten means that the caller's connection takes no more, or reads nothing.
	endUnwritten endCause = "writeFailed"
	// endPanicked means that the handler panicked after an answer had begun.
	endPanicked endCause = "panicked"
)

// ended counts a caller's connection that ends without a whole answer. Its cause is logged
// before, so that each one that is counted can be found.
func (m *meters) ended(c endCause) {
	metrics.GetOrRegisterCounter("ingress.ended."+string(c), m.registry).Inc(1)
}

func (m *meters) refused(code string) {
	metrics.GetOrRegisterCounter("ingress.refused."+code, m.registry).Inc(1)
}

// saturated counts a request that is refused by a saturated service, by the cause.
func (m *meters) saturated(cause fleet.RefusalCause) {
	if cause != "" {
		metrics.GetOrRegisterCounter("ingress.saturated."+string(cause), m.registry).Inc(1)
	}
}

func (m *meters) observeFirstByte(elapsed time.Duration) { m.firstByte.Update(elapsed) }
