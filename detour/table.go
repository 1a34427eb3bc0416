// Package detour decides by which way an entry reaches an upstream: directly, or through
// another entry, a helper, if only the path from this entry is broken. A failed dial alone
// doesn't tell a broken path from an upstream that is down; a helper that reaches the
// upstream does. It does no I/O: callers report what they tried, with the time.
package detour

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Times and bounds of a Table.
const (
	// probeInterval is the least time between two direct questions to an upstream whose path
	// is broken, or to one of them while the entry is isolated.
	probeInterval = 500 * time.Millisecond
	// downTime is how long an upstream that no helper reaches isn't looked for again.
	downTime = time.Second
	// helperRest is how long a helper that failed comes after the others.
	helperRest = time.Second
	// minUnreached is the number of upstreams that can't be dialled, with none that was
	// reached in between, from which on helpers are asked.
	minUnreached = 2
	// isolationFaults is the number of upstreams with a broken path, with no answer on a new
	// direct connection in between, from which on the entry counts as isolated.
	isolationFaults = 3
	// maxTried is the number of helpers that one request may be sent through, one after
	// the other.
	maxTried = 3
	// returnAnswers is the number of broken paths that carry answers again, with none that
	// doesn't in between, from which on all count as whole.
	returnAnswers = 3
	// checkInterval is the time between two checks of upstreams that are silent together, and
	// maxSuspects the number of upstreams that one looks at.
	checkInterval = time.Second
	maxSuspects   = 2
	// judgeQuestions is the number of questions that judge one path: its own and a helper's.
	judgeQuestions = 2
	// maxQuestions bounds the questions to upstreams within questionWindow.
	maxQuestions   = 4
	questionWindow = time.Second
	// listAge is the age at which the list of helpers is asked for again.
	listAge = 5 * time.Second
	// shortListAge is the same for a list that may have more helpers by now.
	shortListAge = time.Second
	// retention is how long an upstream that nobody dials is remembered.
	retention = time.Minute
)

// Helper is an entry through which upstreams may be reached.
type Helper struct {
	Address netip.AddrPort `json:"a"`
	Zone    string         `json:"z,omitempty"`
}

// Table holds what an entry knows of its paths to upstreams. It isn't safe for
// concurrent use.
type Table struct {
	upstreams map[netip.AddrPort]*path
	helpers   []Helper
	// turn and judgeTurn count the requests for helpers, so that they take turns.
	turn, judgeTurn int
	// restUntil is when helpers that failed may come first again.
	restUntil map[netip.AddrPort]clock.Instant
	// unreached are the upstreams that couldn't be dialled since one was last dialled or
	// answered, and faults counts the paths that broke since a new connection was answered.
	unreached map[netip.AddrPort]bool
	faults    int
	isolated  bool
	// returned counts the broken paths that carry answers again, the first one since
	// returningSince.
	returned       int
	returningSince clock.Instant
	// askedAt are the times of the questions within the last questionWindow.
	askedAt []clock.Instant
	// nextProbe is when the next direct question of an isolated entry is due, and nextCheck
	// when upstreams that are silent together may be checked again.
	nextProbe, nextCheck clock.Instant
	// listedAt is when the list of helpers was set, 0 if it never was.
	listedAt clock.Instant
}

// path is what is known of the path to one upstream.
type path struct {
	// broken says that a helper reaches the upstream and this entry doesn't.
	broken bool
	// nextProbe is when the next direct question is due while the path is broken, and
	// downUntil when an upstream that no helper reached may be looked for again.
	nextProbe, downUntil clock.Instant
	usedAt               clock.Instant
}

// New returns an empty table: all upstreams are reached directly.
func New() *Table {
	return &Table{upstreams: map[netip.AddrPort]*path{}, restUntil: map[netip.AddrPort]clock.Instant{}, unreached: map[netip.AddrPort]bool{}}
}

// SetHelpers replaces the list of helpers, the preferred ones first.
func (t *Table) SetHelpers(now clock.Instant, helpers []Helper) {
	t.helpers, t.listedAt = slices.Clone(helpers), now
	for address := range t.restUntil {
		if !slices.ContainsFunc(helpers, func(h Helper) bool { return h.Address == address }) {
			delete(t.restUntil, address)
		}
	}
}

// Broken is the number of upstreams that only helpers reach, as far as is known.
func (t *Table) Broken() int {
	n := 0
	for _, p := range t.upstreams {
		if p.broken {
			n++
		}
	}
	return n
}

