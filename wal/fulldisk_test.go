package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/result"
)

// Times of the emulated keepers, in ticks of 50 ms.
const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
	fullTicks          = 60
	// acceptTicks is the time within which changes are accepted again after the last
	// disk has room.
	acceptTicks = 60
	// compactEach is the number of entries after which a keeper compacts its log.
	compactEach = 12
)

// testKeeper saves what its node has ready as package keeper does.
type testKeeper struct {
	id      consensus.ID
	fs      *memoryFS
	journal *Journal
	node    *consensus.Node
	// changes are those that were applied, in order.
	changes []string
	applied uint64
	// saved is the newest term and vote that Save has stored, and savedLast the index
	// and term of the newest entry.
	saved     consensus.HardState
	savedLast consensus.Entry
	pending   map[uint64]uint64
	// compactAt is the applied index from which on the log is compacted.
	compactAt uint64
	failed    error
}

// testCluster runs keepers over a network that delivers within one tick.
type testCluster struct {
	t        *testing.T
	random   *rand.Rand
	keepers  []*testKeeper
	underWay []consensus.Message
	sent     int
	// acknowledged are the changes that were answered.
	acknowledged []string
}

func newTestCluster(t *testing.T, seed uint64, size int) *testCluster {
	c := &testCluster{t: t, random: rand.New(rand.NewPCG(seed, 7))}
	var voters []consensus.ID
	for i := range size {
		k := &testKeeper{id: consensus.ID(i + 1), fs: newMemoryFS()}
		c.keepers = append(c.keepers, k)
		voters = append(voters, k.id)
		c.start(k)
	}
	if err := c.keepers[0].node.Bootstrap(voters); err != nil {
		t.Fatal(err)
	}
	for range 4 * testElectionTicks {
		c.tick()
	}
	return c
}

func (c *testCluster) start(k *testKeeper) {
	journal, stored, err := Open(k.fs, func() consensus.ID { return k.id })
	if err != nil {
		c.t.Fatalf("keeper %v doesn't start: %v", k.id, err)
	}
	if s := stored.State; s.Term < k.saved.Term || (s.Term == k.saved.Term && k.saved.Vote != consensus.None && s.Vote != k.saved.Vote) {
		c.t.Fatalf("keeper %v has %+v after it has saved %+v", k.id, s, k.saved)
	}
	if !holds(stored, k.savedLast) {
		c.t.Fatalf("keeper %v has lost entry %d, which it has saved", k.id, k.savedLast.Index)
	}
	k.journal, k.saved, k.failed = journal, stored.State, nil
	k.node, err = consensus.New(consensus.Options{
		ID: k.id, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks, MaxAppendBytes: 200, Random: c.random.IntN,
	}, stored)
	if err != nil {
		c.t.Fatalf("keeper %v doesn't start: %v", k.id, err)
	}
	k.pending = map[uint64]uint64{}
	k.restore(stored.Snapshot)
	k.compactAt = k.applied + compactEach
}

// holds reports whether the entry is stored, or others that have replaced it.
func holds(s consensus.Stored, e consensus.Entry) bool {
	return s.Snapshot.Index >= e.Index || slices.ContainsFunc(s.Entries, func(stored consensus.Entry) bool {
		return stored.Term > e.Term || (stored.Term == e.Term && stored.Index == e.Index)
	})
}

func (k *testKeeper) restore(s consensus.Snapshot) {
	k.changes, k.applied = nil, s.Index
	if len(s.Data) > 0 {
		k.changes = strings.Split(string(s.Data), " ")
	}
}

