package entry

import (
	"math"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// targetHalfLife is the half-life of what is remembered of answers in time.
const targetHalfLife = time.Minute

// targets remembers for each rank of each service which part of the answers
// came in time.
type targets struct {
	mu      sync.Mutex
	tallies map[targetKey]*tally
}

type targetKey struct{ service, rank string }

// tally counts answers, older ones less.
type tally struct {
	inTime, all float64
	at          clock.Instant
}

func newTargets() *targets { return &targets{tallies: map[targetKey]*tally{}} }

// add counts an answer.
func (t *targets) add(now clock.Instant, service, rank string, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := targetKey{service, rank}
	c, ok := t.tallies[key]
	if !ok {
		c = &tally{at: now}
		t.tallies[key] = c
	}
	factor := math.Exp2(-float64(now-c.at) / float64(targetHalfLife))
	c.inTime, c.all, c.at = c.inTime*factor, c.all*factor+1, now
	if inTime {
		c.inTime++
	}
}

// inTime returns the part of each rank's answers that came in time.
func (t *targets) inTime(service string) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := map[string]float64{}
	for key, c := range t.tallies {
		if key.service == service {
			parts[key.rank] = c.inTime / c.all
		}
	}
	return parts
}
