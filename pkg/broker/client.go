package broker

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// remoteRetryInterval is the pause between two rounds of asking other data centres for a
// request that is queued in this one.
const remoteRetryInterval = 2 * time.Second

// pendingRequest is a request of this instance that waits for a grant or a refusal.
type pendingRequest struct {
	id      uint64
	request Request
	remote  bool
	// brokerID is the instance that was last asked, or "" if there was none.
	brokerID string
	// acknowledged is set while the request is queued at the broker.
	// unacknowledgedSince is the time since which no broker has acknowledged it.
	acknowledged        bool
	unacknowledgedSince time.Time
	// expectedWait is above 0 if the wait is long enough to ask other data centres.
	expectedWait time.Duration
	wake         chan struct{}
	// Either lease or refusal is set when the request is finished, unless it was
	// abandoned.
	lease    *lease
	refusal  *wire.BrokerReply
	finished bool
}

func (p *pendingRequest) message() *wire.BrokerRequest {
	r := p.request
	return &wire.BrokerRequest{Id: p.id, Acquire: &wire.Acquire{
		Pool: r.Pool, Organisation: r.Organisation, Rank: r.Rank, EstimatedTokens: uint64(max(r.EstimatedTokens, 1)),
		PrefixHash: r.PrefixHash, Exclude: r.Exclude, Remote: p.remote, ResumedTokens: uint64(max(r.ResumedTokens, 0)),
	}}
}

// notify wakes the goroutine that waits for the request.
func (p *pendingRequest) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// lease implements Lease.
type lease struct {
	service *Service
	id      uint64
	request Request
	// brokerID is the instance with which the lease is registered, or "" if there is none.
	brokerID    string
	remote      bool
	serverID    string
	address     string
	preempted   chan struct{}
	preemptOnce sync.Once
	releaseOnce sync.Once
}

// Backend implements Lease.
func (l *lease) Backend() (id, address string) { return l.serverID, l.address }

// Preempted implements Lease.
func (l *lease) Preempted() <-chan struct{} { return l.preempted }

// Release implements Lease.
func (l *lease) Release(u Usage) {
	l.releaseOnce.Do(func() { l.service.releaseLease(l, u) })
}

// registration returns the message that registers the lease with a broker.
func (l *lease) registration() *wire.BrokerRequest {
	r := l.request
	return &wire.BrokerRequest{Id: l.id, Acquire: &wire.Acquire{
		Pool: r.Pool, Organisation: r.Organisation, Rank: r.Rank, EstimatedTokens: uint64(max(r.EstimatedTokens, 1)),
		HeldBackend: l.serverID, ResumedTokens: uint64(max(r.ResumedTokens, 0)),
	}}
}

// Acquire implements Acquirer.
func (s *Service) Acquire(ctx context.Context, r Request) (Lease, error) {
	if _, ok := s.config.Current().Services[r.Pool]; !ok {
		return nil, &Refusal{Reason: "unknown_pool", RetryAfter: time.Second}
	}
	p := s.startRequest(r)
	ticker := time.NewTicker(responseTimeout / 5)
	defer ticker.Stop()
	var remoteAskedAt time.Time
	for {
		select {
		case <-ctx.Done():
			s.abandon(p)
			return nil, ctx.Err()
		case <-s.ctx.Done():
			s.abandon(p)
			return nil, &Refusal{Reason: string(sched.NoBackend), RetryAfter: time.Second}
		case <-p.wake:
		case <-ticker.C:
		}
		lease, refusal, expectedWait := s.pollRequest(p)
		switch {
		case lease != nil:
			return lease, nil
		case refusal != nil:
			return s.handleRefusal(ctx, r, refusal)
		case expectedWait > 0 && time.Since(remoteAskedAt) > remoteRetryInterval:
			if lease := s.acquireRemote(ctx, r); lease != nil {
				s.abandon(p)
				return lease, nil
			}
			remoteAskedAt = time.Now()
		}
	}
}

// handleRefusal asks other data centres if this one has no backend server or a long
// queue, and returns the refusal if none of them grants a slot.
func (s *Service) handleRefusal(ctx context.Context, r Request, reply *wire.BrokerReply) (Lease, error) {
	retryAfter := time.Duration(reply.RetryAfterMs) * time.Millisecond
	refusal := &Refusal{Reason: reply.Refusal, RetryAfter: retryAfter}
	switch sched.Reason(reply.Refusal) {
	case sched.NoBackend, sched.TooLate, sched.QueueFull:
		if lease := s.acquireRemote(ctx, r); lease != nil {
			return lease, nil
		}
	}
	return nil, refusal
}

// startRequest registers a request and sends it to the broker of its pool.
func (s *Service) startRequest(r Request) *pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	p := &pendingRequest{id: s.lastID, request: r, unacknowledgedSince: time.Now(), wake: make(chan struct{}, 1)}
	s.requests[p.id] = p
	s.sendRequest(p, s.brokerOf(r.Pool))
	return p
}

// brokerOf returns the broker of a pool as of the last tick.
func (s *Service) brokerOf(pool string) string {
	broker, ok := s.brokerByPool[pool]
	if !ok {
		broker = s.topRanked(pool)
		s.brokerByPool[pool] = broker
	}
	return broker
}

// sendRequest sends a request to a broker, which then has to acknowledge it again.
func (s *Service) sendRequest(p *pendingRequest, broker string) {
	p.brokerID = broker
	if p.acknowledged {
		p.acknowledged, p.unacknowledgedSince = false, time.Now()
	}
	s.sendToBroker(broker, p.message())
}

