package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/suspect"
)

// traits returns what the request may have in common with others.
func (t *Ticket) traits() []suspect.Trait {
	shared := make([]uint64, 0, len(t.PromptParts))
	for _, p := range call.SharedParts(t.PromptParts) {
		shared = append(shared, p.ID)
	}
	return suspect.Traits(t.Service, t.Fingerprint, shared)
}

// refuseQuarantined refuses the queued tickets that are quarantined.
func (f *Fleet) refuseQuarantined(now clock.Instant, s *service) {
	if !f.suspects.AnyQuarantined() {
		return
	}
	for _, t := range append([]*ticket(nil), s.queue...) {
		if err := f.suspects.Refusal(now, t.traits); err != nil {
			f.dequeue(s, t)
			if t.mayHaveRun {
				err = t.finalError(retry.Broken, s.retryAfter(now, t))
			}
			f.refuse(t, err)
		}
	}
}

// brokeOff notes a request that broke off before it was known to be sound, and
// asks for a probe of the upstream.
func (f *Fleet) brokeOff(now clock.Instant, u *upstreamView, t *ticket) {
	b := brokenAttempt{t.traits, t.sentAt, now}
	switch {
	case !u.serves():
		// It is leaving, which isn't the requests' doing.
	case u.crashed && now-u.crashedAt < crashWindow:
		f.recordCrash(now, u, b)
	default:
		u.brokenAttempts = append(u.brokenAttempts, b)
		if now >= u.probingUntil {
			u.probingUntil = now + crashWindow
			f.pending = append(f.pending, Probe{Upstream: u.Announcement})
		}
	}
}

// Probed reports whether the upstream refused the connection that a Probe asked
// for.
func (f *Fleet) Probed(now clock.Instant, id string, incarnation uint64, refused bool) []Action {
	u, ok := f.upstreams[id]
	if !ok || u.Incarnation != incarnation {
		return nil
	}
	u.probingUntil = now
	if refused {
		f.upstreamDown(now, u)
	} else {
		u.brokenAttempts = nil
	}
	return f.takeActions()
}

// upstreamDown records a crash, if requests broke off at the upstream just before.
func (f *Fleet) upstreamDown(now clock.Instant, u *upstreamView) {
	for _, b := range u.brokenAttempts {
		if now-b.at < crashWindow {
			u.crashed, u.crashedAt = true, now
			f.recordCrash(now, u, b)
		}
	}
	u.brokenAttempts = nil
}

// recordCrash holds the crash against the traits of a request that ran there.
func (f *Fleet) recordCrash(now clock.Instant, u *upstreamView, b brokenAttempt) {
	f.suspects.Crashed(now, u.runHash(), b.sentAt, b.at, b.traits)
	for _, t := range b.traits {
		if t.Kind == suspect.Request {
			known, counted := f.suspects.Crashes(t)
			f.pending = append(f.pending, Crash{Upstream: u.Announcement, Request: t, Known: known, Counted: counted})
		}
	}
}

// runHash identifies this run of the upstream.
func (u *upstreamView) runHash() uint64 { return mixHash(xxhash.Sum64String(u.ID) ^ u.Incarnation) }

// Evidence returns what this entry has seen of upstreams' crashes, for the others.
func (f *Fleet) Evidence(now clock.Instant) []suspect.Evidence { return f.suspects.Report(now) }

// MergeEvidence adds what the other entries have seen of upstreams' crashes.
func (f *Fleet) MergeEvidence(now clock.Instant, evidence []suspect.Evidence) []Action {
	f.suspects.Merge(now, evidence)
	return f.takeActions()
}

// Suspects is the number of requests and prompt parts that may have crashed
// upstreams.
func (f *Fleet) Suspects(now clock.Instant) int { return f.suspects.Suspects(now) }