func (c *testCluster) flush(k *testKeeper) {
	for k.failed == nil {
		r := k.node.Ready()
		if err := k.node.Err(); err != nil {
			c.t.Fatalf("keeper %v: %v", k.id, err)
		}
		if r.Empty() {
			break
		}
		c.underWay = append(c.underWay, r.Early...)
		if r.MustSync() {
			if err := k.journal.Save(r); IsFull(err) {
				k.node.TransferLeadership()
				c.underWay = append(c.underWay, k.node.Unsaved(r)...)
				if r.Snapshot == nil {
					c.apply(k, r)
					k.node.AdvanceUnsaved(r)
				}
				break
			} else if err != nil {
				k.failed = err
				return
			}
			k.saved = r.State
			if len(r.Entries) > 0 {
				k.savedLast = r.Entries[len(r.Entries)-1]
			}
		}
		c.underWay = append(c.underWay, r.Messages...)
		c.apply(k, r)
		k.node.Advance(r)
	}
	if k.failed == nil && k.applied >= k.compactAt {
		c.compact(k)
	}
}

func (c *testCluster) apply(k *testKeeper, r consensus.Ready) {
	if r.Snapshot != nil {
		k.restore(*r.Snapshot)
	}
	for _, e := range r.Committed {
		k.applied = e.Index
		if e.Kind != consensus.Command {
			continue
		}
		k.changes = append(k.changes, string(e.Data))
		if k.pending[e.Index] == e.Term {
			c.acknowledged = append(c.acknowledged, string(e.Data))
		}
	}
}

func (c *testCluster) compact(k *testKeeper) {
	s, err := k.node.Compact([]byte(strings.Join(k.changes, " ")), 3, 1000)
	if err != nil {
		c.t.Fatal(err)
	}
	state := k.node.State()
	if err := k.journal.Compact(s, state, k.node.Entries()); err == nil {
		k.saved = state
		k.compactAt = k.applied + compactEach
	} else if IsFull(err) {
		k.compactAt = k.applied + compactEach/2
	} else {
		k.failed = err
	}
}

// tick advances all keepers, sends a change to the one that leads, and delivers what was
// sent in the tick before.
func (c *testCluster) tick() {
	delivered := c.underWay
	c.underWay = nil
	for _, m := range delivered {
		if k := c.keepers[m.To-1]; k.failed == nil {
			k.node.Step(m)
			c.flush(k)
		}
	}
	for _, k := range c.keepers {
		if k.failed != nil {
			continue
		}
		k.node.Tick()
		if k.node.IsLeader() {
			c.sent++
			if index, term, ok := k.node.Propose([]byte(fmt.Sprintf("c%d", c.sent))); ok {
				k.pending[index] = term
			}
		}
		c.flush(k)
	}
}

// pick chooses what survives a crash.
func (c *testCluster) pick(_ string, low, high int) int { return low + c.random.IntN(high-low+1) }

// restart crashes a keeper, with its machine or alone, and starts it again.
func (c *testCluster) restart(k *testKeeper) {
	if c.random.IntN(2) == 0 {
		k.fs.crashWith(c.pick)
	}
	c.start(k)
}

// checkAccepted checks that changes are accepted within acceptTicks, and that no keeper
// has stopped.
func (c *testCluster) checkAccepted(when string) {
	c.t.Helper()
	before := len(c.acknowledged)
	for range acceptTicks {
		c.tick()
	}
	for _, k := range c.keepers {
		if k.failed != nil {
			c.t.Errorf("%s: keeper %v has stopped: %v", when, k.id, k.failed)
		}
	}
	if len(c.acknowledged) == before {
		c.t.Errorf("%s: no change is accepted", when)
	}
}

// checkNothingLost restarts all keepers from what is on their disks, and checks that each
// of them comes to hold every acknowledged change.
func (c *testCluster) checkNothingLost() {
	c.t.Helper()
	acknowledged := slices.Clone(c.acknowledged)
	c.underWay = nil
	for _, k := range c.keepers {
		k.fs.crashWith(c.pick)
		c.start(k)
	}
	c.checkAccepted("after a crash of all")
	for _, k := range c.keepers {
		for _, change := range acknowledged {
			if !slices.Contains(k.changes, change) {
				c.t.Fatalf("keeper %v has lost the acknowledged change %s", k.id, change)
			}
		}
	}
}