// WantsHelpers reports whether the list of helpers is old, or needed now.
func (t *Table) WantsHelpers(now clock.Instant) bool {
	age := now - t.listedAt
	switch {
	case len(t.helpers) == 0 || t.isolated || age >= listAge:
		return true
	case len(t.helpers) < MaxHelpers && age >= shortListAge:
		return true
	}
	for _, until := range t.restUntil {
		if now < until {
			return true
		}
	}
	for _, p := range t.upstreams {
		if p.broken || now < p.downUntil {
			return true
		}
	}
	return false
}

// mayAsk reports whether so many questions may be asked now, and counts them if so.
func (t *Table) mayAsk(now clock.Instant, questions int) bool {
	t.askedAt = slices.DeleteFunc(t.askedAt, func(at clock.Instant) bool { return now-at >= questionWindow })
	if len(t.askedAt)+questions > maxQuestions {
		return false
	}
	for range questions {
		t.askedAt = append(t.askedAt, now)
	}
	return true
}

// Suspects returns those of the upstreams that are silent together whose paths are to be
// judged now: each by a question of this entry, and the same one by way of a helper.
func (t *Table) Suspects(now clock.Instant, silent []netip.AddrPort) []netip.AddrPort {
	if len(silent) == 0 || t.isolated || len(t.helpers) == 0 || now < t.nextCheck {
		return nil
	}
	var due []netip.AddrPort
	for _, address := range silent {
		if len(due) < maxSuspects && !t.path(now, address).broken && t.mayAsk(now, judgeQuestions) {
			due = append(due, address)
		}
	}
	if len(due) > 0 {
		t.nextCheck = now + checkInterval
	}
	return due
}

// Isolated reports whether the entry reaches no upstream directly while others do.
func (t *Table) Isolated() bool { return t.isolated }

// Direct reports whether the upstream is to be dialled directly first.
func (t *Table) Direct(now clock.Instant, upstream netip.AddrPort) bool {
	p := t.path(now, upstream)
	return len(t.helpers) == 0 || !p.broken && !t.isolated
}

// Helpers returns the helpers through which to try the upstream, in order; none while it
// is known to be down.
func (t *Table) Helpers(now clock.Instant, upstream netip.AddrPort) []netip.AddrPort {
	return t.ordered(now, upstream, t.rotate)
}

// JudgeHelpers returns the helpers by way of which to ask the upstream that is to be judged, in
// order; none while it is known to be down.
func (t *Table) JudgeHelpers(now clock.Instant, upstream netip.AddrPort) []netip.AddrPort {
	return t.ordered(now, upstream, t.rotateZones)
}

// ordered returns the helpers, those that failed a moment ago last; rotate changes the order of
// the others.
func (t *Table) ordered(now clock.Instant, upstream netip.AddrPort, rotate func(helpers []netip.AddrPort)) []netip.AddrPort {
	if now < t.path(now, upstream).downUntil {
		return nil
	}
	var fresh, resting []netip.AddrPort
	for _, h := range t.helpers {
		if now < t.restUntil[h.Address] {
			resting = append(resting, h.Address)
		} else {
			fresh = append(fresh, h.Address)
		}
	}
	rotate(fresh)
	all := append(fresh, resting...)
	return all[:min(len(all), maxTried)]
}

// rotateZones lets, of two upstreams that are judged one after the other, the second be asked
// through another zone: the helpers of the entry's own may have lost their ways too.
func (t *Table) rotateZones(helpers []netip.AddrPort) {
	if n := len(helpers); n > 1 {
		first := t.judgeTurn * (n - 1) % n
		copy(helpers, slices.Concat(helpers[first:], helpers[:first]))
		t.judgeTurn++
	}
}

// rotate lets the helpers of the first one's zone come first in turn.
func (t *Table) rotate(helpers []netip.AddrPort) {
	near := 0
	for near < len(helpers) && t.zoneOf(helpers[near]) == t.zoneOf(helpers[0]) {
		near++
	}
	if near > 1 {
		t.turn++
		first := t.turn % near
		helpers[0], helpers[first] = helpers[first], helpers[0]
	}
}

func (t *Table) zoneOf(helper netip.AddrPort) string {
	for _, h := range t.helpers {
		if h.Address == helper {
			return h.Zone
		}
	}
	return ""
}

// Reached records that the upstream answered a question directly, on a new connection. It
// reports whether the entry was isolated until now.
func (t *Table) Reached(now clock.Instant, upstream netip.AddrPort) (wasIsolated bool) {
	p := t.path(now, upstream)
	if p.broken {
		if t.returned++; t.returned == 1 {
			t.returningSince = now
		}
	}
	p.broken, p.downUntil = false, 0
	wasIsolated = t.isolated
	t.faults, t.isolated = 0, false
	clear(t.unreached)
	if t.returned >= returnAnswers {
		t.returned = 0
		for _, p := range t.upstreams {
			p.broken = false
		}
	}
	return wasIsolated
}

