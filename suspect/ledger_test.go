package suspect

import (
	"flag"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const (
	second = time.Second
	// commonPart is a part of all prompts, badPart one that crashes upstreams.
	commonPart, badPart = 1, 66
)

// request returns the traits of a request with its own fingerprint.
func request(fingerprint uint64, parts ...uint64) []Trait {
	return Traits("s", fingerprint, append([]uint64{commonPart}, parts...))
}

func refused(l *Ledger, now clock.Instant, traits []Trait) bool {
	_, _, found := l.Quarantined(now, traits)
	return found
}

// exchange gives the leader what the ledger has seen, and the ledger what the
// leader knows.
func exchange(now clock.Instant, l, leader *Ledger) {
	report := l.Report(now)
	leader.Merge(now, report)
	l.Merge(now, leader.Shared(now, report))
}

// TestPartThatCrashesUpstreamsIsQuarantined crashes three upstreams by requests
// that are sent one after the other, while others are answered.
func TestPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New()
	for i := range uint64(QuarantineCrashes) {
		now := clock.Instant(i+1) * second
		g.Expect(refused(l, now, request(100, badPart))).To(gomega.BeFalse(), "after %d crashes", i)
		l.Crashed(now, i, now-second/10, now, request(i, badPart))
		l.Crashed(now, i, now-second/10, now, request(50+i, 7+i))
		l.Answered(now+second/10, request(200+i, 30))
	}
	now := 4 * second
	g.Expect(l.NewlyQuarantined()).To(gomega.Equal(map[Trait]int{Traits("s", 0, []uint64{badPart})[2]: QuarantineCrashes}))
	trait, left, found := l.Quarantined(now, request(100, badPart))
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(trait.Hash).To(gomega.Equal(uint64(badPart)))
	g.Expect(left).To(gomega.Equal(QuarantineTime - second))
	g.Expect(refused(l, now, request(100, 7))).To(gomega.BeFalse(), "a neighbour's part")
	g.Expect(refused(l, now, Traits("other", 100, []uint64{badPart}))).To(gomega.BeFalse(), "another service")
	g.Expect(l.NewlyQuarantined()).To(gomega.BeEmpty())

	g.Expect(refused(l, 3*second+QuarantineTime, request(100, badPart))).To(gomega.BeFalse(), "the quarantine has ended")
	now = 5*second + QuarantineTime
	l.Answered(now, request(300, 30))
	l.Crashed(now, 9, now-second, now, request(101, badPart))
	g.Expect(refused(l, now, request(100, badPart))).To(gomega.BeTrue(), "one more crash is enough then")
	l.Answered(now+second, request(102, badPart))
	g.Expect(refused(l, now+second, request(100, badPart))).To(gomega.BeFalse(), "an answer clears it")
}

// TestCrashesThatProveNothing has crashes with another explanation than the part.
func TestCrashesThatProveNothing(t *testing.T) {
	answered := func(l *Ledger) { l.Answered(90*second, request(500, 30)) }
	for name, run := range map[string]func(l *Ledger){
		"upstreams that crash at once": func(l *Ledger) {
			for i := range uint64(6) {
				l.Crashed(10*second, i, 9*second, 10*second+clock.Instant(i), request(i, badPart))
			}
			answered(l)
		},
		"one upstream, seen by several requests": func(l *Ledger) {
			for i := range uint64(6) {
				l.Crashed(10*second, 1, clock.Instant(i), 10*second, request(i, badPart))
			}
			answered(l)
		},
		"answers in between": func(l *Ledger) {
			for i := range uint64(6) {
				now := clock.Instant(i+1) * second
				l.Crashed(now, i, now-second/10, now, request(i, badPart))
				l.Answered(now+second/10, request(50+i, badPart))
			}
			answered(l)
		},
		"a service that answers nobody": func(l *Ledger) {
			for i := range uint64(6) {
				now := clock.Instant(i+1) * second
				l.Crashed(now, i, now-second/10, now, request(i, badPart))
			}
		},
		"crashes that are far apart": func(l *Ledger) {
			for i := range uint64(QuarantineCrashes) {
				now := clock.Instant(i+1) * (suspicionRetention + second)
				l.Crashed(now, i, now-second/10, now, request(i, badPart))
				l.Answered(now+second, request(50+i, 30))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			run(l)
			gomega.NewWithT(t).Expect(refused(l, 400*second, request(100, badPart))).To(gomega.BeFalse())
		})
	}
}

