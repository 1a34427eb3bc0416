package fleet

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Figures of an emulated engine. The prefill rate, in tokens per millisecond,
// and the step time of a small batch are from published data sheets; the step
// time that each further request adds is assumed.
const (
	enginePrefillRate        = 56.9
	engineStepTime           = 3090 * time.Microsecond
	engineStepTimePerRequest = 30 * time.Microsecond
	engineSlots              = 64
	engineMemory             = 560_000
)

// requestKind is one kind of request of an emulated load, with its results. A
// prompt has three parts: one common to the kind, one of its documents, and one
// of its own. documentTokens, ownTokens and outputTokens are means. idBase is the
// ID of the common part, and the IDs of the documents follow it.
type requestKind struct {
	perSecond                 float64
	rank                      int
	target                    time.Duration
	commonTokens              int
	documents                 int
	documentTokens, ownTokens int
	outputTokens              int
	idBase                    uint64
	late, answered            int
	firstTokens               []time.Duration
	// crashes says that an engine crashes as it begins to answer such a request,
	// and commonID, if it isn't 0, replaces the ID of the common part.
	crashes  bool
	commonID uint64
	// same says that all requests are one that comes again and has no prompt, burst
	// how many of them come at once, and crashAfter how long each runs before the
	// upstream crashes.
	same       bool
	burst      int
	crashAfter time.Duration
	// arrivals counts the requests, and started those whose first attempt
	// reached an engine. received are the times at which engines received one.
	arrivals, started int
	received          []clock.Instant
	// quarantined counts the requests that were refused as quarantined.
	quarantined int
}

// restartTime is how long a crashed engine is down.
const restartTime = 3 * second

// emulation runs entries, each with its own Fleet, on a virtual clock against
// engines that prefill prompts one after the other and cache their prefixes.
type emulation struct {
	now     clock.Instant
	random  *rand.Rand
	entries []*Fleet
	engines map[string]*engine
	events  events
	tickets map[uint64]*emulatedTicket
	kinds   []*requestKind
	lastID  uint64
	// sharedTokens are the prompt tokens that aren't a request's own, and
	// recomputedTokens those of them that were computed though some engine had
	// computed them before. computed holds the hashes of the computed prefixes.
	sharedTokens, recomputedTokens int
	computed                       map[uint64]bool
	refused                        int
	// onRun, if set, is called before an engine begins a request.
	onRun func(t *emulatedTicket, n *engine)
	// crashes are the times at which an engine crashed.
	crashes []clock.Instant
}

// engine is an emulated engine. lastUsed and tokens describe the cached prompt
// parts by prefix hash.
type engine struct {
	prefillFreeAt clock.Instant
	running       int
	lastUsed      map[uint64]clock.Instant
	tokens        map[uint64]int
	totalTokens   int
	member        upstream.Member
	downUntil     clock.Instant
	tickets       map[uint64]*emulatedTicket
	// limit is the limit in requests per second that answers name; 0 if none.
	limit float64
	// received are the times of the requests.
	received []clock.Instant
	// leaving says that answers say that the engine leaves. Until closedUntil it turns all
	// requests away, and says for how long. told are the times at which each entry heard
	// either first, receivedFrom those of its requests after that.
	leaving     bool
	closedUntil clock.Instant
	told        map[*Fleet]clock.Instant
	// pace returns the factor by which the engine is slower than usual; nil if it isn't.
	pace         func(now clock.Instant) float64
	receivedFrom map[*Fleet][]clock.Instant
}

// tell records that the entry hears a notice now.
func (n *engine) tell(now clock.Instant, f *Fleet) {
	if _, ok := n.told[f]; !ok {
		n.told[f] = now
	}
}

type emulatedTicket struct {
	Ticket
	kind      *requestKind
	entry     *Fleet
	arrivedAt clock.Instant
	// attempts counts the grants.
	attempts int
}

