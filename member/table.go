package member

import (
	"bytes"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// TombstoneTime is how long an ended or leaving record is kept. It exceeds the
// longest time for which copies of an older version can still arrive.
const TombstoneTime = 2 * time.Minute

// pushesPerChange is how often a changed record is pushed. Afterwards peers that
// lack it find it by comparison.
const pushesPerChange = 2

// Table holds the newest version of every record. It isn't safe for
// concurrent use.
type Table struct {
	rows map[Key]*row
	// pushesLeft counts the pushes to come of the records that changed.
	pushesLeft map[Key]int
}

type row struct {
	record Record
	// expiresAt is when the lease ends, and forgetAt when the row is removed;
	// 0 means never.
	expiresAt clock.Instant
	forgetAt  clock.Instant
	ended     bool
	// renewal says that the last version didn't change the payload.
	renewal bool
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[Key]*row{}, pushesLeft: map[Key]int{}}
}

// Merge merges records into the table and returns those that changed it, with
// their payloads.
func (t *Table) Merge(now clock.Instant, records []Record) []Record {
	return t.mergeAll(now, records, true)
}

// MergeDirect is Merge for records whose origin pushes to every peer itself.
// Renewals among them aren't pushed again, except those of nodes: these are few,
// and a keeper whose record ends is replaced.
func (t *Table) MergeDirect(now clock.Instant, records []Record) []Record {
	return t.mergeAll(now, records, false)
}

func (t *Table) mergeAll(now clock.Instant, records []Record, pushRenewals bool) []Record {
	var changed []Record
	for _, r := range records {
		if !t.merge(now, r) {
			continue
		}
		row := t.rows[r.Key]
		changed = append(changed, row.record)
		if !pushRenewals && row.renewal && !row.record.Leaving && r.Kind != Node {
			delete(t.pushesLeft, r.Key)
		}
	}
	return changed
}

func (t *Table) merge(now clock.Instant, r Record) bool {
	current, ok := t.rows[r.Key]
	if ok && !r.After(current.record.Version) {
		return false
	}
	sameIncarnation := ok && current.record.Incarnation == r.Incarnation
	if r.Renewal {
		if !sameIncarnation || current.record.Leaving != r.Leaving || r.PayloadHash != 0 && r.PayloadHash != xxhash.Sum64(current.record.Payload) {
			// An earlier version is missing, and with it the payload; a
			// comparison will bring the whole record.
			return false
		}
		r.Payload, r.Renewal, r.PayloadHash = current.record.Payload, false, 0
	}
	next := &row{record: r, renewal: sameIncarnation && bytes.Equal(r.Payload, current.record.Payload)}
	if r.Remaining > 0 {
		next.expiresAt = now + r.Remaining
	}
	if r.Leaving {
		next.forgetAt = now + TombstoneTime
	}
	t.rows[r.Key] = next
	t.pushesLeft[r.Key] = pushesPerChange
	return true
}

// Expire marks the records whose lease has run out as ended and returns them.
// They are kept for TombstoneTime, so that an old copy can't revive them.
func (t *Table) Expire(now clock.Instant) []Record {
	var ended []Record
	for key, row := range t.rows {
		if row.forgetAt > 0 && now >= row.forgetAt {
			delete(t.rows, key)
			delete(t.pushesLeft, key)
			continue
		}
		if !row.ended && row.expiresAt > 0 && now >= row.expiresAt {
			row.ended = true
			row.forgetAt = now + TombstoneTime
			delete(t.pushesLeft, key)
			ended = append(ended, row.record)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return less(ended[i].Key, ended[j].Key) })
	return ended
}

