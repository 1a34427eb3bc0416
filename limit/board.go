package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// ownerRate is the part of a limit, in requests per second, from which on a
	// further entry gets a share.
	ownerRate = 2.0
	// ownersInterval is the time between two choices of a limit's owners.
	ownersInterval = 500 * time.Millisecond
	// retention is how long a limit that no entry reports is kept.
	retention = time.Minute
)

// Entry is an entry that may get shares, with its demand.
type Entry struct {
	Name, Zone string
	// Arrivals are the requests per second by service.
	Arrivals map[string]float64
}

// upstreamKey identifies one run of an upstream.
type upstreamKey struct {
	upstream    string
	incarnation uint64
}

type state struct {
	Observation
	observedAt, reportedAt clock.Instant
	// owners are the names of the entries that have a share, chosen at ownersAt.
	owners   []string
	ownersAt clock.Instant
	chosen   bool
}

// Board is the leader's side. It isn't safe for concurrent use.
type Board struct {
	states map[upstreamKey]*state
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{states: map[upstreamKey]*state{}} }

// Observe applies an entry's report. The newest answer of an upstream decides.
func (b *Board) Observe(now clock.Instant, observations []Observation) {
	for _, o := range observations {
		key, at := upstreamKey{o.Upstream, o.Incarnation}, now-o.Age
		s, ok := b.states[key]
		if !ok {
			s = &state{Observation: o, observedAt: at}
			b.states[key] = s
		}
		s.reportedAt = now
		if at > s.observedAt {
			s.Observation, s.observedAt = o, at
		}
	}
	for key, s := range b.states {
		if now-s.reportedAt > retention {
			delete(b.states, key)
		}
	}
}

// Shares returns the limits and the entry's shares of them. entries lists all
// that report, and is called only when owners have to be chosen.
func (b *Board) Shares(now clock.Instant, entry string, entries func() []Entry) []Share {
	if len(b.states) == 0 {
		return nil
	}
	var shares []Share
	var all []Entry
	for _, s := range b.states {
		if s.Limited && (!s.chosen || now-s.ownersAt >= ownersInterval) {
			if all == nil {
				all = entries()
			}
			s.chooseOwners(now, all, b.granted(s))
		}
		share := Share{Observation: s.Observation}
		share.Age = max(now-s.observedAt, 0)
		if s.Limited && slices.Contains(s.owners, entry) {
			share.Share = s.Rate / float64(len(s.owners))
		}
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return shares[:min(len(shares), MaxObservations)]
}

// granted returns the shares of the service's other upstreams, by entry, in requests
// per second.
func (b *Board) granted(of *state) map[string]float64 {
	sums := map[string]float64{}
	for _, s := range b.states {
		if s == of || s.Service != of.Service || !s.Limited {
			continue
		}
		for _, owner := range s.owners {
			sums[owner] += s.Rate / float64(len(s.owners))
		}
	}
	return sums
}

// chooseOwners picks the entries that get a share: as many as the limit is worth,
// of those that have requests for the service. Present owners come first, then
// those with the smallest shares of the service's other upstreams, as all of them
// may be limited, and those of the upstream's zone.
func (s *state) chooseOwners(now clock.Instant, entries []Entry, granted map[string]float64) {
	type candidate struct {
		name                string
		idle, fresh, remote bool
		granted             float64
		hash                uint64
	}
	candidates := make([]candidate, 0, len(entries))
	for _, e := range entries {
		candidates = append(candidates, candidate{
			name: e.Name, idle: e.Arrivals[s.Service] <= 0, fresh: !slices.Contains(s.owners, e.Name), remote: e.Zone != s.Zone,
			granted: granted[e.Name],

			hash: xxhash.Sum64String(e.Name + "/" + s.Upstream),
		})
	}
	order := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			order(a.idle)-order(b.idle), order(a.fresh)-order(b.fresh), cmp.Compare(a.granted, b.granted), order(a.remote)-order(b.remote),
			cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name),
		)
	})
	// A restarted entry may be listed twice.
	candidates = slices.CompactFunc(candidates, func(a, b candidate) bool { return a.name == b.name })
	// Upstreams name any number: the ratio may be more than an integer holds.
	number := int(min(max(math.Ceil(s.Rate/ownerRate), 1), float64(len(candidates))))
	s.owners, s.ownersAt, s.chosen = make([]string, 0, number), now, true
	for _, c := range candidates[:number] {
		s.owners = append(s.owners, c.name)
	}
}
