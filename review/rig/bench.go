package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	program   = "target/hyssopladder"
	startWait = 25 * time.Second
	pollPause = 50 * time.Millisecond
)

// bench holds the processes, listeners and the record of one case.
type bench struct {
	trouble bool
	// founded says that the cluster exists already, and the keepers don't found it.
	founded bool
	// seeds are the addresses of the seeds.
	seeds  []string
	folder string
	start  time.Time

	mu        sync.Mutex
	out       *os.File
	processes map[string]*exec.Cmd
	closers   []func()
	nodes     []*node
}

// node is one process of the system. Its proxy is the address by which other
// nodes reach a keeper.
type node struct {
	name, zone string
	// control is the address of a keeper, front and ready those of an entry.
	control, front, ready string
	proxy                 *proxy
	settings              string
}

func newBench(recordFolder string, trouble bool) (*bench, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(recordFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, folder: folder, start: time.Now(), out: out, processes: map[string]*exec.Cmd{}}
	b.record("trouble: %v", trouble)
	return b, nil
}

// record writes a line with the seconds since the start.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.out, "%8.3f "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// close ends every process and listener.
func (b *bench) close() {
	b.mu.Lock()
	names := make([]string, 0, len(b.processes))
	for name := range b.processes {
		names = append(names, name)
	}
	b.mu.Unlock()
	for _, name := range names {
		b.kill(name)
	}
	for _, f := range b.closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		b.record("logs are in %s", b.folder)
	}
	_ = b.out.Close()
}

// freeAddress returns a loopback address that nobody uses. Its port is below those that the
// system gives to outgoing connections, so that none takes it before it is used.
func freeAddress() (string, error) {
	const lowest, number, tries = 12_000, 18_000, 100
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(number))); err == nil {
			address := l.Addr().String()
			return address, l.Close()
		}
	}
	return "", err
}

// listen serves HTTP on a free address until the bench is closed.
func (b *bench) listen(h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	b.closers = append(b.closers, func() { _ = s.Close() })
	return l.Addr().String(), s, nil
}

// addCluster adds keepers and entries, each in the zone at its place of the lists,
// and writes their settings. The first keepers of three zones are the seeds.
func (b *bench) addCluster(keeperZones, entryZones []string) (keepers, entries []*node, err error) {
	for i, zone := range keeperZones {
		n := &node{name: fmt.Sprintf("core-%d", i+1), zone: zone}
		if n.control, err = freeAddress(); err != nil {
			return nil, nil, err
		}
		if n.proxy, err = newProxy(n.control, b.ownerOf); err != nil {
			return nil, nil, err
		}
		b.closers = append(b.closers, n.proxy.close)
		keepers = append(keepers, n)
	}
	for i, zone := range entryZones {
		n := &node{name: fmt.Sprintf("front-%d", i+1), zone: zone}
		if n.front, err = freeAddress(); err != nil {
			return nil, nil, err
		}
		if n.ready, err = freeAddress(); err != nil {
			return nil, nil, err
		}
		entries = append(entries, n)
	}
	const seedCount = 3
	seen := map[string]bool{}
	for _, n := range keepers {
		if !seen[n.zone] && len(b.seeds) < seedCount {
			seen[n.zone] = true
			b.seeds = append(b.seeds, n.proxy.address)
		}
	}
	for _, n := range append(append([]*node(nil), keepers...), entries...) {
		n.settings = filepath.Join(b.folder, n.name+".ini")
		text := b.entrySettings(n, b.seeds)
		if n.control != "" {
			text = b.keeperSettings(n, b.seeds)
		}
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, nil, err
		}
		b.nodes = append(b.nodes, n)
	}
	return keepers, entries, nil
}

// keeperSettings are those of deploy/keeper.ini.tmpl for a small deployment, with the
// proxy's address as the one that other nodes use.
func (b *bench) keeperSettings(n *node, seeds []string) string {
	return fmt.Sprintf(`[node]
name = %s
region = local
zone = %s
roles = keeper, control
dataFolder = %s
stopLimit = 7s
memoryMegabytes = 280
processors = 1
[peer]
listen = %s
advertise = %s
seeds = %s
lease = 2s
[keeper]
bootstrap = %v
foundBySeeds = true
restartOnFault = true
replaceAfter = 1s
voters = 5
quotaSlack = 140000
`, n.name, n.zone, filepath.Join(b.folder, n.name), n.control, n.proxy.address, strings.Join(seeds, ", "), !b.founded)
}

// entrySettings are those of deploy/entry.ini.tmpl for a small deployment.
func (b *bench) entrySettings(n *node, seeds []string) string {
	peers, _ := freeAddress()
	return fmt.Sprintf(`[node]
name = %s
region = local
zone = %s
roles = ingress
stopLimit = 7s
memoryMegabytes = 284
processors = 1
[peer]
listen = %s
seeds = %s
[ingress]
listen = %s
ready = %s
revokeWithin = 5000ms
retryRatio = 0.2
retrySlack = 56
usageWindow = 5s
`, n.name, n.zone, peers, strings.Join(seeds, ", "), n.front, n.ready)
}

// startNode starts the process of a node by the deploy file's command.
func (b *bench) startNode(n *node) error {
	logFile, err := os.OpenFile(filepath.Join(b.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(program, "node")
	cmd.Env = append(os.Environ(), "HYSSOPLADDER_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	b.mu.Lock()
	b.processes[n.name] = cmd
	b.mu.Unlock()
	return nil
}

// kill kills the process of a node and waits for its end.
func (b *bench) kill(name string) {
	b.mu.Lock()
	cmd := b.processes[name]
	delete(b.processes, name)
	b.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// wait returns a channel that gets the end of a node's process.
func (b *bench) wait(name string) <-chan error {
	b.mu.Lock()
	cmd := b.processes[name]
	b.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		if cmd == nil {
			return
		}
		err := cmd.Wait()
		b.mu.Lock()
		if b.processes[name] == cmd {
			delete(b.processes, name)
		}
		b.mu.Unlock()
		ended <- err
	}()
	return ended
}

// pidOf returns the process ID of a node, 0 if it doesn't run.
func (b *bench) pidOf(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cmd := b.processes[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// startAll starts all nodes, sends the first configuration until it is accepted, and
// waits until all entries are ready.
func (b *bench) startAll(ctx context.Context, keepers, entries []*node, config any) error {
	for _, n := range b.nodes {
		if err := b.startNode(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		if _, err := b.putConfig(ctx, keepers, config); err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.New("the first configuration wasn't accepted")
		}
		time.Sleep(pollPause)
	}
	for _, n := range entries {
		for !isReady(ctx, n) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s wasn't ready in time", n.name)
			}
			time.Sleep(pollPause)
		}
	}
	b.record("all nodes are ready")
	return nil
}

// isReady asks as the platform's balancer does.
func isReady(ctx context.Context, n *node) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// putConfig sends a configuration as the operator does: to one keeper after the
// other until one acknowledges it. It returns the time of the acknowledgement.
func (b *bench) putConfig(ctx context.Context, keepers []*node, config any) (time.Time, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	for _, k := range keepers {
		if err = post(ctx, "http://"+k.control+"/v1/config/put", body); err == nil {
			b.record("operator: configuration acknowledged by %s", k.name)
			return time.Now(), nil
		}
	}
	return time.Time{}, err
}

// post sends JSON, and fails unless a 2xx comes within a second.
func post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %d", url, response.StatusCode)
	}
	return nil
}

// pause waits for the time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
