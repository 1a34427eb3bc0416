package upstream

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Upstream is one upstream as this entry sees it.
type Upstream struct {
	Announcement
	expires clock.Instant
	// outstanding is the number of requests that this entry has under way.
	outstanding int
	// sinceReport is the change of outstanding since the last load report.
	sinceReport int
	// avoidUntil is set after a failed connection.
	avoidUntil clock.Instant
	// held keeps the upstream for one suspect; heldSince is when that began.
	held      bool
	heldSince clock.Instant
	// phase, from 0 to 1, decides which entries get the slots that were free
	// at the last report.
	phase float64
}

// SlotRange is the interval of the numbers from 0 to 1 that belongs to an entry;
// its length is the entry's share, and the entries' parts don't overlap.
type SlotRange struct{ From, To float64 }

// AllSlots is the part of an entry that shares with nobody.
var AllSlots = SlotRange{0, 1}

// Directory holds the upstreams. It isn't safe for concurrent use.
type Directory struct {
	upstreams map[string]*Upstream
	// sorted is the list in order of ID; nil after a change.
	sorted []*Upstream
	// generation counts changes of the set of usable upstreams.
	generation uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: map[string]*Upstream{}}
}

// Apply takes in an announcement whose lease has the given end. It reports
// whether the upstream is newly leaving. An older announcement is ignored.
func (d *Directory) Apply(now clock.Instant, a Announcement) (leaving bool) {
	held, ok := d.upstreams[a.ID]
	if ok && stale(a, held.Announcement) {
		return false
	}
	newlyLeaving := a.Leaving && (!ok || !held.Leaving)
	if ok && held.Incarnation == a.Incarnation {
		if !sameShape(a, held.Announcement) {
			d.changed()
		}
		held.Announcement = a
		held.expires = now + a.Lease
		held.sinceReport = 0
		held.phase = phase(a)
		return newlyLeaving
	}
	d.upstreams[a.ID] = &Upstream{Announcement: a, expires: now + a.Lease, phase: phase(a)}
	d.changed()
	return newlyLeaving
}

// phase is the same at every entry for the same report.
func phase(a Announcement) float64 {
	const mix = 0x9e3779b97f4a7c15
	h := (xxhash.Sum64String(a.ID) ^ a.Sequence) * mix
	return float64(h>>11) / (1 << 53)
}

// sameShape reports whether two announcements differ only in load and lease.
func sameShape(a, b Announcement) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Class == b.Class && a.Kind == b.Kind &&
		a.Leaving == b.Leaving && a.Slots == b.Slots &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

func stale(a, held Announcement) bool {
	if a.Incarnation != held.Incarnation {
		return a.Incarnation < held.Incarnation
	}
	if held.Leaving {
		return true
	}
	return !a.Leaving && a.Sequence <= held.Sequence
}

func (d *Directory) changed() {
	d.sorted = nil
	d.generation++
}

// Generation counts the changes of the directory.
func (d *Directory) Generation() uint64 { return d.generation }

// Remove forgets an upstream, if the incarnation is still the one held.
func (d *Directory) Remove(id string, incarnation uint64) {
	if held, ok := d.upstreams[id]; ok && held.Incarnation == incarnation {
		delete(d.upstreams, id)
		d.changed()
	}
}

// Get returns the upstream with the ID.
func (d *Directory) Get(id string) (*Upstream, bool) {
	u, ok := d.upstreams[id]
	return u, ok
}

// All returns the upstreams in order of ID. The slice must not be changed.
func (d *Directory) All() []*Upstream {
	if d.sorted == nil {
		d.sorted = make([]*Upstream, 0, len(d.upstreams))
		for _, u := range d.upstreams {
			d.sorted = append(d.sorted, u)
		}
		sort.Slice(d.sorted, func(i, j int) bool { return d.sorted[i].ID < d.sorted[j].ID })
	}
	return d.sorted
}

// Usable reports whether new work may go to the upstream: its lease holds and
// it isn't leaving.
func (u *Upstream) Usable(now clock.Instant) bool {
	return !u.Leaving && now < u.expires
}

// Avoided reports whether a failure speaks against the upstream for now.
func (u *Upstream) Avoided(now clock.Instant) bool { return now < u.avoidUntil }

// Avoid keeps new work away until the instant.
func (u *Upstream) Avoid(until clock.Instant) { u.avoidUntil = until }

// Start counts a request that was sent to the upstream.
func (u *Upstream) Start() {
	u.outstanding++
	u.sinceReport++
}

// Finish counts a request that ended.
func (u *Upstream) Finish() {
	if u.outstanding > 0 {
		u.outstanding--
	}
	u.sinceReport--
}

// Outstanding is the number of requests that this entry has under way there.
func (u *Upstream) Outstanding() int { return u.outstanding }

// Busy estimates the requests at the upstream: the lagging report, corrected
// by what this entry has sent and finished since.
func (u *Upstream) Busy() int {
	return max(u.outstanding, u.Load.Running+u.Load.Queued+u.sinceReport, 0)
}

// Free estimates the slots that are free.
func (u *Upstream) Free() int { return max(u.Slots-u.Busy(), 0) }

// Headroom is the number of free slots by the last report alone; it is
// negative where requests queue.
func (u *Upstream) Headroom() int { return u.Slots - u.Load.Running - u.Load.Queued }

// Allowance is the number of slots that the entry may take without taking
// those of others: of the slots that were free at the last report those that
// fall to its part, and those that it has given back since.
func (u *Upstream) Allowance(p SlotRange) int {
	headroom := float64(u.Headroom())
	own := math.Ceil(p.To*headroom-u.phase) - math.Ceil(p.From*headroom-u.phase)
	return int(own) - u.sinceReport
}

// holdPatience is how long a held upstream may stay busy with the work of other
// entries before it counts as idle all the same.
const holdPatience = time.Second

// Hold keeps new work away until Release, so that a suspect can run alone.
func (u *Upstream) Hold(now clock.Instant) {
	if !u.held {
		u.held, u.heldSince = true, now
	}
}

// Release ends a hold.
func (u *Upstream) Release() { u.held = false }

// Held reports whether the upstream is kept for a suspect.
func (u *Upstream) Held() bool { return u.held }

// Idle reports whether a held upstream is free for its suspect.
func (u *Upstream) Idle(now clock.Instant) bool {
	return u.held && u.outstanding == 0 && (u.Busy() == 0 || now-u.heldSince >= holdPatience)
}
