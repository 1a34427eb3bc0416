package fairness

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// ShareAge is how long an entry applies the last shares that it was told. Reports are at
// most 0.9 s apart, so that several have been lost by then; after that only the entry's
// own queue decides.
const ShareAge = 4 * time.Second

// Gate admits at one entry the part of an organisation's requests that fits its share. It
// isn't safe for concurrent use.
type Gate struct {
	excesses map[Key]*credit
	told     bool
	toldAt   clock.Instant
	// spare is the number of requests beyond the shares that unused capacity takes.
	spare float64
}

type credit struct {
	fraction float64
	// work is what the organisation may still start; it is negative while the
	// organisation is ahead of its share.
	work float64
}

// Set replaces the shares. Credits of organisations that stay above theirs are kept.
func (g *Gate) Set(now clock.Instant, excesses []Excess) {
	g.told, g.toldAt = true, now
	old := g.excesses
	g.excesses = nil
	for _, e := range excesses {
		if g.excesses == nil {
			g.excesses = make(map[Key]*credit, len(excesses))
		}
		c, ok := old[e.Key]
		if !ok {
			c = &credit{}
		}
		c.fraction = e.Fraction
		g.excesses[e.Key] = c
	}
}

// Clear ends the shares: the service isn't saturated.
func (g *Gate) Clear() { *g = Gate{} }

// Saturated reports whether the leader takes the service for saturated, as far as that
// is known.
func (g *Gate) Saturated(now clock.Instant) bool { return g.told && now-g.toldAt <= ShareAge }

// SetSpare sets how many requests beyond their shares unused capacity takes.
func (g *Gate) SetSpare(requests float64) {
	// A fraction adds up over the reports: many entries share a few free slots.
	g.spare = min(g.spare, 1) + requests
	g.spare = min(g.spare, max(requests, 1))
}

// Admit reports whether a request fits the share of its organisation, or unused capacity,
// and counts it. fraction is the part that fits if it doesn't.
func (g *Gate) Admit(now clock.Instant, key Key, work float64) (fraction float64, ok bool) {
	c, named := g.excesses[key]
	if !named || !g.Saturated(now) {
		return 1, true
	}
	c.work += c.fraction * work
	switch {
	case c.work > 0:
		c.work -= work
		return c.fraction, true
	case g.spare >= 1:
		g.spare--
		return c.fraction, true
	}
	return c.fraction, false
}

// Excesses is the number of organisations above their share.
func (g *Gate) Excesses(now clock.Instant) int {
	if !g.Saturated(now) {
		return 0
	}
	return len(g.excesses)
}

// Limits reports whether any organisation is above its share.
func (g *Gate) Limits() bool { return len(g.excesses) > 0 }

// IsAbove reports whether the organisation is above its share.
func (g *Gate) IsAbove(key Key) bool {
	_, above := g.excesses[key]
	return above
}
