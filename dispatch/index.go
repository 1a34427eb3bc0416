package dispatch

import (
	"math"

	"github.com/hyssopladder/hyssopladder/admission"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Sizes of a sample of upstreams.
const (
	// maxUnsampled is the number of upstreams with room up to which all of them
	// are candidates, without sampling.
	maxUnsampled = 24
	// samePromptSample is the number of upstreams that are chosen by the prompt,
	// the same at all entries, and spreadSample that of upstreams taken at even
	// distances from the list of those with room.
	samePromptSample = 4
	spreadSample     = 12
)

// index keeps the upstreams of a service with their slot counts and the total, so
// that a decision needs no scan of all upstreams.
type index struct {
	// generation is the directory's generation plus one when the index was
	// built; 0 forces a rebuild.
	generation uint64
	upstreams  []*upstream.Upstream
	slotCounts map[*upstream.Upstream]*slotCounts
	// withRoom are the upstreams that can take another request, in no order.
	withRoom []*upstream.Upstream
	total    slotCounts
	// sampleBuffer is reused by each call of sample.
	sampleBuffer []*upstream.Upstream
}

// slotCounts are the slots of one upstream, or the total of all.
type slotCounts struct {
	// free are the free slots, room these with the overcommit, and ownFree the
	// free slots that are assigned to this entry.
	slots, free, room, ownFree int
	// position is the upstream's position in withRoom, from 1; 0 if it isn't in
	// there.
	position int
}

// candidates returns the upstreams that serve the pool's service.
func (d *Dispatcher) candidates(now clock.Instant, p *pool) []*upstream.Upstream {
	if p.index.generation != d.directory.Generation()+1 {
		d.recount(now, p)
	}
	return p.index.upstreams
}

// recount rebuilds the counts of all upstreams: when the set of upstreams has
// changed, and periodically for leases and backoffs that have expired.
func (d *Dispatcher) recount(now clock.Instant, p *pool) {
	ix := &p.index
	if generation := d.directory.Generation() + 1; ix.generation != generation {
		ix.generation = generation
		ix.upstreams = ix.upstreams[:0]
		ix.slotCounts = map[*upstream.Upstream]*slotCounts{}
		for _, u := range d.directory.All() {
			if u.Serves(&p.document.Document) {
				ix.upstreams = append(ix.upstreams, u)
				ix.slotCounts[u] = &slotCounts{}
			}
		}
	}
	ix.withRoom = ix.withRoom[:0]
	ix.total = slotCounts{}
	for _, u := range ix.upstreams {
		c := ix.slotCounts[u]
		*c = slotCounts{}
		p.updateSlotCounts(now, u, c)
	}
}

// updateUpstream updates the counts after a change of one upstream.
func (d *Dispatcher) updateUpstream(now clock.Instant, u *upstream.Upstream) {
	for _, p := range d.pools {
		if c, ok := p.index.slotCounts[u]; ok && p.index.generation == d.directory.Generation()+1 {
			p.updateSlotCounts(now, u, c)
		}
	}
}

// updateSlotCounts recomputes the counts c of an upstream, and updates the total
// and withRoom.
func (p *pool) updateSlotCounts(now clock.Instant, u *upstream.Upstream, c *slotCounts) {
	next := slotCounts{position: c.position}
	if u.Usable(now) {
		next.slots = u.Slots
		if !u.Avoided(now) && !u.Held() {
			next.free = u.Free()
			next.room = max(u.Slots+p.overcommit()-u.Busy(), 0)
			next.ownFree = u.OwnFree(p.ownSlots)
		}
	}
	ix := &p.index
	ix.total.slots += next.slots - c.slots
	ix.total.free += next.free - c.free
	ix.total.room += next.room - c.room
	ix.total.ownFree += next.ownFree - c.ownFree
	switch {
	case next.room > 0 && c.position == 0:
		ix.withRoom = append(ix.withRoom, u)
		next.position = len(ix.withRoom)
	case next.room == 0 && c.position > 0:
		last := ix.withRoom[len(ix.withRoom)-1]
		ix.withRoom[c.position-1] = last
		ix.slotCounts[last].position = c.position
		ix.withRoom = ix.withRoom[:len(ix.withRoom)-1]
		next.position = 0
	}
	*c = next
}

// capacity returns what the pool's upstreams can take. Callers over their share
// use only slots that are assigned to this entry, so that entries that see the
// same free slots don't all use them.
func (d *Dispatcher) capacity(now clock.Instant, p *pool) admission.Capacity {
	d.candidates(now, p)
	total := p.index.total
	return admission.Capacity{
		Free:          total.room,
		FreeOverShare: min(total.ownFree-int(math.Ceil(p.share*float64(p.reservedSlots)-p.rounding)), total.free),
		Rate:          float64(max(total.slots-p.reservedSlots, 0)) * p.slotSpeed * p.share,
	}
}

// sample returns candidates for a ticket: upstreams that may have cached its
// prompt, those that all entries choose for this prompt, and some others with
// room.
func (d *Dispatcher) sample(now clock.Instant, p *pool, t *ticket) []*upstream.Upstream {
	all := d.candidates(now, p)
	ix := &p.index
	if len(ix.withRoom) <= maxUnsampled {
		return ix.withRoom
	}
	sampled := ix.sampleBuffer[:0]
	for _, id := range d.hints.UpstreamsWith(t.Query.Prefixes) {
		if u, ok := d.directory.Get(id); ok && ix.slotCounts[u] != nil {
			sampled = append(sampled, u)
		}
	}
	if n := len(t.Query.Prefixes); n > 0 {
		start := int(t.Query.Prefixes[n-1] % uint64(len(all)))
		for i := range samePromptSample {
			sampled = append(sampled, all[(start+i)%len(all)])
		}
	}
	step := len(ix.withRoom) / spreadSample
	for i := range spreadSample {
		sampled = append(sampled, ix.withRoom[(int(t.ID%uint64(len(ix.withRoom)))+i*step)%len(ix.withRoom)])
	}
	ix.sampleBuffer = sampled
	return sampled
}
