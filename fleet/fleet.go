// Package fleet decides where the requests of one entry go: which upstream,
// when, and whether again after a failure. It models each upstream as a batch
// that shares prefill time, slots and KV memory. It is pure: time is passed in
// and what has to happen comes back as actions.
package fleet

import (
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Options shape a Fleet.
type Options struct {
	// Zone is the entry's availability zone.
	Zone string
	// RetryRatio and RetrySlack are the budget of arrivals beyond the first,
	// shared by all entries.
	RetryRatio, RetrySlack float64
	// Entries is the number of entries that are assumed to share the budget
	// until it is known.
	Entries int
}

// Ticket is a request on its way.
type Ticket struct {
	ID      uint64
	Service string
	Rank    int
	// Attempts bounds the upstreams that run the request.
	Attempts   int
	Repeatable bool
	// Target is the time within which the first byte should come, and
	// Deadline the instant at which the request is given up.
	Target   time.Duration
	Deadline clock.Instant
	// Prompt and Output are the tokens of the prompt and those expected of
	// the answer; 0 where they aren't known.
	Prompt, Output int
	Parts          []call.Part
	// Fingerprint identifies the caller, the path and the body.
	Fingerprint uint64
}

// Action is what the host has to do.
type Action interface{ action() }

// Grant sends the ticket to an upstream.
type Grant struct {
	Ticket   uint64
	Upstream upstream.Announcement
	// Attempt counts the grants of the ticket, from 1.
	Attempt int
	// Cached is the number of prompt tokens that the upstream is thought to
	// hold, and Waits the expected time to the first token.
	Cached int
	Waits  time.Duration
}

// Refuse answers the ticket with an error.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
}

func (Grant) action()  {}
func (Refuse) action() {}

// Fleet holds the decisions' state. It isn't safe for concurrent use.
type Fleet struct {
	options   Options
	nodes     map[string]*node
	byAddress map[string]string
	services  map[string]*service
	tickets   map[uint64]*ticket
	suspects  map[uint64]*suspect
	// entries share the upstreams; counted says that their number is known.
	entries int
	counted bool
	actions []Action
}

type service struct {
	name   string
	shape  config.Service
	nodes  []*node
	queue  []*ticket
	budget *retry.Budget
	// prefill is the learned speed of reading prompts, in tokens per
	// millisecond, and hold the learned time for which a request occupies
	// its slot.
	prefill float64
	hold    time.Duration
	// failures is the share of answers that were failures, over all nodes.
	failures float64
	load     load
}

type ticket struct {
	Ticket
	arrived clock.Instant
	state   state
	node    *node
	// runs counts the upstreams that may have run the request, sends those
	// that it was sent to.
	runs, sends int
	mayHaveRun  bool
	tried       []string
	started     clock.Instant
	began       bool
	// pending is the part of the prompt that was still to be read when the
	// ticket was sent, ahead what was before it, and tokens its memory.
	pending, ahead, tokens int
	// expected is the time to the first token that was expected at the node.
	expected time.Duration
}

type state int

const (
	waiting state = iota
	running
)

// suspect is a request during which upstreams died.
type suspect struct {
	deaths int
	last   clock.Instant
}

// Figures of the model before anything is measured, from the published sheets
// of model engines.
const (
	initialPrefill = 50.0
	initialHold    = 500 * time.Millisecond
)

// Limits of tickets.
const (
	// suspectDeaths is the number of upstreams that may die of one request
	// before it is refused.
	suspectDeaths = 3
	suspectTime   = 2 * time.Minute
	// deathTime is how soon after a broken answer a refused connection tells
	// that the upstream died.
	deathTime = 2 * time.Second
	// maxWaiting bounds one service's queue.
	maxWaiting = 512
)

// New returns a fleet without services and upstreams.
func New(o Options) *Fleet {
	return &Fleet{
		options:   o,
		nodes:     map[string]*node{},
		byAddress: map[string]string{},
		services:  map[string]*service{},
		tickets:   map[uint64]*ticket{},
		suspects:  map[uint64]*suspect{},
		entries:   max(o.Entries, 1),
	}
}

// SetConfig puts a configuration's services in force.
func (f *Fleet) SetConfig(now clock.Instant, r *config.Revision) []Action {
	for i := range r.Services {
		f.service(r.Services[i].Name).shape = r.Services[i]
	}
	f.pumpAll(now)
	return f.take()
}

