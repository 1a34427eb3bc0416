package keeper

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/wal"
)

// limitedFolder is a data folder that refuses an operation for want of room.
type limitedFolder struct {
	wal.FS
	mu sync.Mutex
	// refused is the operation that is refused, "all" for all that need room, or "".
	refused string
	// cause is the error of a refusal.
	cause error
	// refusals counts them by operation and file.
	refusals map[string]int
}

func (f *limitedFolder) refuse(operation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = operation
}

func (f *limitedFolder) setCause(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cause = cause
}

func (f *limitedFolder) refusalsOf(operation string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusals[operation]
}

func (f *limitedFolder) failure(kind, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if operation := kind + " " + name; f.refused == "all" || f.refused == operation {
		f.refusals[operation]++
		return f.cause
	}
	return nil
}

func (f *limitedFolder) Create(name string) (wal.File, error) {
	if err := f.failure("create", name); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return &limitedFile{file, f, name}, err
}

func (f *limitedFolder) Append(name string) (wal.File, error) {
	if err := f.failure("open", name); err != nil {
		return nil, err
	}
	file, err := f.FS.Append(name)
	return &limitedFile{file, f, name}, err
}

type limitedFile struct {
	wal.File
	folder *limitedFolder
	name   string
}

func (f *limitedFile) Write(b []byte) (int, error) {
	if err := f.folder.failure("write", f.name); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *limitedFile) Sync() error {
	if err := f.folder.failure("sync", f.name); err != nil {
		return err
	}
	return f.File.Sync()
}

// testKeepers are keepers in this process, with real connections and disks.
type testKeepers struct {
	keepers []*Keeper
	folders []*limitedFolder
	client  *Client
	number  uint64
}

// startKeepers starts keepers that found a cluster together; refused is what their disks
// refuse at first.
func startKeepers(t *testing.T, size int, refused string) *testKeepers {
	return startKeepersBy(t, size, refused, settings.Keeper{InitialVoters: size, Voters: size, ReplaceAfter: time.Minute})
}

// startKeepersBy starts keepers by the settings, of which the first founds the cluster.
func startKeepersBy(t *testing.T, size int, refused string, s settings.Keeper) *testKeepers {
	g := gomega.NewWithT(t)
	k := &testKeepers{}
	var seeds []netip.AddrPort
	for i := range size {
		server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seeds = append(seeds, server.Address)
		system := actors.NewSystem()
		host := gossip.New(t.Context(), gossip.Options{
			Node: member.NodeInfo{Name: fmt.Sprint(i), Address: server.Address}, Incarnation: uint64(i + 1), Seeds: seeds[:1],
			Interval: 50 * time.Millisecond, Lease: 3 * time.Second, Clock: clock.System(), Actors: system, Server: server,
		})
		fs, err := wal.OpenFolder(t.TempDir())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		folder := &limitedFolder{FS: fs, cause: syscall.ENOSPC, refusals: map[string]int{}}
		journal, stored, err := wal.Open(folder, func() consensus.ID { return consensus.ID(i + 1) })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		folder.refuse(refused)
		host.SetKeeper(journal.Identity().ID.String(), 0)
		s.Bootstrap = i == 0
		keeper, err := New(t.Context(), Options{
			Name: fmt.Sprint(i), Settings: s,
			Address: server.Address, Seeds: seeds, Journal: journal, Stored: stored, Gossip: host, Server: server,
			Clock: clock.System(), Actors: system, Metrics: metrics.NewRegistry(),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		k.keepers, k.folders = append(k.keepers, keeper), append(k.folders, folder)
		if i == 0 {
			k.client = NewClient(host, server.Client)
		}
	}
	return k
}

// put stores a configuration of the size, in bytes.
func (k *testKeepers) put(ctx context.Context, size int) error {
	k.number++
	_, err := k.client.Put(ctx, config.Put{Number: k.number, Packed: make([]byte, size)})
	return err
}

func (k *testKeepers) failures(ctx context.Context) []string {
	var list []string
	for _, keeper := range k.keepers {
		if failed := keeper.Status(ctx).Failed; failed != "" {
			list = append(list, failed)
		}
	}
	return list
}

// TestChangesAreAcceptedAfterEachDiskWasFull guards against keepers that stop for good, one
// after the other, until no majority is left while all processes run.
func TestChangesAreAcceptedAfterEachDiskWasFull(t *testing.T) {
	for _, operation := range []string{"all", "write log", "sync log"} {
		t.Run(operation, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			k := startKeepers(t, 3, "")
			g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
			for i, folder := range k.folders {
				folder.refuse(operation)
				for until := time.Now().Add(time.Second); time.Now().Before(until); {
					g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed(), "while the disk of keeper %d is full", i)
				}
				g.Expect(k.keepers[i].diskFullMs.Value()).To(gomega.BeNumerically(">", 0))
				folder.refuse("")
				g.Eventually(k.keepers[i].diskFullMs.Value, 3*time.Second).Should(gomega.BeZero())
			}
			began := time.Now()
			g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
			g.Expect(k.failures(t.Context())).To(gomega.BeEmpty())
		})
	}
}

