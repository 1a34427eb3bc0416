// Package config holds the operators' configuration: routes, services, limits
// and organisations, its validity, and the table that matches requests. It is
// pure.
package config

import (
	"time"
)

// Kind says what may be done with a request whose attempt failed.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run again.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming answers are events; they run once unless they are resumable.
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
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a request is held.
	Timeout time.Duration
	// Target is the time within which an answer counts in full; for streams
	// up to the first event.
	Target time.Duration
	// Pause is the longest pause between events of an answer in time.
	Pause time.Duration
	// Rank is the urgency; 0 comes first.
	Rank     int
	Backends []Backend
	// Attempts bounds the upstreams that one request is sent to.
	Attempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// ByPrefix requests carry the parts of their prompt.
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

// Service is a group of upstreams that serve the same.
type Service struct {
	Name string
	// Engine is set for model engines.
	Engine *Engine
	// Autoscale is set where the number of upstreams is ours to order.
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
	// Boot is the time until a new upstream serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream as a part of
	// that of another one.
	ReclaimablePrice float64
	// ZonePrices are the prices of an upstream's second by zone.
	ZonePrices map[string]float64
}

// Limits bound what a caller may send. Entries hold MaxBodyBytes; their listener
// has bounds of its own above every published value of the others.
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
	// Rank goes before the route's if it is set.
	Rank *int
	// InTokens says that the quota counts tokens rather than requests.
	InTokens bool
	// PlainTokens is what a request without a token count is worth.
	PlainTokens int
	// Rate is the quota per second and Burst what may be saved up; a rate of
	// 0 means no limit.
	Rate, Burst float64
}
