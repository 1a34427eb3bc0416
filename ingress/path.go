package ingress

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/detour"
	"github.com/hyssopladder/hyssopladder/exchange"
)

// pathCheckInterval is the time between two looks for paths that have to be dialled.
const pathCheckInterval = 100 * time.Millisecond

// pathDialer connects to upstreams, directly or through another entry.
type pathDialer struct {
	clock  clock.Clock
	direct exchange.Dial
	// onChange is called when no upstream is reached directly any more, and when one
	// is again.
	onChange func(isolated bool)
	meters   *meters

	mu    sync.Mutex
	table *detour.Table
	// checked are the upstreams that are being checked in the background.
	checked map[netip.AddrPort]bool
}

// newPathDialer returns a dialer that checks broken paths until ctx ends.
func newPathDialer(ctx context.Context, c clock.Clock, direct exchange.Dial, m *meters, onChange func(isolated bool)) *pathDialer {
	p := &pathDialer{clock: c, direct: direct, meters: m, onChange: onChange, table: detour.New(), checked: map[netip.AddrPort]bool{}}
	go func() {
		t := time.NewTicker(pathCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				p.mu.Lock()
				due := p.table.Probes(p.clock())
				p.mu.Unlock()
				for _, address := range due {
					p.check(ctx, address)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return p
}

// SetHelpers replaces the list of entries that may be asked.
func (p *pathDialer) SetHelpers(now clock.Instant, helpers []detour.Helper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetHelpers(now, helpers)
}

// WantsHelpers reports whether the list of helpers is to be asked for again.
func (p *pathDialer) WantsHelpers(now clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.WantsHelpers(now)
}

// maxSuspects is the number of paths that are checked at once as all upstreams are silent.
const maxSuspects = 4

// Suspect checks the paths to upstreams that have fallen silent together.
func (p *pathDialer) Suspect(ctx context.Context, upstreams []netip.AddrPort) {
	p.mu.Lock()
	due := p.table.Suspects(p.clock(), upstreams)
	p.mu.Unlock()
	for _, address := range due[:min(len(due), maxSuspects)] {
		p.check(ctx, address)
	}
}

// Isolated reports whether the entry reaches no upstream directly while others do.
func (p *pathDialer) Isolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Isolated()
}

// Broken is the number of upstreams that are reached through other entries only.
func (p *pathDialer) Broken() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Broken()
}

// Dial connects to an upstream, through another entry if the path to it seems broken. An
// upstream that is down alone isn't looked for through others: all entries would do that at
// once when upstreams crash.
func (p *pathDialer) Dial(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	direct := p.table.Direct(p.clock(), upstream)
	p.mu.Unlock()
	if !direct {
		return p.dialThrough(ctx, upstream)
	}
	return p.probe(ctx, upstream)
}

// Answered records an answer on a direct connection.
func (p *pathDialer) Answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Answered()
}

// check dials an upstream in the background to learn how it is reached, unless that is
// under way.
func (p *pathDialer) check(ctx context.Context, upstream netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checked[upstream] {
		return
	}
	p.checked[upstream] = true
	go func() {
		if conn, err := p.probe(ctx, upstream); err == nil {
			_ = conn.Close()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.checked, upstream)
	}()
}

// probe dials an upstream directly, and then through other entries if there is reason to.
func (p *pathDialer) probe(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	conn, err := p.direct(ctx, upstream)
	switch {
	case err == nil:
		p.reached(upstream)
		return conn, nil
	case ctx.Err() != nil:
		return nil, err
	}
	p.mu.Lock()
	suspicious := p.table.Unreached(upstream)
	p.mu.Unlock()
	if suspicious {
		if conn, throughErr := p.dialThrough(ctx, upstream); throughErr == nil {
			return conn, nil
		}
	}
	return nil, err
}

// reached records that an upstream was reached directly.
func (p *pathDialer) reached(upstream netip.AddrPort) {
	p.mu.Lock()
	wasIsolated := p.table.Reached(p.clock(), upstream)
	p.mu.Unlock()
	if wasIsolated {
		klog.InfoS("upstreams are reached directly again", "address", upstream)
		p.onChange(false)
	}
}

// errNoHelper is the error of an upstream that no other entry may be asked for.
var errNoHelper = errors.New("the upstream isn't reached, and no other entry is known that might reach it")

// dialThrough connects to an upstream through another entry.
func (p *pathDialer) dialThrough(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	helpers := p.table.Helpers(p.clock(), upstream)
	p.mu.Unlock()
	var err error = errNoHelper
	down := false
	for _, helper := range helpers {
		var conn net.Conn
		if conn, err = dialTunnel(ctx, helper, upstream); err == nil {
			p.helped(upstream, helper)
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		p.mu.Lock()
		switch {
		case errors.Is(err, errNotReached):
			down = true
		case !errors.Is(err, errNotAccepted):
			p.table.HelperFailed(p.clock(), helper)
		}
		p.mu.Unlock()
		klog.V(1).InfoS("upstream not reached through another entry", "address", upstream, "helper", helper, "err", err)
	}
	if down {
		p.mu.Lock()
		p.table.Down(p.clock(), upstream)
		p.mu.Unlock()
	}
	return nil, err
}

// helped records that a helper reaches the upstream.
func (p *pathDialer) helped(upstream, helper netip.AddrPort) {
	p.meters.tunnels.Inc(1)
	p.mu.Lock()
	isolated := p.table.Helped(p.clock(), upstream)
	p.mu.Unlock()
	if isolated {
		klog.InfoS("no upstream is reached directly; using other entries", "address", upstream, "helper", helper)
		p.onChange(true)
	}
}
