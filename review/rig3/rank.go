package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["rank"] = playRank }

// The case: the rank of a tenant that is to go after all others, and a load above what the replicas
// take, which lasts for rankTime after the change.
const (
	lowestRank = 2147483647
	rankLoad   = 60
	rankTime   = 25 * time.Second
	rankBefore = 4 * time.Second
)

// rankTenant is the only tenant, with a rank.
func rankTenant(rank int) string {
	return fmt.Sprintf(`{"name":"mill","apiKeys":["key-mill"],"priority":%d,"unit":"token","plainTokens":200,"ratePerS":335543,"burst":335543}`, rank)
}

// playRank gives a tenant the lowest rank that a 32-bit number holds, while more requests come than the
// replicas take.
func playRank(c *cluster, trouble bool) (bool, error) {
	if err := c.start(2); err != nil {
		return false, err
	}
	if err := c.putConfig(bookConfig(1, rankTenant(1))); err != nil {
		return false, err
	}
	for i := range 2 {
		r, err := newReplica(c, fmt.Sprintf("b-%d", i), "booking", "zone-a")
		if err != nil {
			return false, err
		}
		r.plain, r.slots, r.work = true, 6, 100*time.Millisecond
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
	var changed atomic.Bool
	var before, after [600]atomic.Int64
	var callers sync.WaitGroup
	for w := range rankLoad {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				statuses := &before
				if changed.Load() {
					statuses = &after
				}
				status := c.book(c.entries[(w+n)%len(c.entries)], fmt.Sprintf("k%02d-%05d", w, n), "key-mill")
				statuses[min(status, 599)].Add(1)
				if status != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(rankBefore)
	rank := 1
	if trouble {
		rank = lowestRank
	}
	c.record.add("a configuration gives the tenant the priority %d", rank)
	if err := c.putConfig(bookConfig(2, rankTenant(rank))); err != nil {
		return false, err
	}
	changed.Store(true)
	time.Sleep(rankTime)
	close(done)
	callers.Wait()
	watchers.Wait()
	for name, statuses := range map[string]*[600]atomic.Int64{"before the change": &before, "after it": &after} {
		for status := range statuses {
			if n := statuses[status].Load(); n > 0 {
				c.record.tell("%s: status %d for %d requests", name, status, n)
			}
		}
	}
	broken := true
	for i, g := range guards {
		c.record.tell("%s: most memory %d MB of %d, ended %d times", c.entries[i].name, g.most.Load(), memoryMegabytes, g.ends.Load())
		broken = broken && g.ends.Load() >= mostEnds
	}
	return broken, nil
}
