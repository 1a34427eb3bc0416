package fairness

// Order computes the start tags by which the waiting requests of a service take turns
// (start-time fair queueing): within a rank, the request with the lowest tag goes first.
// An organisation that begins to ask starts at the current virtual time, so that it gets
// no credit for idle time. It isn't safe for concurrent use.
type Order struct {
	ranks map[int]*rankOrder
	// entered counts the requests, and lastTag is the highest tag of a rank that was forgotten.
	entered uint64
	lastTag float64
}

type rankOrder struct {
	// virtualTime is the highest tag of a request that started, and finishTags are the
	// tags that the organisations' next requests get at the earliest.
	virtualTime float64
	finishTags  map[string]float64
	// enteredAt is the number of the rank's last request.
	enteredAt uint64
}

// maxIdleTags is the number of organisations in a rank from which on those that have
// nothing ahead of the virtual time are forgotten.
const maxIdleTags = 64

// Enter returns the start tag of a request that arrives. cost is its work over the
// organisation's weight.
func (o *Order) Enter(key Key, cost float64) float64 {
	if o.ranks == nil {
		o.ranks = map[int]*rankOrder{}
	}
	r, ok := o.ranks[key.Rank]
	if !ok {
		o.forgetOldest()
		// Requests of the rank from before it was forgotten may still wait.
		r = &rankOrder{finishTags: map[string]float64{}, virtualTime: o.lastTag}
		o.ranks[key.Rank] = r
	}
	o.entered++
	r.enteredAt = o.entered
	tag := max(r.virtualTime, r.finishTags[key.Organisation])
	r.finishTags[key.Organisation] = tag + cost
	return tag
}

// forgetOldest forgets the rank whose last request came first, where there are too many.
func (o *Order) forgetOldest() {
	if len(o.ranks) < maxRanks {
		return
	}
	oldest := 0
	var r *rankOrder
	for rank, other := range o.ranks {
		if r == nil || other.enteredAt < r.enteredAt {
			oldest, r = rank, other
		}
	}
	o.lastTag = max(o.lastTag, r.virtualTime)
	for _, finish := range r.finishTags {
		o.lastTag = max(o.lastTag, finish)
	}
	delete(o.ranks, oldest)
}

// Started records that the request with the tag started.
func (o *Order) Started(key Key, tag float64) {
	r, ok := o.ranks[key.Rank]
	if !ok || tag <= r.virtualTime {
		return
	}
	r.virtualTime = tag
	if len(r.finishTags) <= maxIdleTags {
		return
	}
	for name, finish := range r.finishTags {
		if finish <= r.virtualTime {
			delete(r.finishTags, name)
		}
	}
}

// Left records that a request left without having started. The caller lowers the tags
// of the organisation's later requests by the cost too: it wasn't served that work.
func (o *Order) Left(key Key, cost float64) {
	if r, ok := o.ranks[key.Rank]; ok {
		if finish, known := r.finishTags[key.Organisation]; known {
			r.finishTags[key.Organisation] = finish - cost
		}
	}
}
