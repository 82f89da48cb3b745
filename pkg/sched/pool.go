package sched

import (
	"container/heap"
	"math/rand"
	"slices"
	"time"
)

// Pool grants the slots of the backend servers of one pool in one data centre.
// The slice that its methods return is valid until the next call.
type Pool struct {
	config  Config
	rng     *rand.Rand
	created time.Time
	queues  [rankCount]*rankQueue
	fifo    chain
	drains  [rankCount]drain
	servers *directory
	orgs    *organisations
	entries map[Key]*entry
	running [rankCount]int
	// credit gives the patient rank its part of the grants in pools that are
	// too small for a whole slot as its floor.
	credit     float64
	lastUrgent time.Time
	settled    time.Time
	victims    victimHeap
	preempting int
	number     uint64
	out        []Decision
	stats      Stats
}

// Stats counts what a pool has done and holds.
type Stats struct {
	Granted, Refused, Preempted [rankCount]uint64
	// Queued and Running are current numbers of requests.
	Queued, Running [rankCount]int
	// Slots is the sum of the slots of the servers in service.
	Slots, Servers, Ejected int
	// Organisations is the number of organisations whose state is held.
	Organisations int
	Evicted       uint64
	Ejections     uint64
}

// NewPool returns a pool without backend servers.
func NewPool(now time.Time, c Config, rng *rand.Rand) *Pool {
	p := &Pool{
		rng: rng, created: now, fifo: chain{which: serviceChain}, servers: newDirectory(),
		orgs: newOrganisations(), entries: map[Key]*entry{},
	}
	for rank := range p.queues {
		p.queues[rank] = newRankQueue(Rank(rank))
	}
	p.config = c
	return p
}

// Configure puts a new configuration in force. Weights and limits of an
// organisation change with its next request.
func (p *Pool) Configure(c Config) {
	c.Policy = p.config.Policy
	p.config = c
	p.orgs.version++
}

// organisation returns the state of an organisation under the current configuration.
func (p *Pool) organisation(now time.Time, name string) *organisation {
	o := p.orgs.get(name, p.config.Organisation)
	if o.version != p.orgs.version {
		before := o.config.Weight
		o.configure(p.config.Organisation, p.orgs.version)
		for rank := range o.flows {
			if o.flows[rank].items.size > 0 {
				p.queues[rank].weight += o.config.Weight - before
			}
		}
	}
	o.refresh(now, p.config.Shares)
	return o
}

// Acquire takes in a request. A repeated request keeps its place, and its grant
// is returned again.
func (p *Pool) Acquire(now time.Time, r Request) []Decision {
	p.out = p.out[:0]
	if e := p.entries[r.Key]; e != nil {
		if e.server != nil {
			p.decideGrant(e)
		}
		return p.out
	}
	r.Tokens = max(r.Tokens, 1)
	o := p.organisation(now, r.Organisation)
	o.ask(now, r.Tokens)
	if r.Rank == Urgent {
		p.lastUrgent = now
	}
	p.number++
	e := &entry{Request: r, org: o, arrived: now, number: p.number, victim: -1, ahead: r.Resumed > 0}
	if reason, wait := p.admit(now, e); reason != "" {
		p.refuse(e, reason, wait)
		p.orgs.settle(now, o)
		return p.out
	}
	p.enqueue(now, e)
	p.dispatch(now)
	p.afterArrival(now, e)
	return p.out
}

// afterArrival ends a remote request that got no slot at once and tells of a
// long expected wait.
func (p *Pool) afterArrival(now time.Time, e *entry) {
	if e.server != nil || p.entries[e.Key] != e {
		return
	}
	wait := p.expectedWait(e.org, e.Rank, 0)
	if e.Remote {
		p.drop(now, e)
		p.refuse(e, TooLate, wait)
		return
	}
	if wait > ElsewhereAfter {
		p.out = append(p.out, Decision{Kind: Delayed, Key: e.Key, Wait: wait})
	}
}

// Hold registers a grant of an earlier broker or a local decision.
func (p *Pool) Hold(now time.Time, r Request, serverID string) []Decision {
	p.out = p.out[:0]
	if e := p.entries[r.Key]; e != nil {
		if e.server != nil {
			return p.out
		}
		p.drop(now, e)
	}
	s := p.servers.byID[serverID]
	if s == nil {
		s = &server{id: serverID, level: -1}
		p.servers.byID[serverID] = s
	}
	r.Tokens = max(r.Tokens, 1)
	e := &entry{Request: r, org: p.organisation(now, r.Organisation), arrived: now, victim: -1}
	p.entries[r.Key] = e
	p.start(now, e, s)
	return p.out
}