// fullOperations are the operations that a full disk may refuse; the first stands for all
// of them.
var fullOperations = []string{
	"all",
	"write log", "sync log", "truncate log", "sync the cut of log", "open log",
	"create snapshot.tmp", "write snapshot.tmp", "sync snapshot.tmp", "close snapshot.tmp", "rename snapshot", "sync folder after snapshot",
	"create log.tmp", "write log.tmp", "sync log.tmp", "close log.tmp", "rename log", "sync folder after log",
}

// refuse has the disk refuse an operation with the error. A cut is only made after a
// refused write.
func refuse(operation string, cause error) func(string, string) error {
	return func(kind, name string) error {
		if operation == "all" || operation == kind+" "+name || (strings.Contains(operation, "cut") || operation == "truncate log") && kind+" "+name == "write log" {
			return cause
		}
		return nil
	}
}

// TestKeepersGoOnAfterEachDiskWasFull guards against keepers that stop for good, one after
// the other, since a full disk was noticed at another operation than a write: in the end
// no majority is left while all processes run.
func TestKeepersGoOnAfterEachDiskWasFull(t *testing.T) {
	for _, operation := range fullOperations {
		for _, size := range []int{3, 4, 5} {
			for _, cause := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
				if cause != syscall.ENOSPC && size != 3 {
					continue
				}
				t.Run(fmt.Sprintf("%s %v %d", operation, cause, size), func(t *testing.T) {
					for seed := uint64(1); seed <= 3; seed++ {
						c := newTestCluster(t, seed, size)
						for _, i := range c.random.Perm(size) {
							k := c.keepers[i]
							k.fs.fail = refuse(operation, cause)
							restartAt := c.random.IntN(2 * fullTicks)
							for at := range fullTicks {
								c.tick()
								if at == restartAt && k.failed == nil {
									c.restart(k)
								}
							}
							k.fs.fail = nil
							restartAt = c.random.IntN(compactEach)
							for at := range fullTicks / 2 {
								c.tick()
								if at == restartAt && k.failed == nil {
									c.restart(k)
								}
							}
						}
						c.checkAccepted(fmt.Sprintf("seed %d, after the last disk has room", seed))
						if t.Failed() {
							return
						}
						c.checkNothingLost()
					}
				})
			}
		}
	}
}

// TestOneRefusalIsNoFailure guards against a state that only one refused operation leaves
// behind, such as a log of which two versions may be on the disk.
func TestOneRefusalIsNoFailure(t *testing.T) {
	for _, operation := range fullOperations {
		t.Run(operation, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				c := newTestCluster(t, seed, 3)
				for _, k := range c.keepers {
					left, always := 1, refuse(operation, syscall.ENOSPC)
					k.fs.fail = func(kind, name string) error {
						err := always(kind, name)
						if err == nil || left == 0 {
							return nil
						}
						left--
						return err
					}
					for range c.random.IntN(fullTicks) {
						c.tick()
					}
				}
				if c.random.IntN(3) == 0 {
					c.checkAccepted(fmt.Sprintf("seed %d", seed))
				}
				for _, k := range c.keepers {
					k.fs.fail = nil
				}
				if t.Failed() {
					return
				}
				c.checkNothingLost()
			}
		})
	}
}

