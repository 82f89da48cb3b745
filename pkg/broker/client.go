package broker

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// elsewhereAgain is the pause between two rounds of asking other data centres
// for a request that waits in the own one.
const elsewhereAgain = 2 * time.Second

// call is a request of this instance that waits for a broker.
type call struct {
	id      uint64
	request Request
	remote  bool
	// broker is the instance that was asked last, "" if none could be.
	broker string
	// answered is set while the broker is known to have the request; asked is
	// when it was not for the last time.
	answered bool
	asked    time.Time
	// wait is the expected wait if it is worth asking other data centres.
	wait   time.Duration
	signal chan struct{}
	// lease or refusal is set at the end.
	lease    *lease
	refusal  *wire.BrokerReply
	finished bool
}

func (c *call) message() *wire.BrokerRequest {
	r := c.request
	return &wire.BrokerRequest{Id: c.id, Acquire: &wire.Acquire{
		Pool: r.Pool, Organisation: r.Organisation, Rank: r.Rank, EstimatedTokens: uint64(max(r.EstimatedTokens, 1)),
		PrefixHash: r.PrefixHash, Exclude: r.Exclude, Remote: c.remote, ResumedTokens: uint64(max(r.ResumedTokens, 0)),
	}}
}

// notify wakes the goroutine that waits for the call.
func (c *call) notify() {
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// lease is a granted slot.
type lease struct {
	service *Service
	id      uint64
	request Request
	// broker is the instance that counts the lease, "" while none does.
	broker      string
	remote      bool
	backend     string
	address     string
	preempted   chan struct{}
	preemptOnce sync.Once
	releaseOnce sync.Once
}

// Backend implements Lease.
func (e *lease) Backend() (id, address string) { return e.backend, e.address }

// Preempted implements Lease.
func (e *lease) Preempted() <-chan struct{} { return e.preempted }

// Release implements Lease.
func (e *lease) Release(u Usage) {
	e.releaseOnce.Do(func() { e.service.release(e, u) })
}

// hold returns the message that registers a lease with a broker.
func (e *lease) hold() *wire.BrokerRequest {
	r := e.request
	return &wire.BrokerRequest{Id: e.id, Acquire: &wire.Acquire{
		Pool: r.Pool, Organisation: r.Organisation, Rank: r.Rank, EstimatedTokens: uint64(max(r.EstimatedTokens, 1)),
		HeldBackend: e.backend, ResumedTokens: uint64(max(r.ResumedTokens, 0)),
	}}
}

// Acquire implements Acquirer.
func (s *Service) Acquire(ctx context.Context, r Request) (Lease, error) {
	if _, ok := s.config.Current().Services[r.Pool]; !ok {
		return nil, &Refusal{Reason: "unknown_pool", RetryAfter: time.Second}
	}
	c := s.begin(r)
	timer := time.NewTicker(answerLimit / 5)
	defer timer.Stop()
	var elsewhere time.Time
	for {
		select {
		case <-ctx.Done():
			s.abandon(c)
			return nil, ctx.Err()
		case <-s.ctx.Done():
			s.abandon(c)
			return nil, &Refusal{Reason: string(sched.NoBackend), RetryAfter: time.Second}
		case <-c.signal:
		case <-timer.C:
		}
		lease, refusal, wait := s.look(c)
		switch {
		case lease != nil:
			return lease, nil
		case refusal != nil:
			return s.afterRefusal(ctx, r, refusal)
		case wait > 0 && time.Since(elsewhere) > elsewhereAgain:
			if lease := s.elsewhere(ctx, r); lease != nil {
				s.abandon(c)
				return lease, nil
			}
			elsewhere = time.Now()
		}
	}
}

// afterRefusal asks other data centres when the own one has no backend server
// or a long queue.
func (s *Service) afterRefusal(ctx context.Context, r Request, reply *wire.BrokerReply) (Lease, error) {
	retry := time.Duration(reply.RetryAfterMs) * time.Millisecond
	refusal := &Refusal{Reason: reply.Refusal, RetryAfter: retry}
	switch sched.Reason(reply.Refusal) {
	case sched.NoBackend, sched.TooLate, sched.QueueFull:
		if lease := s.elsewhere(ctx, r); lease != nil {
			return lease, nil
		}
	}
	return nil, refusal
}

// begin registers a request and sends it to the broker of its pool.
func (s *Service) begin(r Request) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	c := &call{id: s.number, request: r, asked: time.Now(), signal: make(chan struct{}, 1)}
	s.calls[c.id] = c
	s.send(c, s.broker(r.Pool))
	return c
}

// broker returns the broker of a pool as of the last tick.
func (s *Service) broker(pool string) string {
	b, ok := s.brokers[pool]
	if !ok {
		b = s.first(pool)
		s.brokers[pool] = b
	}
	return b
}

