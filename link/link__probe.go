package link

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/control"
)

// The times between two questions for a majority, if there is reason to ask: minProbeInterval
// at first, and more while none is found, up to maxProbeInterval.
const (
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// probeLoop looks for keepers that reach a majority while one that is known doesn't.
func (l *Link) probeLoop(ctx context.Context) {
	backoff := pace.Backoff{First: minProbeInterval, Max: maxProbeInterval}
	wait := minProbeInterval
	for {
		select {
		case <-time.After(pace.Jitter(wait, rand.Float64())):
		case <-ctx.Done():
			return
		}
		now := l.options.Clock()
		l.mu.Lock()
		addresses, found := l.roster.probes(now, rand.Float64), l.roster.majorityKnown(now)
		l.mu.Unlock()
		switch {
		case len(addresses) == 0:
			backoff.Succeeded()
			wait = minProbeInterval
			continue
		case found:
			backoff.Succeeded()
			wait = maxProbeInterval
		default:
			wait = backoff.Failed(rand.Float64())
		}
		klog.InfoS("keepers without a majority", "majorityKnown", found, "asking", addresses, "configurationAge", l.ConfigAge())
		var probes sync.WaitGroup
		for _, address := range addresses {
			probes.Go(func() {
				if err := l.probe(ctx, address); err != nil && ctx.Err() == nil {
					klog.InfoS("keeper can't be asked for a majority", "keeper", address, "err", err)
					l.markFailed(address)
				}
			})
		}
		probes.Wait()
	}
}

// probe asks a keeper whether it reaches a majority, and takes a newer configuration.
func (l *Link) probe(ctx context.Context, address netip.AddrPort) error {
	askedAt := l.options.Clock()
	reply, err := l.callSync(ctx, address, control.SyncRequest{Probe: true})
	if err != nil {
		return err
	}
	return l.applyReply(askedAt, address, reply)
}
