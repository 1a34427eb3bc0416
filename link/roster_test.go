package link

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/origin"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

const (
	// contactTime is within which an entry has to notice what a keeper that reaches a
	// majority could tell it: the shortest contactMs of the deployments.
	contactTime = 3 * time.Second
	// tick is the step of the emulation, pollTime the time that a keeper holds a poll.
	tick     = 10 * time.Millisecond
	pollTime = 300 * time.Millisecond
)

// emulation plays an entry's sync loops and probes against keepers, some of which are cut
// off from each other.
type emulation struct {
	random  *rand.Rand
	now     clock.Instant
	roster  *roster
	keepers []control.Peer
	// side is the part of the cut to which each keeper belongs, cutAt when that began. A
	// keeper on side unreachable doesn't answer the entry.
	side  []int
	cutAt clock.Instant
	// polled is the keeper of each loop, busyUntil when its answer comes, and confirmed
	// whether it had a majority when it was asked.
	polled    [syncLoopCount]netip.AddrPort
	busyUntil [syncLoopCount]clock.Instant
	confirmed [syncLoopCount]bool
	probeAt   clock.Instant
	// answeredAt is when a poll was last answered, confirmedAt when one was confirmed.
	answeredAt, confirmedAt clock.Instant
}

const unreachable = -1

func newEmulation(seed uint64, zones ...string) *emulation {
	e := &emulation{random: rand.New(rand.NewPCG(seed, 0)), now: time.Minute, side: make([]int, len(zones))}
	var seeds []netip.AddrPort
	for i, zone := range zones {
		p := control.Peer{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)), Zone: zone}
		e.keepers = append(e.keepers, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.Address)
		}
	}
	e.roster = newRoster(zones[0], seeds)
	return e
}

func (e *emulation) index(address netip.AddrPort) int {
	return slices.IndexFunc(e.keepers, func(p control.Peer) bool { return p.Address == address })
}

// sideOf returns the keepers that the keeper reaches.
func (e *emulation) sideOf(keeper int) []control.Peer {
	var peers []control.Peer
	for i, p := range e.keepers {
		if e.side[i] == e.side[keeper] {
			peers = append(peers, p)
		}
	}
	return peers
}

// hasMajority reports whether the keeper is on a side with a majority that has had the
// time for an election.
func (e *emulation) hasMajority(keeper int) bool {
	return e.side[keeper] != unreachable && 2*len(e.sideOf(keeper)) > len(e.keepers)
}

// answer has the keeper answer a call that was made at askedAt; confirmed says that it had
// a majority then.
func (e *emulation) answer(askedAt clock.Instant, address netip.AddrPort, confirmed bool) {
	i := e.index(address)
	if e.side[i] == unreachable {
		e.roster.failed(e.now, address)
		return
	}
	quorum := control.QuorumMissed
	if confirmed {
		quorum = control.QuorumConfirmed
		e.confirmedAt = e.now
	}
	e.answeredAt = e.now
	e.roster.answered(askedAt, address, quorum)
	peers := e.keepers
	if e.now-e.cutAt > 2*time.Second {
		peers = e.sideOf(i)
	}
	e.roster.list(e.now, peers, quorum == control.QuorumConfirmed)
}

func (e *emulation) run(d time.Duration) {
	for end := e.now + d; e.now < end; e.now += tick {
		for loop := range syncLoopCount {
			if e.now < e.busyUntil[loop] {
				continue
			}
			if e.polled[loop].IsValid() {
				e.answer(e.now-pollTime, e.polled[loop], e.confirmed[loop])
			}
			e.polled[loop], _ = e.roster.choose(e.now, loop, e.random.Float64)
			e.confirmed[loop] = e.hasMajority(e.index(e.polled[loop]))
			hold := time.Duration(pollTime)
			if e.side[e.index(e.polled[loop])] == unreachable {
				hold = syncTimeout
			}
			e.busyUntil[loop] = e.now + hold
		}
		if e.now >= e.probeAt {
			for _, address := range e.roster.probes(e.now, e.random.Float64) {
				e.answer(e.now, address, e.hasMajority(e.index(address)))
			}
			e.probeAt = e.now + minProbeInterval
		}
	}
}

func (e *emulation) cut(side ...int) { e.side, e.cutAt = side, e.now }

// polls returns the indices of the polled keepers.
func (e *emulation) polls() []int {
	var indices []int
	for _, address := range e.polled {
		indices = append(indices, e.index(address))
	}
	slices.Sort(indices)
	return indices
}

// TestEntryLeavesKeepersThatAreCutOff guards against an entry that runs requests by an old
// configuration, as it stays with keepers that are cut off from the others but answer.
func TestEntryLeavesKeepersThatAreCutOff(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		e := newEmulation(seed, "a", "a", "b", "b", "c", "c", "d", "d")
		e.run(40 * time.Second)
		g.Expect(e.polls()).To(gomega.Equal([]int{0, 1}))
		e.cut(1, 1, 0, 0, 0, 0, 0, 0)
		e.run(contactTime)
		for _, i := range e.polls() {
			g.Expect(e.hasMajority(i)).To(gomega.BeTrue(), "seed %d: keeper %d", seed, i)
		}
		e.run(5 * time.Second)
		for _, i := range e.polls() {
			g.Expect(e.hasMajority(i)).To(gomega.BeTrue(), "seed %d: keeper %d", seed, i)
		}
		// Traffic within a zone is cheap.
		e.cut(0, 0, 0, 0, 0, 0, 0, 0)
		e.run(5 * time.Second)
		g.Expect(e.polls()).To(gomega.Equal([]int{0, 1}), "seed %d", seed)
	}
}

