// Package measure compares the daemon's scheduling with baselines and targets
// in a simulated fleet of inference engines on a virtual clock, and measures
// the speed, memory, processor time and network traffic of the daemon's parts.
// A policy schedules the requests of one entry; an entry accepts callers'
// requests and an engine (an upstream) runs them.
package measure

import (
	"container/heap"
	"fmt"
	"net/netip"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Properties of a simulated engine. prefillTime is per prompt token, decodeTime
// per generated token.
const (
	prefillTime        = 200 * time.Microsecond
	decodeTime         = 30 * time.Millisecond
	slotsPerEngine     = 8
	loadReportInterval = 500 * time.Millisecond
	engineLease        = 2 * time.Second
)

// request is one request of a trace, with its progress in the simulation.
type request struct {
	id           uint64
	arrivedAt    clock.Instant
	entry        int
	rank         int
	caller       string
	weight       float64
	prefixes     []uint64
	promptTokens int
	outputTokens int

	startedAt    clock.Instant
	firstTokenAt clock.Instant
	finishedAt   clock.Instant
	refused      bool
	// prefilledTokens counts the uncached prompt tokens of all attempts, and the
	// output tokens that a later attempt prefilled to resume.
	prefilledTokens int
	// attempt changes with each start and evacuation; events that were scheduled
	// for an earlier attempt have no effect.
	attempt int
	// engine runs the last attempt, whose first token comes at
	// attemptFirstTokenAt. Earlier attempts emitted emittedBefore tokens; emitted
	// is the total at the last evacuation.
	engine                 *engine
	attemptFirstTokenAt    clock.Instant
	emittedBefore, emitted int
}

// cost is the work of a request as the entry estimates it, in output tokens.
func (r *request) cost() float64 { return float64(r.outputTokens) + 0.1*float64(r.promptTokens) }

// policy schedules the requests of one entry: the fleet reports events to it
// and performs the actions that it returns.
type policy interface {
	announce(now clock.Instant, a upstream.Announcement) []dispatch.Action
	submit(now clock.Instant, r *request) []dispatch.Action
	finish(now clock.Instant, id uint64) []dispatch.Action
	move(now clock.Instant, id uint64, failure retry.Failure) []dispatch.Action
	tick(now clock.Instant) []dispatch.Action
}

// engine is a simulated inference engine with slots, a queue by rank and a
// prefix cache.
type engine struct {
	upstream.Announcement
	running map[uint64]bool
	queue   []*request
	cache   *prefixCache
	ended   bool
}

// event is a function to run at an instant; events of one instant run by
// sequence.
type event struct {
	at       clock.Instant
	sequence int
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet simulates engines and the entries' policies on a virtual clock.
type fleet struct {
	now          clock.Instant
	lastSequence int
	events       eventQueue
	entries      []policy
	engines      []*engine
	requests     map[uint64]*request
}

func newFleet(entries []policy, engines int, zones []string) *fleet {
	f := &fleet{entries: entries, requests: map[uint64]*request{}}
	for i := range engines {
		e := &engine{
			Announcement: upstream.Announcement{
				ID: fmt.Sprintf("engine-%02d", i), Incarnation: 1, Zone: zones[i%len(zones)], Class: "small",
				Address: netip.MustParseAddrPort("127.0.0.1:1"), Kind: service.Model, Models: []string{"rota-7b"},
				Lease: engineLease, Slots: slotsPerEngine,
			},
			running: map[uint64]bool{},
			cache:   newPrefixCache(),
		}
		f.engines = append(f.engines, e)
		f.reportLoad(e)
	}
	for _, p := range entries {
		f.tick(p)
	}
	return f
}

func (f *fleet) schedule(at clock.Instant, run func()) {
	f.lastSequence++
	heap.Push(&f.events, event{at, f.lastSequence, run})
}

func (f *fleet) run(until clock.Instant) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

// reportLoad announces an engine's load to every entry, and repeats itself until
// the engine leaves.
func (f *fleet) reportLoad(e *engine) {
	if e.ended || e.Leaving {
		return
	}
	e.Sequence++
	e.Load = upstream.Load{Running: len(e.running), Queued: len(e.queue)}
	for _, p := range f.entries {
		f.perform(p, p.announce(f.now, e.Announcement))
	}
	f.schedule(f.now+loadReportInterval, func() { f.reportLoad(e) })
}

func (f *fleet) tick(p policy) {
	f.perform(p, p.tick(f.now))
	f.schedule(f.now+20*time.Millisecond, func() { f.tick(p) })
}

// submitTrace schedules the arrival of each request of a trace.
func (f *fleet) submitTrace(trace []*request) {
	for _, r := range trace {
		f.requests[r.id] = r
		f.schedule(r.arrivedAt, func() {
			p := f.entries[r.entry]
			f.perform(p, p.submit(f.now, r))
		})
	}
}

func (f *fleet) perform(p policy, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Grant:
			f.start(f.engineByID(a.Upstream.ID), f.requests[a.Ticket])
		case dispatch.Refuse:
			f.requests[a.Ticket].refused = true
		case dispatch.UpstreamLeaving:
			f.schedule(f.now, func() { f.evacuate(p, f.requests[a.Ticket]) })
		}
	}
}

