package admission

import (
	"container/heap"
	"math"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// fairQueue is the queue of one rank. It serves callers in proportion to their
// weights by start-time fair queueing: the caller with the lowest start tag is
// served next. A caller that begins to wait starts at the current virtual time at
// the earliest and so gets no credit for idle time.
type fairQueue struct {
	callers map[string]*callerQueue
	// withinShare and overShare hold the callers with waiting requests;
	// overShare those that ask for more than their share.
	withinShare, overShare callerHeap
	virtualTime            float64
	// backlog is the cost of all waiting requests.
	backlog float64
	// totalWeight is the sum of the weights of the callers that wait or sent a
	// request within callerExpiry.
	totalWeight float64
	length      int
}

// callerQueue is one caller's part of a rank's queue.
type callerQueue struct {
	name     string
	weight   float64
	requests []Request
	// backlog is the cost of requests.
	backlog float64
	// startTag is the tag of the first waiting request, finishTag that of the
	// last request served.
	startTag, finishTag float64
	heapIndex           int
	lastSeen            clock.Instant
	// overShare says that the caller asks for more than its share.
	overShare bool
	// demand is the decayed average work per second that the caller asked for,
	// accepted or not, as of demandAt.
	demand   float64
	demandAt clock.Instant
}

// addDemand counts a request of the cost towards the caller's demand.
func (c *callerQueue) addDemand(cost float64, now clock.Instant) {
	c.demand = c.currentDemand(now) + cost*math.Ln2/rateHalfLife.Seconds()
	c.demandAt = now
}

func (c *callerQueue) currentDemand(now clock.Instant) float64 {
	return c.demand * math.Exp2(-float64(now-c.demandAt)/float64(rateHalfLife))
}

func newFairQueue() *fairQueue {
	return &fairQueue{callers: map[string]*callerQueue{}}
}

// touch records that a caller sent a request, and returns its queue.
func (q *fairQueue) touch(name string, weight float64, now clock.Instant) *callerQueue {
	c, ok := q.callers[name]
	if !ok {
		c = &callerQueue{name: name, heapIndex: -1}
		q.callers[name] = c
	}
	q.totalWeight += weight - c.weight
	c.weight = weight
	c.lastSeen = now
	return c
}

// heapOf returns the heap that the caller belongs in.
func (q *fairQueue) heapOf(c *callerQueue) *callerHeap {
	if c.overShare {
		return &q.overShare
	}
	return &q.withinShare
}

func (q *fairQueue) push(r Request) {
	c := q.touch(r.Caller, r.Weight, r.AcceptedAt)
	if len(c.requests) > 0 && c.overShare != r.OverShare {
		heap.Remove(q.heapOf(c), c.heapIndex)
		c.overShare = r.OverShare
		heap.Push(q.heapOf(c), c)
	}
	if len(c.requests) == 0 {
		c.overShare = r.OverShare
		c.startTag = max(q.virtualTime, c.finishTag)
		heap.Push(q.heapOf(c), c)
	}
	c.requests = append(c.requests, r)
	c.backlog += r.Cost
	q.backlog += r.Cost
	q.length++
}

// nextCaller returns the caller that is served next, or nil. Callers that ask
// for more than their share are skipped unless includeOverShare is set.
func (q *fairQueue) nextCaller(includeOverShare bool) *callerQueue {
	var best *callerQueue
	if len(q.withinShare) > 0 {
		best = q.withinShare[0]
	}
	if includeOverShare && len(q.overShare) > 0 && (best == nil || q.overShare[0].startTag < best.startTag) {
		best = q.overShare[0]
	}
	return best
}

func (q *fairQueue) peek(includeOverShare bool) (Request, bool) {
	c := q.nextCaller(includeOverShare)
	if c == nil {
		return Request{}, false
	}
	return c.requests[0], true
}

func (q *fairQueue) pop(includeOverShare bool) Request {
	c := q.nextCaller(includeOverShare)
	r := c.requests[0]
	q.virtualTime = max(q.virtualTime, c.startTag)
	c.finishTag = c.startTag + r.Cost/c.weight
	q.removeAt(c, 0)
	// The request may have waited since the caller's share was another.
	r.OverShare = c.overShare
	return r
}

// removeAt removes the request at position i of the caller's queue.
func (q *fairQueue) removeAt(c *callerQueue, i int) {
	r := c.requests[i]
	c.requests = append(c.requests[:i], c.requests[i+1:]...)
	c.backlog -= r.Cost
	q.backlog -= r.Cost
	q.length--
	if len(c.requests) == 0 {
		heap.Remove(q.heapOf(c), c.heapIndex)
		return
	}
	if i == 0 {
		c.startTag = max(c.startTag, c.finishTag)
		heap.Fix(q.heapOf(c), c.heapIndex)
	}
}

// remove removes the request with the ID and reports whether it was waiting.
func (q *fairQueue) remove(caller string, id uint64) bool {
	c, ok := q.callers[caller]
	if !ok {
		return false
	}
	for i, r := range c.requests {
		if r.ID == id {
			q.removeAt(c, i)
			return true
		}
	}
	return false
}

// callerBacklog is the cost of the caller's waiting requests.
func (q *fairQueue) callerBacklog(caller string) float64 {
	if c, ok := q.callers[caller]; ok {
		return c.backlog
	}
	return 0
}

// callerShare is the fraction of the rank's work that the caller is served if
// every caller that prune hasn't removed sends requests.
func (q *fairQueue) callerShare(caller string) float64 {
	return q.callers[caller].weight / q.totalWeight
}

// prune removes callers that have no waiting request and sent none for
// callerExpiry.
func (q *fairQueue) prune(now clock.Instant) {
	for name, c := range q.callers {
		if len(c.requests) == 0 && now-c.lastSeen >= callerExpiry {
			q.totalWeight -= c.weight
			delete(q.callers, name)
		}
	}
}

// callerHeap orders callers by start tag, then by name.
type callerHeap []*callerQueue

var _ heap.Interface = (*callerHeap)(nil)

func (h callerHeap) Len() int { return len(h) }
func (h callerHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].name < h[j].name
}

func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *callerHeap) Push(x any) {
	c := x.(*callerQueue)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

func (h *callerHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	c.heapIndex = -1
	return c
}
