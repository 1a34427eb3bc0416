package fleet

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// paceTimeWeight is the weight of one answer in a service's paceTime.
	paceTimeWeight = 0.05
	// inTimeFraction is the part of a target that an answer may be expected to take.
	inTimeFraction = 0.9
	// holdFraction is the part of its target for which a request waits for an upstream that would
	// answer in time, before it goes to a longer queue or to a slower upstream.
	holdFraction = 0.3
	// maxQueue is the number of requests in slots, up to which a fast upstream gets requests that no
	// other one has room for in time.
	maxQueue = 2
	// quietFactor and quietMargin bound the time for which an upstream with requests sends nothing,
	// by the time of an answer, and beyond it.
	quietFactor = 2
	quietMargin = 5 * time.Millisecond
	// windowCut is the factor of a window after a late answer, windowGrowth its growth by a round of
	// answers up to the ceiling, and probeGrowth that beyond it.
	windowCut    = 0.5
	windowGrowth = 0.5
	probeGrowth  = 0.03
	// fasterRatio is the ratio of an answer's time to the earlier ones from which on the upstream has
	// become faster, so that its ceiling says nothing.
	fasterRatio = 0.6
)

// plainAnswers is what an entry has seen of a plain upstream's answers.
type plainAnswers struct {
	// times are those of the latest answers, by slot, and measured the number since the last pause.
	times      [3]time.Duration
	measured   int
	measuredAt clock.Instant
	// window is the number of this entry's requests up to which answers come in time; 0 if there
	// is no bound. It shrinks once in a round after answers that take longer than the target,
	// and grows slowly near the ceiling, where that happened last.
	window, ceiling float64
	shrunkAt        clock.Instant
	// shrunkTime is the time by slot as the window last shrank.
	shrunkTime time.Duration
}

// time is the time of an answer by slot; 0 if none came lately. It is the least of the latest ones,
// as requests of others that aren't known of make answers slower, never faster.
func (p *plainAnswers) time(now clock.Instant) time.Duration {
	if p.measured == 0 || now-p.measuredAt > slownessMemory {
		return 0
	}
	return slices.Min(p.times[:min(p.measured, len(p.times))])
}

// add records the time of an answer by slot.
func (p *plainAnswers) add(now clock.Instant, took time.Duration) {
	if now-p.measuredAt > slownessMemory {
		p.measured = 0
	}
	p.times[p.measured%len(p.times)] = took
	p.measured++
	p.measuredAt = now
}

// isOpen reports whether the window has room for a request beside so many.
func (p *plainAnswers) isOpen(running int) bool { return p.window == 0 || running < int(p.window) }

// adapt changes the window after an answer to a request that was sent at sentAt, with so many of
// this entry's requests left there. Requests that were sent before it shrank say nothing new.
func (p *plainAnswers) adapt(now, sentAt clock.Instant, target time.Duration, running, slots int) {
	took := now - sentAt
	switch {
	case target <= 0:
	case took > time.Duration(inTimeFraction*float64(target)):
		if sentAt < p.shrunkAt {
			return
		}
		if p.window == 0 {
			p.window = float64(running + 1)
		}
		p.ceiling, p.shrunkAt, p.shrunkTime = p.window, now, p.time(now)
		p.window = max(p.window*windowCut, 1)
	case p.window > 0:
		if float64(took) < fasterRatio*float64(p.shrunkTime) {
			p.ceiling = 0
		}
		if running+1 < int(p.window) {
			return
		}
		growth := windowGrowth
		if p.window+1 > p.ceiling && p.ceiling > 0 {
			growth = probeGrowth
		}
		p.window += growth / p.window
		if p.window >= p.ceiling+1 {
			p.ceiling = 0
		}
		if p.window >= float64(slots) {
			p.window = 0
		}
	}
}

// limitTo sets the window to this entry's part of a knee that was just found.
func (p *plainAnswers) limitTo(knee, entries int) {
	p.window = max(float64(knee)/float64(max(entries, 1)), 1)
	p.ceiling = p.window
}

