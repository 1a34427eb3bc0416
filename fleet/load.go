package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// load measures the demand on one service between two reports.
type load struct {
	arrivals, urgent int
	prompt, output   int
	finished, late   int
	since            clock.Instant
}

func (l *load) arrive(now clock.Instant, t Ticket) {
	if l.since == 0 {
		l.since = now
	}
	l.arrivals++
	if t.Rank == 0 {
		l.urgent++
	}
	l.output += t.Output
}

func (l *load) finish(inTime bool) {
	l.finished++
	if !inTime {
		l.late++
	}
}

// Demand is the demand on one service since the last report, in units per
// second.
type Demand struct {
	Arrivals, Urgent, Prompt, Output float64
	Waiting, Running                 int
	// Late is the share of answers that missed their target.
	Late float64
}

// Demands returns each service's demand and starts a new measurement.
func (f *Fleet) Demands(now clock.Instant) map[string]Demand {
	all := make(map[string]Demand, len(f.services))
	for name, s := range f.services {
		l := s.load
		s.load = load{since: now}
		d := Demand{Waiting: len(s.queue)}
		for _, n := range s.nodes {
			d.Running += n.running
		}
		if seconds := (now - l.since).Seconds(); seconds > 0 {
			d.Arrivals = float64(l.arrivals) / seconds
			d.Urgent = float64(l.urgent) / seconds
			d.Prompt = float64(l.prompt) / seconds
			d.Output = float64(l.output) / seconds
		}
		if l.finished > 0 {
			d.Late = float64(l.late) / float64(l.finished)
		}
		all[name] = d
	}
	return all
}

// Busy returns this entry's work at each upstream that has some.
func (f *Fleet) Busy() map[string]Busy {
	busy := map[string]Busy{}
	for id, n := range f.nodes {
		if n.running > 0 {
			busy[id] = Busy{Running: n.running, Backlog: n.backlog, Tokens: n.tokens}
		}
	}
	return busy
}

// Others is the work of all other entries at the upstreams of a range.
type Others struct {
	// After and Until bound the range of identities; an empty one doesn't.
	After string `json:"a,omitempty"`
	Until string `json:"u,omitempty"`
	// Busy holds those of the range that have some work.
	Busy map[string]Busy `json:"b,omitempty"`
}

// Covers reports whether the range holds an upstream.
func (o Others) Covers(id string) bool {
	return id > o.After && (o.Until == "" || id <= o.Until)
}

// SetOthers takes in the work of all other entries.
func (f *Fleet) SetOthers(o Others) {
	for id, n := range f.nodes {
		if o.Covers(id) {
			n.others = o.Busy[id]
		}
	}
}

// UpstreamState describes one upstream for a dump.
type UpstreamState struct {
	ID       string        `json:"id"`
	Service  []string      `json:"service"`
	Zone     string        `json:"zone"`
	Usable   bool          `json:"usable"`
	Leaving  bool          `json:"leaving"`
	Silent   bool          `json:"silent"`
	Running  int           `json:"running"`
	Backlog  int           `json:"backlogTokens"`
	Tokens   int           `json:"memoryTokens"`
	Others   Busy          `json:"others"`
	Failures float64       `json:"failures"`
	Quiet    time.Duration `json:"quiet"`
}

// State describes the upstreams.
func (f *Fleet) State(now clock.Instant) []UpstreamState {
	list := make([]UpstreamState, 0, len(f.nodes))
	for _, s := range f.services {
		for _, n := range s.nodes {
			list = append(list, UpstreamState{
				ID: n.ID, Service: n.Services, Zone: n.Zone, Usable: n.usable(now), Leaving: n.Leaving, Silent: n.Silent,
				Running: n.running, Backlog: n.backlog, Tokens: n.tokens, Others: n.others, Failures: n.failures, Quiet: now - n.progress,
			})
		}
	}
	return list
}