// TestSameRequestAtSeveralUpstreamsThatCrashAtOnce tells copies of one bad request
// from an outage that ends a request which others ask too.
func TestSameRequestAtSeveralUpstreamsThatCrashAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	leader, entries := New(), []*Ledger{New(), New(), New(), New()}
	const bad, popular = 1000, 2000
	entries[0].Answered(8*second, request(popular))
	for i, l := range entries {
		at := 10*second + clock.Instant(i)
		l.Crashed(10*second, uint64(i), 9*second, at, request(bad))
		l.Crashed(10*second, uint64(i), 9*second, at, request(popular))
	}
	for now := 11 * second; now < 13*second; now += second / 4 {
		for _, l := range entries {
			exchange(now, l, leader)
		}
	}
	for i, l := range entries {
		g.Expect(refused(l, 13*second, request(bad))).To(gomega.BeTrue(), "entry %d", i)
		g.Expect(refused(l, 13*second, request(popular))).To(gomega.BeFalse(), "entry %d, answered just before", i)
		g.Expect(refused(l, 13*second, request(3000))).To(gomega.BeFalse(), "entry %d, the common part", i)
	}
}

// TestEvidenceOfAllEntriesCounts spreads crashes and answers over entries, whose
// leader changes.
func TestEvidenceOfAllEntriesCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	leader, entries := New(), []*Ledger{New(), New(), New()}
	now := clock.Instant(0)
	exchangeAll := func() {
		for range 2 {
			for _, l := range entries {
				now += second / 10
				exchange(now, l, leader)
			}
		}
	}
	for i := range uint64(QuarantineCrashes) {
		now += second
		entries[i].Crashed(now, i, now-second/10, now, request(i, badPart, 40))
		exchangeAll()
	}
	entries[0].Answered(now, request(100, 30))
	exchangeAll()
	for i, l := range entries {
		g.Expect(refused(l, now, request(100, badPart))).To(gomega.BeTrue(), "entry %d", i)
		g.Expect(refused(l, now, request(100, 30))).To(gomega.BeFalse(), "entry %d, the common part", i)
	}
	entries[1].Answered(now, request(101, 40))
	exchangeAll()
	for i, l := range entries {
		g.Expect(refused(l, now, request(100, 40))).To(gomega.BeFalse(), "entry %d, a part that another entry got an answer to", i)
	}
	leader = New()
	entries = append(entries, New())
	exchangeAll()
	for i, l := range entries {
		g.Expect(refused(l, now, request(100, badPart))).To(gomega.BeTrue(), "entry %d, with a new leader", i)
	}
}

// TestConvictionsOutliveTheirWitnesses loses the leader and, one by one, all entries
// that saw the crashes.
func TestConvictionsOutliveTheirWitnesses(t *testing.T) {
	g := gomega.NewWithT(t)
	leader, entries := New(), []*Ledger{New(), New(), New()}
	now := clock.Instant(second)
	exchangeAll := func() {
		for range 3 {
			for _, l := range entries {
				now += second / 10
				exchange(now, l, leader)
			}
		}
	}
	for i := range uint64(QuarantineCrashes) {
		now += second
		entries[0].Crashed(now, i, now-second/10, now, request(i, badPart))
		entries[1].Answered(now+second/20, request(100+i, 30))
		exchangeAll()
	}
	for i := range entries {
		leader = New()
		exchangeAll()
		entries[i] = New()
		exchangeAll()
		g.Expect(refused(entries[i], now, request(200, badPart))).To(gomega.BeTrue(), "entry %d, restarted under a new leader", i)
		g.Expect(refused(entries[i], now, request(200, 30))).To(gomega.BeFalse(), "entry %d", i)
	}
}

