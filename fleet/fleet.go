// Package fleet schedules the requests of one entry: it chooses the upstream
// and the time to send, and decides whether to retry after a failure. It models
// each upstream as a batch that shares prefill time, slots and KV memory. It
// does no I/O: callers pass in the time and carry out the returned actions.
package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Options configure a Fleet.
type Options struct {
	// Name is the entry's name. With one, the entry measures the upstreams for the leader, uses
	// the paces that the leader names, and spreads near-ties in its own way. It does that for
	// engines, and with LearnPlain for plain upstreams too.
	Name       string
	LearnPlain bool
	// Zone is the entry's availability zone.
	Zone string
	// RetryRatio and RetrySlack are the retry budget that all entries share:
	// the allowed retries per request, and a constant beyond that ratio.
	RetryRatio, RetrySlack float64
	// Entries is the assumed number of entries that share the budget, until
	// SetEntries reports the actual one.
	Entries int
	// DrainWithin is how long an upstream that has said that it leaves still serves.
	DrainWithin time.Duration
	// Random returns numbers that are uniform in [0, 1), by which entries don't all do the
	// same at the same time; nil stands for 0.
	Random func() float64
	// Split decides on releases; nil if there are no rollouts.
	Split Split
}

// Ticket describes a request that is to be scheduled.
type Ticket struct {
	ID      uint64
	Service string
	// Route is the route's name, and Stream says that its answers are streams of events.
	Route string
	Rank  int
	// Organisation is that of the caller; empty on public routes, which count as one.
	Organisation string
	// MaxRuns bounds the number of upstreams that may run the request.
	MaxRuns            int
	Repeatable, Stream bool
	// Target is the time from arrival within which the caller should get the
	// answer, or the first event of a stream. The request fails at Deadline.
	Target   time.Duration
	Deadline clock.Instant
	// PromptTokens is the length of the prompt, and OutputTokens the expected
	// length of the answer; 0 if unknown.
	PromptTokens, OutputTokens int
	// PromptParts are the parts of the prompt; all but the last may be shared
	// with other requests.
	PromptParts []call.PromptPart
	// Fingerprint identifies the caller, the path and the body.
	Fingerprint uint64
	// Binding is that of a request that resumes a stream.
	upstream.Binding
}

// Fleet schedules tickets on upstreams. It isn't safe for concurrent use.
type Fleet struct {
	options     Options
	upstreams   map[string]*upstreamView
	idByAddress map[string]string
	services    map[string]*service
	tickets     map[uint64]*ticket
	suspects    *suspect.Ledger
	// entries is the number of entries that share the upstreams. It is
	// options.Entries until entriesKnown is set.
	entries      int
	entriesKnown bool
	// pending are the actions that the current call returns.
	pending []Action
	// meter and paces are what goes to the leader and what it has told; pacesAt is when the
	// upstreams' views last got the paces. candidates and weights are those of one choice.
	meter      *capacity.Meter
	paces      *capacity.Table
	pacesAt    clock.Instant
	candidates []candidate
	weights    []float64
}

type service struct {
	name        string
	config      config.Service
	upstreams   []*upstreamView
	queue       []*ticket
	retryBudget *retry.Budget
	// prefillRate is the measured prefill speed, in tokens per millisecond,
	// and slotTime the measured time for which a request occupies its slot.
	prefillRate float64
	slotTime    time.Duration
	// failureRate is the fraction of failed answers, over all upstreams.
	failureRate float64
	demand      demandCounters
	fair        fairState
	// releases holds when upstreams of each release were last known to serve.
	releases map[string]clock.Instant
	// serving are the releases that served at the last merge, if there are rollouts.
	serving []string
	// entries is the number of entries that share the upstreams, as of the last paces.
	entries int
	// paceTime is the time of a plain answer at a pace of 1, without queueing; 0 before the first.
	paceTime time.Duration
	// uneven says that a pace or a knee of an upstream is known.
	uneven bool
}

