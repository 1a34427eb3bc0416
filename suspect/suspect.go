// Package suspect finds out what crashes upstreams: one request, or a part of a
// prompt that requests share. A Ledger counts the crashes during requests with
// the same trait. A trait is quarantined after several crashes without an answer
// in between. Ledgers exchange their Evidence, since callers send such requests
// to any entry. It does no I/O, and the time is passed in.
package suspect

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Kind says what a trait identifies.
type Kind uint8

// The kinds of traits.
const (
	// Service is the trait of all requests of a service. It is never
	// quarantined; its answers show that the service as a whole works.
	Service Kind = iota + 1
	// Request is the trait of one request: caller, path and body.
	Request
	// Part is the trait of all requests whose prompt contains the part.
	Part
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Service:
		return "service"
	case Request:
		return "request"
	case Part:
		return "part"
	default:
		return "unknown"
	}
}

// Trait is something that requests of one service may have in common.
type Trait struct {
	Kind Kind `json:"k"`
	// Service is the hash of the service's name, and Hash that of the request or
	// the ID of the part.
	Service uint64 `json:"n"`
	Hash    uint64 `json:"h,omitempty"`
}

// Traits returns the traits of a request: its service, the request itself and
// the shared parts of its prompt.
func Traits(service string, fingerprint uint64, parts []uint64) []Trait {
	hash := xxhash.Sum64String(service)
	traits := make([]Trait, 0, len(parts)+2)
	traits = append(traits, Trait{Kind: Service, Service: hash}, Trait{Kind: Request, Service: hash, Hash: fingerprint})
	for _, part := range parts {
		traits = append(traits, Trait{Kind: Part, Service: hash, Hash: part})
	}
	return traits
}

// Evidence is what a ledger knows of one trait. Times are ages, as instances have
// different clocks.
type Evidence struct {
	Trait
	// Answered says that a request with the trait was answered, and SinceAnswer
	// how long ago that last happened.
	Answered    bool          `json:"a,omitempty"`
	SinceAnswer time.Duration `json:"d,omitempty"`
	Crashes     []Crash       `json:"c,omitempty"`
}

// Crash is a crash of an upstream during a request that wasn't answered yet.
type Crash struct {
	// Upstream identifies one run of an upstream.
	Upstream uint64 `json:"u"`
	// SinceSent is the time since the request was sent, SinceCrash that since
	// the crash.
	SinceSent  time.Duration `json:"s"`
	SinceCrash time.Duration `json:"e"`
}

// Check verifies decoded evidence.
func (e *Evidence) Check() error {
	if e.Kind < Service || e.Kind > Part || e.SinceAnswer < 0 || len(e.Crashes) > maxSentCrashes {
		return errors.Errorf("evidence of kind %d with %d crashes, answered %v ago", e.Kind, len(e.Crashes), e.SinceAnswer)
	}
	for _, c := range e.Crashes {
		if c.SinceSent < 0 || c.SinceCrash < 0 {
			return errors.New("evidence with a crash in the future")
		}
	}
	return nil
}

var _ wire.Checker = (*Evidence)(nil)