// Cancel ends a request that waits, or a grant that was not used.
func (p *Pool) Cancel(now time.Time, k Key) []Decision {
	p.out = p.out[:0]
	e := p.entries[k]
	switch {
	case e == nil:
	case e.server != nil:
		p.finish(now, e, Usage{Outcome: Cancelled})
	default:
		p.drop(now, e)
	}
	p.dispatch(now)
	return p.out
}

// Release ends a grant.
func (p *Pool) Release(now time.Time, k Key, u Usage) []Decision {
	p.out = p.out[:0]
	if e := p.entries[k]; e != nil && e.server != nil {
		p.finish(now, e, u)
	}
	p.dispatch(now)
	return p.out
}

// DropInstance ends everything of a lost entry instance.
func (p *Pool) DropInstance(now time.Time, instance string) []Decision {
	p.out = p.out[:0]
	for k, e := range p.entries {
		if k.Instance != instance {
			continue
		}
		if e.server != nil {
			p.finish(now, e, Usage{Outcome: Cancelled, Tokens: e.charged})
		} else {
			p.drop(now, e)
		}
	}
	p.dispatch(now)
	return p.out
}

// Announce takes in what a backend server reports.
func (p *Pool) Announce(now time.Time, a Announcement) []Decision {
	p.out = p.out[:0]
	if p.servers.announce(now, a) {
		p.dispatch(now)
	}
	return p.out
}

// Leave takes a backend server out of service; an incarnation of 0 means any.
func (p *Pool) Leave(now time.Time, id string, incarnation, sequence uint64) []Decision {
	p.out = p.out[:0]
	p.servers.leave(now, id, incarnation, sequence)
	p.dispatch(now)
	return p.out
}

// Withdraw takes a backend server out that may no longer carry this pool.
func (p *Pool) Withdraw(now time.Time, id string) []Decision {
	p.out = p.out[:0]
	if s := p.servers.byID[id]; s != nil && s.announced {
		p.servers.withdraw(s)
		p.servers.file(s)
		p.servers.forget(s)
		p.servers.boundEjections(now)
	}
	p.dispatch(now)
	return p.out
}

// KeysOf returns the requests of an entry instance, waiting and granted.
func (p *Pool) KeysOf(instance string) []Key {
	var keys []Key
	for k := range p.entries {
		if k.Instance == instance {
			keys = append(keys, k)
		}
	}
	return keys
}

// Tick does what time alone brings about; it is called several times a second.
func (p *Pool) Tick(now time.Time) []Decision {
	p.out = p.out[:0]
	p.servers.lapse(now)
	for rank, q := range p.queues {
		p.expire(now, q, p.config.Ranks[rank].MaxWait)
		for f := range q.parked {
			p.organisation(now, f.org.name)
			if !f.org.full() {
				q.unpark(f)
			}
		}
	}
	p.orgs.evict(now)
	p.dispatch(now)
	return p.out
}

// expire refuses requests that have waited longer than allowed. Resumed work is
// kept: its caller already has a part of the answer.
func (p *Pool) expire(now time.Time, q *rankQueue, limit time.Duration) {
	empty := p.servers.present == 0 && now.Sub(p.created) > startGrace
	for e := q.arrival.head; e != nil; {
		next := e.links[arrivalChain].next
		late := now.Sub(e.arrived) > limit && e.Resumed == 0
		if !late && !empty {
			if e.Resumed == 0 {
				return
			}
			e = next
			continue
		}
		p.drop(now, e)
		switch {
		case empty:
			p.refuse(e, NoBackend, time.Second)
		case e.org.flows[q.rank].parked:
			p.refuse(e, Limit, p.expectedWait(e.org, q.rank, 0))
		default:
			p.refuse(e, TooLate, p.expectedWait(e.org, q.rank, 0))
		}
		e = next
	}
}

// Demands returns what the organisations with limits ask of this pool, if it is
// a notable part of a limit.
func (p *Pool) Demands(now time.Time) map[string]Demand {
	demands, part := map[string]Demand{}, reportedPart
	if s := p.config.Shares; s != nil {
		part /= float64(len(s.dataCentres))
	}
	for name, o := range p.orgs.byName {
		c := o.config
		if c.TokensPerSecond == 0 && c.MaxInFlight == 0 {
			continue
		}
		d := o.current(now)
		if c.TokensPerSecond > 0 && d.TokensPerSecond > part*float64(c.TokensPerSecond) ||
			c.MaxInFlight > 0 && d.InFlight > part*float64(c.MaxInFlight) {
			demands[name] = d
		}
	}
	return demands
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	s := p.stats
	for rank, q := range p.queues {
		s.Queued[rank] = q.arrival.size
	}
	s.Running = p.running
	s.Slots, s.Servers, s.Ejected = p.servers.slots, p.servers.present, len(p.servers.ejected)
	s.Organisations, s.Evicted = len(p.orgs.byName), p.orgs.evicted
	s.Ejections = p.servers.ejections
	return s
}