// send asks a broker for a call.
func (s *Service) send(c *call, broker string) {
	c.broker = broker
	if c.answered {
		c.answered, c.asked = false, time.Now()
	}
	s.ask(broker, c.message())
}

// ask sends a message to a broker, which may be this instance.
func (s *Service) ask(broker string, m *wire.BrokerRequest) {
	if broker == s.view.Self().ID {
		s.serve(time.Now(), s.process, m)
	} else if broker != "" {
		if l := s.linkTo(broker, ""); l != nil {
			l.send(m)
		}
	}
}

// receive takes in what a broker answers.
func (s *Service) receive(broker string, r *wire.BrokerReply) {
	e := s.leases[r.Id]
	if e != nil && e.broker == broker {
		if r.Preempt {
			e.preemptOnce.Do(func() { close(e.preempted) })
		}
		return
	}
	c := s.calls[r.Id]
	if c == nil || c.broker != broker {
		if r.Refusal == "" && r.Backend != "" {
			s.ask(broker, &wire.BrokerRequest{Id: r.Id, Cancel: true})
		}
		return
	}
	switch {
	case r.Queued:
		c.answered, c.wait = true, time.Duration(r.WaitMs)*time.Millisecond
	case r.Refusal == notBroker:
		s.misdirected(c, r)
		return
	case r.Refusal != "":
		c.refusal = r
		s.finish(c)
	case r.Backend != "":
		s.learn(r)
		c.lease = s.newLease(c.id, c, r.Backend, r.Address)
		c.lease.broker, c.lease.remote = broker, c.remote
		s.finish(c)
	}
	c.notify()
}

// misdirected repeats a call at the broker that another instance named.
func (s *Service) misdirected(c *call, r *wire.BrokerReply) {
	if c.answered {
		c.answered, c.asked = false, time.Now()
	}
	if c.remote {
		if r.Backend != "" && r.Address != "" && c.broker != r.Backend {
			c.broker, c.remote = r.Backend, true
			s.linkTo(r.Backend, r.Address).send(c.message())
		}
		return
	}
	s.stats.Moved++
	delete(s.brokers, c.request.Pool)
	if b := s.broker(c.request.Pool); b != c.broker {
		s.send(c, b)
	} else {
		c.broker = "" // asked again at the next tick
	}
}

func (s *Service) newLease(id uint64, c *call, backend, address string) *lease {
	e := &lease{
		service: s, id: id, request: c.request, backend: backend, address: address, preempted: make(chan struct{}),
	}
	s.leases[id] = e
	s.holding[backend]++
	return e
}

func (s *Service) finish(c *call) {
	c.finished = true
	delete(s.calls, c.id)
}

// look returns what became of a call, deciding without a broker when none
// answers in time.
func (s *Service) look(c *call) (*lease, *wire.BrokerReply, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.finished && !c.answered && !c.remote && time.Since(c.asked) >= answerLimit {
		s.decide(c)
	}
	return c.lease, c.refusal, c.wait
}

// abandon ends a call whose result nobody waits for.
func (s *Service) abandon(c *call) {
	s.mu.Lock()
	if !c.finished {
		s.finish(c)
		s.ask(c.broker, &wire.BrokerRequest{Id: c.id, Cancel: true})
		s.mu.Unlock()
		return
	}
	e := c.lease
	s.mu.Unlock()
	if e != nil {
		e.Release(Usage{Result: Cancelled})
	}
}

func (s *Service) release(e *lease, u Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, e.id)
	if s.holding[e.backend]--; s.holding[e.backend] <= 0 {
		delete(s.holding, e.backend)
	}
	s.ask(e.broker, &wire.BrokerRequest{Id: e.id, Release: &wire.Release{
		Pool: e.request.Pool, UsedTokens: uint64(max(u.Tokens, 0)), Result: string(u.Result),
		FirstTokenMs: uint32((u.FirstToken + time.Millisecond - 1) / time.Millisecond),
	}})
}

// unanswered marks the calls of a broker whose session failed.
func (s *Service) unanswered(broker string) {
	now := time.Now()
	for _, c := range s.calls {
		if c.broker == broker && c.answered {
			c.answered, c.asked = false, now
		}
	}
}

// tickClient follows changes of the broker role with calls and leases.
func (s *Service) tickClient(now time.Time) {
	for pool := range s.brokers {
		s.brokers[pool] = s.first(pool)
	}
	for _, c := range s.calls {
		if c.remote {
			continue
		}
		if b := s.broker(c.request.Pool); b != c.broker {
			if c.broker != "" {
				s.stats.Moved++
				s.ask(c.broker, &wire.BrokerRequest{Id: c.id, Cancel: true})
			}
			s.send(c, b)
		}
	}
	for _, e := range s.leases {
		if e.remote {
			continue
		}
		if b := s.broker(e.request.Pool); b != e.broker && b != "" {
			e.broker = b
			s.ask(b, e.hold())
		}
	}
	s.closeLinks(now)
	s.forgetServers(now)
}