// reclaim ends an engine after the notice; with notice 0 it ends unannounced.
func (f *fleet) reclaim(e *engine, notice time.Duration) {
	if notice > 0 {
		e.Sequence++
		e.Leaving, e.Notice = true, notice
		for _, p := range f.entries {
			f.perform(p, p.announce(f.now, e.Announcement))
		}
	}
	f.schedule(f.now+notice, func() {
		e.ended = true
		for id := range e.running {
			f.evacuate(f.entries[f.requests[id].entry], f.requests[id])
		}
	})
}

// evacuate stops the running attempt and has the policy run the rest elsewhere.
func (f *fleet) evacuate(p policy, r *request) {
	if r.finishedAt > 0 || r.engine == nil || !r.engine.running[r.id] {
		return
	}
	delete(r.engine.running, r.id)
	r.attempt++
	if r.firstTokenAt > 0 {
		r.emitted = min(r.emittedBefore+1+int((f.now-r.attemptFirstTokenAt)/decodeTime), r.outputTokens-1)
	}
	f.perform(p, p.move(f.now, r.id, retry.Reclaimed))
}

func (f *fleet) engineByID(id string) *engine {
	for _, e := range f.engines {
		if e.ID == id {
			return e
		}
	}
	panic(id)
}

// start runs a request at an engine, or queues it there if all slots are taken.
func (f *fleet) start(e *engine, r *request) {
	r.attempt++
	if e.ended {
		p := f.entries[r.entry]
		f.schedule(f.now+time.Millisecond, func() { f.perform(p, p.move(f.now, r.id, retry.NotSent)) })
		return
	}
	if len(e.running) >= e.Slots {
		e.queue = append(e.queue, r)
		return
	}
	f.execute(e, r)
}

func (f *fleet) execute(e *engine, r *request) {
	e.running[r.id] = true
	uncached := e.cache.use(r.prefixes, r.promptTokens) + r.emitted
	r.engine, r.emittedBefore = e, r.emitted
	if r.startedAt == 0 {
		r.startedAt = f.now
	}
	r.prefilledTokens += uncached
	attemptFirst := f.now + time.Duration(uncached)*prefillTime + decodeTime
	end := attemptFirst + time.Duration(r.outputTokens-1-r.emitted)*decodeTime
	r.attemptFirstTokenAt = attemptFirst
	attempt := r.attempt
	f.schedule(attemptFirst, func() {
		if r.attempt == attempt && r.firstTokenAt == 0 && !e.ended {
			r.firstTokenAt = f.now
		}
	})
	f.schedule(end, func() {
		if r.attempt == attempt && !e.ended {
			f.finish(e, r)
		}
	})
}

func (f *fleet) finish(e *engine, r *request) {
	r.finishedAt = f.now
	delete(e.running, r.id)
	if len(e.queue) > 0 {
		next := 0
		for i, q := range e.queue {
			if q.rank < e.queue[next].rank {
				next = i
			}
		}
		q := e.queue[next]
		e.queue = append(e.queue[:next], e.queue[next+1:]...)
		f.execute(e, q)
	}
	p := f.entries[r.entry]
	f.perform(p, p.finish(f.now, r.id))
}

// prefixCache holds up to maxBlocks blocks of prompts, and evicts the least
// recently used one first. blocks maps a block's hash to its last use, counted
// by lastUse.
type prefixCache struct {
	blocks    map[uint64]int
	lastUse   int
	maxBlocks int
}

const maxCacheBlocks = 2048

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]int{}, maxBlocks: maxCacheBlocks}
}

// use adds a prompt's blocks to the cache and returns the number of prompt
// tokens that were not cached.
func (c *prefixCache) use(prefixes []uint64, promptTokens int) int {
	uncached := promptTokens
	for _, p := range prefixes {
		if _, ok := c.blocks[p]; ok {
			uncached -= route.BlockTokens
		}
		c.lastUse++
		c.blocks[p] = c.lastUse
	}
	for len(c.blocks) > c.maxBlocks {
		oldest, oldestUse := uint64(0), c.lastUse+1
		for p, used := range c.blocks {
			if used < oldestUse {
				oldest, oldestUse = p, used
			}
		}
		delete(c.blocks, oldest)
	}
	return max(uncached, 0)
}
