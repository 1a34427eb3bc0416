// Command rig runs the cases of the review. Each case starts the nodes of the
// system as separate processes on loopback addresses, plays the callers, the
// upstreams, the operator and the network between them, and checks one rule by
// what callers and upstreams have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is below the 120 seconds that a case may take.
const caseLimit = 112 * time.Second

// errBroken is the error of a case that found its rule broken.
var errBroken = errors.New("the rule was broken")

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	cases := map[string]func(ctx context.Context, b *bench) error{
		"error-answer":   runErrorAnswer,
		"resume-release": runResumeRelease,
		"cut-keepers":    runCutKeepers,
		"history":        runHistory,
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	b, err := newBench(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitNotRun
	}
	defer b.close()
	switch err := f(ctx, b); {
	case errors.Is(err, errBroken):
		b.record("result: broken")
		return exitBroken
	case err != nil:
		b.record("result: not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return exitNotRun
	}
	b.record("result: held")
	return exitHeld
}