// sendToBroker sends a message to a broker, which may be this instance.
func (s *Service) sendToBroker(broker string, m *wire.BrokerRequest) {
	if broker == s.view.Self().ID {
		s.handleRequest(time.Now(), s.processID, m)
	} else if broker != "" {
		if l := s.openLink(broker, ""); l != nil {
			l.send(m)
		}
	}
}

// handleReply handles a reply of a broker to a request or a lease.
func (s *Service) handleReply(broker string, r *wire.BrokerReply) {
	held := s.leases[r.Id]
	if held != nil && held.brokerID == broker {
		if r.Preempt {
			held.preemptOnce.Do(func() { close(held.preempted) })
		}
		return
	}
	p := s.requests[r.Id]
	if p == nil || p.brokerID != broker {
		if r.Refusal == "" && r.Backend != "" {
			s.sendToBroker(broker, &wire.BrokerRequest{Id: r.Id, Cancel: true})
		}
		return
	}
	switch {
	case r.Queued:
		p.acknowledged, p.expectedWait = true, time.Duration(r.WaitMs)*time.Millisecond
	case r.Refusal == notBroker:
		s.handleNotBroker(p, r)
		return
	case r.Refusal != "":
		p.refusal = r
		s.finishRequest(p)
	case r.Backend != "":
		s.cacheGrantedServer(r)
		p.lease = s.newLease(p.id, p, r.Backend, r.Address)
		p.lease.brokerID, p.lease.remote = broker, p.remote
		s.finishRequest(p)
	}
	p.notify()
}

// handleNotBroker sends a request again after the asked instance replied that it is not
// the broker. A remote request goes to the broker that the reply names in the fields
// Backend and Address, a local one to the broker in this instance's view.
func (s *Service) handleNotBroker(p *pendingRequest, r *wire.BrokerReply) {
	if p.acknowledged {
		p.acknowledged, p.unacknowledgedSince = false, time.Now()
	}
	if p.remote {
		if r.Backend != "" && r.Address != "" && p.brokerID != r.Backend {
			p.brokerID, p.remote = r.Backend, true
			s.openLink(r.Backend, r.Address).send(p.message())
		}
		return
	}
	s.stats.MovedRequests++
	delete(s.brokerByPool, p.request.Pool)
	if broker := s.brokerOf(p.request.Pool); broker != p.brokerID {
		s.sendRequest(p, broker)
	} else {
		p.brokerID = "" // sent again at the next tick
	}
}

func (s *Service) newLease(id uint64, p *pendingRequest, serverID, address string) *lease {
	l := &lease{
		service: s, id: id, request: p.request, serverID: serverID, address: address, preempted: make(chan struct{}),
	}
	s.leases[id] = l
	s.leasesByServer[serverID]++
	return l
}

func (s *Service) finishRequest(p *pendingRequest) {
	p.finished = true
	delete(s.requests, p.id)
}

// pollRequest returns the current state of a request. If no broker has acknowledged it
// within responseTimeout, it is decided locally.
func (s *Service) pollRequest(p *pendingRequest) (*lease, *wire.BrokerReply, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.finished && !p.acknowledged && !p.remote && time.Since(p.unacknowledgedSince) >= responseTimeout {
		s.decideLocally(p)
	}
	return p.lease, p.refusal, p.expectedWait
}

// abandon cancels a request whose caller no longer waits, or releases its lease.
func (s *Service) abandon(p *pendingRequest) {
	s.mu.Lock()
	if !p.finished {
		s.finishRequest(p)
		s.sendToBroker(p.brokerID, &wire.BrokerRequest{Id: p.id, Cancel: true})
		s.mu.Unlock()
		return
	}
	l := p.lease
	s.mu.Unlock()
	if l != nil {
		l.Release(Usage{Outcome: Cancelled})
	}
}

func (s *Service) releaseLease(l *lease, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, l.id)
	if s.leasesByServer[l.serverID]--; s.leasesByServer[l.serverID] <= 0 {
		delete(s.leasesByServer, l.serverID)
	}
	s.sendToBroker(l.brokerID, &wire.BrokerRequest{Id: l.id, Release: &wire.Release{
		Pool: l.request.Pool, UsedTokens: uint64(max(u.Tokens, 0)), Result: string(u.Outcome),
		FirstTokenMs: uint32((u.TimeToFirstToken + time.Millisecond - 1) / time.Millisecond),
	}})
}

// markUnacknowledged marks the requests at a broker as not acknowledged after its session
// failed.
func (s *Service) markUnacknowledged(broker string) {
	now := time.Now()
	for _, p := range s.requests {
		if p.brokerID == broker && p.acknowledged {
			p.acknowledged, p.unacknowledgedSince = false, now
		}
	}
}

// tickRequests moves requests and leases to the current brokers of their pools, closes idle
// links and expires announcements and cached servers.
func (s *Service) tickRequests(now time.Time) {
	for pool := range s.brokerByPool {
		s.brokerByPool[pool] = s.topRanked(pool)
	}
	for _, p := range s.requests {
		if p.remote {
			continue
		}
		if broker := s.brokerOf(p.request.Pool); broker != p.brokerID {
			if p.brokerID != "" {
				s.stats.MovedRequests++
				s.sendToBroker(p.brokerID, &wire.BrokerRequest{Id: p.id, Cancel: true})
			}
			s.sendRequest(p, broker)
		}
	}
	for _, held := range s.leases {
		if held.remote {
			continue
		}
		if broker := s.brokerOf(held.request.Pool); broker != held.brokerID && broker != "" {
			held.brokerID = broker
			s.sendToBroker(broker, held.registration())
		}
	}
	s.closeIdleLinks(now)
	s.expireServers(now)
}
