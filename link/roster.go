package link

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/origin"
)

// Times and costs of the choice of keepers.
const (
	// majorityGrace is how long a keeper may fail to reach a majority before another
	// one is looked for. It is longer than an election.
	majorityGrace = time.Second
	// majorityValid is how long a keeper counts as connected to a majority after a
	// question that it confirmed.
	majorityValid = 2 * time.Second
	// leaderNoticeTime is within which all keepers that reach a majority have heard of a
	// new leader, once one of them has: two intervals between the leader's heartbeats.
	leaderNoticeTime = 200 * time.Millisecond
	// maxProbes is the number of keepers that are asked at once for a majority.
	maxProbes = 3

	// The costs by which a keeper is chosen. A failure counts less with each second.
	// A keeper that is undecided, unless it is the current one, counts little more than one
	// of another zone: after an election it has a majority like the others.
	sharedCost    = 100
	minorityCost  = 60
	failureCost   = 50
	undecidedCost = 5
	otherZoneCost = 2
	currentGain   = 1
)

// roster is what an entry knows of the keepers, and chooses those that it polls. Time and
// randomness are passed in. It isn't safe for concurrent use.
type roster struct {
	zone  string
	seeds []netip.AddrPort
	// keepers are the live keepers, with the seeds if those are few. current are those
	// that the sync loops poll, by loop.
	keepers []control.Peer
	current [syncLoopCount]netip.AddrPort
	// listedAt is when a keeper last listed each of the keepers; older ones than
	// origin.Retention aren't kept.
	listedAt map[netip.AddrPort]clock.Instant
	// failedAt is when a keeper last failed to answer. An answer removes it.
	failedAt map[netip.AddrPort]clock.Instant
	// confirmedAt is when a keeper was last asked something that a majority confirmed, and
	// misses are the questions since then that none did.
	confirmedAt map[netip.AddrPort]clock.Instant
	misses      map[netip.AddrPort]misses
	// majorityAt is when an answer of any keeper last said that a majority confirmed it.
	majorityAt clock.Instant
	// search spaces the questions for a majority while none is known, and searchAt is when
	// the next are due. recheckAt is when a keeper without one may be asked again.
	search              pace.Backoff
	searchAt, recheckAt clock.Instant
}

// misses are the questions that no majority confirmed to a keeper in a row, while there may
// have been no majority at all.
type misses struct {
	// firstAt and lastAt are when the first and the last of them were asked.
	firstAt, lastAt clock.Instant
	// elsewhereAt is when another keeper's answer came to a question from firstAt or later,
	// and a majority had confirmed that; 0 before. Later answers follow without a gap of
	// majorityValid, in which there may have been another election.
	elsewhereAt clock.Instant
}

func newRoster(zone string, seeds []netip.AddrPort) *roster {
	r := &roster{
		zone: zone, listedAt: map[netip.AddrPort]clock.Instant{}, failedAt: map[netip.AddrPort]clock.Instant{},
		confirmedAt: map[netip.AddrPort]clock.Instant{}, misses: map[netip.AddrPort]misses{},
		search: pace.Backoff{First: minProbeInterval, Max: maxSearchInterval},
	}
	r.setSeeds(seeds)
	return r
}

// setSeeds changes the seeds, the keepers that are called when no other is known.
func (r *roster) setSeeds(seeds []netip.AddrPort) {
	r.seeds = seeds
	r.addSeeds()
}

// addSeeds adds the seeds that aren't known.
func (r *roster) addSeeds() {
	for _, seed := range r.seeds {
		if !r.knows(seed) {
			r.keepers = append(r.keepers, control.Peer{Address: seed})
		}
	}
}

// add adds a keeper, or replaces what is known of it.
func (r *roster) add(p control.Peer) {
	if i := slices.IndexFunc(r.keepers, func(k control.Peer) bool { return k.Address == p.Address }); i >= 0 {
		r.keepers[i] = p
		return
	}
	r.keepers = append(r.keepers, p)
}

