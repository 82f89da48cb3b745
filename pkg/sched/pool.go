package sched

import (
	"container/heap"
	"math/rand"
	"slices"
	"time"
)

// Pool queues the requests for one service and grants them the slots of its backend
// servers in one data centre. The decisions that a method returns are valid until the next
// call.
type Pool struct {
	config                    Config
	rng                       *rand.Rand
	announcementWaitStartedAt time.Time
	queues                    [rankCount]*rankQueue
	fifoList                  entryList
	drainMeters               [rankCount]drainMeter
	servers                   *serverDirectory
	organisations             *organisationTable
	entries                   map[Key]*poolEntry
	running                   [rankCount]int
	// patientCredit grows by the patient rank's FloorPercent of a grant with each urgent
	// grant while patient requests are queued. In pools whose floor is less than a whole
	// slot, the patient rank gets the next grant when it reaches 1.
	patientCredit      float64
	lastUrgentAt       time.Time
	grantsPausedUntil  time.Time
	victims            victimHeap
	pendingPreemptions int
	lastArrivalNumber  uint64
	decisions          []Decision
	stats              Stats
}

// Stats holds the counters of a pool and its current state.
type Stats struct {
	Granted, Refused, Preempted [rankCount]uint64
	// Queued and Running are the current numbers of requests.
	Queued, Running [rankCount]int
	// Slots is the sum of the slots of the servers in service; Servers counts the present
	// servers, of which Ejected are ejected.
	Slots, Servers, Ejected int
	// Organisations is the number of organisations in memory.
	Organisations        int
	EvictedOrganisations uint64
	Ejections            uint64
}

// NewPool returns a pool without backend servers.
func NewPool(now time.Time, c Config, rng *rand.Rand) *Pool {
	p := &Pool{
		rng: rng, announcementWaitStartedAt: now, fifoList: entryList{linkIndex: serviceLink}, servers: newServerDirectory(),
		organisations: newOrganisationTable(), entries: map[Key]*poolEntry{},
	}
	for rank := range p.queues {
		p.queues[rank] = newRankQueue(Rank(rank))
	}
	p.config = c
	return p
}

// Configure applies a new configuration. Weights and limits of an organisation change
// with its next request.
func (p *Pool) Configure(c Config) {
	c.Policy = p.config.Policy
	p.config = c
	p.organisations.configVersion++
}

// organisation returns the state of an organisation under the current configuration.
func (p *Pool) organisation(now time.Time, name string) *organisation {
	o := p.organisations.getOrCreate(name, p.config.Organisation)
	if o.configVersion != p.organisations.configVersion {
		oldWeight := o.config.Weight
		o.configure(p.config.Organisation, p.organisations.configVersion)
		for rank := range o.flows {
			if o.flows[rank].requests.size > 0 {
				p.queues[rank].totalWeight += o.config.Weight - oldWeight
			}
		}
	}
	o.refreshShares(now, p.config.Shares)
	return o
}

// Acquire queues a request and grants it a slot if one is free. A request that is already
// queued keeps its position, and a granted one gets the same grant again.
func (p *Pool) Acquire(now time.Time, r Request) []Decision {
	p.decisions = p.decisions[:0]
	if e := p.entries[r.Key]; e != nil {
		if e.server != nil {
			p.appendGrant(e)
		}
		return p.decisions
	}
	r.EstimatedTokens = max(r.EstimatedTokens, 1)
	o := p.organisation(now, r.Organisation)
	o.recordDemand(now, r.EstimatedTokens)
	if r.Rank == Urgent {
		p.lastUrgentAt = now
	}
	p.lastArrivalNumber++
	e := &poolEntry{Request: r, org: o, arrivedAt: now, arrivalNumber: p.lastArrivalNumber, victimIndex: -1, prioritised: r.ResumedTokens > 0}
	if reason, wait := p.checkAdmission(now, e); reason != "" {
		p.refuse(e, reason, wait)
		p.organisations.updateIdle(now, o)
		return p.decisions
	}
	p.enqueue(now, e)
	p.dispatch(now)
	p.handleQueued(now, e)
	return p.decisions
}

