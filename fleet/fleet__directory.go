package fleet

import (
	"maps"
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Merge updates the upstreams from a keeper's directory.
func (f *Fleet) Merge(now clock.Instant, members []upstream.Member) []Action {
	for i := range members {
		f.mergeMember(now, members[i])
	}
	f.forgetEnded(now)
	f.appeared(now)
	f.scheduleAll(now)
	return f.takeActions()
}

// endedRetention is how long an upstream that has ended is kept, so that no
// keeper that still lists it can bring it back. Keepers keep it for a minute.
const endedRetention = 3 * time.Minute

// forgetEnded removes the upstreams that ended endedRetention ago.
func (f *Fleet) forgetEnded(now clock.Instant) {
	for id, u := range f.upstreams {
		switch {
		case !u.Ended:
			u.endedAt = 0
		case u.endedAt == 0:
			u.endedAt = now
		case now-u.endedAt > endedRetention && u.running == 0:
			f.remove(u)
			f.paces.Drop(id)
			f.releaseAddress(u)
		}
	}
}

func (f *Fleet) mergeMember(now clock.Instant, m upstream.Member) {
	u, ok := f.upstreams[m.ID]
	switch {
	case ok && m.Incarnation == u.Incarnation && m.Sequence == u.Sequence && m.Leaving == u.Leaving:
		u.Silent, u.Ended = m.Silent, m.Ended
		f.noteRelease(now, u)
		return
	case ok && !m.Newer(&u.Announcement):
		return
	case m.Ended && !ok:
		return
	}
	if ok && m.Address != u.Address {
		f.releaseAddress(u)
	}
	switch {
	case ok && m.Incarnation == u.Incarnation:
		f.noteRelease(now, u)
		u.Member = m
	default:
		if ok {
			f.noteRelease(now, u)
			f.remove(u)
		}
		u = newUpstreamView(now, m)
		f.upstreams[m.ID] = u
		if len(m.Services) > 0 {
			s := f.service(m.Services[0])
			f.initPace(s, u)
			f.noteRelease(now, u)
			s.upstreams = append(s.upstreams, u)
			sort.Slice(s.upstreams, func(i, j int) bool { return s.upstreams[i].ID < s.upstreams[j].ID })
		}
	}
	f.assignAddress(u)
}

// noteRelease records that the release of the upstream served until now.
func (f *Fleet) noteRelease(now clock.Instant, u *upstreamView) {
	if len(u.Services) > 0 {
		f.service(u.Services[0]).releases[u.Release] = now
	}
}

// OnlyRelease returns the release of all upstreams that have served the service within
// the time, if there is exactly one.
func (f *Fleet) OnlyRelease(now clock.Instant, name string, within time.Duration) (release string, ok bool) {
	s, ok := f.services[name]
	if !ok {
		return "", false
	}
	for _, u := range s.upstreams {
		if !u.Ended {
			f.noteRelease(now, u)
		}
	}
	maps.DeleteFunc(s.releases, func(_ string, at clock.Instant) bool { return now-at > within })
	if len(s.releases) != 1 {
		return "", false
	}
	for only := range s.releases {
		release = only
	}
	return release, true
}

// assignAddress marks all but the newest upstream that announced an address as
// replaced. One that leaves makes room for any other: its start may be numbered by the time of
// its departure, at the address of an earlier one.
func (f *Fleet) assignAddress(u *upstreamView) {
	address := u.Address.String()
	other, taken := f.upstreams[f.idByAddress[address]]
	switch {
	case !taken || other == u:
		f.idByAddress[address] = u.ID
	case u.Leaving && !other.Leaving, u.Leaving == other.Leaving && other.Incarnation > u.Incarnation:
		u.replaced = true
	default:
		other.replaced = true
		f.idByAddress[address] = u.ID
	}
}

// releaseAddress forgets the upstream's address, unless another one has it.
func (f *Fleet) releaseAddress(u *upstreamView) {
	if address := u.Address.String(); f.idByAddress[address] == u.ID {
		delete(f.idByAddress, address)
	}
}

func (f *Fleet) remove(u *upstreamView) {
	delete(f.upstreams, u.ID)
	u.replaced = true
	if len(u.Services) == 0 {
		return
	}
	s := f.service(u.Services[0])
	for i, other := range s.upstreams {
		if other == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			break
		}
	}
	if s.config.Name == "" && len(s.upstreams) == 0 && len(s.queue) == 0 {
		// Upstreams may name any service; no configuration has had this one.
		delete(f.services, s.name)
	}
}