type ticket struct {
	Ticket
	arrivedAt clock.Instant
	state     ticketState
	upstream  *upstreamView
	// runs counts the upstreams that may have run the request, attempts those
	// that it was sent to. failedOn are the IDs of those that failed it, and silentOn of those
	// among them that only fell silent until another one answered.
	runs, attempts     int
	mayHaveRun         bool
	failedOn, silentOn []string
	sentAt             clock.Instant
	answerBegan        bool
	// trial says that it was sent to an upstream that is being used again.
	trial bool
	// observed says that the split was told of the present attempt and not yet of its end.
	observed bool
	// beganAt is when the answer began, and sound says that it has gone on for
	// soundAfter.
	sound   bool
	beganAt clock.Instant
	// traits are what the request may have in common with others.
	traits []suspect.Trait
	// hedge is the next attempt that runs beside this one, and hedgeOf the ticket
	// beside which this one was begun; nil if there is none.
	hedge, hedgeOf *ticket
	// prefillTokens is the part of the prompt that the upstream had not cached
	// when the ticket was sent, tokensAhead the upstream's prefill backlog at
	// that time, and memoryTokens the KV memory that the ticket occupies.
	prefillTokens, tokensAhead, memoryTokens int
	// expectedFirstToken is the time to the first token that was estimated for
	// the upstream.
	expectedFirstToken time.Duration
	// gate is nil if the split has no say on the service.
	gate *releaseGate
	turn
	// expectedAtPace is that time without slowness, and expectedModel that of a fixed model, 0 if
	// the answer isn't measured. load is the number of requests at the upstream, with this one.
	expectedAtPace, expectedModel time.Duration
	// expectedWork is the part of expectedModel that is for this ticket alone.
	expectedWork time.Duration
	load         float64
	// certainty is the certain part of the tokens that expectedModel stands for.
	certainty float64
}

type ticketState int

const (
	waiting ticketState = iota
	running
)

// Initial values of the measured prefillRate and slotTime, from published data
// sheets of model engines.
const (
	initialPrefillRate = 50.0
	initialSlotTime    = 500 * time.Millisecond
)

// Limits of tickets.
const (
	// crashWindow is the time after a broken connection within which a failed
	// dial to the same upstream means that it crashed.
	crashWindow = 2 * time.Second
	// soundAfter is how long an answer must have gone on to show that its request
	// doesn't crash the upstream.
	soundAfter = 500 * time.Millisecond
	// maxQueued bounds one service's queue.
	maxQueued = 512
)

// New returns a fleet without services and upstreams.
func New(o Options) *Fleet {
	return &Fleet{
		options:     o,
		upstreams:   map[string]*upstreamView{},
		idByAddress: map[string]string{},
		services:    map[string]*service{},
		tickets:     map[uint64]*ticket{},
		suspects:    suspect.New(),
		entries:     max(o.Entries, 1),
		meter:       capacity.NewMeter(),
		paces:       capacity.NewTable(),
	}
}

// SetConfig applies the services of a configuration.
func (f *Fleet) SetConfig(now clock.Instant, r *config.Revision) []Action {
	for i := range r.Services {
		s := f.service(r.Services[i].Name)
		s.config = r.Services[i]
		for _, u := range s.upstreams {
			f.initPace(s, u)
		}
	}
	f.scheduleAll(now)
	return f.takeActions()
}

// SetEntries sets how many entries share the upstreams.
func (f *Fleet) SetEntries(n int) {
	if n < 1 || (n == f.entries && f.entriesKnown) {
		return
	}
	first := !f.entriesKnown
	f.entries, f.entriesKnown = n, true
	for _, s := range f.services {
		s.fair.entries = n
		s.retryBudget.SetCapacity(f.maxSavedRetries(), first)
	}
}

// maxSavedRetries is this entry's part of the retry slack. The margin covers
// the error of counting in windows.
func (f *Fleet) maxSavedRetries() float64 {
	const margin = 0.9
	return max(f.options.RetrySlack*margin/float64(f.entries), 1)
}

func (f *Fleet) random() float64 {
	if f.options.Random == nil {
		return 0
	}
	return f.options.Random()
}

func (f *Fleet) service(name string) *service {
	s, ok := f.services[name]
	if !ok {
		// Only half of the ratio: windows slide, so that retries saved in one
		// window may be spent in the next.
		const ratioFraction = 0.5
		s = &service{
			name:        name,
			retryBudget: retry.NewBudgetPart(f.options.RetryRatio*ratioFraction, f.maxSavedRetries()),
			prefillRate: initialPrefillRate,
			slotTime:    initialSlotTime,
			releases:    map[string]clock.Instant{},
			fair:        f.newFairState(),
		}
		f.services[name] = s
	}
	return s
}

