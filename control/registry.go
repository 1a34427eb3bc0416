package control

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// silentAfter is the time without an announcement after which an upstream is
// marked as silent: three times the longest announcement interval of published
// deployments.
const silentAfter = 3600 * time.Millisecond

// forgetAfter is how long an upstream whose lease ran out is kept, so that
// every entry receives its end.
const forgetAfter = time.Minute

// registry is one keeper's list of upstreams, with a count of its changes. Time
// is passed in. It isn't safe for concurrent use.
type registry struct {
	generation uint64
	upstreams  map[string]*registration
	// changes lists the registrations, the last changed one first, so that
	// changedSince visits only those that it returns.
	changes *list.List
	// grownAt is when the last new upstream was heard of.
	grownAt clock.Instant
	// replaced are the releases that upstreams had which started again under their IDs
	// with another one, with the time at which that was heard of.
	replaced map[origin.Origin]clock.Instant
}

type registration struct {
	upstream.Member
	generation    uint64
	lastAnnounced clock.Instant
	endedAt       clock.Instant
	element       *list.Element
}

func newRegistry() *registry {
	return &registry{upstreams: map[string]*registration{}, changes: list.New(), replaced: map[origin.Origin]clock.Instant{}}
}

// apply merges an announcement and reports whether entries need to know.
func (r *registry) apply(now clock.Instant, a upstream.Announcement) bool {
	known, ok := r.upstreams[a.ID]
	if !ok {
		known = &registration{}
		known.element = r.changes.PushFront(known)
		r.upstreams[a.ID] = known
		r.grownAt = now
	}
	changed := !ok || known.Silent || known.Ended || differs(a, known.Announcement)
	for _, service := range known.Services {
		if a.Release != known.Release || !slices.Contains(a.Services, service) {
			r.replaced[origin.Origin{Service: service, Release: known.Release}] = now
		}
	}
	known.Member = upstream.Member{Announcement: a}
	known.lastAnnounced = now
	if changed {
		r.markChanged(known)
	}
	return changed
}

// differs reports whether two announcements differ in what entries use. Load,
// lease and sequence number are ignored.
func differs(a, b upstream.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Address != b.Address || a.Release != b.Release || a.Leaving != b.Leaving ||
		a.Slots != b.Slots || a.Zone != b.Zone || a.Reclaimable != b.Reclaimable ||
		!slices.Equal(a.Services, b.Services) ||
		(a.Cold > 0) != (b.Cold > 0)
}

func (r *registry) markChanged(u *registration) {
	r.generation++
	u.generation = r.generation
	r.changes.MoveToFront(u.element)
}

// markEnded marks an upstream whose lease ran out, and reports whether entries
// need to know.
func (r *registry) markEnded(now clock.Instant, id string, incarnation uint64) bool {
	known, ok := r.upstreams[id]
	if !ok || known.Incarnation != incarnation || known.Ended {
		return false
	}
	known.Ended, known.endedAt = true, now
	r.markChanged(known)
	return true
}

// sweep marks upstreams that are silent for silentAfter, and removes those that
// ended, and releases that were replaced, forgetAfter ago. It reports whether entries need
// to know.
func (r *registry) sweep(now clock.Instant) bool {
	changed := false
	maps.DeleteFunc(r.replaced, func(_ origin.Origin, at clock.Instant) bool { return now-at > forgetAfter })
	for id, u := range r.upstreams {
		switch {
		case u.Ended && now-u.endedAt > forgetAfter:
			delete(r.upstreams, id)
			r.changes.Remove(u.element)
		case !u.Ended && !u.Silent && !u.Leaving && now-u.lastAnnounced > silentAfter:
			u.Silent = true
			r.markChanged(u)
			changed = true
		}
	}
	return changed
}

// get returns the last announcement of an upstream, nil if there is none.
func (r *registry) get(id string) *upstream.Announcement {
	known, ok := r.upstreams[id]
	if !ok {
		return nil
	}
	a := known.Announcement
	return &a
}

// changedSince returns the members that changed after the generation.
func (r *registry) changedSince(generation uint64) []upstream.Member {
	var members []upstream.Member
	for e := r.changes.Front(); e != nil; e = e.Next() {
		u := e.Value.(*registration)
		if u.generation <= generation {
			break
		}
		members = append(members, u.Member)
	}
	return members
}

// serving returns the releases of the upstreams of the services, with those that ended
// or were replaced less than forgetAfter ago.
func (r *registry) serving(now clock.Instant, services []string) []origin.Origin {
	var releases []origin.Origin
	for _, u := range r.upstreams {
		for _, service := range u.Services {
			o := origin.Origin{Service: service, Release: u.Release}
			if slices.Contains(services, service) && !slices.Contains(releases, o) {
				releases = append(releases, o)
			}
		}
	}
	for o, at := range r.replaced {
		if now-at <= forgetAfter && slices.Contains(services, o.Service) && !slices.Contains(releases, o) {
			releases = append(releases, o)
		}
	}
	return releases
}

func (u *registration) usable() bool { return !u.Ended && !u.Leaving && !u.Silent }

// usable returns the upstreams that are neither ended, leaving nor silent.
func (r *registry) usable() []upstream.Member {
	var members []upstream.Member
	for _, u := range r.upstreams {
		if u.usable() {
			members = append(members, u.Member)
		}
	}
	return members
}