// TestFullDiskIsNoFailureOfTheJournal guards against an operation whose refusal for want
// of room makes all later ones fail, and against an error without the code journalFull.
func TestFullDiskIsNoFailureOfTheJournal(t *testing.T) {
	one := func(index uint64) consensus.Ready {
		return consensus.Ready{Entries: []consensus.Entry{{Index: index, Term: 1, Data: []byte("payload")}}}
	}
	for _, operation := range append(slices.Clone(fullOperations), "create identity.tmp", "write identity.tmp", "sync identity.tmp", "close identity.tmp", "rename identity", "sync folder after identity") {
		t.Run(operation, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fs := newMemoryFS()
			j, _ := mustOpen(t, fs)
			g.Expect(j.Save(one(1))).To(gomega.Succeed())
			fs.fail = refuse(operation, syscall.ENOSPC)
			s := consensus.Snapshot{Index: 1, Term: 1, Data: []byte("state")}
			for range 2 {
				for _, err := range []error{j.Join(99), j.Save(one(2)), j.Compact(s, consensus.HardState{}, one(2).Entries)} {
					if err != nil {
						g.Expect(result.From(err).Code).To(gomega.Equal(result.JournalFull), "%v", err)
					}
				}
			}
			fs.fail = nil
			g.Expect(j.Save(one(2))).To(gomega.Succeed())
			g.Expect(j.Join(99)).To(gomega.Succeed())
			fs.crashWith(func(_ string, low, _ int) int { return low })
			j, stored := mustOpen(t, fs)
			g.Expect(entriesAfterSnapshot(stored)[len(entriesAfterSnapshot(stored))-1].Index).To(gomega.Equal(uint64(2)))
			g.Expect(j.Identity().Cluster).To(gomega.Equal(uint64(99)))
		})
	}
}

// TestRefusedCompactionLeavesItsRoom guards against a disk that the snapshot which didn't
// fit has filled, so that the log can't be written either.
func TestRefusedCompactionLeavesItsRoom(t *testing.T) {
	for _, refused := range []string{"write", "rename snapshot", "rename log"} {
		t.Run(refused, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fs := newMemoryFS()
			j, _ := mustOpen(t, fs)
			const room = 1000
			for _, c := range fs.files {
				fs.capacity += len(c.data)
			}
			fs.capacity += room
			snapshotBytes := 2 * room
			if refused != "write" {
				snapshotBytes = room / 3
				fs.fail = refuse(refused, syscall.ENOSPC)
			}
			r := consensus.Ready{Entries: []consensus.Entry{{Index: 1, Term: 1}}}
			g.Expect(j.Save(r)).To(gomega.Succeed())
			s := consensus.Snapshot{Index: 1, Term: 1, Data: make([]byte, snapshotBytes)}
			g.Expect(IsFull(j.Compact(s, consensus.HardState{}, []consensus.Entry{{Index: 2, Term: 1, Data: make([]byte, room/3)}}))).To(gomega.BeTrue())
			r.Entries[0] = consensus.Entry{Index: 2, Term: 1, Data: make([]byte, room/2)}
			g.Expect(j.Save(r)).To(gomega.Succeed())
		})
	}
}

// TestStartGivesBackTheRoomOfUnfinishedFiles guards against a disk that stays full of what
// a process wrote that ended halfway.
func TestStartGivesBackTheRoomOfUnfinishedFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	fs := newMemoryFS()
	mustOpen(t, fs)
	fs.files[snapshotFile+temporarySuffix] = &fileContent{data: make([]byte, 1000)}
	fs.capacity = 1000
	j, _ := mustOpen(t, fs)
	g.Expect(j.Save(consensus.Ready{Entries: []consensus.Entry{{Index: 1, Term: 1}}})).To(gomega.Succeed())
}

// TestWhatAProcessReadsSurvivesACrash guards against a keeper that relies on a record
// whose sync was refused: a new process can read it, but a crash of the machine loses it.
func TestWhatAProcessReadsSurvivesACrash(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		for _, full := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, full at the start: %t", cause, full), func(t *testing.T) {
				g := gomega.NewWithT(t)
				fs := newMemoryFS()
				j, _ := mustOpen(t, fs)
				r := consensus.Ready{StateChanged: true, State: consensus.HardState{Term: 1, Vote: 7}, Entries: []consensus.Entry{{Index: 1, Term: 1}}}
				g.Expect(j.Save(r)).To(gomega.Succeed())
				fs.fail = func(operation, _ string) error {
					if operation == "sync" || operation == "truncate" {
						return cause
					}
					return nil
				}
				r.State.Term, r.Entries[0] = 2, consensus.Entry{Index: 2, Term: 2}
				g.Expect(j.Save(r)).NotTo(gomega.Succeed())
				if fs.fail = nil; full {
					fs.fail = refuse("all", syscall.ENOSPC)
				}
				j, stored := mustOpen(t, fs)
				g.Expect(stored.State.Term).To(gomega.Equal(uint64(2)))
				n, err := consensus.New(consensus.Options{ID: 7, ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 100, Random: rand.New(rand.NewPCG(1, 1)).IntN}, stored)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				if full {
					ready := n.Ready()
					g.Expect(ready.MustSync()).To(gomega.BeTrue(), "nothing may be confirmed yet")
					g.Expect(ready.Entries).To(gomega.HaveLen(2))
					g.Expect(IsFull(j.Save(ready))).To(gomega.BeTrue())
					fs.fail = nil
					g.Expect(j.Save(ready)).To(gomega.Succeed())
				} else {
					ready := n.Ready()
					g.Expect(ready.MustSync()).To(gomega.BeFalse())
				}
				fs.crashWith(func(_ string, _, high int) int { return high })
				_, found := mustOpen(t, fs)
				g.Expect(found.State).To(gomega.Equal(stored.State))
				g.Expect(found.Entries).To(gomega.HaveLen(2))
			})
		}
	}
}

