package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// pacedUpstream answers in a fixed time per request, four times as long if it begins one above
// its knee, and queues what is beyond its slots. If maxQueue isn't 0, it turns away what is beyond that.
type pacedUpstream struct {
	member         upstream.Member
	time           func(now clock.Instant) time.Duration
	knee, maxQueue int
	running        int
	queue          []func()
	// got counts the requests since the last trace.
	got int
}

// pacedSite is an emulation of plain upstreams.
type pacedSite struct {
	*emulation
	upstreams map[string]*pacedUpstream
	target    time.Duration
	// variation is the part of an answer's time that varies, exponentially.
	variation float64
	// inTime, late and refused count the requests. queuedStarts are those that were queued by their
	// upstream while another one had a free slot.
	inTime, late, refused, starts, queuedStarts int
}

const pacedSlots = 8

func newPacedSite(entries int, upstreams ...*pacedUpstream) *pacedSite {
	p := &pacedSite{emulation: newEmulation(7, entries, 0), upstreams: map[string]*pacedUpstream{}, target: second}
	var members []upstream.Member
	for i, u := range upstreams {
		u.member = member(fmt.Sprint("u", i), uint16(i+1), 1)
		u.member.Slots = pacedSlots
		members = append(members, u.member)
		p.upstreams[u.member.ID] = u
	}
	for _, f := range p.entries {
		f.options.Zone = "a"
		f.SetConfig(p.now, &config.Revision{Services: []config.Service{{Name: "s"}}})
		f.Merge(p.now, members)
		p.tick(f)
	}
	return p
}

func (p *pacedSite) tick(f *Fleet) {
	p.schedule(20*time.Millisecond, func() {
		p.carryOut(f.Tick(p.now))
		p.tick(f)
	})
}

func (p *pacedSite) arrivals(perSecond float64) {
	p.schedule(time.Duration(p.random.ExpFloat64()/perSecond*float64(second)), func() {
		p.lastID++
		f := p.entries[p.random.IntN(len(p.entries))]
		t := Ticket{ID: p.lastID, Service: "s", MaxRuns: 2, Repeatable: true, Target: p.target, Deadline: p.now + 10*second, Fingerprint: p.lastID}
		p.tickets[t.ID] = &emulatedTicket{Ticket: t, entry: f, arrivedAt: p.now}
		p.carryOut(f.Submit(p.now, t))
		p.arrivals(perSecond)
	})
}

func (p *pacedSite) carryOut(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			p.send(p.tickets[a.Ticket], p.upstreams[a.Upstream.ID])
		case Refuse:
			p.refused++
			delete(p.tickets, a.Ticket)
		}
	}
}

func (p *pacedSite) send(t *emulatedTicket, u *pacedUpstream) {
	p.starts++
	u.got++
	if u.maxQueue > 0 && len(u.queue) >= u.maxQueue {
		p.schedule(time.Millisecond, func() { p.carryOut(t.entry.Failed(p.now, t.ID, retry.Refused)) })
		return
	}
	begin := func() {
		u.running++
		took := u.time(p.now)
		if p.variation > 0 {
			took = time.Duration(float64(took) * (1 - p.variation + p.variation*p.random.ExpFloat64()))
		}
		if u.knee > 0 && u.running > u.knee {
			took *= 4
		}
		p.schedule(took, func() {
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
			wait := p.now - t.arrivedAt
			if wait <= p.target {
				p.inTime++
			} else {
				p.late++
			}
			delete(p.tickets, t.ID)
			p.carryOut(t.entry.Progress(p.now, t.ID))
			p.carryOut(t.entry.Finish(p.now, t.ID, true, wait <= p.target))
		})
	}
	if u.running < pacedSlots {
		begin()
		return
	}
	u.queue = append(u.queue, begin)
	for _, other := range p.upstreams {
		if other.running < pacedSlots {
			p.queuedStarts++
			return
		}
	}
}

// share simulates and returns the part of the requests that was served in time.
func (p *pacedSite) share(duration time.Duration) float64 {
	p.inTime, p.late, p.refused, p.starts, p.queuedStarts = 0, 0, 0, 0, 0
	p.simulate(0, duration)
	return float64(p.inTime) / float64(p.inTime+p.late+p.refused)
}

func constant(d time.Duration) func(clock.Instant) time.Duration {
	return func(clock.Instant) time.Duration { return d }
}