// TestStoppedKeeperSaysSo guards against a keeper that has stopped for good while its process
// runs, and no metric tells.
func TestStoppedKeeperSaysSo(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startKeepers(t, 1, "")
	g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
	g.Expect(k.keepers[0].stopped.Value()).To(gomega.BeZero())
	k.folders[0].setCause(syscall.EIO)
	k.folders[0].refuse("sync log")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	g.Expect(k.put(ctx, 10)).NotTo(gomega.Succeed())
	g.Expect(k.keepers[0].stopped.Value()).To(gomega.Equal(int64(1)))
	g.Expect(k.failures(t.Context())).To(gomega.ConsistOf(gomega.ContainSubstring("journalSyncFailed")))
}

// TestStoppedKeeperIsReplaced guards against a keeper that has stopped for good and yet
// keeps its vote, as its process is alive: after the second one no majority is left, though
// others could have taken their places.
func TestStoppedKeeperIsReplaced(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startKeepersBy(t, 5, "", settings.Keeper{InitialVoters: 3, Voters: 3, ReplaceAfter: time.Second})
	g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
	voters := func() []consensus.ID {
		for _, keeper := range k.keepers {
			if s := keeper.Status(t.Context()); s.Failed == "" && s.Role == consensus.Leader.String() && len(s.Config.Outgoing) == 0 {
				return s.Config.Voters
			}
		}
		return nil
	}
	members := func() int {
		c := k.keepers[0].Status(t.Context()).Config
		return len(c.Members())
	}
	g.Eventually(members, 5*time.Second).Should(gomega.Equal(5))
	for range 2 {
		stopped := voters()[0]
		folder := k.folders[stopped-1]
		folder.setCause(syscall.EIO)
		folder.refuse("sync log")
		g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
		g.Eventually(voters, 10*time.Second).Should(gomega.And(gomega.HaveLen(3), gomega.Not(gomega.ContainElement(stopped))))
	}
	g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
}

// TestClusterIsFoundedOnceDisksHaveRoom guards against a keeper that stops for good since
// its disk was full when it was to found the cluster, or to join it.
func TestClusterIsFoundedOnceDisksHaveRoom(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startKeepers(t, 3, "all")
	g.Eventually(func() int { return k.folders[0].refusalsOf("open log") }, 5*time.Second).Should(gomega.BeNumerically(">", 0))
	k.folders[0].refuse("")
	for _, folder := range k.folders[1:] {
		g.Eventually(func() int { return folder.refusalsOf("open log") }, 5*time.Second).Should(gomega.BeNumerically(">", 1))
		folder.refuse("")
	}
	g.Expect(k.put(t.Context(), 10)).To(gomega.Succeed())
	g.Expect(k.failures(t.Context())).To(gomega.BeEmpty())
}

// TestRefusedCompactionsCostNoChange guards against a keeper that tries after each change to
// compact a log for which its disk has no room, and refuses changes meanwhile though they
// fit.
func TestRefusedCompactionsCostNoChange(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startKeepers(t, 1, "")
	const changeBytes = 1 << 20
	for range compactThresholdBytes/changeBytes - 1 {
		g.Expect(k.put(t.Context(), changeBytes)).To(gomega.Succeed())
	}
	k.folders[0].refuse("create snapshot.tmp")
	g.Expect(k.put(t.Context(), 2*changeBytes)).To(gomega.Succeed())
	leader := k.keepers[0]
	for until := time.Now().Add(time.Second); time.Now().Before(until); {
		k.number++
		reply := leader.Propose(t.Context(), Command{Put: &config.Put{Number: k.number, Packed: make([]byte, 10)}})
		g.Expect(reply.NotLeader).To(gomega.BeFalse(), reply.Detail)
	}
	g.Expect(k.folders[0].refusalsOf("create snapshot.tmp")).To(gomega.BeNumerically("<=", 2), "compactions that were refused")
	g.Expect(leader.Status(t.Context()).DiskFullMs).To(gomega.BeNumerically(">", 0))
	k.folders[0].refuse("")
	g.Eventually(func() int64 { return leader.Status(t.Context()).LogBytes }, 2*compactRetryInterval).Should(gomega.BeNumerically("<", compactThresholdBytes))
}