// Unanswered records that a question to an upstream with a broken path, asked at that time, got no
// answer directly.
func (t *Table) Unanswered(askedAt clock.Instant) {
	if askedAt >= t.returningSince {
		t.returned = 0
	}
}

// Connected records that the upstream was dialled directly. Whether the path carries anything
// isn't known by that.
func (t *Table) Connected(now clock.Instant, upstream netip.AddrPort) {
	t.path(now, upstream).downUntil = 0
	clear(t.unreached)
}

// Answered records an answer to a request on a direct connection, and whether it was the first
// one there. Others say nothing of new connections, as those that are open may live on, but
// their upstream is reached.
func (t *Table) Answered(now clock.Instant, upstream netip.AddrPort, first bool) {
	clear(t.unreached)
	if first && !t.isolated && !t.path(now, upstream).broken {
		t.faults = 0
	}
}

// Unreached records that the upstream couldn't be dialled directly, and reports whether to
// ask helpers for it. One upstream alone is probably down, and all entries would ask.
func (t *Table) Unreached(upstream netip.AddrPort) bool {
	if len(t.unreached) < minUnreached {
		t.unreached[upstream] = true
	}
	return len(t.unreached) >= minUnreached || t.Broken() > 0
}

// Helped records that a helper reached the upstream after this entry had failed to. It
// reports whether the entry counts as isolated from now on.
func (t *Table) Helped(now clock.Instant, upstream netip.AddrPort) (nowIsolated bool) {
	if !t.breaks(now, upstream) {
		return false
	}
	if t.faults++; t.faults < isolationFaults {
		return false
	}
	return t.isolate(now)
}

// Judged records that the upstream answered a helper and not this entry, while all upstreams with
// work were silent to it. It reports whether the entry counts as isolated from now on.
func (t *Table) Judged(now clock.Instant, upstream netip.AddrPort) (nowIsolated bool) {
	return t.breaks(now, upstream) && t.isolate(now)
}

// breaks records that the path to the upstream is broken, and reports whether that is new.
func (t *Table) breaks(now clock.Instant, upstream netip.AddrPort) bool {
	p := t.path(now, upstream)
	p.downUntil = 0
	if p.broken {
		return false
	}
	p.broken, p.nextProbe = true, now+probeInterval
	t.returned = 0
	return true
}

// isolate reports whether the entry wasn't isolated before.
func (t *Table) isolate(now clock.Instant) bool {
	if t.isolated {
		return false
	}
	t.isolated, t.nextProbe = true, now+probeInterval
	return true
}

// Down records that neither this entry nor a helper reached the upstream.
func (t *Table) Down(now clock.Instant, upstream netip.AddrPort) {
	t.path(now, upstream).downUntil = now + downTime
}

// HelperFailed records that a helper couldn't be reached, or helps nobody now.
func (t *Table) HelperFailed(now clock.Instant, helper netip.AddrPort) {
	t.restUntil[helper] = now + helperRest
}

// Probes returns the upstreams that are to be asked directly now, to find out whether their paths
// work again: those with a broken path in turn, or only one while the entry is isolated.
func (t *Table) Probes(now clock.Instant) []netip.AddrPort {
	var due []netip.AddrPort
	for address, p := range t.upstreams {
		switch {
		case now-p.usedAt > retention:
			delete(t.upstreams, address)
		case p.broken && now >= p.nextProbe:
			due = append(due, address)
		}
	}
	if t.isolated && now < t.nextProbe {
		return nil
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int {
		pa, pb := t.upstreams[a].nextProbe, t.upstreams[b].nextProbe
		if pa != pb {
			return int(pa - pb)
		}
		return a.Compare(b)
	})
	if t.isolated && len(due) > 1 {
		due = due[:1]
	}
	for i, address := range due {
		if !t.mayAsk(now, 1) {
			due = due[:i]
			break
		}
		t.upstreams[address].nextProbe = now + probeInterval
	}
	if t.isolated {
		t.nextProbe = now + probeInterval
	}
	return due
}

func (t *Table) path(now clock.Instant, upstream netip.AddrPort) *path {
	p, ok := t.upstreams[upstream]
	if !ok {
		p = &path{}
		t.upstreams[upstream] = p
	}
	p.usedAt = now
	return p
}
