package main

import (
	"bytes"
	"context"
	"errors"
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

// The platform's bounds of the deployment, as in the site files.
const (
	memoryMegabytes = 284
	coreMegabytes   = 280
	heartbeatEvery  = 1200 * time.Millisecond
	startLimit      = 20 * time.Second
)

// node is a machine with its process.
type node struct {
	name, zone, settings string
	log                  *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// keeper is a core machine.
type keeper struct {
	node
	control string
}

// entry is a front machine.
type entry struct {
	node
	front, ready string
}

// cluster is the deployment of one case.
type cluster struct {
	folder  string
	record  *record
	keepers []*keeper
	entries []*entry
	seeds   []string
	client  *http.Client
	cleanup []func()
	used    map[string]bool
}

func newCluster(folder string, r *record) *cluster {
	return &cluster{
		folder: folder, record: r, used: map[string]bool{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// address returns a free loopback address, each once.
func (c *cluster) address() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !c.used[address] {
			c.used[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free address")
}

// start starts three core machines and so many front machines. The settings are those that the
// deploy file's templates give for a small site.
func (c *cluster) start(entries int) error {
	for range 3 {
		a, err := c.address()
		if err != nil {
			return err
		}
		c.seeds = append(c.seeds, a)
	}
	for i, control := range c.seeds {
		metrics, err := c.address()
		if err != nil {
			return err
		}
		k := &keeper{node: node{name: fmt.Sprintf("core-%c-1", 'a'+i), zone: fmt.Sprintf("zone-%c", 'a'+i)}, control: control}
		data := filepath.Join(c.folder, k.name)
		k.settings = fmt.Sprintf(`[node]
name = %s
region = lima
zone = %s
roles = keeper, control
dataFolder = %s
stopLimit = 7s
metrics = %s
memoryMegabytes = %d
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
`, k.name, k.zone, data, metrics, coreMegabytes, control, strings.Join(c.seeds, ","))
		c.keepers = append(c.keepers, k)
		if err := c.launch(&k.node); err != nil {
			return err
		}
	}
	for i := range entries {
		addresses := [4]string{}
		for j := range addresses {
			a, err := c.address()
			if err != nil {
				return err
			}
			addresses[j] = a
		}
		e := &entry{node: node{name: fmt.Sprintf("front-a-%d", i+1), zone: "zone-a"}, front: addresses[0], ready: addresses[1]}
		e.settings = fmt.Sprintf(`[node]
name = %s
region = lima
zone = %s
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
drainWithin = 2000ms
`, e.name, e.zone, addresses[2], memoryMegabytes, addresses[3], strings.Join(c.seeds, ","), e.front, e.ready)
		c.entries = append(c.entries, e)
		if err := c.launch(&e.node); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of a machine by the command of the deploy file.
func (c *cluster) launch(n *node) error {
	path := filepath.Join(c.folder, n.name+".ini")
	if err := os.WriteFile(path, []byte(n.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/hyssopladder", "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "HYSSOPLADDER_SETTINGS=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended, n.log = command, ended, log
	n.mu.Unlock()
	c.record.add("%s starts, process %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		c.record.add("%s has ended: %v", n.name, err)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// pid returns the process of the machine.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// kill ends the process by SIGKILL and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	command, ended := n.command, n.ended
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-ended
}

// stop ends all that the case has started.
func (c *cluster) stop() {
	for i := len(c.cleanup) - 1; i >= 0; i-- {
		c.cleanup[i]()
	}
	for _, e := range c.entries {
		e.kill()
	}
	for _, k := range c.keepers {
		k.kill()
	}
}

// putConfig sends a configuration until a core machine acknowledges it.
func (c *cluster) putConfig(body string) error {
	var last string
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, k := range c.keepers {
			response, err := c.client.Post("http://"+k.control+"/v1/config/put", "application/json", strings.NewReader(body))
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				c.record.add("configuration acknowledged by %s", k.name)
				return nil
			}
			last = fmt.Sprintf("%d %s", response.StatusCode, text)
		}
	}
	return fmt.Errorf("no configuration was acknowledged: %s", last)
}

// isReady asks a front machine as the platform does.
func (c *cluster) isReady(e *entry) bool {
	response, err := c.client.Get("http://" + e.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the front machines are ready.
func (c *cluster) awaitReady(entries ...*entry) error {
	for _, e := range entries {
		end := time.Now().Add(startLimit)
		for !c.isReady(e) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// heartbeat sends one heartbeat to the core machines in turn until one acknowledges it.
func (c *cluster) heartbeat(ctx context.Context, turn int, id string, body []byte) bool {
	for i := range c.keepers {
		k := c.keepers[(turn+i)%len(c.keepers)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.control+"/v1/replicas/"+id+"/heartbeat", bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := c.client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
