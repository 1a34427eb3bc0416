package rollout

import (
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// bucketTime is the length of a stratum: the releases are compared over the same half second.
const bucketTime = 500 * time.Millisecond

// windows are the lengths of the windows in strata: 1, 2, 4 and 8 s.
var windows = [...]int64{2, 4, 8, 16}

const (
	longestWindow = 16
	// liveSize leaves room for the neighbours of the oldest stratum, and ringSize for the
	// attempts that its late answers belong to.
	liveSize = longestWindow + 2
	maxLag   = 12
	ringSize = liveSize + maxLag
)

// stratum holds the counts of one route in one span of time.
type stratum struct {
	old, new  counts
	upstreams map[uint32]*counts
}

func (s *stratum) upstream(hash uint32) *counts {
	c := s.upstreams[hash]
	if c == nil {
		if s.upstreams == nil {
			s.upstreams = map[uint32]*counts{}
		}
		c = &counts{}
		s.upstreams[hash] = c
	}
	return c
}

// routeTally holds the evidence on one route.
type routeTally struct {
	// strata is a ring of the last ringSize spans, of which newest is the last.
	strata [ringSize]stratum
	newest int64
	// history is what the first report of each entry told, of an age that isn't known.
	history stratum
	// past sums up the strata that are no longer live.
	past sums
	// sameLoad is that of the tally when it was last tested.
	sameLoad bool
	// total are the counts since the order.
	total struct{ old, new counts }
}

// tally holds the evidence of one rollout. It isn't safe for concurrent use.
type tally struct {
	routes map[string]*routeTally
	// sameLoad says that each upstream of the new release has at most about the load in the
	// last step that one of the old had.
	sameLoad bool
}

func newTally() *tally { return &tally{routes: map[string]*routeTally{}} }

// route returns the evidence of a route, brought up to the instant, and the name under which
// the route is counted.
func (t *tally) route(now clock.Instant, name string) (*routeTally, string) {
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= maxRoutes && name != otherRoutes {
			return t.route(now, otherRoutes)
		}
		r = &routeTally{newest: int64(now / bucketTime)}
		t.routes[name] = r
	}
	r.roll(int64(now / bucketTime))
	return r, name
}

// sum returns the counts of all routes.
func (t *tally) sum() (old, fresh counts) {
	for _, r := range t.routes {
		old.add(&r.total.old)
		fresh.add(&r.total.new)
	}
	return old, fresh
}

func (r *routeTally) at(index int64) *stratum { return &r.strata[(index%ringSize+ringSize)%ringSize] }

// roll moves the ring on to the span.
func (r *routeTally) roll(index int64) {
	if index-r.newest > 2*ringSize {
		for range ringSize {
			r.shift()
		}
		r.newest = index
		return
	}
	for r.newest < index {
		r.shift()
	}
}

func (r *routeTally) shift() {
	if leaving := r.newest - liveSize + 1; r.at(leaving).new.answered > 0 {
		r.sumStratum(&r.past, leaving, r.reference(r.sameLoad), false)
	}
	r.newest++
	*r.at(r.newest) = stratum{}
}
