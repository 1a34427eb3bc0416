package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fairness"
)

// demandCounters counts the demand on one service since the last report. urgent
// are the arrivals of rank 0, promptTokens the uncached tokens of sent prompts,
// outputTokens the expected ones of arrivals, and late the answers that missed
// their target.
type demandCounters struct {
	arrivals, urgent           int
	promptTokens, outputTokens int
	answered, late             int
	since                      clock.Instant
}

func (c *demandCounters) addArrival(now clock.Instant, t Ticket) {
	if c.since == 0 {
		c.since = now
	}
	c.arrivals++
	if t.Rank == 0 {
		c.urgent++
	}
	c.outputTokens += t.OutputTokens
}

func (c *demandCounters) addAnswer(inTime bool) {
	c.answered++
	if !inTime {
		c.late++
	}
}

// Demand is the demand on one service since the last report. Arrivals, Urgent
// (those of rank 0) and the tokens are per second; Waiting and Running are the
// current tickets.
type Demand struct {
	Arrivals, Urgent, PromptTokens, OutputTokens float64
	Waiting, Running                             int
	// LateFraction is the fraction of answers that missed their target.
	LateFraction float64
	// Fairness is what the leader needs for the organisations' shares.
	Fairness fairness.Report
}

// Demands returns each service's demand and starts a new measurement.
func (f *Fleet) Demands(now clock.Instant) map[string]Demand {
	demands := make(map[string]Demand, len(f.services))
	for name, s := range f.services {
		counters := s.demand
		s.demand = demandCounters{since: now}
		d := Demand{Waiting: len(s.queue)}
		for _, u := range s.upstreams {
			d.Running += u.running
		}
		if seconds := (now - counters.since).Seconds(); seconds > 0 {
			d.Arrivals = float64(counters.arrivals) / seconds
			d.Urgent = float64(counters.urgent) / seconds
			d.PromptTokens = float64(counters.promptTokens) / seconds
			d.OutputTokens = float64(counters.outputTokens) / seconds
			d.Fairness = s.fairnessReport(now, seconds, float64(counters.late))
		}
		if counters.answered > 0 {
			d.LateFraction = float64(counters.late) / float64(counters.answered)
		}
		demands[name] = d
	}
	return demands
}

// Work returns this entry's work at each upstream, without the idle ones.
func (f *Fleet) Work() map[string]Work {
	work := map[string]Work{}
	for id, u := range f.upstreams {
		if u.running > 0 {
			work[id] = Work{Running: u.running, BacklogTokens: u.backlogTokens, MemoryTokens: u.memoryTokens}
		}
	}
	return work
}

// OtherWork is the work of all other entries at the upstreams in a range of IDs.
type OtherWork struct {
	// The range begins behind After and ends with Until; an empty bound is open.
	After string `json:"a,omitempty"`
	Until string `json:"u,omitempty"`
	// ByUpstream is the work by upstream ID, without the idle ones.
	ByUpstream map[string]Work `json:"b,omitempty"`
}

// Covers reports whether the upstream is in the range.
func (o OtherWork) Covers(id string) bool {
	return id > o.After && (o.Until == "" || id <= o.Until)
}

// SetOtherWork replaces the work of all other entries at the covered upstreams.
func (f *Fleet) SetOtherWork(now clock.Instant, o OtherWork) {
	for id, u := range f.upstreams {
		if o.Covers(id) {
			if u.otherWorkAt == 0 {
				u.usualOthers = float64(o.ByUpstream[id].Running)
			}
			u.otherWork, u.otherWorkAt = o.ByUpstream[id], now
			u.usualOthers += usualWeight * (float64(u.otherWork.Running) - u.usualOthers)
		}
	}
	f.updateSpare()
}

// UpstreamState describes one upstream for a dump.
type UpstreamState struct {
	ID      string   `json:"id"`
	Service []string `json:"service"`
	Zone    string   `json:"zone"`
	Release string   `json:"release,omitempty"`
	Usable  bool     `json:"usable"`
	Leaving bool     `json:"leaving"`
	// ClosedFor is the time for which the upstream wants no requests.
	ClosedFor     time.Duration `json:"closedFor,omitempty"`
	Silent        bool          `json:"silent"`
	Running       int           `json:"running"`
	BacklogTokens int           `json:"backlogTokens"`
	MemoryTokens  int           `json:"memoryTokens"`
	OtherWork     Work          `json:"others"`
	Failures      float64       `json:"failures"`
	// Limit is what the upstream takes from all entries and Share what this entry
	// may send, in requests per second; 0 without a limit.
	Limit float64 `json:"limit,omitempty"`
	Share float64 `json:"share,omitempty"`
	// SinceProgress is the time since the upstream's last progress: bytes, or a
	// request while it had none of this entry.
	SinceProgress time.Duration `json:"quiet"`
	// Pace is the time of an answer by that of the service's median, as the leader knows it, Knee
	// the number of requests from which on the upstream slows down, 0 if none is known, and
	// Slowness what this entry measured beyond the pace.
	Pace     float64 `json:"pace"`
	Knee     int     `json:"knee,omitempty"`
	Slowness float64 `json:"slowness"`
	// PaceAge is the time since the leader last confirmed the pace; 0 if it has named none.
	PaceAge time.Duration `json:"paceAge,omitempty"`
	// Sent is the number of this entry's attempts there. LastAnswer is the time that its last
	// whole answer took, which ended AnswerAge ago; both are 0 before the first.
	Sent       uint64        `json:"sent"`
	LastAnswer time.Duration `json:"lastAnswer,omitempty"`
	AnswerAge  time.Duration `json:"answerAge,omitempty"`
}

// State describes the upstreams for a dump.
func (f *Fleet) State(now clock.Instant) []UpstreamState {
	list := make([]UpstreamState, 0, len(f.upstreams))
	for _, s := range f.services {
		for _, u := range s.upstreams {
			share := 0.0
			if u.limit.limited {
				share = u.limit.shareOf(f.entries)
			}
			answerAge := time.Duration(0)
			if u.answeredIn > 0 {
				answerAge = now - u.answeredAt
			}
			list = append(list, UpstreamState{
				Limit: u.limit.rate, Share: share,
				ID: u.ID, Service: u.Services, Zone: u.Zone, Release: u.Release, Usable: u.usable(now), Leaving: u.Leaving || u.saidLeaving, ClosedFor: max(u.closedUntil-now, 0), Silent: u.Silent,
				Running: u.running, BacklogTokens: u.backlogTokens, MemoryTokens: u.memoryTokens, OtherWork: u.otherWork, Failures: u.failureRate, SinceProgress: now - u.lastProgress,
				Pace: u.pace, Knee: u.knee, Slowness: s.recentSlowness(now, u),
				PaceAge: f.paces.Age(now, u.ID, u.Incarnation), Sent: u.sent, LastAnswer: u.answeredIn, AnswerAge: answerAge,
			})
		}
	}
	return list
}