// TestFirstStartOnAFullDisk guards against a folder that can't be used once there is room,
// since the first start was refused halfway.
func TestFirstStartOnAFullDisk(t *testing.T) {
	for _, name := range []string{identityFile, logFile} {
		for _, operation := range []string{"create %s.tmp", "write %s.tmp", "sync %s.tmp", "close %s.tmp", "rename %s", "sync folder after %s"} {
			operation = fmt.Sprintf(operation, name)
			t.Run(operation, func(t *testing.T) {
				for seed := uint64(1); seed <= 20; seed++ {
					g := gomega.NewWithT(t)
					random := rand.New(rand.NewPCG(seed, 3))
					fs := newMemoryFS()
					fs.fail = refuse(operation, syscall.ENOSPC)
					_, _, err := Open(fs, newID)
					g.Expect(IsFull(err)).To(gomega.BeTrue(), "%v", err)
					fs.fail = nil
					if seed%2 == 0 {
						fs.crashWith(func(_ string, low, high int) int { return low + random.IntN(high-low+1) })
					}
					j, _ := mustOpen(t, fs)
					g.Expect(j.Save(consensus.Ready{Entries: []consensus.Entry{{Index: 1, Term: 1}}})).To(gomega.Succeed())
					fs.crashWith(func(_ string, low, _ int) int { return low })
					_, stored := mustOpen(t, fs)
					g.Expect(stored.Entries).To(gomega.HaveLen(1))
				}
			})
		}
	}
}

// TestSpoolGoesOnAfterAFullDisk guards against a spool that takes no record any more, or
// loses those that it has taken, after its disk refused an operation.
func TestSpoolGoesOnAfterAFullDisk(t *testing.T) {
	for _, operation := range []string{"all", "open origins", "write origins", "sync origins", "truncate origins", "sync the cut of origins", "rename origins.old", "close origins"} {
		t.Run(operation, func(t *testing.T) {
			for seed := uint64(1); seed <= 20; seed++ {
				g := gomega.NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 5))
				fs := newMemoryFS()
				s, _, err := OpenSpool(fs, "origins")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				var want []string
				for i := range 12 {
					fs.fail = nil
					if random.IntN(2) == 0 {
						fs.fail = refuse(operation, syscall.ENOSPC)
					}
					if i == 6 {
						_ = s.Turn()
					}
					if record := fmt.Sprint(i); s.Append([]byte(record)) == nil {
						want = append(want, record)
					}
				}
				fs.fail = nil
				g.Expect(s.Append([]byte("last"))).To(gomega.Succeed())
				fs.crashWith(func(_ string, low, high int) int { return low + random.IntN(high-low+1) })
				_, records, err := OpenSpool(fs, "origins")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				var got []string
				for _, r := range records {
					got = append(got, string(r))
				}
				for _, record := range append(want, "last") {
					g.Expect(got).To(gomega.ContainElement(record), "seed %d", seed)
				}
			}
		})
	}
}
