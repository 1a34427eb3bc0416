package document

import (
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/service"
)

// Record returns an accepted document as a record of shared state. Its
// version is the revision, so that no node moves to a lower one.
func Record(a service.Accepted) member.Record {
	return member.Record{
		Key:     member.Key{Kind: member.Document, ID: a.Document.Name},
		Version: member.Version{Sequence: a.Revision},
		Payload: wire.MustEncode(a),
	}
}
