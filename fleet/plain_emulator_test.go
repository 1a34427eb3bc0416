package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fairness"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Figures of an emulated plain service.
const (
	plainSlots    = 4
	plainTime     = 100 * time.Millisecond
	plainTarget   = 500 * time.Millisecond
	plainPatience = 3 * time.Second
	reportEvery   = 300 * time.Millisecond
	linkDelay     = 2 * time.Millisecond
)

// plainLoad is the load of one organisation, with its results.
type plainLoad struct {
	organisation string
	rank         int
	perSecond    float64
	// from and until bound the load; until 0 is open. Only entries below entries get it,
	// if that isn't 0, and returns says that refused callers come back once.
	from, until clock.Instant
	entries     int
	returns     bool
	// arrivals counts first requests, inTime their answers within the target, and late
	// the other answers.
	arrivals, inTime, late int
	// refused counts refusals at first requests, held are the times to them.
	refused int
	held    []time.Duration
	// told counts those who came back as told, and toldInTime their answers in time.
	told, toldInTime int
	causes           map[RefusalCause]int
	// target replaces plainTarget if it isn't 0.
	target time.Duration
}

type plainRequest struct {
	load      *plainLoad
	entry     int
	arrivedAt clock.Instant
	deadline  clock.Instant
	again     bool
	asTold    bool
	counted   bool
	// estimated is the wait that was expected of a request that had to wait.
	estimated time.Duration
	waited    bool
}

type plainUpstream struct {
	busy    int
	waiting []func()
}

// plainEmulation runs entries against plain upstreams that serve in order of arrival, and
// a leader that exchanges reports with the entries.
type plainEmulation struct {
	now       clock.Instant
	random    *rand.Rand
	events    events
	entries   []*Fleet
	upstreams map[string]*plainUpstream
	board     *fairness.Board
	// cutOff are the entries without a link to the leader; lost is set while no leader
	// answers, and doubled while each report arrives twice.
	cutOff        map[int]bool
	lost, doubled bool
	work          []map[string]Work
	requests      map[uint64]*plainRequest
	lastID        uint64
	// Requests that arrive between these instants are counted.
	countFrom, countUntil clock.Instant
	loads                 []*plainLoad
	// onStart is called when an entry starts a request.
	onStart func(entry int, r *plainRequest)
}

func newPlainEmulation(seed uint64, entries, upstreams int, loads ...*plainLoad) *plainEmulation {
	e := &plainEmulation{
		now: second, random: rand.New(rand.NewPCG(seed, 2)), upstreams: map[string]*plainUpstream{}, board: fairness.NewBoard(),
		cutOff: map[int]bool{}, work: make([]map[string]Work, entries), requests: map[uint64]*plainRequest{}, loads: loads,
	}
	for i := range upstreams {
		e.upstreams[fmt.Sprint("u", i)] = &plainUpstream{}
	}
	for i := range entries {
		var members []upstream.Member
		for k := range upstreams {
			m := member(emulatedID(i, k), uint16(k+1), 1)
			m.Slots = plainSlots
			members = append(members, m)
		}
		f := New(Options{Zone: "a", RetryRatio: 0.2, RetrySlack: 50, Entries: entries, Random: e.random.Float64})
		f.SetConfig(e.now, &config.Revision{Services: []config.Service{{Name: "s"}}})
		f.Merge(e.now, members)
		e.entries = append(e.entries, f)
		e.scheduleReport(i)
		e.scheduleTick(i)
	}
	for _, l := range loads {
		l.causes = map[RefusalCause]int{}
		e.schedule(l.from, func() { e.scheduleArrival(l) })
	}
	return e
}

// emulatedID is the ID of an upstream at an entry. Each entry has them in another order: of
// upstreams that look equal an entry takes the first, and with one order all entries
// would take the same, which isn't what these tests are about.
func emulatedID(entry, upstream int) string {
	return fmt.Sprintf("%04d-u%d", mixHash(uint64(entry)<<32|uint64(upstream)+1)%10_000, upstream)
}

func index(id string) int {
	n, _ := strconv.Atoi(commonID(id)[1:])
	return n
}

func commonID(id string) string { return id[strings.Index(id, "u"):] }

func (e *plainEmulation) schedule(d time.Duration, do func()) {
	heap.Push(&e.events, event{e.now + d, do})
}

// run emulates the time, and counts requests that arrive from countAfter on.
func (e *plainEmulation) run(countAfter, d time.Duration) {
	e.countFrom = e.now + countAfter
	e.countUntil = e.countFrom + d
	// The last ones are answered, or have failed.
	until := e.countUntil + plainPatience
	e.runUntil(until)
}

func (e *plainEmulation) runUntil(until clock.Instant) {
	for e.events[0].at < until {
		next := heap.Pop(&e.events).(event)
		e.now = next.at
		next.do()
	}
	e.now = until
}

