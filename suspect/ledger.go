package suspect

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// Limits of a ledger.
const (
	// QuarantineCrashes is the number of crashes at which a trait is quarantined,
	// provenCrashes that for one with an answer within provenTime before them.
	QuarantineCrashes = 3
	provenCrashes     = 2 * QuarantineCrashes
	provenTime        = time.Minute
	// QuarantineTime is how long a trait is quarantined after its last crash.
	// After that requests are tried again, and one more crash is enough. A proven
	// trait is tried after provenQuarantineTime, which each crash doubles.
	QuarantineTime       = 10 * time.Minute
	provenQuarantineTime = 10 * time.Second
	// convictionRetention is how long the crashes of a trait that was quarantined
	// are kept after the last one, suspicionRetention those of the others, and
	// answerRetention the time of an answer.
	convictionRetention = 2 * QuarantineTime
	suspicionRetention  = 2 * time.Minute
	answerRetention     = provenTime
	// clearedRetention is how long a cleared trait is still shared, so that all
	// ledgers clear it.
	clearedRetention = 3 * time.Second
	// echoMargin is by how much the time of a request may differ when its crash is
	// heard of again: each message adds its delay to an age.
	echoMargin = 50 * time.Millisecond
	// maxCrashes bounds the kept crashes of a trait, maxRecords the traits, which
	// are pruned from half of that on, each pruneInterval.
	maxCrashes    = 8
	maxRecords    = 8192
	pruneInterval = time.Second
	// maxTraits, maxServices and maxRepeated bound the traits in one exchange, and
	// maxSentCrashes the crashes of each: about 7 KB, which is rarely reached.
	maxTraits      = 32
	maxServices    = 8
	maxRepeated    = 16
	maxSentCrashes = provenCrashes
)

// MaxEvidence is the highest number of traits in one exchange.
const MaxEvidence = maxTraits + maxServices + maxRepeated

// never is before all instants.
const never = clock.Instant(math.MinInt64 / 2)

// crash is one crash of an upstream during a request that was sent at sentAt.
type crash struct {
	upstream          uint64
	sentAt, crashedAt clock.Instant
}

// record is what is known of one trait.
type record struct {
	answeredAt clock.Instant
	// crashes are those of requests that were sent after answeredAt, in order.
	crashes []crash
	// clearedAt is when an answer last removed crashes, cleared the length of
	// their chain.
	clearedAt clock.Instant
	cleared   int
}

func newRecord() *record { return &record{answeredAt: never, clearedAt: never} }

// answered clears the trait of the crashes of requests that were sent before.
func (r *record) answered(now, at clock.Instant) {
	if at <= r.answeredAt {
		return
	}
	r.answeredAt = at
	r.clear(now, at)
}

// clear removes the crashes of requests that were sent until at.
func (r *record) clear(now, at clock.Instant) {
	before := len(chain(r.crashes))
	left := slices.DeleteFunc(r.crashes, func(c crash) bool { return c.sentAt <= at })
	if len(left) < len(r.crashes) {
		r.clearedAt, r.cleared = now, before
	}
	r.crashes = left
}

// add adds a crash, unless the trait was answered since. Several requests may
// report the same crash.
func (r *record) add(c crash) {
	if c.sentAt <= r.answeredAt {
		return
	}
	for i := range r.crashes {
		if known := &r.crashes[i]; known.upstream == c.upstream {
			if c.sentAt > known.sentAt+echoMargin {
				// Another request was there too.
				known.sentAt = c.sentAt
			}
			known.crashedAt = min(known.crashedAt, c.crashedAt)
			return
		}
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Compare(a.crashedAt, b.crashedAt) })
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, len(r.crashes)-maxCrashes)
	}
}

// Ledger collects the evidence of one instance and that of the others. It isn't
// safe for concurrent use.
type Ledger struct {
	// own is what this instance has seen, and shared what it was told.
	own, shared map[Trait]*record
	// convicted holds the traits with enough crashes, and announced those that
	// NewlyQuarantined has returned.
	convicted map[Trait]verdict
	announced map[Trait]bool
	prunedAt  clock.Instant
}

// verdict is what follows from the crashes of a trait.
type verdict struct {
	// crashes is the length of the chain, first and last are the times of its
	// first and last crash.
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

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: map[Trait]*record{}, shared: map[Trait]*record{}, convicted: map[Trait]verdict{}, announced: map[Trait]bool{}, prunedAt: never}
}

func find(records map[Trait]*record, t Trait) *record {
	r, ok := records[t]
	if !ok {
		r = newRecord()
		records[t] = r
	}
	return r
}

// Answered records the answer to a request with the traits.
func (l *Ledger) Answered(now clock.Instant, traits []Trait) {
	l.prune(now)
	for _, t := range traits {
		find(l.own, t).answered(now, now)
		l.judge(t)
	}
}

