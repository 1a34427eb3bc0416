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

// Speeds of the engine fake.
const (
	prefillTime = 200 * time.Microsecond
	decodeTime  = 30 * time.Millisecond
	slots       = 8
	// reportLag is the time between two load reports.
	reportLag = 500 * time.Millisecond
	lease     = 2 * time.Second
)

// request is one arrival of a trace.
type request struct {
	id       uint64
	at       clock.Instant
	entry    int
	rank     int
	caller   string
	weight   float64
	prefixes []uint64
	prompt   int
	tokens   int

	started    clock.Instant
	firstToken clock.Instant
	finished   clock.Instant
	refused    bool
	// recomputed are tokens that were computed a second time.
	recomputed int
	attempt    int
	// on is where the request runs; base, first and emitted tell how far.
	on            *engine
	first         clock.Instant
	base, emitted int
}

// cost is the work of a request as the entry estimates it.
func (r *request) cost() float64 { return float64(r.tokens) + 0.1*float64(r.prompt) }

// policy is what decides for one entry.
type policy interface {
	announce(now clock.Instant, a upstream.Announcement) []dispatch.Action
	submit(now clock.Instant, r *request) []dispatch.Action
	finish(now clock.Instant, id uint64) []dispatch.Action
	move(now clock.Instant, id uint64, failure retry.Failure) []dispatch.Action
	tick(now clock.Instant) []dispatch.Action
}

// engine is a fake with slots, a queue by priority and a prefix cache.
type engine struct {
	upstream.Announcement
	running map[uint64]bool
	queue   []*request
	cache   *cache
	gone    bool
}

// event is something that happens at an instant.
type event struct {
	at   clock.Instant
	turn int
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet drives policies against engine fakes on a virtual clock.
type fleet struct {
	now      clock.Instant
	turn     int
	queue    events
	entries  []policy
	engines  []*engine
	requests map[uint64]*request
}

func newFleet(entries []policy, engines int, zones []string) *fleet {
	f := &fleet{entries: entries, requests: map[uint64]*request{}}
	for i := range engines {
		e := &engine{
			Announcement: upstream.Announcement{
				ID: fmt.Sprintf("engine-%02d", i), Incarnation: 1, Zone: zones[i%len(zones)], Class: "small",
				Address: netip.MustParseAddrPort("127.0.0.1:1"), Kind: service.Model, Models: []string{"rota-7b"},
				Lease: lease, Slots: slots,
			},
			running: map[uint64]bool{},
			cache:   newCache(),
		}
		f.engines = append(f.engines, e)
		f.report(e)
	}
	for _, p := range entries {
		f.tick(p)
	}
	return f
}

func (f *fleet) at(t clock.Instant, do func()) {
	f.turn++
	heap.Push(&f.queue, event{t, f.turn, do})
}

func (f *fleet) run(until clock.Instant) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

// report announces an engine's load, again and again.
func (f *fleet) report(e *engine) {
	if e.gone || e.Leaving {
		return
	}
	e.Sequence++
	e.Load = upstream.Load{Running: len(e.running), Queued: len(e.queue)}
	for _, p := range f.entries {
		f.act(p, p.announce(f.now, e.Announcement))
	}
	f.at(f.now+reportLag, func() { f.report(e) })
}

func (f *fleet) tick(p policy) {
	f.act(p, p.tick(f.now))
	f.at(f.now+20*time.Millisecond, func() { f.tick(p) })
}

// arrive feeds a trace.
func (f *fleet) arrive(trace []*request) {
	for _, r := range trace {
		f.requests[r.id] = r
		f.at(r.at, func() {
			p := f.entries[r.entry]
			f.act(p, p.submit(f.now, r))
		})
	}
}

func (f *fleet) act(p policy, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Grant:
			f.start(f.engine(a.Upstream.ID), f.requests[a.Ticket])
		case dispatch.Refuse:
			f.requests[a.Ticket].refused = true
		case dispatch.UpstreamLeaving:
			f.at(f.now, func() { f.evacuate(p, f.requests[a.Ticket]) })
		}
	}
}

// reclaim takes an engine away with a notice, or without one.
func (f *fleet) reclaim(e *engine, notice time.Duration) {
	if notice > 0 {
		e.Sequence++
		e.Leaving, e.Notice = true, notice
		for _, p := range f.entries {
			f.act(p, p.announce(f.now, e.Announcement))
		}
	}
	f.at(f.now+notice, func() {
		e.gone = true
		for id := range e.running {
			f.evacuate(f.entries[f.requests[id].entry], f.requests[id])
		}
	})
}

// evacuate gives the running attempt up and has the rest run elsewhere.
func (f *fleet) evacuate(p policy, r *request) {
	if r.finished > 0 || r.on == nil || !r.on.running[r.id] {
		return
	}
	delete(r.on.running, r.id)
	r.attempt++
	if r.firstToken > 0 {
		r.emitted = min(r.base+1+int((f.now-r.first)/decodeTime), r.tokens-1)
	}
	f.act(p, p.move(f.now, r.id, retry.Reclaimed))
}

func (f *fleet) engine(id string) *engine {
	for _, e := range f.engines {
		if e.ID == id {
			return e
		}
	}
	panic(id)
}

// start runs a request at an engine, or queues it there by priority.
func (f *fleet) start(e *engine, r *request) {
	r.attempt++
	if e.gone {
		p := f.entries[r.entry]
		f.at(f.now+time.Millisecond, func() { f.act(p, p.move(f.now, r.id, retry.NotSent)) })
		return
	}
	if len(e.running) >= e.Slots {
		e.queue = append(e.queue, r)
		return
	}
	f.compute(e, r)
}

func (f *fleet) compute(e *engine, r *request) {
	e.running[r.id] = true
	uncached := e.cache.use(r.prefixes, r.prompt) + r.emitted
	r.on, r.base = e, r.emitted
	if r.started == 0 {
		r.started = f.now
	}
	r.recomputed += uncached
	first := f.now + time.Duration(uncached)*prefillTime + decodeTime
	end := first + time.Duration(r.tokens-1-r.emitted)*decodeTime
	r.first = first
	attempt := r.attempt
	f.at(first, func() {
		if r.attempt == attempt && r.firstToken == 0 && !e.gone {
			r.firstToken = f.now
		}
	})
	f.at(end, func() {
		if r.attempt == attempt && !e.gone {
			f.end(e, r)
		}
	})
}

func (f *fleet) end(e *engine, r *request) {
	r.finished = f.now
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
		f.compute(e, q)
	}
	p := f.entries[r.entry]
	f.act(p, p.finish(f.now, r.id))
}

// cache is a prefix cache of limited size, with the least recently used block
// going first.
type cache struct {
	blocks map[uint64]int
	turn   int
	size   int
}

const cacheBlocks = 2048

func newCache() *cache { return &cache{blocks: map[uint64]int{}, size: cacheBlocks} }

// use caches a prompt and returns the tokens that were not cached.
func (c *cache) use(prefixes []uint64, prompt int) int {
	uncached := prompt
	for _, p := range prefixes {
		if _, ok := c.blocks[p]; ok {
			uncached -= route.BlockTokens
		}
		c.turn++
		c.blocks[p] = c.turn
	}
	for len(c.blocks) > c.size {
		oldest, least := uint64(0), c.turn+1
		for p, turn := range c.blocks {
			if turn < least {
				oldest, least = p, turn
			}
		}
		delete(c.blocks, oldest)
	}
	return max(uncached, 0)
}