// unevenUpstreams are six upstreams whose answers take from 50 to 400 ms, two of them with a knee
// at half of their slots, and what they can take in a second. At exchangeAt fast and slow ones
// change places.
func unevenUpstreams(exchangeAt clock.Instant) (upstreams []*pacedUpstream, capacityBefore, capacityAfter float64) {
	times := []time.Duration{50, 50, 100, 200, 400, 400}
	for i, ms := range times {
		before, after := ms*time.Millisecond, times[len(times)-1-i]*time.Millisecond
		u := &pacedUpstream{time: func(now clock.Instant) time.Duration {
			if now < exchangeAt {
				return before
			}
			return after
		}}
		limit := float64(pacedSlots)
		if i == 1 || i == 3 {
			u.knee = pacedSlots / 2
			limit /= 2
		}
		capacityBefore += limit / before.Seconds()
		capacityAfter += limit / after.Seconds()
		upstreams = append(upstreams, u)
	}
	return upstreams, capacityBefore, capacityAfter
}

func evenUpstreams(n int) (upstreams []*pacedUpstream, perSecond float64) {
	for range n {
		upstreams = append(upstreams, &pacedUpstream{time: constant(100 * time.Millisecond)})
	}
	return upstreams, float64(n*pacedSlots) / 0.1
}

// TestUnevenPlainUpstreamsServeInTime guards against an entry that takes all plain upstreams for
// equal: three entries, Poisson arrivals at three quarters and nine tenths of what the upstreams of
// unevenUpstreams can take, fast and slow ones exchanged half-way, a target of one second.
func TestUnevenPlainUpstreamsServeInTime(t *testing.T) {
	for _, c := range []struct{ load, each, whole float64 }{{0.75, 0.98, 0.98}, {0.9, 0, 0.95}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			g := gomega.NewWithT(t)
			upstreams, before, after := unevenUpstreams(41 * second)
			p := newPacedSite(3, upstreams...)
			p.learn(capacity.NewBoard(1))
			p.arrivals(c.load * min(before, after))
			first := p.share(40 * second)
			second := p.share(40 * time.Second)
			t.Logf("in time: %.4f before the exchange, %.4f after it", first, second)
			g.Expect(min(first, second)).To(gomega.BeNumerically(">", c.each))
			g.Expect((first + second) / 2).To(gomega.BeNumerically(">", c.whole))
		})
	}
}

// TestEvenPlainUpstreamsServeAsBefore guards against costs of learning where there is nothing to
// learn: three and eight entries before six upstreams of 100 ms at nine tenths of their capacity, and
// 65 entries before 60 at three quarters. Fewer requests may be queued by an upstream while another
// has a free slot.
func TestEvenPlainUpstreamsServeAsBefore(t *testing.T) {
	for _, c := range []struct {
		entries, upstreams int
		load               float64
	}{{3, 6, 0.9}, {8, 6, 0.9}, {65, 60, 0.75}} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			g := gomega.NewWithT(t)
			inTime, queued := [2]float64{}, [2]float64{}
			for i := range 2 {
				upstreams, perSecond := evenUpstreams(c.upstreams)
				p := newPacedSite(c.entries, upstreams...)
				if i == 1 {
					p.learn(capacity.NewBoard(1))
				}
				p.arrivals(c.load * perSecond)
				p.share(5 * second)
				inTime[i] = p.share(10 * second)
				queued[i] = float64(p.queuedStarts) / float64(p.starts)
			}
			t.Logf("in time: %.4f without, %.4f with learning; queued while another had room: %.3f, %.3f", inTime[0], inTime[1], queued[0], queued[1])
			g.Expect(inTime[1]).To(gomega.BeNumerically(">=", inTime[0]-0.01))
			if c.entries > 16 {
				g.Expect(queued[1]).To(gomega.BeNumerically("<", queued[0]))
			}
		})
	}
}

// TestPlainRequestsStayInTheZone guards against traffic between zones that nothing needs: an entry
// draws among upstreams of two zones, and goes to the other one only as its own fills up.
func TestPlainRequestsStayInTheZone(t *testing.T) {
	g := gomega.NewWithT(t)
	var members []upstream.Member
	for i := range 6 {
		m := member(fmt.Sprint("u", i), uint16(i+1), 1)
		m.Slots = pacedSlots
		if i >= 3 {
			m.Zone = "b"
		}
		members = append(members, m)
	}
	f := plainFleet(members...)
	f.options.Name, f.options.LearnPlain, f.options.Random = "entry", true, rand.New(rand.NewPCG(1, 1)).Float64
	for _, u := range f.upstreams {
		f.initPace(f.service("s"), u)
	}
	other := 0
	for i := range 4 * pacedSlots {
		for _, a := range f.Submit(second, newTicket(uint64(i+1))) {
			if grant, ok := a.(Grant); ok && grant.Upstream.Zone != "a" {
				other++
			}
		}
		if i == 2*pacedSlots-3 {
			g.Expect(other).To(gomega.BeZero())
		}
	}
	g.Expect(other).To(gomega.BeNumerically(">", pacedSlots/2))
}
