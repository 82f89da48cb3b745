package sched

import (
	"container/heap"
	"time"
)

// maxDispatchAttempts bounds how many queued requests are tried when the ones before them
// exclude all free backend servers.
const maxDispatchAttempts = 16

// dispatch grants free slots until none is left or no queued request is eligible.
func (p *Pool) dispatch(now time.Time) {
	if now.Before(p.grantsPausedUntil) {
		return
	}
	if p.config.Policy == FIFO {
		p.dispatchFIFO(now)
	} else {
		p.dispatchFair(now)
	}
	for rank, q := range p.queues {
		p.drainMeters[rank].advance(now, q.eligibleCount() > 0 || p.config.Policy == FIFO && q.arrivals.size > 0)
	}
	if p.config.Preempt && p.config.Policy == Fair {
		p.preempt(now)
	}
}

func (p *Pool) dispatchFIFO(now time.Time) {
	for e, n := p.fifoList.head, 0; e != nil && n < maxDispatchAttempts && p.canDispatch(now); n++ {
		next := e.links[serviceLink].next
		if s := p.servers.selectServer(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			n = -1
		}
		e = next
	}
}

func (p *Pool) canDispatch(now time.Time) bool {
	return p.servers.hasFreeSlot() || len(p.servers.ejectedServers) > 0 && p.servers.hasDueProbe(now)
}

func (p *Pool) dispatchFair(now time.Time) {
	var blocked [rankCount]bool
	for p.canDispatch(now) {
		rank, ok := p.nextRank(now, blocked)
		if !ok {
			return
		}
		if !p.dispatchFrom(now, p.queues[rank]) {
			blocked[rank] = true
		}
	}
}

// nextRank returns the rank that gets the next slot, or false if neither may have one.
func (p *Pool) nextRank(now time.Time, blocked [rankCount]bool) (Rank, bool) {
	urgentEligible := p.queues[Urgent].eligibleCount() > 0 && !blocked[Urgent]
	patientEligible := p.queues[Patient].eligibleCount() > 0 && !blocked[Patient]
	switch {
	case urgentEligible && patientEligible && p.patientBelowFloor():
		return Patient, true
	case urgentEligible:
		return Urgent, true
	case patientEligible && p.running[Patient] < p.maxPatientSlots(now):
		return Patient, true
	}
	return 0, false
}

// floorSlots returns the number of slots reserved for the patient rank while it has
// queued requests.
func (p *Pool) floorSlots() int {
	return p.servers.totalSlots * p.config.Ranks[Patient].FloorPercent / 100
}

// patientBelowFloor reports whether patient work has precedence over urgent work. In a
// pool whose floor is less than a whole slot, patient work gets its percentage of the
// grants instead.
func (p *Pool) patientBelowFloor() bool {
	if floor := p.floorSlots(); floor > 0 {
		return p.running[Patient] < floor
	}
	return p.patientCredit >= 1 && p.running[Patient] == 0
}

// maxPatientSlots returns the number of slots that patient work may hold. Some slots stay
// reserved for a while after urgent requests.
func (p *Pool) maxPatientSlots(now time.Time) int {
	slots := p.servers.totalSlots
	if p.lastUrgentAt.IsZero() || now.Sub(p.lastUrgentAt) > urgentReservationTime || slots < 2 {
		return max(slots, 1)
	}
	reserved := (slots*urgentReservePercent + 99) / 100
	return max(slots-reserved, p.floorSlots(), 1)
}

// dispatchFrom grants a slot to the first request of a queue that can use one of the free
// servers, and reports whether it did.
func (p *Pool) dispatchFrom(now time.Time, q *rankQueue) bool {
	for e, n := q.prioritised.head, 0; e != nil && n < maxDispatchAttempts; e, n = e.links[serviceLink].next, n+1 {
		if s := p.servers.selectServer(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			return true
		}
	}
	for range maxDispatchAttempts {
		e := q.next()
		if e == nil {
			return false
		}
		if s := p.servers.selectServer(now, e, p.rng); s != nil {
			p.grant(now, e, s)
			return true
		}
		if len(e.Exclude) == 0 {
			return false
		}
		q.prioritise(e)
	}
	return false
}

