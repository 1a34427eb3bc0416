package control

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/wal"
)

// departuresFile holds the records of upstreams that left lately.
const departuresFile = "departures"

// departureLog keeps departures on disk, for keepers that all lose their memory at once.
type departureLog struct{ writer *spoolWriter }

// newDepartureLog returns the departures that the file holds, and writes until ctx ends.
func newDepartureLog(ctx context.Context, folder wal.FS, c clock.Clock) (*departureLog, []member.Record) {
	writer, stored := newSpoolWriter(ctx, folder, c, departuresFile, member.TombstoneTime)
	var records []member.Record
	for _, data := range stored {
		var r member.Record
		if err := wire.Decode(data, &r); err != nil {
			klog.ErrorS(err, "record of a departure dropped")
			continue
		}
		records = append(records, r)
	}
	klog.InfoS("departures read", "upstreams", len(records))
	return &departureLog{writer: writer}, records
}

// add queues the record of a departure for the file.
func (l *departureLog) add(r *member.Record) { l.writer.add(wire.MustEncode(r)) }