// Live returns the records of a kind that are neither leaving nor ended.
func (t *Table) Live(now clock.Instant, kind Kind) []Record {
	var live []Record
	for key, row := range t.rows {
		if key.Kind == kind && !row.record.Leaving && row.alive(now) {
			live = append(live, row.record)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Unleft returns the records of a kind that aren't leaving: those that are alive, and for
// TombstoneTime those whose lease ran out, whose owners may have been cut off.
func (t *Table) Unleft(kind Kind) []Record {
	var unleft []Record
	for key, row := range t.rows {
		if key.Kind == kind && !row.record.Leaving {
			unleft = append(unleft, row.record)
		}
	}
	sort.Slice(unleft, func(i, j int) bool { return unleft[i].ID < unleft[j].ID })
	return unleft
}

// Get returns the record of a key, even if it is leaving or has ended.
func (t *Table) Get(key Key) (Record, bool) {
	row, ok := t.rows[key]
	if !ok {
		return Record{}, false
	}
	return row.record, true
}

// Len returns the number of records that the table knows.
func (t *Table) Len() int { return len(t.rows) }

func (r *row) alive(now clock.Instant) bool {
	return !r.ended && (r.expiresAt == 0 || now < r.expiresAt)
}

// outgoing returns the record as it is sent, with the part of the lease that is
// left. It returns false if the lease has run out: such a record isn't sent.
func (r *row) outgoing(now clock.Instant) (Record, bool) {
	out := r.record
	if r.expiresAt > 0 && !out.Leaving {
		out.Remaining = r.expiresAt - now
		if out.Remaining <= 0 || r.ended {
			return out, false
		}
	}
	return out, true
}

// NextPush returns the records to push in this round, with at most limit payload
// bytes if there are several, and counts the push. If the push is direct, which
// means that it goes to every peer, a renewal is pushed only once, except
// those of nodes.
func (t *Table) NextPush(now clock.Instant, limit int, direct bool) []Record {
	var out []Record
	size := 0
	for _, key := range sortedKeys(t.pushesLeft) {
		record, ok := t.rows[key].outgoing(now)
		if t.rows[key].renewal && len(record.Payload) > 0 && !record.Leaving {
			record.PayloadHash = xxhash.Sum64(record.Payload)
			record.Payload, record.Renewal = nil, true
		}
		if size > 0 && size+len(record.Payload) > limit {
			break
		}
		if t.pushesLeft[key]--; t.pushesLeft[key] <= 0 || !ok || direct && record.Renewal && key.Kind != Node {
			delete(t.pushesLeft, key)
		}
		if ok {
			out = append(out, record)
			size += len(record.Payload)
		}
	}
	return out
}

// HasChangesToPush reports whether any record waits to be pushed that isn't just
// the renewal of a lease.
func (t *Table) HasChangesToPush() bool {
	for key := range t.pushesLeft {
		if !t.rows[key].renewal || t.rows[key].record.Leaving {
			return true
		}
	}
	return false
}

// Digest returns the keys and versions of all records that haven't ended.
func (t *Table) Digest() []DigestEntry {
	out := make([]DigestEntry, 0, len(t.rows))
	for key, row := range t.rows {
		if !row.ended {
			out = append(out, DigestEntry{Key: key, Version: row.record.Version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i].Key, out[j].Key) })
	return out
}

// Compare compares the table with a peer's digest. It returns the records that
// the peer lacks, and the keys of which the peer holds a newer version.
func (t *Table) Compare(now clock.Instant, digest []DigestEntry) (push []Record, want []Key) {
	versions := make(map[Key]Version, len(digest))
	for _, d := range digest {
		versions[d.Key] = d.Version
		row, ok := t.rows[d.Key]
		if !ok || d.After(row.record.Version) {
			want = append(want, d.Key)
		}
	}
	for key, row := range t.rows {
		version, ok := versions[key]
		if ok && !row.record.After(version) {
			continue
		}
		if record, alive := row.outgoing(now); alive {
			push = append(push, record)
		}
	}
	sort.Slice(push, func(i, j int) bool { return less(push[i].Key, push[j].Key) })
	return push, want
}

// Select returns the records of the given keys, with what is left of their
// leases. Records that ended are left out.
func (t *Table) Select(now clock.Instant, keys []Key) []Record {
	var out []Record
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			if record, alive := row.outgoing(now); alive {
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