// handleQueued refuses a remote request that did not get a slot immediately, and reports
// a long expected wait of another one.
func (p *Pool) handleQueued(now time.Time, e *poolEntry) {
	if e.server != nil || p.entries[e.Key] != e {
		return
	}
	wait := p.expectedWait(e.org, e.Rank, 0)
	if e.Remote {
		p.removeQueued(now, e)
		p.refuse(e, TooLate, wait)
		return
	}
	if wait > RemoteWaitThreshold {
		p.decisions = append(p.decisions, Decision{Kind: Delayed, Key: e.Key, Wait: wait})
	}
}

// RegisterGrant registers a grant that an earlier broker made or that an entry instance
// decided locally.
func (p *Pool) RegisterGrant(now time.Time, r Request, serverID string) []Decision {
	p.decisions = p.decisions[:0]
	if e := p.entries[r.Key]; e != nil {
		if e.server != nil {
			return p.decisions
		}
		p.removeQueued(now, e)
	}
	s := p.servers.byID[serverID]
	if s == nil {
		s = &server{id: serverID, level: -1}
		p.servers.byID[serverID] = s
	}
	r.EstimatedTokens = max(r.EstimatedTokens, 1)
	e := &poolEntry{Request: r, org: p.organisation(now, r.Organisation), arrivedAt: now, victimIndex: -1}
	p.entries[r.Key] = e
	p.startGrant(now, e, s)
	return p.decisions
}

// Cancel removes a queued request or ends a grant that was not used.
func (p *Pool) Cancel(now time.Time, k Key) []Decision {
	p.decisions = p.decisions[:0]
	e := p.entries[k]
	switch {
	case e == nil:
	case e.server != nil:
		p.finishGrant(now, e, Usage{Outcome: Cancelled})
	default:
		p.removeQueued(now, e)
	}
	p.dispatch(now)
	return p.decisions
}

// Release ends a grant.
func (p *Pool) Release(now time.Time, k Key, u Usage) []Decision {
	p.decisions = p.decisions[:0]
	if e := p.entries[k]; e != nil && e.server != nil {
		p.finishGrant(now, e, u)
	}
	p.dispatch(now)
	return p.decisions
}

// DropInstance removes all requests and grants of a lost process of an entry instance.
func (p *Pool) DropInstance(now time.Time, processID string) []Decision {
	p.decisions = p.decisions[:0]
	for k, e := range p.entries {
		if k.ProcessID != processID {
			continue
		}
		if e.server != nil {
			p.finishGrant(now, e, Usage{Outcome: Cancelled, Tokens: e.chargedTokens})
		} else {
			p.removeQueued(now, e)
		}
	}
	p.dispatch(now)
	return p.decisions
}

// Announce applies the announcement of a backend server.
func (p *Pool) Announce(now time.Time, a Announcement) []Decision {
	p.decisions = p.decisions[:0]
	if p.servers.applyAnnouncement(now, a) {
		p.dispatch(now)
	}
	return p.decisions
}

// Leave takes a backend server out of service. An incarnation of 0 stands for any
// incarnation.
func (p *Pool) Leave(now time.Time, id string, incarnation, sequence uint64) []Decision {
	p.decisions = p.decisions[:0]
	p.servers.applyLeave(now, id, incarnation, sequence)
	p.dispatch(now)
	return p.decisions
}

// RemoveServer removes a backend server that is no longer allowed to serve this pool.
func (p *Pool) RemoveServer(now time.Time, id string) []Decision {
	p.decisions = p.decisions[:0]
	if s := p.servers.byID[id]; s != nil && s.announced {
		p.servers.removeAnnouncement(s)
		p.servers.updateLevel(s)
		p.servers.removeIfUnused(s)
		p.servers.limitEjections(now)
	}
	p.dispatch(now)
	return p.decisions
}