func (r *roster) knows(address netip.AddrPort) bool {
	return slices.ContainsFunc(r.keepers, func(p control.Peer) bool { return p.Address == address })
}

// list records the live keepers that a keeper has listed. One without a majority may be
// cut off from the others, so that only a confirmed list removes keepers. What is known of
// them stays as long as listedAt: one that is cut off goes on listing itself.
func (r *roster) list(now clock.Instant, peers []control.Peer, confirmed bool) {
	if len(peers) == 0 {
		return
	}
	for _, p := range peers {
		r.listedAt[p.Address] = now
		if !confirmed {
			r.add(p)
		}
	}
	if !confirmed {
		return
	}
	r.keepers = slices.Clone(peers)
	if len(peers) < syncLoopCount {
		r.addSeeds()
	}
	maps.DeleteFunc(r.listedAt, func(_ netip.AddrPort, at clock.Instant) bool { return now-at > origin.Retention })
	forgotten := func(address netip.AddrPort) bool {
		_, listed := r.listedAt[address]
		return !listed && !r.knows(address)
	}
	for _, m := range []map[netip.AddrPort]clock.Instant{r.failedAt, r.confirmedAt} {
		maps.DeleteFunc(m, func(address netip.AddrPort, _ clock.Instant) bool { return forgotten(address) })
	}
	maps.DeleteFunc(r.misses, func(address netip.AddrPort, _ misses) bool { return forgotten(address) })
}

