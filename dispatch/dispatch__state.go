package dispatch

import (
	"sort"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// ServiceState describes one service for the status and the dump. Waiting is by
// rank; Unplaced tickets have left the scheduler and wait for an upstream.
type ServiceState struct {
	Service  string         `json:"service"`
	Revision uint64         `json:"revision"`
	Waiting  map[string]int `json:"waiting"`
	Unplaced int            `json:"moving"`
	Slots    int            `json:"slots"`
	Free     int            `json:"free"`
	// Rate is the expected capacity, in tokens per second.
	Rate      float64         `json:"rate"`
	Upstreams []UpstreamState `json:"upstreams"`
	// InTime is the recent fraction of each rank's answers that met their
	// target; set by the entry.
	InTime map[string]float64 `json:"inTime,omitempty"`
}

// UpstreamState describes one upstream for the status and the dump.
type UpstreamState struct {
	ID          string        `json:"id"`
	Zone        string        `json:"zone"`
	Class       string        `json:"class"`
	Usable      bool          `json:"usable"`
	Leaving     bool          `json:"leaving"`
	Outstanding int           `json:"outstanding"`
	Load        upstream.Load `json:"load"`
	Slots       int           `json:"slots"`
}

// State describes every service in order of name.
func (d *Dispatcher) State(now clock.Instant) []ServiceState {
	var states []ServiceState
	for name, p := range d.pools {
		c := d.capacity(now, p)
		s := ServiceState{
			Service:  name,
			Revision: p.document.Revision,
			Waiting:  map[string]int{},
			Unplaced: len(p.unplaced),
			Free:     c.Free,
			Rate:     c.Rate,
		}
		for i, r := range p.document.Document.Ranks {
			s.Waiting[r.Name] = p.scheduler.WaitingIn(i)
		}
		for _, u := range d.candidates(now, p) {
			s.Slots += u.Slots
			s.Upstreams = append(s.Upstreams, describe(now, u))
		}
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Service < states[j].Service })
	return states
}

func describe(now clock.Instant, u *upstream.Upstream) UpstreamState {
	return UpstreamState{
		ID:          u.ID,
		Zone:        u.Zone,
		Class:       u.Class,
		Usable:      u.Usable(now),
		Leaving:     u.Leaving,
		Outstanding: u.Outstanding(),
		Load:        u.Load,
		Slots:       u.Slots,
	}
}

// Open is the number of tickets.
func (d *Dispatcher) Open() int { return len(d.tickets) }