type event struct {
	at clock.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newEmulation(seed uint64, entries, engines int, kinds ...*requestKind) *emulation {
	e := &emulation{
		now: second, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
		tickets: map[uint64]*emulatedTicket{}, kinds: kinds, computed: map[uint64]bool{},
	}
	zones := []string{"a", "b", "c", "d"}
	var members []upstream.Member
	for i := range engines {
		m := member(fmt.Sprint("u", i), uint16(i+1), 1)
		m.Zone, m.Slots = zones[i%len(zones)], engineSlots
		members = append(members, m)
		e.engines[m.ID] = &engine{member: m, lastUsed: map[uint64]clock.Instant{}, tokens: map[uint64]int{}, tickets: map[uint64]*emulatedTicket{}, told: map[*Fleet]clock.Instant{}, receivedFrom: map[*Fleet][]clock.Instant{}}
	}
	for i := range entries {
		f := New(Options{Zone: zones[i%len(zones)], RetryRatio: 0.2, RetrySlack: 50, Entries: entries, DrainWithin: drainTime, Random: e.random.Float64})
		f.SetConfig(e.now, &config.Revision{Services: []config.Service{{Name: "s", Engine: &config.Engine{Slots: engineSlots, MemoryTokens: engineMemory}}}})
		f.Merge(e.now, members)
		e.entries = append(e.entries, f)
	}
	for i, k := range kinds {
		k.idBase = uint64(i+1) << 32
		e.scheduleArrivals(k)
	}
	e.scheduleWorkReports()
	leader, board := suspect.New(), limit.NewBoard()
	for i := range e.entries {
		e.scheduleReport(i, leader, board)
	}
	return e
}

// scheduleReport exchanges evidence and limits of an entry with the leader, about
// three times a second.
func (e *emulation) scheduleReport(i int, leader *suspect.Ledger, board *limit.Board) {
	const delay = 2 * time.Millisecond
	f, name := e.entries[i], fmt.Sprint("entry-", i)
	e.schedule(time.Duration((0.9+0.2*e.random.Float64())*float64(300*time.Millisecond)), func() {
		report, limits := f.Evidence(e.now), f.Limits(e.now)
		e.schedule(delay, func() {
			leader.Merge(e.now, report)
			board.Observe(e.now, limits)
			reply, shares := leader.Shared(e.now, report), board.Shares(e.now, name, func() []limit.Entry {
				var all []limit.Entry
				for j, other := range e.entries {
					all = append(all, limit.Entry{Name: fmt.Sprint("entry-", j), Zone: other.options.Zone, Arrivals: map[string]float64{"s": 1}})
				}
				return all
			})
			e.schedule(delay, func() {
				f.SetLimits(e.now, shares)
				e.execute(f, f.MergeEvidence(e.now, reply))
			})
		})
		e.scheduleReport(i, leader, board)
	})
}

func (e *emulation) schedule(d time.Duration, do func()) { heap.Push(&e.events, event{e.now + d, do}) }

func (e *emulation) scheduleArrivals(k *requestKind) {
	e.schedule(time.Duration(e.random.ExpFloat64()/k.perSecond*float64(second)), func() {
		for range max(k.burst, 1) {
			e.arrive(k)
		}
		e.scheduleArrivals(k)
	})
}

// scheduleWorkReports reports to each entry the work of the others, about three
// times a second as the leader does.
func (e *emulation) scheduleWorkReports() {
	e.schedule(300*time.Millisecond, func() {
		for _, f := range e.entries {
			sum := map[string]Work{}
			for _, other := range e.entries {
				if other == f {
					continue
				}
				for id, b := range other.Work() {
					s := sum[id]
					s.Running, s.BacklogTokens, s.MemoryTokens = s.Running+b.Running, s.BacklogTokens+b.BacklogTokens, s.MemoryTokens+b.MemoryTokens
					sum[id] = s
				}
			}
			f.SetOtherWork(e.now, OtherWork{ByUpstream: sum})
		}
		e.scheduleWorkReports()
	})
}

func (e *emulation) arrive(k *requestKind) {
	e.lastID++
	around := func(mean int) int { return 1 + mean/2 + e.random.IntN(mean+1) }
	document := k.idBase + 1 + uint64(e.random.IntN(k.documents))
	// The size is the same for each request of a document.
	size := 1 + k.documentTokens/2 + int(mixHash(document)%uint64(k.documentTokens+1))
	common := k.idBase
	if k.commonID != 0 {
		common = k.commonID
	}
	parts := []call.PromptPart{{ID: common, Tokens: k.commonTokens}, {ID: document, Tokens: size}, {ID: 1<<60 + e.lastID, Tokens: around(k.ownTokens)}}
	t := Ticket{
		ID: e.lastID, Service: "s", Rank: k.rank, MaxRuns: 2, Target: k.target, Deadline: e.now + 15*second,
		PromptTokens: parts[0].Tokens + parts[1].Tokens + parts[2].Tokens, OutputTokens: around(k.outputTokens), PromptParts: parts, Fingerprint: e.lastID,
	}
	if k.same {
		t.Fingerprint, t.Repeatable, t.PromptTokens, t.OutputTokens, t.PromptParts = k.idBase, true, 0, 0, nil
	}
	f := e.entries[e.random.IntN(len(e.entries))]
	k.arrivals++
	e.tickets[t.ID] = &emulatedTicket{Ticket: t, kind: k, entry: f, arrivedAt: e.now}
	e.execute(f, f.Submit(e.now, t))
}

func (e *emulation) execute(f *Fleet, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			e.run(e.tickets[a.Ticket], e.engines[a.Upstream.ID])
		case Refuse:
			e.refused++
			if t := e.tickets[a.Ticket]; a.Err.Code == result.Suspected {
				t.kind.quarantined++
			}
			delete(e.tickets, a.Ticket)
		case Probe:
			n, u := e.engines[a.Upstream.ID], a.Upstream
			e.schedule(ProbeDelay, func() {
				e.execute(f, f.Probed(e.now, u.ID, u.Incarnation, e.now < n.downUntil))
			})
		}
	}
}