// grant assigns a slot of a server to a queued request.
func (p *Pool) grant(now time.Time, e *poolEntry, s *server) {
	otherRank := Patient
	if e.Rank == Patient {
		otherRank = Urgent
		p.patientCredit = 0
	}
	if e.Rank == Urgent && p.queues[otherRank].eligibleCount() > 0 {
		p.patientCredit += float64(p.config.Ranks[Patient].FloorPercent) / 100
	}
	p.dequeue(e, true)
	if e.arrivedAt.Before(now) {
		p.drainMeters[e.Rank].countGrant(e.EstimatedTokens)
	}
	if s.health.ejected {
		s.health.probing, e.isProbe = true, true
	}
	p.startGrant(now, e, s)
	p.stats.Granted[e.Rank]++
	p.appendGrant(e)
}

// typicalTokensPerSecond converts resumed tokens to time, to compare the costs of
// preemptions; it assumes 40 ms between tokens.
const typicalTokensPerSecond = 25

// workStartedAt returns the time at which the work that a preemption would discard began.
// The later it is, the less there is to recompute: the request was granted recently and
// resumed from few tokens.
func (e *poolEntry) workStartedAt() time.Time {
	return e.grantedAt.Add(-time.Duration(e.ResumedTokens) * time.Second / typicalTokensPerSecond)
}

// victimHeap holds the preemptible grants, ordered by the cost of resuming them, the
// cheapest first.
type victimHeap []*poolEntry

func (h victimHeap) Len() int           { return len(h) }
func (h victimHeap) Less(i, j int) bool { return h[i].workStartedAt().After(h[j].workStartedAt()) }
func (h victimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].victimIndex, h[j].victimIndex = i, j
}
func (h *victimHeap) Push(x any) {
	e := x.(*poolEntry)
	e.victimIndex = len(*h)
	*h = append(*h, e)
}
func (h *victimHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.victimIndex = -1
	return e
}

// countOverdue returns the number of urgent requests that have waited for PreemptAfter or
// longer, up to a limit.
func (p *Pool) countOverdue(now time.Time, limit int) int {
	n := 0
	for e := p.queues[Urgent].arrivals.head; e != nil && n < limit; e = e.links[arrivalLink].next {
		if now.Sub(e.arrivedAt) < p.config.PreemptAfter {
			break
		}
		n++
	}
	return n
}

// preempt requests the cancellation of patient grants while urgent work is queued, no
// slot is free and patient work holds more than its floor.
func (p *Pool) preempt(now time.Time) {
	preemptible := p.running[Patient] - p.pendingPreemptions - max(p.floorSlots(), 1)
	if preemptible <= 0 || len(p.victims) == 0 || p.queues[Urgent].eligibleCount() == 0 || p.servers.hasFreeSlot() {
		return
	}
	needed := min(p.countOverdue(now, preemptible+p.pendingPreemptions)-p.pendingPreemptions, preemptible)
	for needed > 0 && len(p.victims) > 0 {
		if p.config.MaxPreemptCost > 0 && now.Sub(p.victims[0].workStartedAt()) > time.Duration(p.config.MaxPreemptCost)*time.Second/typicalTokensPerSecond {
			return
		}
		e := heap.Pop(&p.victims).(*poolEntry)
		if !e.server.inService() {
			// Its slot could not be granted again.
			continue
		}
		e.preemptionPending = true
		p.pendingPreemptions++
		p.stats.Preempted[e.Rank]++
		p.decisions = append(p.decisions, Decision{Kind: Preempted, Key: e.Key, Server: e.server.id})
		needed--
	}
}