// recordPlainTime measures an answer of a plain upstream with the mean of its load.
func (s *service) recordPlainTime(now clock.Instant, t *ticket, load float64) {
	u, took := t.upstream, now-t.sentAt
	if u.knee == 0 || load <= float64(u.knee) {
		bySlot := time.Duration(float64(took) / max(load/float64(max(u.Slots, 1)), 1))
		u.answers.add(now, bySlot)
		atPace := time.Duration(float64(bySlot) / u.pace)
		if s.paceTime == 0 {
			s.paceTime = atPace
		}
		s.paceTime += time.Duration(paceTimeWeight * float64(atPace-s.paceTime))
	}
	u.answers.adapt(now, t.sentAt, t.Target, u.running, u.Slots)
}

// slotTimeAt is the expected time of an answer by slot: this entry's own measure if it is recent,
// and else what the leader's pace says.
func (s *service) slotTimeAt(now clock.Instant, u *upstreamView) time.Duration {
	if own := u.answers.time(now); own > 0 {
		return own
	}
	return time.Duration(float64(s.paceTime) * u.pace)
}

// expectedTime is the expected time of an answer of a plain upstream with so many requests.
func (s *service) expectedTime(now clock.Instant, u *upstreamView, requests float64) time.Duration {
	return u.timeAtLoad(s.slotTimeAt(now, u), requests)
}

// isQuiet reports whether the upstream should have answered a request by now. It has
// probably become slower.
func (s *service) isQuiet(now clock.Instant, u *upstreamView) bool {
	return u.running > 0 && now-u.lastProgress > quietFactor*s.expectedTime(now, u, s.expectedBusy(now, u))+quietMargin
}

// timely returns the candidates among which the ticket's upstream is drawn: those that can answer it
// in time. If none can now, the ticket waits a while for one that could, with none to draw from.
// Then it goes to one that could after a queue, or to any.
func (f *Fleet) timely(now clock.Instant, s *service, t *ticket, offered []candidate) []candidate {
	if t.Target <= 0 || t.gate != nil || s.paceTime == 0 || len(offered) == 0 {
		return offered
	}
	age := now - t.arrivedAt
	left := time.Duration(inTimeFraction*float64(t.Target)) - age
	n := moveFirst(offered, func(u *upstreamView) bool {
		return u.answers.isOpen(u.running) && s.room(now, u) > 0 && !s.isQuiet(now, u) && s.expectedTime(now, u, s.expectedBusy(now, u)+1) <= left
	})
	if n > 0 {
		return offered[:n]
	}
	if t.attempts == 0 {
		all, held := len(offered), time.Duration(holdFraction*float64(t.Target))-age
		for _, u := range s.upstreams {
			if !u.usable(now) || !t.mayRunOn(u) || !u.hasLimitLeft(now) || s.room(now, u) == 0 || s.isQuiet(now, u) {
				continue
			}
			if s.expectedTime(now, u, 1) <= held {
				return nil
			}
			busy := s.expectedBusy(now, u) + 1
			if u.knee == 0 && u.running < u.Slots && u.answers.isOpen(u.running) && busy > float64(u.Slots) && busy <= maxQueue*float64(u.Slots) && s.expectedTime(now, u, busy) <= left {
				offered = append(offered, candidate{u, s.estimate(now, f.options.Zone, u, t)})
			}
		}
		if len(offered) > all {
			return offered[all:]
		}
	}
	if n = moveFirst(offered, func(u *upstreamView) bool { return !s.isQuiet(now, u) }); n > 0 {
		return offered[:n]
	}
	return offered
}

// moveFirst moves the candidates that match to the front, and returns their number.
func moveFirst(list []candidate, matches func(u *upstreamView) bool) (n int) {
	for i := range list {
		if matches(list[i].upstream) {
			list[n], list[i] = list[i], list[n]
			n++
		}
	}
	return n
}
