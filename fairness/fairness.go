// Package fairness shares a service among organisations while it is saturated. At the
// leader, Board sums up what the entries report and finds the organisations that ask for
// more than their weighted max-min share of what the service carries. At each entry,
// Order ranks waiting requests by start tags, Gate admits the part of an organisation's
// requests that fits its share, Pace estimates waits from measured starts, and Returns
// spaces the times at which refused callers come back. The package has no clock and does
// no I/O.
package fairness

import "github.com/pkg/errors"

// Limits of decoded messages.
const (
	// MaxDemands bounds the demands in a report, and the organisations above their share
	// in a reply; an entry with more leaves out the smallest.
	MaxDemands = 64
	// MaxServices bounds the services in a reply.
	MaxServices = 1000
	// MaxRate bounds rates. Callers name the lengths of their prompts and answers, so that
	// the work of a request may be any.
	MaxRate = 1e12
)

// Key is an organisation within a rank. Ranks are strict, so that shares are computed
// within each.
type Key struct {
	Rank int `json:"r,omitempty"`
	// Organisation is empty for requests of public routes, which count as one.
	Organisation string `json:"o,omitempty"`
}

// Demand is the work that an organisation asks of a service, in work per second.
type Demand struct {
	Key
	Rate float64 `json:"d"`
}

// Report is what one entry sees of a service. All values are per second.
type Report struct {
	// Carried is the work of the requests whose answers began, and Answers their number.
	Carried float64 `json:"c,omitempty"`
	Answers float64 `json:"n,omitempty"`
	// Refused counts requests that would have waited for too long, without those that
	// were refused because of an organisation's share, and Late the answers that missed
	// their target.
	Refused float64 `json:"r,omitempty"`
	Late    float64 `json:"l,omitempty"`
	// Room says that an upstream has nothing to do: requests are late or wait for other
	// reasons than a lack of capacity, such as their own size.
	Room bool `json:"m,omitempty"`
	// Demands are set while the entry or the leader takes the service for saturated.
	Demands []Demand `json:"d,omitempty"`
}

// Check verifies a decoded report.
func (r *Report) Check() error {
	for _, v := range []float64{r.Carried, r.Answers, r.Refused, r.Late} {
		if !validRate(v) {
			return errors.Errorf("fairness report with an invalid rate %v", v)
		}
	}
	if len(r.Demands) > MaxDemands {
		return errors.Errorf("fairness report with %d demands, want at most %d", len(r.Demands), MaxDemands)
	}
	for i := range r.Demands {
		if err := r.Demands[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check verifies a decoded demand.
func (d *Demand) Check() error {
	if !validRate(d.Rate) || d.Rank < 0 {
		return errors.Errorf("fairness report with an invalid demand: rate %v, rank %d", d.Rate, d.Rank)
	}
	return nil
}

// validRate is false for NaN too.
func validRate(v float64) bool { return v >= 0 && v <= MaxRate }

// Excess names an organisation above its share.
type Excess struct {
	Key
	// Fraction is the part of its work that fits, from 0 to 1.
	Fraction float64 `json:"f"`
}

// Share is the leader's decision on one service that is saturated.
type Share struct {
	Excesses []Excess `json:"x,omitempty"`
}

// Reply is the leader's decision on all services. Services that aren't saturated are left
// out.
type Reply struct {
	Services map[string]Share `json:"s,omitempty"`
}

// Check verifies a decoded reply.
func (r *Reply) Check() error {
	if len(r.Services) > MaxServices {
		return errors.Errorf("fairness reply with %d services, want at most %d", len(r.Services), MaxServices)
	}
	for name, s := range r.Services {
		if len(s.Excesses) > MaxDemands {
			return errors.Errorf("fairness reply with %d organisations of %q, want at most %d", len(s.Excesses), name, MaxDemands)
		}
		for i := range s.Excesses {
			if err := s.Excesses[i].Check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Check verifies a decoded excess.
func (e *Excess) Check() error {
	if !(e.Fraction >= 0 && e.Fraction <= 1) || e.Rank < 0 {
		return errors.Errorf("fairness reply with an invalid fraction %v or rank %d", e.Fraction, e.Rank)
	}
	return nil
}