// RequestKeys returns the keys of the queued and granted requests of a process of an entry
// instance.
func (p *Pool) RequestKeys(processID string) []Key {
	var keys []Key
	for k := range p.entries {
		if k.ProcessID == processID {
			keys = append(keys, k)
		}
	}
	return keys
}

// Tick expires queued requests and servers and dispatches again. It is called several
// times a second.
func (p *Pool) Tick(now time.Time) []Decision {
	p.decisions = p.decisions[:0]
	p.servers.expireServers(now)
	for rank, q := range p.queues {
		p.expireQueued(now, q, p.config.Ranks[rank].MaxWait)
		for f := range q.parkedFlows {
			p.organisation(now, f.org.name)
			if !f.org.atInFlightLimit() {
				q.unpark(f)
			}
		}
	}
	p.organisations.evictIdle(now)
	p.dispatch(now)
	return p.decisions
}

// expireQueued refuses requests that have waited for longer than maxWait, and all of them
// if there is no server. Resumed requests do not expire by time: their callers already
// have a part of the answer.
func (p *Pool) expireQueued(now time.Time, q *rankQueue, maxWait time.Duration) {
	noServers := p.servers.presentServers == 0 && now.Sub(p.announcementWaitStartedAt) > announcementWait
	for e := q.arrivals.head; e != nil; {
		next := e.links[arrivalLink].next
		expired := now.Sub(e.arrivedAt) > maxWait && e.ResumedTokens == 0
		if !expired && !noServers {
			if e.ResumedTokens == 0 {
				return
			}
			e = next
			continue
		}
		p.removeQueued(now, e)
		switch {
		case noServers:
			p.refuse(e, NoBackend, time.Second)
		case e.org.flows[q.rank].parked:
			p.refuse(e, LimitReached, p.expectedWait(e.org, q.rank, 0))
		default:
			p.refuse(e, TooLate, p.expectedWait(e.org, q.rank, 0))
		}
		e = next
	}
}

// Demands returns the demand of the organisations with limits, leaving out demand that is
// small compared with this site's equal share.
func (p *Pool) Demands(now time.Time) map[string]Demand {
	demands, threshold := map[string]Demand{}, reportThreshold
	if s := p.config.Shares; s != nil {
		threshold /= float64(len(s.dataCentres))
	}
	for name, o := range p.organisations.byName {
		c := o.config
		if c.TokensPerSecond == 0 && c.MaxInFlight == 0 {
			continue
		}
		d := o.currentDemand(now)
		if c.TokensPerSecond > 0 && d.TokensPerSecond > threshold*float64(c.TokensPerSecond) ||
			c.MaxInFlight > 0 && d.InFlight > threshold*float64(c.MaxInFlight) {
			demands[name] = d
		}
	}
	return demands
}

// Stats returns the current counters.
func (p *Pool) Stats() Stats {
	s := p.stats
	for rank, q := range p.queues {
		s.Queued[rank] = q.arrivals.size
	}
	s.Running = p.running
	s.Slots, s.Servers, s.Ejected = p.servers.totalSlots, p.servers.presentServers, len(p.servers.ejectedServers)
	s.Organisations, s.EvictedOrganisations = len(p.organisations.byName), p.organisations.evictions
	s.Ejections = p.servers.ejections
	return s
}

// Empty reports whether the pool holds no request and no announced server.
func (p *Pool) Empty() bool { return len(p.entries) == 0 && p.servers.presentServers == 0 }

// RestartAnnouncementWait starts the announcementWait of a new pool again, because
// announcements may have been missed: if there are no servers, requests are queued until it
// ends.
func (p *Pool) RestartAnnouncementWait(now time.Time) { p.announcementWaitStartedAt = now }

// PauseGrants delays all grants until the given time, so that entry instances can first
// register their leases with a new broker.
func (p *Pool) PauseGrants(until time.Time) { p.grantsPausedUntil = until }

// Contains reports whether a request is queued or granted.
func (p *Pool) Contains(k Key) bool { return p.entries[k] != nil }

