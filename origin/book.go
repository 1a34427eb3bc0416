// Package origin remembers which release of a service began each stream, so that a
// stream whose caller takes it up at another entry goes on at that release only:
// texts of two releases don't fit together. It does no I/O, and the time is passed in.
package origin

import (
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Limits of a book.
const (
	// Retention is how long an origin is kept at least. It is twice the longest time
	// that callers wait for a stream in the published deployments.
	Retention = 30 * time.Second
	// maxGeneration bounds the streams of one generation, about 6 MB.
	maxGeneration = 100_000
)

// Stream identifies a stream by its caller and the attempt that brought its first
// event.
type Stream uint64

// StreamOf returns the stream that began with an attempt of the organisation.
func StreamOf(organisation, attemptID string) Stream {
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(attemptID)
	return Stream(d.Sum64())
}

// Origin is what began a stream.
type Origin struct {
	Service string `json:"s"`
	// Release is the version of the upstream's software.
	Release string `json:"r,omitempty"`
}

// Book holds the origins of recent streams. It isn't safe for concurrent use.
type Book struct {
	// current are the streams since beganAt, previous those before; each generation is
	// kept whole until the next one is Retention old, or full.
	current, previous map[Stream]unique.Handle[Origin]
	beganAt           clock.Instant
}

// New returns an empty book.
func New() *Book { return &Book{current: map[Stream]unique.Handle[Origin]{}} }

// Record records the origin of a stream.
func (b *Book) Record(now clock.Instant, s Stream, o Origin) {
	b.turn(now)
	b.current[s] = unique.Make(o)
}

// Find returns the origin of a stream.
func (b *Book) Find(now clock.Instant, s Stream) (Origin, bool) {
	b.turn(now)
	for _, generation := range []map[Stream]unique.Handle[Origin]{b.current, b.previous} {
		if o, ok := generation[s]; ok {
			return o.Value(), true
		}
	}
	return Origin{}, false
}

// Len is the number of origins.
func (b *Book) Len() int { return len(b.current) + len(b.previous) }

// turn begins a new generation if the current one is old or full.
func (b *Book) turn(now clock.Instant) {
	age := now - b.beganAt
	if age < Retention && len(b.current) < maxGeneration {
		return
	}
	b.previous = b.current
	if age >= 2*Retention {
		b.previous = nil
	}
	b.current = map[Stream]unique.Handle[Origin]{}
	b.beganAt = now
}
