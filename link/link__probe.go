package link

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/control"
)

// The times between two questions for a majority, if there is reason to ask: minProbeInterval
// at first and for polled keepers; more while none is found, up to maxSearchInterval, as an
// entry has to notice within three seconds that there is one again; and maxProbeInterval for
// a keeper that may reach one again.
const (
	minProbeInterval  = 250 * time.Millisecond
	maxSearchInterval = time.Second
	maxProbeInterval  = 2 * time.Second
)

// probeLoop looks for keepers that reach a majority while one that is known doesn't. One that
// doesn't answer delays no question to others.
func (l *Link) probeLoop(ctx context.Context) {
	underWay := map[netip.AddrPort]bool{}
	for {
		select {
		case <-time.After(pace.Jitter(minProbeInterval, rand.Float64())):
		case <-ctx.Done():
			return
		}
		now := l.options.Clock()
		l.mu.Lock()
		addresses, found := l.roster.probes(now, rand.Float64), l.roster.majorityKnown(now)
		addresses = slices.DeleteFunc(addresses, func(address netip.AddrPort) bool { return underWay[address] })
		for _, address := range addresses {
			underWay[address] = true
		}
		l.mu.Unlock()
		if len(addresses) == 0 {
			continue
		}
		klog.InfoS("keepers without a majority", "majorityKnown", found, "asking", addresses, "configurationAge", l.ConfigAge())
		for _, address := range addresses {
			go func() {
				if err := l.probe(ctx, address); err != nil && ctx.Err() == nil {
					klog.InfoS("keeper can't be asked for a majority", "keeper", address, "err", err)
					l.markFailed(address)
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				delete(underWay, address)
			}()
		}
	}
}

// probe asks a keeper whether it reaches a majority, and takes a newer configuration.
func (l *Link) probe(ctx context.Context, address netip.AddrPort) error {
	askedAt := l.options.Clock()
	reply, err := l.callSync(ctx, address, control.SyncRequest{Probe: true})
	if err != nil {
		return err
	}
	l.applyRollouts(askedAt, reply)
	return l.applyReply(askedAt, address, reply)
}