// TestEntryOfAZoneThatIsCutOffKeepsItsKeepers has a zone serve on its own: its keepers
// reach no majority, but tell the entry of upstreams.
func TestEntryOfAZoneThatIsCutOffKeepsItsKeepers(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		e := newEmulation(seed, "a", "a", "b", "b", "c", "c")
		e.run(10 * time.Second)
		e.cut(0, 0, unreachable, unreachable, unreachable, unreachable)
		for range 20 {
			e.run(time.Second)
			g.Expect(e.polls()).To(gomega.Equal([]int{0, 1}), "seed %d", seed)
		}
	}
}

// TestReloadedSeedsKeepTheirZones guards against keepers of an entry's own zone that are taken
// for others as the settings, which name no zones, are read again.
func TestReloadedSeedsKeepTheirZones(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEmulation(1, "a", "a", "b", "b")
	e.run(10 * time.Second)
	before := slices.Clone(e.roster.keepers)
	e.roster.setSeeds([]netip.AddrPort{e.keepers[0].Address, e.keepers[2].Address})
	g.Expect(e.roster.keepers).To(gomega.Equal(before))
}

// TestCutOffKeepersDontHideTheOthers guards against an entry that has forgotten the other
// keepers once a majority is to be had, as those that it polled listed only each other.
func TestCutOffKeepersDontHideTheOthers(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		e := newEmulation(seed, "a", "a", "b", "b", "c", "c", "d", "d")
		e.run(10 * time.Second)
		e.cut(0, 0, 1, 1, 2, 2, 3, 3)
		e.run(5 * time.Second)
		g.Expect(e.roster.keepers).To(gomega.ConsistOf(e.keepers))
		e.cut(1, 1, 0, 0, 0, 0, 0, 0)
		e.run(contactTime)
		for _, i := range e.polls() {
			g.Expect(e.hasMajority(i)).To(gomega.BeTrue(), "seed %d: keeper %d", seed, i)
		}
	}
}

// TestUnlistedKeepersStayInMinority guards against an entry that never leaves keepers that are
// cut off: a majority that lists them no more made it forget what they missed, they listed
// themselves again, and had another second.
func TestUnlistedKeepersStayInMinority(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEmulation(1, "a", "a", "b", "b", "c")
	r, cutOff := e.roster, e.keepers[:2]
	r.list(e.now, e.keepers, true)
	r.answered(e.now, cutOff[0].Address, control.QuorumMissed)
	e.now += majorityGrace
	r.list(e.now, e.keepers[2:], true)
	r.list(e.now, cutOff, false)
	g.Expect(r.knows(cutOff[0].Address)).To(gomega.BeTrue())
	g.Expect(r.inMinority(e.now, cutOff[0].Address)).To(gomega.BeTrue())
	// What is known of a keeper goes when it hasn't been listed for long.
	e.now += origin.Retention + time.Second
	r.list(e.now, e.keepers[2:], true)
	g.Expect(r.inMinority(e.now, cutOff[0].Address)).To(gomega.BeFalse())
}

// TestElectionsMoveNobody guards against entries that all get a whole directory from
// another keeper at each election.
func TestElectionsMoveNobody(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		e := newEmulation(seed, "a", "b", "c")
		e.run(10 * time.Second)
		before := e.polled
		e.cut(0, 1, 2)
		e.run(majorityGrace)
		e.cut(0, 0, 0)
		e.run(5 * time.Second)
		g.Expect(e.polled).To(gomega.Equal(before), "seed %d", seed)
	}
}

// TestLongElectionsMoveNobody has an election take longer than the grace. Once there is a
// leader, the polled keepers reach a majority like the others.
func TestLongElectionsMoveNobody(t *testing.T) {
	for seed := range uint64(50) {
		g := gomega.NewWithT(t)
		e := newEmulation(seed, "a", "a", "b", "b", "c", "c")
		e.run(10 * time.Second)
		before := e.polled
		e.cut(0, 1, 2, 3, 4, 5)
		e.run(2*time.Second + time.Duration(seed)*tick)
		e.cut(0, 0, 0, 0, 0, 0)
		for range 500 {
			e.run(tick)
			g.Expect(e.polled).To(gomega.Equal(before), "seed %d", seed)
		}
	}
}

// TestEntryFindsAnyMajority cuts keepers apart at random, again and again, and takes some
// of them away.
func TestEntryFindsAnyMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 3, 9).Draw(t, "zones")
		e := newEmulation(rapid.Uint64().Draw(t, "seed"), zones...)
		e.run(10 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			e.cut(rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 1, unreachable}), len(zones), len(zones)).Draw(t, "side")...)
			e.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "time")) * time.Millisecond)
		}
		e.cut(rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1}), len(zones), len(zones)).Draw(t, "last")...)
		e.run(contactTime)
		majority := false
		for i := range zones {
			majority = majority || e.hasMajority(i)
		}
		if majority && e.now-e.confirmedAt > time.Second {
			t.Fatalf("no keeper has confirmed anything for %v", e.now-e.confirmedAt)
		}
	})
}