// SetEntries tells how many entries share the upstreams.
func (f *Fleet) SetEntries(n int) {
	if n < 1 || (n == f.entries && f.counted) {
		return
	}
	first := !f.counted
	f.entries, f.counted = n, true
	for _, s := range f.services {
		s.budget.SetCapacity(f.savedRetries(), first)
	}
}

// savedRetries is this entry's part of the slack, less a tenth against the
// error of counting windows.
func (f *Fleet) savedRetries() float64 {
	const margin = 0.9
	return max(f.options.RetrySlack*margin/float64(f.entries), 1)
}

func (f *Fleet) service(name string) *service {
	s, ok := f.services[name]
	if !ok {
		// Half of the ratio: windows slide, so that what is saved in one may
		// be spent in the next.
		const part = 0.5
		s = &service{
			name:    name,
			budget:  retry.NewBudgetPart(f.options.RetryRatio*part, f.savedRetries()),
			prefill: initialPrefill,
			hold:    initialHold,
		}
		f.services[name] = s
	}
	return s
}

// Merge takes in what a keeper knows of upstreams.
func (f *Fleet) Merge(now clock.Instant, members []upstream.Member) []Action {
	for i := range members {
		f.merge(now, members[i])
	}
	f.pumpAll(now)
	return f.take()
}

func (f *Fleet) merge(now clock.Instant, m upstream.Member) {
	n, ok := f.nodes[m.ID]
	switch {
	case ok && m.Incarnation == n.Incarnation && m.Sequence == n.Sequence && m.Leaving == n.Leaving:
		n.Silent, n.Ended = m.Silent, m.Ended
		return
	case ok && !m.Newer(&n.Announcement):
		return
	case m.Ended && !ok:
		return
	case ok && m.Incarnation == n.Incarnation:
		n.Member = m
	default:
		if ok {
			f.remove(n)
		}
		n = newNode(now, m)
		f.nodes[m.ID] = n
		if len(m.Services) > 0 {
			s := f.service(m.Services[0])
			s.nodes = append(s.nodes, n)
			sort.Slice(s.nodes, func(i, j int) bool { return s.nodes[i].ID < s.nodes[j].ID })
		}
	}
	f.own(n)
}

// own gives the address to the newest upstream that announced it.
func (f *Fleet) own(n *node) {
	key := n.Address.String()
	other, taken := f.nodes[f.byAddress[key]]
	switch {
	case !taken || other == n:
		f.byAddress[key] = n.ID
	case other.Incarnation > n.Incarnation:
		n.replaced = true
	default:
		other.replaced = true
		f.byAddress[key] = n.ID
	}
}

func (f *Fleet) remove(n *node) {
	delete(f.nodes, n.ID)
	n.replaced = true
	if len(n.Services) == 0 {
		return
	}
	s := f.service(n.Services[0])
	for i, other := range s.nodes {
		if other == n {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			break
		}
	}
}

// Submit offers a new request. Refuse comes at once, Grant now or later.
func (f *Fleet) Submit(now clock.Instant, t Ticket) []Action {
	s := f.service(t.Service)
	s.load.arrive(now, t)
	s.budget.Deposit()
	k := &ticket{Ticket: t, arrived: now}
	f.tickets[t.ID] = k
	switch {
	case f.quarantined(now, t.Fingerprint):
		f.refuse(k, result.New(result.Quarantined, result.RanNo, "the same request crashed the upstreams that ran it"))
	case !s.anyKnown():
		f.refuse(k, result.New(result.NoUpstream, result.RanNo, "no upstream serves %q now", t.Service).WithRetry(noUpstreamRetry))
	case len(s.queue) >= maxWaiting:
		f.refuse(k, f.saturated(s, k))
	default:
		f.enqueue(s, k)
		f.pump(now, s)
		if wait, late := s.tooLate(now, k); k.state == waiting && late {
			f.dequeue(s, k)
			f.refuse(k, result.New(result.Saturated, result.RanNo, "expected wait %v, target %v", wait, t.Target).WithRetry(wait))
		}
	}
	return f.take()
}

// noUpstreamRetry is when to come back where no upstream is known: new ones
// announce themselves about every second.
const noUpstreamRetry = time.Second

