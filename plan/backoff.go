package plan

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Times for which a kind of instance isn't asked for after a refused start.
const (
	firstBackoff = 10 * time.Second
	maxBackoff   = 10 * time.Minute
)

// Kind is what starts are refused by.
type Kind struct {
	Zone, Class string
	Reclaimable bool
}

// Backoff remembers refused starts.
type Backoff struct{ refused map[Kind]refusal }

type refusal struct {
	until clock.Instant
	wait  time.Duration
}

// NewBackoff returns an empty memory.
func NewBackoff() *Backoff { return &Backoff{refused: map[Kind]refusal{}} }

// Refused notes that a start was refused: the wait doubles each time.
func (b *Backoff) Refused(now clock.Instant, k Kind) {
	wait := min(max(2*b.refused[k].wait, firstBackoff), maxBackoff)
	b.refused[k] = refusal{until: now + wait, wait: wait}
}

// Started notes that a start went through.
func (b *Backoff) Started(k Kind) { delete(b.refused, k) }

// Open returns the offers that may be asked for now. What runs already of a
// refused kind may stay.
func (b *Backoff) Open(now clock.Instant, offers []Offer, running map[Kind]int) []Offer {
	var open []Offer
	for _, o := range offers {
		k := Kind{o.Zone, o.Class, o.Reclaimable}
		if now < b.refused[k].until {
			if running[k] == 0 {
				continue
			}
			o.Limit = running[k]
		}
		open = append(open, o)
	}
	return open
}
