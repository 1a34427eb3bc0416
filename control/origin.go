package control

import (
	"context"
	"net/netip"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/wal"
)

// originsFile holds the origins of streams: callers take streams up after all nodes have
// restarted, too.
const originsFile = "origins"

// newOriginLog puts what the file holds into the book, and writes encoded requests of
// entries to it until ctx ends.
func newOriginLog(ctx context.Context, folder wal.FS, c clock.Clock, book *origin.Book) *spoolWriter {
	w, records := newSpoolWriter(ctx, folder, c, originsFile, origin.Retention)
	for _, record := range records {
		var r origin.Request
		if err := wire.Decode(record, &r); err != nil {
			klog.ErrorS(err, "record of origins dropped")
			continue
		}
		recordOrigins(c(), book, r.Begun)
	}
	klog.InfoS("origins of streams read", "streams", book.Len())
	return w
}

func recordOrigins(now clock.Instant, book *origin.Book, begun []origin.Group) {
	for _, g := range begun {
		for _, s := range g.Streams {
			book.Record(now, s, g.Origin)
		}
	}
}

// serveOrigins records the streams that an entry has begun, and returns what is known
// of those that it asks for. If an origin isn't known, it returns the releases that may
// have begun the stream, and the keepers that may know of others.
func (c *Control) serveOrigins(ctx context.Context, body []byte) (any, error) {
	var request origin.Request
	if err := wire.Decode(body, &request); err != nil {
		return nil, err
	}
	if len(request.Begun) > 0 {
		c.originLog.add(body)
	}
	reply, unknown := c.findOrigins(&request)
	if !unknown {
		return reply, nil
	}
	reply.Config = c.newestConfig()
	var ok bool
	if reply.Keepers, ok = c.unleftKeepers(ctx); !ok {
		reply.Complete = false
	}
	return reply, nil
}

// findOrigins records and finds origins in the book. unknown says that one isn't there;
// what the registry knows of it is in the reply.
func (c *Control) findOrigins(request *origin.Request) (reply *origin.Reply, unknown bool) {
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	recordOrigins(now, c.origins, request.Begun)
	var found origin.Groups
	for _, s := range request.Find {
		if o, ok := c.origins.Find(now, s); ok {
			found.Add(s, o)
		} else {
			unknown = true
		}
	}
	reply = &origin.Reply{Found: found.List()}
	unknown = unknown && len(request.Services) > 0
	if unknown {
		reply.Serving = c.registry.serving(now, request.Services)
		reply.Complete = now-c.startedAt >= origin.Retention
	}
	return reply, unknown
}

// unleftKeepers returns the keepers that run, and those that were lost without having
// left: these may go on with entries that are cut off with them. It returns false if they
// can't be named.
func (c *Control) unleftKeepers(ctx context.Context) (addresses []netip.AddrPort, ok bool) {
	nodes, ok := c.options.Gossip.UnleftNodes(ctx)
	for _, n := range nodes {
		if n.KeeperID != "" {
			addresses = append(addresses, n.Address)
		}
	}
	if len(addresses) > origin.MaxKeepers {
		klog.InfoS("too many keepers to name", "keepers", len(addresses))
		return nil, false
	}
	return addresses, ok
}