// Empty reports whether the pool holds no request and no announced server.
func (p *Pool) Empty() bool { return len(p.entries) == 0 && p.servers.present == 0 }

// ResetGrace tells that announcements may have been missed until now: without
// servers, requests wait for them as in a new pool.
func (p *Pool) ResetGrace(now time.Time) { p.created = now }

// Settle stops grants until a moment: a new broker first learns of the leases
// that entry instances hold.
func (p *Pool) Settle(until time.Time) { p.settled = until }

// Has reports whether a request waits or holds a slot.
func (p *Pool) Has(k Key) bool { return p.entries[k] != nil }

// Waiting returns the keys of all queued requests, in the order of arrival per rank.
func (p *Pool) Waiting() []Key {
	var keys []Key
	for _, q := range p.queues {
		for e := q.arrival.head; e != nil; e = e.links[arrivalChain].next {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// enqueue makes a request wait.
func (p *Pool) enqueue(now time.Time, e *entry) {
	q := p.queues[e.Rank]
	p.entries[e.Key] = e
	e.org.queued++
	e.org.spend(e.Tokens)
	e.charged = e.Tokens
	if p.config.Policy == FIFO {
		q.arrival.push(e)
		q.tokens += e.Tokens
		p.fifo.push(e)
	} else {
		q.push(e)
	}
	p.orgs.settle(now, e.org)
}

// drop takes a waiting request out and gives its tokens back.
func (p *Pool) drop(now time.Time, e *entry) {
	p.dequeue(e, false)
	e.org.spend(-e.charged)
	delete(p.entries, e.Key)
	p.orgs.settle(now, e.org)
}

func (p *Pool) dequeue(e *entry, serve bool) {
	q := p.queues[e.Rank]
	e.org.queued--
	switch {
	case p.config.Policy == FIFO:
		q.arrival.remove(e)
		q.tokens -= e.Tokens
		p.fifo.remove(e)
	case serve:
		q.serve(e)
	default:
		q.remove(e)
	}
}

// start counts a grant.
func (p *Pool) start(now time.Time, e *entry, s *server) {
	e.server, e.granted = s, now
	e.org.running++
	p.running[e.Rank]++
	p.servers.occupy(s)
	if e.Rank == Patient && p.config.Preempt {
		heap.Push(&p.victims, e)
	}
	p.orgs.settle(now, e.org)
}

// finish takes a grant back and corrects what its estimate charged.
func (p *Pool) finish(now time.Time, e *entry, u Usage) {
	delete(p.entries, e.Key)
	e.org.running--
	p.running[e.Rank]--
	if e.victim >= 0 {
		heap.Remove(&p.victims, e.victim)
	}
	if e.preempting {
		p.preempting--
	}
	p.servers.observe(now, e.server, u, e.probe)
	p.servers.vacate(e.server)
	if u.Outcome == OK {
		p.drains[e.Rank].released(now.Sub(e.granted), u.Tokens)
	}
	e.org.spend(u.Tokens - e.charged)
	if p.config.Policy == Fair && e.charged > 0 {
		p.queues[e.Rank].charge(&e.org.flows[e.Rank], u.Tokens-e.charged)
	}
	for rank, q := range p.queues {
		if !e.org.full() {
			q.unpark(&e.org.flows[rank])
		}
	}
	p.orgs.settle(now, e.org)
}

func (p *Pool) decideGrant(e *entry) {
	p.out = append(p.out, Decision{
		Kind: Granted, Key: e.Key, Server: e.server.id, Address: e.server.address, Slots: e.server.slots,
	})
}

// refuse ends a request that is not queued.
func (p *Pool) refuse(e *entry, reason Reason, wait time.Duration) {
	const leastWait = 100 * time.Millisecond
	p.stats.Refused[e.Rank]++
	p.out = append(p.out, Decision{Kind: Refused, Key: e.Key, Reason: reason, Wait: max(wait, leastWait)})
}

// Servers returns the names of the servers in service, sorted.
func (p *Pool) Servers() []string {
	var names []string
	for id, s := range p.servers.byID {
		if s.inService() {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}
