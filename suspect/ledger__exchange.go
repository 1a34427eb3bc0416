package suspect

import (
	"cmp"
	"slices"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Merge adds the evidence of others.
func (l *Ledger) Merge(now clock.Instant, evidence []Evidence) {
	l.prune(now)
	for i := range evidence {
		e := &evidence[i]
		if !e.Answered && len(e.Crashes) == 0 {
			continue
		}
		r := find(l.shared, e.Trait)
		if e.Answered {
			r.answered(now, now-e.SinceAnswer)
			if own, ok := l.own[e.Trait]; ok {
				// What others have cleared isn't told to the next leader.
				own.clear(now, now-e.SinceAnswer)
			}
		}
		for _, c := range e.Crashes {
			r.add(crash{c.Upstream, now - c.SinceSent, now - c.SinceCrash})
		}
		l.judge(e.Trait)
	}
}

// Report returns what this instance has seen of traits with crashes, its own or
// others', the gravest first. With it come the traits that it refuses on others'
// word: a new leader learns of them, and an old one tells if they are cleared.
func (l *Ledger) Report(now clock.Instant) []Evidence {
	l.prune(now)
	report := l.evidence(now, l.own, func(t Trait, r *record) int {
		suspected := len(r.counted(t.Kind))
		if shared, ok := l.shared[t]; ok && r.answeredAt != never {
			// The others don't know that this instance got an answer.
			suspected = max(suspected, len(shared.counted(t.Kind)))
		}
		return suspected
	})
	reported := map[Trait]bool{}
	for i := range report {
		reported[report[i].Trait] = true
	}
	repeated := 0
	for t := range l.convicted {
		if shared, ok := l.shared[t]; ok && !reported[t] && repeated < maxRepeated {
			report = append(report, evidenceOf(now, t, &record{answeredAt: never, crashes: shared.crashes}))
			repeated++
			if service := (Trait{Kind: Service, Service: t.Service}); !reported[service] && len(report) < MaxEvidence-maxRepeated {
				reported[service] = true
				report = append(report, evidenceOf(now, service, &record{answeredAt: l.answeredAt(service)}))
			}
		}
	}
	return report
}

// Shared returns the merged evidence of the others, the gravest first, in answer
// to a report.
func (l *Ledger) Shared(now clock.Instant, report []Evidence) []Evidence {
	l.prune(now)
	asked := map[Trait]bool{}
	for i := range report {
		asked[report[i].Trait] = true
	}
	return l.evidence(now, l.shared, func(t Trait, r *record) int {
		suspected := len(r.counted(t.Kind))
		if asked[t] || now-clearedRetention < r.clearedAt {
			suspected = max(suspected, r.cleared)
		}
		return suspected
	})
}

// evidence lists the records whose gravity isn't 0. With any trait comes that of
// its service.
func (l *Ledger) evidence(now clock.Instant, records map[Trait]*record, gravity func(Trait, *record) int) []Evidence {
	type item struct {
		trait   Trait
		gravity int
		last    clock.Instant
	}
	var items []item
	for t, r := range records {
		if t.Kind == Service || l.expired(now, t, r) {
			continue
		}
		if g := gravity(t, r); g > 0 {
			last := r.clearedAt
			if n := len(r.crashes); n > 0 {
				last = r.crashes[n-1].crashedAt
			}
			items = append(items, item{t, g, last})
		}
	}
	if len(items) == 0 {
		return nil
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(
			-cmp.Compare(a.gravity, b.gravity),
			-cmp.Compare(a.trait.Kind, b.trait.Kind),
			-cmp.Compare(a.last, b.last),
			cmp.Compare(a.trait.Hash, b.trait.Hash),
		)
	})
	items = items[:min(len(items), maxTraits)]
	list := make([]Evidence, 0, len(items)+maxServices)
	services := map[uint64]bool{}
	for i := range items {
		t := items[i].trait
		list = append(list, evidenceOf(now, t, records[t]))
		if service := (Trait{Kind: Service, Service: t.Service}); !services[t.Service] && len(services) < maxServices {
			services[t.Service] = true
			if r, ok := records[service]; ok {
				list = append(list, evidenceOf(now, service, r))
			}
		}
	}
	return list
}

// evidenceOf encodes a record.
func evidenceOf(now clock.Instant, t Trait, r *record) Evidence {
	e := Evidence{Trait: t}
	if r.answeredAt != never {
		e.Answered, e.SinceAnswer = true, max(now-r.answeredAt, 0)
	}
	crashes := r.shared(t.Kind)
	for _, c := range crashes[max(len(crashes)-maxSentCrashes, 0):] {
		e.Crashes = append(e.Crashes, Crash{Upstream: c.upstream, SinceSent: max(now-c.sentAt, 0), SinceCrash: max(now-c.crashedAt, 0)})
	}
	return e
}
