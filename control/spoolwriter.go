package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/wal"
)

const (
	// spoolSyncInterval is the time between two syncs of a spool: what came within it is lost
	// with the power.
	spoolSyncInterval = 100 * time.Millisecond
	// maxPendingRecords bounds the records that wait to be written.
	maxPendingRecords = 1024
)

// spoolWriter writes records to a file of the keeper's folder without making callers wait. It
// keeps each at least for the retention.
type spoolWriter struct {
	name      string
	clock     clock.Clock
	retention time.Duration
	pending   chan []byte
	// spool was last turned at turnedAt. Only write uses these.
	spool    *wal.Spool
	turnedAt clock.Instant
}

// newSpoolWriter returns what the file holds, and writes until ctx ends.
func newSpoolWriter(ctx context.Context, folder wal.FS, c clock.Clock, name string, retention time.Duration) (w *spoolWriter, records [][]byte) {
	spool, records, err := wal.OpenSpool(folder, name)
	if err != nil {
		klog.ErrorS(err, "records lost", "file", name)
	}
	w = &spoolWriter{name: name, clock: c, retention: retention, pending: make(chan []byte, maxPendingRecords), spool: spool, turnedAt: c()}
	go pace.Batches(ctx, w.pending, spoolSyncInterval, w.write)
	return w, records
}

func (w *spoolWriter) write(batch [][]byte) {
	var err error
	if now := w.clock(); now-w.turnedAt >= w.retention {
		w.turnedAt = now
		err = w.spool.Turn()
	}
	if err == nil {
		err = w.spool.Append(batch...)
	}
	if err != nil {
		klog.ErrorS(err, "records not written", "file", w.name, "records", len(batch))
	}
}

// add queues a record for the file.
func (w *spoolWriter) add(record []byte) {
	select {
	case w.pending <- record:
	default:
		klog.InfoS("record not written: too many wait", "file", w.name)
	}
}
