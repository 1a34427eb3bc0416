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

// Times of the questions that judge a path.
const (
	// questionTimeout bounds a question with its answer by way of a helper.
	questionTimeout = time.Second
	// judgeGrace is how much later than a helper's the answer to this entry may come.
	judgeGrace = 300 * time.Millisecond
	// returnTimeout bounds the question to an upstream with a broken path.
	returnTimeout = 500 * time.Millisecond
)

// pathHooks are what a pathDialer needs of its entry.
type pathHooks struct {
	// question returns a small request that the upstream answers; nil if none is known, and
	// its path is judged by a connection. The error says why it may not be asked now.
	question func(upstream netip.AddrPort) (*exchange.Request, error)
	// onBroken is called when the path to an upstream turns out to carry no answers.
	onBroken func(upstream netip.AddrPort)
	// onChange is called when no upstream is reached directly any more, and when one
	// is again.
	onChange func(isolated bool)
}

// pathDialer connects to upstreams, directly or through another entry.
type pathDialer struct {
	pathHooks
	clock  clock.Clock
	direct exchange.Dial
	meters *meters

	mu    sync.Mutex
	table *detour.Table
	// checked are the upstreams that are being asked in the background.
	checked map[netip.AddrPort]bool
}

// newPathDialer returns a dialer that checks broken paths until ctx ends.
func newPathDialer(ctx context.Context, c clock.Clock, direct exchange.Dial, m *meters, h pathHooks) *pathDialer {
	p := &pathDialer{pathHooks: h, clock: c, direct: direct, meters: m, table: detour.New(), checked: map[netip.AddrPort]bool{}}
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
					p.check(ctx, address, p.askDirectly)
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

// Suspect judges the paths to upstreams that have fallen silent together.
func (p *pathDialer) Suspect(ctx context.Context, upstreams []netip.AddrPort) {
	p.mu.Lock()
	due := p.table.Suspects(p.clock(), upstreams)
	p.mu.Unlock()
	for _, address := range due {
		p.check(ctx, address, p.judge)
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
	return p.dialDirectly(ctx, upstream)
}

// Answered records an answer on a direct connection, and whether it was the first one there.
func (p *pathDialer) Answered(upstream netip.AddrPort, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Answered(p.clock(), upstream, first)
}

// BrokenTo reports whether the upstream is known to be reached through other entries only.
func (p *pathDialer) BrokenTo(upstream netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.table.Direct(p.clock(), upstream)
}

// check asks an upstream in the background how it is reached, unless that is under way.
func (p *pathDialer) check(ctx context.Context, upstream netip.AddrPort, ask func(ctx context.Context, upstream netip.AddrPort)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checked[upstream] {
		return
	}
	p.checked[upstream] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, questionTimeout+judgeGrace)
		defer cancel()
		ask(ctx, upstream)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.checked, upstream)
	}()
}

// ask sends an upstream its question on a new connection, and returns nil if it is answered,
// whatever the answer is.
func (p *pathDialer) ask(ctx context.Context, dial exchange.Dial, upstream netip.AddrPort) error {
	question, err := p.question(upstream)
	switch {
	case err != nil:
		return err
	case question == nil:
		conn, err := dial(ctx, upstream)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	p.meters.questions.Inc(1)
	client := exchange.NewWithDial(dial, func() {})
	defer client.CloseAllIdle()
	response, err := client.Do(ctx, upstream, question)
	if err == nil {
		response.Close()
	}
	return err
}

// askDirectly finds out whether a broken path works again.
func (p *pathDialer) askDirectly(ctx context.Context, upstream netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	askedAt := p.clock()
	if err := p.ask(ctx, p.direct, upstream); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.table.Unanswered(askedAt)
		return
	}
	p.reached(upstream)
}

// judge finds out whether a silent upstream stands still or the path to it is broken: it asks
// directly and through another entry at the same time.
func (p *pathDialer) judge(ctx context.Context, upstream netip.AddrPort) {
	p.mu.Lock()
	helpers := p.table.JudgeHelpers(p.clock(), upstream)
	p.mu.Unlock()
	var helper netip.AddrPort
	direct, through := make(chan error, 1), make(chan error, 1)
	go func() { direct <- p.ask(ctx, p.direct, upstream) }()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, questionTimeout)
		defer cancel()
		through <- p.ask(ctx, func(ctx context.Context, upstream netip.AddrPort) (conn net.Conn, err error) {
			conn, helper, err = p.openTunnel(ctx, upstream, helpers)
			return conn, err
		}, upstream)
	}()
	select {
	case err := <-direct:
		if err == nil {
			p.reached(upstream)
			return
		}
		if <-through != nil {
			return
		}
	case err := <-through:
		var grace <-chan time.Time
		if err == nil {
			grace = time.After(judgeGrace)
		}
		select {
		case directErr := <-direct:
			if directErr == nil {
				p.reached(upstream)
			}
			if directErr == nil || err != nil {
				return
			}
		case <-grace:
		}
	}
	p.mu.Lock()
	isolated := p.table.Judged(p.clock(), upstream)
	p.mu.Unlock()
	klog.InfoS("upstream answers another entry and not this one", "address", upstream, "helper", helper)
	p.onBroken(upstream)
	p.changed(isolated, upstream, helper)
}

// dialDirectly dials an upstream directly, and then through other entries if there is reason to.
func (p *pathDialer) dialDirectly(ctx context.Context, upstream netip.AddrPort) (net.Conn, error) {
	conn, err := p.direct(ctx, upstream)
	p.mu.Lock()
	suspicious := false
	switch {
	case err == nil:
		p.table.Connected(p.clock(), upstream)
	case ctx.Err() == nil:
		suspicious = p.table.Unreached(upstream)
	}
	p.mu.Unlock()
	if suspicious {
		if conn, throughErr := p.dialThrough(ctx, upstream); throughErr == nil {
			return conn, nil
		}
	}
	return conn, err
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
	conn, helper, err := p.openTunnel(ctx, upstream, helpers)
	if err == nil {
		p.helped(upstream, helper)
	}
	return conn, err
}

// openTunnel connects to an upstream through the first helper that reaches it.
func (p *pathDialer) openTunnel(ctx context.Context, upstream netip.AddrPort, helpers []netip.AddrPort) (conn net.Conn, helper netip.AddrPort, err error) {
	err = errNoHelper
	down := false
	for _, helper = range helpers {
		if conn, err = dialTunnel(ctx, helper, upstream); err == nil {
			return conn, helper, nil
		}
		if ctx.Err() != nil {
			return nil, helper, err
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
	return nil, helper, err
}

// helped records that a helper reaches the upstream.
func (p *pathDialer) helped(upstream, helper netip.AddrPort) {
	p.meters.tunnels.Inc(1)
	p.mu.Lock()
	isolated := p.table.Helped(p.clock(), upstream)
	p.mu.Unlock()
	p.changed(isolated, upstream, helper)
}

// changed tells the entry that it has become isolated, if it has.
func (p *pathDialer) changed(isolated bool, upstream, helper netip.AddrPort) {
	if isolated {
		klog.InfoS("no upstream is reached directly; using other entries", "address", upstream, "helper", helper)
		p.onChange(true)
	}
}
