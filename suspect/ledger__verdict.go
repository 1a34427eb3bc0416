package suspect

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
)

// verdict is what follows from the crashes of a trait.
type verdict struct {
	// crashes is the number of those that count, first and last are the times of the
	// first and last of them.
	crashes     int
	first, last clock.Instant
	// proven says that the trait was answered within provenTime before the first.
	proven bool
}

// convicts reports whether the crashes are enough.
func (v verdict) convicts() bool {
	if v.proven {
		return v.crashes >= provenCrashes
	}
	return v.crashes >= QuarantineCrashes
}

// quarantine is how long the trait is refused after the last crash.
func (v verdict) quarantine() time.Duration {
	if !v.proven {
		return QuarantineTime
	}
	return min(provenQuarantineTime<<max(v.crashes-provenCrashes, 0), QuarantineTime)
}

// verdictOn weighs the evidence of a trait. Crashes don't count against a proven one
// if a convicted part that never was answered explains them: requests with that
// part have others in common too.
func (l *Ledger) verdictOn(t Trait) verdict {
	all := l.record(t)
	v := newVerdict(t.Kind, all)
	if v.proven && v.crashes >= QuarantineCrashes {
		all.crashes = slices.DeleteFunc(all.crashes, func(c crash) bool { return l.explained(t, c) })
		v = newVerdict(t.Kind, all)
	}
	return v
}

// record joins this instance's record of the trait with that of the others.
func (l *Ledger) record(t Trait) *record {
	all := newRecord()
	all.answeredAt = l.answeredAt(t)
	for _, records := range []map[Trait]*record{l.own, l.shared} {
		if r, ok := records[t]; ok {
			for _, c := range r.crashes {
				all.add(c)
			}
		}
	}
	return all
}

func newVerdict(k Kind, r *record) verdict {
	counted := r.counted(k)
	if len(counted) == 0 {
		return verdict{}
	}
	first, last := counted[0].crashedAt, counted[len(counted)-1].crashedAt
	return verdict{crashes: len(counted), first: first, last: last, proven: provenBefore(first, r.answeredAt)}
}

// explained reports whether another part that was convicted, and not proven, was
// there when the upstream crashed.
func (l *Ledger) explained(t Trait, c crash) bool {
	for other, v := range l.convicted {
		if other == t || other.Kind != Part || other.Service != t.Service || v.proven {
			continue
		}
		for _, records := range []map[Trait]*record{l.own, l.shared} {
			if r, ok := records[other]; ok && slices.ContainsFunc(r.crashes, func(o crash) bool { return o.upstream == c.upstream }) {
				return true
			}
		}
	}
	return false
}

// judge updates whether the trait is convicted.
func (l *Ledger) judge(t Trait) {
	_, convicted := l.convicted[t]
	own, shared := l.own[t], l.shared[t]
	if t.Kind == Service || !convicted && (own == nil || len(own.crashes) == 0) && (shared == nil || len(shared.crashes) == 0) {
		return
	}
	if v := l.verdictOn(t); v.convicts() {
		l.convicted[t] = v
		return
	}
	delete(l.convicted, t)
	delete(l.announced, t)
}

// explains reports whether the trait explains its crashes. A part doesn't if the
// service has answered nothing since the first of them: then the fault may be the
// service's, and all its requests may share the part.
func (l *Ledger) explains(t Trait, v verdict) bool {
	return t.Kind != Part || l.answeredAt(Trait{Kind: Service, Service: t.Service}) > v.first
}

// Crashes returns the number of known crashes of a trait, and how many of them count.
func (l *Ledger) Crashes(t Trait) (known, counted int) {
	all := l.record(t)
	return len(all.crashes), newVerdict(t.Kind, all).crashes
}

// Proof returns this instance's own answer to a request with the trait, if others
// may convict it for lack of one.
func (l *Ledger) Proof(now clock.Instant, t Trait) (Evidence, bool) {
	own, ok := l.own[t]
	if !ok || own.answeredAt == never || now-own.answeredAt > provenTime || l.verdictOn(t).crashes < QuarantineCrashes-1 {
		return Evidence{}, false
	}
	return evidenceOf(now, t, &record{answeredAt: own.answeredAt}), true
}

// Suspected returns those of the traits that have crashes.
func (l *Ledger) Suspected(traits []Trait) []Trait {
	var suspected []Trait
	for _, t := range traits {
		own, shared := l.own[t], l.shared[t]
		if own != nil && len(own.crashes) > 0 || shared != nil && len(shared.crashes) > 0 && shared.crashes[len(shared.crashes)-1].sentAt > l.answeredAt(t) {
			suspected = append(suspected, t)
		}
	}
	return suspected
}

// AnyQuarantined reports whether any trait may be quarantined.
func (l *Ledger) AnyQuarantined() bool { return len(l.convicted) > 0 }

// Quarantined returns a quarantined one of the traits and the time until it is
// tried again.
func (l *Ledger) Quarantined(now clock.Instant, traits []Trait) (Trait, time.Duration, bool) {
	if !l.AnyQuarantined() {
		return Trait{}, 0, false
	}
	for _, t := range traits {
		if v, ok := l.convicted[t]; ok && now-v.last < v.quarantine() && l.explains(t, v) {
			return t, v.quarantine() - (now - v.last), true
		}
	}
	return Trait{}, 0, false
}

// Refusal returns the error of a request with a quarantined trait, nil for any other.
func (l *Ledger) Refusal(now clock.Instant, traits []Trait) *result.Error {
	trait, left, found := l.Quarantined(now, traits)
	switch {
	case !found:
		return nil
	case trait.Kind == Request:
		return result.New(result.Suspected, result.RanNo, "the same request crashed the upstreams that ran it").WithRetry(left)
	default:
		return result.New(result.Suspected, result.RanNo, "requests with the part %x of the prompt crashed the upstreams that ran them", trait.Hash).WithRetry(left)
	}
}

// NewlyQuarantined returns the traits that have been quarantined since the last
// call, with the number of crashes that convict them.
func (l *Ledger) NewlyQuarantined() map[Trait]int {
	var fresh map[Trait]int
	for t, v := range l.convicted {
		if l.announced[t] || !l.explains(t, v) {
			continue
		}
		if fresh == nil {
			fresh = map[Trait]int{}
		}
		l.announced[t] = true
		fresh[t] = v.crashes
	}
	return fresh
}
