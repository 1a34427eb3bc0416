package member

import (
	"bytes"
	"sort"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// tombstoneTime is how long the end of a record is remembered. It exceeds the
// longest time for which a copy of an older version can travel.
const tombstoneTime = 2 * time.Minute

// pushes is how often a changed record is pushed before only the digest
// carries it on.
const pushes = 2

// Table holds the newest version of every record. It isn't safe for
// concurrent use.
type Table struct {
	rows map[Key]*row
	hot  map[Key]int
}

type row struct {
	record Record
	// expires is when the lease ends; forget is when the row goes.
	expires clock.Instant
	forget  clock.Instant
	ended   bool
	// renewal says that the payload didn't change with the last version.
	renewal bool
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[Key]*row{}, hot: map[Key]int{}}
}

// Merge takes in records and returns those that changed the table, with their
// payloads.
func (t *Table) Merge(now clock.Instant, records []Record) []Record {
	return t.mergeAll(now, records, true)
}

// MergeDirect is Merge for records whose origin pushes to every peer itself:
// renewals among them aren't pushed on, but for those of nodes, which are few
// and whose end has members replaced.
func (t *Table) MergeDirect(now clock.Instant, records []Record) []Record {
	return t.mergeAll(now, records, false)
}

func (t *Table) mergeAll(now clock.Instant, records []Record, relay bool) []Record {
	var changed []Record
	for _, r := range records {
		if !t.merge(now, r) {
			continue
		}
		held := t.rows[r.Key]
		changed = append(changed, held.record)
		if !relay && held.renewal && !held.record.Leaving && r.Kind != Node {
			delete(t.hot, r.Key)
		}
	}
	return changed
}

func (t *Table) merge(now clock.Instant, r Record) bool {
	held, ok := t.rows[r.Key]
	if ok && !r.After(held.record.Version) {
		return false
	}
	same := ok && held.record.Incarnation == r.Incarnation
	if r.Renewal {
		if !same || held.record.Leaving != r.Leaving {
			// The payload changed; the digest will bring the whole record.
			return false
		}
		r.Payload, r.Renewal = held.record.Payload, false
	}
	next := &row{record: r, renewal: same && bytes.Equal(r.Payload, held.record.Payload)}
	if r.Remaining > 0 {
		next.expires = now + r.Remaining
	}
	if r.Leaving {
		next.forget = now + tombstoneTime
	}
	t.rows[r.Key] = next
	t.hot[r.Key] = pushes
	return true
}

// Expire ends the records whose lease has run out and returns them. An ended
// record stays known, so that an old copy can't revive it.
func (t *Table) Expire(now clock.Instant) []Record {
	var ended []Record
	for key, held := range t.rows {
		if held.forget > 0 && now >= held.forget {
			delete(t.rows, key)
			delete(t.hot, key)
			continue
		}
		if !held.ended && held.expires > 0 && now >= held.expires {
			held.ended = true
			held.forget = now + tombstoneTime
			delete(t.hot, key)
			ended = append(ended, held.record)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return less(ended[i].Key, ended[j].Key) })
	return ended
}

// Live returns the records of a kind that are neither leaving nor ended.
func (t *Table) Live(now clock.Instant, kind Kind) []Record {
	var live []Record
	for key, held := range t.rows {
		if key.Kind == kind && !held.record.Leaving && held.alive(now) {
			live = append(live, held.record)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Get returns the record of a key, also if it is leaving.
func (t *Table) Get(key Key) (Record, bool) {
	held, ok := t.rows[key]
	if !ok {
		return Record{}, false
	}
	return held.record, true
}

// Len returns the number of records that the table knows.
func (t *Table) Len() int { return len(t.rows) }

func (r *row) alive(now clock.Instant) bool {
	return !r.ended && (r.expires == 0 || now < r.expires)
}

// wire returns the record as it is sent: with the part of the lease that is
// left. A record whose lease has run out isn't sent.
func (r *row) wire(now clock.Instant) (Record, bool) {
	out := r.record
	if r.expires > 0 && !out.Leaving {
		out.Remaining = r.expires - now
		if out.Remaining <= 0 || r.ended {
			return out, false
		}
	}
	return out, true
}

// Hot returns the records to push in this round, at most limit payload bytes.
// A renewal is one push if it goes to every peer, but for those of nodes.
func (t *Table) Hot(now clock.Instant, limit int, direct bool) []Record {
	var out []Record
	size := 0
	for _, key := range sortedKeys(t.hot) {
		record, ok := t.rows[key].wire(now)
		if t.rows[key].renewal && len(record.Payload) > 0 && !record.Leaving {
			record.Payload, record.Renewal = nil, true
		}
		if size > 0 && size+len(record.Payload) > limit {
			break
		}
		if t.hot[key]--; t.hot[key] <= 0 || !ok || direct && record.Renewal && key.Kind != Node {
			delete(t.hot, key)
		}
		if ok {
			out = append(out, record)
			size += len(record.Payload)
		}
	}
	return out
}

// News reports whether anything waits to be pushed that is more than the
// renewal of a lease.
func (t *Table) News() bool {
	for key := range t.hot {
		if !t.rows[key].renewal || t.rows[key].record.Leaving {
			return true
		}
	}
	return false
}

// Digest returns every key with its version.
func (t *Table) Digest() []DigestEntry {
	out := make([]DigestEntry, 0, len(t.rows))
	for key, held := range t.rows {
		if !held.ended {
			out = append(out, DigestEntry{Key: key, Version: held.record.Version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i].Key, out[j].Key) })
	return out
}

// Compare answers a digest: the records that its sender lacks, and the keys
// of which the sender holds a newer version.
func (t *Table) Compare(now clock.Instant, digest []DigestEntry) (push []Record, want []Key) {
	theirs := make(map[Key]Version, len(digest))
	for _, d := range digest {
		theirs[d.Key] = d.Version
		held, ok := t.rows[d.Key]
		if !ok || d.After(held.record.Version) {
			want = append(want, d.Key)
		}
	}
	for key, held := range t.rows {
		version, ok := theirs[key]
		if ok && !held.record.After(version) {
			continue
		}
		if record, alive := held.wire(now); alive {
			push = append(push, record)
		}
	}
	sort.Slice(push, func(i, j int) bool { return less(push[i].Key, push[j].Key) })
	return push, want
}

// Select returns the records of the given keys as they are sent.
func (t *Table) Select(now clock.Instant, keys []Key) []Record {
	var out []Record
	for _, key := range keys {
		if held, ok := t.rows[key]; ok {
			if record, alive := held.wire(now); alive {
				out = append(out, record)
			}
		}
	}
	return out
}

func sortedKeys(m map[Key]int) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return less(keys[i], keys[j]) })
	return keys
}

func less(a, b Key) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.ID < b.ID
}
