// Package config holds the configuration that operators send to the keepers and
// entries apply. A Revision is one configuration: routes, services, limits and
// organisations. A Store is the keepers' replicated copy of the newest one, and
// a Table matches an entry's requests to its routes. Nothing here does I/O.
package config

import (
	"time"
)

// Kind says whether a request may be repeated after a failed attempt.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming requests are answered by a stream of events. They run at most
	// once, unless the route is resumable.
	Streaming Kind = "streaming"
)

// Revision is one whole configuration. The one with the highest number is in
// force.
type Revision struct {
	Number        uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
	// KeysRequired says that requests to routes that aren't public need the key of an organisation,
	// also while there is none.
	KeysRequired bool
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Target is the time within which an answer counts as in time; for
	// streams, the time to the first event.
	Target time.Duration
	// Pause is the longest time between two events of a stream that
	// counts as in time.
	Pause time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank     int
	Backends []Backend
	// Attempts bounds the upstreams that one request is sent to.
	Attempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// ByPrefix requests name the parts of their prompt (routes that operators
	// call sticky).
	ByPrefix bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that can serve the same requests.
type Service struct {
	Name string
	// HealthPath is where its upstreams answer GET requests of no caller; "" if they don't.
	HealthPath string
	// Engine is set for model engines.
	Engine *Engine
	// Autoscale is set if the leader of the keepers scales the service.
	Autoscale *Autoscale
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the size of the KV cache, in tokens.
	MemoryTokens int
}

// Autoscale bounds the number of a service's upstreams in each zone.
type Autoscale struct {
	Min, Max int
	// Boot is how long a new upstream takes until it serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream, as a fraction
	// of the full price.
	ReclaimablePrice float64
	// ZonePrices are the prices of one upstream for a second, by zone.
	ZonePrices map[string]float64
}

// Limits bound what a caller may send. Entries enforce only MaxBodyBytes; for
// the others their listener has fixed bounds, above all published values.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a group of callers with a common quota.
type Organisation struct {
	Name string
	Keys []string
	// Rank, if it is set, decides before the route's rank, which then orders
	// only requests of organisations of equal rank.
	Rank *int
	// InTokens says that the quota counts tokens rather than requests.
	InTokens bool
	// PlainTokens is the cost of a request without a token count.
	PlainTokens int
	// Rate is the quota in units per second, and Burst the units that may be
	// saved up. A rate of 0 means no limit.
	Rate, Burst float64
}
