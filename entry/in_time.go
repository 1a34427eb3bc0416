package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// inTimeHalfLife is the time after which an answer counts half.
const inTimeHalfLife = time.Minute

// inTimeTracker measures, for each rank of each service, the fraction of the
// answers whose first token, or whose plain response, met the rank's target time.
type inTimeTracker struct {
	mu     sync.Mutex
	counts map[rankKey]*inTimeCount
}

type rankKey struct{ service, rank string }

// inTimeCount counts the answers of one rank, with weights that decay with age.
type inTimeCount struct {
	inTime, total float64
	updated       clock.Instant
}

func newInTimeTracker() *inTimeTracker { return &inTimeTracker{counts: map[rankKey]*inTimeCount{}} }

// add counts an answer.
func (t *inTimeTracker) add(now clock.Instant, service, rank string, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := rankKey{service, rank}
	c, ok := t.counts[key]
	if !ok {
		c = &inTimeCount{updated: now}
		t.counts[key] = c
	}
	factor := math.Exp2(-float64(now-c.updated) / float64(inTimeHalfLife))
	c.inTime, c.total, c.updated = c.inTime*factor, c.total*factor+1, now
	if inTime {
		c.inTime++
	}
}

// fractions returns the fraction of answers in time for each rank of a service.
func (t *inTimeTracker) fractions(service string) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	fractions := map[string]float64{}
	for key, c := range t.counts {
		if key.service == service {
			fractions[key.rank] = c.inTime / c.total
		}
	}
	return fractions
}