// TestTimesOfRepeatedEvidenceStay passes evidence around for long: what was known
// of its times must not drift, or an answer would no longer clear it.
func TestTimesOfRepeatedEvidenceStay(t *testing.T) {
	g := gomega.NewWithT(t)
	leader, entries := New(), []*Ledger{New(), New()}
	now := clock.Instant(second)
	for i := range uint64(QuarantineCrashes) {
		now += second
		entries[0].Crashed(now, i, now-second/10, now, request(i, badPart))
		entries[0].Answered(now+second/20, request(100+i, 30))
	}
	answered := now + second/20
	const delay = 20 * time.Millisecond
	for range 200 {
		for _, l := range entries {
			report := l.Report(now)
			leader.Merge(now+delay, report)
			l.Merge(now+2*delay, leader.Shared(now+delay, report))
			now += 150 * time.Millisecond
		}
	}
	g.Expect(refused(entries[1], now, request(200, badPart))).To(gomega.BeTrue())
	leader.Merge(now, []Evidence{{Trait: request(1, badPart)[3], Answered: true, SinceAnswer: now - answered - 200*time.Millisecond}})
	for _, l := range entries {
		exchange(now, l, leader)
		g.Expect(refused(l, now, request(200, badPart))).To(gomega.BeFalse())
	}
}

// TestLedgersAgainstAnOracle runs random crashes and answers at several entries:
// after an exchange a part that was answered since its last crash is free, and
// evidence stays within its bounds on the wire.
func TestLedgersAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, entries := New(), []*Ledger{New(), New(), New()}
		now := clock.Instant(0)
		lastAnswer, lastSent := map[uint64]clock.Instant{}, map[uint64]clock.Instant{}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "wait")) * time.Millisecond
			l := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			part := uint64(rapid.IntRange(2, 60).Draw(t, "part"))
			traits := request(uint64(step), part)
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				sent := now - time.Duration(rapid.IntRange(1, 500).Draw(t, "ran"))*time.Millisecond
				l.Crashed(now, uint64(step), sent, now, traits)
				lastSent[part] = max(lastSent[part], sent)
			case 1:
				l.Answered(now, traits)
				lastAnswer[part] = now
			default:
				report := l.Report(now)
				checkEvidence(t, report)
				leader.Merge(now, report)
				reply := leader.Shared(now, report)
				checkEvidence(t, reply)
				l.Merge(now, reply)
			}
		}
		for range 40 {
			for _, l := range entries {
				exchange(now, l, leader)
			}
			now += second / 10
		}
		for part, at := range lastAnswer {
			if at < lastSent[part] {
				continue
			}
			for i, l := range entries {
				if refused(l, now, Traits("s", 1<<40, []uint64{part})) {
					t.Fatalf("entry %d refuses part %d, answered at %v, last crash of a request sent at %v", i, part, at, lastSent[part])
				}
			}
		}
	})
}

func checkEvidence(t *rapid.T, list []Evidence) {
	if len(list) > MaxEvidence {
		t.Fatalf("%d traits", len(list))
	}
	for i := range list {
		var decoded Evidence
		if err := wire.Decode(wire.MustEncode(&list[i]), &decoded); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(wire.MustEncode(list)); n > 6<<10 {
		t.Fatalf("evidence takes %d bytes", n)
	}
}

// TestLedgerForgets keeps a ledger small under many different requests.
func TestLedgerForgets(t *testing.T) {
	l := New()
	for i := range uint64(60_000) {
		now := clock.Instant(i) * time.Millisecond
		traits := request(i, i, i+1)
		if i%500 == 0 {
			l.Crashed(now, i, now, now, traits)
			continue
		}
		l.Answered(now, traits)
	}
	gomega.NewWithT(t).Expect(len(l.own)).To(gomega.BeNumerically("<=", 2*maxRecords))
	gomega.NewWithT(t).Expect(l.Suspects(60 * second)).To(gomega.BeNumerically("<=", 3*120))
}
