package upstream

import (
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
)

// Record returns the announcement as a gossip record. The fields that change with
// each announcement are stored beside the payload, so that it stays the same.
func (a *Announcement) Record() member.Record {
	payload := *a
	payload.Sequence, payload.Load = 0, Load{}
	return member.Record{
		Key:       member.Key{Kind: member.Upstream, ID: a.ID},
		Version:   member.Version{Incarnation: a.Incarnation, Leaving: a.Leaving, Sequence: a.Sequence},
		Remaining: a.Lease,
		Payload:   wire.MustEncode(&payload),
		Detail:    wire.MustEncode(&a.Load),
	}
}

// FromRecord returns the announcement of a record, with the remaining time as its
// lease.
func FromRecord(r member.Record) (Announcement, error) {
	var a Announcement
	if err := wire.Decode(r.Payload, &a); err != nil {
		return a, err
	}
	if len(r.Detail) > 0 {
		if err := wire.Decode(r.Detail, &a.Load); err != nil {
			return a, err
		}
	}
	a.Lease, a.Sequence, a.Leaving = r.Remaining, r.Sequence, r.Leaving
	return a, nil
}
