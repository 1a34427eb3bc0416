package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Figures of an emulated engine, from published sheets: 56.9 prompt tokens are
// read in a millisecond, a step of a small batch takes 3.09 ms, and what each
// further request adds is assumed.
const (
	engineReads  = 56.9
	engineStep   = 3090 * time.Microsecond
	engineStepBy = 30 * time.Microsecond
	engineSlots  = 64
	engineMemory = 560_000
)

// kind is one kind of request of an emulated load.
type kind struct {
	perSecond      float64
	rank           int
	target         time.Duration
	common         int
	documents      int
	document, own  int
	output         int
	firstDocument  uint64
	late, answered int
	waits          []time.Duration
}

// emulation runs entries, each with a Fleet of its own, against engines that
// read prompts one after the other and keep what they read, on a virtual clock.
type emulation struct {
	now     clock.Instant
	random  *rand.Rand
	entries []*Fleet
	engines map[string]*engine
	events  events
	tickets map[uint64]*emulated
	kinds   []*kind
	next    uint64
	// shared and again are the tokens of shared parts that were asked for,
	// and those read again though an engine had read them.
	shared, again int
	read          map[uint64]bool
	refused       int
}

type engine struct {
	free    clock.Instant
	running int
	held    map[uint64]clock.Instant
	size    map[uint64]int
	sum     int
}

type emulated struct {
	Ticket
	kind  *kind
	entry *Fleet
	began clock.Instant
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

func newEmulation(seed uint64, entries, engines int, kinds ...*kind) *emulation {
	e := &emulation{
		now: second, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{},
		tickets: map[uint64]*emulated{}, kinds: kinds, read: map[uint64]bool{},
	}
	zones := []string{"a", "b", "c", "d"}
	var members []upstream.Member
	for i := range engines {
		m := member(fmt.Sprint("u", i), uint16(i+1), 1)
		m.Zone, m.Slots = zones[i%len(zones)], engineSlots
		members = append(members, m)
		e.engines[m.ID] = &engine{held: map[uint64]clock.Instant{}, size: map[uint64]int{}}
	}
	for i := range entries {
		f := New(Options{Zone: zones[i%len(zones)], RetryRatio: 0.2, RetrySlack: 50, Entries: entries})
		f.SetConfig(e.now, &config.Revision{Services: []config.Service{{Name: "s", Engine: &config.Engine{Slots: engineSlots, MemoryTokens: engineMemory}}}})
		f.Merge(e.now, members)
		e.entries = append(e.entries, f)
	}
	for i, k := range kinds {
		k.firstDocument = uint64(i+1) << 32
		e.arriveLater(k)
	}
	e.exchangeLater()
	return e
}

func (e *emulation) after(d time.Duration, do func()) { heap.Push(&e.events, event{e.now + d, do}) }

func (e *emulation) arriveLater(k *kind) {
	e.after(time.Duration(e.random.ExpFloat64()/k.perSecond*float64(second)), func() {
		e.arrive(k)
		e.arriveLater(k)
	})
}

// exchangeLater has the entries hear of each other's work, as the leader tells
// it three times a second.
func (e *emulation) exchangeLater() {
	e.after(300*time.Millisecond, func() {
		for _, f := range e.entries {
			sum := map[string]Busy{}
			for _, other := range e.entries {
				if other == f {
					continue
				}
				for id, b := range other.Busy() {
					s := sum[id]
					s.Running, s.Backlog, s.Tokens = s.Running+b.Running, s.Backlog+b.Backlog, s.Tokens+b.Tokens
					sum[id] = s
				}
			}
			f.SetOthers(Others{Busy: sum})
		}
		e.exchangeLater()
	})
}

func (e *emulation) arrive(k *kind) {
	e.next++
	spread := func(mean int) int { return 1 + mean/2 + e.random.IntN(mean+1) }
	document := k.firstDocument + 1 + uint64(e.random.IntN(k.documents))
	// A document has one size.
	size := 1 + k.document/2 + int(mix(document)%uint64(k.document+1))
	parts := []call.Part{{ID: k.firstDocument, Tokens: k.common}, {ID: document, Tokens: size}, {ID: 1<<60 + e.next, Tokens: spread(k.own)}}
	t := Ticket{
		ID: e.next, Service: "s", Rank: k.rank, Attempts: 2, Target: k.target, Deadline: e.now + 15*second,
		Prompt: parts[0].Tokens + parts[1].Tokens + parts[2].Tokens, Output: spread(k.output), Parts: parts, Fingerprint: e.next,
	}
	f := e.entries[e.random.IntN(len(e.entries))]
	e.tickets[t.ID] = &emulated{Ticket: t, kind: k, entry: f, began: e.now}
	e.act(f.Submit(e.now, t))
}

func (e *emulation) act(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			e.run(e.tickets[a.Ticket], e.engines[a.Upstream.ID])
		case Refuse:
			e.refused++
			delete(e.tickets, a.Ticket)
		}
	}
}

// run reads what the engine doesn't hold, behind what it reads already, and
// then generates the answer.
func (e *emulation) run(t *emulated, n *engine) {
	n.running++
	start := max(e.now, n.free)
	missing, hit, last := 0, true, 0
	chain(t.Parts, func(hash uint64, tokens int) bool {
		part := tokens - last
		last = tokens
		own := tokens == t.Prompt
		_, held := n.held[hash]
		hit = hit && held
		if !own {
			e.shared += part
		}
		if !hit {
			missing += part
			if !own && e.read[hash] {
				e.again += part
			}
			e.read[hash] = true
		}
		n.keep(start, hash, part)
		return true
	})
	n.free = start + time.Duration(float64(missing)/engineReads*float64(time.Millisecond))
	first := n.free + engineStep - e.now
	e.after(first, func() {
		wait := e.now - t.began
		t.kind.answered++
		t.kind.waits = append(t.kind.waits, wait)
		if wait > t.kind.target {
			t.kind.late++
		}
		e.act(t.entry.Progress(e.now, t.ID))
		pace := engineStep + time.Duration(n.running)*engineStepBy
		e.after(time.Duration(t.Output)*pace, func() {
			n.running--
			delete(e.tickets, t.ID)
			e.act(t.entry.Finish(e.now, t.ID, true, wait <= t.kind.target))
		})
	})
}

// keep holds a part, in place of those that were used least lately.
func (n *engine) keep(now clock.Instant, hash uint64, tokens int) {
	if _, ok := n.held[hash]; !ok {
		n.size[hash] = tokens
		n.sum += tokens
	}
	n.held[hash] = now
	for n.sum > engineMemory {
		oldest, at := uint64(0), clock.Instant(1<<62)
		for h, used := range n.held {
			if used < at || used == at && h < oldest {
				oldest, at = h, used
			}
		}
		n.sum -= n.size[oldest]
		delete(n.held, oldest)
		delete(n.size, oldest)
	}
}

// play runs for a while and forgets the figures of the beginning.
func (e *emulation) play(warm, span time.Duration) {
	for _, until := range []clock.Instant{e.now + warm, e.now + warm + span} {
		e.shared, e.again, e.refused = 0, 0, 0
		for _, k := range e.kinds {
			k.late, k.answered, k.waits = 0, 0, nil
		}
		for e.events[0].at < until {
			next := heap.Pop(&e.events).(event)
			e.now = next.at
			next.do()
		}
		e.now = until
	}
}

// percentile is a wait of the kind.
func (k *kind) percentile(part float64) time.Duration {
	slices.Sort(k.waits)
	return k.waits[int(part*float64(len(k.waits)-1))]
}
