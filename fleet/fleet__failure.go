package fleet

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
)

// Failed looks for another upstream after a failed attempt. Without one it
// refuses the ticket.
func (f *Fleet) Failed(now clock.Instant, id uint64, how retry.Failure) []Action {
	t, ok := f.tickets[id]
	if !ok || t.state != running {
		return nil
	}
	s, n := f.service(t.Service), t.node
	n.end(now, t)
	n.failed(now, how, t.sends)
	if how == retry.Errored {
		s.outcome(n, false)
	}
	t.tried = append(t.tried, n.ID)
	t.mayHaveRun = t.mayHaveRun || how.MayHaveRun()
	if !how.MayHaveRun() {
		t.runs--
	}
	switch {
	case how == retry.Broken && !t.began:
		n.broken = append(n.broken, breakage{t.Fingerprint, now})
	case how == retry.NotSent:
		// The upstream is gone, and with it what broke off there just before.
		for _, b := range n.broken {
			if now-b.at < deathTime {
				f.died(now, b.fingerprint)
			}
		}
		n.broken = nil
	}
	t.state, t.node = waiting, nil
	if !f.mayMove(now, s, t, how) {
		f.refuse(t, t.lost(how))
		f.pump(now, s)
		return f.take()
	}
	f.enqueue(s, t)
	f.pump(now, s)
	if t.state == waiting && t.mayHaveRun {
		f.dequeue(s, t)
		f.refuse(t, t.lost(how))
	}
	return f.take()
}

// mayMove reports whether the ticket may go to another upstream, and takes the
// retry from the budget if it counts there.
func (f *Fleet) mayMove(now clock.Instant, s *service, t *ticket, how retry.Failure) bool {
	if f.quarantined(now, t.Fingerprint) || !retry.Allowed(how, t.Repeatable, t.sends) || (t.mayHaveRun && !t.Repeatable) {
		return false
	}
	if t.runs >= t.Attempts || !s.untried(now, t) {
		return false
	}
	return how == retry.NotSent || s.budget.Spend(now)
}

// untried reports whether a usable upstream is left that hasn't failed the
// ticket.
func (s *service) untried(now clock.Instant, t *ticket) bool {
	for _, n := range s.nodes {
		if n.usable(now) && !t.hasTried(n.ID) {
			return true
		}
	}
	return false
}

func (t *ticket) hasTried(id string) bool {
	for _, other := range t.tried {
		if other == id {
			return true
		}
	}
	return false
}

// lost is the answer to a ticket that isn't tried again.
func (t *ticket) lost(how retry.Failure) *result.Error {
	if t.mayHaveRun {
		return result.New(result.UpstreamUnknown, result.RanUnknown, "the upstream was lost after the request was sent")
	}
	const soon = 300 * time.Millisecond
	if how == retry.Refused {
		return result.New(result.UpstreamRefused, result.RanNo, "%d upstreams refused the request", t.sends).WithRetry(soon)
	}
	return result.New(result.Saturated, result.RanNo, "no upstream took the request").WithRetry(soon)
}

// died notes that an upstream was lost while it ran the request.
func (f *Fleet) died(now clock.Instant, fingerprint uint64) {
	k, ok := f.suspects[fingerprint]
	if !ok {
		k = &suspect{}
		f.suspects[fingerprint] = k
	}
	k.deaths++
	k.last = now
}

func (f *Fleet) quarantined(now clock.Instant, fingerprint uint64) bool {
	k, ok := f.suspects[fingerprint]
	return ok && k.deaths >= suspectDeaths && now-k.last < suspectTime
}

// Tick refuses tickets that waited for too long and starts what can start.
func (f *Fleet) Tick(now clock.Instant) []Action {
	for fingerprint, k := range f.suspects {
		if now-k.last > suspectTime {
			delete(f.suspects, fingerprint)
		}
	}
	for _, s := range f.services {
		f.pump(now, s)
		for _, t := range append([]*ticket(nil), s.queue...) {
			if _, late := s.tooLate(now, t); late || now >= t.Deadline {
				f.dequeue(s, t)
				f.refuse(t, f.saturated(s, t))
			}
		}
	}
	return f.take()
}
