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
	// outstanding is the number of this entry's running requests.
	outstanding int
	// changeSinceReport is the change of outstanding since the last announcement.
	changeSinceReport int
	// avoidUntil is the end of the backoff after a failure.
	avoidUntil clock.Instant
	// held says that the upstream is reserved for one suspect, a request that
	// may crash it, and heldSince since when.
	held      bool
	heldSince clock.Instant
	// rounding, from 0 to 1, decides how the slots that were free at the last
	// announcement are rounded to the ranges of the entries.
	rounding float64
}

// SlotRange assigns to an entry a range within 0 to 1 of the free slots of each
// upstream. Its length is the entry's share. The ranges of different entries
// don't overlap.
type SlotRange struct{ From, To float64 }

// AllSlots is the range of an entry that shares the slots with no other.
var AllSlots = SlotRange{0, 1}

// Directory holds the announced upstreams. It isn't safe for concurrent use.
type Directory struct {
	upstreams map[string]*Upstream
	// sorted are the upstreams in order of ID; nil after a change.
	sorted []*Upstream
	// generation counts the changes of the directory, other than of load and
	// leases.
	generation uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: map[string]*Upstream{}}
}

// Apply applies an announcement, whose lease begins now, and reports whether the
// upstream has become leaving by it. An outdated announcement is ignored.
func (d *Directory) Apply(now clock.Instant, a Announcement) (becameLeaving bool) {
	current, ok := d.upstreams[a.ID]
	if ok && isStale(a, current.Announcement) {
		return false
	}
	newlyLeaving := a.Leaving && (!ok || !current.Leaving)
	if ok && current.Incarnation == a.Incarnation {
		if !equalExceptLoad(a, current.Announcement) {
			d.recordChange()
		}
		current.Announcement = a
		current.expires = now + a.Lease
		current.changeSinceReport = 0
		current.rounding = rounding(a)
		return newlyLeaving
	}
	d.upstreams[a.ID] = &Upstream{Announcement: a, expires: now + a.Lease, rounding: rounding(a)}
	d.recordChange()
	return newlyLeaving
}

// rounding returns a pseudo-random number from 0 to 1 that is the same at every
// entry for the same announcement.
func rounding(a Announcement) float64 {
	const multiplier = 0x9e3779b97f4a7c15
	h := (xxhash.Sum64String(a.ID) ^ a.Sequence) * multiplier
	return float64(h>>11) / (1 << 53)
}

// equalExceptLoad reports whether two announcements of an incarnation are equal,
// apart from their load and lease. Fields that don't affect routing are ignored.
func equalExceptLoad(a, b Announcement) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Class == b.Class && a.Kind == b.Kind && a.Release == b.Release &&
		a.Leaving == b.Leaving && a.Slots == b.Slots &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

func isStale(a, current Announcement) bool {
	if a.Incarnation != current.Incarnation {
		return a.Incarnation < current.Incarnation
	}
	if current.Leaving {
		return true
	}
	return !a.Leaving && a.Sequence <= current.Sequence
}

func (d *Directory) recordChange() {
	d.sorted = nil
	d.generation++
}

// Generation counts the changes of the directory, other than of load and leases.
func (d *Directory) Generation() uint64 { return d.generation }

// Remove removes an upstream, unless it has another incarnation by now.
func (d *Directory) Remove(id string, incarnation uint64) {
	if current, ok := d.upstreams[id]; ok && current.Incarnation == incarnation {
		delete(d.upstreams, id)
		d.recordChange()
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

// Usable reports whether new work may be sent to the upstream: its lease is valid
// and it isn't leaving.
func (u *Upstream) Usable(now clock.Instant) bool {
	return !u.Leaving && now < u.expires
}

// Avoided reports whether the upstream is in backoff after a failure.
func (u *Upstream) Avoided(now clock.Instant) bool { return now < u.avoidUntil }

// Avoid sets the end of the upstream's backoff.
func (u *Upstream) Avoid(until clock.Instant) { u.avoidUntil = until }

// Start records that a request was sent to the upstream.
func (u *Upstream) Start() {
	u.outstanding++
	u.changeSinceReport++
}

// Finish records that a request ended.
func (u *Upstream) Finish() {
	if u.outstanding > 0 {
		u.outstanding--
	}
	u.changeSinceReport--
}

// Outstanding is the number of this entry's running requests.
func (u *Upstream) Outstanding() int { return u.outstanding }

// Busy estimates the requests at the upstream: the last reported load, corrected
// by what this entry has started and finished since.
func (u *Upstream) Busy() int {
	return max(u.outstanding, u.Load.requests()+u.changeSinceReport, 0)
}

// Free estimates the free slots.
func (u *Upstream) Free() int { return max(u.Slots-u.Busy(), 0) }

// Headroom is the number of free slots at the last announcement, negative if
// requests were queued.
func (u *Upstream) Headroom() int { return u.Slots - u.Load.requests() }

// OwnFree is the number of free slots that are assigned to the entry: those in its
// range of the slots that were free at the last announcement, less those that it
// has occupied since, plus those that it has freed.
func (u *Upstream) OwnFree(own SlotRange) int {
	headroom := float64(u.Headroom())
	slots := math.Ceil(own.To*headroom-u.rounding) - math.Ceil(own.From*headroom-u.rounding)
	return int(slots) - u.changeSinceReport
}

// holdTimeout is how long a held upstream may stay busy with the work of other
// entries, before the suspect runs there nevertheless.
const holdTimeout = time.Second

// Hold reserves the upstream until Release, so that a suspect can run alone.
func (u *Upstream) Hold(now clock.Instant) {
	if !u.held {
		u.held, u.heldSince = true, now
	}
}

// EndHold ends a hold.
func (u *Upstream) EndHold() { u.held = false }

// Held reports whether the upstream is reserved for a suspect.
func (u *Upstream) Held() bool { return u.held }

// ReadyForSuspect reports whether the upstream is held and its suspect can start:
// this entry has no request there, nor has any other until holdTimeout.
func (u *Upstream) ReadyForSuspect(now clock.Instant) bool {
	return u.held && u.outstanding == 0 && (u.Busy() == 0 || now-u.heldSince >= holdTimeout)
}