// QueuedKeys returns the keys of all queued requests, for each rank in the order of
// arrival.
func (p *Pool) QueuedKeys() []Key {
	var keys []Key
	for _, q := range p.queues {
		for e := q.arrivals.head; e != nil; e = e.links[arrivalLink].next {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// enqueue adds an admitted request to its queue and charges its estimated tokens.
func (p *Pool) enqueue(now time.Time, e *poolEntry) {
	q := p.queues[e.Rank]
	p.entries[e.Key] = e
	e.org.queued++
	e.org.chargeBucket(e.EstimatedTokens)
	e.chargedTokens = e.EstimatedTokens
	if p.config.Policy == FIFO {
		q.arrivals.push(e)
		q.queuedTokens += e.EstimatedTokens
		p.fifoList.push(e)
	} else {
		q.push(e)
	}
	p.organisations.updateIdle(now, e.org)
}

// removeQueued removes a queued request without a grant and refunds its tokens.
func (p *Pool) removeQueued(now time.Time, e *poolEntry) {
	p.dequeue(e, false)
	e.org.chargeBucket(-e.chargedTokens)
	delete(p.entries, e.Key)
	p.organisations.updateIdle(now, e.org)
}

func (p *Pool) dequeue(e *poolEntry, served bool) {
	q := p.queues[e.Rank]
	e.org.queued--
	switch {
	case p.config.Policy == FIFO:
		q.arrivals.remove(e)
		q.queuedTokens -= e.EstimatedTokens
		p.fifoList.remove(e)
	case served:
		q.serve(e)
	default:
		q.remove(e)
	}
}

// startGrant counts a new grant.
func (p *Pool) startGrant(now time.Time, e *poolEntry, s *server) {
	e.server, e.grantedAt = s, now
	e.org.running++
	p.running[e.Rank]++
	p.servers.addGrant(s)
	if e.Rank == Patient && p.config.Preempt {
		heap.Push(&p.victims, e)
	}
	p.organisations.updateIdle(now, e.org)
}

// finishGrant ends a grant and replaces the estimated cost by the actual one.
func (p *Pool) finishGrant(now time.Time, e *poolEntry, u Usage) {
	delete(p.entries, e.Key)
	e.org.running--
	p.running[e.Rank]--
	if e.victimIndex >= 0 {
		heap.Remove(&p.victims, e.victimIndex)
	}
	if e.preemptionPending {
		p.pendingPreemptions--
	}
	p.servers.recordOutcome(now, e.server, u, e.isProbe)
	p.servers.removeGrant(e.server)
	if u.Outcome == OK {
		p.drainMeters[e.Rank].countRelease(now.Sub(e.grantedAt), u.Tokens)
	}
	e.org.chargeBucket(u.Tokens - e.chargedTokens)
	if p.config.Policy == Fair && e.chargedTokens > 0 {
		p.queues[e.Rank].charge(&e.org.flows[e.Rank], u.Tokens-e.chargedTokens)
	}
	for rank, q := range p.queues {
		if !e.org.atInFlightLimit() {
			q.unpark(&e.org.flows[rank])
		}
	}
	p.organisations.updateIdle(now, e.org)
}

func (p *Pool) appendGrant(e *poolEntry) {
	p.decisions = append(p.decisions, Decision{
		Kind: Granted, Key: e.Key, Server: e.server.id, Address: e.server.address, Slots: e.server.slots,
	})
}

// refuse records the refusal of a request that is not queued.
func (p *Pool) refuse(e *poolEntry, reason Reason, wait time.Duration) {
	const minRetryAfter = 100 * time.Millisecond
	p.stats.Refused[e.Rank]++
	p.decisions = append(p.decisions, Decision{Kind: Refused, Key: e.Key, Reason: reason, Wait: max(wait, minRetryAfter)})
}

// Servers returns the sorted identifiers of the servers in service.
func (p *Pool) Servers() []string {
	var ids []string
	for id, s := range p.servers.byID {
		if s.inService() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
