package link

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
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
	// maxProbes is the number of keepers that are asked at once for a majority.
	maxProbes = 3

	// The costs by which a keeper is chosen. A failure counts less with each second.
	sharedCost    = 100
	minorityCost  = 60
	failureCost   = 50
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
	// confirmedAt is when a keeper was last asked something that a majority confirmed.
	// minoritySince is when it was first asked in vain since then.
	confirmedAt, minoritySince map[netip.AddrPort]clock.Instant
}

func newRoster(zone string, seeds []netip.AddrPort) *roster {
	r := &roster{
		zone: zone, listedAt: map[netip.AddrPort]clock.Instant{}, failedAt: map[netip.AddrPort]clock.Instant{},
		confirmedAt: map[netip.AddrPort]clock.Instant{}, minoritySince: map[netip.AddrPort]clock.Instant{},
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
	for _, m := range []map[netip.AddrPort]clock.Instant{r.failedAt, r.confirmedAt, r.minoritySince} {
		maps.DeleteFunc(m, func(address netip.AddrPort, _ clock.Instant) bool {
			_, listed := r.listedAt[address]
			return !listed && !r.knows(address)
		})
	}
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

// answered records an answer to a call that was made at askedAt.
func (r *roster) answered(askedAt clock.Instant, address netip.AddrPort, q control.Quorum) {
	delete(r.failedAt, address)
	switch q {
	case control.QuorumConfirmed:
		r.confirmedAt[address] = max(r.confirmedAt[address], askedAt)
		delete(r.minoritySince, address)
	case control.QuorumMissed:
		if _, ok := r.minoritySince[address]; !ok {
			r.minoritySince[address] = askedAt
		}
	case control.QuorumUnasked:
	}
}

// inMinority reports whether the keeper has failed to reach a majority for majorityGrace.
func (r *roster) inMinority(now clock.Instant, address netip.AddrPort) bool {
	since, ok := r.minoritySince[address]
	return ok && now-since >= majorityGrace
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
// that has failed lately and one of another zone, and prefers the current one.
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
		if majorityKnown && r.inMinority(now, p.Address) {
			c += minorityCost
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

// probes returns the keepers to ask whether they reach a majority. While one is known that
// does, it returns one that didn't, as that may do so again; else others than those that
// are polled. It returns none unless a keeper is in a minority.
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
	if len(minority) == 0 {
		return nil
	}
	if r.majorityKnown(now) {
		return []netip.AddrPort{minority[int(random()*float64(len(minority)))]}
	}
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
