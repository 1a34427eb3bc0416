package suspect

import (
	"cmp"
	"math"
	"slices"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

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
	// clearedAt is when an answer last removed crashes, cleared their number.
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
	before := len(r.crashes)
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

// counted returns the crashes that count against a trait of the kind. Several
// upstreams that fail at once have one cause, unless the same request ran at all of
// them, and isn't one that others ask too and get answers to.
func (r *record) counted(k Kind) []crash {
	if k == Request {
		if all := chain(r.crashes, true); len(all) > 0 && !provenBefore(all[0].crashedAt, r.answeredAt) {
			return all
		}
	}
	return chain(r.crashes, false)
}

// shared returns the crashes to tell the others, who may know of answers.
func (r *record) shared(k Kind) []crash {
	if k == Request {
		return r.crashes
	}
	return chain(r.crashes, false)
}

// provenBefore reports whether an answer at answeredAt makes a trait proven at a
// crash.
func provenBefore(crashedAt, answeredAt clock.Instant) bool {
	return crashedAt-answeredAt <= provenTime
}

// chain returns the crashes that can't have one cause besides the trait: each is
// that of another upstream and, unless atOnce is set, of a request that was sent after
// the crash before. A long time without any begins a new chain, unless the chain
// convicts already.
func chain(crashes []crash, atOnce bool) []crash {
	var counted []crash
	for _, c := range crashes {
		n := len(counted)
		switch {
		case n > 0 && !atOnce && c.sentAt < counted[n-1].crashedAt:
			// Both requests ran at once: one outage may have ended both.
			continue
		case n > 0 && n < QuarantineCrashes && c.crashedAt-counted[n-1].crashedAt > suspicionRetention:
			counted = counted[:0]
		}
		counted = append(counted, c)
	}
	return counted
}
