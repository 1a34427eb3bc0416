package capacity

import (
	"math"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Times for which an old pace counts, at the leader without answers of the upstream and at an
// entry without word from the leader: as it was for holdTime, and less and less for fadeTime. An
// upstream that nothing is sent to has to be tried again, but not by every lull.
const (
	holdTime = 10 * time.Second
	fadeTime = 10 * time.Second
)

// fade returns how much of a pace of that age counts, from 1 to 0.
func fade(age time.Duration) float64 {
	return min(max(1-float64(age-holdTime)/float64(fadeTime), 0), 1)
}

// Table holds an entry's paces. It isn't safe for concurrent use.
type Table struct {
	term, version uint64
	// heardAt is when the leader of the term last replied.
	heardAt clock.Instant
	paces   map[string]*heldPace
}

// heldPace is a pace that the leader of the term has named. Once another one leads, heardAt is
// when that of the term last replied.
type heldPace struct {
	Pace
	term    uint64
	heardAt clock.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{paces: map[string]*heldPace{}} }

// Stamp sets the term and version that the entry holds in a report.
func (t *Table) Stamp(r *Report) { r.Term, r.Version = t.term, t.version }

// Apply applies an update. One that is older than the last changes nothing.
func (t *Table) Apply(now clock.Instant, u Update) {
	switch {
	case u.Term < t.term || u.Term == t.term && u.Version < t.version:
		return
	case u.Term > t.term:
		for _, held := range t.paces {
			if held.term == t.term {
				held.heardAt = t.heardAt
			}
		}
	}
	t.term, t.version, t.heardAt = u.Term, u.Version, now
	for _, p := range u.Paces {
		if held, ok := t.paces[p.Upstream]; ok && held.Incarnation > p.Incarnation {
			continue
		}
		t.paces[p.Upstream] = &heldPace{Pace: p, term: u.Term}
	}
	for id, held := range t.paces {
		if fade(t.age(now, held)) == 0 {
			delete(t.paces, id)
		}
	}
}

func (t *Table) age(now clock.Instant, held *heldPace) time.Duration {
	if held.term == t.term {
		return now - t.heardAt
	}
	return now - held.heardAt
}

// Pace returns the factor by which the upstream's answers take longer than the median's, and
// its knee; 1 and 0 if nothing is known.
func (t *Table) Pace(now clock.Instant, id string, incarnation uint64) (pace float64, knee int) {
	held, ok := t.paces[id]
	if !ok || held.Incarnation != incarnation {
		return 1, 0
	}
	part := fade(t.age(now, held))
	if part == 0 {
		return 1, 0
	}
	pace = float64(held.Percent) / paceUnit
	if part < 1 {
		pace = math.Pow(pace, part)
	}
	return pace, held.Knee
}

// Age returns the time since the leader last confirmed the upstream's pace; 0 if none is known.
func (t *Table) Age(now clock.Instant, id string, incarnation uint64) time.Duration {
	held, ok := t.paces[id]
	if !ok || held.Incarnation != incarnation {
		return 0
	}
	return t.age(now, held)
}

// Drop forgets an upstream that is gone.
func (t *Table) Drop(id string) { delete(t.paces, id) }
