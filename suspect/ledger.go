package suspect

import (
	"maps"
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
