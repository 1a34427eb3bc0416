package fleet

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/limit"
)

// liftedRetention is how long a lifted limit is reported, so that all entries
// hear of it.
const liftedRetention = 10 * time.Second

// limitAge is the age of a limit at which its owners ask again, by a request.
// Nothing but an answer tells that the limit has been lifted.
const limitAge = 2 * time.Second

// namedLimit is the limit that an upstream names for all entries together, and what
// this entry may use of it.
type namedLimit struct {
	limited bool
	// rate is the limit in requests per second, as of an answer at observedAt.
	rate       float64
	observedAt clock.Instant
	// own is what this entry heard itself.
	own ownLimit
	// share is this entry's part in requests per second, once granted is set.
	// Without it the entry assumes an equal part.
	share   float64
	granted bool
	limiter *rate.Limiter
}

// ownLimit is what an upstream's answer at observedAt said of its limit; 0 means
// that this entry has heard of none.
type ownLimit struct {
	limited    bool
	rate       float64
	observedAt clock.Instant
}

// limiterTime returns the instant as a time for the limiter.
func limiterTime(now clock.Instant) time.Time { return time.Unix(0, int64(now)) }

// shareOf is the part that this entry may use, in requests per second.
func (l *namedLimit) shareOf(entries int) float64 {
	if l.granted {
		return l.share
	}
	return l.rate / float64(entries)
}

// update sets the limiter to the entry's part. A new limiter begins empty: the
// upstream has just had requests.
func (l *namedLimit) update(now clock.Instant, entries int) {
	at, share := limiterTime(now), rate.Limit(l.shareOf(entries))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(share, 1)
		l.limiter.AllowN(at, 1)
		return
	}
	if l.limiter.Limit() != share {
		l.limiter.SetLimitAt(at, share)
	}
}

// hasLimitLeft reports whether a request may be sent to the upstream now.
func (u *upstreamView) hasLimitLeft(now clock.Instant) bool {
	return !u.limit.limited || u.limit.limiter.TokensAt(limiterTime(now)) >= 1
}

// limitOutdated reports whether a request should be sent to hear the limit again.
func (u *upstreamView) limitOutdated(now clock.Instant) bool {
	return u.limit.limited && u.running == 0 && now-u.limit.observedAt > limitAge
}

// spendLimit counts a request against the upstream's limit.
func (u *upstreamView) spendLimit(now clock.Instant) {
	if u.limit.limited {
		u.limit.limiter.AllowN(limiterTime(now), 1)
	}
}

// Named records what the answer to the ticket says about its upstream's limit. An
// answer without one lifts the limit, if the request was sent after it was named.
func (f *Fleet) Named(now clock.Instant, id uint64, requestsPerSecond float64, limited bool) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	l := &t.upstream.limit
	switch {
	case limited:
		l.limited, l.rate, l.observedAt = true, max(requestsPerSecond, limit.MinRate), now
		l.own = ownLimit{true, l.rate, now}
		l.update(now, f.entries)
	case l.limited && t.sentAt > l.observedAt:
		*l = namedLimit{observedAt: now, own: ownLimit{observedAt: now}}
		f.schedule(now, f.service(t.Service))
	}
	return f.takeActions()
}

// Limits returns what this entry has heard about limits, for the leader, the
// newest first.
func (f *Fleet) Limits(now clock.Instant) []limit.Observation {
	var list []limit.Observation
	for _, s := range f.services {
		for _, u := range s.upstreams {
			own := u.limit.own
			if own.observedAt == 0 || own.limited != u.limit.limited || !own.limited && now-own.observedAt > liftedRetention {
				continue
			}
			list = append(list, limit.Observation{
				Upstream: u.ID, Incarnation: u.Incarnation, Service: s.name, Zone: u.Zone, Rate: own.rate, Limited: own.limited, Age: now - own.observedAt,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b limit.Observation) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), limit.MaxObservations)]
}

// SetLimits applies the leader's limits with this entry's shares.
func (f *Fleet) SetLimits(now clock.Instant, shares []limit.Share) {
	for i := range shares {
		s := &shares[i]
		u, ok := f.upstreams[s.Upstream]
		if !ok || u.Incarnation != s.Incarnation {
			continue
		}
		l := &u.limit
		if at := now - s.Age; at > l.observedAt {
			if !s.Limited {
				*l = namedLimit{observedAt: at, own: l.own}
				continue
			}
			l.limited, l.rate, l.observedAt = true, max(s.Rate, limit.MinRate), at
		}
		if l.limited {
			l.share, l.granted = s.Share, true
			l.update(now, f.entries)
		}
	}
}
