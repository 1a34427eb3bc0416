package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/wal"
)

// The file of the origins, and intervals and bounds of writing it.
const (
	originsFile = "origins"
	// originSyncInterval is the time between two syncs: the streams that began within
	// it are unknown after a loss of power.
	originSyncInterval = 100 * time.Millisecond
	// originReopenInterval is the time between two tries to open the file.
	originReopenInterval = time.Second
	// maxPendingOrigins bounds the messages of entries that wait to be written.
	maxPendingOrigins = 1024
)

// originStore holds the origins of streams that entries have begun, and writes them to
// disk without making entries wait: callers take streams up after all nodes have
// restarted, too.
type originStore struct {
	folder  wal.FS
	clock   clock.Clock
	pending chan []byte
	// spool is nil while the file can't be opened; it was last tried at openedAt, and
	// turned at turnedAt. Only write uses these.
	spool              *wal.Spool
	openedAt, turnedAt clock.Instant
}

// newOriginStore opens the file and puts what it holds into the book, and writes until
// ctx ends.
func newOriginStore(ctx context.Context, folder wal.FS, c clock.Clock, book *origin.Book) *originStore {
	s := &originStore{folder: folder, clock: c, pending: make(chan []byte, maxPendingOrigins), turnedAt: c()}
	for _, record := range s.open() {
		var r origin.Request
		if err := wire.Decode(record, &r); err != nil {
			klog.ErrorS(err, "record of origins dropped")
			continue
		}
		recordOrigins(c(), book, r.Begun)
	}
	klog.InfoS("origins of streams read", "streams", book.Len())
	go pace.Batches(ctx, s.pending, originSyncInterval, s.write)
	return s
}

// open opens the file and returns its records.
func (s *originStore) open() [][]byte {
	s.openedAt = s.clock()
	spool, records, err := wal.OpenSpool(s.folder, originsFile)
	if err != nil {
		klog.ErrorS(err, "origins of streams are kept in memory only")
		return nil
	}
	s.spool = spool
	return records
}

// write appends the messages to the file.
func (s *originStore) write(batch [][]byte) {
	now := s.clock()
	if s.spool == nil {
		if now-s.openedAt < originReopenInterval {
			return
		}
		if s.open(); s.spool == nil {
			return
		}
	}
	var err error
	if now-s.turnedAt >= origin.Retention {
		s.turnedAt = now
		err = s.spool.Turn()
	}
	if err == nil {
		err = s.spool.Append(batch...)
	}
	if err != nil {
		klog.ErrorS(err, "origins of streams not written", "messages", len(batch))
	}
}

// add queues the origins for the file.
func (s *originStore) add(begun []origin.Group) {
	select {
	case s.pending <- wire.MustEncode(&origin.Request{Begun: begun}):
	default:
		klog.InfoS("origins of streams not written: too many wait")
	}
}

func recordOrigins(now clock.Instant, book *origin.Book, begun []origin.Group) {
	for _, g := range begun {
		for _, s := range g.Streams {
			book.Record(now, s, g.Origin)
		}
	}
}

// serveOrigins records the streams that an entry has begun, and returns what is known
// of those that it asks for.
func (c *Control) serveOrigins(_ context.Context, body []byte) (any, error) {
	var request origin.Request
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	if len(request.Begun) > 0 {
		c.originStore.add(request.Begun)
	}
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	recordOrigins(now, c.origins, request.Begun)
	var found origin.Groups
	for _, s := range request.Find {
		if o, ok := c.origins.Find(now, s); ok {
			found.Add(s, o)
		}
	}
	return &origin.Reply{Found: found.List()}, nil
}
