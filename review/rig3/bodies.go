package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["bodies"] = playBodies }

// The case: requests with bodies of maxBodyBytes, of which each front machine gets less than half of
// what zone lima-c of rimac-rotas sends to its only one (22.5 a second), and bursts.
const (
	bodyBytes     = 4194304
	bodiesASecond = 11.0
	bodyBurst     = 2.5
	bodyBurstTime = 6 * time.Second
	bodyRounds    = 3
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
	// mostEnds is the number of ends by itself of a process from which on the rule is broken.
	mostEnds = 3
)

// resident returns the memory that a process uses, in megabytes.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return n / 1024
		}
	}
	return 0
}

// guard is the platform beside a machine: it ends a process that uses more memory than the machine
// has, and starts it again.
type guard struct {
	ends atomic.Int64
	most atomic.Int64
}

func (g *guard) watch(c *cluster, n *node, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := resident(n.pid())
		g.most.Store(max(g.most.Load(), used))
		if used <= memoryMegabytes {
			continue
		}
		c.record.add("%s uses %d MB of %d and is ended", n.name, used, memoryMegabytes)
		g.ends.Add(1)
		n.kill()
		time.Sleep(restartDelay)
		if err := c.launch(n); err != nil {
			c.record.add("%s doesn't start again: %v", n.name, err)
			return
		}
	}
}

// callWithBody sends a request with a body and reads the whole answer.
func callWithBody(front, id string, body []byte) (status int, whole bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/history/1", bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	request.Host = "mill.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "660,64", "X-Prompt-Prefix": "5c1e" + strings.TrimPrefix(id, "b") + ":660",
		"X-Deadline-Ms": "15000", "Authorization": "Token key-mill",
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 16 * time.Second}).Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// playBodies sends bursts of requests with large bodies to two front machines, and ends a process
// that uses more memory than its machine has.
func playBodies(c *cluster, trouble bool) (bool, error) {
	if err := c.start(2); err != nil {
		return false, err
	}
	if err := c.putConfig(streamConfig); err != nil {
		return false, err
	}
	for i := range 8 {
		r, err := newReplica(c, fmt.Sprintf("i-%d", i), "assistant", "zone-a")
		if err != nil {
			return false, err
		}
		r.events, r.pace = 26, 100*time.Millisecond
		if err := r.start("v1"); err != nil {
			return false, err
		}
		c.cleanup = append(c.cleanup, r.crash)
	}
	if err := c.awaitReady(c.entries...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	guards := make([]*guard, len(c.entries))
	var watchers sync.WaitGroup
	for i, e := range c.entries {
		guards[i] = &guard{}
		watchers.Go(func() { guards[i].watch(c, &e.node, done) })
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var calls sync.WaitGroup
	var sent, whole, lost atomic.Int64
	send := func(e *entry) {
		id := fmt.Sprintf("b%05d", sent.Add(1))
		calls.Go(func() {
			status, complete := callWithBody(e.front, id, body)
			switch {
			case status == http.StatusOK && complete:
				whole.Add(1)
			case status == 0 || !complete:
				lost.Add(1)
			}
			c.record.add("%s at %s: status %d, whole %t", id, e.name, status, complete)
		})
	}
	for range bodyRounds {
		if err := c.awaitReady(c.entries...); err != nil {
			return false, err
		}
		rate := bodiesASecond
		if trouble {
			rate *= bodyBurst
			c.record.add("a burst begins: %.1f times the requests for %v", bodyBurst, bodyBurstTime)
		}
		for end := time.Now().Add(bodyBurstTime); time.Now().Before(end); {
			for _, e := range c.entries {
				send(e)
			}
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
		calls.Wait()
	}
	close(done)
	watchers.Wait()
	broken := true
	for i, g := range guards {
		c.record.tell("%s: most memory %d MB of %d, ended %d times", c.entries[i].name, g.most.Load(), memoryMegabytes, g.ends.Load())
		broken = broken && g.ends.Load() >= mostEnds
	}
	c.record.tell("%d requests of %d bytes, %d answered whole, %d lost their connection", sent.Load(), bodyBytes, whole.Load(), lost.Load())
	return broken, nil
}
