package document

import (
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/service"
)

// Record returns an accepted document as a gossip record. Its version is the
// revision, so that no node replaces it by an older revision.
func Record(a service.Accepted) member.Record {
	return member.Record{
		Key:     member.Key{Kind: member.Document, ID: a.Document.Name},
		Version: member.Version{Sequence: a.Revision},
		Payload: wire.MustEncode(a),
	}
}
