package dispatch

import (
	"math"

	"github.com/hyssopladder/hyssopladder/admission"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Shape of a sample of upstreams.
const (
	// wholeSample is the number of upstreams with room up to which all are
	// looked at.
	wholeSample = 24
	// agreedSample are upstreams that all entries try for the same prompt,
	// and spreadSample others, taken at even distances.
	agreedSample = 4
	spreadSample = 12
)

// index knows a service's upstreams and what they can take in sum, so that a
// decision needn't look at all of them.
type index struct {
	// generation is that of the directory for which upstreams holds.
	generation uint64
	upstreams  []*upstream.Upstream
	counts     map[*upstream.Upstream]*count
	// room are the upstreams that can take another request.
	room []*upstream.Upstream
	sum  count
	// scratch is reused from sample to sample.
	scratch []*upstream.Upstream
}

// count is what one upstream, or all in sum, can take.
type count struct {
	slots, free, room, own int
	// position is where the upstream stands in the list of those with room,
	// from 1; 0 if it isn't there.
	position int
}

// candidates returns the upstreams that serve the pool.
func (d *Dispatcher) candidates(now clock.Instant, p *pool) []*upstream.Upstream {
	if p.index.generation != d.directory.Generation()+1 {
		d.recount(now, p)
	}
	return p.index.upstreams
}

// recount looks at every upstream anew. It is done when the set of upstreams
// has changed, and now and then for leases that ran out.
func (d *Dispatcher) recount(now clock.Instant, p *pool) {
	x := &p.index
	if generation := d.directory.Generation() + 1; x.generation != generation {
		x.generation = generation
		x.upstreams = x.upstreams[:0]
		x.counts = map[*upstream.Upstream]*count{}
		for _, u := range d.directory.All() {
			if u.Serves(&p.document.Document) {
				x.upstreams = append(x.upstreams, u)
				x.counts[u] = &count{}
			}
		}
	}
	x.room = x.room[:0]
	x.sum = count{}
	for _, u := range x.upstreams {
		c := x.counts[u]
		*c = count{}
		p.count(now, u, c)
	}
}

// changed takes in that one upstream has changed.
func (d *Dispatcher) changed(now clock.Instant, u *upstream.Upstream) {
	for _, p := range d.pools {
		if c, ok := p.index.counts[u]; ok && p.index.generation == d.directory.Generation()+1 {
			p.count(now, u, c)
		}
	}
}

// count replaces what was counted for an upstream.
func (p *pool) count(now clock.Instant, u *upstream.Upstream, c *count) {
	next := count{position: c.position}
	if u.Usable(now) {
		next.slots = u.Slots
		if !u.Avoided(now) && !u.Held() {
			next.free = u.Free()
			next.room = max(u.Slots+p.overcommit()-u.Busy(), 0)
			next.own = u.Allowance(p.part)
		}
	}
	x := &p.index
	x.sum.slots += next.slots - c.slots
	x.sum.free += next.free - c.free
	x.sum.room += next.room - c.room
	x.sum.own += next.own - c.own
	switch {
	case next.room > 0 && c.position == 0:
		x.room = append(x.room, u)
		next.position = len(x.room)
	case next.room == 0 && c.position > 0:
		last := x.room[len(x.room)-1]
		x.room[c.position-1] = last
		x.counts[last].position = c.position
		x.room = x.room[:len(x.room)-1]
		next.position = 0
	}
	*c = next
}

// capacity is what the pool's upstreams can take. Callers above their share
// use only slots that fall to this entry, so that entries with the same view
// don't all take the same ones.
func (d *Dispatcher) capacity(now clock.Instant, p *pool) admission.Capacity {
	d.candidates(now, p)
	s := p.index.sum
	return admission.Capacity{
		Free:          s.room,
		FreeOverShare: min(s.own-int(math.Ceil(p.share*float64(p.reserve)-p.dither)), s.free),
		Rate:          float64(max(s.slots-p.reserve, 0)) * p.speed * p.share,
	}
}

// sample returns upstreams with room for a ticket: those that may have its
// prompt cached, those that every entry tries first for its prompt, and some
// of the others.
func (d *Dispatcher) sample(now clock.Instant, p *pool, t *ticket) []*upstream.Upstream {
	all := d.candidates(now, p)
	x := &p.index
	if len(x.room) <= wholeSample {
		return x.room
	}
	list := x.scratch[:0]
	for _, id := range d.hints.Holders(t.Query.Prefixes) {
		if u, ok := d.directory.Get(id); ok && x.counts[u] != nil {
			list = append(list, u)
		}
	}
	if n := len(t.Query.Prefixes); n > 0 {
		start := int(t.Query.Prefixes[n-1] % uint64(len(all)))
		for i := range agreedSample {
			list = append(list, all[(start+i)%len(all)])
		}
	}
	step := len(x.room) / spreadSample
	for i := range spreadSample {
		list = append(list, x.room[(int(t.ID%uint64(len(x.room)))+i*step)%len(x.room)])
	}
	x.scratch = list
	return list
}