// Submit schedules a new request. A refusal is returned at once, by Tick if the
// wait grows too long, or by Failed; a grant by this or a later call.
func (f *Fleet) Submit(now clock.Instant, request Ticket) []Action {
	s := f.service(request.Service)
	s.demand.addArrival(now, request)
	s.retryBudget.Deposit()
	t := &ticket{Ticket: request, arrivedAt: now, traits: request.traits()}
	f.tickets[request.ID] = t
	if err := f.suspects.Refusal(now, t.traits); err != nil {
		f.refuse(t, err)
		return f.takeActions()
	}
	f.assign(now, t)
	s.setWork(t)
	switch {
	case !f.anyAccepting(s, t):
		f.refuse(t, t.NoUpstream(t.Service).WithRetry(noUpstreamRetryAfter))
	case f.aboveShare(now, s, t):
		f.refuseShare(now, s, t)
	case len(s.queue) >= maxQueued && !f.makeRoom(now, s, t):
		f.refuseSaturated(now, s, t, s.expectedWait(now, t))
	default:
		f.enqueue(s, t)
		f.schedule(now, s)
		if wait, late := s.missesTarget(now, t); t.state == waiting && late {
			f.dequeue(s, t)
			f.refuseLate(now, s, t, wait)
		}
	}
	return f.takeActions()
}

// noUpstreamRetryAfter is the Retry-After of a request without any upstream:
// upstreams announce themselves about every second.
const noUpstreamRetryAfter = time.Second

func (f *Fleet) grant(now clock.Instant, s *service, t *ticket, u *upstreamView, e estimate) {
	t.state, t.upstream, t.sentAt, t.answerBegan, t.sound = running, u, now, false, false
	t.attempts++
	t.runs++
	t.prefillTokens = max(t.PromptTokens-e.cachedTokens, 0)
	t.tokensAhead = u.backlogTokens
	t.memoryTokens = t.PromptTokens + t.OutputTokens
	t.expectedFirstToken = e.firstToken
	s.expectAnswer(now, t, e)
	u.start(now, t)
	u.spendLimit(now)
	f.observeSent(now, t, u)
	s.demand.promptTokens += t.prefillTokens
	s.recordStart(now, t)
	f.pending = append(f.pending, Grant{
		Ticket: t.ID, Upstream: u.Announcement, Attempt: t.attempts, CachedTokens: e.cachedTokens, Estimate: e.ranking,
		release: t.releaseChoice(u),
	})
}

// Progress records that bytes of the ticket's answer arrived.
func (f *Fleet) Progress(now clock.Instant, id uint64) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	t.upstream.lastProgress = now
	if t.answerBegan {
		if !t.sound && now-t.beganAt >= soundAfter {
			t.sound = true
			f.suspects.Answered(now, t.traits)
		}
		return nil
	}
	t.answerBegan, t.beganAt = true, now
	f.observeBegin(t)
	f.endTrial(t.upstream, t, true)
	s := f.service(t.Service)
	s.recordCarried(t)
	t.upstream.prefilled(t)
	f.firstBytes(now, s, t)
	s.learnPrefillRate(now, t)
	f.schedule(now, s)
	return f.takeActions()
}

// learnPrefillRate measures the prefill rate on long prompts, where prefill
// dominates the time to the first token.
func (s *service) learnPrefillRate(now clock.Instant, t *ticket) {
	const (
		minTokens = 4000
		weight    = 0.05
		overhead  = 20 * time.Millisecond
	)
	tokens := t.prefillTokens + t.tokensAhead
	ms := float64(now-t.sentAt-overhead) / float64(time.Millisecond)
	if t.prefillTokens < minTokens || ms <= 1 {
		return
	}
	rate := min(max(float64(tokens)/ms*t.upstream.pace, initialPrefillRate/10), initialPrefillRate*10)
	s.prefillRate += weight * (rate - s.prefillRate)
}

