package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/usage"
	"github.com/hyssopladder/hyssopladder/wal"
)

// Figures of the case.
const (
	// defaultEarlier is the number of changes before the case begins, those of sixteen
	// days of 8,200, unless HISTORY sets another; laterChanges follow by the operator's
	// API.
	defaultEarlier = 131_000
	laterChanges   = 2_200
	historyRoutes  = 300
	ordersAtOnce   = 8
	// coreDown is how long all processes of the core are down.
	coreDown = 900 * time.Millisecond
	// readFor is how long the operator reads back: recoverS of 12 s, contactMs of 3 s, and
	// some more.
	readFor      = 20 * time.Second
	restartDelay = 500 * time.Millisecond
)

// machineSnapshot is what a keeper's snapshot holds.
type machineSnapshot struct {
	Documents []byte `json:"d"`
	Claims    []byte `json:"c"`
	Configs   []byte `json:"f,omitempty"`
	Usage     []byte `json:"u,omitempty"`
}

// runHistory starts keepers whose disks hold the changes of sixteen days, sends some
// more, and kills all keepers at once.
func runHistory(ctx context.Context, b *bench) error {
	b.founded = true
	earlier := defaultEarlier
	if n, err := strconv.Atoi(os.Getenv("HISTORY")); err == nil && n > 0 {
		earlier = n
	}
	keepers, entries, err := b.addCluster([]string{"a", "b", "c"}, []string{"a"})
	if err != nil {
		return err
	}
	routes := []route{{Name: "look", Host: callerHost, PathPrefix: "/look/", Kind: "idempotent", TimeoutMs: 3000, SloMs: 500, Attempts: 2, Service: "shelf"}}
	for i := range historyRoutes {
		name := fmt.Sprintf("%x", config.DigestOf([]byte{byte(i), byte(i >> 8)}))
		routes = append(routes, route{Name: "r-" + name[:7], Host: callerHost, PathPrefix: "/" + name[7:14] + "/" + name[14:16] + "/", Kind: "idempotent", TimeoutMs: 3000, SloMs: 500, Attempts: 2, Service: "shelf"})
	}
	version := func(number int) []byte {
		body, _ := json.Marshal(configuration(number, []string{"shelf"}, routes...))
		return body
	}
	if err := writeHistory(b, keepers, earlier, version(earlier)); err != nil {
		return err
	}
	b.record("the disks of the keepers hold %d accepted changes", earlier)
	r := &replica{id: "i-1", service: "shelf", zone: "a", release: "v1", slots: 16}
	if err := b.startReplica(ctx, r, keepers, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Seal", r.id)
		_, _ = w.Write([]byte("shelf"))
	})); err != nil {
		return err
	}
	if err := b.startAll(ctx, keepers, entries, configuration(earlier, []string{"shelf"}, routes...)); err != nil {
		return err
	}
	newest, err := sendChanges(ctx, b, keepers, earlier, version)
	if err != nil {
		return err
	}
	// The entries take the newest version over.
	pause(ctx, 3*time.Second)
	before := lookUp(ctx, entries[0], 10)
	b.record("requests of a caller before: by status %v", before)
	if before[http.StatusOK] == 0 {
		return errors.New("no request was served before")
	}
	var restarts sync.WaitGroup
	defer restarts.Wait()
	restartsCtx, stopRestarts := context.WithCancel(ctx)
	defer stopRestarts()
	if b.trouble {
		for _, k := range keepers {
			b.kill(k.name)
		}
		b.record("all keepers are killed")
		pause(ctx, coreDown)
		for _, k := range keepers {
			restarts.Go(func() { b.keepRunning(restartsCtx, k) })
		}
	}
	return readBack(ctx, b, keepers, entries[0], newest)
}