// run prefills the uncached parts after the engine's backlog, and then
// generates the answer.
func (e *emulation) run(t *emulatedTicket, n *engine) {
	t.attempts++
	if e.now < n.downUntil {
		e.fail(t, 2*time.Millisecond, retry.NotSent)
		return
	}
	if t.attempts == 1 {
		t.kind.started++
	}
	t.kind.received = append(t.kind.received, e.now)
	n.received = append(n.received, e.now)
	if _, ok := n.told[t.entry]; ok {
		n.receivedFrom[t.entry] = append(n.receivedFrom[t.entry], e.now)
	}
	if e.onRun != nil {
		e.onRun(t, n)
	}
	pace := 1.0
	if n.pace != nil {
		pace = n.pace(e.now)
	}
	attempt := t.attempts
	if after := n.closedUntil - e.now; after > 0 {
		e.schedule(2*time.Millisecond, func() {
			if e.tickets[t.ID] == t && t.attempts == attempt {
				n.tell(e.now, t.entry)
				e.execute(t.entry, t.entry.Told(e.now, t.ID, Notice{RetryAfter: after}))
				e.execute(t.entry, t.entry.Failed(e.now, t.ID, retry.Refused))
			}
		})
		return
	}
	n.tickets[t.ID] = t
	n.running++
	start := max(e.now, n.prefillFreeAt)
	uncached, cached, previous := 0, true, 0
	eachPrefix(t.PromptParts, func(hash uint64, tokens int) bool {
		partTokens := tokens - previous
		previous = tokens
		isOwn := tokens == t.PromptTokens
		_, found := n.lastUsed[hash]
		cached = cached && found
		if !isOwn {
			e.sharedTokens += partTokens
		}
		if !cached {
			uncached += partTokens
			if !isOwn && e.computed[hash] {
				e.recomputedTokens += partTokens
			}
			e.computed[hash] = true
		}
		n.addToCache(start, hash, partTokens)
		return true
	})
	n.prefillFreeAt = start + time.Duration(pace*float64(uncached)/enginePrefillRate*float64(time.Millisecond))
	untilFirstToken := n.prefillFreeAt + time.Duration(pace*float64(engineStepTime)) + t.kind.crashAfter - e.now
	e.schedule(untilFirstToken, func() {
		if n.tickets[t.ID] != t || t.attempts != attempt {
			return
		}
		if t.kind.crashes {
			e.crash(n)
			return
		}
		wait := e.now - t.arrivedAt
		t.kind.answered++
		t.kind.firstTokens = append(t.kind.firstTokens, wait)
		if wait > t.kind.target {
			t.kind.late++
		}
		e.execute(t.entry, t.entry.Named(e.now, t.ID, n.limit, n.limit > 0))
		if n.leaving {
			n.tell(e.now, t.entry)
			e.execute(t.entry, t.entry.Told(e.now, t.ID, Notice{Leaving: true}))
		}
		e.execute(t.entry, t.entry.Progress(e.now, t.ID))
		perToken := time.Duration(pace * float64(engineStepTime+time.Duration(n.running)*engineStepTimePerRequest))
		e.schedule(time.Duration(t.OutputTokens)*perToken, func() {
			if n.tickets[t.ID] != t || t.attempts != attempt {
				return
			}
			n.running--
			delete(n.tickets, t.ID)
			delete(e.tickets, t.ID)
			e.execute(t.entry, t.entry.Finish(e.now, t.ID, true, wait <= t.kind.target))
		})
	})
}

