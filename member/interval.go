package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// sequencesPerInterval is the number of sequence numbers that one interval
// covers.
const sequencesPerInterval = 64

// Interval is a checksum of the records without a lease whose sequence numbers
// fall into one interval. These records change seldom, so that most checksums
// are equal at all nodes and the records needn't be listed.
type Interval struct {
	Number   uint64 `json:"n"`
	Checksum uint64 `json:"s"`
}

// IntervalDigest lists the versions of the records with a lease or leaving, and
// returns the checksums of the others.
func (t *Table) IntervalDigest() ([]DigestEntry, []Interval) {
	var leased []DigestEntry
	for key, row := range t.rows {
		if !row.ended && !row.leaseless() {
			leased = append(leased, DigestEntry{Key: key, Version: row.record.Version})
		}
	}
	sort.Slice(leased, func(i, j int) bool { return less(leased[i].Key, leased[j].Key) })
	checksums := t.checksums()
	list := make([]Interval, 0, len(checksums))
	for number, checksum := range checksums {
		list = append(list, Interval{number, checksum})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return leased, list
}

// leaseless reports whether the record has no lease and isn't leaving.
func (r *row) leaseless() bool { return r.expiresAt == 0 && !r.record.Leaving }

// checksums returns the checksum of each interval, by number. It doesn't depend
// on the order of the records.
func (t *Table) checksums() map[uint64]uint64 {
	sums := map[uint64]uint64{}
	for key, row := range t.rows {
		if row.leaseless() {
			const mix = 0x9e3779b97f4a7c15
			h := xxhash.Sum64String(string(key.Kind) + "/" + key.ID)
			sums[row.record.Sequence/sequencesPerInterval] += (h ^ row.record.Sequence) * mix
		}
	}
	return sums
}

// Answer returns the answer to an exchange. The caller has merged the records of
// its push before.
func (t *Table) Answer(now clock.Instant, m Exchange) Answer {
	answer := Answer{Compared: m.Compare, Push: t.Select(now, m.Want)}
	if !m.Compare {
		return answer
	}
	push, want := t.compareLeased(now, m.Digest)
	answer.Push, answer.Want = append(answer.Push, push...), want
	answer.Digest = t.differingEntries(m.Intervals)
	return answer
}

// compareLeased is Compare without the records that IntervalDigest sums up.
func (t *Table) compareLeased(now clock.Instant, digest []DigestEntry) (push []Record, want []Key) {
	push, want = t.Compare(now, digest)
	leased := push[:0]
	for _, r := range push {
		if !t.rows[r.Key].leaseless() {
			leased = append(leased, r)
		}
	}
	return leased, want
}

// differingEntries lists the versions of the records in all intervals whose
// checksums differ from the given ones.
func (t *Table) differingEntries(intervals []Interval) []DigestEntry {
	checksums := t.checksums()
	differs := map[uint64]bool{}
	for _, i := range intervals {
		if checksums[i.Number] != i.Checksum {
			differs[i.Number] = true
		}
		delete(checksums, i.Number)
	}
	for n := range checksums {
		differs[n] = true
	}
	if len(differs) == 0 {
		return nil
	}
	entries := []DigestEntry{}
	for key, row := range t.rows {
		if row.leaseless() && differs[row.record.Sequence/sequencesPerInterval] {
			entries = append(entries, DigestEntry{Key: key, Version: row.record.Version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return less(entries[i].Key, entries[j].Key) })
	return entries
}

// Missing returns the keys of which the digest has newer versions than this
// table.
func (t *Table) Missing(digest []DigestEntry) []Key {
	var keys []Key
	for _, d := range digest {
		if row, ok := t.rows[d.Key]; !ok || d.After(row.record.Version) {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

// Newer returns the records that this table holds in newer versions than the
// digest. Keys that the digest lacks are left out.
func (t *Table) Newer(now clock.Instant, digest []DigestEntry) []Record {
	var keys []Key
	for _, d := range digest {
		if row, ok := t.rows[d.Key]; ok && row.record.After(d.Version) {
			keys = append(keys, d.Key)
		}
	}
	return t.Select(now, keys)
}
