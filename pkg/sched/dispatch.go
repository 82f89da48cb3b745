package sched

import (
	"container/heap"
	"time"
)

// placeTries bounds how many requests are looked at when the excluded backend
// servers of the first ones keep them from being placed.
const placeTries = 16

// dispatch grants free slots until none is left or nobody may have one.
func (p *Pool) dispatch(now time.Time) {
	if now.Before(p.settled) {
		return
	}
	if p.config.Policy == FIFO {
		p.dispatchFIFO(now)
	} else {
		p.dispatchFair(now)
	}
	for rank, q := range p.queues {
		p.drains[rank].advance(now, q.waiting() > 0 || p.config.Policy == FIFO && q.arrival.size > 0)
	}
	if p.config.Preempt && p.config.Policy == Fair {
		p.preempt(now)
	}
}

func (p *Pool) dispatchFIFO(now time.Time) {
	for e, n := p.fifo.head, 0; e != nil && n < placeTries && p.mayPlace(now); n++ {
		next := e.links[serviceChain].next
		if s := p.servers.choose(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			n = -1
		}
		e = next
	}
}

func (p *Pool) mayPlace(now time.Time) bool {
	return p.servers.free() || len(p.servers.ejected) > 0 && p.servers.probeDue(now)
}

func (p *Pool) dispatchFair(now time.Time) {
	var stuck [rankCount]bool
	for p.mayPlace(now) {
		rank, ok := p.turn(now, stuck)
		if !ok {
			return
		}
		if !p.place(now, p.queues[rank]) {
			stuck[rank] = true
		}
	}
}

// turn returns the rank that gets the next slot.
func (p *Pool) turn(now time.Time, stuck [rankCount]bool) (Rank, bool) {
	urgent := p.queues[Urgent].waiting() > 0 && !stuck[Urgent]
	patient := p.queues[Patient].waiting() > 0 && !stuck[Patient]
	switch {
	case urgent && patient && p.belowFloor():
		return Patient, true
	case urgent:
		return Urgent, true
	case patient && p.running[Patient] < p.patientLimit(now):
		return Patient, true
	}
	return 0, false
}

// floor is the number of slots that the patient rank gets while it waits.
func (p *Pool) floor() int {
	return p.servers.slots * p.config.Ranks[Patient].FloorPercent / 100
}

// belowFloor reports whether patient work goes ahead of urgent work. A pool too
// small for a whole slot gives the floor as a part of the grants.
func (p *Pool) belowFloor() bool {
	if f := p.floor(); f > 0 {
		return p.running[Patient] < f
	}
	return p.credit >= 1 && p.running[Patient] == 0
}

// patientLimit is the number of slots that patient work may hold: not all of
// them while urgent work is to be expected.
func (p *Pool) patientLimit(now time.Time) int {
	slots := p.servers.slots
	if p.lastUrgent.IsZero() || now.Sub(p.lastUrgent) > urgentRecent || slots < 2 {
		return max(slots, 1)
	}
	reserved := (slots*reservePercent + 99) / 100
	return max(slots-reserved, p.floor(), 1)
}

// place grants a slot to the first request of a queue that some free server fits.
func (p *Pool) place(now time.Time, q *rankQueue) bool {
	for e, n := q.ahead.head, 0; e != nil && n < placeTries; e, n = e.links[serviceChain].next, n+1 {
		if s := p.servers.choose(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			return true
		}
	}
	for range placeTries {
		e := q.next()
		if e == nil {
			return false
		}
		if s := p.servers.choose(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			return true
		}
		if len(e.Exclude) == 0 {
			return false
		}
		q.moveAhead(e)
	}
	return false
}

// grant gives a slot of a server to a queued request.
func (p *Pool) grant(now time.Time, e *entry, s *server) {
	other := Patient
	if e.Rank == Patient {
		other = Urgent
		p.credit = 0
	}
	if e.Rank == Urgent && p.queues[other].waiting() > 0 {
		p.credit += float64(p.config.Ranks[Patient].FloorPercent) / 100
	}
	p.dequeue(e, true)
	if e.arrived.Before(now) {
		p.drains[e.Rank].served(e.Tokens)
	}
	if s.health.ejected {
		s.health.probing, e.probe = true, true
	}
	p.start(now, e, s)
	p.stats.Granted[e.Rank]++
	p.decideGrant(e)
}

// tokensPerSecond converts resumed tokens to time, for the comparison of what
// two preemptions cost: 40 ms between tokens.
const tokensPerSecond = 25

// resumeSince is the time at which the work that a preemption would throw away
// began: a request granted late and resumed from little costs least.
func (e *entry) resumeSince() time.Time {
	return e.granted.Add(-time.Duration(e.Resumed) * time.Second / tokensPerSecond)
}

// victimHeap holds the preemptible grants, the one that costs least to resume first.
type victimHeap []*entry

func (h victimHeap) Len() int           { return len(h) }
func (h victimHeap) Less(i, j int) bool { return h[i].resumeSince().After(h[j].resumeSince()) }
func (h victimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].victim, h[j].victim = i, j
}
func (h *victimHeap) Push(x any) {
	e := x.(*entry)
	e.victim = len(*h)
	*h = append(*h, e)
}
func (h *victimHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.victim = -1
	return e
}

// overdue counts the urgent requests that have waited for PreemptAfter, up to a bound.
func (p *Pool) overdue(now time.Time, bound int) int {
	n := 0
	for e := p.queues[Urgent].arrival.head; e != nil && n < bound; e = e.links[arrivalChain].next {
		if now.Sub(e.arrived) < p.config.PreemptAfter {
			break
		}
		n++
	}
	return n
}

// preempt asks for patient grants back while urgent work waits without a free
// slot and patient work holds more than its floor.
func (p *Pool) preempt(now time.Time) {
	spare := p.running[Patient] - p.preempting - max(p.floor(), 1)
	if spare <= 0 || len(p.victims) == 0 || p.queues[Urgent].waiting() == 0 || p.servers.free() {
		return
	}
	need := min(p.overdue(now, spare+p.preempting)-p.preempting, spare)
	for need > 0 && len(p.victims) > 0 {
		if p.config.PreemptCost > 0 && now.Sub(p.victims[0].resumeSince()) > time.Duration(p.config.PreemptCost)*time.Second/tokensPerSecond {
			return
		}
		e := heap.Pop(&p.victims).(*entry)
		if !e.server.inService() {
			continue
		}
		e.preempting = true
		p.preempting++
		p.stats.Preempted[e.Rank]++
		p.out = append(p.out, Decision{Kind: Preempted, Key: e.Key, Server: e.server.id})
		need--
	}
}