// Crashed records that an upstream crashed at crashedAt during a request with the
// traits, which was sent at sentAt and hasn't been answered.
func (l *Ledger) Crashed(now clock.Instant, upstream uint64, sentAt, crashedAt clock.Instant, traits []Trait) {
	l.prune(now)
	for _, t := range traits {
		find(l.own, t).add(crash{upstream, sentAt, crashedAt})
		l.judge(t)
	}
}

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

// answeredAt is when a request with the trait was last answered anywhere.
func (l *Ledger) answeredAt(t Trait) clock.Instant {
	at := never
	for _, records := range []map[Trait]*record{l.own, l.shared} {
		if r, ok := records[t]; ok {
			at = max(at, r.answeredAt)
		}
	}
	return at
}

// chain returns the crashes that can't have one cause besides the trait: each is
// that of another upstream and of a request that was sent after the crash before.
// A long time without any begins a new chain, unless the chain convicts already.
func chain(crashes []crash) []crash {
	var counted []crash
	for _, c := range crashes {
		n := len(counted)
		switch {
		case n > 0 && c.sentAt < counted[n-1].crashedAt:
			// Both requests ran at once: one outage may have ended both.
			continue
		case n > 0 && n < QuarantineCrashes && c.crashedAt-counted[n-1].crashedAt > suspicionRetention:
			counted = counted[:0]
		}
		counted = append(counted, c)
	}
	return counted
}

// verdictOn weighs the evidence of a trait. Crashes don't count against a proven one
// if a convicted part that never was answered explains them: requests with that
// part have others in common too.
func (l *Ledger) verdictOn(t Trait) verdict {
	all := newRecord()
	all.answeredAt = l.answeredAt(t)
	for _, records := range []map[Trait]*record{l.own, l.shared} {
		if r, ok := records[t]; ok {
			for _, c := range r.crashes {
				all.add(c)
			}
		}
	}
	v := newVerdict(all)
	if v.proven && v.crashes >= QuarantineCrashes {
		all.crashes = slices.DeleteFunc(all.crashes, func(c crash) bool { return l.explained(t, c) })
		v = newVerdict(all)
	}
	return v
}

func newVerdict(r *record) verdict {
	counted := chain(r.crashes)
	if len(counted) == 0 {
		return verdict{}
	}
	first, last := counted[0].crashedAt, counted[len(counted)-1].crashedAt
	return verdict{crashes: len(counted), first: first, last: last, proven: first-r.answeredAt <= provenTime}
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

// Suspects is the number of traits with crashes, without services.
func (l *Ledger) Suspects(now clock.Instant) int {
	suspects := map[Trait]bool{}
	for _, records := range []map[Trait]*record{l.own, l.shared} {
		for t, r := range records {
			if t.Kind != Service && len(r.crashes) > 0 && !l.expired(now, t, r) {
				suspects[t] = true
			}
		}
	}
	return len(suspects)
}

// Report returns what this instance has seen of traits with crashes, its own or
// others', the gravest first. With it come the traits that it refuses on others'
// word: a new leader learns of them, and an old one tells if they are cleared.
func (l *Ledger) Report(now clock.Instant) []Evidence {
	l.prune(now)
	report := l.evidence(now, l.own, func(t Trait, r *record) int {
		suspected := len(chain(r.crashes))
		if shared, ok := l.shared[t]; ok && r.answeredAt != never {
			// The others don't know that this instance got an answer.
			suspected = max(suspected, len(chain(shared.crashes)))
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
		suspected := len(chain(r.crashes))
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
	counted := chain(r.crashes)
	for _, c := range counted[max(len(counted)-maxSentCrashes, 0):] {
		e.Crashes = append(e.Crashes, Crash{Upstream: c.upstream, SinceSent: max(now-c.sentAt, 0), SinceCrash: max(now-c.crashedAt, 0)})
	}
	return e
}

// prune forgets what is too old, if there is much.
func (l *Ledger) prune(now clock.Instant) {
	if len(l.own)+len(l.shared) < maxRecords/2 || now < l.prunedAt+pruneInterval {
		return
	}
	l.prunedAt = now
	for _, records := range []map[Trait]*record{l.own, l.shared} {
		maps.DeleteFunc(records, func(t Trait, r *record) bool { return l.expired(now, t, r) })
		if len(records) >= maxRecords {
			// Later answers replace the lost ones; crashes are kept.
			maps.DeleteFunc(records, func(_ Trait, r *record) bool { return len(r.crashes) == 0 })
		}
	}
	maps.DeleteFunc(l.convicted, func(t Trait, _ verdict) bool { return !l.verdictOn(t).convicts() })
}

func (l *Ledger) expired(now clock.Instant, t Trait, r *record) bool {
	_, convicted := l.convicted[t]
	n := len(r.crashes)
	switch {
	case n > 0 && convicted:
		return now-r.crashes[n-1].crashedAt > convictionRetention
	case n > 0:
		return now-r.crashes[n-1].crashedAt > suspicionRetention
	case r.cleared >= QuarantineCrashes:
		return now-r.answeredAt > convictionRetention
	case r.cleared > 0:
		return now-r.answeredAt > suspicionRetention
	default:
		return now-r.answeredAt > answerRetention
	}
}
