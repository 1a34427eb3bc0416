package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// intervalLength is the number of revisions that one interval sums up.
const intervalLength = 64

// Interval sums up the records without a lease whose sequence falls into an
// interval. They change seldom, so that most intervals are equal everywhere.
type Interval struct {
	Number uint64 `json:"n"`
	Sum    uint64 `json:"s"`
}

// IntervalDigest lists the records with a lease, and sums up the others.
func (t *Table) IntervalDigest() ([]DigestEntry, []Interval) {
	var hot []DigestEntry
	for key, held := range t.rows {
		if !held.ended && !held.cold() {
			hot = append(hot, DigestEntry{Key: key, Version: held.record.Version})
		}
	}
	sort.Slice(hot, func(i, j int) bool { return less(hot[i].Key, hot[j].Key) })
	sums := t.intervals()
	list := make([]Interval, 0, len(sums))
	for n, sum := range sums {
		list = append(list, Interval{n, sum})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return hot, list
}

// cold reports whether the record has no lease.
func (r *row) cold() bool { return r.expires == 0 && !r.record.Leaving }

func (t *Table) intervals() map[uint64]uint64 {
	sums := map[uint64]uint64{}
	for key, held := range t.rows {
		if held.cold() {
			const mix = 0x9e3779b97f4a7c15
			h := xxhash.Sum64String(string(key.Kind) + "/" + key.ID)
			sums[held.record.Sequence/intervalLength] += (h ^ held.record.Sequence) * mix
		}
	}
	return sums
}

// Answer answers an exchange: its push is merged by the caller first.
func (t *Table) Answer(now clock.Instant, m Exchange) Answer {
	answer := Answer{Compared: m.Compare, Push: t.Select(now, m.Want)}
	if !m.Compare {
		return answer
	}
	push, want := t.compareHot(now, m.Digest)
	answer.Push, answer.Want = append(answer.Push, push...), want
	answer.Digest = t.differing(m.Intervals)
	return answer
}

// compareHot compares the records with a lease only.
func (t *Table) compareHot(now clock.Instant, digest []DigestEntry) (push []Record, want []Key) {
	push, want = t.Compare(now, digest)
	hot := push[:0]
	for _, r := range push {
		if !t.rows[r.Key].cold() {
			hot = append(hot, r)
		}
	}
	return hot, want
}

// differing lists the entries of all intervals that differ from the asker's.
func (t *Table) differing(theirs []Interval) []DigestEntry {
	sums := t.intervals()
	differs := map[uint64]bool{}
	for _, i := range theirs {
		if sums[i.Number] != i.Sum {
			differs[i.Number] = true
		}
		delete(sums, i.Number)
	}
	for n := range sums {
		differs[n] = true
	}
	if len(differs) == 0 {
		return nil
	}
	entries := []DigestEntry{}
	for key, held := range t.rows {
		if held.cold() && differs[held.record.Sequence/intervalLength] {
			entries = append(entries, DigestEntry{Key: key, Version: held.record.Version})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return less(entries[i].Key, entries[j].Key) })
	return entries
}

// Missing returns the keys of which the digest has newer versions.
func (t *Table) Missing(digest []DigestEntry) []Key {
	var keys []Key
	for _, d := range digest {
		if held, ok := t.rows[d.Key]; !ok || d.After(held.record.Version) {
			keys = append(keys, d.Key)
		}
	}
	return keys
}

// Newer returns the records of the digest's keys of which this table holds
// newer versions.
func (t *Table) Newer(now clock.Instant, digest []DigestEntry) []Record {
	var keys []Key
	for _, d := range digest {
		if held, ok := t.rows[d.Key]; ok && held.record.After(d.Version) {
			keys = append(keys, d.Key)
		}
	}
	return t.Select(now, keys)
}