// fail ends the ticket's attempt after the delay.
func (e *emulation) fail(t *emulatedTicket, delay time.Duration, failure retry.Failure) {
	attempt := t.attempts
	e.schedule(delay, func() {
		if e.tickets[t.ID] == t && t.attempts == attempt {
			e.execute(t.entry, t.entry.Failed(e.now, t.ID, failure))
		}
	})
}

// crash breaks off all requests of the engine, which comes back as a new one
// after restartTime.
func (e *emulation) crash(n *engine) {
	e.crashes = append(e.crashes, e.now)
	n.downUntil = e.now + restartTime
	for _, id := range slices.Sorted(maps.Keys(n.tickets)) {
		t := n.tickets[id]
		delete(n.tickets, id)
		e.fail(t, time.Millisecond, retry.Broken)
	}
	n.running, n.prefillFreeAt, n.totalTokens = 0, 0, 0
	clear(n.lastUsed)
	clear(n.tokens)
	e.schedule(restartTime, func() {
		n.member.Incarnation++
		for _, f := range e.entries {
			e.execute(f, f.Merge(e.now, []upstream.Member{n.member}))
		}
	})
}

// addToCache caches a part and evicts the least recently used ones.
func (n *engine) addToCache(now clock.Instant, hash uint64, tokens int) {
	if _, ok := n.lastUsed[hash]; !ok {
		n.tokens[hash] = tokens
		n.totalTokens += tokens
	}
	n.lastUsed[hash] = now
	for n.totalTokens > engineMemory {
		oldest, oldestUse := uint64(0), clock.Instant(1<<62)
		for h, used := range n.lastUsed {
			if used < oldestUse || used == oldestUse && h < oldest {
				oldest, oldestUse = h, used
			}
		}
		n.totalTokens -= n.tokens[oldest]
		delete(n.lastUsed, oldest)
		delete(n.tokens, oldest)
	}
}

// simulate runs the emulation and drops the figures of the warm-up.
func (e *emulation) simulate(warmUp, duration time.Duration) {
	for _, until := range []clock.Instant{e.now + warmUp, e.now + warmUp + duration} {
		e.sharedTokens, e.recomputedTokens, e.refused = 0, 0, 0
		for _, k := range e.kinds {
			k.late, k.answered, k.firstTokens = 0, 0, nil
			k.arrivals, k.started, k.quarantined = 0, 0, 0
		}
		for e.events[0].at < until {
			next := heap.Pop(&e.events).(event)
			e.now = next.at
			next.do()
		}
		e.now = until
	}
}

// simulateUntilCrashes simulates steps until so many engines have crashed, or the time
// is up.
func (e *emulation) simulateUntilCrashes(crashes int, until clock.Instant, step time.Duration) {
	for len(e.crashes) < crashes && e.now < until {
		e.simulate(0, step)
	}
}

// receivedAfter is the number of requests that reached an engine later.
func (k *requestKind) receivedAfter(at clock.Instant) int {
	return len(slices.DeleteFunc(slices.Clone(k.received), func(received clock.Instant) bool { return received <= at }))
}

// percentile returns a percentile of the times to the first token.
func (k *requestKind) percentile(fraction float64) time.Duration {
	slices.Sort(k.firstTokens)
	return k.firstTokens[int(fraction*float64(len(k.firstTokens)-1))]
}
