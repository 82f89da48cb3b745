package sched

import (
	"container/heap"
	"time"
)

// flow is the queue of one organisation within one rank. Start-time fair
// queueing: a request's start tag is the larger of the rank's virtual time and
// the finish tag of the flow's request before it, and the request with the
// least start tag is served next.
type flow struct {
	org *organisation
	// start is the start tag of the first queued request, or of the next one.
	start float64
	items chain
	// tokens is the estimated cost of all queued requests.
	tokens int
	// promised is when the last refused request was told to come back.
	promised time.Time
	// index is the place in the heap; -1 while empty or parked.
	index  int
	parked bool
}

// flowHeap orders backlogged flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items.head.number < h[j].items.head.number
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// rankQueue holds the queued requests of one rank.
type rankQueue struct {
	rank    Rank
	virtual float64
	flows   flowHeap
	parked  map[*flow]struct{}
	// ahead holds resumed requests and requests whose excluded backend servers
	// kept them from being placed in their turn.
	ahead   chain
	arrival chain
	tokens  int
	// weight is the sum of the weights of backlogged flows.
	weight int
}

func newRankQueue(rank Rank) *rankQueue {
	return &rankQueue{
		rank: rank, parked: map[*flow]struct{}{},
		ahead: chain{which: serviceChain}, arrival: chain{which: arrivalChain},
	}
}

// push queues a request in its flow, or ahead of all flows.
func (q *rankQueue) push(e *entry) {
	q.arrival.push(e)
	q.tokens += e.Tokens
	if e.ahead {
		q.ahead.push(e)
		return
	}
	f := &e.org.flows[q.rank]
	if f.items.size == 0 {
		f.start = max(f.start, q.virtual)
		q.weight += e.org.config.Weight
	}
	f.items.push(e)
	f.tokens += e.Tokens
	if f.index < 0 && !f.parked {
		heap.Push(&q.flows, f)
	}
}

// remove takes a queued request out without serving it.
func (q *rankQueue) remove(e *entry) {
	q.arrival.remove(e)
	q.tokens -= e.Tokens
	if e.ahead {
		q.ahead.remove(e)
		return
	}
	q.unlink(e)
}

func (q *rankQueue) unlink(e *entry) {
	f := &e.org.flows[q.rank]
	first := f.items.head == e
	f.items.remove(e)
	f.tokens -= e.Tokens
	if f.items.size == 0 {
		q.weight -= e.org.config.Weight
		f.parked = false
		delete(q.parked, f)
		if f.index >= 0 {
			heap.Remove(&q.flows, f.index)
		}
	} else if first && f.index >= 0 {
		heap.Fix(&q.flows, f.index)
	}
}

// moveAhead lets later requests of a flow pass one that cannot be placed now.
func (q *rankQueue) moveAhead(e *entry) {
	q.unlink(e)
	e.ahead = true
	q.ahead.push(e)
}

// next returns the request whose turn it is among the flows, or nil. Flows of
// organisations at their limit of requests in flight are parked.
func (q *rankQueue) next() *entry {
	for len(q.flows) > 0 {
		f := q.flows[0]
		if !f.org.full() {
			return f.items.head
		}
		heap.Pop(&q.flows)
		f.parked = true
		q.parked[f] = struct{}{}
	}
	return nil
}

// unpark lets a flow compete again.
func (q *rankQueue) unpark(f *flow) {
	if !f.parked {
		return
	}
	f.parked = false
	delete(q.parked, f)
	heap.Push(&q.flows, f)
}

// serve takes a request out and charges its cost to its flow.
func (q *rankQueue) serve(e *entry) {
	f := &e.org.flows[q.rank]
	if !e.ahead {
		q.virtual = max(q.virtual, f.start)
	}
	q.remove(e)
	q.charge(f, e.Tokens)
}

// charge moves the start tag of a flow by a cost, which is negative when the
// estimate was too high.
func (q *rankQueue) charge(f *flow, tokens int) {
	if f.items.size == 0 && tokens > 0 {
		f.start = max(f.start, q.virtual)
	}
	f.start += float64(tokens) / float64(f.org.config.Weight)
	if f.index >= 0 {
		heap.Fix(&q.flows, f.index)
	}
}

// waiting counts the requests that could be served if a slot were free.
func (q *rankQueue) waiting() int { return q.ahead.size + len(q.flows) }