// writeHistory writes the data folders that three keepers have after a number of
// changes, by the packages with which keepers write them.
func writeHistory(b *bench, keepers []*node, changes int, newest []byte) error {
	configs := config.NewStore()
	for i := range changes - 1 {
		configs.Apply(config.Put{Number: uint64(i + 1), Digest: config.DigestOf(fmt.Append(nil, i))})
	}
	packed, err := pack.Deflate(newest)
	if err != nil {
		return err
	}
	configs.Apply(config.Put{Number: uint64(changes), Digest: config.DigestOf(newest), Packed: packed})
	var s machineSnapshot
	var errs [4]error
	s.Documents, errs[0] = document.New().Snapshot()
	s.Claims, errs[1] = claim.New().Snapshot()
	s.Configs, errs[2] = configs.Snapshot()
	s.Usage, errs[3] = usage.NewLedger().Snapshot()
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	state := consensus.HardState{Term: 1}
	snapshot := consensus.Snapshot{Index: uint64(changes), Term: 1, Config: consensus.Config{Voters: []consensus.ID{1, 2, 3}}, Data: wire.MustEncode(&s)}
	for i, k := range keepers {
		folder, err := wal.OpenFolder(filepath.Join(b.folder, k.name))
		if err != nil {
			return err
		}
		journal, _, err := wal.Open(folder, func() consensus.ID { return consensus.ID(i + 1) })
		if err != nil {
			return err
		}
		const cluster = 4711
		if err := errors.Join(journal.Join(cluster), journal.Compact(snapshot, state, nil), journal.Close()); err != nil {
			return err
		}
	}
	return nil
}

// sendChanges sends laterChanges by the operator's API, and returns the newest version
// that was acknowledged.
func sendChanges(ctx context.Context, b *bench, keepers []*node, earlier int, version func(int) []byte) (int, error) {
	var mu sync.Mutex
	next, newest, failed := earlier, 0, 0
	var orders sync.WaitGroup
	for range ordersAtOnce {
		orders.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				next++
				number := next
				mu.Unlock()
				if number > earlier+laterChanges {
					return
				}
				err := errors.New("not sent")
				for try := 0; err != nil && try < 6 && ctx.Err() == nil; try++ {
					err = post(ctx, "http://"+keepers[(number+try)%len(keepers)].control+"/v1/config/put", version(number))
				}
				b.record("operator: version %d, error %v", number, err)
				mu.Lock()
				if err == nil {
					newest = max(newest, number)
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	orders.Wait()
	b.record("operator: %d more changes sent, %d without an acknowledgement, newest acknowledged version %d", laterChanges, failed, newest)
	if newest < earlier+laterChanges-ordersAtOnce {
		return 0, errors.New("the operator's changes weren't acknowledged")
	}
	return newest, nil
}

// keepRunning starts a node's process, and starts it again after each end, as the
// platform does.
func (b *bench) keepRunning(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		if err := b.startNode(n); err != nil {
			b.record("%s can't be started: %v", n.name, err)
			return
		}
		ended := b.wait(n.name)
		select {
		case err := <-ended:
			b.record("%s ended by itself: %v", n.name, err)
		case <-ctx.Done():
			return
		}
		pause(ctx, restartDelay)
	}
}

// readBack reads the configuration as the operator does at the end of a day.
func readBack(ctx context.Context, b *bench, keepers []*node, e *node, newest int) error {
	until := time.Now().Add(readFor)
	found := 0
	for n := 0; time.Now().Before(until) && ctx.Err() == nil && found < newest; n++ {
		k := keepers[n%len(keepers)]
		number, err := readConfig(ctx, k)
		found = max(found, number)
		if n%len(keepers) == 0 || err == nil {
			b.record("operator: reads version %d from %s, error %v", number, k.name, err)
		}
		pause(ctx, 300*time.Millisecond)
	}
	b.record("requests of a caller after: by status %v", lookUp(ctx, e, 10))
	b.record("newest acknowledged version %d, newest version read back within %v: %d (0: none came)", newest, readFor, found)
	if found < newest {
		return errBroken
	}
	return nil
}

func readConfig(ctx context.Context, k *node) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.control+"/v1/config/get", nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	var c struct {
		Version int `json:"version"`
	}
	err = json.Unmarshal(body, &c)
	return c.Version, err
}

// lookUp sends a caller's requests and counts the answers by status.
func lookUp(ctx context.Context, e *node, n int) map[int]int {
	statuses := map[int]int{}
	c := &caller{address: e.front}
	defer c.close()
	for i := range n {
		s := c.do(fmt.Sprintf("%x-%d", time.Now().UnixNano(), i), http.MethodGet, "/look/1", callerHost, "", map[string]string{"Authorization": "Token " + apiKey, "X-Deadline-Ms": "2000"})
		statuses[s.status]++
		pause(ctx, 100*time.Millisecond)
	}
	return statuses
}
