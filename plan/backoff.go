package plan

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// How long a kind of instance isn't requested after a refused start.
const (
	firstBackoff = 10 * time.Second
	maxBackoff   = 10 * time.Minute
)

// InstanceKind identifies the instances that the platform refuses to start, or
// starts, alike.
type InstanceKind struct {
	Zone, Class string
	Reclaimable bool
}

// Backoff delays new requests for a kind of instance whose start the platform has
// refused. It isn't safe for concurrent use.
type Backoff struct{ refused map[InstanceKind]refusal }

type refusal struct {
	end  clock.Instant
	wait time.Duration
}

// NewBackoff returns a backoff without refused starts.
func NewBackoff() *Backoff { return &Backoff{refused: map[InstanceKind]refusal{}} }

// Refused records that a start was refused. The wait doubles with each refusal.
func (b *Backoff) Refused(now clock.Instant, kind InstanceKind) {
	wait := min(max(2*b.refused[kind].wait, firstBackoff), maxBackoff)
	b.refused[kind] = refusal{end: now + wait, wait: wait}
}

// Started records that a start succeeded, which ends the wait.
func (b *Backoff) Started(kind InstanceKind) { delete(b.refused, kind) }

// Available returns the offers that may be requested now. Those of a refused kind
// are limited to the number of instances of the kind that run already.
func (b *Backoff) Available(now clock.Instant, offers []Offer, running map[InstanceKind]int) []Offer {
	var available []Offer
	for _, o := range offers {
		kind := InstanceKind{o.Zone, o.Class, o.Reclaimable}
		if now < b.refused[kind].end {
			if running[kind] == 0 {
				continue
			}
			o.Limit = running[kind]
		}
		available = append(available, o)
	}
	return available
}
