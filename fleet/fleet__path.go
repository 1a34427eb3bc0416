package fleet

import (
	"net/netip"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// atAddress returns the upstream that announced the address last.
func (f *Fleet) atAddress(address netip.AddrPort) (*upstreamView, bool) {
	u, ok := f.upstreams[f.idByAddress[address.String()]]
	return u, ok
}

// Accepts reports whether the upstream at the address may get a request of another entry
// by way of this one. The other entry has assigned the request to a release and counts it.
func (f *Fleet) Accepts(now clock.Instant, address netip.AddrPort) bool {
	u, ok := f.atAddress(address)
	return ok && u.serves() && !u.closed(now)
}

// ToldAt applies a notice in an answer that the upstream at the address gave to a request
// of another entry by way of this one.
func (f *Fleet) ToldAt(now clock.Instant, address netip.AddrPort, n Notice) []Action {
	if u, ok := f.atAddress(address); ok {
		f.apply(now, u, n)
	}
	return f.takeActions()
}

// AllSilent returns the addresses of the upstreams with requests of this entry if there
// are several and none of them has sent anything for the timeout: the path to them may be
// broken.
func (f *Fleet) AllSilent(now clock.Instant, timeout time.Duration) []netip.AddrPort {
	var silent []netip.AddrPort
	for _, u := range f.upstreams {
		switch {
		case u.running == 0:
		case now-u.lastProgress <= timeout:
			return nil
		default:
			silent = append(silent, u.Address)
		}
	}
	if len(silent) < 2 {
		return nil
	}
	return silent
}

// PathsChanged forgets the backoff of upstreams that weren't reached, as they are reached
// by another way now.
func (f *Fleet) PathsChanged(now clock.Instant) []Action {
	for _, u := range f.upstreams {
		if u.failuresInRow > 0 {
			u.failuresInRow, u.avoidUntil = 0, 0
		}
	}
	f.scheduleAll(now)
	return f.takeActions()
}

// HealthPath returns the path of the health check of the upstream at the address; "" if there
// is none.
func (f *Fleet) HealthPath(address netip.AddrPort) string {
	u, ok := f.atAddress(address)
	if !ok || len(u.Services) == 0 {
		return ""
	}
	return f.service(u.Services[0]).config.HealthPath
}
