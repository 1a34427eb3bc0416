package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Limits of suspects.
const (
	// QuarantineTime is how long a request that crashed upstreams is refused.
	QuarantineTime = 10 * time.Minute
	// MaxCrashes is the number of upstream crashes at which a request is
	// quarantined. After the first one it runs alone, and only a crash then
	// counts as the second.
	MaxCrashes = 2
	// maxSuspects bounds the recorded requests.
	maxSuspects = 10000
	// outageCrashes upstreams that crash within outageWindow count as an outage
	// that no request caused.
	outageCrashes = 3
	outageWindow  = 2 * time.Second
	// ownUpstreamTimeout is how long a suspect waits for an upstream that is
	// assigned to its entry for suspects, before it may use any other.
	ownUpstreamTimeout = 3 * time.Second
)

// suspects records the requests that were running on upstreams when they crashed.
// A suspect is retried alone on an upstream: if that crashes too, the suspect is
// quarantined, and if the suspect is answered, it is cleared. This clears the
// requests that only ran beside the one that caused the crash.
type suspects struct {
	byFingerprint map[uint64]suspectRequest
	// recentCrashes are the latest crashes, at most one for each upstream.
	recentCrashes []crash
}

type suspectRequest struct {
	crashes int
	until   clock.Instant
}

type crash struct {
	upstream string
	at       clock.Instant
}

func newSuspects() *suspects { return &suspects{byFingerprint: map[uint64]suspectRequest{}} }

func (s *suspects) suspected(now clock.Instant, fingerprint uint64) bool {
	e, ok := s.byFingerprint[fingerprint]
	return ok && now < e.until && e.crashes > 0
}

func (s *suspects) quarantined(now clock.Instant, fingerprint uint64) bool {
	e, ok := s.byFingerprint[fingerprint]
	return ok && now < e.until && e.crashes >= MaxCrashes
}

// record raises the request's crashes to the given number and renews its time.
func (s *suspects) record(now clock.Instant, fingerprint uint64, crashes int) {
	s.prune(now)
	if fingerprint == 0 || len(s.byFingerprint) >= maxSuspects {
		return
	}
	e := s.byFingerprint[fingerprint]
	if now >= e.until {
		e.crashes = 0
	}
	s.byFingerprint[fingerprint] = suspectRequest{crashes: max(e.crashes, crashes), until: now + QuarantineTime}
}

func (s *suspects) prune(now clock.Instant) {
	if len(s.byFingerprint) < maxSuspects {
		return
	}
	for f, e := range s.byFingerprint {
		if now >= e.until {
			delete(s.byFingerprint, f)
		}
	}
}

// clearAnswered removes a suspect that was answered, unless it is quarantined.
func (s *suspects) clearAnswered(fingerprint uint64) {
	if e, ok := s.byFingerprint[fingerprint]; ok && e.crashes < MaxCrashes {
		delete(s.byFingerprint, fingerprint)
	}
}

// isOutage records a crash, and reports whether so many upstreams crashed recently
// that the cause isn't a request.
func (s *suspects) isOutage(now clock.Instant, id string) bool {
	recent := s.recentCrashes[:0]
	known := false
	for _, c := range s.recentCrashes {
		if now-c.at < outageWindow {
			recent = append(recent, c)
			known = known || c.upstream == id
		}
	}
	if !known {
		recent = append(recent, crash{id, now})
	}
	s.recentCrashes = recent
	return len(recent) >= outageCrashes
}

// recordCrash records a crash of the ticket's upstream, and reports whether the
// ticket is quarantined.
func (d *Dispatcher) recordCrash(now clock.Instant, t *ticket, ranAlone bool) bool {
	outage := d.suspects.isOutage(now, t.upstream)
	crashedOthers := d.recordRequestCrash(now, t)
	if outage && !crashedOthers {
		return false
	}
	if !outage {
		d.recordPartCrash(now, t)
	}
	crashes := 1
	if crashedOthers || ranAlone && d.suspects.suspected(now, t.Fingerprint) {
		crashes = MaxCrashes
	}
	d.suspects.record(now, t.Fingerprint, crashes)
	d.pending = append(d.pending, ReportSuspect{Fingerprint: t.Fingerprint, Crashes: crashes})
	return crashes >= MaxCrashes
}

// RecordSuspect records the crashes during a request that another entry reports.
func (d *Dispatcher) RecordSuspect(now clock.Instant, fingerprint uint64, crashes int) {
	d.suspects.record(now, fingerprint, crashes)
}

// placeUnplaced grants an upstream to an unplaced ticket; a suspect gets one that
// runs no other request.
func (d *Dispatcher) placeUnplaced(now clock.Instant, p *pool, t *ticket) bool {
	if !d.suspects.suspected(now, t.Fingerprint) {
		return d.place(now, p, t, t.Query)
	}
	u := d.exclusiveUpstream(now, p, t)
	if u == nil || !u.ReadyForSuspect(now) {
		return false
	}
	t.runsAlone = true
	t.heldUpstream = ""
	d.grant(now, t, u)
	return true
}

// exclusiveUpstream returns the upstream that is held for the suspect. If there
// is none yet, it holds the least busy one.
func (d *Dispatcher) exclusiveUpstream(now clock.Instant, p *pool, t *ticket) *upstream.Upstream {
	if u, ok := d.directory.Get(t.heldUpstream); ok && u.Usable(now) && u.Held() && t.Query.Fits(&u.Announcement) {
		return u
	}
	if t.suspectSince == 0 {
		t.suspectSince = now
	}
	var best *upstream.Upstream
	for _, u := range d.candidates(now, p) {
		if !u.Usable(now) || u.Avoided(now) || u.Held() || !t.Query.Fits(&u.Announcement) || (best != nil && u.Busy() >= best.Busy()) {
			continue
		}
		if d.ownsSuspectsAt(p, u.ID) || now-t.suspectSince >= ownUpstreamTimeout {
			best = u
		}
	}
	if best != nil {
		best.Hold(now)
		d.updateUpstream(now, best)
		t.heldUpstream = best.ID
	}
	return best
}

// ownsSuspectsAt reports whether the upstream is assigned to this entry for
// suspects. Each upstream is assigned to one entry by rendezvous hashing, so that
// suspects of two entries don't share an upstream and a crash has one cause.
func (d *Dispatcher) ownsSuspectsAt(p *pool, upstreamID string) bool {
	owner, highest := "", uint64(0)
	for _, name := range p.entryNames {
		if h := xxhash.Sum64String(name + "/" + upstreamID); owner == "" || h > highest {
			owner, highest = name, h
		}
	}
	return owner == "" || owner == p.ownName
}

// releaseHold releases the upstream that is held for a withdrawn ticket.
func (d *Dispatcher) releaseHold(now clock.Instant, t *ticket) {
	if u, ok := d.directory.Get(t.heldUpstream); ok && t.heldUpstream != "" {
		u.EndHold()
		d.updateUpstream(now, u)
	}
}
