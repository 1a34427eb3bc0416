package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

const (
	ms      = time.Millisecond
	service = "shop"
	newest  = "v2"
	// loadTime is over which a release that is bad under load sees its load.
	loadTime = 200 * ms
)

var testLimits = Limits{ExposeShare: 0.1, ExposeSlack: 50, RevertWithin: 5 * time.Second}

// scenario is one rollout in the model.
type scenario struct {
	entries, old, new, routes int
	rate                      float64
	within, appear            time.Duration
	median                    time.Duration
	spread                    float64
	// fail and slow are the parts of the new release's answers that are failures, or take
	// eight times as long: from the instant on, above a part of all requests, on the route.
	fail, slow     float64
	badFrom        time.Duration
	badAbove       float64
	badRoute       int
	cold           float64 // factor of the new release's times
	zoneFactor     float64 // of each fourth upstream's times
	failEverywhere float64
	failOne        bool // the new release's first upstream fails always
	leaderChanges  []time.Duration
	powerOff       time.Duration
	cutOff         time.Duration // of each third entry, for three seconds
	crash          time.Duration // of one upstream of each release, for two seconds
	burst          time.Duration // three times the rate for two seconds
	seed           uint64
}

func (s *scenario) bad() bool { return s.fail > 0 || s.slow > 0 }

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type modelEntry struct {
	name        string
	split       *Split
	incarnation uint64
	cut, ready  bool
	known       map[*modelUpstream]bool
}

type modelUpstream struct {
	name, release string
	index         int
	up            bool
	running       int
}

// model plays one rollout on a virtual clock.
type model struct {
	scenario
	random    *rand.Rand
	now       clock.Instant
	queue     eventQueue
	seq       int
	entryList []*modelEntry
	upstreams []*modelUpstream
	store     *Store
	judge     *Judge
	// idleUntil is when the keepers have a leader.
	idleUntil clock.Instant
	powered   bool
	ended     clock.Instant // when the rollout ended, 0 before
	end       Rollout
	ends      int
	requests  int
	exposed   int
	badSeen   int
	fiftieth  clock.Instant
	sentNew   []clock.Instant // the last attempts at the new release
	faults    []string
	bytes     int // the longest report
	trace     func(Command)
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, run})
}

func (m *model) faultf(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf("%v: ", m.now)+fmt.Sprintf(format, args...))
}

// play runs the scenario until two seconds after the deadline. The clock starts at 10 s; the
// order is given at start.
func play(s scenario, trace ...func(*model, Command)) *model {
	const start = 20 * time.Second
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), now: 10 * time.Second, store: NewStore(), judge: NewJudge(testLimits), powered: true}
	if len(trace) > 0 {
		m.trace = func(c Command) { trace[0](m, c) }
	}
	for i := range s.old + s.new {
		u := &modelUpstream{name: fmt.Sprintf("upstream-%d", i), release: "v1", index: i, up: i < s.old}
		if i >= s.old {
			u.release, u.index = newest, i-s.old
			m.after(start-m.now+time.Duration(m.random.Float64()*float64(s.appear)), func() { u.up = true })
		}
		m.upstreams = append(m.upstreams, u)
	}
	for i := range s.entries {
		e := &modelEntry{name: fmt.Sprintf("entry-%d", i)}
		m.entryList = append(m.entryList, e)
		m.boot(e)
		m.after(time.Duration(m.random.IntN(250))*ms, func() { m.sync(e) })
		m.after(time.Duration(m.random.IntN(250))*ms, func() { m.report(e) })
	}
	order := Order{Service: service, To: newest, Within: s.within, At: time.Unix(1_700_000_000, 0)}
	for i, wait := range []time.Duration{0, 200 * ms, 3 * time.Second} {
		m.after(start-m.now+wait, func() {
			if got := m.store.Apply(Command{Start: &order}); (got == Accepted) != (i == 0) {
				m.faultf("order %d sent again: %v", i, got)
			}
		})
	}
	m.after(start-m.now, m.decide)
	m.after(start-m.now-time.Second, func() { m.arrive(start) })
	at := func(d time.Duration, run func()) {
		if d > 0 {
			m.after(start-m.now+d, run)
		}
	}
	for _, d := range s.leaderChanges {
		at(d, func() { m.judge, m.idleUntil = NewJudge(testLimits), m.now+time.Second })
	}
	at(s.powerOff, m.loseAll)
	at(s.cutOff, func() { m.cut(true) })
	at(s.cutOff+3*time.Second, func() { m.cut(false) })
	crash := func(up bool) {
		m.upstreams[0].up = up
		m.upstreams[s.old].up = up
	}
	at(s.crash, func() { crash(false); m.after(2*time.Second, func() { crash(true) }) })
	for len(m.queue) > 0 && m.now < start+s.within+2*time.Second {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.run()
	}
	if m.ended > 0 {
		m.ended -= start
	}
	return m
}

