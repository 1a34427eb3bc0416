// Package limit keeps the limits of requests per second that upstreams name for
// all entries together. Entries observe them in answers and report them to the
// leading keeper, whose Board grants each limit to a few entries as shares. Few
// owners waste little of a small limit. It does no I/O, and the time is passed in.
package limit

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Bounds of an exchange between an entry and the leader.
const (
	// MaxObservations is the highest number of upstreams in a report, of about 60
	// bytes each.
	MaxObservations = 64
	// MinRate stands for lower limits: an upstream that got nothing couldn't lift
	// its limit.
	MinRate = 0.05
)

// Observation is what an upstream's last answer said about its limit.
type Observation struct {
	// Upstream and Incarnation identify one run of the upstream.
	Upstream    string `json:"u"`
	Incarnation uint64 `json:"i"`
	Service     string `json:"s"`
	Zone        string `json:"z,omitempty"`
	// Rate is the limit in requests per second, if Limited is set. Otherwise an
	// earlier limit was lifted.
	Rate    float64 `json:"r,omitempty"`
	Limited bool    `json:"l,omitempty"`
	// Age is the time since the answer.
	Age time.Duration `json:"a,omitempty"`
}

// Check verifies a decoded observation.
func (o *Observation) Check() error {
	if o.Upstream == "" || !validRate(o.Rate) || o.Age < 0 {
		return errors.Errorf("limit of %v requests per second at upstream %q, %v ago", o.Rate, o.Upstream, o.Age)
	}
	return nil
}

func validRate(r float64) bool { return r >= 0 && !math.IsInf(r, 0) }

// Share is what one entry may send to a limited upstream.
type Share struct {
	Observation
	// Share is the entry's part of the limit, in requests per second.
	Share float64 `json:"p,omitempty"`
}

// Check verifies a decoded share.
func (s *Share) Check() error {
	if !validRate(s.Share) || s.Share > s.Rate {
		return errors.Errorf("share of %v of the limit of %v requests per second", s.Share, s.Rate)
	}
	return s.Observation.Check()
}

var (
	_ wire.Checker = (*Observation)(nil)
	_ wire.Checker = (*Share)(nil)
)
