package plan

import "github.com/hyssopladder/hyssopladder/common/clock"

// Observation is what is known of a service at one moment.
type Observation struct {
	// Zones is the number of availability zones that the service may use.
	Zones int
	// Fixed and Reclaimable are the numbers of upstreams that serve.
	Fixed, Reclaimable int
	// Idle says that the service has had no requests for a while, so that Demand
	// tells nothing.
	Idle   bool
	Demand Demand
}

// idleReserve multiplies the upstreams that a service was given while it has no
// requests: a day may begin with several times its usual demand, and upstreams
// take seconds to start.
const idleReserve = 1.3

// Forecast estimates how many upstreams a service needs: from its demand or, while
// that isn't known, from the upstreams that it was given by others. It isn't safe
// for concurrent use.
type Forecast struct {
	// capacity is that of an upstream; its rate follows the measured one, from
	// the published rate downwards.
	capacity        Capacity
	publishedRate   float64
	lastRate        clock.Instant
	prompt, running Trend
	begun           bool
	// given is the number of upstreams that the service had without an order of
	// this forecast's owner; givenReclaimable is that of the reclaimable ones.
	given, givenReclaimable int
}

// NewForecast returns the forecast of a service with upstreams of the capacity.
func NewForecast(c Capacity) *Forecast { return &Forecast{capacity: c} }

// Update returns the number of upstreams that carry the demand, without a reserve
// for the loss of a zone.
func (f *Forecast) Update(now clock.Instant, o Observation) float64 {
	if !f.begun {
		f.given, f.givenReclaimable = o.Fixed+o.Reclaimable, o.Reclaimable
	}
	if o.Idle {
		// More reclaimable ones than there were at the beginning were ordered by
		// the owner. Fixed ones may have been announced late.
		f.given = max(f.given, o.Fixed+min(o.Reclaimable, f.givenReclaimable))
	}
	if !f.begun || o.Idle {
		f.begun = true
		need := idleReserve * float64(f.given)
		if !o.Idle {
			// The upstreams include the reserve for the loss of a zone.
			need = float64(f.given) * float64(max(o.Zones-1, 1)) / float64(max(o.Zones, 1))
		}
		supported := SupportedDemand(need, f.capacity)
		f.prompt.Reset(now, supported.PromptRate)
		f.running.Reset(now, supported.Requests)
		return need
	}
	return RequiredUpstreams(Demand{
		PromptRate: f.prompt.Update(now, o.Demand.PromptRate),
		Requests:   f.running.Update(now, o.Demand.Requests),
	}, f.capacity)
}
