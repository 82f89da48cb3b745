package sched

import "time"

// admit returns why a request is refused at its arrival, if it is, and after
// which time it would be accepted.
func (p *Pool) admit(now time.Time, e *entry) (Reason, time.Duration) {
	if p.servers.present == 0 {
		if e.Remote || now.Sub(p.created) > startGrace {
			return NoBackend, time.Second
		}
	} else if len(e.Exclude) > 0 && !p.servers.possible(e) {
		return NoBackend, time.Second
	}
	if e.Resumed > 0 {
		return "", 0
	}
	if ok, wait := e.org.allow(now); !ok {
		return Limit, wait
	}
	return p.admitQueue(now, e)
}

// admitQueue refuses requests that the queue cannot take or serve in time.
func (p *Pool) admitQueue(now time.Time, e *entry) (Reason, time.Duration) {
	rank := p.config.Ranks[e.Rank]
	if p.config.Policy == FIFO {
		if p.fifo.size >= fifoLimit {
			return QueueFull, p.expectedWait(e.org, e.Rank, e.Tokens) / 2
		}
		if e.org.config.MaxInFlight > 0 && e.org.running+e.org.queued >= max(e.org.inFlight, 1) {
			return Limit, p.meanHold(e.Rank)
		}
	} else if e.org.flows[e.Rank].items.size >= rank.QueuePerOrganisation {
		return QueueFull, p.promise(now, e, p.expectedWait(e.org, e.Rank, 0)/2)
	}
	if p.queues[e.Rank].arrival.size == 0 {
		return "", 0
	}
	if wait := p.expectedWait(e.org, e.Rank, e.Tokens); wait > rank.MaxWait {
		return TooLate, p.promise(now, e, wait-rank.MaxWait)
	}
	return "", 0
}

// longestPromise bounds the time after which a refused caller is told to come
// back. With 2 minutes the refused callers of a 5-minute flood came back as a
// second flood, and 17% of them were accepted instead of 88%.
const longestPromise = 10 * time.Minute

// promise returns a time to come back for each refused request of a flow: at
// the earliest after wait, and one after another at the rate at which the flow
// is served, because they could not all be accepted at the same moment.
func (p *Pool) promise(now time.Time, e *entry, wait time.Duration) time.Duration {
	f := &e.org.flows[e.Rank]
	at := now.Add(wait)
	weight := max(p.queues[e.Rank].weight, e.org.config.Weight)
	own := float64(e.Tokens) * float64(weight) / float64(e.org.config.Weight)
	next := f.promised.Add(seconds(own, p.drains[e.Rank].rate(p.rankSlots(e.Rank))))
	if next.After(at) {
		at = next
	}
	if last := now.Add(longestPromise); at.After(last) {
		return longestPromise
	}
	f.promised = at
	return at.Sub(now)
}

// expectedWait returns the time until the queued work of an organisation and
// another extra tokens are served, from the measured drain rate: the
// organisation's part of the rate is its part of the weights, and no request
// waits for more than all that is queued.
func (p *Pool) expectedWait(o *organisation, rank Rank, extra int) time.Duration {
	if p.config.Policy == FIFO {
		rate, tokens := 0.0, extra
		for r := range p.drains {
			rate += p.drains[r].rate(0)
			tokens += p.queues[r].tokens
		}
		return seconds(float64(tokens), rate)
	}
	q, f := p.queues[rank], &o.flows[rank]
	total := float64(q.tokens + extra)
	weight := q.weight
	if f.items.size == 0 {
		weight += o.config.Weight
	}
	own := float64(f.tokens+extra) * float64(weight) / float64(o.config.Weight)
	return seconds(min(total, own), p.drains[rank].rate(p.rankSlots(rank)))
}

// rankSlots is the least number of slots that a rank gets while the other waits.
func (p *Pool) rankSlots(rank Rank) int {
	if rank == Patient && p.queues[Urgent].arrival.size > 0 {
		return max(p.floor(), 1)
	}
	return p.servers.slots
}

func (p *Pool) meanHold(rank Rank) time.Duration {
	return time.Duration(p.drains[rank].hold * float64(time.Second))
}

// seconds returns the time that tokens take at a rate; 0 if the rate is unknown.
func seconds(tokens, rate float64) time.Duration {
	const longest = 24 * 60 * 60
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, longest) * float64(time.Second))
}
