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
		s.budget.SetSaved(f.savedRetries(), first)
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
			budget:  retry.NewPart(f.options.RetryRatio*part, f.savedRetries()),
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

// saturated refuses a ticket that would wait for too long.
func (f *Fleet) saturated(s *service, t *ticket) *result.Error {
	return result.New(result.Saturated, result.RanNo, "%d requests wait for %q", len(s.queue), t.Service).WithRetry(s.expectedWait(t))
}

// tooLate tells how long a waiting ticket is expected to wait, and whether its
// target is missed then.
func (s *service) tooLate(now clock.Instant, t *ticket) (time.Duration, bool) {
	wait := s.expectedWait(t)
	return wait, now+wait > t.arrived+max(t.Target-minServe, minServe)
}

// minServe is the least part of a target that the upstream needs itself.
const minServe = 50 * time.Millisecond

// expectedWait is the time until the tickets ahead have started, from the
// measured time that a request holds its slot.
func (s *service) expectedWait(t *ticket) time.Duration {
	ahead, slots := 1, 0
	for _, q := range s.queue {
		if q.Rank <= t.Rank && q != t {
			ahead++
		}
	}
	for _, n := range s.nodes {
		if n.serves() {
			slots += n.Slots
		}
	}
	return s.hold * time.Duration(ahead) / time.Duration(max(slots, 1))
}

// enqueue keeps the queue in order of rank, then of arrival.
func (f *Fleet) enqueue(s *service, t *ticket) {
	t.state = waiting
	at := sort.Search(len(s.queue), func(i int) bool {
		q := s.queue[i]
		return q.Rank > t.Rank || q.Rank == t.Rank && q.arrived > t.arrived
	})
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = t
}

func (f *Fleet) dequeue(s *service, t *ticket) {
	for i, q := range s.queue {
		if q == t {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (f *Fleet) pumpAll(now clock.Instant) {
	for _, s := range f.services {
		f.pump(now, s)
	}
}

// pump grants upstreams to waiting tickets in their order. A ticket that finds
// no room doesn't hold up smaller ones.
func (f *Fleet) pump(now clock.Instant, s *service) {
	left := s.queue[:0]
	for _, t := range s.queue {
		if n, c := s.choose(now, f.options.Zone, t, f.entries); n != nil && s.inTime(now, t, c) {
			f.grant(now, s, t, n, c)
			continue
		}
		left = append(left, t)
	}
	for i := len(left); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = left
}

// inTime reports whether the ticket would still be served in time; one that
// moves goes anyway.
func (s *service) inTime(now clock.Instant, t *ticket, c cost) bool {
	if s.shape.Engine == nil || t.sends > 0 || t.Target <= 0 {
		return true
	}
	return now-t.arrived+c.ready <= time.Duration(lateFactor*float64(t.Target))
}

// lateFactor is how far above its target the expected time to the first token
// may lie: the expectation is rough.
const lateFactor = 1.3

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

// Failed looks for another upstream after a failed attempt. Without one it
// refuses the ticket.
func (f *Fleet) Failed(now clock.Instant, id uint64, how retry.Failure) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	s, n := f.service(t.Service), t.node
	n.end(now, t)
	n.failed(now, how, t.sends)
	if how == retry.Errored {
		s.outcome(n, false)
	}
	t.tried = append(t.tried, n.ID)
	t.mayHaveRun = t.mayHaveRun || how.Ran()
	if !how.Ran() {
		t.runs--
	}
	switch {
	case how == retry.Broken && !t.began:
		n.broken = append(n.broken, breakage{t.Fingerprint, now})
	case how == retry.NotSent:
		// The upstream is gone, and with it what broke off there just before.
		for _, b := range n.broken {
			if now-b.at < deathTime {
				f.died(now, b.fingerprint)
			}
		}
		n.broken = nil
	}
	t.state, t.node = waiting, nil
	if !f.mayMove(now, s, t, how) {
		f.refuse(t, t.lost(how))
		f.pump(now, s)
		return f.take()
	}
	f.enqueue(s, t)
	f.pump(now, s)
	if t.state == waiting && t.mayHaveRun {
		f.dequeue(s, t)
		f.refuse(t, t.lost(how))
	}
	return f.take()
}

// mayMove reports whether the ticket may go to another upstream, and takes the
// retry from the budget if it counts there.
func (f *Fleet) mayMove(now clock.Instant, s *service, t *ticket, how retry.Failure) bool {
	if f.quarantined(now, t.Fingerprint) || !retry.Allowed(how, t.Repeatable, t.sends) || (t.mayHaveRun && !t.Repeatable) {
		return false
	}
	if t.runs >= t.Attempts || !s.untried(now, t) {
		return false
	}
	return how == retry.NotSent || s.budget.Spend(now)
}

// untried reports whether a usable upstream is left that hasn't failed the
// ticket.
func (s *service) untried(now clock.Instant, t *ticket) bool {
	for _, n := range s.nodes {
		if n.usable(now) && !t.hasTried(n.ID) {
			return true
		}
	}
	return false
}

func (t *ticket) hasTried(id string) bool {
	for _, other := range t.tried {
		if other == id {
			return true
		}
	}
	return false
}

// lost is the answer to a ticket that isn't tried again.
func (t *ticket) lost(how retry.Failure) *result.Error {
	if t.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost after the request was sent")
	}
	const soon = 300 * time.Millisecond
	if how == retry.Refused {
		return result.New(result.UpstreamRefused, result.RanNo, "%d upstreams refused the request", t.sends).WithRetry(soon)
	}
	return result.New(result.Saturated, result.RanNo, "no upstream took the request").WithRetry(soon)
}

// died notes that an upstream was lost while it ran the request.
func (f *Fleet) died(now clock.Instant, fingerprint uint64) {
	k, ok := f.suspects[fingerprint]
	if !ok {
		k = &suspect{}
		f.suspects[fingerprint] = k
	}
	k.deaths++
	k.last = now
}

func (f *Fleet) quarantined(now clock.Instant, fingerprint uint64) bool {
	k, ok := f.suspects[fingerprint]
	return ok && k.deaths >= suspectDeaths && now-k.last < suspectTime
}

// Tick refuses tickets that waited for too long and starts what can start.
func (f *Fleet) Tick(now clock.Instant) []Action {
	for fingerprint, k := range f.suspects {
		if now-k.last > suspectTime {
			delete(f.suspects, fingerprint)
		}
	}
	for _, s := range f.services {
		f.pump(now, s)
		for _, t := range append([]*ticket(nil), s.queue...) {
			if _, late := s.tooLate(now, t); late || now >= t.Deadline {
				f.dequeue(s, t)
				f.refuse(t, f.saturated(s, t))
			}
		}
	}
	return f.take()
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

// Usable reports whether any service has a usable upstream.
func (f *Fleet) Usable(now clock.Instant) bool {
	for _, s := range f.services {
		if s.anyUsable(now) {
			return true
		}
	}
	return false
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

func (s *service) anyUsable(now clock.Instant) bool {
	for _, n := range s.nodes {
		if n.usable(now) {
			return true
		}
	}
	return false
}

// Open is the number of tickets.
func (f *Fleet) Open() int { return len(f.tickets) }
