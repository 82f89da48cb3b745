package sched

import "time"

// checkAdmission decides on a request at its arrival. It returns "" for an admitted
// request, otherwise the reason for the refusal and the time after which the request
// would be accepted.
func (p *Pool) checkAdmission(now time.Time, e *poolEntry) (Reason, time.Duration) {
	if p.servers.presentServers == 0 {
		if e.Remote || now.Sub(p.announcementWaitStartedAt) > announcementWait {
			return NoBackend, time.Second
		}
	} else if len(e.Exclude) > 0 && !p.servers.canServe(e) {
		return NoBackend, time.Second
	}
	if e.ResumedTokens > 0 {
		return "", 0
	}
	if ok, wait := e.org.checkTokenLimit(now); !ok {
		return LimitReached, wait
	}
	return p.checkQueue(now, e)
}

// checkQueue refuses a request if the queue is full or would not serve it within the
// maximum wait of its rank.
func (p *Pool) checkQueue(now time.Time, e *poolEntry) (Reason, time.Duration) {
	rank := p.config.Ranks[e.Rank]
	if p.config.Policy == FIFO {
		if p.fifoList.size >= maxFIFOQueue {
			return QueueFull, p.expectedWait(e.org, e.Rank, e.EstimatedTokens) / 2
		}
		if e.org.config.MaxInFlight > 0 && e.org.running+e.org.queued >= max(e.org.inFlightShare, 1) {
			return LimitReached, p.meanHoldTime(e.Rank)
		}
	} else if e.org.flows[e.Rank].requests.size >= rank.QueuePerOrganisation {
		return QueueFull, p.retryAfter(now, e, p.expectedWait(e.org, e.Rank, 0)/2)
	}
	if p.queues[e.Rank].arrivals.size == 0 {
		return "", 0
	}
	if wait := p.expectedWait(e.org, e.Rank, e.EstimatedTokens); wait > rank.MaxWait {
		return TooLate, p.retryAfter(now, e, wait-rank.MaxWait)
	}
	return "", 0
}

// maxRetryAfter bounds the time after which refused callers may retry. It is longer than a
// flood of several minutes: otherwise the callers refused during the flood return as a
// second one.
const maxRetryAfter = 10 * time.Minute

// retryAfter returns the time after which a refused request may be retried, which is at
// least minWait. The retries of one flow are spaced at the rate at which the flow is
// served, because they could not all be accepted at the same moment.
func (p *Pool) retryAfter(now time.Time, e *poolEntry, minWait time.Duration) time.Duration {
	f := &e.org.flows[e.Rank]
	retryAt := now.Add(minWait)
	totalWeight := max(p.queues[e.Rank].totalWeight, e.org.config.Weight)
	normalisedTokens := float64(e.EstimatedTokens) * float64(totalWeight) / float64(e.org.config.Weight)
	nextRetryAt := f.lastRetryAt.Add(drainTime(normalisedTokens, p.drainMeters[e.Rank].tokensPerSecond(p.assumedSlots(e.Rank))))
	if nextRetryAt.After(retryAt) {
		retryAt = nextRetryAt
	}
	if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
		return maxRetryAfter
	}
	f.lastRetryAt = retryAt
	return retryAt.Sub(now)
}

// expectedWait returns the time until the queued requests of an organisation and
// extraTokens more are served. It divides the measured drain rate by weight between the
// backlogged organisations; no request waits longer than it takes to drain the whole
// queue.
func (p *Pool) expectedWait(o *organisation, rank Rank, extraTokens int) time.Duration {
	if p.config.Policy == FIFO {
		rate, tokens := 0.0, extraTokens
		for r := range p.drainMeters {
			rate += p.drainMeters[r].tokensPerSecond(0)
			tokens += p.queues[r].queuedTokens
		}
		return drainTime(float64(tokens), rate)
	}
	q, f := p.queues[rank], &o.flows[rank]
	totalTokens := float64(q.queuedTokens + extraTokens)
	totalWeight := q.totalWeight
	if f.requests.size == 0 {
		totalWeight += o.config.Weight
	}
	normalisedTokens := float64(f.queuedTokens+extraTokens) * float64(totalWeight) / float64(o.config.Weight)
	return drainTime(min(totalTokens, normalisedTokens), p.drainMeters[rank].tokensPerSecond(p.assumedSlots(rank)))
}

// assumedSlots returns the number of slots from which the drain rate of a rank is estimated
// if it was not measured: patient work is assumed to get only its floor while urgent
// requests are queued.
func (p *Pool) assumedSlots(rank Rank) int {
	if rank == Patient && p.queues[Urgent].arrivals.size > 0 {
		return max(p.floorSlots(), 1)
	}
	return p.servers.totalSlots
}

func (p *Pool) meanHoldTime(rank Rank) time.Duration {
	return time.Duration(p.drainMeters[rank].meanHoldSeconds * float64(time.Second))
}

// drainTime returns the time to serve tokens at a rate in tokens per second, or 0 if the
// rate is unknown.
func drainTime(tokens, rate float64) time.Duration {
	const maxSeconds = 24 * 60 * 60
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, maxSeconds) * float64(time.Second))
}
