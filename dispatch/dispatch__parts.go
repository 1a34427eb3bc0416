package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/suspect"
)

// partTraits returns the traits of the ticket's service and shared parts.
func (t *ticket) partTraits() []suspect.Trait {
	traits := suspect.Traits(t.Service, 0, t.Parts)
	return append(traits[:1], traits[2:]...)
}

// requestTraits returns the trait of the request itself, if it has a fingerprint.
func (t *ticket) requestTraits() []suspect.Trait {
	if t.Fingerprint == 0 {
		return nil
	}
	return suspect.Traits(t.Service, t.Fingerprint, nil)[1:]
}

// partQuarantined returns the error of a ticket that shares a part of its prompt
// with requests that crashed upstreams; nil for any other.
func (d *Dispatcher) partQuarantined(now clock.Instant, t *ticket) *result.Error {
	if !d.ledger.AnyQuarantined() {
		return nil
	}
	err := d.ledger.Refusal(now, t.partTraits())
	if err != nil && t.mayHaveRun {
		return t.finalError()
	}
	return err
}

// refuseQuarantined refuses a ticket that waits for an upstream, and reports
// whether it did: evidence against a part of its prompt may have come meanwhile.
func (d *Dispatcher) refuseQuarantined(now clock.Instant, t *ticket) bool {
	err := d.partQuarantined(now, t)
	if err == nil {
		return false
	}
	d.drop(now, t, err)
	return true
}

// crashedRun identifies the run of the upstream that crashed under the ticket.
func (t *ticket) crashedRun() uint64 { return xxhash.Sum64String(t.upstream) ^ t.incarnation }

// recordRequestCrash holds a crash of the ticket's upstream against the request, and
// reports whether the same request was at enough others that crashed, also at once.
func (d *Dispatcher) recordRequestCrash(now clock.Instant, t *ticket) bool {
	traits := t.requestTraits()
	d.ledger.Crashed(now, t.crashedRun(), t.sentAt, now, traits)
	_, _, quarantined := d.ledger.Quarantined(now, traits)
	return quarantined
}

// recordPartCrash holds a crash of the ticket's upstream against the parts of its
// prompt.
func (d *Dispatcher) recordPartCrash(now clock.Instant, t *ticket) {
	run, traits := t.crashedRun(), t.partTraits()
	d.ledger.Crashed(now, run, t.sentAt, now, traits)
	for _, trait := range traits[1:] {
		d.pending = append(d.pending, ReportEvidence{suspect.Evidence{Trait: trait, Crashes: []suspect.Crash{{Upstream: run, SinceSent: now - t.sentAt}}}})
	}
}

// clearTraits clears an answered request and its parts, and reports the parts that were
// suspected, with the service, whose answers show that it works.
func (d *Dispatcher) clearTraits(now clock.Instant, t *ticket) {
	traits := t.partTraits()
	for _, trait := range d.ledger.Suspected(traits) {
		d.pending = append(d.pending, ReportEvidence{suspect.Evidence{Trait: trait, Answered: true}})
	}
	d.ledger.Answered(now, append(traits, t.requestTraits()...))
}

// MergeEvidence adds what another entry has reported, and may return an answer of
// this entry that weighs against it.
func (d *Dispatcher) MergeEvidence(now clock.Instant, e suspect.Evidence) []Action {
	d.ledger.Merge(now, []suspect.Evidence{e})
	if proof, ok := d.ledger.Proof(now, e.Trait); ok && !e.Answered {
		d.pending = append(d.pending, ReportEvidence{proof})
	}
	return d.takeActions()
}