func (m *model) boot(e *modelEntry) {
	e.split, e.ready, e.known = NewSplit(testLimits, m.random.Float64), false, map[*modelUpstream]bool{}
	e.incarnation++
}

// loseAll takes the power of everything for a second; only the store's snapshot stays.
func (m *model) loseAll() {
	m.powered = false
	m.after(time.Second, func() {
		data, err := m.store.Snapshot()
		if err == nil {
			m.store = NewStore()
			err = m.store.Restore(data)
		}
		if err != nil {
			m.faultf("restore: %v", err)
		}
		m.judge, m.powered = NewJudge(testLimits), true
		for _, e := range m.entryList {
			m.boot(e)
		}
	})
}

func (m *model) cut(cut bool) {
	for i, e := range m.entryList {
		e.cut = cut && (i%3 == 0)
	}
}

// sync brings an entry up to date every 300 ms; a change wakes it at once, unless that is lost.
func (m *model) sync(e *modelEntry) {
	m.after(300*ms, func() { m.sync(e) })
	m.pull(e)
}

func (m *model) pull(e *modelEntry) {
	if !m.powered || e.cut {
		return
	}
	view, asked, incarnation := m.store.View(), m.now, e.incarnation
	m.after(time.Duration(10+m.random.IntN(70))*ms, func() {
		if !m.powered || e.cut || e.incarnation != incarnation {
			return
		}
		for _, u := range m.upstreams {
			if u.up {
				e.known[u] = true
				e.split.Appeared(m.now, service, u.release)
			}
		}
		e.split.SetView(m.now, view)
		e.split.Confirmed(asked)
		e.ready = true
	})
}

// report sends an entry's report; some are lost, late or doubled.
func (m *model) report(e *modelEntry) {
	m.after(250*ms, func() { m.report(e) })
	r := e.split.Report(m.now)
	if r == nil || !m.powered || e.cut || m.random.Float64() < 0.05 {
		return
	}
	data := wire.MustEncode(r)
	m.bytes = max(m.bytes, len(data))
	incarnation := e.incarnation
	deliver := func() {
		var decoded Report
		if err := wire.Decode(data, &decoded); err != nil {
			m.faultf("report: %v", err)
		}
		if m.powered && m.now >= m.idleUntil {
			m.judge.Observe(m.now, e.name, incarnation, decoded)
		}
	}
	m.after(time.Duration(5+m.random.IntN(60))*ms, deliver)
	if m.random.Float64() < 0.1 {
		m.after(time.Duration(m.random.IntN(1500))*ms, deliver)
	}
}

// decide lets the leader decide every 100 ms; a command takes effect after the commit.
func (m *model) decide() {
	m.after(100*ms, m.decide)
	if !m.powered || m.now < m.idleUntil {
		return
	}
	state := ServiceState{Upstreams: map[string]int{}, Running: map[string]int{}}
	for _, u := range m.upstreams {
		if u.up {
			state.Upstreams[u.release]++
		}
		state.Running[u.release] += u.running
	}
	for _, e := range m.entryList {
		if !e.cut {
			state.Entries++
			if e.split.Version() == m.store.View().Version {
				state.Applied++
			}
		}
	}
	const start = 20 * time.Second
	elapsed := func(Rollout) time.Duration { return m.now - start }
	for _, c := range m.judge.Decide(m.now, m.store.View(), map[string]ServiceState{service: state}, elapsed) {
		if err := c.Check(); err != nil {
			m.faultf("command: %v", err)
		}
		m.after(time.Duration(20+m.random.IntN(40))*ms, func() { m.apply(c) })
	}
}

func (m *model) apply(c Command) {
	if m.trace != nil {
		m.trace(c)
	}
	if !m.powered || m.store.Apply(c) != Accepted {
		return
	}
	for _, e := range m.entryList {
		if m.random.Float64() < 0.95 {
			m.pull(e)
		}
	}
	if c.End == nil {
		return
	}
	m.ends++
	v := m.store.View()
	m.end, _ = v.Of(service)
	m.ended = m.now
}

