package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Limits of the memory of suspects.
const (
	// QuarantineTime is how long a request that crashed upstreams is refused.
	QuarantineTime = 10 * time.Minute
	// MaxDeaths is the number of upstreams that may die of one request.
	MaxDeaths = 2
	// maxSuspects bounds the remembered requests.
	maxSuspects = 10000
	// waveDeaths within waveTime are taken for a failure of the instances.
	waveDeaths = 3
	waveTime   = 2 * time.Second
	// tryPatience is how long a suspect waits for an upstream that belongs
	// to its entry before it takes any.
	tryPatience = 3 * time.Second
)

// suspects remembers the requests that ran at upstreams which died without an
// announcement. A suspect runs alone; if its upstream dies again it is
// quarantined, while those that only ran beside it clear themselves.
type suspects struct {
	entries map[uint64]suspect
	// deaths are the latest deaths of different upstreams.
	deaths []death
}

type suspect struct {
	deaths int
	until  clock.Instant
}

type death struct {
	upstream string
	at       clock.Instant
}

func newSuspects() *suspects { return &suspects{entries: map[uint64]suspect{}} }

func (s *suspects) suspected(now clock.Instant, fingerprint uint64) bool {
	e, ok := s.entries[fingerprint]
	return ok && now < e.until && e.deaths > 0
}

func (s *suspects) quarantined(now clock.Instant, fingerprint uint64) bool {
	e, ok := s.entries[fingerprint]
	return ok && now < e.until && e.deaths >= MaxDeaths
}

// set keeps the highest number of deaths that was heard of.
func (s *suspects) set(now clock.Instant, fingerprint uint64, deaths int) {
	s.prune(now)
	if fingerprint == 0 || len(s.entries) >= maxSuspects {
		return
	}
	e := s.entries[fingerprint]
	if now >= e.until {
		e.deaths = 0
	}
	s.entries[fingerprint] = suspect{deaths: max(e.deaths, deaths), until: now + QuarantineTime}
}

func (s *suspects) prune(now clock.Instant) {
	if len(s.entries) < maxSuspects {
		return
	}
	for f, e := range s.entries {
		if now >= e.until {
			delete(s.entries, f)
		}
	}
}

// clear forgets a suspect that was answered.
func (s *suspects) clear(fingerprint uint64) {
	if e, ok := s.entries[fingerprint]; ok && e.deaths < MaxDeaths {
		delete(s.entries, fingerprint)
	}
}

// wave notes a death and reports whether so many upstreams died lately that
// the requests aren't to blame.
func (s *suspects) wave(now clock.Instant, id string) bool {
	recent := s.deaths[:0]
	known := false
	for _, d := range s.deaths {
		if now-d.at < waveTime {
			recent = append(recent, d)
			known = known || d.upstream == id
		}
	}
	if !known {
		recent = append(recent, death{id, now})
	}
	s.deaths = recent
	return len(recent) >= waveDeaths
}

// died counts the death of the ticket's upstream. It reports whether the
// ticket is quarantined.
func (d *Dispatcher) died(now clock.Instant, t *ticket, alone bool) bool {
	if d.suspects.wave(now, t.upstream) {
		return false
	}
	deaths := 1
	if alone && d.suspects.suspected(now, t.Fingerprint) {
		deaths = MaxDeaths
	}
	d.suspects.set(now, t.Fingerprint, deaths)
	d.actions = append(d.actions, Suspect{Fingerprint: t.Fingerprint, Deaths: deaths})
	return deaths >= MaxDeaths
}

// SetSuspect takes in what another entry found out about a request.
func (d *Dispatcher) SetSuspect(now clock.Instant, fingerprint uint64, deaths int) {
	d.suspects.set(now, fingerprint, deaths)
}

// placeMover finds a new upstream for a ticket that lost its own, or for a
// suspect one of its own.
func (d *Dispatcher) placeMover(now clock.Instant, p *pool, t *ticket) bool {
	if !d.suspects.suspected(now, t.Fingerprint) {
		return d.place(now, p, t, t.Query)
	}
	u := d.exclusiveUpstream(now, p, t)
	if u == nil || !u.Idle(now) {
		return false
	}
	t.alone = true
	t.held = ""
	d.grant(now, t, u)
	return true
}

// exclusiveUpstream returns the upstream that is held for the suspect, holding the least
// busy one if there is none yet.
func (d *Dispatcher) exclusiveUpstream(now clock.Instant, p *pool, t *ticket) *upstream.Upstream {
	if u, ok := d.directory.Get(t.held); ok && u.Usable(now) && u.Held() {
		return u
	}
	if t.suspectSince == 0 {
		t.suspectSince = now
	}
	var best *upstream.Upstream
	for _, u := range d.candidates(now, p) {
		if !u.Usable(now) || u.Avoided(now) || u.Held() || (best != nil && u.Busy() >= best.Busy()) {
			continue
		}
		if d.ownsTrial(p, u.ID) || now-t.suspectSince >= tryPatience {
			best = u
		}
	}
	if best != nil {
		best.Hold(now)
		d.changed(now, best)
		t.held = best.ID
	}
	return best
}

// ownsTrial reports whether this entry runs suspects at the upstream. Each
// upstream belongs to one entry for that, so that suspects of two entries
// don't meet and take the blame for each other.
func (d *Dispatcher) ownsTrial(p *pool, upstreamID string) bool {
	owner, highest := "", uint64(0)
	for _, name := range p.names {
		if h := xxhash.Sum64String(name + "/" + upstreamID); owner == "" || h > highest {
			owner, highest = name, h
		}
	}
	return owner == "" || owner == p.entry
}

// unhold gives up an upstream that was held for a ticket which is gone.
func (d *Dispatcher) unhold(now clock.Instant, t *ticket) {
	if u, ok := d.directory.Get(t.held); ok && t.held != "" {
		u.Release()
		d.changed(now, u)
	}
}
