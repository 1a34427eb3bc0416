package upstream

import (
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
)

// Record returns the announcement as a record of shared state.
func (a *Announcement) Record() member.Record {
	return member.Record{
		Key:       member.Key{Kind: member.Upstream, ID: a.ID},
		Version:   member.Version{Incarnation: a.Incarnation, Leaving: a.Leaving, Sequence: a.Sequence},
		Remaining: a.Lease,
		Payload:   wire.MustEncode(a),
	}
}

// FromRecord returns the announcement in a record, with the part of its lease
// that is left.
func FromRecord(r member.Record) (Announcement, error) {
	var a Announcement
	if err := wire.Decode(r.Payload, &a); err != nil {
		return a, err
	}
	a.Lease = r.Remaining
	return a, nil
}
