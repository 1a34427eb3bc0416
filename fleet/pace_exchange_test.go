package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/clock"
)

// exchangeTarget is within what fast and even upstreams need, and less than the slowest take.
const exchangeTarget = 120 * time.Millisecond

// exchangeLoad is a load of six upstreams that change their speeds: two fast, two slow, and two between
// them, which may have a knee. Two halves of 11 s each follow a second without figures.
type exchangeLoad struct {
	fast, middle, slow time.Duration
	knees              bool
	// exchangeAt are the times at which the fast and the slow ones change places, and spellAt that
	// from which one of the fast ones is slow for half a second; 0 if none is.
	exchangeAt []clock.Instant
	spellAt    clock.Instant
	// load is the part of what fits in time that is asked for.
	load float64
	seed uint64
	// entries are three if it is 0, and variation is the part of an answer's time that varies.
	entries   int
	variation float64
}

const exchangeHalf = 11 * second

func (l exchangeLoad) upstreams() (list []*pacedUpstream, fits float64) {
	exchanged := func(now clock.Instant) (is bool) {
		for _, at := range l.exchangeAt {
			is = is != (now >= at)
		}
		return is
	}
	for i, pair := range [][2]time.Duration{{l.fast, l.slow}, {l.slow, l.fast}, {l.middle, l.middle}, {l.fast, l.slow}, {l.slow, l.fast}, {l.middle, l.middle}} {
		u := &pacedUpstream{maxQueue: 2 * pacedSlots, time: func(now clock.Instant) time.Duration {
			switch {
			case exchanged(now):
				return pair[1]
			case i == 0 && l.spellAt > 0 && now >= l.spellAt && now < l.spellAt+second/2:
				return l.slow
			}
			return pair[0]
		}}
		limit := float64(pacedSlots)
		if l.knees && pair[0] == pair[1] {
			u.knee = pacedSlots / 2
			limit /= 2
		}
		if pair[0] <= exchangeTarget {
			fits += limit / pair[0].Seconds()
		}
		list = append(list, u)
	}
	return list, fits
}

// serve returns the parts of the requests of the two halves that were answered in time, and logs
// what the upstreams got in each second and what the entries took them for.
func (l exchangeLoad) serve(t *testing.T, learn, trace bool) (halves [2]float64) {
	upstreams, fits := l.upstreams()
	p := newPacedSite(max(l.entries, 3), upstreams...)
	p.variation = l.variation
	p.random = rand.New(rand.NewPCG(l.seed, 7))
	for _, f := range p.entries {
		f.options.Random = p.random.Float64
		f.SetEntries(len(p.entries))
	}
	p.target = exchangeTarget
	if learn {
		p.learn(capacity.NewBoard(1))
	}
	p.arrivals(l.load * fits)
	p.share(second)
	for i := range halves {
		inTime, all := 0, 0
		for s := range exchangeHalf / second {
			part := p.share(second)
			inTime, all = inTime+p.inTime, all+p.inTime+p.late+p.refused
			if trace {
				t.Logf("second %d, %.3f in time, %d refused:%s", int(exchangeHalf/second)*i+int(s)+1, part, p.refused, p.trace())
			}
		}
		halves[i] = float64(inTime) / float64(all)
	}
	return halves
}

// trace describes what each upstream got since the last trace, and what the entries hold of it: the
// pace with its age, the knee, the slowness beyond the pace, and the last answer.
func (p *pacedSite) trace() (line string) {
	for i := range len(p.upstreams) {
		u := p.upstreams[fmt.Sprint("u", i)]
		line += fmt.Sprintf(" %s %d", u.member.ID, u.got)
		u.got = 0
		for _, f := range p.entries {
			for _, s := range f.State(p.now) {
				if s.ID == u.member.ID {
					line += fmt.Sprintf(" (%.2f, %v, %d, %.1f, %v)", s.Pace, s.PaceAge.Round(100*time.Millisecond), s.Knee, s.Slowness, s.LastAnswer.Round(time.Millisecond))
				}
			}
		}
	}
	return line
}

// standardExchange has upstreams of 20, 40 and 160 ms, those of 40 ms with a knee at four requests.
func standardExchange(load float64) exchangeLoad {
	return exchangeLoad{
		fast: 20 * time.Millisecond, middle: 40 * time.Millisecond, slow: 160 * time.Millisecond,
		knees: true, exchangeAt: []clock.Instant{2*second + exchangeHalf}, load: load, seed: 1,
	}
}

// TestExchangedUpstreamsServeInTime guards against an entry that sends requests to upstreams which it
// knows to be too slow for their target, in proportion to what these carry: three entries, and a
// target that the slowest upstreams can't meet.
func TestExchangedUpstreamsServeInTime(t *testing.T) {
	for _, c := range []struct{ load, each float64 }{{0.75, 0.98}, {0.9, 0.95}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := standardExchange(c.load)
			with := l.serve(t, true, testing.Verbose())
			t.Logf("in time in each half: %.4f", with)
			g.Expect(min(with[0], with[1])).To(gomega.BeNumerically(">=", c.each))
		})
	}
}

// drawnLoads are thirty loads of drawn speeds.
func drawnLoads() (loads []exchangeLoad) {
	random := rand.New(rand.NewPCG(55, 1))
	for i := range 30 {
		ratio := 2 + 6*random.Float64()
		l := exchangeLoad{
			fast: 20 * time.Millisecond, middle: time.Duration(math.Sqrt(ratio) * float64(20*time.Millisecond)), slow: time.Duration(ratio * float64(20*time.Millisecond)),
			knees: i%2 == 0, load: []float64{0.75, 0.9}[i/2%2], seed: uint64(i + 2),
		}
		switch at := 2*second + exchangeHalf; i % 3 {
		case 0:
			l.exchangeAt = []clock.Instant{at}
		case 1:
			l.exchangeAt = []clock.Instant{at - 5*second, at, at + 5*second}
		case 2:
			l.spellAt = at
		}
		loads = append(loads, l)
	}
	return loads
}

// TestLearningServesNoLessThanWithout guards against sets of speeds with which learned paces serve
// callers less than entries that don't learn: thirty drawn ones, and those of the test above, also with
// more entries and with answers whose times vary.
func TestLearningServesNoLessThanWithout(t *testing.T) {
	loads := drawnLoads()
	for _, load := range []float64{0.75, 0.9} {
		for _, entries := range []int{3, 8, 20} {
			for _, variation := range []float64{0, 0.5} {
				l := standardExchange(load)
				l.entries, l.variation = entries, variation
				loads = append(loads, l)
			}
		}
	}
	for i, l := range loads {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			without, with := l.serve(t, false, false), l.serve(t, true, false)
			t.Logf("%d entries, varying by %.1f, slow %v, knees %v, %d exchanges, load %.2f: %.4f without, %.4f with", max(l.entries, 3), l.variation, l.slow.Round(time.Millisecond), l.knees, len(l.exchangeAt), l.load, without, with)
			for half := range with {
				g.Expect(with[half]).To(gomega.BeNumerically(">=", without[half]))
			}
		})
	}
}
