package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Decision is what would happen to a request.
type Decision string

// The decisions. A request that is sent may have several upstreams of which one is drawn.
const (
	DecisionSend   Decision = "send"
	DecisionWait   Decision = "wait"
	DecisionRefuse Decision = "refuse"
)

// Placement explains where a request would go.
type Placement struct {
	Service  string   `json:"service"`
	Decision Decision `json:"decision"`
	// Reason says why it would be refused or wait.
	Reason string `json:"reason,omitempty"`
	// Upstream is where it would be sent.
	Upstream string `json:"upstream,omitempty"`
	// Waiting are the requests that wait for the service at this entry, and WaitMs the
	// expected wait of this one.
	Waiting int   `json:"waiting"`
	WaitMs  int64 `json:"waitMs"`
	// AboveShare says that the organisation asks for more than its share of the service.
	AboveShare bool `json:"aboveShare,omitempty"`
	// Candidates are the upstreams of the service in the order in which they come into
	// question, those that are excluded last.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an upstream in a Placement.
type Candidate struct {
	Upstream string    `json:"upstream"`
	Zone     string    `json:"zone"`
	Release  string    `json:"release,omitempty"`
	Excluded Exclusion `json:"excluded,omitempty"`
	// RankingMs is what the upstreams are compared by, FirstTokenMs the part of it that is
	// the expected time to the first token or of a plain answer.
	RankingMs    float64 `json:"rankingMs"`
	FirstTokenMs float64 `json:"firstTokenMs"`
	CachedTokens int     `json:"cachedTokens,omitempty"`
	// Running are this entry's requests there, and Others those of the other entries.
	Running int `json:"running"`
	Others  int `json:"others"`
	Slots   int `json:"slots"`
	// Pace is the learned factor of its times, and Knee the number of requests up to which
	// it answers well, 0 if none is known.
	Pace float64 `json:"pace"`
	Knee int     `json:"knee,omitempty"`
}

// Explain returns where the request would go now, by the code that places requests. Nothing is
// sent, and no state changes. In a running rollout the request counts as one of the share of the
// old release.
func (f *Fleet) Explain(now clock.Instant, request Ticket) Placement {
	s, ok := f.services[request.Service]
	p := Placement{Service: request.Service, Decision: DecisionRefuse}
	if !ok {
		p.Reason = "the service is unknown"
		return p
	}
	t := &ticket{Ticket: request, arrivedAt: now, traits: request.traits()}
	f.askSplit(now, t)
	p.Waiting = len(s.queue)
	p.AboveShare = s.fair.gate.Saturated(now) && s.fair.gate.IsAbove(t.key())
	f.rank(now, s, t)
	estimates := make(map[*upstreamView]estimate, len(f.candidates))
	for _, c := range f.candidates {
		estimates[c.upstream] = c.estimate
	}
	chosen, e := f.pick(now, s, t)
	allLeave := !s.anyServing(t)
	for _, u := range s.upstreams {
		p.Candidates = append(p.Candidates, f.candidate(now, s, t, u, estimates, allLeave))
	}
	slices.SortStableFunc(p.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.RankingMs, b.RankingMs))
	})
	wait, late := s.missesTarget(now, t)
	p.WaitMs = wait.Milliseconds()
	switch refusal := f.suspects.Refusal(now, t.traits); {
	case refusal != nil:
		p.Reason = refusal.Detail
	case !f.anyAccepting(s, t):
		p.Reason = "no upstream serves that may run it"
	case len(s.queue) >= maxQueued:
		p.Reason = "too many requests wait"
	case chosen != nil && s.meetsTarget(now, t, e):
		p.Decision, p.Upstream, p.WaitMs = DecisionSend, chosen.ID, 0
	case late:
		p.Reason = "the expected wait is too long for the target"
	default:
		p.Decision, p.Reason = DecisionWait, "no upstream has room that would answer in time"
	}
	return p
}

func (f *Fleet) candidate(now clock.Instant, s *service, t *ticket, u *upstreamView, estimates map[*upstreamView]estimate, allLeave bool) Candidate {
	c := Candidate{
		Upstream: u.ID, Zone: u.Zone, Release: u.Release, Excluded: f.exclusion(now, s, t, u, allLeave),
		Running: u.running, Others: u.otherWork.Running, Slots: u.Slots, Pace: u.pace, Knee: u.knee,
	}
	e, ok := estimates[u]
	if !ok {
		e = s.estimate(now, f.options.Zone, u, t)
	}
	c.RankingMs, c.FirstTokenMs, c.CachedTokens = milliseconds(e.ranking), milliseconds(e.firstToken), e.cachedTokens
	return c
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