// arrive plays one request and the next ones.
func (m *model) arrive(start clock.Instant) {
	rate := m.rate
	if since := m.now - start; m.burst > 0 && since > m.burst && since < m.burst+2*time.Second {
		rate *= 3
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(start) })
	if !m.powered {
		return
	}
	e := m.entryList[m.random.IntN(len(m.entryList))]
	if !e.ready {
		return
	}
	if m.now > start && m.now < start+m.within {
		m.requests++
	}
	m.send(e, fmt.Sprintf("/r%d", m.random.IntN(m.routes)), e.split.Assign(m.now, service), 0, start)
}

func (m *model) send(e *modelEntry, route string, a Assignment, attempt int, start clock.Instant) {
	var allowed, preferred []*modelUpstream
	for _, u := range m.upstreams {
		if !u.up || !e.known[u] || e.split.Active(m.now, service) && !e.split.Allows(m.now, service, a, u.release, false, attempt) {
			continue
		}
		allowed = append(allowed, u)
		if e.split.Prefers(service, a, u.release) {
			preferred = append(preferred, u)
		}
	}
	if len(preferred) > 0 {
		allowed = preferred
	}
	if len(allowed) == 0 {
		return
	}
	u := allowed[m.random.IntN(len(allowed))]
	if u.release == newest {
		m.checkSend(e, start)
	}
	u.running++
	incarnation := e.incarnation
	e.split.Sent(m.now, service, route, u.release, u.name)
	good, took := m.outcome(u, route, start)
	m.after(took, func() {
		u.running--
		if !u.up {
			good = false
		}
		if u.release == newest && m.isBadNow(route, start) && (!good || took > 6*m.median) {
			if m.badSeen++; m.badSeen == 50 {
				m.fiftieth = m.now
			}
		}
		if e.incarnation != incarnation || !m.powered {
			return
		}
		e.split.Answered(m.now, service, route, u.release, u.name, good, took)
		if !good && attempt < 2 {
			m.send(e, route, a, attempt+1, start)
		}
	})
}

// checkSend verifies that an attempt at the new release may be made.
func (m *model) checkSend(e *modelEntry, start clock.Instant) {
	m.exposed++
	m.sentNew = append(m.sentNew, m.now)
	v := m.store.View()
	r, ok := v.Of(service)
	switch {
	case !ok || r.Step == 0:
		m.faultf("attempt at a release that has no share")
	case r.Phase == Reverted && !e.cut && m.now > m.ended+500*ms && m.now > m.cutEnd(start)+500*ms:
		m.faultf("attempt at a reverted release")
	case m.fiftieth > 0 && m.bad() && !e.cut && m.now > m.fiftieth+testLimits.RevertWithin:
		m.faultf("attempt %v after the 50th bad answer", m.now-m.fiftieth)
	}
}

func (m *model) cutEnd(start clock.Instant) clock.Instant {
	if m.cutOff == 0 {
		return 0
	}
	return start + m.cutOff + 3*time.Second
}

// isBadNow reports whether the new release is bad now on the route.
func (m *model) isBadNow(route string, start clock.Instant) bool {
	if !m.bad() || m.now < start+m.badFrom || m.badRoute >= 0 && route != fmt.Sprintf("/r%d", m.badRoute) {
		return false
	}
	if m.badAbove == 0 {
		return true
	}
	i, _ := slices.BinarySearch(m.sentNew, m.now-loadTime)
	return float64(len(m.sentNew)-i) > m.badAbove*m.rate*loadTime.Seconds()
}

// outcome is that of an attempt.
func (m *model) outcome(u *modelUpstream, route string, start clock.Instant) (good bool, took time.Duration) {
	factor := math.Exp(m.random.NormFloat64() * m.spread)
	good = m.random.Float64() >= m.failEverywhere && (m.failEverywhere > 0 || m.random.Float64() >= 0.002)
	if u.index%4 == 0 && m.zoneFactor > 0 {
		factor *= m.zoneFactor
	}
	if u.release == newest {
		if m.cold > 0 {
			factor *= m.cold
		}
		bad := m.isBadNow(route, start)
		if bad && m.random.Float64() < m.slow {
			factor *= 8
		}
		if bad && m.random.Float64() < m.fail || m.failOne && u.index == 0 {
			good = false
		}
	}
	return good, time.Duration(float64(m.median) * factor)
}
