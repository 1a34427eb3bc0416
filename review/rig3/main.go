// Command rig3 plays the cases of the third review. Each case starts a small deployment as
// separate processes on loopback, with stand-ins for the platform, its callers and its replicas,
// and writes what was sent, answered and run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
)

// The statuses with which a case ends.
const (
	exitKept   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is a case: it returns whether the rule was broken. trouble is false for the run without
// the disruption.
type play func(c *cluster, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if isReplica(os.Args) {
		return
	}
	if len(os.Args) != 4 {
		names := make([]string, 0, len(plays))
		for name := range plays {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER RECORD; cases:", names)
		os.Exit(exitFailed)
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(run(p, os.Args[2], os.Args[3]))
}

func run(p play, folder, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	c := newCluster(folder, newRecord(out))
	stop := sync.OnceFunc(c.stop)
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.record.add("ended by a signal")
		stop()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	c.record.add("begins, with the disruption: %t", trouble)
	broken, err := p(c, trouble)
	switch {
	case err != nil:
		c.record.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		c.record.add("result: the rule was broken")
		return exitBroken
	}
	c.record.add("result: the rule held")
	return exitKept
}
