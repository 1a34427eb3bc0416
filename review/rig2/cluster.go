package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment.
const (
	drainMs    = 2000
	contactMs  = 3000
	startLimit = 30 * time.Second
	memoryMb   = 284
)

// node is a process of the system that the platform runs.
type node struct {
	name, settings string
	callers, ready string
	peers          string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	program, folder  string
	record           *record
	keepers, entries []*node
}

var nextPort = 12_000 + os.Getpid()%40*450

// freeAddress returns a loopback address below the range of outgoing connections.
func freeAddress() string {
	for {
		nextPort++
		if nextPort > 31_900 {
			nextPort = 12_001
		}
		address := fmt.Sprint("127.0.0.1:", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// startCluster starts three keepers and some entries with settings as the templates of the
// deploy file render them.
func startCluster(r *record, entries int, cloud string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/hyssopladder")
	if err != nil {
		return nil, err
	}
	c := &cluster{program: program, folder: folder, record: r}
	var seeds []string
	for range 3 {
		seeds = append(seeds, freeAddress())
	}
	duties := ""
	if cloud != "" {
		duties = fmt.Sprintf("[cloud]\naddress = %s\nduties = metering,autoscale\nusageWindow = 5s\nusageWithin = 10s\nholderLease = 3000ms\n", cloud)
	}
	for i, seed := range seeds {
		name := fmt.Sprintf("core-%c-1", 'a'+i)
		data := filepath.Join(folder, name)
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, err
		}
		c.keepers = append(c.keepers, &node{name: name, peers: seed, settings: fmt.Sprintf(`[node]
name = %s
region = home
zone = home-%c
roles = keeper, control
dataFolder = %s
stopLimit = 7s
metrics = %s
memoryMegabytes = 280
processors = 1

[peer]
listen = %s
seeds = %s
lease = 2s

[keeper]
bootstrap = true
foundBySeeds = true
restartOnFault = true
replaceAfter = 1s
voters = 5
quotaSlack = 140000
%s`, name, 'a'+i, data, freeAddress(), seed, strings.Join(seeds, ","), duties)})
	}
	for i := range entries {
		n := &node{name: fmt.Sprintf("front-%c-1", 'a'+i), callers: freeAddress(), ready: freeAddress(), peers: freeAddress()}
		n.settings = fmt.Sprintf(`[node]
name = %s
region = home
zone = home-%c
roles = ingress
stopLimit = 7s
metrics = %s
memoryMegabytes = %d
processors = 1

[peer]
listen = %s
seeds = %s

[ingress]
listen = %s
ready = %s
holdAtStart = 1500ms
revokeWithin = 5000ms
retryRatio = 0.2
retrySlack = 56
usageWindow = 5s
drainWithin = %dms
`, n.name, 'a'+i, freeAddress(), memoryMb, n.peers, strings.Join(seeds, ","), n.callers, n.ready, drainMs)
		c.entries = append(c.entries, n)
	}
	for _, n := range c.nodes() {
		if err := c.start(n); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) nodes() []*node { return append(append([]*node(nil), c.keepers...), c.entries...) }

// start starts a process with the command of the deploy file.
func (c *cluster) start(n *node) error {
	path := filepath.Join(c.folder, n.name+".ini")
	if err := os.WriteFile(path, []byte(n.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HYSSOPLADDER_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// close ends all processes.
func (c *cluster) close() {
	for _, n := range c.nodes() {
		if n.cmd != nil {
			n.signal(syscall.SIGKILL)
			<-n.ended()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs:", c.folder)
	}
}

// post sends a call of the operator or of a server to a keeper, and returns its status; 0 if there
// is none.
func post(address, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// put sends a configuration until it is acknowledged.
func (c *cluster) put(config string) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, k := range c.keepers {
			if post(k.peers, "/v1/config/put", config) == http.StatusOK {
				c.record.add("operator", "configuration acknowledged by %s", k.name)
				return nil
			}
		}
	}
	return fmt.Errorf("the configuration was not acknowledged within %v", startLimit)
}

func isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until all entries are ready.
func (c *cluster) await() error {
	for _, n := range c.entries {
		for end := time.Now().Add(startLimit); !isReady(n); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s was not ready within %v", n.name, startLimit)
			}
		}
	}
	return nil
}
