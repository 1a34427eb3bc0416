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
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/origin"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

const (
	// contactTime is within which an entry has to notice what a keeper that reaches a
	// majority could tell it: the shortest contactMs of the deployments.
	contactTime = 3 * time.Second
	// tick is the step of the emulation, pollTime the time that a keeper holds a poll, and
	// maxPollTime that time with many entries.
	tick        = 10 * time.Millisecond
	pollTime    = 300 * time.Millisecond
	maxPollTime = 600 * time.Millisecond
	// maxNoticeTime is how much later than others a keeper may hear of a new leader: the
	// interval between the leader's heartbeats.
	maxNoticeTime = 100 * time.Millisecond
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
	// pollTime is the time that a keeper holds a poll. From leaderAt on, each keeper knows
	// the leader of its side, if that has one.
	pollTime time.Duration
	leaderAt []clock.Instant
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
	e := &emulation{random: rand.New(rand.NewPCG(seed, 0)), now: time.Minute, side: make([]int, len(zones)), pollTime: pollTime, leaderAt: make([]clock.Instant, len(zones))}
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

// confirms reports whether the keeper is on such a side and has heard of the leader.
func (e *emulation) confirms(keeper int) bool {
	return e.hasMajority(keeper) && e.now >= e.leaderAt[keeper]
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
	e.roster.answered(e.now, askedAt, address, quorum)
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
				e.answer(e.now-e.pollTime, e.polled[loop], e.confirmed[loop])
			}
			e.polled[loop], _ = e.roster.choose(e.now, loop, e.random.Float64)
			e.confirmed[loop] = e.confirms(e.index(e.polled[loop]))
			hold := e.pollTime
			if e.side[e.index(e.polled[loop])] == unreachable {
				hold = syncTimeout
			}
			e.busyUntil[loop] = e.now + hold
		}
		if e.now >= e.probeAt {
			for _, address := range e.roster.probes(e.now, e.random.Float64) {
				e.answer(e.now, address, e.confirms(e.index(address)))
			}
			e.probeAt = e.now + pace.Jitter(minProbeInterval, e.random.Float64())
		}
	}
}

func (e *emulation) cut(side ...int) { e.side, e.cutAt = side, e.now }

// elect ends an election: the keepers have these sides, and those of a side hear of their
// leader one after the other.
func (e *emulation) elect(side ...int) {
	e.cut(side...)
	for i := range e.leaderAt {
		e.leaderAt[i] = e.now + time.Duration(e.random.Float64()*float64(maxNoticeTime))
	}
}

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
	r.answered(e.now, e.now, cutOff[0].Address, control.QuorumMissed)
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

// electionTimes are how long elections take in the tests, without the part that a seed adds.
var electionTimes = []time.Duration{
	200 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, time.Second, 1200 * time.Millisecond,
	1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second, 9500 * time.Millisecond,
}

// electionSeeds is how many seeds each of the times has.
const electionSeeds = 25

// forEachElection calls the test with emulated entries whose polls are held for several times,
// and with elections of 0.2 to 10 s.
func forEachElection(test func(e *emulation, election time.Duration, name string)) {
	for _, held := range []time.Duration{pollTime, 450 * time.Millisecond, maxPollTime} {
		for _, election := range electionTimes {
			for seed := range uint64(electionSeeds) {
				e := newEmulation(seed, "a", "a", "b", "b", "c", "c", "d", "d")
				e.pollTime = held
				e.run(10 * time.Second)
				test(e, election+time.Duration(seed)*2*tick, fmt.Sprintf("seed %d, election of %v, polls of %v", seed, election+time.Duration(seed)*2*tick, held))
			}
		}
	}
}

// expectToLeave fails the test unless both polls are at keepers with a majority within
// contactTime, and stay there.
func (e *emulation) expectToLeave(t *testing.T, name string) {
	t.Helper()
	e.run(contactTime)
	for end := e.now + 5*time.Second; e.now < end; e.run(tick) {
		for _, address := range e.polled {
			if i := e.index(address); !e.hasMajority(i) {
				t.Fatalf("%s: keeper %d is polled %v after it was cut off", name, i, e.now-e.cutAt)
			}
		}
	}
}

