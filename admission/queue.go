package admission

import (
	"container/heap"
	"math"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// fairQueue shares one rank's turns among callers by weighted cost: the caller
// with the lowest start tag goes next (start-time fair queueing). A newcomer
// starts at the current virtual time and so gets no credit for idle time.
type fairQueue struct {
	callers map[string]*callerQueue
	// active are the callers that wait; those that ask for more than their
	// share are in over.
	active, over callerHeap
	virtual      float64
	work         float64
	// weight adds up the weights of the callers that were seen lately.
	weight float64
	length int
}

type callerQueue struct {
	name   string
	weight float64
	items  []Request
	work   float64
	// start is the tag of the head; finish is that of the last one served.
	start, finish float64
	index         int
	seen          clock.Instant
	// isOver says that the caller asks for more than its share.
	isOver bool
	// asked is the decayed work per second that the caller asked for, as of
	// askedAt.
	asked   float64
	askedAt clock.Instant
}

// ask adds to the work that the caller asked for.
func (c *callerQueue) ask(cost float64, now clock.Instant) {
	c.asked = c.askedNow(now) + cost*math.Ln2/usageHalfLife.Seconds()
	c.askedAt = now
}

func (c *callerQueue) askedNow(now clock.Instant) float64 {
	return c.asked * math.Exp2(-float64(now-c.askedAt)/float64(usageHalfLife))
}

func newFairQueue() *fairQueue {
	return &fairQueue{callers: map[string]*callerQueue{}}
}

// see notes that a caller asks.
func (q *fairQueue) see(name string, weight float64, now clock.Instant) *callerQueue {
	c, ok := q.callers[name]
	if !ok {
		c = &callerQueue{name: name, index: -1}
		q.callers[name] = c
	}
	q.weight += weight - c.weight
	c.weight = weight
	c.seen = now
	return c
}

// heap returns the heap that the caller waits in.
func (q *fairQueue) heap(c *callerQueue) *callerHeap {
	if c.isOver {
		return &q.over
	}
	return &q.active
}

func (q *fairQueue) push(r Request) {
	c := q.see(r.Caller, r.Weight, r.Accepted)
	if len(c.items) > 0 && c.isOver != r.Over {
		heap.Remove(q.heap(c), c.index)
		c.isOver = r.Over
		heap.Push(q.heap(c), c)
	}
	if len(c.items) == 0 {
		c.isOver = r.Over
		c.start = max(q.virtual, c.finish)
		heap.Push(q.heap(c), c)
	}
	c.items = append(c.items, r)
	c.work += r.Cost
	q.work += r.Cost
	q.length++
}

// next returns the caller whose turn it is. Those that ask for more than their
// share are left out unless withOver is set.
func (q *fairQueue) next(withOver bool) *callerQueue {
	var best *callerQueue
	if len(q.active) > 0 {
		best = q.active[0]
	}
	if withOver && len(q.over) > 0 && (best == nil || q.over[0].start < best.start) {
		best = q.over[0]
	}
	return best
}

func (q *fairQueue) head(withOver bool) (Request, bool) {
	c := q.next(withOver)
	if c == nil {
		return Request{}, false
	}
	return c.items[0], true
}

func (q *fairQueue) pop(withOver bool) Request {
	c := q.next(withOver)
	r := c.items[0]
	q.virtual = max(q.virtual, c.start)
	c.finish = c.start + r.Cost/c.weight
	q.drop(c, 0)
	return r
}

// drop takes the item at position i out of the caller's queue.
func (q *fairQueue) drop(c *callerQueue, i int) {
	r := c.items[i]
	c.items = append(c.items[:i], c.items[i+1:]...)
	c.work -= r.Cost
	q.work -= r.Cost
	q.length--
	if len(c.items) == 0 {
		heap.Remove(q.heap(c), c.index)
		return
	}
	if i == 0 {
		c.start = max(c.start, c.finish)
		heap.Fix(q.heap(c), c.index)
	}
}

// remove takes the request with the ID out.
func (q *fairQueue) remove(caller string, id uint64) bool {
	c, ok := q.callers[caller]
	if !ok {
		return false
	}
	for i, r := range c.items {
		if r.ID == id {
			q.drop(c, i)
			return true
		}
	}
	return false
}

// callerWork is the work that the caller has waiting.
func (q *fairQueue) callerWork(caller string) float64 {
	if c, ok := q.callers[caller]; ok {
		return c.work
	}
	return 0
}

// callerShare is the part of the rank's turns that the caller gets when all
// callers that were seen lately ask again.
func (q *fairQueue) callerShare(caller string) float64 {
	return q.callers[caller].weight / q.weight
}

// prune forgets callers that wait for nothing and were not seen lately.
func (q *fairQueue) prune(now clock.Instant) {
	for name, c := range q.callers {
		if len(c.items) == 0 && now-c.seen >= activeTime {
			q.weight -= c.weight
			delete(q.callers, name)
		}
	}
}

type callerHeap []*callerQueue

var _ heap.Interface = (*callerHeap)(nil)

func (h callerHeap) Len() int { return len(h) }
func (h callerHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *callerHeap) Push(x any) {
	c := x.(*callerQueue)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *callerHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	c.index = -1
	return c
}