func (e *plainEmulation) scheduleTick(i int) {
	e.schedule(20*time.Millisecond, func() {
		e.execute(i, e.entries[i].Tick(e.now))
		e.scheduleTick(i)
	})
}

func (e *plainEmulation) scheduleReport(i int) {
	e.schedule(time.Duration((0.9+0.2*e.random.Float64())*float64(reportEvery)), func() {
		e.scheduleReport(i)
		if e.lost || e.cutOff[i] {
			return
		}
		f := e.entries[i]
		demand, work := f.Demands(e.now)["s"], f.Work()
		e.schedule(linkDelay, func() {
			e.work[i] = work
			copies := 1
			if e.doubled {
				copies = 2
			}
			for range copies {
				e.board.Observe(e.now, fairness.Entry{Name: fmt.Sprint(i)}, "s", demand.Waiting, demand.Fairness)
			}
			reply, others := e.board.Reply(e.now), e.othersOf(i)
			e.schedule(linkDelay, func() {
				f.SetEntries(len(e.entries))
				f.SetShares(e.now, reply)
				f.SetOtherWork(e.now, OtherWork{ByUpstream: others})
			})
		})
	})
}

func (e *plainEmulation) othersOf(i int) map[string]Work {
	sum := map[string]Work{}
	for j, work := range e.work {
		if j == i {
			continue
		}
		for id, w := range work {
			own := emulatedID(i, index(id))
			s := sum[own]
			s.Running += w.Running
			sum[own] = s
		}
	}
	return sum
}

func (e *plainEmulation) scheduleArrival(l *plainLoad) {
	if l.until > 0 && e.now >= second+l.until {
		return
	}
	e.schedule(time.Duration(e.random.ExpFloat64()/l.perSecond*float64(second)), func() {
		e.arrive(&plainRequest{load: l, arrivedAt: e.now, deadline: e.now + max(plainPatience, l.target), counted: e.now >= e.countFrom && e.now < e.countUntil})
		e.scheduleArrival(l)
	})
}

func (e *plainEmulation) arrive(r *plainRequest) {
	entries := len(e.entries)
	if r.load.entries > 0 {
		entries = r.load.entries
	}
	r.entry = e.random.IntN(entries)
	if r.counted && !r.again {
		r.load.arrivals++
	}
	e.lastID++
	e.requests[e.lastID] = r
	f, id := e.entries[r.entry], e.lastID
	e.execute(r.entry, f.Submit(e.now, Ticket{
		ID: id, Service: "s", Rank: r.load.rank, Organisation: r.load.organisation, MaxRuns: 1, Target: r.load.within(), Deadline: r.deadline, Fingerprint: id,
	}))
	if t, ok := f.tickets[id]; ok && t.state == waiting {
		r.waited, r.estimated = true, f.service("s").expectedWait(e.now, t)
	}
}

// within is the target of the load's requests.
func (l *plainLoad) within() time.Duration {
	if l.target > 0 {
		return l.target
	}
	return plainTarget
}

func (e *plainEmulation) execute(entry int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			if e.onStart != nil {
				e.onStart(entry, e.requests[a.Ticket])
			}
			e.send(a.Ticket, e.upstreams[commonID(a.Upstream.ID)])
		case Refuse:
			r := e.requests[a.Ticket]
			delete(e.requests, a.Ticket)
			e.refused(r, a)
		}
	}
}

func (e *plainEmulation) refused(r *plainRequest, a Refuse) {
	l := r.load
	if r.counted && !r.again {
		l.refused++
		l.causes[a.Cause]++
		l.held = append(l.held, e.now-r.arrivedAt)
	}
	if r.again || !l.returns {
		return
	}
	after, honoured := a.Err.RetryAfter, (r.deadline-e.now)/3
	again := &plainRequest{load: l, deadline: r.deadline, again: true, asTold: after <= honoured, counted: r.counted}
	e.schedule(min(after, honoured), func() {
		again.arrivedAt = e.now
		if again.counted && again.asTold {
			l.told++
		}
		e.arrive(again)
	})
}

func (e *plainEmulation) send(id uint64, u *plainUpstream) {
	start := func() {
		u.busy++
		e.schedule(time.Duration((0.8+0.4*e.random.Float64())*float64(plainTime)), func() {
			u.busy--
			// In order of arrival: before what the answer makes room for.
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
			e.answered(id)
		})
	}
	if u.busy < plainSlots {
		start()
		return
	}
	u.waiting = append(u.waiting, start)
}

func (e *plainEmulation) answered(id uint64) {
	r := e.requests[id]
	inTime := e.now-r.arrivedAt <= r.load.within()
	if r.counted {
		switch {
		case r.again && r.asTold && inTime:
			r.load.toldInTime++
		case !r.again && inTime:
			r.load.inTime++
		case !r.again:
			r.load.late++
		}
	}
	e.execute(r.entry, e.entries[r.entry].Progress(e.now, id))
	e.execute(r.entry, e.entries[r.entry].Finish(e.now, id, true, inTime))
	delete(e.requests, id)
}