// TestElectionsOfAnyLengthMoveNobody guards against entries that all get whole directories from
// other keepers after an election, as their own answer questions from before its end, or hear
// of the leader a moment later.
func TestElectionsOfAnyLengthMoveNobody(t *testing.T) {
	forEachElection(func(e *emulation, election time.Duration, name string) {
		before := e.polled
		e.cut(0, 1, 2, 3, 4, 5, 6, 7)
		e.run(election)
		e.elect(0, 0, 0, 0, 0, 0, 0, 0)
		for range 500 {
			e.run(tick)
			if e.polled != before {
				t.Fatalf("%s: polls have moved %v after it", name, e.now-e.cutAt)
			}
		}
	})
}

// TestEntryLeavesKeepersThatAreCutOffInAnElection guards against an entry that stays with the
// keepers of its zone, which were cut off while there was no leader and which it takes for
// keepers that haven't heard of the election's end.
func TestEntryLeavesKeepersThatAreCutOffInAnElection(t *testing.T) {
	forEachElection(func(e *emulation, election time.Duration, name string) {
		e.cut(0, 1, 2, 3, 4, 5, 6, 7)
		e.run(election)
		e.elect(1, 1, 0, 0, 0, 0, 0, 0)
		e.expectToLeave(t, name)
	})
}

// TestEntryLeavesOneKeeperThatIsCutOffInAnElection has the other polled keeper reach a
// majority again: its answers must not hide that the first one doesn't.
func TestEntryLeavesOneKeeperThatIsCutOffInAnElection(t *testing.T) {
	forEachElection(func(e *emulation, election time.Duration, name string) {
		e.cut(0, 1, 2, 3, 4, 5, 6, 7)
		e.run(election)
		e.elect(1, 0, 0, 0, 0, 0, 0, 0)
		e.expectToLeave(t, name)
	})
}

// TestEntryLeavesKeepersThatAreCutOffAfterAnElection guards against an entry that gives
// keepers more time as it has just seen them without a majority and with one again.
func TestEntryLeavesKeepersThatAreCutOffAfterAnElection(t *testing.T) {
	forEachElection(func(e *emulation, election time.Duration, name string) {
		e.cut(0, 1, 2, 3, 4, 5, 6, 7)
		e.run(election)
		e.elect(0, 0, 0, 0, 0, 0, 0, 0)
		after := time.Duration(e.random.Float64() * float64(2*time.Second))
		e.run(after)
		e.cut(1, 1, 0, 0, 0, 0, 0, 0)
		e.expectToLeave(t, fmt.Sprintf("%s, cut off %v after it", name, after))
	})
}

// TestOnlyLaterMissesCutAKeeperOff guards against a keeper that is left for what it couldn't
// know: misses of questions from before another keeper was confirmed, from the moment after it,
// or from before the keeper itself was confirmed.
func TestOnlyLaterMissesCutAKeeperOff(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEmulation(1, "a", "a", "b")
	r, polled, other := e.roster, e.keepers[0].Address, e.keepers[2].Address
	const start, end = clock.Instant(time.Hour), clock.Instant(time.Hour + 3*time.Second)
	r.list(start, e.keepers, true)
	r.answered(start+pollTime, start-tick, other, control.QuorumConfirmed)
	r.answered(start+pollTime, start, polled, control.QuorumMissed)
	r.answered(start+2*time.Second, start+2*time.Second, polled, control.QuorumMissed)
	g.Expect(r.inMinority(end, polled)).To(gomega.BeTrue())
	g.Expect(r.cutOff(end, polled)).To(gomega.BeFalse(), "the other one was asked before the election")
	r.answered(end, end-tick, other, control.QuorumConfirmed)
	r.answered(end+tick, end-pollTime, polled, control.QuorumMissed)
	g.Expect(r.cutOff(end+tick, polled)).To(gomega.BeFalse(), "it was asked in the election")
	r.answered(end+maxNoticeTime, end+maxNoticeTime, polled, control.QuorumMissed)
	g.Expect(r.cutOff(end+maxNoticeTime, polled)).To(gomega.BeFalse(), "it may not have heard of the leader")
	later := end + leaderNoticeTime
	r.answered(later, later, polled, control.QuorumMissed)
	g.Expect(r.cutOff(later, polled)).To(gomega.BeTrue())
	r.answered(later+2*tick, later+tick, polled, control.QuorumConfirmed)
	r.answered(later+pollTime, later, polled, control.QuorumMissed)
	g.Expect(r.misses).NotTo(gomega.HaveKey(polled))
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