func (f *Fleet) grant(now clock.Instant, s *service, t *ticket, n *node, c cost) {
	t.state, t.node, t.started, t.began = running, n, now, false
	t.sends++
	t.runs++
	t.pending = max(t.Prompt-c.cached, 0)
	t.ahead = n.backlog
	t.tokens = t.Prompt + t.Output
	t.expected = c.ready
	n.start(now, t)
	s.load.prompt += t.pending
	f.actions = append(f.actions, Grant{
		Ticket: t.ID, Upstream: n.Announcement, Attempt: t.sends, Cached: c.cached, Waits: c.wait,
	})
}

// Progress notes that bytes of the ticket's answer came.
func (f *Fleet) Progress(now clock.Instant, id uint64) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	t.node.progress = now
	if t.began {
		return nil
	}
	t.began = true
	s := f.service(t.Service)
	t.node.began(t)
	t.node.measure(now-t.started, t.expected)
	s.learnPrefill(now, t)
	f.pump(now, s)
	return f.take()
}

// learnPrefill measures the reading speed where it dominates the time to the
// first token.
func (s *service) learnPrefill(now clock.Instant, t *ticket) {
	const (
		least  = 4000
		weight = 0.05
		fixed  = 20 * time.Millisecond
	)
	read := t.pending + t.ahead
	ms := float64(now-t.started-fixed) / float64(time.Millisecond)
	if t.pending < least || ms <= 1 {
		return
	}
	speed := min(max(float64(read)/ms, initialPrefill/10), initialPrefill*10)
	s.prefill += weight * (speed - s.prefill)
}

// Finish ends a ticket that was answered in full; success tells whether the
// answer was one, and inTime whether its caller was served within the target.
func (f *Fleet) Finish(now clock.Instant, id uint64, success, inTime bool) []Action {
	t, ok := f.tickets[id]
	if !ok {
		return nil
	}
	s := f.service(t.Service)
	if t.state == running {
		const weight = 0.05
		t.node.end(now, t)
		s.hold += time.Duration(weight * float64(now-t.started-s.hold))
		s.outcome(t.node, success)
		if success {
			t.node.succeeded()
		}
	}
	s.load.finish(inTime)
	delete(f.suspects, t.Fingerprint)
	f.drop(s, t)
	f.pump(now, s)
	return f.take()
}

// outcome keeps the share of failed answers, of the node and of the service.
func (s *service) outcome(n *node, success bool) {
	failed := 1.0
	if success {
		failed = 0
	}
	const nodeWeight, serviceWeight = 0.1, 0.02
	n.failures += nodeWeight * (failed - n.failures)
	s.failures += serviceWeight * (failed - s.failures)
}

// Withdraw ends a ticket whose caller is gone or whose time is over.
func (f *Fleet) Withdraw(now clock.Instant, id uint64) []Action {
	t, ok := f.tickets[id]
	if !ok {
		return nil
	}
	s := f.service(t.Service)
	if t.state == running {
		t.node.end(now, t)
	}
	f.drop(s, t)
	f.pump(now, s)
	return f.take()
}

func (f *Fleet) drop(s *service, t *ticket) {
	if t.state == waiting {
		f.dequeue(s, t)
	}
	delete(f.tickets, t.ID)
}

func (f *Fleet) refuse(t *ticket, err *result.Error) {
	delete(f.tickets, t.ID)
	f.actions = append(f.actions, Refuse{Ticket: t.ID, Err: err})
}

func (f *Fleet) take() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Stalled reports whether a running ticket should be taken elsewhere: its
// upstream has sent nothing to any of its callers here for the time, and
// another upstream may run it. Without one a late answer is better than none.
func (f *Fleet) Stalled(now clock.Instant, id uint64, patience time.Duration) bool {
	t, ok := f.tickets[id]
	if !ok || t.state != running || now-max(t.node.progress, t.started) <= patience {
		return false
	}
	s := f.service(t.Service)
	others := 0
	for _, n := range s.nodes {
		if n != t.node && n.usable(now) && !t.hasTried(n.ID) {
			others++
		}
	}
	return others > 0 && t.Repeatable && t.runs < t.Attempts && s.budget.Left() >= 1
}

// anyKnown reports whether any upstream serves, even if work is kept from it
// for a moment.
func (s *service) anyKnown() bool {
	for _, n := range s.nodes {
		if n.serves() {
			return true
		}
	}
	return false
}

// Open is the number of tickets.
func (f *Fleet) Open() int { return len(f.tickets) }
