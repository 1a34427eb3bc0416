package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
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
