package measure

import (
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// daemonPolicy schedules by the daemon's own dispatcher.
type daemonPolicy struct{ dispatcher *dispatch.Dispatcher }

func newDaemonPolicy(document service.Document, zone string) *daemonPolicy {
	d := dispatch.New(dispatch.Options{Zone: zone, Costs: dispatch.DefaultCosts()})
	d.SetDocument(0, service.Accepted{Revision: 1, Document: document})
	return &daemonPolicy{d}
}

func (p *daemonPolicy) announce(now clock.Instant, a upstream.Announcement) []dispatch.Action {
	return p.dispatcher.Announce(now, a)
}

func (p *daemonPolicy) submit(now clock.Instant, r *request) []dispatch.Action {
	return p.dispatcher.Submit(now, dispatch.Ticket{
		ID: r.id, Service: "assistant", Rank: r.rank, Caller: r.caller, Cost: r.cost(), Repeatable: true,
		Query: route.Query{Prefixes: r.prefixes, PromptTokens: r.promptTokens},
	})
}

func (p *daemonPolicy) finish(now clock.Instant, id uint64) []dispatch.Action {
	return p.dispatcher.Finish(now, id)
}

func (p *daemonPolicy) tick(now clock.Instant) []dispatch.Action { return p.dispatcher.Tick(now) }

func (p *daemonPolicy) move(now clock.Instant, id uint64, failure retry.Failure) []dispatch.Action {
	return p.dispatcher.Failed(now, id, failure)
}

// fifo is the baseline: a bounded first-in-first-out queue that sends requests
// to the upstreams in turn or to the least loaded one.
type fifo struct {
	leastLoaded bool
	upstreams   []*upstream.Upstream
	directory   *upstream.Directory
	assigned    map[uint64]*upstream.Upstream
	requests    map[uint64]*request
	queue       []*request
	nextIndex   int
}

// maxFIFOQueue is the baseline's queue limit, in requests.
const maxFIFOQueue = 1000

func newFIFO(leastLoaded bool) *fifo {
	return &fifo{leastLoaded: leastLoaded, directory: upstream.New(), assigned: map[uint64]*upstream.Upstream{}, requests: map[uint64]*request{}}
}

func (f *fifo) announce(now clock.Instant, a upstream.Announcement) []dispatch.Action {
	f.directory.Apply(now, a)
	f.upstreams = f.directory.All()
	return f.schedule(now)
}

func (f *fifo) submit(now clock.Instant, r *request) []dispatch.Action {
	if len(f.queue) >= maxFIFOQueue {
		return []dispatch.Action{dispatch.Refuse{Ticket: r.id}}
	}
	f.queue = append(f.queue, r)
	f.requests[r.id] = r
	return f.schedule(now)
}

func (f *fifo) finish(now clock.Instant, id uint64) []dispatch.Action {
	f.assigned[id].Finish()
	return f.schedule(now)
}

func (f *fifo) move(now clock.Instant, id uint64, _ retry.Failure) []dispatch.Action {
	f.assigned[id].Finish()
	f.queue = append([]*request{f.requests[id]}, f.queue...)
	return f.schedule(now)
}

func (f *fifo) tick(now clock.Instant) []dispatch.Action { return f.schedule(now) }

func (f *fifo) schedule(now clock.Instant) []dispatch.Action {
	var actions []dispatch.Action
	for len(f.queue) > 0 {
		u := f.pickUpstream(now)
		if u == nil {
			break
		}
		u.Start()
		f.assigned[f.queue[0].id] = u
		actions = append(actions, dispatch.Grant{Ticket: f.queue[0].id, Upstream: u.Announcement})
		f.queue = f.queue[1:]
	}
	return actions
}

func (f *fifo) pickUpstream(now clock.Instant) *upstream.Upstream {
	var best *upstream.Upstream
	for range f.upstreams {
		f.nextIndex++
		u := f.upstreams[f.nextIndex%len(f.upstreams)]
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
