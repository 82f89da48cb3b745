package sched

import (
	"container/heap"
	"time"
)

// flow is the queue of one organisation within one rank. It implements start-time fair
// queueing: the start tag of a request is the larger of the rank's virtual time and the
// finish tag of the flow's previous request, and the request with the smallest start tag
// is served next.
type flow struct {
	org *organisation
	// startTag belongs to the first queued request, or to the next one to arrive if none
	// is queued.
	startTag float64
	requests entryList
	// queuedTokens is the estimated cost of all queued requests.
	queuedTokens int
	// lastRetryAt is the time at which the last refused request may be retried.
	lastRetryAt time.Time
	// heapIndex is the index in the heap of flows, or -1 while the flow is empty or
	// parked.
	heapIndex int
	// parked is set while the flow has queued requests but is kept out of the heap,
	// because its organisation is at its limit of requests in flight.
	parked bool
}

// flowHeap orders the eligible flows by start tag: those with queued requests that are not parked.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].requests.head.arrivalNumber < h[j].requests.head.arrivalNumber
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// rankQueue holds the queued requests of one rank.
type rankQueue struct {
	rank          Rank
	virtualTime   float64
	eligibleFlows flowHeap
	parkedFlows   map[*flow]struct{}
	// prioritised holds the requests that are served before all flows: resumed ones, and
	// those that could not be dispatched in their turn because they exclude all free
	// backend servers.
	prioritised  entryList
	arrivals     entryList
	queuedTokens int
	// totalWeight is the sum of the weights of the flows with queued requests.
	totalWeight int
}

func newRankQueue(rank Rank) *rankQueue {
	return &rankQueue{
		rank: rank, parkedFlows: map[*flow]struct{}{},
		prioritised: entryList{linkIndex: serviceLink}, arrivals: entryList{linkIndex: arrivalLink},
	}
}

// push appends a request to its flow, or to the prioritised requests.
func (q *rankQueue) push(e *poolEntry) {
	q.arrivals.push(e)
	q.queuedTokens += e.EstimatedTokens
	if e.prioritised {
		q.prioritised.push(e)
		return
	}
	f := &e.org.flows[q.rank]
	if f.requests.size == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.totalWeight += e.org.config.Weight
	}
	f.requests.push(e)
	f.queuedTokens += e.EstimatedTokens
	if f.heapIndex < 0 && !f.parked {
		heap.Push(&q.eligibleFlows, f)
	}
}

// remove removes a queued request without charging its flow.
func (q *rankQueue) remove(e *poolEntry) {
	q.arrivals.remove(e)
	q.queuedTokens -= e.EstimatedTokens
	if e.prioritised {
		q.prioritised.remove(e)
		return
	}
	q.removeFromFlow(e)
}

func (q *rankQueue) removeFromFlow(e *poolEntry) {
	f := &e.org.flows[q.rank]
	wasHead := f.requests.head == e
	f.requests.remove(e)
	f.queuedTokens -= e.EstimatedTokens
	if f.requests.size == 0 {
		q.totalWeight -= e.org.config.Weight
		f.parked = false
		delete(q.parkedFlows, f)
		if f.heapIndex >= 0 {
			heap.Remove(&q.eligibleFlows, f.heapIndex)
		}
	} else if wasHead && f.heapIndex >= 0 {
		heap.Fix(&q.eligibleFlows, f.heapIndex)
	}
}

// prioritise moves a request that cannot be dispatched now out of its flow, so that the
// later requests of the flow are not blocked. It is tried first in the following rounds.
func (q *rankQueue) prioritise(e *poolEntry) {
	q.removeFromFlow(e)
	e.prioritised = true
	q.prioritised.push(e)
}

// next returns the next request of the flows, or nil. Flows of organisations at their
// limit of requests in flight are parked: they stay out of the heap until one of their
// requests ends or their share of the limit grows.
func (q *rankQueue) next() *poolEntry {
	for len(q.eligibleFlows) > 0 {
		f := q.eligibleFlows[0]
		if !f.org.atInFlightLimit() {
			return f.requests.head
		}
		heap.Pop(&q.eligibleFlows)
		f.parked = true
		q.parkedFlows[f] = struct{}{}
	}
	return nil
}

// unpark returns a parked flow to the heap.
func (q *rankQueue) unpark(f *flow) {
	if !f.parked {
		return
	}
	f.parked = false
	delete(q.parkedFlows, f)
	heap.Push(&q.eligibleFlows, f)
}

// serve removes a request that is granted and charges its cost to its flow.
func (q *rankQueue) serve(e *poolEntry) {
	f := &e.org.flows[q.rank]
	if !e.prioritised {
		q.virtualTime = max(q.virtualTime, f.startTag)
	}
	q.remove(e)
	q.charge(f, e.EstimatedTokens)
}

// charge advances the start tag of a flow by a cost. The cost is negative if the estimate
// was too high.
func (q *rankQueue) charge(f *flow, tokens int) {
	if f.requests.size == 0 && tokens > 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.startTag += float64(tokens) / float64(f.org.config.Weight)
	if f.heapIndex >= 0 {
		heap.Fix(&q.eligibleFlows, f.heapIndex)
	}
}

// eligibleCount returns the number of prioritised requests plus the number of flows in the
// heap. If it is 0, the queue has no request that may be granted a free slot.
func (q *rankQueue) eligibleCount() int { return q.prioritised.size + len(q.eligibleFlows) }