// Bind binds a running ticket and its hedges to the release of its upstream, which has begun
// the caller's stream, and returns the release. From now on no other may run the ticket,
// as answers of two releases don't fit together.
func (f *Fleet) Bind(id uint64) (release string, running bool) {
	t, ok := f.tickets[id]
	if !ok || t.upstream == nil {
		return "", false
	}
	t.Binding = upstream.BoundTo(t.upstream.Release)
	for h := t.hedge; h != nil; h = h.hedge {
		h.Binding = t.Binding
	}
	return t.Release, true
}

// Finish ends a ticket that was answered in full. success is false for an error
// answer, and inTime says that the caller was served within the target: with the
// first event of a stream, or with the whole of another response.
func (f *Fleet) Finish(now clock.Instant, id uint64, success, inTime bool) []Action {
	t, ok := f.tickets[id]
	if !ok {
		return nil
	}
	s := f.service(t.Service)
	if t.state == running {
		const weight = 0.05
		t.upstream.end(now, t)
		f.observeAnswer(now, t, success)
		f.endTrial(t.upstream, t, true)
		s.slotTime += time.Duration(weight * float64(now-t.sentAt-s.slotTime))
		s.recordOutcome(t.upstream, success)
		s.recordEnd(now, t, success)
		if success {
			f.wholeAnswer(now, s, t)
			t.upstream.succeeded()
		}
	}
	s.demand.addAnswer(inTime)
	if success {
		f.suspects.Answered(now, t.traits)
	}
	f.removeTicket(s, t)
	f.schedule(now, s)
	return f.takeActions()
}

// recordOutcome updates the failure rates of the upstream and of the service.
func (s *service) recordOutcome(u *upstreamView, success bool) {
	failed := 1.0
	if success {
		failed = 0
	}
	const upstreamWeight, serviceWeight = 0.1, 0.02
	u.failureRate += upstreamWeight * (failed - u.failureRate)
	s.failureRate += serviceWeight * (failed - s.failureRate)
}

// Withdraw ends a ticket whose caller disconnected or whose deadline passed.
func (f *Fleet) Withdraw(now clock.Instant, id uint64) []Action {
	t, ok := f.tickets[id]
	if !ok {
		return nil
	}
	s := f.service(t.Service)
	if t.state == running {
		t.upstream.end(now, t)
		f.observeWithdrawal(now, t)
		f.endTrial(t.upstream, t, false)
	}
	t.dropHedge()
	f.removeTicket(s, t)
	f.schedule(now, s)
	return f.takeActions()
}

func (f *Fleet) removeTicket(s *service, t *ticket) {
	if t.state == waiting {
		f.dequeue(s, t)
	}
	delete(f.tickets, t.ID)
}

func (f *Fleet) refuse(t *ticket, err *result.Error) {
	delete(f.tickets, t.ID)
	f.pending = append(f.pending, Refuse{Ticket: t.ID, Err: err, Cause: t.refusedFor})
}

func (f *Fleet) takeActions() []Action {
	for trait, crashes := range f.suspects.NewlyQuarantined() {
		f.pending = append(f.pending, Quarantine{Trait: trait, Crashes: crashes})
	}
	actions := f.pending
	f.pending = nil
	return actions
}

// Stalled reports whether a running ticket should be tried elsewhere too: its
// upstream has sent nothing to any caller of this entry for the timeout, and
// another upstream may run it.
func (f *Fleet) Stalled(now clock.Instant, id uint64, timeout time.Duration) bool {
	t, ok := f.tickets[id]
	if !ok || t.state != running || now-max(t.upstream.lastProgress, t.sentAt) <= timeout {
		return false
	}
	s := f.service(t.Service)
	f.askSplit(now, t)
	return s.hasUntried(now, t) && t.Repeatable && t.runs < t.MaxRuns && s.retryBudget.Remaining() >= 1
}

// anyServing reports whether any upstream serves that may run the ticket, also if it
// is in backoff.
func (s *service) anyServing(t *ticket) bool {
	for _, u := range s.upstreams {
		if u.serves() && t.mayRunOn(u) && t.allows(u) {
			return true
		}
	}
	return false
}

// Open is the number of tickets.
func (f *Fleet) Open() int { return len(f.tickets) }
