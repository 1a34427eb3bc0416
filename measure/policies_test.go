package measure

import (
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// ours is the daemon's own dispatcher.
type ours struct{ d *dispatch.Dispatcher }

func newOurs(document service.Document, zone string) *ours {
	d := dispatch.New(dispatch.Options{Zone: zone, Costs: dispatch.DefaultCosts()})
	d.SetDocument(0, service.Accepted{Revision: 1, Document: document})
	return &ours{d}
}

func (o *ours) announce(now clock.Instant, a upstream.Announcement) []dispatch.Action {
	return o.d.Announce(now, a)
}

func (o *ours) submit(now clock.Instant, r *request) []dispatch.Action {
	return o.d.Submit(now, dispatch.Ticket{
		ID: r.id, Service: "assistant", Rank: r.rank, Caller: r.caller, Cost: r.cost(), Repeatable: true,
		Query: route.Query{Prefixes: r.prefixes, PromptTokens: r.prompt},
	})
}

func (o *ours) finish(now clock.Instant, id uint64) []dispatch.Action { return o.d.Finish(now, id) }
func (o *ours) tick(now clock.Instant) []dispatch.Action              { return o.d.Tick(now) }
func (o *ours) move(now clock.Instant, id uint64, failure retry.Failure) []dispatch.Action {
	return o.d.Failed(now, id, failure)
}

// fifo is the baseline: first in first out with a bounded queue, to upstreams
// in turn or to the least loaded.
type fifo struct {
	leastLoaded bool
	upstreams   []*upstream.Upstream
	directory   *upstream.Directory
	where       map[uint64]*upstream.Upstream
	asked       map[uint64]*request
	waiting     []*request
	next        int
}

// maxFIFO bounds the baseline's queue.
const maxFIFO = 1000

func newFIFO(leastLoaded bool) *fifo {
	return &fifo{leastLoaded: leastLoaded, directory: upstream.New(), where: map[uint64]*upstream.Upstream{}, asked: map[uint64]*request{}}
}

func (f *fifo) announce(now clock.Instant, a upstream.Announcement) []dispatch.Action {
	f.directory.Apply(now, a)
	f.upstreams = f.directory.All()
	return f.pump(now)
}

func (f *fifo) submit(now clock.Instant, r *request) []dispatch.Action {
	if len(f.waiting) >= maxFIFO {
		return []dispatch.Action{dispatch.Refuse{Ticket: r.id}}
	}
	f.waiting = append(f.waiting, r)
	f.asked[r.id] = r
	return f.pump(now)
}

func (f *fifo) finish(now clock.Instant, id uint64) []dispatch.Action {
	f.where[id].Finish()
	return f.pump(now)
}

func (f *fifo) move(now clock.Instant, id uint64, _ retry.Failure) []dispatch.Action {
	f.where[id].Finish()
	f.waiting = append([]*request{f.asked[id]}, f.waiting...)
	return f.pump(now)
}

func (f *fifo) tick(now clock.Instant) []dispatch.Action { return f.pump(now) }

func (f *fifo) pump(now clock.Instant) []dispatch.Action {
	var actions []dispatch.Action
	for len(f.waiting) > 0 {
		u := f.pick(now)
		if u == nil {
			break
		}
		u.Start()
		f.where[f.waiting[0].id] = u
		actions = append(actions, dispatch.Grant{Ticket: f.waiting[0].id, Upstream: u.Announcement})
		f.waiting = f.waiting[1:]
	}
	return actions
}

func (f *fifo) pick(now clock.Instant) *upstream.Upstream {
	var best *upstream.Upstream
	for range f.upstreams {
		f.next++
		u := f.upstreams[f.next%len(f.upstreams)]
		if !u.Usable(now) || u.Free() == 0 {
			continue
		}
		if !f.leastLoaded {
			return u
		}
		if best == nil || u.Busy() < best.Busy() {
			best = u
		}
	}
	return best
}
