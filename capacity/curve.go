package capacity

import (
	"math"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// curveMemory is the time in which the weight of answers falls to a third: long enough for
	// some answers on each side of a knee, and short beside the time to the next probe.
	curveMemory = 2500 * time.Millisecond
	// kneeStep is the least difference between the answers above and below a knee, as a
	// logarithm: 1.7 times. kneeAnswers is the least weight on each side.
	kneeStep    = 0.53
	kneeAnswers = 5
	// kneeSure is the least difference in standard errors.
	kneeSure = 5
	// kneeShare is the least part of the differences between all answers that the step explains.
	// Queues that form behind the slots, and loads that entries know late, explain less.
	kneeShare = 0.35
	// maxKnee is the highest knee: one at the last step before all slots is not told from the
	// queue behind them.
	maxKnee = loadSteps - 2
	// throughputMargin is for the error of the measured throughput.
	throughputMargin = 1.15
	// firstProbe is the time without slow answers after which the knee is raised by a step. It
	// doubles with each probe that met slow answers at once, up to lastProbe.
	firstProbe = 3 * time.Second
	lastProbe  = 24 * time.Second
)

// bucket sums up the answers at one load.
type bucket struct{ weight, logs, squares float64 }

// curve is how an upstream's answers slow down with its load.
type curve struct {
	buckets   [maxLoad + 1]bucket
	decayedAt clock.Instant
	// knee is the highest load with good answers; 0 if no load is known to be too much.
	knee int
	// setAt is when the knee was last set or raised, and probeAfter the time from then to the
	// next probe. probed says that it was raised last.
	setAt      clock.Instant
	probeAfter time.Duration
	probed     bool
	// span is the time that the buckets cover, and occupied for how long the answers have taken a
	// slot, as a part of all slots. Both decay with the buckets.
	span, occupied float64
}

func (c *curve) add(now clock.Instant, load int, weight, log float64) {
	c.decay(now)
	b := &c.buckets[load]
	b.weight += weight
	b.logs += weight * log
	b.squares += weight * log * log
}

// decay lets earlier answers count less.
func (c *curve) decay(now clock.Instant) {
	if now <= c.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-c.decayedAt) / float64(curveMemory))
	if c.decayedAt > 0 {
		c.span = c.span*factor + (now - c.decayedAt).Seconds()
	}
	c.occupied *= factor
	c.decayedAt = now
	for i := range c.buckets {
		b := &c.buckets[i]
		b.weight, b.logs, b.squares = b.weight*factor, b.logs*factor, b.squares*factor
	}
}

// changed forgets the answers, as the upstream has become faster or slower at every load.
func (c *curve) changed() { c.buckets, c.span, c.occupied = [maxLoad + 1]bucket{}, 0, 0 }

// occupy adds the time for which answers have taken slots, as a part of all slots.
func (c *curve) occupy(log float64, load int, work time.Duration) {
	c.occupied += math.Exp(log) * max(float64(load)/loadSteps, 1) * work.Seconds()
}

// plausible reports whether the loads agree with the time for which the answers have taken slots.
// If an entry knows the others' requests late, its loads are too low, and queues look like a knee.
func (c *curve) plausible() bool {
	weight, loads := 0.0, 0.0
	for load, b := range c.buckets {
		if b.weight > 0 {
			w := b.weight * math.Exp(b.logs/b.weight) * max(float64(load)/loadSteps, 1)
			weight += w
			loads += w * float64(load) / loadSteps
		}
	}
	return c.span > 0 && weight > 0 && c.occupied/c.span <= plausibleLoad*loads/weight
}

// plausibleLoad is the ratio of the requests that must have been there to those that the entries
// knew of, up to which their loads are right.
const plausibleLoad = 1.25

// evaluate returns the knee. It falls at once and is raised by a step
// after a time without slow answers, if the load has reached it.
func (c *curve) evaluate(now clock.Instant, throughput float64) int {
	c.decay(now)
	fit := c.fit(throughput)
	switch {
	case fit > 0 && (c.knee == 0 || fit < c.knee):
		if c.probed && c.knee > 0 {
			c.probeAfter = min(2*c.probeAfter, lastProbe)
		} else if c.knee == 0 {
			c.probeAfter = firstProbe
		}
		c.knee, c.setAt, c.probed = fit, now, false
	case c.knee > 0 && fit == 0 && now-c.setAt > c.probeAfter && c.reached():
		c.knee, c.setAt, c.probed = c.knee+1, now, true
		if c.knee > maxKnee {
			c.knee = 0
		}
	}
	return c.knee
}

// reached reports whether the load has come near the knee lately. Entries that keep to their parts of
// it don't come up to it.
func (c *curve) reached() bool {
	weight := 0.0
	for load := c.knee/2 + 1; load <= c.knee; load++ {
		weight += c.buckets[load].weight
	}
	return weight > 1
}

// fit returns the load below the step that fits the answers best; 0 if they don't slow down. A
// knee below which the upstream would do less than it has done in fact isn't one, nor is a step
// between loads that can't be right.
func (c *curve) fit(throughput float64) int {
	var all bucket
	for _, b := range c.buckets {
		all.add(b)
	}
	if all.weight < 2*kneeAnswers || !c.plausible() {
		return 0
	}
	best, bestGain := 0, 0.0
	var low bucket
	for load := 1; load <= maxKnee; load++ {
		low.add(c.buckets[load])
		high := bucket{all.weight - low.weight, all.logs - low.logs, all.squares - low.squares}
		if low.weight < kneeAnswers || high.weight < kneeAnswers {
			continue
		}
		step := high.logs/high.weight - low.logs/low.weight
		// Below this step more requests at once are answered in the same time.
		leastStep := max(kneeStep, math.Log(loadSteps/float64(load)))
		gain := step * step * low.weight * high.weight / all.weight
		most := float64(load) / loadSteps / math.Exp(low.logs/low.weight)
		if step < leastStep || gain <= bestGain || throughput > throughputMargin*most {
			continue
		}
		variance := (low.spread() + high.spread()) / all.weight
		if step >= kneeSure*math.Sqrt(variance*(1/low.weight+1/high.weight)) && gain >= kneeShare*all.spread() {
			best, bestGain = load, gain
		}
	}
	return best
}

func (b *bucket) add(other bucket) {
	b.weight += other.weight
	b.logs += other.logs
	b.squares += other.squares
}

// spread returns the sum of the squared differences to the mean.
func (b *bucket) spread() float64 {
	if b.weight <= 0 {
		return 0
	}
	return max(b.squares-b.logs*b.logs/b.weight, 0)
}