// recent returns the keepers that were listed within origin.Retention of now, and those
// that are known to be alive.
func (r *roster) recent(now clock.Instant) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range r.keepers {
		addresses = append(addresses, p.Address)
	}
	for address, at := range r.listedAt {
		if now-at <= origin.Retention && !r.knows(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// failed records a call that the keeper didn't answer.
func (r *roster) failed(now clock.Instant, address netip.AddrPort) { r.failedAt[address] = now }

// answered records an answer, which came at now, to a call that was made at askedAt.
func (r *roster) answered(now, askedAt clock.Instant, address netip.AddrPort, q control.Quorum) {
	delete(r.failedAt, address)
	switch q {
	case control.QuorumConfirmed:
		r.confirmedAt[address] = max(r.confirmedAt[address], askedAt)
		delete(r.misses, address)
		for other, m := range r.misses {
			if now-r.majorityAt > majorityValid {
				m.elsewhereAt = 0
			}
			if m.elsewhereAt == 0 && askedAt >= m.firstAt {
				m.elsewhereAt = now
			}
			r.misses[other] = m
		}
		r.majorityAt = now
	case control.QuorumMissed:
		if askedAt < r.confirmedAt[address] {
			return
		}
		m, ok := r.misses[address]
		if !ok {
			m.firstAt = askedAt
		}
		m.lastAt = max(m.lastAt, askedAt)
		r.misses[address] = m
	case control.QuorumUnasked:
	}
}

// inMinority reports whether the keeper has failed to reach a majority for majorityGrace.
// There may be none to reach, as in an election.
func (r *roster) inMinority(now clock.Instant, address netip.AddrPort) bool {
	m, ok := r.misses[address]
	return ok && now-m.firstAt >= majorityGrace
}

// cutOff reports whether the keeper has failed to reach a majority for majorityGrace, and
// also when it was asked after another keeper had reached one. What was asked before, in an
// election, says nothing of the time after it.
func (r *roster) cutOff(now clock.Instant, address netip.AddrPort) bool {
	m := r.misses[address]
	return r.inMinority(now, address) && m.elsewhereAt != 0 && m.lastAt >= m.elsewhereAt+leaderNoticeTime
}

// undecided returns the polled keepers that may be cut off, or not have been asked since an
// election; elsewhere says that a majority has answered other keepers meanwhile.
func (r *roster) undecided(now clock.Instant) (addresses []netip.AddrPort, elsewhere bool) {
	elsewhere = true
	for _, address := range r.current {
		if r.inMinority(now, address) && !r.cutOff(now, address) && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
			elsewhere = elsewhere && r.misses[address].elsewhereAt != 0
		}
	}
	return addresses, elsewhere
}

// majorityKnown reports whether a keeper is known that has reached a majority lately.
func (r *roster) majorityKnown(now clock.Instant) bool {
	return slices.ContainsFunc(r.keepers, func(p control.Peer) bool {
		at, ok := r.confirmedAt[p.Address]
		return ok && now-at <= majorityValid && !r.inMinority(now, p.Address)
	})
}

// choose picks the keeper of the lowest cost for a sync loop. In this order of weight it
// avoids a keeper that another loop polls, one without a majority if another has one, one
// that has failed lately and one of another zone, and prefers the current one. The current
// one is left only if it is known to be cut off: a move costs a whole directory.
func (r *roster) choose(now clock.Instant, loop int, random func() float64) (best netip.AddrPort, cost float64) {
	cost = 1e9
	majorityKnown := r.majorityKnown(now)
	for _, p := range r.keepers {
		c := random()
		for otherLoop, keeper := range r.current {
			if otherLoop != loop && keeper == p.Address {
				c += sharedCost
			}
		}
		switch {
		case !majorityKnown:
		case r.cutOff(now, p.Address):
			c += minorityCost
		case r.current[loop] != p.Address && r.inMinority(now, p.Address):
			c += undecidedCost
		}
		if failedAt, ok := r.failedAt[p.Address]; ok {
			c += failureCost / (1 + (now - failedAt).Seconds())
		}
		if p.Zone != r.zone {
			c += otherZoneCost
		}
		if r.current[loop] == p.Address {
			c -= currentGain
		}
		if c < cost {
			best, cost = p.Address, c
		}
	}
	r.current[loop] = best
	return best, cost
}

// probes returns the keepers to ask whether they reach a majority, which is called again after
// minProbeInterval. It returns none unless a keeper is in a minority. While nothing tells whether
// a majority is to be had, it returns others than those that are polled; then the polled ones
// that are undecided, as the entry leaves them with their next miss; then one that didn't
// reach a majority, as it may do so again.
func (r *roster) probes(now clock.Instant, random func() float64) []netip.AddrPort {
	var minority, others []netip.AddrPort
	for _, p := range r.keepers {
		switch {
		case r.inMinority(now, p.Address):
			minority = append(minority, p.Address)
		case !slices.Contains(r.current[:], p.Address):
			others = append(others, p.Address)
		}
	}
	known := r.majorityKnown(now)
	if known || len(minority) == 0 {
		r.search.Succeeded()
		r.searchAt = now
	}
	undecided, elsewhere := r.undecided(now)
	switch {
	case len(minority) == 0:
		return nil
	case known && len(undecided) == 0:
		if now < r.recheckAt {
			return nil
		}
		r.recheckAt = now + pace.Jitter(maxProbeInterval, random())
		return []netip.AddrPort{minority[int(random()*float64(len(minority)))]}
	case known && elsewhere:
		return undecided
	case now < r.searchAt:
		return nil
	}
	r.searchAt = now + r.search.Failed(random())
	// Those that haven't answered lately come last.
	order := make(map[netip.AddrPort]float64, len(others)+len(minority))
	for _, address := range others {
		order[address] = random()
		if at, ok := r.failedAt[address]; ok && now-at < majorityValid {
			order[address]++
		}
	}
	for _, address := range minority {
		if !slices.Contains(r.current[:], address) {
			order[address] = 2 + random()
		}
	}
	all := slices.SortedFunc(maps.Keys(order), func(a, b netip.AddrPort) int { return cmp.Compare(order[a], order[b]) })
	return all[:min(len(all), maxProbes)]
}
