package control

import (
	"container/list"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// silentAfter is how long an upstream may say nothing before entries hear of
// it: three times the longest interval between announcements that published
// deployments have.
const silentAfter = 3600 * time.Millisecond

// forgetAfter is how long an upstream whose lease ran out is kept, so that
// every entry hears of its end.
const forgetAfter = time.Minute

// roster is one keeper's directory of upstreams, with a count of its changes.
// It is pure, and isn't safe for concurrent use.
type roster struct {
	generation uint64
	rows       map[string]*row
	// changes holds the rows, the one that changed last first, so that an
	// entry that misses few costs few steps.
	changes *list.List
}

type row struct {
	upstream.Member
	generation uint64
	heard      clock.Instant
	ended      clock.Instant
	element    *list.Element
}

func newRoster() *roster { return &roster{rows: map[string]*row{}, changes: list.New()} }

// apply takes in an announcement and reports whether entries need to know.
func (r *roster) apply(now clock.Instant, a upstream.Announcement) bool {
	held, ok := r.rows[a.ID]
	if !ok {
		held = &row{}
		held.element = r.changes.PushFront(held)
		r.rows[a.ID] = held
	}
	changed := !ok || held.Silent || held.Ended || differs(a, held.Announcement)
	held.Member = upstream.Member{Announcement: a}
	held.heard = now
	if changed {
		r.touch(held)
	}
	return changed
}

// differs reports whether two announcements differ in what entries use; load,
// lease and number don't count.
func differs(a, b upstream.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Address != b.Address || a.Leaving != b.Leaving ||
		a.Slots != b.Slots || a.Zone != b.Zone || a.Reclaimable != b.Reclaimable ||
		len(a.Services) != len(b.Services) || len(a.Services) > 0 && a.Services[0] != b.Services[0] ||
		(a.Cold > 0) != (b.Cold > 0)
}

func (r *roster) touch(w *row) {
	r.generation++
	w.generation = r.generation
	r.changes.MoveToFront(w.element)
}

// end takes in that an upstream's lease ran out.
func (r *roster) end(now clock.Instant, id string, incarnation uint64) bool {
	held, ok := r.rows[id]
	if !ok || held.Incarnation != incarnation || held.Ended {
		return false
	}
	held.Ended, held.ended = true, now
	r.touch(held)
	return true
}

// watch marks upstreams that fell silent, and forgets those that ended long
// ago. It reports whether entries need to know.
func (r *roster) watch(now clock.Instant) bool {
	changed := false
	for id, w := range r.rows {
		switch {
		case w.Ended && now-w.ended > forgetAfter:
			delete(r.rows, id)
			r.changes.Remove(w.element)
		case !w.Ended && !w.Silent && !w.Leaving && now-w.heard > silentAfter:
			w.Silent = true
			r.touch(w)
			changed = true
		}
	}
	return changed
}

// get returns what is held of an upstream.
func (r *roster) get(id string) (upstream.Announcement, bool) {
	if w, ok := r.rows[id]; ok {
		return w.Announcement, true
	}
	return upstream.Announcement{}, false
}

// since returns the members that changed after the generation.
func (r *roster) since(generation uint64) []upstream.Member {
	var members []upstream.Member
	for e := r.changes.Front(); e != nil; e = e.Next() {
		w := e.Value.(*row)
		if w.generation <= generation {
			break
		}
		members = append(members, w.Member)
	}
	return members
}

// live returns the usable upstreams.
func (r *roster) live() []upstream.Member {
	var members []upstream.Member
	for _, w := range r.rows {
		if !w.Ended && !w.Leaving && !w.Silent {
			members = append(members, w.Member)
		}
	}
	return members
}
